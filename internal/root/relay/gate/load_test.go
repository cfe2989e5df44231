package gate

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type (
	// simulation runs two admission controllers in virtual time: that of a front service whose runs make nested
	// calls one after the other, and that of the downstream service, which has too few slots for all of them.
	simulation struct {
		t          *testing.T
		now        time.Time
		pending    events
		random     *rand.Rand
		front      *Controller
		downstream *Controller
		propagate  bool // the downstream service reports its congestion to the front

		queuedFront      map[*Ticket]*run
		queuedDownstream map[*Ticket]*run
		served           map[string]int
		offered          map[string]int
		wasted           int // runs that did not end in time
	}

	run struct {
		parent    *Ticket
		nested    *Ticket
		callsLeft int
		finished  bool
	}

	event struct {
		at     time.Time
		action func()
	}

	events []event
)

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const (
	frontWork      = 200 * time.Millisecond
	downstreamWork = 50 * time.Millisecond
	callsPerRun    = 4
)

func newSimulation(t *testing.T, downstreamSlots int, propagate bool) *simulation {
	return &simulation{
		t: t, now: t0, random: rand.New(rand.NewPCG(1, 2)), front: New(200), downstream: New(downstreamSlots), propagate: propagate,
		queuedFront: map[*Ticket]*run{}, queuedDownstream: map[*Ticket]*run{}, served: map[string]int{}, offered: map[string]int{},
	}
}

func (s *simulation) schedule(after time.Duration, action func()) {
	heap.Push(&s.pending, event{at: s.now.Add(after), action: action})
}

// arrivals offers requests of a route at a steady rate.
func (s *simulation) arrivals(route string, rank int, perSecond float64, span time.Duration) {
	gap := time.Duration(float64(time.Second) / perSecond)
	for at := time.Duration(0); at < span; at += gap {
		s.schedule(at, func() { s.arrive(route, rank) })
	}
}

func (s *simulation) arrive(route string, rank int) {
	s.offered[route]++
	parent := &Ticket{Route: route, Rank: rank, Arrived: s.now, Objective: s.now.Add(1500 * time.Millisecond), Deadline: s.now.Add(1200 * time.Millisecond)}
	active := &run{parent: parent, callsLeft: callsPerRun}
	switch s.front.Offer(s.now, parent).(type) {
	case Admitted:
		s.begin(active)
	case Queued:
		s.queuedFront[parent] = active
	case Refused:
	}
}

func (s *simulation) begin(active *run) {
	s.schedule(time.Duration(float64(frontWork)*(0.7+0.6*s.random.Float64())), func() { s.call(active) })
}

// call makes the next nested call of a run, or ends the run.
func (s *simulation) call(active *run) {
	switch {
	case active.callsLeft == 0:
		s.finish(active, !s.now.After(active.parent.Deadline))
		return
	case !s.now.Before(active.parent.Deadline):
		s.finish(active, false)
		return
	}
	active.callsLeft--
	active.nested = &Ticket{
		Route: "inner", Nested: true, Rank: 1, Arrived: s.now,
		Objective: s.now.Add(300 * time.Millisecond), Deadline: earlier(s.now.Add(700*time.Millisecond), active.parent.Deadline),
	}
	switch s.downstream.Offer(s.now, active.nested).(type) {
	case Admitted:
		s.work(active)
	case Queued:
		s.queuedDownstream[active.nested] = active
	case Refused:
		s.finish(active, false)
	}
}

func (s *simulation) work(active *run) {
	nested := active.nested
	s.schedule(time.Duration(float64(downstreamWork)*(0.5+s.random.Float64())), func() {
		s.downstream.Done(s.now, nested, Completed{})
		s.dispatch()
		if s.propagate {
			s.front.ReportCongestion(s.now, s.downstream.Load(s.now, nested).Congestion)
		}
		s.call(active)
	})
}

func (s *simulation) finish(active *run, served bool) {
	if active.finished {
		return
	}
	active.finished = true
	if served {
		s.served[active.parent.Route]++
	} else {
		s.wasted++
	}
	s.front.Done(s.now, active.parent, Completed{})
	s.dispatch()
}

