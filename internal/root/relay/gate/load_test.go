package gate

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The replay runs two gates: a front service whose runs make calls, one after the other, at a service
// behind it that has too little room for all of them.
type (
	replay struct {
		t      *testing.T
		now    time.Time
		due    events
		random *rand.Rand
		front  *Controller
		behind *Controller
		passed bool // strain is passed from the service behind to the front

		waitFront  map[*Ticket]*run
		waitBehind map[*Ticket]*run
		served     map[string]int
		asked      map[string]int
		wasted     int // runs that did not end in time
	}

	run struct {
		outer    *Ticket
		inner    *Ticket
		calls    int // left
		finished bool
	}

	event struct {
		at time.Time
		do func()
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
	ownWork   = 200 * time.Millisecond
	callWork  = 50 * time.Millisecond
	callCount = 4
)

func newReplay(t *testing.T, slotsBehind int, passed bool) *replay {
	return &replay{
		t: t, now: t0, random: rand.New(rand.NewPCG(1, 2)), front: New(200), behind: New(slotsBehind), passed: passed,
		waitFront: map[*Ticket]*run{}, waitBehind: map[*Ticket]*run{}, served: map[string]int{}, asked: map[string]int{},
	}
}

func (r *replay) at(after time.Duration, do func()) {
	heap.Push(&r.due, event{at: r.now.Add(after), do: do})
}

// arrivals offers requests of a route at a steady rate.
func (r *replay) arrivals(route string, rank int, perSecond float64, span time.Duration) {
	gap := time.Duration(float64(time.Second) / perSecond)
	for at := time.Duration(0); at < span; at += gap {
		r.at(at, func() { r.arrive(route, rank) })
	}
}

func (r *replay) arrive(route string, rank int) {
	r.asked[route]++
	outer := &Ticket{Route: route, Rank: rank, Arrived: r.now, Objective: r.now.Add(1500 * time.Millisecond), Deadline: r.now.Add(1200 * time.Millisecond)}
	each := &run{outer: outer, calls: callCount}
	switch r.front.Offer(r.now, outer).(type) {
	case Admitted:
		r.begin(each)
	case Queued:
		r.waitFront[outer] = each
	case Refused:
	}
}

func (r *replay) begin(each *run) {
	r.at(time.Duration(float64(ownWork)*(0.7+0.6*r.random.Float64())), func() { r.call(each) })
}

// call makes the next call of a run, or ends it.
func (r *replay) call(each *run) {
	switch {
	case each.calls == 0:
		r.finish(each, !r.now.After(each.outer.Deadline))
		return
	case !r.now.Before(each.outer.Deadline):
		r.finish(each, false)
		return
	}
	each.calls--
	each.inner = &Ticket{
		Route: "inner", Nested: true, Rank: 1, Arrived: r.now,
		Objective: r.now.Add(300 * time.Millisecond), Deadline: earlierOf(r.now.Add(700*time.Millisecond), each.outer.Deadline),
	}
	switch r.behind.Offer(r.now, each.inner).(type) {
	case Admitted:
		r.work(each)
	case Queued:
		r.waitBehind[each.inner] = each
	case Refused:
		r.finish(each, false)
	}
}

func (r *replay) work(each *run) {
	inner := each.inner
	r.at(time.Duration(float64(callWork)*(0.5+r.random.Float64())), func() {
		r.behind.Done(r.now, inner, Completed{})
		r.settle()
		if r.passed {
			r.front.ReportCongestion(r.now, r.behind.Load(r.now, inner).Congestion)
		}
		r.call(each)
	})
}

func (r *replay) finish(each *run, served bool) {
	if each.finished {
		return
	}
	each.finished = true
	if served {
		r.served[each.outer.Route]++
	} else {
		r.wasted++
	}
	r.front.Done(r.now, each.outer, Completed{})
	r.settle()
}

func (r *replay) settle() {
	started, _ := r.front.Dispatch(r.now)
	for _, t := range started {
		r.begin(r.waitFront[t])
	}
	inner, dropped := r.behind.Dispatch(r.now)
	for _, t := range inner {
		r.work(r.waitBehind[t])
	}
	for _, t := range dropped {
		r.finish(r.waitBehind[t], false)
	}
}

func (r *replay) play() {
	heap.Init(&r.due)
	for len(r.due) > 0 {
		next := heap.Pop(&r.due).(event)
		r.now = next.at
		next.do()
	}
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Replays a burst in which the service behind has room for 40 of 60 outer requests a second. Guards against
// the collapse in which nearly all runs hold their slots to the deadline and use the service behind for
// nothing, and against urgent requests that share the loss.
func TestServiceBehindIsShortOfRoom(t *testing.T) {
	const span = 20 * time.Second
	play := func(passed bool) *replay {
		r := newReplay(t, 8, passed) // 8 slots at 50 ms serve 160 calls a second, four for each outer request
		r.arrivals("low", 2, 45, span)
		r.arrivals("high", 0, 15, span)
		r.play()
		return r
	}
	limited, open := play(true), play(false)
	capacity := 40 * int(span/time.Second)
	total := limited.served["low"] + limited.served["high"]
	t.Logf("limited: served %v of %v, wasted %d; without strain: served %v, wasted %d", limited.served, limited.asked, limited.wasted, open.served, open.wasted)
	assert.Assert(t, total >= capacity*8/10, "served %d of %d that there is room for", total, capacity)
	assert.Assert(t, limited.served["high"] >= limited.asked["high"]*9/10, "urgent requests served: %d", limited.served["high"])
	assert.Assert(t, limited.wasted <= total/5, "%d runs for nothing, %d served", limited.wasted, total)
	assert.Assert(t, total > open.served["low"]+open.served["high"])
}

// Replays twice the load that a server has room for; the server gets slower while nearly all of its slots are
// taken. Guards against a gate that fills the server up and loses the room that it had.
func TestServerThatSlowsDownWhenNearlyFull(t *testing.T) {
	const (
		slots = 35
		work  = 30 * time.Millisecond
		span  = 10 * time.Second
	)
	r := &replay{t: t, now: t0, random: rand.New(rand.NewPCG(1, 2)), front: New(slots)}
	served, waiting := 0, map[*Ticket]bool{}
	var begin func(*Ticket)
	begin = func(each *Ticket) {
		took := work
		if float64(r.front.Running()) >= 0.95*slots {
			took = took * 13 / 10
		}
		r.at(took, func() {
			served++
			r.front.Done(r.now, each, Completed{})
			started, dropped := r.front.Dispatch(r.now)
			for _, next := range started {
				delete(waiting, next)
				begin(next)
			}
			for _, lost := range dropped {
				delete(waiting, lost)
			}
		})
	}
	for at := time.Duration(0); at < span; at += work / (2 * slots) {
		r.at(at, func() {
			each := &Ticket{Route: "inner", Nested: true, Arrived: r.now, Objective: r.now.Add(300 * time.Millisecond), Deadline: r.now.Add(700 * time.Millisecond)}
			switch r.front.Offer(r.now, each).(type) {
			case Admitted:
				begin(each)
			case Queued:
				waiting[each] = true
			case Refused:
			}
		})
	}
	r.play()
	room := slots * 95 / 100 * int(span/work)
	t.Logf("served %d of %d that there is room for", served, room)
	assert.Assert(t, served >= room*95/100, "served %d of %d that there is room for", served, room)
	assert.Equal(t, len(waiting), 0)
}
