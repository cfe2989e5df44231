package relay

import (
	"cmp"
	"context"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/accept"
	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	// drainAcceptPeriod is how long a draining daemon still accepts requests, because callers need that time
	// to notice that it is no longer ready. It is at most drainAcceptShare of the stop timeout.
	drainAcceptPeriod = 2300 * time.Millisecond
	drainAcceptShare  = 0.4

	// drainQuietPeriod is how long a draining daemon must have had no request in progress before it stops.
	drainQuietPeriod = 300 * time.Millisecond

	// stopMargin is the part of the stop timeout that is reserved for the process to exit by itself. It is at most
	// stopMarginShare of the stop timeout.
	stopMargin      = 900 * time.Millisecond
	stopMarginShare = 0.15

	// drainPollInterval is how often a draining daemon checks for requests in progress.
	drainPollInterval = 50 * time.Millisecond

	// healthCheckWindow is how long the daemon checks the health of its server by itself once it has a configuration.
	// After that time the next notice of the server leads to a check.
	healthCheckWindow = 3 * time.Second

	// healthCheckPause is the time between two health checks while the server does not answer them.
	healthCheckPause = 250 * time.Millisecond

	// defaultSlots is the smallest number of slots assumed for a server that has not reported its number.
	defaultSlots = 8

	// httpHeaderTimeout and httpIdleTimeout bound connections of the platform, which sends small calls.
	httpHeaderTimeout = 2 * time.Second
	httpStopTimeout   = 100 * time.Millisecond // for calls in progress when the HTTP server stops
	httpAnswerTimeout = 50 * time.Millisecond  // from then on their callers are told that the outcome is unknown
	httpIdleTimeout   = 30 * time.Second

	// httpReadTimeout bounds the time in which a call of the platform has to arrive, and httpWriteTimeout the time from
	// then until its response is written.
	httpReadTimeout  = 10 * time.Second
	httpWriteTimeout = 15 * time.Second

	// maxConnections leaves file descriptors for peer streams and backend servers below the limit of 4,096 per
	// process.
	maxConnections = 1500
)

type (
	// Options are the settings of the relay.
	Options struct {
		PeerAddress    string // of this daemon
		Zone           string
		Service        string
		BackendAddress string // address of the backend server, empty if unknown
		Ingress        net.Listener
		Ready          net.Listener
		Calls          net.Listener
		Limits         rules.Limits
		BodyStall      time.Duration
		WriteStall     time.Duration
		StopWithin     time.Duration
		RetryRatio     float64
		RetryWindow    time.Duration
		MemoryLimit    int64         // bytes
		MaxConnections int           // of callers, zero selects maxConnections
		Guard          *accept.Guard // bounds the connections at Ready and Calls
		Seed           uint64
	}

	// Relay supervises the request traffic of a daemon that has a local backend server.
	Relay struct {
		Options
		Memory       *budget.Memory // that is held for callers
		LocalBackend *LocalBackend
		Server       *PeerServer
		PeerStreams  *PeerStreams
		Frontend     *Frontend
		Control      Control
		Clock        clock.Clock
		Log          zerolog.Logger

		calls http.Handler
		ready http.Handler
	}
)

// New returns a relay whose parts are connected but not running; Group runs them. Log lines about single
// requests go to requests, which may limit their number.
func New(o Options, dialect Dialect, clk clock.Clock, control Control, dialer *link.Dialer, m *meter.Meter, log, requests zerolog.Logger) *Relay {
	suspects := crash.NewSuspects()
	maxBody := o.MemoryLimit / 16
	memory := newMemory(o.MemoryLimit)
	bodies := budget.NewBytes(budget.MemoryLimit(o.MemoryLimit), memory)
	backend := &LocalBackend{
		Clock: clk, Control: control, Dialect: dialect, Meter: m, Log: log, Requests: requests, Suspects: suspects,
		MaxBody: maxBody, KeptBody: o.MemoryLimit / keptBodyDivisor, Bodies: bodies, Zone: o.Zone, expected: Expected{Service: o.Service, Address: o.BackendAddress},
	}
	streams := &PeerStreams{Clock: clk, Dialer: dialer, Log: log, Meter: m, Memory: memory}
	forwarder := &Forwarder{
		Clock: clk, Control: control, Dialect: dialect, PeerStreams: streams, LocalBackend: backend, Meter: m,
		Log: requests, PeerAddress: o.PeerAddress, Zone: o.Zone, Seed: o.Seed, Started: clk.Now(),
		RetryRatio: o.RetryRatio, RetryWindow: o.RetryWindow,
	}
	forwarder.ended, forwarder.end = context.WithCancel(context.Background())
	return &Relay{
		Options: o, Memory: memory, LocalBackend: backend, PeerStreams: streams, Control: control, Clock: clk, Log: log,
		Server: &PeerServer{Clock: clk, LocalBackend: backend, Log: log, MaxBody: maxBody, Memory: memory},
		Frontend: &Frontend{
			Listener: accept.New(o.Ingress), Forwarder: forwarder, Dialect: dialect, Log: requests,
			Limits: o.Limits, BodyStall: o.BodyStall, WriteStall: o.WriteStall,
			Bodies: bodies, KeptBody: o.MemoryLimit / keptBodyDivisor,
			Requests:       budget.NewBytes(budget.RequestLimit(o.MemoryLimit), memory),
			Queued:         newQueuedResponses(budget.QueueLimit(o.MemoryLimit), memory),
			MaxConnections: CallerLimit(cmp.Or(o.MaxConnections, maxConnections)),
		},
	}
}

