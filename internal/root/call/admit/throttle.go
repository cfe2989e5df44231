package admit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	throttleWindow = 10 * time.Second
	throttleFactor = 1.5                    // requests per accepted one that are sent in any case
	throttleLimit  = 0.95                   // the remaining calls detect the recovery
	probeInterval  = 250 * time.Millisecond // a call is sent at least this often, because at 8 calls/s a twentieth needs over 8 s to show a recovery
	throttleSlack  = 3                      // refused calls that are too few to tell overload from chance
	acceptedInRow  = 1                      // accepted calls in a row after which each further one halves the excess
	maxThrottled   = 4_096
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

	// throttleCount decays with throttleWindow.
	throttleCount struct {
		updated  time.Time
		sent     time.Time
		requests float64
		accepts  float64
		row      int // accepted calls since the last refusal
	}
)

// NewThrottle returns a throttle whose choices are drawn from a source with the given seed.
func NewThrottle(seed uint64) *Throttle {
	return &Throttle{random: rand.New(rand.NewPCG(seed, seed)), counts: map[throttleKey]*throttleCount{}}
}

// Allow reports whether a call may be sent; an allowed call is followed by one Report, unless its
// caller abandons it.
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
	p := min(throttleLimit, (c.requests-throttleFactor*c.accepts-throttleSlack)/(c.requests+1))
	if p <= 0 || now.Sub(c.sent) >= probeInterval || t.random.Float64() >= p {
		c.sent = now
		return true // counted by Report, because a call in flight says nothing yet
	}
	c.requests++
	return false
}

// Report counts the result of a call that was allowed; accepted is false if it was refused because of
// overload, or if a nested call below it was.
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
		c.row = 0
		return
	}
	c.accepts++
	c.row++
	if excess := c.requests - throttleFactor*c.accepts; excess > 0 && c.row > acceptedInRow {
		c.requests -= excess / 2
	}
}

// count returns the decayed count of a key, or nil if there are too many keys.
func (t *Throttle) count(now time.Time, key throttleKey) *throttleCount {
	c := t.counts[key]
	if c == nil {
		if len(t.counts) >= maxThrottled {
			return nil
		}
		c = &throttleCount{updated: now}
		t.counts[key] = c
	}
	if passed := now.Sub(c.updated); passed > 0 {
		keep := math.Exp(-float64(passed) / float64(throttleWindow))
		c.requests *= keep
		c.accepts *= keep
		c.updated = now
	}
	return c
}
