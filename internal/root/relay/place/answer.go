package place

import (
	"math"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
)

// maxStayFailureRate is the failure rate above which the best server at home does not keep a request with a long answer.
// With the prior successes, one recent failure is above it.
const maxStayFailureRate = 0.05

// addExtraGain raises the costs by which servers of other zones are compared with the best one at home, if the answer is
// expected to be long, and returns by how much. The order of the servers within a zone stays the same.
func (b *Balancer) addExtraGain(now time.Time, request *Request) time.Duration {
	home := -1
	for i := range b.candidates {
		if b.candidates[i].Near && (home < 0 || b.candidates[i].Cost < b.candidates[home].Cost) {
			home = i
		}
	}
	if home < 0 || b.eligible[home].failureRate(now) > maxStayFailureRate {
		return 0
	}
	answer := cross.Answer{Size: b.sizes.Expected(request.Route), Left: request.left(), AtHome: b.candidates[home].Cost}
	extra := answer.ExtraGain(request.remoteZoneCost())
	for i := range b.candidates {
		if !b.candidates[i].Near {
			b.candidates[i].Cost += extra
		}
	}
	return extra
}

// remoteZoneCost returns what a request with a short answer must gain in another availability zone.
func (r *Request) remoteZoneCost() time.Duration {
	return max(time.Duration(remoteZoneShare*float64(r.Objective)), minRemoteZoneCost)
}

// left returns the time until the caller wants the response.
func (r *Request) left() time.Duration {
	left := time.Duration(math.MaxInt64)
	if r.Objective > 0 {
		left = r.Objective - r.Elapsed
	}
	if r.Remaining > 0 {
		left = min(left, r.Remaining)
	}
	return left
}
