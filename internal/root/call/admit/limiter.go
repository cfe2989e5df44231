package admit

import (
	"sync"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

const (
	queueShare      = 0.5 // queue length as part of the limit
	queueMinimum    = 8   // with 2, a server of 8 slots refused 2% at 70% load
	queueWait       = 100 * time.Millisecond
	criticalWait    = 250 * time.Millisecond // 100 ms refused 2% of the critical requests to a slow service that had room for them
	deadlineShare   = 2                      // a ticket waits at most its remaining time divided by this
	criticalReserve = 0.10                   // part of the limit that only critical requests use, where there are any
	criticalExcess  = 0.5                    // critical requests in flight, as part of the limit, up to which they may exceed it
	reserveDecay    = 0.9                    // per sweep, of a critical reserve that is not used
	sweepInterval   = time.Second
)

type (
	// Limiter admits requests to one backend server. The mutex guards all fields.
	Limiter struct {
		mu       sync.Mutex
		limit    adaptive
		nested   levels
		inFlight int
		byClass  [classes]int // in flight
		critical float64      // highest number of critical requests in flight, decaying
		queue    []*Ticket    // in order of arrival; no ticket in it fits
		accounts accounts
		swept    time.Time
	}

	// Load is the state of a limiter for metrics and for the picker of other daemons.
	Load struct {
		Limit    int
		InFlight int
		Waiting  int
	}
)

// NewLimiter returns the limiter of a backend server that has just started with that many slots.
func NewLimiter(now time.Time, slots int) *Limiter {
	return &Limiter{limit: newAdaptive(now, slots), accounts: accounts{}, swept: now}
}

// Restart adapts the limiter to a new incarnation of its backend server, which starts cold. The
// latencies learned from the previous incarnation remain the reference.
func (l *Limiter) Restart(now time.Time, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit.restart(now, slots)
}

// Offer decides about a new request.
func (l *Limiter) Offer(now time.Time, t *Ticket) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick(now)
	remaining := t.Deadline.Sub(now)
	if remaining <= 0 {
		return Refused{Failure: retry.DeadlineBefore{}}
	}
	t.account = l.accounts.of(now, t)
	l.nested.seen(now, t.HeldSlots)
	if l.fits(t) {
		l.admit(now, t)
		l.dispatch(now) // a critical nested call leaves two reserves at once
		return Admitted{}
	}
	l.limit.saturated = true
	l.nested.grow(t.HeldSlots, l.limit.whole())
	if len(l.queue) >= max(queueMinimum, int(queueShare*l.limit.value)) && !l.evictFor(now, t) {
		return Refused{Failure: retry.QueueFull{}}
	}
	t.phase, t.verdict = queued, make(chan Decision, 1)
	t.account.waiting++
	l.queue = append(l.queue, t)
	wait := queueWait
	if t.Importance == Critical {
		wait = criticalWait
	}
	return Queued{Verdict: t.verdict, Until: now.Add(min(wait, remaining/deadlineShare))}
}

// Expire ends the wait of a queued ticket; it returns Admitted if a slot was granted just before.
func (l *Limiter) Expire(now time.Time, t *Ticket) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick(now)
	switch t.phase {
	case running:
		return Admitted{}
	case queued:
		l.remove(t)
		t.phase = refused
		return Refused{Failure: retry.QueueTimeout{}}
	}
	return Refused{Failure: retry.QueueFull{}}
}

// Cancel withdraws a ticket that its caller abandoned while it was queued or just granted.
func (l *Limiter) Cancel(now time.Time, t *Ticket) { l.Done(now, t, Canceled{}) }

// Responded counts the latency of a response whose body is still being streamed.
func (l *Limiter) Responded(now time.Time, t *Ticket, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.phase == running && !t.reported {
		t.reported = true
		l.limit.sample(now, t.Route, latency)
	}
}

// Done returns the slot of an admitted ticket and grants it to waiting ones.
func (l *Limiter) Done(now time.Time, t *Ticket, r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch t.phase {
	case queued:
		l.remove(t)
	case running:
		l.inFlight--
		l.byClass[t.Importance]--
		l.nested.inFlight[level(t.HeldSlots)]--
		t.account.update(now)
		t.account.inFlight--
		switch r := r.(type) {
		case Completed:
			if !t.reported {
				l.limit.sample(now, t.Route, r.Latency)
			}
		case Expired:
			if !t.reported {
				l.limit.expired++
				l.limit.sample(now, t.Route, r.Latency)
			}
		case Shed:
			l.limit.shed()
		case Lost, Canceled:
		}
	}
	t.phase = idle
	l.tick(now)
	l.dispatch(now)
}

