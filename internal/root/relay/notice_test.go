package relay

import (
	"context"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// checkHealth makes the daemon find its server by a health check, as after a restart of the daemon.
func checkHealth(t *testing.T, d *testDaemon) {
	t.Helper()
	b := d.relay.LocalBackend
	b.mu.Lock()
	b.current, b.pending = nil, Notice{}
	b.mu.Unlock()
	found := d.notice(StateReady)
	found.StartUnixMilli, found.Sequence = 0, 0
	assert.NilError(t, b.CheckHealth(context.Background(), found, "/x/health"))
}

// Guards against sending requests to a server that has left. A daemon that starts next to a running server
// receives a notice with the start time, then the server leaves, and an earlier notice arrives late; that
// notice must not be treated as one of a new server process.
func TestLateNoticeOfAServerThatHasLeft(t *testing.T) {
	d := newTestFleet(t, 1).daemons[0]
	b := d.relay.LocalBackend
	checkHealth(t, d)
	process := b.current
	reported := d.notice(StateReady)
	reported.StartUnixMilli = time.Now().Add(-time.Minute).UnixMilli()
	for sequence := range uint64(3) {
		reported.Sequence = sequence + 1
		assert.NilError(t, b.Notice(context.Background(), reported))
		assert.Assert(t, b.current == process, "notice %d was treated as one of a new process", reported.Sequence)
	}
	assert.NilError(t, b.Notice(context.Background(), Notice{Instance: reported.Instance, State: StateGone}))
	assert.NilError(t, b.Notice(context.Background(), reported))
	assert.Assert(t, b.current.leaving, "the late notice was treated as one of a new process")
	reported.StartUnixMilli = time.Now().UnixMilli()
	assert.NilError(t, b.Notice(context.Background(), reported))
	assert.Assert(t, !b.current.leaving, "the new process is not used")
}

// Guards against never using a restarted server that keeps its ID, if the daemon had found the earlier process
// by a health check only.
func TestNewProcessAfterHealthCheck(t *testing.T) {
	d := newTestFleet(t, 1).daemons[0]
	b := d.relay.LocalBackend
	checkHealth(t, d)
	reported := d.notice(StateReady)
	assert.NilError(t, b.Notice(context.Background(), Notice{Instance: reported.Instance, State: StateGone}))
	reported.StartUnixMilli = time.Now().Add(-time.Minute).UnixMilli()
	assert.NilError(t, b.Notice(context.Background(), reported))
	assert.Assert(t, b.current.leaving, "the late notice was treated as one of a new process")
	reported.StartUnixMilli = time.Now().Add(time.Second).UnixMilli()
	assert.NilError(t, b.Notice(context.Background(), reported))
	assert.Assert(t, !b.current.leaving, "the new process is not used")
}

// Guards against an outdated notice that replaces a newer server process.
func TestOutdatedNotices(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	newer := d.notice(StateReady)
	newer.Instance, newer.StartUnixMilli, newer.Sequence = "i-new", 2, 1
	assert.NilError(t, d.relay.LocalBackend.Notice(context.Background(), newer))
	assert.NilError(t, d.relay.LocalBackend.Notice(context.Background(), d.notice(StateReady)))
	current, _, _ := d.relay.LocalBackend.Status()
	assert.Equal(t, current.Instance, "i-new")
	assert.ErrorContains(t, d.relay.LocalBackend.Notice(context.Background(), Notice{State: StateReady}), "invalid notice")
}

// Guards against a notice that a control instance received and that never reaches the daemon next to the
// server.
func TestNoticeIsForwardedToDaemonOfServer(t *testing.T) {
	f := newTestFleet(t, 2)
	first, second := f.daemons[0], f.daemons[1]
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	cold := second.notice(StateReady)
	cold.ColdFor = time.Minute
	assert.NilError(t, first.relay.PeerStreams.SendNotice(ctx, second.peerAddress, cold))
	notice, _, _ := second.relay.LocalBackend.Status()
	assert.Equal(t, notice.ColdFor, time.Minute)
	assert.NilError(t, first.relay.PeerStreams.SendNotice(ctx, second.peerAddress, second.notice(StateLeaving)))
	assert.Equal(t, f.request(first, "n", "/once/echo", "", "").StatusCode, 200)
	assert.Equal(t, second.server.runs("n"), 0)
	bad := second.notice(StateReady)
	bad.Instance = ""
	assert.ErrorContains(t, first.relay.PeerStreams.SendNotice(ctx, second.peerAddress, bad), "invalid notice")
}

// Guards against a restarted daemon that does not use its running server before the next notice, and against
// treating that notice as another server process.
func TestRestartedDaemonChecksServerHealth(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	fresh := f.restart(d)
	unregistered := d.notice(StateReady)
	unregistered.Instance, unregistered.StartUnixMilli, unregistered.Sequence = "", 0, 0
	assert.NilError(t, fresh.CheckHealth(context.Background(), unregistered, "/x/health"))
	current, _, _ := fresh.Status()
	assert.Equal(t, current.Instance, d.notice(StateReady).Instance)
	first := fresh.current
	assert.NilError(t, fresh.Notice(context.Background(), d.notice(StateReady)))
	assert.Assert(t, fresh.current == first)
	assert.Equal(t, fresh.current.notice.StartUnixMilli, int64(1))
	restarted := d.notice(StateReady)
	restarted.StartUnixMilli = 2
	assert.NilError(t, fresh.Notice(context.Background(), restarted))
	assert.Assert(t, fresh.current != first)
}

// restart returns the state of a daemon about its server after a restart of the daemon.
func (f *testFleet) restart(d *testDaemon) *LocalBackend {
	return &LocalBackend{
		Clock: d.relay.Clock, Control: f.control, Dialect: testDialect{}, Meter: d.relay.LocalBackend.Meter, Log: d.relay.Log,
		Suspects: d.relay.LocalBackend.Suspects, MaxBody: 1 << 20,
	}
}

// Guards against a server that has left and is in use again, because its daemon has restarted meanwhile and a notice that
// it sent before it left arrives late. Also against a server that is not used once it is well again.
func TestLateNoticeAfterRestartOfDaemon(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	fresh := f.restart(d)
	found := d.notice(StateReady)
	found.Instance, found.StartUnixMilli, found.Sequence = "", 0, 0
	d.server.leaving.Store(true)
	assert.NilError(t, fresh.CheckHealth(t.Context(), found, "/x/health"))
	assert.NilError(t, fresh.Notice(t.Context(), d.notice(StateReady)))
	assert.Assert(t, !fresh.registered())
	d.server.leaving.Store(false)
	assert.NilError(t, fresh.Notice(t.Context(), d.notice(StateReady)))
	assert.Assert(t, fresh.registered())
}

// Guards against a server that has left and is in use again after a restart of its daemon, because a notice that it sent
// before it left arrives when the daemon has not asked the server yet: there is no configuration with the path of the
// health check, or the server is too busy to answer one, or the check has not been made.
func TestLateNoticeBeforeServerHasAnswered(t *testing.T) {
	for name, prepare := range map[string]func(*testFleet, *testDaemon){
		"no configuration": func(f *testFleet, d *testDaemon) { f.control.set = nil },
		"leaving":          func(_ *testFleet, d *testDaemon) { d.server.leaving.Store(true) },
		"full":             func(_ *testFleet, d *testDaemon) { d.server.full.Store(true) },
		"gone":             func(_ *testFleet, d *testDaemon) { _ = d.server.listener.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			d := f.daemons[0]
			fresh := f.restart(d)
			set := f.control.set
			prepare(f, d)
			assert.NilError(t, fresh.Notice(t.Context(), d.notice(StateReady)))
			assert.Assert(t, !fresh.registered(), "the server of the late notice is in use")
			if name == "gone" {
				return
			}
			f.control.set = set
			d.server.leaving.Store(false)
			d.server.full.Store(false)
			found := d.notice(StateReady)
			found.Instance, found.StartUnixMilli, found.Sequence, found.Slots = "", 0, 0, 0
			assert.NilError(t, fresh.CheckHealth(t.Context(), found, "/x/health"))
			current, _, _ := fresh.Status()
			assert.Equal(t, current, d.notice(StateReady))
		})
	}
}

