package gate

import "time"

const (
	// minLimit keeps enough runs of a limited route in flight to notice that its runs are short again.
	minLimit = 3

	// inflated is the ratio to the usual run time above which runs are held up by the calls that they make.
	inflated = 1.5

	// decrease is the factor that a limit is lowered by.
	decrease = 0.85

	// usualWeight is the weight of one run in the usual run time, which follows slowly, but for shorter runs.
	usualWeight = 0.004

	// urgentShare and otherShare are the parts of the time that a caller waits up to which runs may grow. The
	// less urgent routes give way first, so that the urgent ones keep the servers behind them.
	urgentShare = 0.8
	otherShare  = 0.6
)

// route is what the gate knows of one route. Its limit answers a pattern that slots alone do not: when a
// service behind this one is short of room, the runs here last longer, hold their slots, fail at their
// deadline and have used the other service for nothing. The limit lowers the number of runs until those
// that start also end in time.
type route struct {
	name     string
	mean     time.Duration // run time
	usual    time.Duration // run time while nothing holds up the runs
	limit    float64       // runs at the same time
	most     float64
	inFlight int
	lowered  time.Time // when the limit was lowered last
}

func newRoute(name string, slots int) *route {
	return &route{name: name, limit: float64(slots), most: float64(slots)}
}

// open reports whether the route's own limit lets another run start. Nested calls are not limited: their
// outer requests hold slots already.
func (r *route) open(t *Ticket) bool { return t.Nested || float64(r.inFlight) < r.limit }

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

func (r *route) ran(now time.Time, t *Ticket, took time.Duration) {
	r.mean = average(r.mean, took)
	switch {
	case r.usual == 0:
		r.usual = took
	case took < r.usual:
		r.usual -= time.Duration(runWeight * float64(r.usual-took))
	default:
		r.usual += time.Duration(usualWeight * float64(took-r.usual))
	}
	if t.Nested {
		return
	}
	share := otherShare
	if t.Rank == 0 {
		share = urgentShare
	}
	span := t.Deadline.Sub(t.Arrived)
	if !t.Objective.IsZero() {
		span = min(span, t.Objective.Sub(t.Arrived))
	}
	target := time.Duration(share * float64(span))
	if r.mean > target && float64(r.mean) > inflated*float64(r.usual) {
		if now.Sub(r.lowered) >= r.mean/2 {
			r.lowered = now
			r.limit = max(min(r.limit, float64(r.inFlight+1))*decrease, minLimit)
		}
		return
	}
	if float64(r.inFlight)+1 >= r.limit/2 {
		r.limit = min(r.limit+1/r.limit*2, r.most)
	}
}
