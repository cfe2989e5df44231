package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var t0 = time.Unix(1_000_000, 0)

// ticket returns a request that arrives at a time after t0, with two seconds to its deadline.
func ticket(route string, rank int, at time.Duration) *Ticket {
	arrived := t0.Add(at)
	return &Ticket{Route: route, Rank: rank, Arrived: arrived, Objective: arrived.Add(time.Second), Deadline: arrived.Add(2 * time.Second)}
}

// fill occupies all slots with runs of 100 ms each, so that run times are known.
func fill(g *Controller, slots int) []*Ticket {
	var running []*Ticket
	for range slots {
		first := ticket("warm", 2, 0)
		g.Offer(t0, first)
		g.Done(t0.Add(100*time.Millisecond), first, Completed{})
		next := ticket("warm", 2, 100*time.Millisecond)
		g.Offer(t0.Add(100*time.Millisecond), next)
		running = append(running, next)
	}
	return running
}

// Guards against more requests in the server than it has slots: it never answers what it cannot queue.
func TestSlotsBoundRuns(t *testing.T) {
	g := New(2)
	fill(g, 2)
	now := t0.Add(100 * time.Millisecond)
	_, queued := g.Offer(now, ticket("warm", 2, 100*time.Millisecond)).(Queued)
	assert.Assert(t, queued)
	assert.Equal(t, g.Running(), 2)
	started, _ := g.Dispatch(now)
	assert.Equal(t, len(started), 0)
}

// Guards against less urgent requests that fare better than more urgent ones, and against nested calls that
// wait behind new work while their outer requests hold slots.
func TestOrderOfUrgency(t *testing.T) {
	g := New(1)
	running := fill(g, 1)
	now := t0.Add(100 * time.Millisecond)
	late, urgent := ticket("low", 2, 100*time.Millisecond), ticket("high", 0, 100*time.Millisecond)
	nested := ticket("inner", 5, 100*time.Millisecond)
	nested.Nested = true
	for _, each := range []*Ticket{late, urgent, nested} {
		_, queued := g.Offer(now, each).(Queued)
		assert.Assert(t, queued, each.Route)
	}
	for _, want := range []*Ticket{nested, urgent, late} {
		now = now.Add(10 * time.Millisecond)
		g.Done(now, running[0], Completed{})
		started, dropped := g.Dispatch(now)
		assert.Equal(t, len(dropped), 0)
		assert.Equal(t, len(started), 1)
		assert.Equal(t, started[0].Route, want.Route)
		running = started
	}
}

// Guards against a request that is held although it cannot be served in time, and against advice to come
// back before there is room.
func TestRefusesAtOnceWhatCannotBeServed(t *testing.T) {
	g := New(1)
	fill(g, 1)
	now := t0.Add(100 * time.Millisecond)
	var refused Refused
	queued := 0
	for {
		decision := g.Offer(now, ticket("warm", 2, 100*time.Millisecond))
		if answer, ok := decision.(Refused); ok {
			refused = answer
			break
		}
		queued++
	}
	// A run takes 100 ms and the objective is 1 s away: less than ten can wait.
	assert.Assert(t, queued >= 5 && queued < 10, "%d queued", queued)
	assert.Assert(t, refused.RetryAfter >= minAfter && refused.Wait >= 500*time.Millisecond, "%+v", refused)
}

// Guards against work on what has lost its chance in the queue.
func TestDropsWhatHasLostItsChance(t *testing.T) {
	g := New(1)
	fill(g, 1)
	now := t0.Add(100 * time.Millisecond)
	waiting := ticket("warm", 0, 100*time.Millisecond)
	g.Offer(now, waiting)
	due, ok := g.NextExpiry()
	assert.Assert(t, ok && due.Before(waiting.Deadline))
	started, dropped := g.Dispatch(due.Add(time.Millisecond))
	assert.Equal(t, len(started), 0)
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, g.Waiting(), 0)
}

// Guards against a request that runs after its caller has left, and one that is answered twice.
func TestWithdraw(t *testing.T) {
	g := New(1)
	running := fill(g, 1)
	now := t0.Add(100 * time.Millisecond)
	waiting := ticket("warm", 2, 100*time.Millisecond)
	g.Offer(now, waiting)
	assert.Assert(t, g.Cancel(waiting))
	assert.Assert(t, !g.Cancel(waiting))
	g.Done(now, running[0], Completed{})
	started, _ := g.Dispatch(now)
	assert.Equal(t, len(started), 0)
	assert.Assert(t, !g.Cancel(running[0]))
}

// Guards against requests that stay in the queue of a server that leaves.
func TestFlush(t *testing.T) {
	g := New(1)
	fill(g, 1)
	now := t0.Add(100 * time.Millisecond)
	for range 3 {
		g.Offer(now, ticket("warm", 2, 100*time.Millisecond))
	}
	assert.Equal(t, len(g.Flush()), 3)
	assert.Equal(t, g.Waiting(), 0)
	_, pending := g.NextExpiry()
	assert.Assert(t, !pending)
}

// Guards against a limit that hits the most urgent routes as early as the others, and one that stays after
// the services behind have room again.
func TestStrainLimitsTheLessUrgentFirst(t *testing.T) {
	g := New(100)
	low, high := ticket("low", 2, 0), ticket("high", 0, 0)
	now := t0
	step := func(strain float64, steps int) {
		for range steps {
			now = now.Add(limitStep)
			g.ReportCongestion(now, strain)
			for _, like := range []*Ticket{low, high} {
				run := *like
				g.Offer(now, &run)
				g.Done(now, &run, Completed{})
			}
		}
	}
	step((urgentStrain+otherStrain)/2, 40)
	assert.Equal(t, g.route("low").limit, float64(minLimit))
	assert.Equal(t, g.route("high").limit, float64(usable(100)))
	step(2*urgentStrain, 40)
	assert.Equal(t, g.route("high").limit, float64(minLimit))
	step(0, 100)
	assert.Assert(t, g.route("low").limit > minLimit+1, "limit %v", g.route("low").limit)
}

// Guards against a report that hides the strain of the services behind from those in front.
func TestStrainIsPassedOn(t *testing.T) {
	g := New(10)
	for i := range 50 {
		g.ReportCongestion(t0.Add(time.Duration(i)*10*time.Millisecond), 3)
	}
	now := t0.Add(500 * time.Millisecond)
	assert.Assert(t, g.Load(now, ticket("any", 2, 0)).Congestion > 2)
	assert.Assert(t, g.Load(now.Add(5*time.Second), ticket("any", 2, 0)).Congestion < 0.1)
}
