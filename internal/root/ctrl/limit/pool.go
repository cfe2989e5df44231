package limit

import (
	"sync/atomic"
	"time"
)

const (
	// closedMark is the spent count of a closed grant. It is above every number of tokens and far enough
	// below the overflow for the increments of concurrent calls of Take.
	closedMark = 1 << 40

	// clockJitter is how far the time of a goroutine may be behind the latest time seen by a grant. A
	// larger difference means that the clock stepped back, so that the age of the grant is unknown.
	clockJitter = 50 * time.Millisecond
	// latestStep is the least advance of the latest time that is stored, to avoid a write per Take.
	latestStep = time.Millisecond
)

type (
	// TokenPool holds the granted tokens of one account in this daemon. Its methods are safe for concurrent
	// use.
	TokenPool struct {
		// base is the origin of all times in the pool and its grants.
		base time.Time
		// grants lists the grants to spend from; the control loop replaces the list as a whole.
		grants atomic.Pointer[[]*poolGrant]
		// refuseUntil is the time, in nanoseconds since base, until which requests without a token are
		// refused; the control loop sets it.
		refuseUntil atomic.Int64
	}

	// poolGrant is a token grant in a pool, immutable except for its atomic fields.
	poolGrant struct {
		epoch, id uint64
		tokens    int64
		// from and until bound the time of spending, in nanoseconds since the base of the pool.
		from, until int64
		// spent counts the tokens taken; it may exceed tokens by the number of concurrent calls of Take that
		// found no token left.
		spent atomic.Int64
		// latest is the latest time at which the grant was used or checked, within latestStep.
		latest atomic.Int64
	}
)

// Take spends one token and reports whether there was one. If not, and RetryAfter returns zero, the caller
// sends AwaitToken to the control loop.
func (p *TokenPool) Take(now time.Time) bool {
	grants := p.grants.Load()
	if grants == nil {
		return false
	}
	at := int64(now.Sub(p.base))
	for _, g := range *grants {
		if g.take(at) {
			return true
		}
	}
	return false
}

// Return returns a token that was taken for a request that was not sent to any backend server.
func (p *TokenPool) Return() {
	grants := p.grants.Load()
	if grants == nil {
		return
	}
	for _, g := range *grants {
		spent := g.spent.Load()
		if spent > 0 && spent <= g.tokens && g.spent.CompareAndSwap(spent, spent-1) {
			return
		}
	}
}

// Unspent returns the number of tokens that Take may spend at now, and spends none.
func (p *TokenPool) Unspent(now time.Time) int {
	grants := p.grants.Load()
	if grants == nil {
		return 0
	}
	at, unspent := int64(now.Sub(p.base)), int64(0)
	for _, g := range *grants {
		if g.spendable(at, g.latest.Load()) {
			unspent += g.tokens - g.used()
		}
	}
	return int(unspent)
}

// RetryAfter returns how long requests without a token have to be refused locally; zero means that they may
// wait for a token.
func (p *TokenPool) RetryAfter(now time.Time) time.Duration {
	return max(0, time.Duration(p.refuseUntil.Load())-now.Sub(p.base))
}

func (g *poolGrant) take(at int64) bool {
	if g.spent.Load() >= g.tokens || !g.valid(at) {
		return false
	}
	return g.spent.Add(1) <= g.tokens
}

// valid reports whether the grant may be spent at a time, and records that time as the latest.
func (g *poolGrant) valid(at int64) bool {
	latest := g.latest.Load()
	if !g.spendable(at, latest) {
		return false
	}
	if at > latest+int64(latestStep) {
		g.latest.Store(at)
	}
	return true
}

// spendable reports whether the grant may be spent at a time; latest is the latest time at which it was used.
func (g *poolGrant) spendable(at, latest int64) bool {
	return at >= g.from && at < g.until && at >= latest-int64(clockJitter)
}

// used returns the number of tokens spent so far.
func (g *poolGrant) used() int64 { return min(g.spent.Load(), g.tokens) }

// close ends spending and returns the number of tokens that were spent.
func (g *poolGrant) close() int64 { return min(g.spent.Swap(closedMark), g.tokens) }