// SetHandlers sets the handlers for calls of the local backend server and for the readiness check. Group
// uses the handlers that are set when it is called.
func (r *Relay) SetHandlers(calls, ready http.Handler) { r.calls, r.ready = calls, ready }

// AcceptsRequests reports whether the daemon accepts requests: it is not draining, and it has a configuration
// that is known to be in effect.
func (r *Relay) AcceptsRequests() bool {
	snapshot := r.Control.Snapshot()
	return !r.Frontend.draining() && snapshot.Rules != nil && snapshot.LeaseValid(r.Clock.Now())
}

// Group returns the supervised children; the frontend stops first and the peer streams last.
func (r *Relay) Group() *super.Group {
	return &super.Group{Name: "relay", Log: r.Log, Children: []super.Child{
		{Name: "front", Run: r.runFrontend},
		{Name: "ready", Run: r.httpServer("ready", r.Options.Ready, r.ready)},
		{Name: "calls", Run: r.httpServer("calls", r.Calls, r.calls)},
		{Name: "health-check", Run: r.checkHealth},
		{Name: "evacuation", Run: r.LocalBackend.watchEvacuations},
		{Name: "peer-streams", Run: r.PeerStreams.Run},
	}}
}

// checkHealth checks the health of the local backend server as soon as a configuration with the health path is
// available, and again until the server has answered.
func (r *Relay) checkHealth(ctx context.Context) error {
	if r.BackendAddress == "" {
		return nil
	}
	r.Control.AwaitConfig(ctx)
	for since := r.Clock.Now(); r.Clock.Now().Sub(since) < healthCheckWindow; {
		if set := r.Control.Snapshot().Rules; set != nil && set.Services[r.Service] != nil {
			n := Notice{Service: r.Service, Address: r.BackendAddress}
			if pending, _ := r.LocalBackend.unconfirmed(); pending.Instance == "" {
				n.Slots = r.estimateSlots(ctx)
			}
			err := r.LocalBackend.CheckHealth(ctx, n, set.Services[r.Service].HealthPath)
			if err == nil {
				return nil
			}
			r.Log.Info().Str("address", r.BackendAddress).Err(err).Msg("backend-server-not-checked")
		}
		timer := r.Clock.NewTimer(healthCheckPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C():
		}
	}
	return nil
}

// estimateSlots returns the smallest number of slots among the servers of the service, but at least
// defaultSlots. The server's first notice reports the real number.
func (r *Relay) estimateSlots(ctx context.Context) uint32 {
	ctx, cancel := context.WithTimeout(ctx, endpointsWait)
	defer cancel()
	slots := uint32(0)
	if list := r.Control.Subscribe(ctx, r.Service); list != nil {
		for _, each := range list.Instances {
			if slots == 0 || each.Slots < slots {
				slots = each.Slots
			}
		}
	}
	return max(slots, defaultSlots)
}

