package admit

import (
	"sync"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
)

const (
	queueShare           = 0.5 // largest queue length, as a fraction of the limit
	minQueueLength       = 8   // a queue of this length is always allowed; with 2, a server of 8 slots refused 2% of the requests at 70% load
	maxQueueWait         = 100 * time.Millisecond
	maxCriticalWait      = 250 * time.Millisecond // with 100 ms, a slow service with free capacity refused 2% of its critical requests
	deadlineDivisor      = 2                      // a ticket waits at most the remaining time of its deadline divided by this
	criticalReserveShare = 0.10                   // fraction of the limit that is reserved for critical requests, if there are any
	criticalExcessShare  = 0.5                    // critical requests may exceed the limit while fewer than this fraction of it are critical
	reserveDecay         = 0.9                    // factor per sweep for a critical reserve that is not used
	sweepInterval        = time.Second
)

type (
	// Limiter is the admission controller of one backend server. The mutex guards all fields.
	Limiter struct {
		mu           sync.Mutex
		limit        adaptiveLimit
		nested       nestingReserves
		inFlight     int
		byImportance [importanceCount]int // in flight
		criticalPeak float64              // highest number of critical requests in flight, decaying
		queue        []*Ticket            // in order of arrival; dispatch leaves only tickets for which no slot is free
		accounts     accounts
		lastSweep    time.Time
		cold         warmup.Limiter
	}

	// Load is the state of a limiter for metrics and for the load balancers of other daemons.
	Load struct {
		Limit    int
		InFlight int
		Waiting  int
		ColdRate float64       // starts per second while the server is cold, zero for no limit
		ColdFor  time.Duration // how long that rate applies, zero for a warm server
		ColdWait time.Duration // predicted wait for a start at that rate
	}
)

// NewLimiter returns the limiter of a backend server that has just started with that many slots.
func NewLimiter(now time.Time, slots int) *Limiter {
	return &Limiter{limit: newAdaptiveLimit(now, slots), accounts: accounts{}, lastSweep: now}
}

// Restart resets the limit for a new incarnation of the backend server, which starts with cold caches. The
// reference latencies of the previous incarnation are kept.
func (l *Limiter) Restart(now time.Time, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit.restart(now, slots)
}

// Offer admits, queues or refuses a new request.
func (l *Limiter) Offer(now time.Time, t *Ticket) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick(now)
	remaining := t.Deadline.Sub(now)
	if remaining <= 0 {
		return Refused{Failure: retry.DeadlineBefore{}}
	}
	t.account = l.accounts.forTicket(now, t)
	l.nested.ensureReserve(now, t.HeldSlots)
	if l.cold.Rate > 0 {
		l.dispatch(now) // the next start at a cold server may be due, and belongs to a waiting ticket
	}
	fits := l.fits(t)
	if fits && l.take(now, t) {
		l.admit(now, t)
		l.dispatch(now) // a critical nested call occupies two reserves with one slot, which may free a slot for another ticket
		return Admitted{}
	}
	if !fits {
		l.limit.saturated = true
		l.nested.grow(t.HeldSlots, l.limit.wholeSlots())
	}
	wait := maxQueueWait
	if t.Importance == Critical {
		wait = maxCriticalWait
	}
	wait = min(wait, remaining/deadlineDivisor)
	if refused := l.refuseCold(now, t, wait); refused != nil {
		return refused
	}
	if len(l.queue) >= max(minQueueLength, int(queueShare*l.limit.value)) && !l.evictFor(now, t) {
		return Refused{Failure: retry.QueueFull{}}
	}
	t.phase, t.verdict = queued, make(chan Decision, 1)
	t.account.waiting++
	l.queue = append(l.queue, t)
	return Queued{Verdict: t.verdict, Until: now.Add(wait), Cold: fits}
}

// Expire ends the wait of a queued ticket; it returns Admitted if the ticket received a slot before the call.
func (l *Limiter) Expire(now time.Time, t *Ticket) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick(now)
	if l.cold.Rate > 0 {
		l.dispatch(now) // the start for which the ticket waits may be due now
	}
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

// Cancel removes a ticket whose caller has left, whether it is queued or has a slot.
func (l *Limiter) Cancel(now time.Time, t *Ticket) { l.Done(now, t, Canceled{}) }

// Responded records the latency of a response whose body is still being streamed.
func (l *Limiter) Responded(now time.Time, t *Ticket, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.phase == running && !t.latencyRecorded {
		t.latencyRecorded = true
		l.limit.sample(now, t.Route, latency)
	}
}

// Done ends a ticket: it frees the slot of an admitted one, records the result and dispatches waiting
// tickets.
func (l *Limiter) Done(now time.Time, t *Ticket, r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch t.phase {
	case queued:
		l.remove(t)
	case running:
		l.inFlight--
		l.byImportance[t.Importance]--
		l.nested.inFlight[nestingLevel(t.HeldSlots)]--
		t.account.update(now)
		t.account.inFlight--
		switch r := r.(type) {
		case Completed:
			if !t.latencyRecorded {
				l.limit.sample(now, t.Route, r.Latency)
			}
		case Expired:
			if !t.latencyRecorded {
				l.limit.expired++
				l.limit.sample(now, t.Route, r.Latency)
			}
		case Shed:
			l.limit.countShed()
		case Lost, Canceled:
		}
	}
	t.phase = idle
	l.tick(now)
	l.dispatch(now)
}

