package logs

import (
	"sync"
	"time"
)

// repeatInterval is the time between two lines about one kind of event that clients can cause at any rate.
const repeatInterval = time.Second

// Repeat limits the lines about one kind of event to one in repeatInterval.
type Repeat struct {
	mu     sync.Mutex
	logged time.Time
	hidden int
}

// Allow reports whether an event at now is logged, and how many events before it were not.
func (r *Repeat) Allow(now time.Time) (hidden int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.logged) < repeatInterval {
		r.hidden++
		return 0, false
	}
	hidden, r.hidden, r.logged = r.hidden, 0, now
	return hidden, true
}
