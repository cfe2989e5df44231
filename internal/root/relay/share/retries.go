package share

import "time"

const (
	// buckets divide the window of a budget.
	buckets = 10

	// shedShare is the part of the fleet's ratio that daemons use at one level of the call graph for requests
	// that a server has shed. They have made no calls.
	shedShare = 0.65

	// lostShare is that part for requests whose answer was lost: a repeated request repeats the calls that it
	// makes, which count at the services behind.
	lostShare = 0.25

	// failedShare is that part for requests that the server failed. The cause often lies in a call that was
	// repeated already.
	failedShare = 0.05

	// totalShare is that part for all causes together; calls of repeated requests count at the services behind.
	totalShare = 0.75
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
	// Retries is the budget of one daemon for the requests that it sends again to one service. It follows the
	// requests of the window, of the one before it, or of the one half a window before it, whichever has most:
	// a service that sheds gets fewer requests, because those that call it fail.
	//
	// Repeats for each cause have a budget of their own.
	Retries struct {
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
func (r *Retries) First(now time.Time) {
	r.move(now)
	r.at(r.epoch).firsts++
}

// Repeat counts and allows one more send of a request, or refuses it.
func (r *Retries) Repeat(now time.Time, cause Cause) bool {
	r.move(now)
	firsts := max(r.firsts(0), r.firsts(buckets/2), r.firsts(buckets))
	repeats, total := 0, 0
	for i := range int64(buckets) {
		for each, n := range r.at(r.epoch - i).repeats {
			total += n
			if Cause(each) == cause {
				repeats += n
			}
		}
	}
	budget := r.Ratio * float64(firsts)
	if float64(repeats+1) > max(shares[cause]*budget, 1) || repeats > 0 && float64(total+1) > totalShare*budget {
		return false
	}
	r.at(r.epoch).repeats[cause]++
	return true
}

// firsts returns the requests of the window that ended the given number of buckets ago.
func (r *Retries) firsts(ago int64) int {
	sum := 0
	for i := range int64(buckets) {
		sum += r.at(r.epoch - ago - i).firsts
	}
	return sum
}

// move drops the buckets that are older than two windows.
func (r *Retries) move(now time.Time) {
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

func (r *Retries) at(epoch int64) *counts {
	index := epoch % (2 * buckets)
	if index < 0 {
		index += 2 * buckets
	}
	return &r.slots[index]
}
