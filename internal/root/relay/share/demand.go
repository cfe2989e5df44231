package share

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the counts of a client account's requests.
	demandWindow = 2 * time.Second

	// minDemand is the number of recent requests below which their ratio says little.
	minDemand = 4

	// maxRetryAfter bounds the advised delay; few callers wait longer for a response.
	maxRetryAfter = 5 * time.Second
)

// Demand compares the requests of a client account on this daemon with those that got a rate token. When an
// account sends several times its rate, the next token goes to one of many, so that a caller that returns when it
// is due is most likely refused again.
type Demand struct {
	requests  float64
	taken     float64
	updatedAt time.Time
}

// Record counts a request and whether it got a token.
func (d *Demand) Record(now time.Time, taken bool) {
	d.decay(now)
	d.requests++
	if taken {
		d.taken++
	}
}

// RetryAfter returns the delay to advise to a refused caller: the time in which the rate makes up for the requests
// of a second that got no token, but at least earliest, when the next token is due.
func (d *Demand) RetryAfter(now time.Time, earliest time.Duration) time.Duration {
	d.decay(now)
	if d.requests < minDemand {
		return earliest
	}
	excess := d.requests/max(d.taken, 1) - 1
	return max(earliest, min(time.Duration(excess*float64(time.Second)), maxRetryAfter))
}

func (d *Demand) decay(now time.Time) {
	if !d.updatedAt.IsZero() {
		factor := math.Exp(-max(now.Sub(d.updatedAt), 0).Seconds() / demandWindow.Seconds())
		d.requests *= factor
		d.taken *= factor
	}
	d.updatedAt = now
}
