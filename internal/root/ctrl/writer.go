package ctrl

import (
	"context"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/disk"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
)

// writerQueueSize is more than the number of writes that the consensus member leaves outstanding, so that
// submit does not block.
const writerQueueSize = 64

// reopenInterval is the time between attempts to reopen a failed storage.
const reopenInterval = 500 * time.Millisecond

type (
	// writer owns the storage: it executes the writes that the loop submits, in order, and posts the results.
	writer struct {
		storage  disk.Storage
		loop     *Loop
		jobs     chan queuedWrite
		failed   bool   // writes are dropped until the storage has been reopened
		reopened uint64 // how often the storage has been reopened
		member   uint64 // value of reopened with which the consensus member started; only the loop uses it
	}

	// queuedWrite is a write of the consensus member that started after so many reopenings of the storage.
	queuedWrite struct {
		job    writeJob
		member uint64
	}

	// writeJob is batchWrite or snapshotWrite.
	writeJob interface{ writeJob() }

	batchWrite    struct{ batch raft.Batch }
	snapshotWrite struct{ snapshot raft.Snapshot }
)

func (batchWrite) writeJob()    {}
func (snapshotWrite) writeJob() {}

func newWriter(storage disk.Storage, loop *Loop) *writer {
	return &writer{storage: storage, loop: loop, jobs: make(chan queuedWrite, writerQueueSize)}
}

// submit queues a write.
func (w *writer) submit(job writeJob) { w.jobs <- queuedWrite{job: job, member: w.member} }

// run executes writes until ctx ends and then closes the storage.
func (w *writer) run(ctx context.Context) error {
	defer func() { _ = w.storage.Close() }()
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case queued := <-w.jobs:
			// The loop may learn of a failure, and so end the consensus member, only after the storage has been reopened.
			if w.failed || queued.member != w.reopened {
				continue
			}
			result := w.write(queued.job)
			w.loop.post(ctx, raftEvent{input: result})
			if _, w.failed = result.(raft.PersistFailed); w.failed && w.loop.cfg.Reopen != nil {
				retry = w.loop.clock.NewTimer(reopenInterval).C()
			}
		case <-retry:
			if w.reopen(ctx) {
				retry = nil
				continue
			}
			retry = w.loop.clock.NewTimer(reopenInterval).C()
		}
	}
}

// reopen opens the storage after a failure, for example once a full disk has free space, and reads the state
// from the disk as at a start of the process.
func (w *writer) reopen(ctx context.Context) bool {
	if err := w.storage.Close(); err != nil {
		w.loop.log.Debug().Err(err).Msg("failed-storage-not-closed")
	}
	storage, err := w.loop.cfg.Reopen()
	if err != nil {
		w.loop.log.Warn().Err(err).Msg("storage-not-reopened")
		return false
	}
	w.storage = storage
	restored, err := storage.Load()
	if err != nil {
		w.loop.log.Warn().Err(err).Msg("storage-not-reopened")
		return false
	}
	w.failed = false
	w.reopened++
	return w.loop.post(ctx, storageReopened{restored: restored})
}

func (w *writer) write(job writeJob) raft.Event {
	switch job := job.(type) {
	case batchWrite:
		if err := w.storage.Save(job.batch); err != nil {
			return raft.PersistFailed{Err: err}
		}
		return raft.Persisted{Seq: job.batch.Seq}
	case snapshotWrite:
		if err := w.storage.SaveSnapshot(job.snapshot); err != nil {
			return raft.PersistFailed{Err: err}
		}
		return raft.SnapshotPersisted{Index: job.snapshot.Index}
	}
	return raft.Tick{}
}
