package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

const testColdRate = 20 // requests per second

// cold returns a limiter of a server that is cold for the given time.
func cold(slots int, coldFor time.Duration) *Limiter {
	l := warm(slots)
	l.ConfigureCold(start, testColdRate, 3*time.Second, time.Time{})
	l.ReportCold(start, coldFor, true)
	return l
}

// Guards against a burst that crashes a cold server, against calls that wait longer there than they may, against
// critical calls that wait behind others, and against a queue that keeps its pace although the server is warm.
func TestBurstAtColdServer(t *testing.T) {
	l := cold(100, 10*time.Second)
	queued := []*Ticket{}
	for range 20 {
		tk := ticket("a", Normal)
		switch decision := l.Offer(start, tk).(type) {
		case Admitted:
			t.Fatal("a call started although the bucket was empty")
		case Queued:
			assert.Assert(t, decision.Cold)
			queued = append(queued, tk)
		case Refused:
			assert.Equal(t, decision, Refused{Failure: retry.QueueFull{}, Cold: true})
		}
	}
	assert.Equal(t, len(queued), 2) // at 20 starts per second two start within maxQueueWait
	critical := ticket("a", Critical)
	_, waits := l.Offer(start, critical).(Queued)
	assert.Assert(t, waits)
	now, ok := l.NextStart(start)
	assert.Assert(t, ok && now.Sub(start) == 50*time.Millisecond)
	l.Dispatch(now)
	assert.Assert(t, granted(critical) && !granted(queued[0]))
	load := l.Load(now)
	assert.Assert(t, load.ColdRate == testColdRate && load.ColdWait > 100*time.Millisecond && load.ColdFor > 9*time.Second)
	l.ReportCold(now, 0, false)
	assert.Assert(t, granted(queued[0]) && granted(queued[1]))
	assert.Equal(t, l.Load(now).ColdFor, time.Duration(0))
	assert.Equal(t, l.limit.saturated, false) // the slots are not the reason
}

// Guards against a call that is refused at the end of its wait although its start at the cold server is due then.
func TestStartAtTheEndOfTheWait(t *testing.T) {
	l := cold(100, 10*time.Second)
	l.ConfigureCold(start, 10, 3*time.Second, time.Time{})
	l.ReportCold(start, 0, false)
	l.ReportCold(start, time.Second, false)
	tk := ticket("a", Normal)
	decision, queued := l.Offer(start, tk).(Queued)
	assert.Assert(t, queued && decision.Until.Equal(start.Add(100*time.Millisecond)))
	assert.Equal(t, l.Expire(decision.Until, tk), Decision(Admitted{}))
}

// Guards against calls that were admitted to a warm server and reach it after it has restarted.
func TestCallsOnTheirWayWhenServerTurnsCold(t *testing.T) {
	l := warm(40)
	l.ConfigureCold(start, testColdRate, 3*time.Second, time.Time{})
	tickets := fill(t, l, "a", 30)
	assert.Assert(t, l.Confirm(start, tickets[0]))
	l.SuspectRestart(start)
	confirmed := 0
	for _, tk := range tickets {
		if l.Confirm(start.Add(50*time.Millisecond), tk) {
			confirmed++
		}
	}
	assert.Equal(t, confirmed, 1)
	l.ConfigureCold(start, 0, 0, time.Time{}) // no limit
	assert.Assert(t, l.Confirm(start, tickets[29]))
}

// Guards against calls that were started at the rate of a cold server, have waited for a connection since and are sent
// together, and against a call that takes two turns although it is sent soon.
func TestLateCallTakesNewTurn(t *testing.T) {
	l := cold(100, 10*time.Second)
	now, sent := start, 0
	var admitted []*Ticket
	for len(admitted) < 20 {
		now = now.Add(time.Second / testColdRate)
		tk := ticket("a", Normal)
		assert.Equal(t, l.Offer(now, tk), Decision(Admitted{}))
		assert.Assert(t, l.Confirm(now.Add(maxPacedDelay), tk))
		admitted = append(admitted, tk)
	}
	now = now.Add(2 * maxPacedDelay)
	for _, tk := range admitted {
		if l.Confirm(now, tk) {
			sent++
		}
	}
	assert.Equal(t, sent, 1)
	assert.Assert(t, l.Confirm(now, admitted[0]))
}
