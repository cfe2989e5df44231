package ctrl

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/disk"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
)

// recordingStorage records the numbers of the batches that it saves.
type recordingStorage struct {
	memoryStorage
	failure error
	saved   chan uint64
}

func (s *recordingStorage) Save(batch raft.Batch) error {
	if s.failure == nil {
		s.saved <- batch.Seq
	}
	return s.failure
}

// Guards against a write of a consensus member that has failed which reaches the storage after it was reopened, and counts
// as a write of the member that took its place: that one would acknowledge entries that no disk has. A control loop that
// had no processor time sees the failure only after the storage has been reopened.
func TestReopenedStorageGetsNoEarlierWrites(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	reopened := &recordingStorage{saved: make(chan uint64, 10)}
	options := Options{
		Name: "c1", PeerAddress: "c1", Voters: map[string]string{"c1": "c1"}, Boot: 1,
		Reopen: func() (disk.Storage, error) { return reopened, nil },
	}
	l, err := New(options, clk, &link.Dialer{}, &recordingStorage{failure: errors.New("disk full")}, zerolog.Nop())
	assert.NilError(t, err)
	w := l.voter.writer
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = w.run(ctx) }()
	w.submit(batchWrite{raft.Batch{Seq: 5}})
	_, failed := (<-l.events).(raftEvent).input.(raft.PersistFailed) // the loop has not handled it yet
	assert.Assert(t, failed)
	next := awaitReopened(clk, l)
	w.submit(batchWrite{raft.Batch{Seq: 6}}) // of the member that has failed
	l.handle(clk.Now(), next)
	w.submit(batchWrite{raft.Batch{Seq: 1}})
	assert.Equal(t, <-reopened.saved, uint64(1))
	assert.DeepEqual(t, (<-l.events).(raftEvent).input, raft.Event(raft.Persisted{Seq: 1}))
}

// awaitReopened moves the time until the writer has reopened its storage.
func awaitReopened(clk *clock.Fake, l *Loop) Event {
	for {
		clk.Advance(reopenInterval)
		select {
		case event := <-l.events:
			return event
		case <-time.After(time.Millisecond): // the writer may not have set its timer yet
		}
	}
}
