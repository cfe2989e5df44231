package relay

import (
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

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	// leaveNotice is how long a leaving daemon keeps taking what callers send, until they have heard that
	// it is no longer ready.
	leaveNotice = 2300 * time.Millisecond

	// quietSpan is how long a leaving daemon waits without any request before it ends.
	quietSpan = 300 * time.Millisecond

	// stopMargin is kept of the time to stop, so that the process ends by itself.
	stopMargin = 900 * time.Millisecond

	// drainStep is how often a leaving daemon looks whether it is quiet.
	drainStep = 50 * time.Millisecond

	// greetSpan is how long after the start the server is asked; it speaks for itself by then.
	greetSpan = 3 * time.Second

	// fewSlots is what a server is taken to have that has not said so and is alone in its service.
	fewSlots = 8

	// callHeaderTimeout and callIdleTimeout bound connections of the platform, which sends small calls.
	callHeaderTimeout = 2 * time.Second
	callStop          = 100 * time.Millisecond // for calls in progress at the end
	callIdleTimeout   = 30 * time.Second

	// maxConnections leaves descriptors for lanes and backend servers below the 4,096 of a process.
	maxConnections = 1500
)

type (
	// Options are the settings of the relay.
	Options struct {
		Own         string // peer address
		Zone        string
		Service     string
		Backend     string // address of the backend server, empty if unknown
		Ingress     net.Listener
		Ready       net.Listener
		Calls       net.Listener
		Limits      rules.Limits
		BodyStall   time.Duration
		StopWithin  time.Duration
		RetryRatio  float64
		RetryWindow time.Duration
		Memory      int64 // bytes
		Seed        uint64
	}

	// Relay is the supervisor of the traffic of a daemon beside a backend server.
	Relay struct {
		Options
		Beside  *Beside
		Server  *Server
		Lanes   *Lanes
		Front   *Front
		Control Control
		Clock   clock.Clock
		Log     zerolog.Logger

		calls http.Handler
		ready http.Handler
	}
)

// New wires the relay; nothing runs until its group is served. The lines about single requests go to
// requests, which may be bounded.
func New(o Options, dialect Dialect, clk clock.Clock, control Control, dialer *link.Dialer, m *meter.Meter, log, requests zerolog.Logger) *Relay {
	suspects := crash.NewSuspects()
	largest := o.Memory / 16
	beside := &Beside{
		Clock: clk, Control: control, Dialect: dialect, Meter: m, Log: log, Requests: requests, Suspects: suspects, MaxBody: largest,
	}
	lanes := &Lanes{Clock: clk, Dialer: dialer, Log: log}
	path := &Path{
		Clock: clk, Control: control, Dialect: dialect, Lanes: lanes, Beside: beside, Meter: m,
		Log: requests, Own: o.Own, Zone: o.Zone, Service: o.Service, Seed: o.Seed, Started: clk.Now(),
		RetryRatio: o.RetryRatio, RetryWindow: o.RetryWindow,
	}
	limits := o.Limits
	limits.BodySize = min(limits.BodySize, largest)
	return &Relay{
		Options: o, Beside: beside, Lanes: lanes, Control: control, Clock: clk, Log: log,
		Server: &Server{Clock: clk, Beside: beside, Log: log, MaxBody: largest},
		Front: &Front{
			Listener: o.Ingress, Path: path, Dialect: dialect, Log: requests, Limits: limits, BodyStall: o.BodyStall,
			MaxConnections: maxConnections,
		},
	}
}

// Handle sets what serves the calls of the backend server and the question whether the daemon is ready.
func (r *Relay) Handle(calls, ready http.Handler) { r.calls, r.ready = calls, ready }

// Taking reports whether callers are welcome: the daemon knows a configuration and that it is in force.
func (r *Relay) Taking() bool {
	snapshot := r.Control.Snapshot()
	return !r.Front.stopping() && snapshot.Rules != nil && snapshot.Fresh(r.Clock.Now())
}

// Group returns the run group; the front stops first and the lanes last.
func (r *Relay) Group() *super.Group {
	return &super.Group{Name: "relay", Log: r.Log, Children: []super.Child{
		{Name: "front", Run: r.runFront},
		{Name: "ready", Run: ServeHTTP("ready", r.Options.Ready, r.ready, r.Log)},
		{Name: "calls", Run: ServeHTTP("calls", r.Calls, r.calls, r.Log)},
		{Name: "greet", Run: r.greet},
		{Name: "lanes", Run: r.Lanes.Run},
	}}
}

// greet asks the server beside this daemon once a configuration is there that says how.
func (r *Relay) greet(ctx context.Context) error {
	for since := r.Clock.Now(); r.Backend != "" && r.Clock.Now().Sub(since) < greetSpan; {
		if set := r.Control.Snapshot().Rules; set != nil && set.Services[r.Service] != nil {
			n := Notice{Service: r.Service, Address: r.Backend, Slots: r.usualSlots(ctx)}
			if err := r.Beside.Greet(ctx, n, set.Services[r.Service].HealthPath); err != nil {
				r.Log.Info().Str("address", r.Backend).Err(err).Msg("backend-server-not-asked")
			}
			return nil
		}
		timer := r.Clock.NewTimer(drainStep)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C():
		}
	}
	return nil
}

