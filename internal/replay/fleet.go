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
	zoneCount         = 3
	sameZoneLatency   = 100 * time.Microsecond // one way, within an availability zone
	propagationDelay  = 200 * time.Millisecond // until an announcement, a crash report or a withdrawn key has reached all daemons
	leaseDuration     = 3 * time.Second        // of a daemon after its last contact with the leader, and of a crashed server
	grantDuration     = time.Second            // validity of a token grant
	coldStartTime     = 5 * time.Second        // after a start of a backend server
	coldStartSlowdown = 3                      // factor on the work during coldStartTime
)

type (
	// Mechanism selects the parts of the system that a baseline replaces by a simpler method.
	Mechanism struct {
		Name          string
		NoAdmission   bool // no admission control and no throttle: every call is sent to the backend server
		RetriesPerHop bool // each hop has the route's number of retries; no final marks, no retry share
		RoundRobin    bool // instances are chosen in turn, without load balancing
		StaticRates   bool // each daemon has an equal part of each account's rate
	}

	// server is a simulated backend server.
	server struct {
		service      *Service
		endpoint     snap.Endpoint
		alive        bool
		leavingSince time.Time
		accepted     int            // requests accepted and not ended
		active       int            // accepted requests that are executing, not waiting for a nested call or a client
		backlog      []*callAttempt // without admission control: accepted requests that wait for a slot
		slowdown     float64        // factor on the work; 1 without a fault
		coldUntil    time.Time
		restarts     uint64
	}

	// daemon holds the decision components of one buckthornd; server is its local backend server.
	daemon struct {
		server            *server
		zone              string
		pickers           map[string]*picker.Picker
		roundRobin        map[string]int // last position by service, for the round-robin baseline
		planner           *retry.Planner
		throttle          *admit.Throttle
		limiter           *admit.Limiter
		suspects          *crash.Suspects
		queued            []*callAttempt          // attempts without an admission decision yet
		buckets           map[string]*tokenBucket // by account, for the static-rates baseline
		withdrawnAccounts map[string]bool         // accounts whose key this daemon rejects
		disconnectedSince time.Time               // zero while the daemon has contact with the leader
	}

	// tokenBucket is a token bucket that needs no token grants from the leader.
	tokenBucket struct {
		rate, burst, tokens float64
		refilledAt          time.Time
	}
)

func (b *tokenBucket) take(now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// buildFleet creates a daemon and a server for each instance of the trace's services.
func (s *sim) buildFleet() {
	number := 0
	for i := range s.trace.Services {
		service := &s.trace.Services[i]
		for j := range service.Servers {
			zone := fmt.Sprintf("zone-%d", j%zoneCount)
			sv := &server{service: service, alive: true, slowdown: 1, endpoint: snap.Endpoint{
				ID: instanceID(service.Name, j), Service: service.Name, Zone: zone, Slots: uint32(service.Slots),
				Connections: uint32(service.Connections), Incarnation: uint64(number + 1),
			}}
			d := &daemon{
				server: sv, zone: zone, pickers: map[string]*picker.Picker{}, roundRobin: map[string]int{},
				planner: retry.NewPlanner(s.trace.Seed + uint64(number)), throttle: admit.NewThrottle(s.trace.Seed + uint64(number)),
				limiter: admit.NewLimiter(s.now, service.Slots), suspects: crash.NewSuspects(),
				buckets: map[string]*tokenBucket{}, withdrawnAccounts: map[string]bool{},
			}
			for k := range s.trace.Services {
				d.pickers[s.trace.Services[k].Name] = picker.New(zone, s.trace.Seed+uint64(number*100+k))
			}
			s.daemons = append(s.daemons, d)
			number++
		}
	}
	daemonCount := float64(len(s.daemons))
	for _, a := range s.trace.Accounts {
		s.buckets[a.Name] = &tokenBucket{rate: a.Rate, burst: a.Burst, tokens: a.Burst, refilledAt: s.now}
		for _, d := range s.daemons {
			d.buckets[a.Name] = &tokenBucket{
				rate: a.Rate / daemonCount, burst: max(1, a.Burst/daemonCount), tokens: a.Burst / daemonCount, refilledAt: s.now,
			}
		}
	}
	s.publishEndpoints()
}

// publishEndpoints updates the pickers of all daemons with the instances that are alive.
func (s *sim) publishEndpoints() {
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

func (s *sim) findDaemon(id string) *daemon {
	for _, d := range s.daemons {
		if d.server.endpoint.ID == id {
			return d
		}
	}
	return nil
}

// pickDaemon returns the daemon of the instance that the picker chooses, or of the next instance in turn for
// the round-robin baseline.
func (s *sim) pickDaemon(d *daemon, service string, triedIDs []string) (*daemon, bool) {
	if !s.mechanism.RoundRobin {
		endpoint, ok := d.pickers[service].Pick(s.now, picker.Request{Tried: triedIDs})
		return s.findDaemon(endpoint.ID), ok
	}
	var candidates []*daemon
	for _, other := range s.daemons {
		if other.server.service.Name == service && !other.server.endpoint.Leaving {
			candidates = append(candidates, other)
		}
	}
	if len(candidates) == 0 {
		return nil, false
	}
	d.roundRobin[service]++
	return candidates[d.roundRobin[service]%len(candidates)], true
}

// crashServer ends the process of a server and all attempts in it, and restarts it after restartDelay. Its
// daemon continues to run.
func (s *sim) crashServer(d *daemon, restartDelay time.Duration) {
	sv := d.server
	if !sv.alive {
		return
	}
	sv.alive = false
	s.result.Crashes++
	for _, fingerprint := range d.suspects.Died(s.now, sv.endpoint.Incarnation) {
		if q, ok := s.crashCollector.Report(s.now, fingerprint, sv.endpoint.Incarnation); ok {
			s.scheduleAfter(propagationDelay, func() { s.quarantined[q.Fingerprint] = true })
		}
	}
	for _, att := range append([]*callAttempt(nil), d.attempts(s)...) {
		att.serverCrashed()
	}
	sv.accepted, sv.active, sv.backlog = 0, 0, nil
	s.scheduleAfter(leaseDuration, s.publishEndpoints)
	s.scheduleAfter(restartDelay, func() {
		sv.restarts++
		sv.endpoint.Incarnation += 1000
		sv.endpoint.Started = wire.StampOf(s.now)
		sv.alive, sv.coldUntil = true, s.now.Add(coldStartTime)
		d.limiter.Restart(s.now, sv.service.Slots)
		s.scheduleAfter(propagationDelay, s.publishEndpoints)
	})
}

// attempts returns the attempts that are in this daemon's queue or server.
func (d *daemon) attempts(s *sim) []*callAttempt {
	var found []*callAttempt
	for _, req := range s.sortedRequests() {
		for _, att := range req.activeAttempts {
			if att.target == d && att.state != stateSent && att.state != stateResponseSent {
				found = append(found, att)
			}
		}
	}
	return found
}

// runDecided handles the queued attempts whose admission decision has arrived. Each one can lead to further
// decisions, so it starts over until there are none.
func (d *daemon) runDecided() {
	for progress := true; progress; {
		progress = false
		for i, att := range d.queued {
			select {
			case decision := <-att.admission:
				d.queued = append(d.queued[:i:i], d.queued[i+1:]...)
				att.handleDecision(decision)
				progress = true
			default:
				continue
			}
			break
		}
	}
}

func (d *daemon) removeQueued(att *callAttempt) {
	for i, other := range d.queued {
		if other == att {
			d.queued = append(d.queued[:i:i], d.queued[i+1:]...)
			return
		}
	}
}
