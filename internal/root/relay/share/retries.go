package share

import "time"

const (
	// buckets divide the window of a budget.
	buckets = 10

	// shedShare is the part of the fleet's ratio that daemons use at one level of the call graph for requests
	// that a server has shed. They have made no calls.
	shedShare = 0.55

	// lostShare is that part for requests whose answer was lost: a repeated request repeats the calls that it
	// makes, which count at the services behind.
	lostShare = 0.25

	// failedShare is that part for requests that the server failed. The cause often lies in a call that was
	// repeated already.
	failedShare = 0.05
)

// Causes of a repeat.
const (
	// Shed is a request that the server turned away.
	Shed Cause = iota
	// Lost is an answer that was lost.
	Lost
	// Failed is a failure of the server itself.
	Failed
)

// shares holds the part of the fleet's ratio by cause.
var shares = [...]float64{Shed: shedShare, Lost: lostShare, Failed: failedShare}

type (
	// Retries is the budget of one daemon for the requests that it sends again to one service. The requests
	// of the window before count too, so that a fall in traffic does not take the budget away at once.
	//
	// Repeats for each cause have a budget of their own.
	RetryBudget struct {
		// Ratio is the fleet's bound on repeats per request, Window the time that it is counted over.
		Ratio  float64
		Window time.Duration

		slots [2 * buckets]counts
		epoch int64 // number of the newest bucket
	}

	// Cause says why a request is sent again.
	Cause uint8

	counts struct {
		firsts  int
		repeats [3]int // by cause
	}
)

// First counts a request that is sent for the first time.
func (r *RetryBudget) RecordRequest(now time.Time) {
	r.move(now)
	r.at(r.epoch).firsts++
}

// Repeat counts and allows one more send of a request, or refuses it.
func (r *RetryBudget) AllowRetry(now time.Time, cause Cause) bool {
	r.move(now)
	firsts, repeats := 0, 0
	for i := range int64(buckets) {
		slot := r.at(r.epoch - i)
		firsts += slot.firsts
		repeats += slot.repeats[cause]
	}
	if float64(repeats+1) > max(shares[cause]*r.Ratio*float64(firsts), 1) {
		return false
	}
	r.at(r.epoch).repeats[cause]++
	return true
}

// move drops the buckets that are older than two windows.
func (r *RetryBudget) move(now time.Time) {
	width := int64(max(r.Window/buckets, time.Millisecond))
	epoch := now.UnixNano() / width
	if r.epoch == 0 || epoch-r.epoch >= 2*buckets || epoch < r.epoch-buckets {
		r.slots = [2 * buckets]counts{}
		r.epoch = epoch
		return
	}
	for r.epoch < epoch {
		r.epoch++
		*r.at(r.epoch) = counts{}
	}
}

func (r *RetryBudget) at(epoch int64) *counts {
	index := epoch % (2 * buckets)
	if index < 0 {
		index += 2 * buckets
	}
	return &r.slots[index]
}