// usualSlots returns the least number of slots of the service's other servers; the server's first notice
// says how many it has.
func (r *Relay) usualSlots(ctx context.Context) uint32 {
	ctx, cancel := context.WithTimeout(ctx, listWait)
	defer cancel()
	slots := uint32(0)
	if list := r.Control.Subscribe(ctx, r.Service); list != nil {
		for _, each := range list.Instances {
			if slots == 0 || each.Slots < slots {
				slots = each.Slots
			}
		}
	}
	return max(slots, fewSlots)
}

// runFront serves callers until ctx ends and then until the last answer is written.
func (r *Relay) runFront(ctx context.Context) error {
	accepting, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- r.Front.Run(accepting) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	r.drain()
	stop()
	return <-ended
}

// drain takes the daemon out of use: callers hear that it is not ready, other daemons that its server is
// not to be sent to, and what is in progress ends.
func (r *Relay) drain() {
	began := r.Clock.Now()
	r.Front.Leave()
	r.Beside.Close()
	r.Control.StartDrain()
	r.Log.Info().Int("active", r.Front.Active()).Int("running", r.Beside.Running()).Msg("draining")
	quiet := began
	for {
		r.pause(drainStep)
		now := r.Clock.Now()
		if now.Sub(began) >= leaveNotice {
			r.Front.Refuse() // what is taken later could not be ended in time
		}
		if r.Front.Active() > 0 || r.Beside.Running() > 0 {
			quiet = now
		}
		done := now.Sub(began) >= leaveNotice && now.Sub(quiet) >= quietSpan
		if done || now.Sub(began) >= r.StopWithin-stopMargin {
			r.Log.Info().Dur("took", now.Sub(began)).Int("active", r.Front.Active()).Int("running", r.Beside.Running()).Msg("drained")
			return
		}
	}
}

func (r *Relay) pause(d time.Duration) {
	timer := r.Clock.NewTimer(d)
	defer timer.Stop()
	<-timer.C()
}

// ServeHTTP returns the run function of a small HTTP server.
func ServeHTTP(name string, listener net.Listener, handler http.Handler, log zerolog.Logger) func(context.Context) error {
	return func(ctx context.Context) error {
		server := khttp.NewServer(
			khttp.Listener(listener),
			// Without an endpoint the library lists the network interfaces, which not every instance permits.
			khttp.Endpoint(&url.URL{Scheme: "http", Host: listener.Addr().String()}),
			khttp.Timeout(0), // handlers bound themselves
			khttp.Filter(func(http.Handler) http.Handler { return handler }),
		)
		server.ReadHeaderTimeout = callHeaderTimeout
		server.IdleTimeout = callIdleTimeout
		server.ErrorLog = stdlog.New(log, "", 0)
		ended := make(chan error, 1)
		go func() { ended <- server.Start(context.WithoutCancel(ctx)) }()
		select {
		case err := <-ended:
			return fmt.Errorf("%s server: %w", name, err)
		case <-ctx.Done():
		}
		stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), callStop)
		defer cancel()
		if server.Stop(stopping) != nil { // calls in progress are sent again by their callers
			if err := server.Close(); err != nil {
				log.Warn().Str("server", name).Err(err).Msg("server-stop-failed")
			}
		}
		return nil
	}
}

// Levels returns what is in progress now, for the status of the daemon.
func (r *Relay) Gauges() admin.Counts {
	_, running, waiting := r.Beside.Server()
	levels := admin.Counts{Running: uint64(running), Queued: uint64(waiting), Connections: uint64(r.Front.Open())}
	for _, list := range r.Control.Snapshot().Endpoints {
		levels.Backends += uint64(len(list.Instances))
	}
	return levels
}

// Sections returns the state as tables for a dump.
func (r *Relay) Sections(time.Time) []admin.Section {
	notice, running, waiting := r.Beside.Server()
	return []admin.Section{{
		Name: "gate", Columns: []string{"instance", "service", "running", "waiting", "slots"},
		Rows: [][]string{{notice.Instance, notice.Service, fmt.Sprint(running), fmt.Sprint(waiting), fmt.Sprint(notice.Slots)}},
	}}
}

// Remote passes notices that a control instance got to the daemon beside their server, which is the only
// one that can act on them.
type Remote struct {
	Lanes *Lanes
	Port  uint16 // peer port of all daemons
}

// Notice passes a notice on; one that names no address cannot be passed on.
func (r *Remote) Notice(ctx context.Context, n Notice) error {
	address, err := netip.ParseAddrPort(n.Address)
	if err != nil {
		return fmt.Errorf("%w: instance %q gives no address", errNotice, n.Instance)
	}
	return r.Lanes.Tell(ctx, netip.AddrPortFrom(address.Addr(), r.Port).String(), n)
}
