package admit

import (
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

// maxPacedDelay is how long after its start a request may be sent to a cold server without another turn. In any second
// the server thus receives the starts of at most 1.25 s, which is below the limit of 8 + 1.5 × rate.
const maxPacedDelay = 250 * time.Millisecond

// ConfigureCold sets the limits of the service for a cold server, and when the evacuation of the server's availability
// zone ended, by the clock of this daemon.
func (l *Limiter) ConfigureCold(now time.Time, rate float64, period time.Duration, restored time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.Rate, l.cold.Period = rate, period
	l.cold.Restore(now, restored)
	l.dispatch(now)
}

// ReportCold records that the server is cold for the given time, or warm if the time is zero.
func (l *Limiter) ReportCold(now time.Time, coldFor time.Duration, newProcess bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.Report(now, coldFor, newProcess)
	l.dispatch(now)
}

// SuspectRestart records that the server may have restarted and be cold.
func (l *Limiter) SuspectRestart(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.SuspectRestart(now)
}

// Confirm reports whether an admitted request may still be sent. A server that has turned cold since its admission gets
// the request only within its rate, and so does a cold one if the request has waited for a connection.
func (l *Limiter) Confirm(now time.Time, t *Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cold.Cold(now) || !t.pacedAt.IsZero() && now.Sub(t.pacedAt) <= maxPacedDelay {
		return true
	}
	return l.take(now, t)
}

// Dispatch gives free slots to waiting tickets after the time that NextStart has returned.
func (l *Limiter) Dispatch(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick(now)
	l.dispatch(now)
}

// NextStart returns when Dispatch is due because a cold server may get the next waiting request.
func (l *Limiter) NextStart(now time.Time) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, delayed := l.cold.NextStart(now)
	if !delayed {
		return time.Time{}, false
	}
	for _, t := range l.queue {
		if l.fits(t) {
			return next, true
		}
	}
	return time.Time{}, false
}

// take reports whether the server may get the request now, which then counts against the rate of a cold server.
func (l *Limiter) take(now time.Time, t *Ticket) bool {
	if !l.cold.Take(now) {
		return false
	}
	t.pacedAt = time.Time{}
	if l.cold.Cold(now) {
		t.pacedAt = now
	}
	return true
}

// refuseCold returns the refusal of a request that cannot start within the given wait at the rate of a cold server, nil
// if it can.
func (l *Limiter) refuseCold(now time.Time, t *Ticket, wait time.Duration) Decision {
	ahead := 0
	for _, queued := range l.queue {
		if !t.dispatchedBefore(now, queued) {
			ahead++
		}
	}
	if l.cold.Wait(now, ahead, 1) > wait {
		return Refused{Failure: retry.QueueFull{}, Cold: true}
	}
	return nil
}
