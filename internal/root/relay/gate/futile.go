package gate

import (
	"math"
	"time"
)

const (
	// resultWindow is the time constant of the shares of runs and nested calls that fail.
	resultWindow = 1200 * time.Millisecond

	// resultPrior is the number of successes that is added to the recent results, so that a few failures have
	// little effect.
	resultPrior = 3

	// minFailedCalls is the share of failed nested calls below which runs that fail do so for other reasons.
	minFailedCalls = 0.15

	// urgentSuccess and otherSuccess are the shares of runs that must succeed for all requests of the most urgent
	// and of other routes to be started.
	urgentSuccess = 0.25
	otherSuccess  = 0.5

	// maxFutileShare is the largest share of a route's requests that is refused, so that the end of the cause is
	// noticed.
	maxFutileShare = 0.85
)

// resultRate is the share of recent results that are failures.
type resultRate struct {
	results, failures float64
	updated           time.Time
}

func (r *resultRate) record(now time.Time, failed bool) {
	r.decay(now)
	r.results++
	if failed {
		r.failures++
	}
}

// share returns the share of failures.
func (r *resultRate) share(now time.Time) float64 {
	r.decay(now)
	return r.failures / (r.results + resultPrior)
}

func (r *resultRate) decay(now time.Time) {
	if !r.updated.IsZero() {
		factor := math.Exp(-max(now.Sub(r.updated), 0).Seconds() / resultWindow.Seconds())
		r.results *= factor
		r.failures *= factor
	}
	r.updated = now
}

// RecordCall records the result of a nested call that this server made.
func (g *Controller) RecordCall(now time.Time, failed bool) { g.calls.record(now, failed) }

// isFutile decides whether a request is refused because most runs of its route fail for want of a nested call. While
// a service sheds part of its requests, each run needs several answers in a row: most runs then hold slots, spend
// the retries that others need and end for nothing. Fewer runs get more retries each. It refuses the share of
// requests by which the success of runs falls short, evenly spread.
func (g *Controller) isFutile(now time.Time, t *Ticket, r *route) bool {
	if t.Nested || g.calls.share(now) < minFailedCalls {
		r.futile = 0
		return false
	}
	wanted := otherSuccess
	if t.Rank == 0 {
		wanted = urgentSuccess
	}
	r.futile += min(max(1-(1-r.results.share(now))/wanted, 0), maxFutileShare)
	if r.futile < 1 {
		return false
	}
	r.futile--
	return true
}
