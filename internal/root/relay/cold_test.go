package relay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/netest"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/gate"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	testColdRate   = 10 // requests per second
	testColdPeriod = 3 * time.Second

	// maxColdSecond is the number of requests that a cold server tolerates in one second.
	maxColdSecond = 1.5*testColdRate + 8
)

// newColdFleet returns a daemon whose server has 50 slots and a cold rate, and the server's first notice, in which it
// is warm.
func newColdFleet(t *testing.T) (*testFleet, *testDaemon, Notice) {
	f := newTestFleet(t, 1)
	f.control.mu.Lock()
	service := f.control.set.Services["shop"]
	service.ColdRate, service.ColdPeriod = testColdRate, testColdPeriod
	f.control.mu.Unlock()
	d := f.daemons[0]
	notice := d.notice(StateReady)
	notice.Slots, notice.Sequence = 50, 2
	assert.NilError(t, d.relay.LocalBackend.Notice(context.Background(), notice))
	return f, d, notice
}

// burst sends requests at the same time and returns how many of them were served.
func (f *testFleet) burst(d *testDaemon, name, path string, n int) int {
	var sent sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, map[string]int{}
	for i := range n {
		sent.Go(func() {
			response := f.request(d, fmt.Sprintf("%s-%d", name, i), path, "", "")
			mu.Lock()
			defer mu.Unlock()
			if response.StatusCode == http.StatusOK {
				served++
				return
			}
			refused[response.Header.Get("Reason")]++
		})
	}
	sent.Wait()
	f.t.Logf("%s: %d served, refused: %v", name, served, refused)
	return served
}

// countReceived returns how many requests the server has received.
func (s *testServer) countReceived() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.received)
}

// Guards against a server that restarts at the same address and gets the full load before its first notice: its
// connections have ended, which is all that the daemon can see. Guards also against a limit that stays after the
// server has reported that it is warm.
func TestRestartedServerCountsAsCold(t *testing.T) {
	f, d, notice := newColdFleet(t)
	assert.Equal(t, f.burst(d, "warm", "/open/x", 40), 40)
	d.server.restart(t)
	before, started := d.server.countReceived(), time.Now()
	served := f.burst(d, "cold", "/open/x", 60)
	took := time.Since(started)
	got := d.server.countReceived() - before
	assert.Assert(t, float64(got) <= maxColdSecond*max(took.Seconds(), 1), "%d requests in %s", got, took)
	assert.Assert(t, served >= 5 && served < 40, "%d of 60 served", served)
	notice.StartUnixMilli, notice.Sequence = 2, 1
	assert.NilError(t, d.relay.LocalBackend.Notice(context.Background(), notice))
	assert.Equal(t, f.burst(d, "warm-again", "/open/x", 40), 40)
}

// Guards against a restart that is not noticed because the crash ended requests in progress and no connection was idle.
func TestServerThatCrashedWithRequestsInProgressCountsAsCold(t *testing.T) {
	f, d, _ := newColdFleet(t)
	var held sync.WaitGroup
	for i := range 20 {
		held.Go(func() { f.request(d, fmt.Sprintf("held-%d", i), "/once/hold", "", "") })
	}
	for d.server.countReceived() < 20 {
		time.Sleep(time.Millisecond)
	}
	d.server.restart(t)
	held.Wait()
	before, started := d.server.countReceived(), time.Now()
	f.burst(d, "cold", "/open/x", 60)
	got, took := d.server.countReceived()-before, time.Since(started)
	assert.Assert(t, float64(got) <= maxColdSecond*max(took.Seconds(), 1), "%d requests in %s", got, took)
}

// Guards against a warm server that is taken for a restarted one because it closes some of its connections, and against
// a limit on a service that has no cold rate.
func TestServerThatClosesSomeConnectionsStaysWarm(t *testing.T) {
	f, d, _ := newColdFleet(t)
	go f.request(d, "kept", "/open/hold", "", "")
	for d.server.countReceived() < 1 {
		time.Sleep(time.Millisecond)
	}
	for i := range 5 {
		f.request(d, fmt.Sprintf("reset-%d", i), "/once/reset", "", "")
	}
	assert.Equal(t, f.burst(d, "warm", "/open/x", 40), 40)
	close(d.server.hold)
	f.control.mu.Lock()
	f.control.set.Services["shop"].ColdRate = 0
	f.control.mu.Unlock()
	d.server.restart(t)
	assert.Equal(t, f.burst(d, "no-limit", "/open/x", 40), 40)
}