// Guards against a server that is used although it leaves while its daemon, which has just started, asks it whether it
// accepts requests.
func TestServerThatLeavesWhileItIsAsked(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	fresh := f.restart(d)
	leaves, confirmed := fresh.confirmNotice(t.Context(), d.notice(StateReady))
	assert.Assert(t, confirmed)
	assert.NilError(t, fresh.Notice(t.Context(), d.notice(StateGone)))
	assert.NilError(t, fresh.register(t.Context(), d.notice(StateReady), leaves))
	assert.Assert(t, !fresh.registered())
	assert.Equal(t, len(f.control.Snapshot().Endpoints["shop"].Instances), 0)
}

// Guards against a server that is lost because one notice of another writer carries a number too large: the
// server's own notices then looked older and were ignored.
func TestNoticeWithANumberTooLarge(t *testing.T) {
	for name, change := range map[string]func(*Notice){
		"start":    func(n *Notice) { n.Instance, n.StartUnixMilli = "other", math.MaxInt64 },
		"sequence": func(n *Notice) { n.Sequence = math.MaxUint64 },
		"slots":    func(n *Notice) { n.Slots = math.MaxUint32 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			d := f.daemons[0]
			odd := d.notice(StateReady)
			change(&odd)
			assert.ErrorIs(t, d.relay.LocalBackend.Notice(context.Background(), odd), errNotice)
			next := d.notice(StateLeaving)
			next.Sequence = 2
			assert.NilError(t, d.relay.LocalBackend.Notice(context.Background(), next))
			d.relay.LocalBackend.mu.Lock()
			defer d.relay.LocalBackend.mu.Unlock()
			assert.Assert(t, d.relay.LocalBackend.current.leaving, "a later notice of the server is ignored")
		})
	}
}