// runFrontend serves callers until ctx ends, and then until the last response is written.
func (r *Relay) runFrontend(ctx context.Context) error {
	accepting, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := make(chan error, 1)
	go func() { done <- r.Frontend.Run(accepting) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	r.drain()
	stop()
	err := <-done
	r.Frontend.Finish()
	return err
}

// drain stops new work and waits for the requests in progress. Callers see that the daemon is not ready, and
// other daemons stop sending requests to its server.
func (r *Relay) drain() {
	started := r.Clock.Now()
	accept := min(drainAcceptPeriod, time.Duration(drainAcceptShare*float64(r.StopWithin)))
	stop := r.StopWithin - min(stopMargin, time.Duration(stopMarginShare*float64(r.StopWithin)))
	r.Frontend.Forwarder.StartDraining(started.Add(stop))
	r.Frontend.StartDraining()
	r.LocalBackend.StartDraining()
	r.Control.StartDrain()
	r.Log.Info().Int("active", r.Frontend.Active()).Int("running", r.LocalBackend.Running()).Msg("draining")
	quiet := started
	for {
		r.pause(drainPollInterval)
		now := r.Clock.Now()
		if now.Sub(started) >= accept {
			r.Frontend.RefuseRequests() // requests accepted later could not finish in time
		}
		if r.Frontend.Active() > 0 || r.LocalBackend.Running() > 0 {
			quiet = now
		}
		done := now.Sub(started) >= accept && now.Sub(quiet) >= drainQuietPeriod
		if done || now.Sub(started) >= stop {
			r.Log.Info().Dur("took", now.Sub(started)).Int("active", r.Frontend.Active()).Int("running", r.LocalBackend.Running()).Msg("drained")
			return
		}
	}
}

func (r *Relay) pause(d time.Duration) {
	timer := r.Clock.NewTimer(d)
	defer timer.Stop()
	<-timer.C()
}

// CallerLimit returns the largest number of connections of callers under the setting for connections.
func CallerLimit(connections int) int { return min(connections, maxConnections) }

func (r *Relay) httpServer(name string, listener net.Listener, handler http.Handler) func(context.Context) error {
	server := HTTPServer{Name: name, Listener: listener, Handler: handler, Guard: r.Guard, MaxHeader: r.Options.Limits.HeaderSize, Log: r.Log}
	return server.Runner()
}

// HTTPServer is a small HTTP server for calls of the platform.
type HTTPServer struct {
	Name      string
	Listener  net.Listener
	Handler   http.Handler
	Guard     *accept.Guard // bounds the open connections; nil for no bound
	MaxHeader int64         // bytes of a request line and header, zero for the library's limit
	Log       zerolog.Logger
}

// Runner returns the run function of the server.
func (s HTTPServer) Runner() func(context.Context) error {
	listener := s.Guard.Listen(s.Name, accept.LateReads(accept.New(s.Listener)))
	return func(ctx context.Context) error {
		server := khttp.NewServer(
			khttp.Listener(listener),
			// Without an endpoint the library lists the network interfaces, which not every instance permits.
			khttp.Endpoint(&url.URL{Scheme: "http", Host: listener.Addr().String()}),
			khttp.Timeout(0), // handlers set their own timeouts
			khttp.Filter(func(http.Handler) http.Handler { return s.Handler }),
		)
		server.ReadHeaderTimeout = httpHeaderTimeout
		server.ReadTimeout = httpReadTimeout
		server.WriteTimeout = httpWriteTimeout
		server.IdleTimeout = httpIdleTimeout
		server.MaxHeaderBytes = int(s.MaxHeader)
		server.ErrorLog = stdlog.New(s.Log, "", 0)
		running := accept.HTTP{
			Name: s.Name, Server: server, Listener: listener, Guard: s.Guard,
			AnswerWithin: httpAnswerTimeout, CloseWithin: httpStopTimeout, Log: s.Log,
		}
		if err := running.Serve(ctx); err != nil {
			return fmt.Errorf("%s server: %w", s.Name, err)
		}
		return nil
	}
}

// Counts returns the current numbers of requests and connections for the status of the daemon.
func (r *Relay) Counts() admin.Counts {
	_, running, waiting := r.LocalBackend.Status()
	counts := admin.Counts{Running: uint64(running), Queued: uint64(waiting), Connections: uint64(r.Frontend.Connections())}
	for _, list := range r.Control.Snapshot().Endpoints {
		counts.Backends += uint64(len(list.Instances))
	}
	return counts
}

// Sections returns the state as tables for a dump.
func (r *Relay) Sections(time.Time) []admin.Section {
	notice, running, waiting := r.LocalBackend.Status()
	return []admin.Section{{
		Name: "gate", Columns: []string{"instance", "service", "running", "waiting", "slots"},
		Rows: [][]string{{notice.Instance, notice.Service, fmt.Sprint(running), fmt.Sprint(waiting), fmt.Sprint(notice.Slots)}},
	}}
}

// NoticeForwarder forwards notices that a control instance received to the daemon next to the server, because
// only that daemon can process them.
type NoticeForwarder struct {
	PeerStreams *PeerStreams
	Port        uint16 // peer port of all daemons
}

// Notice forwards a notice; a notice without a valid address is an error.
func (f *NoticeForwarder) Notice(ctx context.Context, n Notice) error {
	address, err := netip.ParseAddrPort(n.Address)
	if err != nil {
		return fmt.Errorf("%w: address %q of instance %q is not an IP number and port", errNotice, n.Address, n.Instance)
	}
	return f.PeerStreams.SendNotice(ctx, netip.AddrPortFrom(address.Addr(), f.Port).String(), n)
}
