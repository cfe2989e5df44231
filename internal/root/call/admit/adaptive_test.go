package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drive offers a limiter more than it admits, in steps of 10 ms; every request lasts for latency and ends
// with the result for the present limit, which is the number in flight.
func drive(l *Limiter, from time.Time, d, latency time.Duration, result func(limit int) Result) time.Time {
	type running struct {
		tk  *Ticket
		end time.Time
	}
	var live []running
	now := from
	for ; now.Before(from.Add(d)); now = now.Add(10 * time.Millisecond) {
		still := live[:0]
		for _, r := range live {
			if r.end.After(now) {
				still = append(still, r)
			} else {
				l.Done(now, r.tk, result(l.Load().Limit))
			}
		}
		live = still
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

func answers(latency time.Duration) func(int) Result {
	return func(int) Result { return Completed{Latency: latency} }
}

// Guards against a cold backend server that gets full load at once, and against one that never does.
func TestColdStartGrows(t *testing.T) {
	l := NewLimiter(start, 100)
	assert.Assert(t, l.Load().Limit <= 50)
	now := drive(l, start, 3*time.Second, 50*time.Millisecond, answers(50*time.Millisecond))
	assert.Equal(t, l.Load().Limit, 100)
	l.Restart(now, 100)
	assert.Assert(t, l.Load().Limit <= 50)
}

// Guards against a limit that ignores a backend server that sheds load, and one that stays low.
func TestSheddingLowersAndRecovers(t *testing.T) {
	l := warm(100)
	now := drive(l, start, 4*time.Second, 50*time.Millisecond, func(limit int) Result {
		if limit > 30 {
			return Shed{}
		}
		return Completed{Latency: 50 * time.Millisecond}
	})
	assert.Assert(t, l.Load().Limit <= 40, "limit %d", l.Load().Limit)
	drive(l, now, 3*time.Second, 50*time.Millisecond, answers(50*time.Millisecond))
	assert.Equal(t, l.Load().Limit, 100)
}

// Guards against more concurrency than a backend server can use: its latency grows with the number in
// flight above 25, far below its announced slots.
func TestMisleadingSlots(t *testing.T) {
	l := warm(100)
	now := drive(l, start, 2*time.Second, 50*time.Millisecond, answers(50*time.Millisecond))
	highest := 0
	for range 40 {
		now = drive(l, now, 200*time.Millisecond, 50*time.Millisecond, func(limit int) Result {
			return Completed{Latency: time.Duration(max(1, float64(limit)/25) * 50e6)}
		})
		highest = l.Load().Limit
	}
	assert.Assert(t, highest <= 60 && highest >= 12, "limit %d", highest)
}

// Guards against a limit that is lowered for a latency it has no influence on, and against a reference
// that stays high when the latency is normal again.
func TestSlowServerKeepsItsSlots(t *testing.T) {
	l := warm(100)
	now := drive(l, start, 2*time.Second, 50*time.Millisecond, answers(50*time.Millisecond))
	now = drive(l, now, 6*time.Second, 500*time.Millisecond, answers(500*time.Millisecond))
	assert.Assert(t, l.Load().Limit >= 90, "limit %d", l.Load().Limit)
	now = drive(l, now, 3*time.Second, 50*time.Millisecond, answers(50*time.Millisecond))
	assert.Assert(t, l.limit.routes["r"].lowest <= 60e6)
	drive(l, now, time.Hour/1200, 50*time.Millisecond, answers(50*time.Millisecond))
	assert.Equal(t, l.Load().Limit, 100)
}

// Guards against work for requests whose deadline passes: a stalled server gets few of them, and all
// slots again within 5 s after the stall.
func TestStalledServer(t *testing.T) {
	l := warm(100)
	now := drive(l, start, 2*time.Second, 50*time.Millisecond, answers(50*time.Millisecond))
	now = drive(l, now, 20*time.Second, time.Second, func(int) Result { return Expired{Latency: time.Second} })
	assert.Assert(t, l.Load().Limit <= 20, "limit %d", l.Load().Limit)
	drive(l, now, 5*time.Second, 50*time.Millisecond, answers(50*time.Millisecond))
	assert.Equal(t, l.Load().Limit, 100)
}

// Guards against an idle hour, or a few slow requests at low load, that cost slots afterwards.
func TestIdleAndLowLoadKeepTheLimit(t *testing.T) {
	l := warm(100)
	now := drive(l, start, 2*time.Second, 50*time.Millisecond, answers(50*time.Millisecond))
	now = now.Add(time.Hour)
	for range 2000 {
		tk := ticket("a", Normal)
		tk.Deadline = now.Add(time.Second)
		_, ok := l.Offer(now, tk).(Admitted)
		assert.Assert(t, ok)
		now = now.Add(20 * time.Millisecond)
		l.Done(now, tk, Completed{Latency: 300 * time.Millisecond})
	}
	assert.Equal(t, l.Load().Limit, 100)
}

// Guards against a mix of routes in which the slow ones look like overload, and against downloads whose
// body takes long.
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
		l.limit.busiest = 100
		l.Offer(now, tk)
		l.Responded(now, tk, latency)
		l.Done(now, tk, Completed{Latency: time.Minute})
		now = now.Add(time.Millisecond)
	}
	assert.Equal(t, l.Load().Limit, 100)
}