func (s *simulation) dispatch() {
	started, _ := s.front.Dispatch(s.now)
	for _, t := range started {
		s.begin(s.queuedFront[t])
	}
	nested, dropped := s.downstream.Dispatch(s.now)
	for _, t := range nested {
		s.work(s.queuedDownstream[t])
	}
	for _, t := range dropped {
		s.finish(s.queuedDownstream[t], false)
	}
}

func (s *simulation) run() {
	heap.Init(&s.pending)
	for len(s.pending) > 0 {
		next := heap.Pop(&s.pending).(event)
		s.now = next.at
		next.action()
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Simulates a burst in which the downstream service can serve 40 of 60 parent requests a second. Guards against
// a congestion collapse, in which nearly all runs hold their slots until the deadline and use the downstream
// service for nothing, and against refusing urgent requests as often as the others.
func TestDownstreamServiceIsOverloaded(t *testing.T) {
	const span = 20 * time.Second
	simulate := func(propagate bool) *simulation {
		s := newSimulation(t, 8, propagate) // 8 slots at 50 ms serve 160 calls a second, four for each parent request
		s.arrivals("low", 2, 45, span)
		s.arrivals("high", 0, 15, span)
		s.run()
		return s
	}
	limited, unlimited := simulate(true), simulate(false)
	capacity := 40 * int(span/time.Second)
	total := limited.served["low"] + limited.served["high"]
	t.Logf("limited: served %v of %v, wasted %d; without congestion reports: served %v, wasted %d", limited.served, limited.offered, limited.wasted, unlimited.served, unlimited.wasted)
	assert.Assert(t, total >= capacity*8/10, "served %d of %d that the downstream service has capacity for", total, capacity)
	assert.Assert(t, limited.served["high"] >= limited.offered["high"]*9/10, "urgent requests served: %d", limited.served["high"])
	assert.Assert(t, limited.wasted <= total/5, "%d runs wasted, %d served", limited.wasted, total)
	assert.Assert(t, total > unlimited.served["low"]+unlimited.served["high"])
}

// Simulates twice the load that a server has capacity for; the server gets slower while nearly all of its slots are
// taken. Guards against filling all slots, which lowers the throughput of the server.
func TestServerThatSlowsDownWhenNearlyFull(t *testing.T) {
	const (
		slots = 35
		work  = 30 * time.Millisecond
		span  = 10 * time.Second
	)
	s := &simulation{t: t, now: t0, random: rand.New(rand.NewPCG(1, 2)), front: New(slots)}
	served, waiting := 0, map[*Ticket]bool{}
	var begin func(*Ticket)
	begin = func(ticket *Ticket) {
		duration := work
		if float64(s.front.Running()) >= 0.95*slots {
			duration = duration * 13 / 10
		}
		s.schedule(duration, func() {
			served++
			s.front.Done(s.now, ticket, Completed{})
			started, dropped := s.front.Dispatch(s.now)
			for _, next := range started {
				delete(waiting, next)
				begin(next)
			}
			for _, expired := range dropped {
				delete(waiting, expired)
			}
		})
	}
	for at := time.Duration(0); at < span; at += work / (2 * slots) {
		s.schedule(at, func() {
			ticket := &Ticket{Route: "inner", Nested: true, Arrived: s.now, Objective: s.now.Add(300 * time.Millisecond), Deadline: s.now.Add(700 * time.Millisecond)}
			switch s.front.Offer(s.now, ticket).(type) {
			case Admitted:
				begin(ticket)
			case Queued:
				waiting[ticket] = true
			case Refused:
			}
		})
	}
	s.run()
	capacity := slots * 95 / 100 * int(span/work)
	t.Logf("served %d of a capacity of %d", served, capacity)
	assert.Assert(t, served >= capacity*95/100, "served %d of a capacity of %d", served, capacity)
	assert.Equal(t, len(waiting), 0)
}
