package share

import "time"

const (
	// bucketsPerWindow is the number of buckets that the window of a budget is divided into.
	bucketsPerWindow = 10

	// shedShare is the share of the fleet's ratio that daemons use at one level of the call graph for retries of
	// requests that a server has shed. Such requests have made no nested calls.
	shedShare = 0.55

	// lostShare is the share for retries after a lost response: a retried request makes its nested calls
	// a second time, and these count at the services that it calls.
	lostShare = 0.25

	// failedShare is the share for retries of requests that the server failed. The cause often is a nested call
	// that was retried already.
	failedShare = 0.05
)

// Causes of a retry.
const (
	// Shed is a request that the server refused.
	Shed Cause = iota
	// Lost is a lost response.
	Lost
	// Failed is a failure of the server itself.
	Failed
)

// shares is the share of the fleet's ratio by cause.
var shares = [...]float64{Shed: shedShare, Lost: lostShare, Failed: failedShare}

type (
	// RetryBudget limits the retries that one daemon sends to one service to a ratio of the first sends in a
	// sliding window, so that a drop in traffic does not remove the budget at once. Each cause has a budget of
	// its own.
	RetryBudget struct {
		// Ratio is the fleet's limit on retries per request, Window the time that it is counted over.
		Ratio  float64
		Window time.Duration

		ring  [2 * bucketsPerWindow]bucket
		epoch int64 // number of the newest bucket
	}

	// Cause is the reason why a request is retried.
	Cause uint8

	// Usage is the use of the budget for one cause in the window.
	Usage struct {
		Requests int
		Retries  int
		Limit    float64 // of the retries
	}

	bucket struct {
		requests int
		retries  [3]int // by cause
	}
)

// String returns the name of the cause.
func (c Cause) String() string { return [...]string{Shed: "shed", Lost: "lost", Failed: "failed"}[c] }

// RecordRequest counts the first send of a request.
func (r *RetryBudget) RecordRequest(now time.Time) {
	r.advance(now)
	r.bucket(r.epoch).requests++
}

// AllowRetry reports whether a request may be retried, and counts the retry if so.
func (r *RetryBudget) AllowRetry(now time.Time, cause Cause) bool {
	r.advance(now)
	usage := r.usage(cause)
	if !usage.Allows() {
		return false
	}
	r.bucket(r.epoch).retries[cause]++
	return true
}

// Usage returns the use of the budget at now without changing it.
func (r RetryBudget) Usage(now time.Time, cause Cause) Usage {
	r.advance(now) // of the copy
	return r.usage(cause)
}

// Allows reports whether another retry is within the limit.
func (u Usage) Allows() bool { return float64(u.Retries+1) <= u.Limit }

func (r *RetryBudget) usage(cause Cause) Usage {
	u := Usage{}
	for i := range int64(bucketsPerWindow) {
		b := r.bucket(r.epoch - i)
		u.Requests += b.requests
		u.Retries += b.retries[cause]
	}
	u.Limit = max(shares[cause]*r.Ratio*float64(u.Requests), 1)
	return u
}

// advance moves to the bucket of the current time and clears the buckets that it reuses. It clears all buckets after
// two windows without a call, and when the clock was set back by more than one window.
func (r *RetryBudget) advance(now time.Time) {
	width := int64(max(r.Window/bucketsPerWindow, time.Millisecond))
	epoch := now.UnixNano() / width
	if r.epoch == 0 || epoch-r.epoch >= 2*bucketsPerWindow || epoch < r.epoch-bucketsPerWindow {
		r.ring = [2 * bucketsPerWindow]bucket{}
		r.epoch = epoch
		return
	}
	for r.epoch < epoch {
		r.epoch++
		*r.bucket(r.epoch) = bucket{}
	}
}

func (r *RetryBudget) bucket(epoch int64) *bucket {
	index := epoch % (2 * bucketsPerWindow)
	if index < 0 {
		index += 2 * bucketsPerWindow
	}
	return &r.ring[index]
}
