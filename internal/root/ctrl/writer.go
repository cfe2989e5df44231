package ctrl

import (
	"context"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/disk"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
)

// writerQueue is above the number of writes that the consensus member leaves outstanding.
const writerQueue = 64

type (
	// writer owns the storage: it writes what the loop submits, in order, and posts the results.
	writer struct {
		storage disk.Storage
		loop    *Loop
		jobs    chan writeJob
	}

	// writeJob is saveBatch or saveSnapshot.
	writeJob interface{ writeJob() }

	saveBatch    struct{ batch raft.Batch }
	saveSnapshot struct{ snapshot raft.Snapshot }
)

func (saveBatch) writeJob()    {}
func (saveSnapshot) writeJob() {}

func newWriter(storage disk.Storage, loop *Loop) *writer {
	return &writer{storage: storage, loop: loop, jobs: make(chan writeJob, writerQueue)}
}

// submit queues a write; the queue has room for all writes that the member leaves outstanding.
func (w *writer) submit(job writeJob) { w.jobs <- job }

// run writes until ctx ends and then closes the storage.
func (w *writer) run(ctx context.Context) error {
	defer func() { _ = w.storage.Close() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case job := <-w.jobs:
			w.loop.post(ctx, consensus{input: w.write(job)})
		}
	}
}

func (w *writer) write(job writeJob) raft.Event {
	switch job := job.(type) {
	case saveBatch:
		if err := w.storage.Save(job.batch); err != nil {
			return raft.PersistFailed{Err: err}
		}
		return raft.Persisted{Seq: job.batch.Seq}
	case saveSnapshot:
		if err := w.storage.SaveSnapshot(job.snapshot); err != nil {
			return raft.PersistFailed{Err: err}
		}
		return raft.SnapshotPersisted{Index: job.snapshot.Index}
	}
	return raft.Tick{}
}