// Load returns the present limit and its use.
func (l *Limiter) Load(now time.Time) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := Load{Limit: l.limit.wholeSlots(), InFlight: l.inFlight, Waiting: len(l.queue)}
	if l.cold.Cold(now) {
		load.ColdRate, load.ColdFor, load.ColdWait = l.cold.Rate, l.cold.Remaining(now), l.cold.Wait(now, len(l.queue), 1)
	}
	return load
}

// tick closes the sample window and runs the periodic sweep when they are due.
func (l *Limiter) tick(now time.Time) {
	changed := l.limit.tick(now, l.inFlight)
	if now.Sub(l.lastSweep) >= sweepInterval {
		l.lastSweep = now
		l.accounts.sweep(now)
		l.nested.shrink(now)
		changed = true
		l.criticalPeak = max(float64(l.byImportance[Critical]), l.criticalPeak*reserveDecay)
	}
	if changed {
		l.dispatch(now)
	}
}

// fits reports whether a ticket may take a slot without exceeding the limit, the reserve for critical
// requests and the reserves for requests whose chain already holds slots.
func (l *Limiter) fits(t *Ticket) bool {
	limit := l.limit.wholeSlots()
	switch {
	case t.HeldSlots > 0:
		// The slots that the chain already holds cannot be freed before this call has run.
		limit = l.limit.slots
	case t.Importance == Critical && l.byImportance[Critical] < int(criticalExcessShare*l.limit.value):
		// After a cut, less important requests that are still running hold the slots above the limit.
		limit = l.limit.slots
	}
	taken := l.inFlight + 1 + l.nested.freeReserve(t.HeldSlots)
	if t.Importance != Critical {
		taken += max(0, l.criticalReserve()-l.byImportance[Critical])
	}
	return taken <= limit
}

// criticalReserve returns the number of slots reserved for critical requests: twice their recent peak, at
// most criticalReserveShare of the limit. A service without critical requests thus leaves no slots unused.
func (l *Limiter) criticalReserve() int {
	return int(min(criticalReserveShare*l.limit.value, 2*l.criticalPeak) + 0.5)
}

func (l *Limiter) admit(now time.Time, t *Ticket) {
	t.phase, t.latencyRecorded = running, false
	l.inFlight++
	l.byImportance[t.Importance]++
	l.criticalPeak = max(l.criticalPeak, float64(l.byImportance[Critical]))
	l.nested.admit(t.HeldSlots)
	t.account.update(now)
	t.account.inFlight++
	l.limit.peakInFlight = max(l.limit.peakInFlight, l.inFlight)
}

// dispatch gives free slots to waiting tickets.
func (l *Limiter) dispatch(now time.Time) {
	for {
		var best *Ticket
		for _, t := range l.queue {
			if l.fits(t) && (best == nil || t.dispatchedBefore(now, best)) {
				best = t
			}
		}
		if best == nil || !l.take(now, best) {
			return
		}
		l.remove(best)
		l.admit(now, best)
		best.verdict <- Admitted{}
	}
}

// evictFor removes the least urgent ticket from a full queue and reports whether there was one that is less
// urgent than t.
func (l *Limiter) evictFor(now time.Time, t *Ticket) bool {
	var worst *Ticket
	for _, q := range l.queue {
		// Of several least urgent tickets the newest is evicted, because it has waited for the shortest time.
		if worst == nil || !worst.evictedBefore(now, q, 0) {
			worst = q
		}
	}
	if worst == nil || !worst.evictedBefore(now, t, 1) {
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

// dispatchedBefore reports whether t gets a slot before u, which arrived earlier.
func (t *Ticket) dispatchedBefore(now time.Time, u *Ticket) bool {
	switch {
	case t.Importance != u.Importance:
		return t.Importance < u.Importance
	case (t.HeldSlots > 0) != (u.HeldSlots > 0):
		return t.HeldSlots > 0
	}
	return t.account.weightedSlotTime(now) < u.account.weightedSlotTime(now)
}

// evictedBefore reports whether t is evicted from a full queue before u; extra is 1 if u is not queued yet.
// Tickets of the account with the highest use for its weight are evicted first, so that no account can fill
// the queue.
func (t *Ticket) evictedBefore(now time.Time, u *Ticket, extra float64) bool {
	switch {
	case t.Importance != u.Importance:
		return t.Importance > u.Importance
	case (t.HeldSlots > 0) != (u.HeldSlots > 0):
		return u.HeldSlots > 0
	case t.account == u.account:
		return false
	}
	return t.account.weightedUse(now, 0) > u.account.weightedUse(now, extra)
}