// Guards against an older notice that arrives late and ends the cold period that a newer one reported, and against a cold
// server whose queue is not dispatched when it reports itself warm.
func TestLateNoticeDoesNotEndColdPeriod(t *testing.T) {
	f, d, notice := newColdFleet(t)
	cold, late := notice, notice
	cold.Sequence, cold.ColdFor = 5, time.Minute
	late.Sequence = 4
	backend := d.relay.LocalBackend
	assert.NilError(t, backend.Notice(context.Background(), cold))
	assert.NilError(t, backend.Notice(context.Background(), late))
	served := make(chan int, 1)
	go func() { served <- f.burst(d, "cold", "/open/x", 8) }()
	for _, _, waiting := backend.Status(); waiting == 0; _, _, waiting = backend.Status() {
		time.Sleep(time.Millisecond)
	}
	warm := notice
	warm.Sequence = 6
	started := time.Now()
	assert.NilError(t, backend.Notice(context.Background(), warm))
	assert.Equal(t, <-served, 8)
	assert.Assert(t, time.Since(started) < 300*time.Millisecond)
}

// Guards against a daemon that restarts beside a cold server and sends it the full load, because the health check says
// nothing about the cold state.
func TestServerFoundByHealthCheckCountsAsCold(t *testing.T) {
	f, d, notice := newColdFleet(t)
	backend := &LocalBackend{
		Clock: d.relay.Clock, Control: f.control, Dialect: testDialect{}, Meter: d.relay.LocalBackend.Meter,
		Suspects: d.relay.LocalBackend.Suspects, MaxBody: 1 << 20, expected: Expected{Service: "shop"},
	}
	assert.NilError(t, backend.CheckHealth(context.Background(), Notice{Service: "shop", Address: notice.Address, Slots: 50}, "/x/health"))
	_, ticket, decided, refused := backend.offer(d.relay.Clock.Now(), &job{
		service: "shop", deadline: time.Now().Add(time.Second), arrived: time.Now(), request: &Request{ID: "first"},
	})
	assert.Assert(t, refused == nil && ticket != nil && decided != nil)
	backend.mu.Lock()
	defer backend.mu.Unlock()
	assert.Assert(t, backend.cold.Remaining(d.relay.Clock.Now()) > testColdPeriod-time.Second)
}

// Guards against a burst that was admitted to a warm server and is sent after the first new connection has shown that
// the server has restarted.
func TestAdmittedRequestsAreNotSentAfterRestart(t *testing.T) {
	_, d, _ := newColdFleet(t)
	backend := d.relay.LocalBackend
	confirmed := 0
	for i := range 40 {
		now := time.Now()
		s, ticket, decided, refused := backend.offer(now, &job{
			service: "shop", arrived: now, deadline: now.Add(time.Second), request: &Request{ID: fmt.Sprint(i)},
		})
		assert.Assert(t, refused == nil && decided == nil)
		defer func() {
			if backend.confirm(s, ticket, 1) == nil {
				confirmed++
			}
			assert.Assert(t, confirmed <= 8)
		}()
	}
}

// Guards against a server that never serves a request, because it closes idle connections sooner than the next request
// arrives: each one finds a connection that has ended and would have to wait longer than it can.
func TestServerWithShortIdleTimeoutServesEachRequest(t *testing.T) {
	f, d, _ := newColdFleet(t)
	f.control.mu.Lock()
	f.control.set.Services["shop"].ColdRate = 4 // one start in 250 ms
	f.control.mu.Unlock()
	for i := range 5 {
		response := f.request(d, fmt.Sprint(i), "/open/x", "Left: 200ms\r\n", "")
		assert.Equal(t, response.StatusCode, http.StatusOK, "request %d: %s", i, response.Header.Get("Reason"))
		d.server.restart(t)
		time.Sleep(300 * time.Millisecond)
	}
}

// Guards against a burst that is limited after a quiet period, because the server has closed the connections that have
// expired meanwhile.
func TestBurstAfterQuietPeriodIsNotLimited(t *testing.T) {
	f, d, _ := newColdFleet(t)
	backend := d.relay.LocalBackend
	for round := range 5 {
		assert.Equal(t, f.burst(d, fmt.Sprint("burst-", round), "/open/x", 40), 40)
		d.server.restart(t)
		p := backend.current.pool
		p.mu.Lock()
		for _, conn := range p.idle {
			conn.idleUntil = time.Now()
		}
		p.mu.Unlock()
	}
}

