package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// throttled offers calls at a rate for the duration d to a service that accepts every n-th call that is
// sent (every), and returns the fraction refused by the throttle.
func throttled(th *Throttle, now *time.Time, perSecond int, d time.Duration, importance Importance, every int) float64 {
	calls, refused, sent := 0, 0, 0
	for end := now.Add(d); now.Before(end); *now = now.Add(time.Second / time.Duration(perSecond)) {
		calls++
		if !th.Allow(*now, "route", importance) {
			refused++
			continue
		}
		sent++
		th.Report(*now, "route", importance, sent%every == 0)
	}
	return float64(refused) / float64(calls)
}

// Guards against calls that are sent although the service refuses nearly all of them, and against a throttle
// that refuses calls which the service accepts, critical calls, or calls of another importance.
func TestThrottleFollowsTheService(t *testing.T) {
	th, now := NewThrottle(1), start
	assert.Equal(t, throttled(th, &now, 100, 20*time.Second, Normal, 1), 0.0)
	throttled(th, &now, 100, 30*time.Second, Normal, 100)
	heavy := throttled(th, &now, 100, 10*time.Second, Normal, 100)
	assert.Assert(t, heavy > 0.85, "refused %.2f", heavy)
	assert.Equal(t, throttled(th, &now, 100, 10*time.Second, Critical, 100), 0.0)
	assert.Equal(t, throttled(th, &now, 100, time.Second, Bulk, 1), 0.0, "calls of each importance are counted separately")
}

// Guards against calls in flight that count as refused: the service would be throttled during a slow response.
func TestThrottleIgnoresCallsInFlight(t *testing.T) {
	th := NewThrottle(1)
	for range 1000 {
		assert.Assert(t, th.Allow(start, "route", Normal))
	}
	th.Report(start, "route", Normal, false)
	th.Report(start, "route", Normal, false)
	assert.Assert(t, th.Allow(start, "route", Normal), "two refusals may be chance")
}

// Guards against a throttle that still refuses calls 5 s after the overload, at low and high call rates.
func TestThrottleRecovers(t *testing.T) {
	for _, perSecond := range []int{2, 8, 100, 2000} {
		th, now := NewThrottle(1), start
		throttled(th, &now, perSecond, 30*time.Second, Normal, 1000)
		throttled(th, &now, perSecond, 5*time.Second, Normal, 1)
		rest := throttled(th, &now, perSecond, 10*time.Second, Normal, 1)
		assert.Assert(t, rest < 0.01, "%d calls/s: %.3f refused 5 s after the overload", perSecond, rest)
	}
}

func BenchmarkThrottle(b *testing.B) {
	th, now := NewThrottle(1), start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if th.Allow(now, "route", Normal) {
			th.Report(now, "route", Normal, true)
		}
	}
}
