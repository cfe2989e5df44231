package share

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// paceSpan is the time over which granted tokens are averaged. Over it a client account gets its rate and
	// a part of its burst.
	paceSpan = 4 * time.Second

	// minPaceSpan is the shortest time that an average is taken over.
	minPaceSpan = 500 * time.Millisecond

	// ungrantedShare is the part of its pace that a daemon goes on at without grants, so that all daemons
	// together stay within the rate although a burst lies in the average.
	ungrantedShare = 0.85

	// maxCredit bounds the requests that are saved up without grants.
	maxCredit = 3
)

// Pace lets a daemon go on for a client account at the pace it had while nobody grants tokens. Without it,
// every request of a keyed route would be refused while the control instances restart.
type FallbackLimiter struct {
	perSecond float64
	since     time.Time // the first grant
	grantedAt time.Time
	credit    float64
	waiting   bool // no grant since the credit began
	takenAt   time.Time
}

// Granted counts a token that was granted and spent.
func (p *FallbackLimiter) RecordGrant(now time.Time) {
	if p.since.IsZero() {
		p.since = now
	}
	p.perSecond = p.perSecond*fade(now.Sub(p.grantedAt)) + 1/paceSpan.Seconds()
	p.grantedAt = now
	p.waiting, p.takenAt = false, now
}

// Take allows a request without a granted token; rate is that of the client account in the whole fleet.
func (p *FallbackLimiter) Allow(now time.Time, rate float64) bool {
	if p.grantedAt.IsZero() {
		return false
	}
	// The average counts nothing before the first grant.
	seen := 1 - fade(max(p.grantedAt.Sub(p.since), minPaceSpan))
	pace := min(ungrantedShare*p.perSecond/seen, rate)
	if !p.waiting {
		// Many daemons with a slow pace each begin at different points of it, so that together they keep it.
		p.waiting, p.credit = true, rand.Float64()
	}
	elapsed := max(now.Sub(p.takenAt), 0)
	p.credit = min(p.credit+pace*elapsed.Seconds(), maxCredit)
	p.takenAt = now
	if p.credit < 1 {
		return false
	}
	p.credit--
	return true
}

func fade(elapsed time.Duration) float64 {
	return math.Exp(-max(elapsed, 0).Seconds() / paceSpan.Seconds())
}
