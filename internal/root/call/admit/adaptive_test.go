package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// saturate offers a limiter more requests than it admits for the duration d, in steps of 10 ms. Every request
// lasts for latency and ends with the result for the limit at that time, which is the number in flight.
func saturate(l *Limiter, from time.Time, d, latency time.Duration, result func(limit int) Result) time.Time {
	type running struct {
		tk  *Ticket
		end time.Time
	}
	var live []running
	now := from
	for ; now.Before(from.Add(d)); now = now.Add(10 * time.Millisecond) {
		remaining := live[:0]
		for _, r := range live {
			if r.end.After(now) {
				remaining = append(remaining, r)
			} else {
				l.Done(now, r.tk, result(l.Load(start).Limit))
			}
		}
		live = remaining
		for {
			tk := ticket("a", Normal)
			tk.Deadline = now.Add(time.Hour)
			if _, ok := l.Offer(now, tk).(Admitted); !ok {
				l.Cancel(now, tk)
				break
			}
			live = append(live, running{tk, now.Add(latency)})
		}
	}
	for _, r := range live {
		l.Done(now, r.tk, Canceled{})
	}
	return now
}

func completed(latency time.Duration) func(int) Result {
	return func(int) Result { return Completed{Latency: latency} }
}

// Guards against a new backend server that receives full load before its caches are warm, and against a limit
// that never reaches the announced slots.
func TestColdStartGrows(t *testing.T) {
	l := NewLimiter(start, 100)
	assert.Assert(t, l.Load(start).Limit <= 50)
	now := saturate(l, start, 3*time.Second, 50*time.Millisecond, completed(50*time.Millisecond))
	assert.Equal(t, l.Load(start).Limit, 100)
	l.Restart(now, 100)
	assert.Assert(t, l.Load(start).Limit <= 50)
}

// Guards against a limit that does not fall when the backend server sheds load, and against one that stays low
// after the shedding has ended.
func TestSheddingLowersAndRecovers(t *testing.T) {
	l := warm(100)
	now := saturate(l, start, 4*time.Second, 50*time.Millisecond, func(limit int) Result {
		if limit > 30 {
			return Shed{}
		}
		return Completed{Latency: 50 * time.Millisecond}
	})
	assert.Assert(t, l.Load(start).Limit <= 40, "limit %d", l.Load(start).Limit)
	saturate(l, now, 3*time.Second, 50*time.Millisecond, completed(50*time.Millisecond))
	assert.Equal(t, l.Load(start).Limit, 100)
}

// Guards against a limit above the concurrency that a backend server can use: its latency grows with the
// number in flight above 25, far below its announced slots.
func TestAnnouncedSlotsAboveCapacity(t *testing.T) {
	l := warm(100)
	now := saturate(l, start, 2*time.Second, 50*time.Millisecond, completed(50*time.Millisecond))
	highest := 0
	for range 40 {
		now = saturate(l, now, 200*time.Millisecond, 50*time.Millisecond, func(limit int) Result {
			return Completed{Latency: time.Duration(max(1, float64(limit)/25) * 50e6)}
		})
		highest = l.Load(start).Limit
	}
	assert.Assert(t, highest <= 60 && highest >= 12, "limit %d", highest)
}

// Guards against a limit that stays low for a latency that does not depend on it, and against a reference
// that stays high after the latency has returned to normal.
func TestSlowServerKeepsItsSlots(t *testing.T) {
	l := warm(100)
	now := saturate(l, start, 2*time.Second, 50*time.Millisecond, completed(50*time.Millisecond))
	now = saturate(l, now, 6*time.Second, 500*time.Millisecond, completed(500*time.Millisecond))
	assert.Assert(t, l.Load(start).Limit >= 90, "limit %d", l.Load(start).Limit)
	now = saturate(l, now, 3*time.Second, 50*time.Millisecond, completed(50*time.Millisecond))
	assert.Assert(t, l.limit.routes["r"].lowest <= 60e6)
	saturate(l, now, time.Hour/1200, 50*time.Millisecond, completed(50*time.Millisecond))
	assert.Equal(t, l.Load(start).Limit, 100)
}

// Guards against sending many requests to a stalled server, where their deadlines pass: its limit has to fall,
// and to return to all slots within 5 s after the stall.
func TestStalledServer(t *testing.T) {
	l := warm(100)
	now := saturate(l, start, 2*time.Second, 50*time.Millisecond, completed(50*time.Millisecond))
	now = saturate(l, now, 20*time.Second, time.Second, func(int) Result { return Expired{Latency: time.Second} })
	assert.Assert(t, l.Load(start).Limit <= 20, "limit %d", l.Load(start).Limit)
	saturate(l, now, 5*time.Second, 50*time.Millisecond, completed(50*time.Millisecond))
	assert.Equal(t, l.Load(start).Limit, 100)
}

// Guards against a limit that falls after an idle hour or because of slow requests at low load.
func TestIdleAndLowLoadKeepTheLimit(t *testing.T) {
	l := warm(100)
	now := saturate(l, start, 2*time.Second, 50*time.Millisecond, completed(50*time.Millisecond))
	now = now.Add(time.Hour)
	for range 2000 {
		tk := ticket("a", Normal)
		tk.Deadline = now.Add(time.Second)
		_, ok := l.Offer(now, tk).(Admitted)
		assert.Assert(t, ok)
		now = now.Add(20 * time.Millisecond)
		l.Done(now, tk, Completed{Latency: 300 * time.Millisecond})
	}
	assert.Equal(t, l.Load(start).Limit, 100)
}

// Guards against a limit that falls because the traffic shifts to routes with a higher latency, or because the
// bodies of responses are streamed for a long time.
func TestRoutesAreComparedWithThemselves(t *testing.T) {
	l := warm(100)
	now := start
	for i := range 20_000 {
		tk := ticket("a", Normal)
		tk.Deadline = now.Add(time.Second)
		latency := 10 * time.Millisecond
		if i > 10_000 || i%10 == 0 {
			tk.Route, latency = "slow", 400*time.Millisecond
		}
		l.limit.peakInFlight = 100
		l.Offer(now, tk)
		l.Responded(now, tk, latency)
		l.Done(now, tk, Completed{Latency: time.Minute})
		now = now.Add(time.Millisecond)
	}
	assert.Equal(t, l.Load(start).Limit, 100)
}
