package relay

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Replays a daemon that starts beside a running server, which says itself when it started, leaves, and whose
// last notice before that arrives late. Guards against the late notice being taken for a new start, and new
// requests for a server that has left.
func TestLateNoticeOfAServerThatHasLeft(t *testing.T) {
	w := newWorld(t, 1)
	d := w.daemons[0]
	b := d.relay.Beside
	b.mu.Lock()
	b.current = nil
	b.mu.Unlock()
	found := d.notice(StateReady)
	found.Born, found.Sequence = 0, 0
	assert.NilError(t, b.Greet(context.Background(), found, "/x/health"))
	start := b.current
	said := d.notice(StateReady)
	said.Born = time.Now().Add(-time.Minute).UnixMilli()
	for sequence := range uint64(3) {
		said.Sequence = sequence + 1
		assert.NilError(t, b.Notice(context.Background(), said))
		assert.Assert(t, b.current == start, "notice %d began a new start", said.Sequence)
	}
	assert.NilError(t, b.Notice(context.Background(), Notice{Instance: said.Instance, State: StateGone}))
	assert.NilError(t, b.Notice(context.Background(), said))
	assert.Assert(t, b.current.leaving, "the late notice began a new start")
	said.Born = time.Now().UnixMilli()
	assert.NilError(t, b.Notice(context.Background(), said))
	assert.Assert(t, !b.current.leaving, "the new start is not used")
}

// Guards against a server that starts again under its id and is never used, because the daemon knew its
// earlier start by its health answer only.
func TestNewStartAfterOneThatSaidNothing(t *testing.T) {
	w := newWorld(t, 1)
	d := w.daemons[0]
	b := d.relay.Beside
	b.mu.Lock()
	b.current = nil
	b.mu.Unlock()
	found := d.notice(StateReady)
	found.Born, found.Sequence = 0, 0
	assert.NilError(t, b.Greet(context.Background(), found, "/x/health"))
	said := d.notice(StateReady)
	assert.NilError(t, b.Notice(context.Background(), Notice{Instance: said.Instance, State: StateGone}))
	said.Born = time.Now().Add(-time.Minute).UnixMilli()
	assert.NilError(t, b.Notice(context.Background(), said))
	assert.Assert(t, b.current.leaving, "the late notice began a new start")
	said.Born = time.Now().Add(time.Second).UnixMilli()
	assert.NilError(t, b.Notice(context.Background(), said))
	assert.Assert(t, !b.current.leaving, "the new start is not used")
}