// Guards against a request that ends while it connects and thereby makes the server count as cold, against one that does
// not connect in time, perhaps because the daemon has no processor time, and takes the server out of use, and against a
// refused connection that does not.
func TestDialWithoutAnswerIsNotRefused(t *testing.T) {
	_, d, _ := newColdFleet(t)
	backend := d.relay.LocalBackend
	expired, cancelExpired := context.WithTimeout(context.Background(), 0)
	defer cancelExpired()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	send := func(ctx context.Context, id string) (cold time.Duration, unreachable bool) {
		now := time.Now()
		_, result := backend.tryServe(ctx, &job{
			service: "shop", arrived: now, deadline: now.Add(time.Second), request: &Request{ID: id, Method: http.MethodGet, Target: "/open/x"},
		})
		_, isNotRun := result.(notRun)
		assert.Assert(t, isNotRun)
		backend.mu.Lock()
		defer backend.mu.Unlock()
		return backend.cold.Remaining(time.Now()), !backend.current.unreachableUntil.IsZero()
	}
	for id, ctx := range map[string]context.Context{"expired": expired, "canceled": canceled} {
		cold, unreachable := send(ctx, id)
		assert.Assert(t, cold == 0 && !unreachable, id)
	}
	address, closeFull, err := netest.ListenFull()
	assert.NilError(t, err)
	t.Cleanup(closeFull)
	own := backend.current.pool.address
	backend.current.pool.address = address
	cold, unreachable := send(context.Background(), "hung")
	assert.Assert(t, cold > 0 && !unreachable)
	backend.current.pool.address = own
	assert.NilError(t, d.server.listener.Close())
	cold, unreachable = send(context.Background(), "refused")
	assert.Assert(t, cold > 0 && unreachable)
}

// Guards against a request that ends while it connects and thereby keeps others from the server for a while, or makes
// the requests in progress suspects of a crash, and against one that does so as the single probe of a server that has
// not responded and keeps all others from it for good.
func TestDialThatItsRequestEndsLeavesTheServerReachable(t *testing.T) {
	_, d, _ := newColdFleet(t)
	backend := d.relay.LocalBackend
	s := backend.current
	backend.Suspects.Begin(s.incarnation, "in-progress")
	expired, cancelExpired := context.WithTimeout(context.Background(), 0)
	defer cancelExpired()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, ctx := range map[string]context.Context{"expired": expired, "canceled": canceled} {
		backend.mu.Lock()
		s.unanswered = maxUnanswered
		backend.mu.Unlock()
		_, _ = backend.tryServe(ctx, shopJob(name, "/open/x"))
		backend.mu.Lock()
		assert.Check(t, s.unreachableUntil.IsZero() && s.probe == nil, name)
		backend.mu.Unlock()
	}
	assert.Equal(t, len(backend.Suspects.Died(time.Now(), s.incarnation)), 1)
	assert.NilError(t, d.server.listener.Close())
	_, _ = backend.tryServe(context.Background(), shopJob("refused", "/open/x"))
	backend.mu.Lock()
	defer backend.mu.Unlock()
	assert.Assert(t, s.unreachableUntil.After(time.Now()))
}

// Guards against a deployment without cold rates that pays for them with the lock of the backend for each request, and
// against a restart that is forgotten because the service has no cold rate yet.
func TestConfirmTakesNoLockWithoutColdRate(t *testing.T) {
	f, d, notice := newColdFleet(t)
	f.control.mu.Lock()
	f.control.set.Services["shop"].ColdRate = 0
	f.control.mu.Unlock()
	backend := d.relay.LocalBackend
	assert.NilError(t, backend.Notice(context.Background(), notice))
	s := backend.current
	backend.mu.Lock()
	confirmed := make(chan error, 1)
	go func() { confirmed <- backend.confirm(s, &gate.Ticket{}, 0) }()
	select {
	case err := <-confirmed:
		assert.Check(t, err)
	case <-time.After(time.Second):
		t.Error("confirm waits for the lock")
	}
	backend.mu.Unlock()
	assert.NilError(t, backend.confirm(s, &gate.Ticket{}, 1))
	f.control.mu.Lock()
	f.control.set.Services["shop"].ColdRate = testColdRate
	f.control.mu.Unlock()
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.updateCold(time.Now())
	assert.Assert(t, backend.cold.Cold(time.Now()))
}

// Guards against a daemon without rules that logs and counts its server as cold although the service may have no cold
// rate.
func TestServerIsNotLoggedColdBeforeTheRules(t *testing.T) {
	f, d, notice := newColdFleet(t)
	backend, known := d.relay.LocalBackend, f.control.set
	setRules := func(set *rules.Set) {
		f.control.mu.Lock()
		defer f.control.mu.Unlock()
		f.control.set = set
	}
	setRules(nil)
	notice.Sequence, notice.ColdFor = 5, time.Minute
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.recordCold(time.Now(), notice)
	assert.Assert(t, backend.cold.Cold(time.Now()) && !backend.coldLog.Cold())
	setRules(known)
	backend.updateCold(time.Now())
	assert.Assert(t, backend.coldLog.Cold())
}
