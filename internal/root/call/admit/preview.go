package admit

import "time"

// Preview is what Offer would decide about a ticket, with the load that it would find.
type Preview struct {
	Decision Decision
	Load     Load
	Wait     time.Duration // longest wait, and the predicted one at a cold server; zero unless queued
}

// Preview returns what Offer would decide, with the limits of a cold server as ConfigureCold sets them. It makes the
// decision on a copy, because Offer ends waits that are over and decays the recent use of accounts.
func (l *Limiter) Preview(now time.Time, t *Ticket, rate float64, period time.Duration, restored time.Time) Preview {
	clone := l.clone()
	clone.ConfigureCold(now, rate, period, restored)
	load := clone.Load(now)
	decision := clone.Offer(now, t)
	preview := Preview{Decision: decision, Load: load}
	if queued, ok := decision.(Queued); ok {
		preview.Wait = queued.Until.Sub(now)
		if queued.Cold {
			preview.Wait = min(preview.Wait, load.ColdWait)
		}
	}
	return preview
}

// clone returns a copy whose tickets have verdicts of their own. It has no reference latencies, which only later windows
// need.
func (l *Limiter) clone() *Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	clone := &Limiter{
		limit: l.limit, nested: l.nested, inFlight: l.inFlight, byImportance: l.byImportance, criticalPeak: l.criticalPeak,
		accounts: make(accounts, len(l.accounts)), lastSweep: l.lastSweep, cold: l.cold,
	}
	clone.limit.routes = nil
	for name, c := range l.accounts {
		copied := *c
		clone.accounts[name] = &copied
	}
	for _, t := range l.queue {
		copied := *t
		copied.verdict, copied.account = make(chan Decision, 1), clone.accounts[t.Account]
		clone.queue = append(clone.queue, &copied)
	}
	return clone
}
