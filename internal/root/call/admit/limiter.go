package admit

import (
	"sync"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

type (
	// Limiter admits requests to one backend server.
	Limiter struct {
		mu       sync.Mutex
		slots    int
		inFlight int
	}

	// Load is the state of a limiter for metrics and for the picker of other daemons.
	Load struct {
		Limit    int
		InFlight int
		Waiting  int
	}

	account struct{}
)

// NewLimiter returns the limiter of a backend server that has just started with that many slots.
func NewLimiter(now time.Time, slots int) *Limiter { return &Limiter{slots: slots} }

// Restart adapts the limiter to a new incarnation of its backend server, which starts cold.
func (l *Limiter) Restart(now time.Time, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = slots
}

// Offer decides about a new request.
func (l *Limiter) Offer(now time.Time, t *Ticket) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= l.slots {
		return Refused{Failure: retry.Overload{}}
	}
	l.inFlight++
	t.phase, t.admitted = running, now
	return Admitted{}
}

// Expire ends the wait of a queued ticket; it returns Admitted if a slot was granted just before.
func (l *Limiter) Expire(now time.Time, t *Ticket) Decision {
	return Refused{Failure: retry.QueueTimeout{}}
}

// Cancel withdraws a ticket that its caller abandoned while it was queued or just granted.
func (l *Limiter) Cancel(now time.Time, t *Ticket) { l.Done(now, t, Canceled{}) }

// Responded counts the latency of a response whose body is still being streamed.
func (l *Limiter) Responded(now time.Time, t *Ticket, latency time.Duration) {}

// Done returns the slot of an admitted ticket and grants it to waiting ones.
func (l *Limiter) Done(now time.Time, t *Ticket, r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.phase == running {
		l.inFlight--
	}
	t.phase = idle
}

// Load returns the present limit and its use.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Load{Limit: l.slots, InFlight: l.inFlight}
}
