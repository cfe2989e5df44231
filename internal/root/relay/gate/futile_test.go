package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shedding simulates a downstream service that sheds part of what reaches it, at once, while the fleet may send only
// a few requests again. Runs of the front service need several answers of it in a row; direct requests need one.
type shedding struct {
	*simulation
	report  bool // the results of nested calls are recorded
	shed    float64
	retries float64 // allowed now; refilled by the calls that are made
	refused int
	direct  map[string]int
}

const (
	retriesPerCall = 0.11
	maxRetries     = 200
)

func (s *shedding) arriveDirect() {
	s.direct["offered"]++
	t := &Ticket{Route: "direct", Rank: 1, Arrived: s.now, Objective: s.now.Add(250 * time.Millisecond), Deadline: s.now.Add(time.Second)}
	active := &run{parent: t, nested: t}
	switch s.downstream.Offer(s.now, t).(type) {
	case Admitted:
		s.workDirect(active)
	case Queued:
		s.queuedDownstream[t] = active
	case Refused:
	}
}

func (s *shedding) workDirect(active *run) {
	if s.random.Float64() < s.shed {
		s.downstream.Done(s.now, active.nested, Shed{})
		s.dispatchAll()
		return
	}
	s.schedule(time.Duration(float64(downstreamWork)*(0.5+s.random.Float64())), func() {
		s.downstream.Done(s.now, active.nested, Completed{})
		if !s.now.After(active.nested.Objective) {
			s.direct["served"]++
		}
		s.dispatchAll()
	})
}

func (s *shedding) arriveRun() {
	s.offered["chain"]++
	parent := &Ticket{Route: "chain", Rank: 2, Arrived: s.now, Objective: s.now.Add(1500 * time.Millisecond), Deadline: s.now.Add(5 * time.Second)}
	active := &run{parent: parent, callsLeft: callsPerRun}
	switch s.front.Offer(s.now, parent).(type) {
	case Admitted:
		s.schedule(frontWork, func() { s.nextCall(active) })
	case Queued:
		s.queuedFront[parent] = active
	case Refused:
		s.refused++
	}
}

func (s *shedding) nextCall(active *run) {
	if active.callsLeft == 0 {
		s.end(active, true)
		return
	}
	active.callsLeft--
	s.retries = min(s.retries+retriesPerCall, maxRetries)
	s.sendCall(active)
}

func (s *shedding) sendCall(active *run) {
	active.nested = &Ticket{
		Route: "inner", Nested: true, Rank: 1, Arrived: s.now, Objective: s.now.Add(300 * time.Millisecond), Deadline: s.now.Add(700 * time.Millisecond),
	}
	switch s.downstream.Offer(s.now, active.nested).(type) {
	case Admitted:
		s.workCall(active)
	case Queued:
		s.queuedDownstream[active.nested] = active
	case Refused:
		s.endCall(active, false)
	}
}

func (s *shedding) workCall(active *run) {
	if s.random.Float64() < s.shed {
		s.downstream.Done(s.now, active.nested, Shed{})
		if s.retries >= 1 {
			s.retries--
			s.sendCall(active)
		} else {
			s.endCall(active, false)
		}
		s.dispatchAll()
		return
	}
	s.schedule(time.Duration(float64(downstreamWork)*(0.5+s.random.Float64())), func() {
		s.downstream.Done(s.now, active.nested, Completed{})
		s.dispatchAll()
		s.endCall(active, true)
	})
}

func (s *shedding) endCall(active *run, served bool) {
	if s.report {
		s.front.RecordCall(s.now, !served)
	}
	if !served {
		s.end(active, false)
		return
	}
	s.nextCall(active)
}

func (s *shedding) end(active *run, served bool) {
	if served {
		s.served["chain"]++
	} else {
		s.wasted++
	}
	s.front.Done(s.now, active.parent, Completed{Failed: !served})
	s.dispatchAll()
}

func (s *shedding) dispatchAll() {
	started, _ := s.front.Dispatch(s.now)
	for _, t := range started {
		active := s.queuedFront[t]
		s.schedule(frontWork, func() { s.nextCall(active) })
	}
	nested, dropped := s.downstream.Dispatch(s.now)
	for _, t := range nested {
		if active := s.queuedDownstream[t]; active.parent == t {
			s.workDirect(active)
		} else {
			s.workCall(active)
		}
	}
	for _, t := range dropped {
		if active := s.queuedDownstream[t]; active.parent != t {
			s.endCall(active, false)
		}
	}
}

// simulateShedding returns the counts of a time in which the downstream service sheds, and the runs that are refused
// once it no longer does.
func simulateShedding(t *testing.T, report bool) (s *shedding, refusedLater int) {
	const before, during, after = 5 * time.Second, 8 * time.Second, 5 * time.Second
	s = &shedding{simulation: newSimulation(t, 40, false), report: report, retries: maxRetries, direct: map[string]int{}}
	s.random = rand.New(rand.NewPCG(5, 6))
	arrivals := func(perSecond float64, arrive func()) {
		for at := time.Duration(0); at < before+during+after; at += time.Duration(float64(time.Second) / perSecond) {
			s.schedule(at, arrive)
		}
	}
	arrivals(160, s.arriveRun)
	arrivals(120, s.arriveDirect)
	s.schedule(before, func() {
		s.shed, s.refused, s.wasted = 0.55, 0, 0
		clear(s.served)
		clear(s.direct)
	})
	counts := &shedding{simulation: &simulation{served: map[string]int{}}, direct: map[string]int{}}
	s.schedule(before+during, func() {
		s.shed = 0
		counts.served["chain"], counts.wasted, counts.refused = s.served["chain"], s.wasted, s.refused
		counts.direct["served"], counts.direct["offered"] = s.direct["served"], s.direct["offered"]
	})
	s.schedule(before+during+2*time.Second, func() { s.refused = 0 })
	s.run()
	return counts, s.refused
}

// Guards against runs that are started although nearly all of them fail for want of a nested call: they use up the
// slots of the shedding service for nothing, so that requests that need only one answer of it come late.
func TestFutileRunsAreRefused(t *testing.T) {
	limited, refusedLater := simulateShedding(t, true)
	unlimited, _ := simulateShedding(t, false)
	for name, s := range map[string]*shedding{"limited": limited, "unlimited": unlimited} {
		t.Logf("%s: direct %v, runs completed %d, failed %d, refused %d", name, s.direct, s.served["chain"], s.wasted, s.refused)
	}
	assert.Assert(t, limited.wasted <= unlimited.wasted/2)
	assert.Assert(t, limited.served["chain"] >= unlimited.served["chain"]*8/10) // fails: 88 and 138
	assert.Assert(t, limited.direct["served"] >= unlimited.direct["served"])
	assert.Equal(t, refusedLater, 0, "runs are refused 2 s after the service has recovered")
}
