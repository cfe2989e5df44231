package gate

import (
	"math"
	"slices"
	"time"
)

const (
	// minLimit keeps enough runs of a limited route in flight to detect that the congestion has ended.
	minLimit = 2

	// limitDecrease is the factor by which one step lowers a limit. limitIncrease is the share of the limit that
	// one step adds, and limitRecovery the same once the services downstream are hardly congested.
	limitDecrease = 0.88
	limitIncrease = 0.06
	limitRecovery = 0.3

	// limitStep is the time between two changes of a limit: the effect of a change on the services downstream
	// shows after about one run.
	limitStep = 120 * time.Millisecond

	// urgentCongestion and otherCongestion are the congestion downstream above which the limits of the most
	// urgent and of other routes are lowered. The limits of less urgent routes are lowered first.
	urgentCongestion = 2.4
	otherCongestion  = 1.2

	// congestionRankStep is subtracted from otherCongestion for each rank.
	congestionRankStep = 0.1
)

// route is the state of one route. Slots alone do not protect a service that this one calls: while that service
// is overloaded, runs here take longer, hold their slots, and fail at their deadline after they have used
// the other service for nothing. The limit lowers the number of concurrent runs until those that start also
// complete in time.
type route struct {
	name         string
	meanRunTime  time.Duration
	limit        float64 // concurrent runs
	maxLimit     float64
	inFlight     int
	running      []*Ticket // in order of their starts, including those whose response counts as lost
	limitChanged time.Time
}

func newRoute(name string, slots int) *route {
	return &route{name: name, limit: float64(slots), maxLimit: float64(slots)}
}

// hasCapacity reports whether the limit of the route allows another run. Nested calls are not limited: their
// parent requests already hold slots.
func (r *route) hasCapacity(t *Ticket) bool { return t.Nested || float64(r.inFlight) < r.limit }

// remove removes a run that has ended. A completed run has overtaken the runs that started before it.
func (r *route) remove(t *Ticket, completed bool) {
	at := slices.Index(r.running, t)
	if at < 0 {
		return
	}
	if completed {
		for _, earlier := range r.running[:at] {
			earlier.overtaken++
		}
	}
	r.running = slices.Delete(r.running, at, at+1)
}

// expectedRunTime returns the average run time of the route, or the given average of all routes before its
// first run.
func (r *route) expectedRunTime(overall time.Duration) time.Duration {
	if r.meanRunTime == 0 {
		return overall
	}
	return r.meanRunTime
}

// minRunTime returns the run time below which a run rarely completes.
func (r *route) minRunTime() time.Duration { return r.meanRunTime / 2 }

// waitTime returns how long a request waits for the limit of the route with n others queued before it.
func (r *route) waitTime(n int) time.Duration {
	if r.meanRunTime == 0 || float64(r.inFlight) < r.limit {
		return 0
	}
	return time.Duration(float64(n+1) / r.limit * float64(r.meanRunTime))
}

// adjustLimit changes the limit of a route by the congestion of the services that its runs call.
func (r *route) adjustLimit(now time.Time, rank int, congestion float64) {
	if now.Sub(r.limitChanged) < limitStep {
		return
	}
	threshold := urgentCongestion
	if rank > 0 {
		threshold = otherCongestion - congestionRankStep*math.Min(float64(rank-1), 5)
	}
	switch {
	case congestion > threshold:
		r.limit = max(min(r.limit, float64(r.inFlight+1))*limitDecrease, minLimit)
	case congestion < threshold/3:
		r.limit = min(r.limit+max(r.limit*limitRecovery, 1), r.maxLimit)
	case float64(r.inFlight)+1 >= r.limit*0.7:
		r.limit = min(r.limit+max(r.limit*limitIncrease, 1), r.maxLimit)
	}
	r.limitChanged = now
}
