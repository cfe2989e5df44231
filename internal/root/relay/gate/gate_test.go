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

// fill occupies all slots after completed runs of 100 ms each, which set the average run time.
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

// Guards against more requests in the server than it has slots: the server does not respond to those that it
// cannot queue.
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

// Guards against less urgent requests that start before more urgent ones, and against nested calls that
// wait behind new requests while their parent requests hold slots.
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

// Guards against queueing a request that cannot be served in time, and against advice to retry before a slot
// is free.
func TestRefusesRequestsThatCannotBeServedInTime(t *testing.T) {
	g := New(1)
	fill(g, 1)
	now := t0.Add(100 * time.Millisecond)
	var refused Refused
	queued := 0
	for {
		decision := g.Offer(now, ticket("warm", 2, 100*time.Millisecond))
		if refusal, ok := decision.(Refused); ok {
			refused = refusal
			break
		}
		queued++
	}
	// A run takes 100 ms and the objective is 1 s away: less than ten can wait.
	assert.Assert(t, queued >= 5 && queued < 10, "%d queued", queued)
	assert.Assert(t, refused.RetryAfter >= minRetryAfter && refused.Wait >= 500*time.Millisecond, "%+v", refused)
}

// Guards against starting queued requests that can no longer meet their deadline.
func TestDropsExpiredRequests(t *testing.T) {
	g := New(1)
	fill(g, 1)
	now := t0.Add(100 * time.Millisecond)
	waiting := ticket("warm", 0, 100*time.Millisecond)
	g.Offer(now, waiting)
	expiry, ok := g.NextDispatch(now)
	assert.Assert(t, ok && expiry.Before(waiting.Deadline))
	started, dropped := g.Dispatch(expiry.Add(time.Millisecond))
	assert.Equal(t, len(started), 0)
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, g.Waiting(), 0)
}

// Guards against a request that starts after its caller has disconnected, and one that gets two responses.
func TestCancel(t *testing.T) {
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

// Guards against requests that stay in the queue of a server that is leaving.
func TestFlush(t *testing.T) {
	g := New(1)
	fill(g, 1)
	now := t0.Add(100 * time.Millisecond)
	for range 3 {
		g.Offer(now, ticket("warm", 2, 100*time.Millisecond))
	}
	assert.Equal(t, len(g.Flush()), 3)
	assert.Equal(t, g.Waiting(), 0)
	_, pending := g.NextDispatch(now)
	assert.Assert(t, !pending)
}

// Guards against limiting the most urgent routes as early as the others, and against a limit that stays after
// the congestion of the services downstream has ended.
func TestCongestionLimitsLessUrgentRoutesFirst(t *testing.T) {
	g := New(100)
	low, high := ticket("low", 2, 0), ticket("high", 0, 0)
	now := t0
	step := func(congestion float64, steps int) {
		for range steps {
			now = now.Add(limitStep)
			g.ReportCongestion(now, congestion)
			for _, template := range []*Ticket{low, high} {
				run := *template
				g.Offer(now, &run)
				g.Done(now, &run, Completed{})
			}
		}
	}
	step((urgentCongestion+otherCongestion)/2, 40)
	assert.Equal(t, g.route("low").limit, float64(minLimit))
	assert.Equal(t, g.route("high").limit, float64(usableSlots(100)))
	step(2*urgentCongestion, 40)
	assert.Equal(t, g.route("high").limit, float64(minLimit))
	step(0, 100)
	assert.Assert(t, g.route("low").limit > minLimit+1, "limit %v", g.route("low").limit)
}

// Guards against a load report that lacks the congestion of the services downstream, which the callers of this
// service need to limit their own runs.
func TestCongestionIsPropagated(t *testing.T) {
	g := New(10)
	for i := range 50 {
		g.ReportCongestion(t0.Add(time.Duration(i)*10*time.Millisecond), 3)
	}
	now := t0.Add(500 * time.Millisecond)
	assert.Assert(t, g.Load(now, ticket("any", 2, 0)).Congestion > 2)
	assert.Assert(t, g.Load(now.Add(5*time.Second), ticket("any", 2, 0)).Congestion < 0.1)
}

// Guards against reported arrivals that include refused requests, which take no slot.
func TestArrivalsCountAcceptedRequests(t *testing.T) {
	g := New(2)
	for range 2 {
		g.Offer(t0, ticket("warm", 2, 0))
	}
	late := ticket("late", 2, 0)
	late.Deadline = t0.Add(-time.Second)
	_, refused := g.Offer(t0, late).(Refused)
	assert.Assert(t, refused)
	assert.Equal(t, g.Load(t0, late).Arrivals, 2.0)
	assert.Assert(t, g.Load(t0.Add(5*time.Second), late).Arrivals < 0.1)
}
