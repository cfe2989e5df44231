package replay

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

const (
	poisonRestart = 2 * time.Second // from a crash to the next incarnation
	drainGrace    = 3 * time.Second // after which a leaving server must get no new work
)

type (
	// sim is one replay of a trace with one mechanism.
	sim struct {
		queue
		trace       *Trace
		mechanism   Mechanism
		random      *rand.Rand
		start       time.Time
		daemons     []*daemon
		buckets     map[string]*bucket
		factors     map[string]float64 // on the demand, by account or route
		pinned      map[string]bool    // accounts whose callers all use one ingress
		generation  int                // arrivals drawn with earlier factors are dropped
		live        map[uint64]*attempt
		attempts    uint64
		docket      *crash.Collector
		quarantined map[string]bool
		result      *Result
	}

	// original is a request as its caller sees it; resends belong to the same original.
	original struct {
		account *Account
		route   *Route
		at      time.Time
		resends int
		poison  bool
		within  bool // its first attempt was within the rate of the account
	}

	// attempt is one request at an ingress.
	attempt struct {
		*original
		s           *sim
		number      uint64
		ingress     *daemon
		deadline    time.Time
		fingerprint string
		within      bool
		over        bool
		sends, runs int
		retries     int
		live        []*exec
	}
)

// Run replays a trace with a mechanism.
func Run(trace *Trace, mechanism Mechanism) *Result {
	start := time.Unix(1_000_000, 0)
	s := &sim{
		queue: queue{now: start}, trace: trace, mechanism: mechanism, start: start, random: rand.New(rand.NewPCG(trace.Seed, 7)),
		buckets: map[string]*bucket{}, factors: map[string]float64{}, pinned: map[string]bool{}, live: map[uint64]*attempt{},
		docket: crash.NewCollector(), quarantined: map[string]bool{}, result: newResult(trace),
	}
	s.result.Mechanism = mechanism.Name
	s.build()
	for _, f := range trace.Faults {
		s.at(start.Add(f.At), func() { s.begin(f) })
		s.at(start.Add(f.Until), func() { s.finish(f) })
	}
	s.arrivals()
	s.runUntil(start.Add(trace.Length))
	return s.result
}

// arrivals draws the next arrival of each account and route.
func (s *sim) arrivals() {
	s.generation++
	for i := range s.trace.Accounts {
		for j := range s.trace.Routes {
			s.arrive(&s.trace.Accounts[i], &s.trace.Routes[j], s.generation)
		}
	}
}

func (s *sim) arrive(account *Account, route *Route, generation int) {
	rate := route.Demand * account.Share
	for _, name := range [...]string{account.Name, route.Name} {
		if factor, ok := s.factors[name]; ok {
			rate *= factor
		}
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if generation != s.generation {
			return
		}
		s.arrive(account, route, generation)
		s.result.offer(s.now.Sub(s.start), account)
		s.ask(&original{account: account, route: route, at: s.now, resends: s.trace.Resends})
	})
}

// ask sends an original to an ingress.
func (s *sim) ask(o *original) {
	ingress := s.daemons[s.random.IntN(len(s.daemons))]
	if s.pinned[o.account.Name] {
		ingress = s.daemons[0]
	}
	s.attempts++
	a := &attempt{original: o, s: s, number: s.attempts, ingress: ingress, deadline: s.now.Add(s.trace.Client + o.route.Deadline)}
	s.after(s.trace.Client, a.enter)
}

// enter is the path at the ingress up to the first dispatch.
func (a *attempt) enter() {
	s, d := a.s, a.ingress
	length := int64(a.number)
	if a.poison {
		length = 0
	}
	a.fingerprint = crash.Fingerprint("GET", a.route.Name, a.account.Name, length, nil)
	a.within = s.buckets[a.account.Name].take(s.now)
	if s.now.Sub(a.at) < 2*s.trace.Client {
		a.original.within = a.within
		s.result.entitle(s.now.Sub(s.start), a)
	}
	s.result.ask(s.now.Sub(s.start), a)
	s.live[a.number] = a
	s.at(a.deadline, func() { a.finish(retry.DeadlineAfter{}) })
	cut := time.Duration(0)
	if !d.cut.IsZero() {
		cut = s.now.Sub(d.cut)
	}
	granted := a.within
	if s.mechanism.StaticRates {
		granted = d.buckets[a.account.Name].take(s.now)
	}
	switch {
	case cut > leaseEnd:
		a.finish(retry.StaleConfig{})
	case d.withdrawn[a.account.Name]:
		a.finish(retry.KeyWithdrawn{})
	case s.quarantined[a.fingerprint]:
		a.finish(retry.Quarantined{})
	case !granted:
		a.finish(retry.Rate{})
	case cut > grantEnd && !s.mechanism.StaticRates:
		s.after(time.Second, func() { a.finish(retry.Rate{}) })
	case !s.mechanism.NoAdmission && !d.throttle.Allow(s.now, a.route.Name, a.route.Importance):
		a.finish(retry.Throttled{})
	default:
		c := &call{attempt: a, from: d, budget: retry.NewEntryBudget(a.route.Retries)}
		c.done = a.end
		c.send()
	}
}

