package replay

import (
	"fmt"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/picker"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	zones       = 3
	nearLatency = 100 * time.Microsecond // one way within an availability zone
	notice      = 200 * time.Millisecond // from an announcement or a crash report to all daemons
	leaseEnd    = 3 * time.Second        // of a daemon that is silent
	grantEnd    = time.Second            // of tokens that a daemon holds
	coldTime    = 5 * time.Second        // after a start
	coldFactor  = 3                      // of the work of a cold backend server
)

type (
	// Mechanism replaces parts of the system by what a baseline does instead.
	Mechanism struct {
		Name          string
		NoAdmission   bool // every call is sent to the backend server; no throttle
		RetriesPerHop bool // each hop has the route's retries to itself; no final marks, no retry share
		RoundRobin    bool
		StaticRates   bool // each daemon has an equal part of the rate of each account
	}

	// server is a stand-in for a backend server.
	server struct {
		service     *Service
		endpoint    snap.Endpoint
		alive       bool
		leavingFrom time.Time
		held        int // requests accepted
		working     int // requests that use a slot now, not waiting for a nested call or a client
		backlog     []*exec
		slow        float64
		coldUntil   time.Time
		restarts    uint64
	}

	// daemon is what one buckthornd decides with; its server is the one beside it.
	daemon struct {
		server    *server
		zone      string
		pickers   map[string]*picker.Picker
		rounds    map[string]int
		planner   *retry.Planner
		throttle  *admit.Throttle
		limiter   *admit.Limiter
		suspects  *crash.Suspects
		waiting   []*exec
		buckets   map[string]*bucket
		withdrawn map[string]bool
		cut       time.Time
	}

	// bucket is a plain token bucket.
	bucket struct {
		rate, burst, level float64
		filled             time.Time
	}
)

func (b *bucket) take(now time.Time) bool {
	b.level = min(b.burst, b.level+now.Sub(b.filled).Seconds()*b.rate)
	b.filled = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// build makes one daemon and server per instance of the trace's services.
func (s *sim) build() {
	number := 0
	for i := range s.trace.Services {
		service := &s.trace.Services[i]
		for j := range service.Servers {
			zone := fmt.Sprintf("zone-%d", j%zones)
			sv := &server{service: service, alive: true, slow: 1, endpoint: snap.Endpoint{
				ID: fmt.Sprintf("%s/%d", service.Name, j), Service: service.Name, Zone: zone, Slots: uint32(service.Slots),
				Connections: uint32(service.Connections), Incarnation: uint64(number + 1),
			}}
			d := &daemon{
				server: sv, zone: zone, pickers: map[string]*picker.Picker{}, rounds: map[string]int{},
				planner: retry.NewPlanner(s.trace.Seed + uint64(number)), throttle: admit.NewThrottle(s.trace.Seed + uint64(number)),
				limiter: admit.NewLimiter(s.now, service.Slots), suspects: crash.NewSuspects(),
				buckets: map[string]*bucket{}, withdrawn: map[string]bool{},
			}
			for k := range s.trace.Services {
				d.pickers[s.trace.Services[k].Name] = picker.New(zone, s.trace.Seed+uint64(number*100+k))
			}
			s.daemons = append(s.daemons, d)
			number++
		}
	}
	parts := float64(len(s.daemons))
	for _, a := range s.trace.Accounts {
		s.buckets[a.Name] = &bucket{rate: a.Rate, burst: a.Burst, level: a.Burst, filled: s.now}
		for _, d := range s.daemons {
			d.buckets[a.Name] = &bucket{rate: a.Rate / parts, burst: max(1, a.Burst/parts), level: a.Burst / parts, filled: s.now}
		}
	}
	s.publish()
}

// publish gives the present instances to all pickers.
func (s *sim) publish() {
	for _, service := range s.trace.Services {
		var endpoints []snap.Endpoint
		for _, d := range s.daemons {
			if d.server.service.Name == service.Name && d.server.alive {
				endpoints = append(endpoints, d.server.endpoint)
			}
		}
		for _, d := range s.daemons {
			d.pickers[service.Name].Update(s.now, endpoints)
		}
	}
}

func (s *sim) find(id string) *daemon {
	for _, d := range s.daemons {
		if d.server.endpoint.ID == id {
			return d
		}
	}
	return nil
}

// pick chooses an instance, or the next one in turn for the round-robin baseline.
func (s *sim) pick(d *daemon, service string, tried []string) (*daemon, bool) {
	if !s.mechanism.RoundRobin {
		endpoint, ok := d.pickers[service].Pick(s.now, tried)
		return s.find(endpoint.ID), ok
	}
	var of []*daemon
	for _, other := range s.daemons {
		if other.server.service.Name == service && !other.server.endpoint.Leaving {
			of = append(of, other)
		}
	}
	if len(of) == 0 {
		return nil, false
	}
	d.rounds[service]++
	return of[d.rounds[service]%len(of)], true
}

// die ends the process of a server and everything that runs in it; the daemon beside it may live on.
func (s *sim) die(d *daemon, restart time.Duration) {
	sv := d.server
	if !sv.alive {
		return
	}
	sv.alive = false
	s.result.Crashes++
	for _, fingerprint := range d.suspects.Died(s.now, sv.endpoint.Incarnation) {
		if q, ok := s.docket.Report(s.now, fingerprint, sv.endpoint.Incarnation); ok {
			s.after(notice, func() { s.quarantined[q.Fingerprint] = true })
		}
	}
	for _, e := range append([]*exec(nil), d.execs(s)...) {
		e.lose()
	}
	sv.held, sv.working, sv.backlog = 0, 0, nil
	s.after(leaseEnd, s.publish)
	s.after(restart, func() {
		sv.restarts++
		sv.endpoint.Incarnation += 1000
		sv.endpoint.Started = wire.StampOf(s.now)
		sv.alive, sv.coldUntil = true, s.now.Add(coldTime)
		d.limiter.Restart(s.now, sv.service.Slots)
		s.after(notice, s.publish)
	})
}

// execs returns the calls that are at this daemon's server or queue.
func (d *daemon) execs(s *sim) []*exec {
	var at []*exec
	for _, a := range s.sortedLive() {
		for _, e := range a.live {
			if e.to == d && e.state != stateSent && e.state != stateReplied {
				at = append(at, e)
			}
		}
	}
	return at
}

// poll runs the queued calls whose verdict has come.
func (d *daemon) poll() {
	for again := true; again; {
		again = false
		for i, e := range d.waiting {
			select {
			case decision := <-e.verdict:
				d.waiting = append(d.waiting[:i:i], d.waiting[i+1:]...)
				e.decided(decision)
				again = true
			default:
				continue
			}
			break
		}
	}
}

func (d *daemon) forget(e *exec) {
	for i, w := range d.waiting {
		if w == e {
			d.waiting = append(d.waiting[:i:i], d.waiting[i+1:]...)
			return
		}
	}
}
