package share

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// grantWindow is the time constant of the average of granted tokens. Within it a client account gets its
	// rate and a part of its burst.
	grantWindow = 4 * time.Second

	// minGrantWindow is the shortest time that an average is taken over.
	minGrantWindow = 500 * time.Millisecond

	// fallbackShare is the share of the average rate that a daemon allows without grants, so that all daemons
	// together stay within the rate of the client account although the average includes a burst.
	fallbackShare = 0.85

	// maxCredit bounds the requests that accumulate without grants.
	maxCredit = 3
)

// Credit is what a FallbackLimiter allows at a time.
type Credit struct {
	Rate   float64 // requests per second, zero before the first grant
	Amount float64 // requests that may pass at once, valid if Known is set
	Known  bool    // false until the first request without a grant, whose credit is random
}

// FallbackLimiter limits the requests of a client account to their recent rate on this daemon while no control
// instance grants tokens. Without it, every request of a keyed route would be refused while the control
// instances restart.
type FallbackLimiter struct {
	grantsPerSecond float64
	firstGrant      time.Time
	lastGrant       time.Time
	credit          float64
	inFallback      bool // no grant since the credit was initialized
	creditedAt      time.Time
}

// RecordGrant counts a granted token that was spent.
func (l *FallbackLimiter) RecordGrant(now time.Time) {
	if l.firstGrant.IsZero() {
		l.firstGrant = now
	}
	l.grantsPerSecond = l.grantsPerSecond*decay(now.Sub(l.lastGrant)) + 1/grantWindow.Seconds()
	l.lastGrant = now
	l.inFallback, l.creditedAt = false, now
}

// Allow reports whether a request may pass without a granted token; rate is that of the client account in the
// whole fleet.
func (l *FallbackLimiter) Allow(now time.Time, rate float64) bool {
	if l.lastGrant.IsZero() {
		return false
	}
	if !l.inFallback {
		// A random initial credit spreads the first requests of many daemons with low rates over time, so that
		// together they keep their total rate.
		l.inFallback, l.credit = true, rand.Float64()
	}
	l.credit = l.Credit(now, rate).Amount
	l.creditedAt = now
	if l.credit < 1 {
		return false
	}
	l.credit--
	return true
}

// Credit returns what Allow would allow, and changes nothing.
func (l *FallbackLimiter) Credit(now time.Time, rate float64) Credit {
	if l.lastGrant.IsZero() {
		return Credit{}
	}
	// Corrects the average for the time before the first grant, in which nothing was counted.
	coverage := 1 - decay(max(l.lastGrant.Sub(l.firstGrant), minGrantWindow))
	allowedRate := min(fallbackShare*l.grantsPerSecond/coverage, rate)
	elapsed := max(now.Sub(l.creditedAt), 0)
	return Credit{Rate: allowedRate, Amount: min(l.credit+allowedRate*elapsed.Seconds(), maxCredit), Known: l.inFallback}
}

func decay(elapsed time.Duration) float64 {
	return math.Exp(-max(elapsed, 0).Seconds() / grantWindow.Seconds())
}