// began counts the start of work for a request and checks what must hold then.
func (a *attempt) began(e *exec) {
	s := a.s
	if e.call.hop == 0 {
		a.runs++
		if a.route.Once && a.runs > 1 {
			s.result.violate("R9: %s executed %d times", a.route.Name, a.runs)
		}
	}
	if from := e.to.server.leavingFrom; !from.IsZero() && s.now.Sub(from) > drainGrace {
		s.result.violate("R10: work on %s %v after it began to leave", e.to.server.endpoint.ID, s.now.Sub(from))
	}
}

// finish ends an attempt with a failure or, if f is nil, with a complete response.
func (a *attempt) finish(f retry.Failure) { a.end(f, false) }

// end is finish for a response; below says that the backend server answered with an error because a
// nested call failed, so that the request itself has run.
func (a *attempt) end(f retry.Failure, below bool) {
	if a.over {
		return
	}
	s, d := a.s, a.ingress
	a.over = true
	delete(s.live, a.number)
	for i := len(a.live) - 1; i >= 0; i-- {
		if i < len(a.live) {
			a.live[i].abort(i == len(a.live)-1)
		}
	}
	row := retry.Row{Outcome: retry.Ran}
	if f != nil {
		row = retry.Describe(f)
	}
	if below {
		row.Outcome = retry.Ran
	}
	if row.Outcome == retry.NotRun && a.runs > 0 {
		s.result.violate("R8: %s reported not-run after %d runs", row.Reason, a.runs)
	}
	if a.retries > int(a.route.Retries) && !s.mechanism.RetriesPerHop {
		s.result.violate("R1: %d retries of %s", a.retries, a.route.Name)
	}
	s.result.Sends += a.sends
	refused := row.Resend == retry.Always || row.Reason == "throttled"
	if a.sends > 0 && (f == nil || refused) {
		d.throttle.Report(s.now, a.route.Name, a.route.Importance, f == nil)
	}
	s.result.answer(s.now.Add(s.trace.Client).Sub(s.start), a, f, refused || row.Outcome == retry.NotRun)
	if f == nil || a.resends == 0 || row.Reason == "quarantined" || row.Reason == "key-withdrawn" {
		return
	}
	if a.route.Once && row.Outcome != retry.NotRun {
		return // the caller does not know whether it ran
	}
	a.resends--
	s.after(s.trace.Client+s.trace.Pause, func() { s.ask(a.original) })
}

// abortBelow cancels the nested calls of a call whose server died.
func (a *attempt) abortBelow(e *exec) {
	for _, other := range append([]*exec(nil), a.live...) {
		if other.call.hop > e.call.hop {
			other.abort(false)
		}
	}
}

func (s *sim) begin(f Fault) {
	switch f.Kind {
	case "slow":
		for _, d := range s.daemons {
			if d.server.service.Name == f.Target || d.server.endpoint.ID == f.Target {
				d.server.slow = f.Factor
			}
		}
	case "demand":
		s.factors[f.Target] = f.Factor
		s.arrivals()
	case "pin":
		s.pinned[f.Target] = true
	case "withdrawn":
		for _, d := range s.daemons {
			s.after(time.Duration(s.random.Int64N(int64(notice))), func() { d.withdrawn[f.Target] = true })
		}
	case "lost":
		s.die(s.find(f.Target), f.Until-f.At)
	case "drain":
		d := s.find(f.Target)
		d.server.endpoint.Leaving, d.server.leavingFrom = true, s.now
		s.after(notice, s.publish)
	case "poison":
		account, route, _ := strings.Cut(f.Target, "/")
		o := &original{poison: true, resends: 1000}
		for i := range s.trace.Accounts {
			if s.trace.Accounts[i].Name == account {
				o.account = &s.trace.Accounts[i]
			}
		}
		for i := range s.trace.Routes {
			if s.trace.Routes[i].Name == route {
				o.route = &s.trace.Routes[i]
			}
		}
		s.ask(o)
	case "cut":
		s.find(f.Target).cut = s.now
	}
}

func (s *sim) finish(f Fault) {
	switch f.Kind {
	case "slow":
		f.Factor = 1
		s.begin(f)
	case "demand":
		f.Factor = 1
		s.begin(f)
	case "cut":
		s.find(f.Target).cut = time.Time{}
	case "pin":
		delete(s.pinned, f.Target)
	case "withdrawn", "lost", "drain", "poison":
	}
}

// sortedLive returns the live attempts in order, so that a replay does not depend on map order.
func (s *sim) sortedLive() []*attempt {
	live := make([]*attempt, 0, len(s.live))
	for _, a := range s.live {
		live = append(live, a)
	}
	sort.Slice(live, func(i, j int) bool { return live[i].number < live[j].number })
	return live
}
