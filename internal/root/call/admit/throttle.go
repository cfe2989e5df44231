package admit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	throttleWindow       = 10 * time.Second
	callsPerAccepted     = 1.5                    // calls per accepted call that are never throttled
	maxRefuseProbability = 0.95                   // highest probability of a refusal; the remaining calls detect the recovery of the service
	probeInterval        = 250 * time.Millisecond // a call is sent at least this often; at 8 calls/s, sending only one call in twenty takes over 8 s to detect a recovery
	throttleTolerance    = 3                      // this many refused calls may be chance and do not count as overload
	recoveryRun          = 1                      // consecutive accepted calls after which each further one halves the excess of requests
	maxThrottleKeys      = 4_096
)

type (
	// Throttle refuses calls at their first daemon while the service refuses calls of the same route
	// and importance. Critical calls are never refused here.
	Throttle struct {
		mu     sync.Mutex
		random *rand.Rand
		counts map[throttleKey]*throttleCount
	}

	throttleKey struct {
		route      string
		importance Importance
	}

	// throttleCount counts the recent calls of a key; the counts decay with time constant throttleWindow.
	throttleCount struct {
		updated     time.Time
		lastSent    time.Time
		requests    float64
		accepted    float64
		acceptedRun int // accepted calls since the last refused one
	}
)

// NewThrottle returns a throttle whose random numbers come from a source with the given seed.
func NewThrottle(seed uint64) *Throttle {
	return &Throttle{random: rand.New(rand.NewPCG(seed, seed)), counts: map[throttleKey]*throttleCount{}}
}

// Allow reports whether a call may be sent. The caller calls Report once for an allowed call, unless the
// call is canceled.
func (t *Throttle) Allow(now time.Time, route string, importance Importance) bool {
	if importance == Critical {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.count(now, throttleKey{route: route, importance: importance})
	if c == nil {
		return true
	}
	if chance := c.refuseChance(now); chance <= 0 || t.random.Float64() >= chance {
		c.lastSent = now
		return true // counted by Report, because the result of a call in flight is still unknown
	}
	c.requests++
	return false
}

// RefuseChance returns the probability with which Allow would refuse a call, and counts nothing.
func (t *Throttle) RefuseChance(now time.Time, route string, importance Importance) float64 {
	if importance == Critical {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts[throttleKey{route: route, importance: importance}]
	if c == nil {
		return 0
	}
	copied := *c
	copied.decay(now)
	return copied.refuseChance(now)
}

// refuseChance returns the probability with which a call is refused; the count has been decayed.
func (c *throttleCount) refuseChance(now time.Time) float64 {
	if now.Sub(c.lastSent) >= probeInterval {
		return 0
	}
	return max(0, min(maxRefuseProbability, (c.requests-callsPerAccepted*c.accepted-throttleTolerance)/(c.requests+1)))
}

// Report counts the result of an allowed call; accepted is false if the call or one of its nested calls was
// refused because of overload.
func (t *Throttle) Report(now time.Time, route string, importance Importance, accepted bool) {
	if importance == Critical {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.count(now, throttleKey{route: route, importance: importance})
	if c == nil {
		return
	}
	c.requests++
	if !accepted {
		c.acceptedRun = 0
		return
	}
	c.accepted++
	c.acceptedRun++
	if excess := c.requests - callsPerAccepted*c.accepted; excess > 0 && c.acceptedRun > recoveryRun {
		c.requests -= excess / 2
	}
}

// count returns the decayed count of a key, or nil if there are too many keys.
func (t *Throttle) count(now time.Time, key throttleKey) *throttleCount {
	c := t.counts[key]
	if c == nil {
		if len(t.counts) >= maxThrottleKeys {
			return nil
		}
		c = &throttleCount{updated: now}
		t.counts[key] = c
	}
	c.decay(now)
	return c
}

func (c *throttleCount) decay(now time.Time) {
	if elapsed := now.Sub(c.updated); elapsed > 0 {
		decay := math.Exp(-float64(elapsed) / float64(throttleWindow))
		c.requests *= decay
		c.accepted *= decay
		c.updated = now
	}
}
