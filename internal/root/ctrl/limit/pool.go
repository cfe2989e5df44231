package limit

import (
	"sync/atomic"
	"time"
)

const (
	// closedMark is stored as the spent count of a closed lot; it is above every number of tokens, and
	// late takers cannot count it up to an overflow.
	closedMark = 1 << 40

	// clockJitter is how far behind the latest time of a lot a goroutine's own time may be. A time that
	// is further behind means that the clock stepped back; the lot then cannot tell its age.
	clockJitter = 50 * time.Millisecond
	// latestStep limits how often Take writes the latest time.
	latestStep = time.Millisecond
)

type (
	// Cell holds the tokens of one account in this daemon; Take and RetryAfter are safe for all goroutines.
	TokenPool struct {
		// base is the origin of all times in the cell and its lots.
		base time.Time
		// lots is the list of lots to spend from, replaced as a whole by the control loop.
		lots atomic.Pointer[[]*lot]
		// refuseUntil is a time in nanoseconds since base, set by the control loop.
		refuseUntil atomic.Int64
	}

	// lot is immutable except for its two counters.
	lot struct {
		epoch, id uint64
		tokens    int64
		// from and until bound the time of spending, in nanoseconds since the cell's base.
		from, until int64
		// spent counts the tokens taken; it may exceed tokens by the number of takers that lost a race.
		spent atomic.Int64
		// latest is the latest time at which the lot was used or checked, within latestStep.
		latest atomic.Int64
	}
)

// Take spends one token and reports whether there was one. After false the caller sends Need to the
// control loop unless RetryAfter says otherwise.
func (c *TokenPool) Take(now time.Time) bool {
	lots := c.lots.Load()
	if lots == nil {
		return false
	}
	at := int64(now.Sub(c.base))
	for _, l := range *lots {
		if l.take(at) {
			return true
		}
	}
	return false
}

// Return gives a token back that was taken for a request that was not sent to any server.
func (c *TokenPool) Return() {
	lots := c.lots.Load()
	if lots == nil {
		return
	}
	for _, l := range *lots {
		spent := l.spent.Load()
		if spent > 0 && spent <= l.tokens && l.spent.CompareAndSwap(spent, spent-1) {
			return
		}
	}
}

// RetryAfter returns how long to refuse requests without asking; zero means that asking is allowed.
func (c *TokenPool) RetryAfter(now time.Time) time.Duration {
	return max(0, time.Duration(c.refuseUntil.Load())-now.Sub(c.base))
}

func (l *lot) take(at int64) bool {
	if l.spent.Load() >= l.tokens || !l.valid(at) {
		return false
	}
	return l.spent.Add(1) <= l.tokens
}

// valid reports whether the lot may be spent at this time, and notes the time.
func (l *lot) valid(at int64) bool {
	latest := l.latest.Load()
	if at < l.from || at >= l.until || at < latest-int64(clockJitter) {
		return false
	}
	if at > latest+int64(latestStep) {
		l.latest.Store(at)
	}
	return true
}

// used returns how many tokens are spent so far.
func (l *lot) used() int64 { return min(l.spent.Load(), l.tokens) }

// close ends spending and returns how many tokens were spent.
func (l *lot) close() int64 { return min(l.spent.Swap(closedMark), l.tokens) }
