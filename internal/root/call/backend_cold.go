package call

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/local"
	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// coldState is what the registry knows of the cold state of one backend server, apart from its limiter.
type coldState struct {
	limited atomic.Bool // its service has a cold rate

	mu    sync.Mutex
	epoch int // latest epoch that the limiter knows of
	wake  *time.Timer
	log   local.ColdLog
	ended bool // the backend has been replaced
}

// isLogged reports whether the log says that the server is cold.
func (c *coldState) isLogged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.Cold()
}

// assumeCold records that a new incarnation counts as cold for the cold period, until it reports otherwise.
func (b *backends) assumeCold(server *backend) {
	_, period := warmup.Limits(b.control.Snapshot().Rules, server.endpoint.Service)
	b.configureCold(server)
	server.limiter.ReportCold(b.clock.Now(), period, true)
}

// reportCold records what an announcement says about the cold state; nil says nothing.
func (b *backends) reportCold(endpoint *snap.Endpoint, seconds *float64) {
	server, err := b.find(endpoint.ID, endpoint.Incarnation)
	if err != nil || seconds == nil {
		return
	}
	b.configureCold(server)
	server.limiter.ReportCold(b.clock.Now(), time.Duration(*seconds*float64(time.Second)), false)
	b.updateCold(server)
}

// suspectRestart records that the server may have restarted and be cold.
func (b *backends) suspectRestart(server *backend) {
	b.configureCold(server)
	server.limiter.SuspectRestart(b.clock.Now())
	b.updateCold(server)
}

// connected records a new connection, which may show that the server has restarted. No request is sent on a
// connection before this function has returned.
func (b *backends) connected(server *backend, conn net.Conn) {
	current := server.watch.Opened(time.Now(), conn)
	if server.reused().DisableKeepAlives {
		return // each connection is closed after one response, which shows no restart
	}
	c := &server.cold
	c.mu.Lock()
	suspected := current > c.epoch
	if suspected {
		c.epoch = current
		b.configureColdLocked(server)
		server.limiter.SuspectRestart(b.clock.Now())
	}
	c.mu.Unlock()
	if suspected {
		b.updateCold(server)
	}
}

// confirm returns why an admitted request may not be sent to the server any more, nil if it may: the server may have
// turned cold, may have been replaced, or its zone may have been evacuated since.
func (b *backends) confirm(server *backend, t *admit.Ticket) retry.Failure {
	if failure := b.zoneFailure(server); failure != nil {
		return failure
	}
	if !server.cold.limited.Load() {
		return nil
	}
	if server.replaced.Load() || !server.limiter.Confirm(b.clock.Now(), t) {
		return retry.QueueFull{}
	}
	return nil
}

// refreshCold applies the present rules before a request is offered.
func (b *backends) refreshCold(server *backend) {
	rate, _ := warmup.Limits(b.control.Snapshot().Rules, server.endpoint.Service)
	if rate > 0 || server.cold.limited.Load() {
		b.configureCold(server)
		b.updateCold(server)
	}
}

// unreachable handles a server that has refused a connection.
func (b *backends) unreachable(server *backend) {
	b.suspectRestart(server)
	b.control.ReportConnectionRefused(server.endpoint.Address)
}

// configureCold applies the rules and the end of an evacuation to the limiter of the server.
func (b *backends) configureCold(server *backend) {
	server.cold.mu.Lock()
	defer server.cold.mu.Unlock()
	b.configureColdLocked(server)
}

// configureColdLocked is configureCold; server.cold.mu is held, so that no older rules replace newer ones.
func (b *backends) configureColdLocked(server *backend) {
	snapshot := b.control.Snapshot()
	rate, period := warmup.Limits(snapshot.Rules, server.endpoint.Service)
	server.cold.limited.Store(rate > 0)
	server.limiter.ConfigureCold(b.clock.Now(), rate, period, snapshot.Restored[b.zone])
}

// updateCold logs a change of the cold state, once the rules are known, and sets the timer for the next waiting request
// or the end of the cold period.
func (b *backends) updateCold(server *backend) {
	if !server.cold.limited.Load() && !server.cold.isLogged() {
		return
	}
	c := &server.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	now := b.clock.Now()
	load := server.limiter.Load(now)
	next, waiting := server.limiter.NextStart(now)
	if c.ended {
		return
	}
	state := local.ColdState{
		Instance: server.endpoint.ID, Service: server.endpoint.Service, Rate: load.ColdRate, For: load.ColdFor,
	}
	c.log.Record(state, b.control.Snapshot().Rules != nil, b.meter, b.log)
	if load.ColdFor <= 0 {
		return
	}
	wait := load.ColdFor
	if waiting {
		wait = min(wait, next.Sub(now))
	}
	wait = max(wait, time.Millisecond)
	if c.wake == nil {
		c.wake = time.AfterFunc(wait, func() { b.dispatch(server) })
		return
	}
	c.wake.Reset(wait)
}

// dispatch starts what may start at a cold server, or at one that has become warm.
func (b *backends) dispatch(server *backend) {
	server.limiter.Dispatch(b.clock.Now())
	b.updateCold(server)
}

// forgetCold ends the timer of a backend that has been replaced.
func (b *backends) forgetCold(server *backend) {
	c := &server.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if c.wake != nil {
		c.wake.Stop()
	}
	c.log.Forget(b.meter)
}

// countColdStart counts a call that did not start at once because the server is cold.
func (b *backends) countColdStart(cold bool, result string) {
	if cold {
		b.meter.ColdStart(result)
	}
}
