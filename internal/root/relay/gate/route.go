package gate

import (
	"math"
	"slices"
	"time"
)

const (
	// minLimit keeps enough runs of a limited route in flight to notice that there is room again.
	minLimit = 2

	// decrease is the factor that a limit is lowered by in one step. increase is what it is raised by in a step
	// as a part of itself, and regain the same once the services behind are hardly strained any more.
	decrease = 0.88
	increase = 0.06
	regain   = 0.3

	// limitStep is the time between two changes of a limit: what a change does to the services behind is
	// seen after about one run.
	limitStep = 120 * time.Millisecond

	// urgentStrain and otherStrain are the strain of the services behind above which runs of the most urgent
	// and of other routes are cut back. The less urgent routes give way first.
	urgentStrain = 2.4
	otherStrain  = 1.2

	// rankStep is taken off otherStrain for each rank.
	rankStep = 0.1
)

// route is what the gate knows of one route. Its limit answers a pattern that slots alone do not: when a
// service behind this one is short of room, the runs here last longer, hold their slots, fail at their
// deadline and have used the other service for nothing. The limit lowers the number of runs until those
// that start also end in time.
type route struct {
	name     string
	mean     time.Duration // run time
	limit    float64       // runs at the same time
	most     float64
	inFlight int
	running  []*Ticket // in the order of their starts, with those that are overdue
	changed  time.Time // when the limit was changed last
}

func newRoute(name string, slots int) *route {
	return &route{name: name, limit: float64(slots), most: float64(slots)}
}

// open reports whether the route's own limit lets another run start. Nested calls are not limited: their
// outer requests hold slots already.
func (r *route) open(t *Ticket) bool { return t.Nested || float64(r.inFlight) < r.limit }

// remove takes a run out that has ended. If it ran, it has overtaken those that started before it.
func (r *route) remove(t *Ticket, ran bool) {
	at := slices.Index(r.running, t)
	if at < 0 {
		return
	}
	if ran {
		for _, earlier := range r.running[:at] {
			earlier.overtaken++
		}
	}
	r.running = slices.Delete(r.running, at, at+1)
}

// expected returns the run time to reckon with.
func (r *route) expected(overall time.Duration) time.Duration {
	if r.mean == 0 {
		return overall
	}
	return r.mean
}

// shortest returns the time below which a run does not succeed as a rule.
func (r *route) shortest() time.Duration { return r.mean / 2 }

// wait returns how long a request waits behind n others for the limit of the route.
func (r *route) wait(n int) time.Duration {
	if r.mean == 0 || float64(r.inFlight) < r.limit {
		return 0
	}
	return time.Duration(float64(n+1) / r.limit * float64(r.mean))
}

// adjust moves the limit of a route whose runs make calls, by the strain of the services that they call.
func (r *route) adjust(now time.Time, rank int, strain float64) {
	if now.Sub(r.changed) < limitStep {
		return
	}
	bearable := urgentStrain
	if rank > 0 {
		bearable = otherStrain - rankStep*math.Min(float64(rank-1), 5)
	}
	switch {
	case strain > bearable:
		r.limit = max(min(r.limit, float64(r.inFlight+1))*decrease, minLimit)
	case strain < bearable/3:
		r.limit = min(r.limit+max(r.limit*regain, 1), r.most)
	case float64(r.inFlight)+1 >= r.limit*0.7:
		r.limit = min(r.limit+max(r.limit*increase, 1), r.most)
	}
	r.changed = now
}
