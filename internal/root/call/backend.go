package call

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/epoch"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

const (
	// idleConnTimeout is shorter than the idle timeout of common servers, because a request on a connection
	// that its server is closing has an unknown outcome.
	idleConnTimeout = 4 * time.Second

	probeTimeout = 100 * time.Millisecond

	// suspectHold is how long a request whose connection broke stays among the requests in flight. Until
	// then, a restarted backend server can announce its new incarnation, which shows that it crashed.
	suspectHold = 5 * time.Second
)

var errBackendUnknown = errors.New("backend server is not registered at this daemon")

type (
	// backend is one incarnation of a local backend server.
	backend struct {
		endpoint  snap.Endpoint
		limiter   *admit.Limiter
		transport *http.Transport // for connections with the usual idle timeout
		leaving   atomic.Bool
		died      atomic.Bool
		replaced  atomic.Bool // a newer incarnation has registered
		watch     epoch.Watch
		cold      coldState

		// returnsAttempt is set if each response names the attempt that it belongs to. Only then may a
		// connection carry more than one request: any bytes of an earlier request, however late, would
		// otherwise be taken for the next response.
		returnsAttempt bool

		// shortIdle takes the place of transport once the server has announced a shorter idle timeout.
		shortIdle atomic.Pointer[http.Transport]

		// singleUse is set once a response has named another attempt. From then on each request gets its own
		// connection, so that a server that repeats its responses loses no more of them.
		singleUse atomic.Bool
	}

	// backends is the registry of the local backend servers, by instance id.
	backends struct {
		clock    clock.Clock
		control  Control
		suspects *crash.Suspects
		timeout  time.Duration // for connecting to a backend server
		zone     string        // availability zone of this daemon
		meter    *meter.Meter
		log      zerolog.Logger

		mu   sync.RWMutex
		byID map[string]*backend
	}
)

// register adds an endpoint that the control loop has accepted. An incarnation that is already registered
// keeps its limiter, and its connections unless returnsAttempt has changed.
func (b *backends) register(endpoint snap.Endpoint, returnsAttempt bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID == nil {
		b.byID = make(map[string]*backend)
	}
	current := b.byID[endpoint.ID]
	registered := current != nil && current.endpoint.Incarnation == endpoint.Incarnation
	if registered && current.returnsAttempt == returnsAttempt {
		current.leaving.Store(endpoint.Leaving)
		return
	}
	next := &backend{endpoint: endpoint, returnsAttempt: returnsAttempt}
	next.transport = b.newTransport(next, idleConnTimeout)
	next.leaving.Store(endpoint.Leaving)
	if registered {
		next.limiter = current.limiter
	} else {
		next.limiter = admit.NewLimiter(b.clock.Now(), int(endpoint.Slots))
		b.assumeCold(next)
	}
	if current != nil && !registered {
		go b.declareDead(current)
	}
	if current != nil {
		current.replaced.Store(!registered)
		b.forgetCold(current)
		current.closeIdle()
	}
	b.byID[endpoint.ID] = next
	b.configureCold(next)
	b.updateCold(next)
}

// newTransport returns a transport that keeps idle connections for the given time, and none if that is zero.
func (b *backends) newTransport(server *backend, idle time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: b.timeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			b.connected(server, conn)
			counted := &countedConn{Conn: conn, watch: &server.watch}
			counted.limitIdle(idle)
			return counted, nil
		},
		MaxConnsPerHost:        int(server.endpoint.Connections),
		MaxIdleConnsPerHost:    int(server.endpoint.Connections),
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxResponseHeader,
		DisableCompression:     true, // responses pass unchanged
		DisableKeepAlives:      !server.returnsAttempt || idle <= 0,
	}
}

// stopReuse ends the reuse of connections after a response has named another attempt.
func (b *backend) stopReuse() {
	b.singleUse.Store(true)
	b.closeIdle()
}

// reused returns the transport of the calls to the server.
func (b *backend) reused() *http.Transport {
	if short := b.shortIdle.Load(); short != nil {
		return short
	}
	return b.transport
}

func (b *backend) closeIdle() {
	b.transport.CloseIdleConnections()
	b.reused().CloseIdleConnections()
}

// applyIdleTimeout applies the idle timeout that the server announces with a response. A call on a connection that the
// server is about to close would have an unknown outcome, and the end of the connection would look like that of the
// server. The shortest timeout that an incarnation has announced applies to later calls. The idle connections of the
// transport before stay open until they expire, because calls in progress may be about to use them.
func (b *backends) applyIdleTimeout(server *backend, header http.Header, conns *connTracker) {
	idle := epoch.IdleTimeout(header, idleConnTimeout)
	if idle >= idleConnTimeout || !server.returnsAttempt {
		return
	}
	if conns.conn != nil {
		conns.conn.limitIdle(idle)
	}
	short := server.shortIdle.Load()
	if short != nil && idle >= short.IdleConnTimeout {
		return
	}
	if server.shortIdle.CompareAndSwap(short, b.newTransport(server, idle)) {
		server.watch.LimitIdleAll(max(idle-idleTimerSkew, 0))
	}
}

// loads returns the state of each limiter. Services that are not in the rules are reported as "other",
// to bound the values of the metric label.
func (b *backends) loads() []meter.Load {
	set := b.control.Snapshot().Rules
	b.mu.RLock()
	defer b.mu.RUnlock()
	var out []meter.Load
	for _, server := range b.byID {
		service := server.endpoint.Service
		if set == nil || set.Services[service] == nil {
			service = "other"
		}
		load := server.limiter.Load(b.clock.Now())
		out = append(out, meter.Load{Service: service, Limit: load.Limit, InFlight: load.InFlight, Waiting: load.Waiting})
	}
	return out
}

func (b *backends) find(id string, incarnation uint64) (*backend, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	found := b.byID[id]
	if found == nil || found.endpoint.Incarnation != incarnation {
		return nil, errBackendUnknown
	}
	return found, nil
}

// leave marks the backend server at address as leaving, so that new calls to it are refused.
func (b *backends) leave(address string) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, server := range b.byID {
		if server.endpoint.Address == address {
			server.leaving.Store(true)
		}
	}
}

// connectionLost handles a connection that broke with a request in flight and reports whether the backend
// server has died. A probe that is refused is taken as proof of it.
func (b *backends) connectionLost(server *backend, fingerprint string) bool {
	if server.reused().DisableKeepAlives && !server.watch.SomeOpen() {
		b.suspectRestart(server)
	}
	conn, err := net.DialTimeout("tcp", server.endpoint.Address, probeTimeout)
	if err == nil {
		_ = conn.Close()
	}
	refused := err != nil && epoch.Refused(err)
	switch {
	case refused:
		b.unreachable(server)
	case err != nil:
		b.suspectRestart(server)
	}
	if refused || server.died.Load() {
		b.declareDead(server)
		return true
	}
	go func() {
		timer := b.clock.NewTimer(suspectHold)
		<-timer.C()
		b.suspects.End(b.clock.Now(), server.endpoint.Incarnation, fingerprint, false)
	}()
	return false
}

// declareDead reports the requests that were in flight in a dead incarnation, once for each incarnation.
func (b *backends) declareDead(server *backend) {
	if server.died.Swap(true) {
		return
	}
	fingerprints := b.suspects.Died(b.clock.Now(), server.endpoint.Incarnation)
	if len(fingerprints) > 0 {
		b.control.ReportCrash(server.endpoint.Incarnation, fingerprints)
	}
}

// canceled reports whether the context of a request has ended.
func canceled(ctx context.Context) bool { return ctx.Err() != nil }
