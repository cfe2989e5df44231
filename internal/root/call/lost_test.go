package call

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Guards against a queued request that runs although its caller has gone, and against a queue entry that is
// not released.
func TestCallerLeavesQueue(t *testing.T) {
	clk := &timedClock{Fake: clock.NewFake(time.Now()), timers: make(chan time.Duration, 100)}
	s := newOutcomeFixture(t, 1, clk)
	s.blockBackend()
	first := make(chan testResponse, 1)
	go func() { first <- s.request(0, "GET", "/open", "") }()
	<-s.entered
	ctx, leave := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, "GET", "http://"+s.nodes[0].Ingress.Addr().String()+"/open", nil)
	assert.NilError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = do(request)
	}()
	<-clk.timers // the request waits for the slot
	leave()
	<-ended
	var limiter *admit.Limiter
	for _, target := range s.nodes[1].handler.backends.byID {
		limiter = target.limiter
	}
	for limiter.Load(time.Now()).Waiting > 0 { // until the daemon has detected that the stream is closed
		time.Sleep(time.Millisecond)
	}
	close(s.unblock)
	got := <-first
	assert.Equal(t, got.StatusCode, http.StatusOK)
	s.nodes[1].server.calls.waitIdle()
	assert.Equal(t, s.runs.Load(), int64(1))
	assert.DeepEqual(t, limiter.Load(time.Now()), admit.Load{Limit: limiter.Load(time.Now()).Limit})
}

// startFakePeer starts a daemon with the given number of instances that serves each call stream with handle.
func startFakePeer(t *testing.T, f *fleet, instances int, handle func(stream *link.Stream)) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &link.Server{
		Listener: listener, Name: "other", Secret: []byte("a secret of the fleet"), MaxConnections: 10,
		Handlers: map[link.StreamType]link.Handler{link.StreamCall: func(_ context.Context, stream *link.Stream) {
			handle(stream)
			_ = stream.Close()
		}},
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	list := &snap.Endpoints{Version: 1}
	for i := range instances {
		list.Instances = append(list.Instances, snap.Endpoint{
			ID: fmt.Sprint("other-", i), Service: "reader", Daemon: listener.Addr().String(), Address: "127.0.0.1:1", Zone: "z",
			Slots: 4, Connections: 4, Incarnation: uint64(i + 1),
		})
	}
	f.lists["reader"] = list
	f.publish()
}

// Guards against the wrong outcome when a stream to another daemon ends after the head was sent (R8): the
// outcome is unknown, because only a refusal by that daemon proves that the request has not run.
func TestLinkBreaks(t *testing.T) {
	refusal := func(stream *link.Stream) {
		_ = wire.WriteMessage(stream, kindRefusal, &Refusal{Reason: "queue-full", Outcome: "not-run"})
	}
	for _, row := range []struct {
		name    string
		handle  func(stream *link.Stream)
		status  int
		outcome string
	}{
		{"at once", func(*link.Stream) {}, 502, "unknown"},
		{"after the head", func(stream *link.Stream) { _, _ = readHead(stream) }, 502, "unknown"},
		{"after admission", func(stream *link.Stream) {
			_, _ = readHead(stream)
			_ = wire.WriteFrame(stream, kindAdmitted, nil)
		}, 502, "unknown"},
		{"by an unknown message", func(stream *link.Stream) { _ = wire.WriteFrame(stream, 99, nil) }, 502, "unknown"},
		{"by an invalid response", func(stream *link.Stream) { _ = wire.WriteMessage(stream, kindResponseHead, &ResponseHead{Status: 12}) }, 502, "unknown"},
		{"by a refusal", refusal, 503, "not-run"},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(t, 1, clock.Real{}, outcomeRules)
			var calls atomic.Int64
			startFakePeer(t, f, 1, func(stream *link.Stream) {
				calls.Add(1)
				row.handle(stream)
			})
			got := f.request(0, "POST", "/once", "body", "Buckthorn-Key: "+goodKey)
			assert.NilError(t, got.err)
			assert.Equal(t, got.StatusCode, row.status, got.body)
			assert.Equal(t, got.Header.Get(HeaderOutcome), row.outcome)
			assert.Equal(t, calls.Load(), int64(1))
		})
	}
}

// Guards against crashes that are not counted by incarnation: a request that crashed two incarnations must not
// be sent a third time.
func TestCrashesCountByIncarnation(t *testing.T) {
	f := newFleet(t, 1, clock.Real{}, outcomeRules)
	var calls atomic.Int64
	startFakePeer(t, f, 4, func(stream *link.Stream) {
		calls.Add(1)
		if _, err := readHead(stream); err == nil {
			_ = wire.WriteMessage(stream, kindRefusal, &Refusal{Reason: "backend-lost", Outcome: "unknown", Crashed: true})
		}
	})
	got := f.request(0, "GET", "/open", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.StatusCode, http.StatusBadGateway)
	assert.Equal(t, calls.Load(), int64(2))
}

// Guards against a panic in one call that stops the daemon or leaks a slot.
func TestPanicInOneCall(t *testing.T) {
	f := newFleet(t, 1, clock.Real{}, outcomeRules)
	f.serve(0, "reader", 4, func(http.ResponseWriter, *http.Request) {})
	server := f.nodes[0].server
	clk := server.Clock
	server.Clock = nil // reading the time panics
	got := f.request(0, "GET", "/open", "")
	assert.NilError(t, got.err)
	assert.Assert(t, got.StatusCode >= 500)
	server.calls.waitIdle()
	server.Clock = clk
	got = f.request(0, "GET", "/open", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.StatusCode, http.StatusOK)
}