// Guards against a notice of another writer that takes the place of the server beside the daemon, or withdraws it:
// requests that began there then named the odd service as their caller, and the server got none any more.
func TestNoticeThatNamesAnotherServer(t *testing.T) {
	for name, change := range map[string]func(*Notice){
		"service":          func(n *Notice) { n.Service = "gamma" },
		"host":             func(n *Notice) { n.Address = "127.0.0.9:" + strings.Split(n.Address, ":")[1] },
		"port":             func(n *Notice) { n.Address = "127.0.0.1:9" },
		"no start":         func(n *Notice) { n.StartUnixMilli = 0 },
		"leaving, service": func(n *Notice) { n.Service, n.State = "gamma", StateLeaving },
		"leaving, address": func(n *Notice) { n.Address, n.State = "127.0.0.1:9", StateLeaving },
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			d := f.daemons[0]
			odd := d.notice(StateReady)
			odd.StartUnixMilli, odd.Sequence = time.Now().UnixMilli(), 2
			change(&odd)
			if odd.State == StateReady {
				odd.Instance = "i-other"
			}
			assert.ErrorIs(t, d.relay.LocalBackend.Notice(context.Background(), odd), errNotice)
			assert.Equal(t, f.request(d, "after", "/once/echo", "", "").StatusCode, http.StatusOK)
			d.server.mu.Lock()
			assert.Equal(t, d.server.received[0].Header.Get("Caller"), "shop")
			d.server.mu.Unlock()
			next := d.notice(StateReady)
			next.Sequence = 3
			assert.NilError(t, d.relay.LocalBackend.Notice(context.Background(), next))
			current, _, _ := d.relay.LocalBackend.Status()
			assert.Equal(t, current.Sequence, next.Sequence, "the notices of the server are ignored")
		})
	}
}

// Guards against a daemon that refuses its server after the settings have named another one without a restart.
func TestSettingsNameAnotherServer(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	next := d.notice(StateReady)
	next.Service, next.Instance, next.StartUnixMilli = "other", "i-next", time.Now().UnixMilli()
	assert.ErrorIs(t, d.relay.LocalBackend.Notice(context.Background(), next), errNotice)
	d.relay.LocalBackend.SetExpected(Expected{Service: "other", Address: next.Address})
	assert.NilError(t, d.relay.LocalBackend.Notice(context.Background(), next))
	assert.ErrorIs(t, d.relay.LocalBackend.Notice(context.Background(), d.notice(StateReady)), errNotice)
}