// Load returns the present limit and its use.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Load{Limit: l.limit.whole(), InFlight: l.inFlight, Waiting: len(l.queue)}
}

// tick closes the measuring windows that have passed.
func (l *Limiter) tick(now time.Time) {
	changed := l.limit.tick(now, l.inFlight)
	if now.Sub(l.swept) >= sweepInterval {
		l.swept = now
		l.accounts.sweep(now)
		l.nested.shrink(now)
		changed = true
		l.critical = max(float64(l.byClass[Critical]), l.critical*reserveDecay)
	}
	if changed {
		l.dispatch(now)
	}
}

// fits reports whether a ticket may take a slot: the limit holds, the reserve for critical requests
// stays free for them, and so does the reserve for requests whose chain already holds slots.
func (l *Limiter) fits(t *Ticket) bool {
	limit := l.limit.whole()
	switch {
	case t.HeldSlots > 0:
		// The slots that the chain already holds cannot be freed before this call has run.
		limit = l.limit.slots
	case t.Importance == Critical && l.byClass[Critical] < int(criticalExcess*l.limit.value):
		// After a cut, less important requests still hold the slots above the limit.
		limit = l.limit.slots
	}
	taken := l.inFlight + 1 + l.nested.free(t.HeldSlots)
	if t.Importance != Critical {
		taken += max(0, l.reserve()-l.byClass[Critical])
	}
	return taken <= limit
}

// reserve returns the slots kept for critical requests: twice their recent peak, up to their part of
// the limit, so that a service without critical requests does not leave a tenth of its slots unused.
func (l *Limiter) reserve() int {
	return int(min(criticalReserve*l.limit.value, 2*l.critical) + 0.5)
}

func (l *Limiter) admit(now time.Time, t *Ticket) {
	t.phase, t.reported = running, false
	l.inFlight++
	l.byClass[t.Importance]++
	l.critical = max(l.critical, float64(l.byClass[Critical]))
	l.nested.admit(t.HeldSlots)
	t.account.update(now)
	t.account.inFlight++
	l.limit.busiest = max(l.limit.busiest, l.inFlight)
}

// dispatch grants free slots to waiting tickets.
func (l *Limiter) dispatch(now time.Time) {
	for {
		var best *Ticket
		for _, t := range l.queue {
			if l.fits(t) && (best == nil || t.before(now, best)) {
				best = t
			}
		}
		if best == nil {
			return
		}
		l.remove(best)
		l.admit(now, best)
		best.verdict <- Admitted{}
	}
}

// evictFor makes room in a full queue for a ticket, if one that matters less is waiting.
func (l *Limiter) evictFor(now time.Time, t *Ticket) bool {
	var worst *Ticket
	for _, q := range l.queue {
		// Among equals the newest goes, because it has waited least.
		if worst == nil || !worst.lessUrgent(now, q, 0) {
			worst = q
		}
	}
	if worst == nil || !worst.lessUrgent(now, t, 1) {
		return false
	}
	l.remove(worst)
	worst.phase = refused
	worst.verdict <- Refused{Failure: retry.QueueFull{}}
	return true
}

func (l *Limiter) remove(t *Ticket) {
	for i, q := range l.queue {
		if q == t {
			copy(l.queue[i:], l.queue[i+1:])
			l.queue[len(l.queue)-1] = nil
			l.queue = l.queue[:len(l.queue)-1]
			t.account.waiting--
			return
		}
	}
}

// before reports whether t gets a slot before u, which arrived earlier.
func (t *Ticket) before(now time.Time, u *Ticket) bool {
	switch {
	case t.Importance != u.Importance:
		return t.Importance < u.Importance
	case (t.HeldSlots > 0) != (u.HeldSlots > 0):
		return t.HeldSlots > 0
	}
	return t.account.service(now) < u.account.service(now)
}

// lessUrgent reports whether t leaves a full queue before u; extra is 1 if u is not queued yet. The
// account with the most slots and places in the queue for its weight loses first, so that no account
// fills the queue.
func (t *Ticket) lessUrgent(now time.Time, u *Ticket, extra float64) bool {
	switch {
	case t.Importance != u.Importance:
		return t.Importance > u.Importance
	case (t.HeldSlots > 0) != (u.HeldSlots > 0):
		return u.HeldSlots > 0
	case t.account == u.account:
		return false
	}
	return t.account.claim(now, 0) > u.account.claim(now, extra)
}
