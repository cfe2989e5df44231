package admit

import (
	"sync"
	"time"
)

type (
	// Throttle refuses calls at their first daemon while the service refuses calls of the same route
	// and importance.
	Throttle struct {
		mu sync.Mutex
	}
)

// NewThrottle returns a throttle whose choices are drawn from a source with the given seed.
func NewThrottle(seed uint64) *Throttle { return &Throttle{} }

// Allow reports whether a call may be sent; every call is answered by one Report if it may.
func (t *Throttle) Allow(now time.Time, route string, importance Importance) bool { return true }

// Report counts the result of a call that was allowed; accepted is false if it was refused because of
// overload.
func (t *Throttle) Report(now time.Time, route string, importance Importance, accepted bool) {}
