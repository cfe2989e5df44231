package relay

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// greet makes the daemon find its server by the health answer, as after a restart.
func greet(t *testing.T, d *testDaemon) {
	t.Helper()
	b := d.relay.LocalBackend
	b.mu.Lock()
	b.current = nil
	b.mu.Unlock()
	found := d.notice(StateReady)
	found.StartUnixMilli, found.Sequence = 0, 0
	assert.NilError(t, b.Greet(context.Background(), found, "/x/health"))
}

// Replays a daemon that starts beside a running server, which says itself when it started, leaves, and whose
// last notice before that arrives late. Guards against the late notice being taken for a new start, and new
// requests for a server that has left.
func TestLateNoticeOfAServerThatHasLeft(t *testing.T) {
	d := newWorld(t, 1).daemons[0]
	b := d.relay.LocalBackend
	greet(t, d)
	start := b.current
	said := d.notice(StateReady)
	said.StartUnixMilli = time.Now().Add(-time.Minute).UnixMilli()
	for sequence := range uint64(3) {
		said.Sequence = sequence + 1
		assert.NilError(t, b.Notice(context.Background(), said))
		assert.Assert(t, b.current == start, "notice %d began a new start", said.Sequence)
	}
	assert.NilError(t, b.Notice(context.Background(), Notice{Instance: said.Instance, State: StateGone}))
	assert.NilError(t, b.Notice(context.Background(), said))
	assert.Assert(t, b.current.leaving, "the late notice began a new start")
	said.StartUnixMilli = time.Now().UnixMilli()
	assert.NilError(t, b.Notice(context.Background(), said))
	assert.Assert(t, !b.current.leaving, "the new start is not used")
}

// Guards against a server that starts again under its id and is never used, because the daemon knew its
// earlier start by its health answer only.
func TestNewStartAfterOneThatSaidNothing(t *testing.T) {
	d := newWorld(t, 1).daemons[0]
	b := d.relay.LocalBackend
	greet(t, d)
	said := d.notice(StateReady)
	assert.NilError(t, b.Notice(context.Background(), Notice{Instance: said.Instance, State: StateGone}))
	said.StartUnixMilli = time.Now().Add(-time.Minute).UnixMilli()
	assert.NilError(t, b.Notice(context.Background(), said))
	assert.Assert(t, b.current.leaving, "the late notice began a new start")
	said.StartUnixMilli = time.Now().Add(time.Second).UnixMilli()
	assert.NilError(t, b.Notice(context.Background(), said))
	assert.Assert(t, !b.current.leaving, "the new start is not used")
}

// Guards against an old notice that takes the place of a newer start of a server.
func TestOutdatedNotices(t *testing.T) {
	w := newWorld(t, 1)
	d := w.daemons[0]
	newer := d.notice(StateReady)
	newer.Instance, newer.StartUnixMilli, newer.Sequence = "i-new", 2, 1
	assert.NilError(t, d.relay.LocalBackend.Notice(context.Background(), newer))
	assert.NilError(t, d.relay.LocalBackend.Notice(context.Background(), d.notice(StateReady)))
	known, _, _ := d.relay.LocalBackend.Server()
	assert.Equal(t, known.Instance, "i-new")
	assert.ErrorContains(t, d.relay.LocalBackend.Notice(context.Background(), Notice{State: StateReady}), "invalid notice")
}

// Guards against a notice that a control instance got and that never reaches the daemon beside the server.
func TestNoticeIsPassedToTheDaemonBesideTheServer(t *testing.T) {
	w := newWorld(t, 2)
	first, second := w.daemons[0], w.daemons[1]
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	assert.NilError(t, first.relay.PeerStreams.Tell(ctx, second.peer, second.notice(StateLeaving)))
	assert.Equal(t, w.ask(first, "n", "/once/echo", "", "").StatusCode, 200)
	assert.Equal(t, second.server.runs("n"), 0)
	bad := second.notice(StateReady)
	bad.Instance = ""
	assert.ErrorContains(t, first.relay.PeerStreams.Tell(ctx, second.peer, bad), "invalid notice")
}

// Guards against a daemon that starts beside a running server and does not use it before its next notice,
// and against a second start in place of the first once the notice comes.
func TestRestartedDaemonAsksItsServer(t *testing.T) {
	w := newWorld(t, 1)
	d := w.daemons[0]
	fresh := &LocalBackend{
		Clock: d.relay.Clock, Control: w.control, Dialect: testDialect{}, Meter: d.relay.LocalBackend.Meter, Log: d.relay.Log,
		Suspects: d.relay.LocalBackend.Suspects, MaxBody: 1 << 20,
	}
	unsaid := d.notice(StateReady)
	unsaid.Instance, unsaid.StartUnixMilli, unsaid.Sequence = "", 0, 0
	assert.NilError(t, fresh.Greet(context.Background(), unsaid, "/x/health"))
	known, _, _ := fresh.Server()
	assert.Equal(t, known.Instance, d.notice(StateReady).Instance)
	first := fresh.current
	assert.NilError(t, fresh.Notice(context.Background(), d.notice(StateReady)))
	assert.Assert(t, fresh.current == first)
	assert.Equal(t, fresh.current.notice.StartUnixMilli, int64(1))
	again := d.notice(StateReady)
	again.StartUnixMilli = 2
	assert.NilError(t, fresh.Notice(context.Background(), again))
	assert.Assert(t, fresh.current != first)
}
