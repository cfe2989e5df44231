package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
)

const testColdRate = 10 // requests per second

// coldController returns the controller of a server that is cold for the given time from t0 on.
func coldController(slots int, coldFor time.Duration) *Controller {
	g := New(slots)
	g.Cold = &warmup.Limiter{Rate: testColdRate, Period: coldFor}
	g.Cold.Report(t0, coldFor, true)
	return g
}

// Guards against a burst that crashes a cold server, against urgent requests that wait behind others there, and against
// requests that are queued although they cannot start in time at the cold rate. Also against a queue that
// keeps its pace although the server is warm.
func TestBurstAtColdServer(t *testing.T) {
	g := coldController(100, 10*time.Second)
	refused := 0
	for range 50 {
		switch decision := g.Offer(t0, ticket("low", 2, 0)).(type) {
		case Admitted:
			t.Fatal("a request started although the bucket was empty")
		case Refused:
			refused++
			assert.Assert(t, decision.Cold)
		case Queued:
			assert.Assert(t, decision.Cold)
		}
	}
	// At ten starts per second at most eight others start within 0.85 of one second.
	assert.Assert(t, refused >= 50-9 && refused <= 50-7, "%d refused", refused)
	urgent, nested := ticket("high", 0, 0), ticket("inner", 5, 0)
	nested.Nested = true
	g.Offer(t0, urgent)
	g.Offer(t0, nested)
	assert.Assert(t, g.Load(t0, ticket("low", 2, 0)).Wait > 900*time.Millisecond)
	assert.Equal(t, g.Load(t0, urgent).ColdRate, float64(testColdRate))
	var started []*Ticket
	now := t0
	for range 4 {
		next, ok := g.NextDispatch(now)
		assert.Assert(t, ok && next.After(now))
		now = next
		more, _ := g.Dispatch(now)
		assert.Equal(t, len(more), 1)
		started = append(started, more...)
	}
	assert.Equal(t, now.Sub(t0).Round(10*time.Millisecond), 400*time.Millisecond)
	assert.Assert(t, started[0] == nested && started[1] == urgent)
	g.Cold.Report(now, 0, false)
	more, _ := g.Dispatch(now)
	assert.Equal(t, len(more), 50-refused-2)
	assert.Equal(t, g.Load(now, urgent).ColdFor, time.Duration(0))
}

// Guards against a burst of requests that was admitted to a warm server and reaches it after it has turned cold, and
// against runs in progress that count again.
func TestRequestsOnTheirWayWhenServerTurnsCold(t *testing.T) {
	g := New(100)
	g.Cold = &warmup.Limiter{Rate: testColdRate, Period: 3 * time.Second}
	var tickets []*Ticket
	for range 40 {
		each := ticket("x", 0, 0)
		_, admitted := g.Offer(t0, each).(Admitted)
		assert.Assert(t, admitted && g.Confirm(t0, each))
		tickets = append(tickets, each)
	}
	g.Cold.SuspectRestart(t0)
	now := t0.Add(100 * time.Millisecond)
	confirmed := 0
	for _, each := range tickets {
		if g.Confirm(now, each) {
			confirmed++
			assert.Assert(t, g.Confirm(now, each)) // it is counted once
			continue
		}
		g.Done(now, each, Shed{})
	}
	assert.Equal(t, confirmed, 1)
	assert.Equal(t, g.Running(), 1)
}

// Guards against a timer that fires again and again while a cold server has no free slot: the end of a run dispatches
// the queue.
func TestFullColdServerSetsNoTimerForStarts(t *testing.T) {
	g := coldController(1, 10*time.Second)
	now := t0.Add(100 * time.Millisecond)
	first, second := ticket("x", 0, 100*time.Millisecond), ticket("x", 0, 100*time.Millisecond)
	_, admitted := g.Offer(now, first).(Admitted)
	assert.Assert(t, admitted)
	_, queued := g.Offer(now, second).(Queued)
	assert.Assert(t, queued)
	next, ok := g.NextDispatch(now)
	assert.Assert(t, ok && next.Equal(second.Deadline))
}
