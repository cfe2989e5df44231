package call

import (
	"cmp"
	"context"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/accept"
	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/logs"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

const (
	// Defaults of the settings.
	defaultHeaderTimeout  = 10 * time.Second
	defaultBodyTimeout    = 30 * time.Second
	defaultWriteTimeout   = 30 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultConnectTimeout = time.Second

	// leaveDelay is how long a leaving daemon keeps accepting calls, so that other daemons and callers
	// are notified before its listeners close.
	leaveDelay = 3 * time.Second
)

type (
	// Options are the settings of the traffic servers.
	Options struct {
		Name           string
		Zone           string
		PeerAddress    string // at which other daemons reach this one
		Ingress        net.Listener
		Local          net.Listener
		MaxBody        int64 // bytes
		MaxHeader      int   // bytes
		MaxCalls       int64
		MaxConnections int
		Seed           uint64
		HeaderTimeout  time.Duration // for a request header; here and below, zero means the default
		BodyTimeout    time.Duration // longest pause within a request body
		WriteTimeout   time.Duration // longest time that a caller may accept no byte of a response
		IdleTimeout    time.Duration // of a caller's connection
		ConnectTimeout time.Duration // for connecting to a backend server
		LeaveDelay     time.Duration
	}

	// Traffic is the supervisor of the traffic servers.
	Traffic struct {
		Options
		Clock   clock.Clock
		Control Control
		Meter   *meter.Meter
		Log     zerolog.Logger

		server    *Server
		handler   *Handler
		ingress   *boundedListener
		local     *boundedListener
		forwarder *Forwarder
		refused   logs.Repeat // lines about connections above the limit
	}
)

// New returns the traffic servers. They start when the result of Group is served.
func New(options Options, clk clock.Clock, control Control, dialer *link.Dialer, m *meter.Meter, log zerolog.Logger) *Traffic {
	options.HeaderTimeout = cmp.Or(options.HeaderTimeout, defaultHeaderTimeout)
	options.BodyTimeout = cmp.Or(options.BodyTimeout, defaultBodyTimeout)
	options.WriteTimeout = cmp.Or(options.WriteTimeout, defaultWriteTimeout)
	options.IdleTimeout = cmp.Or(options.IdleTimeout, defaultIdleTimeout)
	options.ConnectTimeout = cmp.Or(options.ConnectTimeout, defaultConnectTimeout)
	options.LeaveDelay = cmp.Or(options.LeaveDelay, leaveDelay)
	suspects := crash.NewSuspects()
	servers := &backends{clock: clk, control: control, suspects: suspects, timeout: options.ConnectTimeout, zone: options.Zone, meter: m, log: log}
	m.WatchLoads(servers.loads)
	parents := &parentRequests{}
	server := &Server{Clock: clk, Meter: m, Log: log, backends: servers, suspects: suspects, parents: parents}
	forwarder := &Forwarder{
		Clock:         clk,
		Control:       control,
		Sender:        &Sender{Dialer: dialer, PeerAddress: options.PeerAddress, ServeLocal: server.ServeStream, Name: options.Name},
		Meter:         m,
		Planner:       retry.NewPlanner(options.Seed),
		Throttle:      admit.NewThrottle(options.Seed),
		Suspects:      suspects,
		Zone:          options.Zone,
		Seed:          options.Seed,
		DeadlineGrace: deadlineReportGrace,
	}
	handler := &Handler{
		Clock: clk, Control: control, Forwarder: forwarder, Meter: m, Log: log,
		MaxBody: options.MaxBody, MaxHeader: options.MaxHeader, MaxCalls: options.MaxCalls,
		BodyTimeout: options.BodyTimeout, WriteTimeout: options.WriteTimeout, backends: servers, parents: parents,
		cuts: log.Sample(logs.NewBudget(clk.Now)),
	}
	traffic := &Traffic{
		Options: options, Clock: clk, Control: control, Meter: m, Log: log,
		server: server, handler: handler, forwarder: forwarder,
		ingress: newBoundedListener(options.Ingress, options.MaxConnections),
		local:   newBoundedListener(options.Local, options.MaxConnections),
	}
	traffic.ingress.refused, traffic.local.refused = traffic.reportRefused, traffic.reportRefused
	traffic.local.mayOpen = traffic.mayOpenLocal
	return traffic
}

// mayOpenLocal reports whether the backend server may open another connection. Together with the callers' connections
// there may be as many as the setting says, and a reserve that callers cannot take.
func (t *Traffic) mayOpenLocal() bool {
	return t.ingress.openConns()+t.local.openConns() < t.MaxConnections+budget.ServiceLimit(t.MaxConnections)
}

// reportRefused counts and logs a connection above the limit.
func (t *Traffic) reportRefused(conn net.Conn) {
	t.Meter.BudgetRefused("connections")
	if others, ok := t.refused.Allow(t.Clock.Now()); ok {
		t.Log.Warn().Str("address", accept.ClientAddress(conn).String()).Int("others", others).Msg("connection-refused")
	}
}

// Running returns the number of calls in progress in the local backend servers.
func (t *Traffic) Running() int { return t.server.calls.inProgress() }

// Counts returns the present numbers of calls, connections and instances for the status of the daemon.
func (t *Traffic) Counts() admin.Counts {
	counts := admin.Counts{Running: uint64(t.Running()), Connections: uint64(t.ingress.openConns())}
	for _, load := range t.handler.backends.loads() {
		counts.Queued += uint64(load.Waiting)
	}
	for _, list := range t.Control.Snapshot().Endpoints {
		counts.Backends += uint64(len(list.Instances))
	}
	return counts
}

// ServeStream serves a call stream of another daemon.
func (t *Traffic) ServeStream(ctx context.Context, stream *link.Stream) {
	t.server.ServeStream(ctx, stream)
}

// Group returns the supervisor group of the traffic servers. Ingress stops first, because its calls use the
// other servers.
func (t *Traffic) Group() *super.Group {
	return &super.Group{Name: "call", Log: t.Log, Children: []super.Child{
		{Name: "ingress", Run: t.serveHTTP("ingress", t.ingress, t.handler.ServeIngress)},
		{Name: "drain", Run: t.drain},
		{Name: "evacuation", Run: t.server.backends.watchEvacuations},
		{Name: "local", Run: t.serveHTTP("local", t.local, t.handler.ServeLocal)},
	}}
}

// serveHTTP runs one kratos HTTP server. On stop, the ingress server accepts calls for the leave delay; then
// the server waits until the last response is complete.
func (t *Traffic) serveHTTP(name string, listener net.Listener, handle http.HandlerFunc) func(context.Context) error {
	return func(ctx context.Context) error {
		var closing atomic.Bool
		handle := t.refusePanicked(handle)
		server := khttp.NewServer(
			khttp.Listener(listener),
			khttp.Timeout(0), // the default of one second would cut downloads
			khttp.Filter(func(http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if closing.Load() {
						w.Header().Set("Connection", "close")
					}
					handle(w, r)
				})
			}),
		)
		server.ReadHeaderTimeout = t.HeaderTimeout
		server.IdleTimeout = t.IdleTimeout
		server.MaxHeaderBytes = t.MaxHeader
		server.ErrorLog = stdlog.New(t.Log, "", 0)
		running := accept.HTTP{Name: name, Server: server, Listener: listener, Log: t.Log, OnStop: func() {
			closing.Store(true)
			if name == "ingress" {
				// Idle connections stay open during the delay, because a caller may be sending a request on
				// one when it is closed.
				t.Control.StartDrain()
				t.wait(t.LeaveDelay)
				t.server.leaving.Store(true)
			}
			t.Log.Info().Str("server", name).Msg("server-draining")
		}}
		if err := running.Serve(ctx); err != nil {
			return fmt.Errorf("%s server: %w", name, err)
		}
		return nil
	}
}

// drain waits, on stop, until the calls of other daemons have ended, because the local backend server
// needs the local address for their nested calls.
func (t *Traffic) drain(ctx context.Context) error {
	<-ctx.Done()
	t.server.leaving.Store(true)
	t.server.calls.waitIdle()
	t.Log.Info().Msg("calls-drained")
	return nil
}

func (t *Traffic) wait(d time.Duration) {
	timer := t.Clock.NewTimer(d)
	defer timer.Stop()
	<-timer.C()
}
