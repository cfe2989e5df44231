package admit

import (
	"math"
	"time"
)

const (
	lowestShare   = 1.0 / 8 // part of the slots below which the limit does not fall
	coldShare     = 1.0 / 4 // part of the slots at the start of a backend server
	window        = 100 * time.Millisecond
	windowSamples = 30                     // fewer samples give a mean too uncertain to compare with
	windowLongest = 500 * time.Millisecond // a window with few samples is closed anyway
	latencyFactor = 2.0                    // of the reference; above it the limit falls
	shedShare     = 0.01                   // part of the samples above which shedding lowers the limit
	decrease      = 0.9                    // per window
	fastIncrease  = 1.1                    // per window, below the limit that last proved too high
	usedShare     = 0.8                    // part of the limit in use above which it may grow
	loadedShare   = 0.5                    // part of the limit in use below which latency is not its effect
	cutToJudge    = 0.6                    // the limit was cut by this factor without effect: latency is not its effect
	cutWorks      = 0.8                    // factor by which latency falls at least if cutting has an effect
	maxRoutes     = 1_024
)

type (
	// adaptive is the concurrency limit of one backend server, adapted to latency and shedding.
	adaptive struct {
		slots     int
		value     float64
		proven    float64 // below it the limit grows fast
		opened    time.Time
		samples   int
		sheds     int
		relative  float64 // sum of latencies, each relative to the reference of its route
		compared  int     // samples in relative
		busiest   int     // highest number in flight in this window
		saturated bool    // a request did not fit in this window
		routes    map[string]*reference

		cutFrom     float64 // limit at which the present series of decreases began, zero if none
		cutRelative float64 // relative latency then
	}
)

func newAdaptive(now time.Time, slots int) adaptive {
	a := adaptive{routes: map[string]*reference{}}
	a.restart(now, slots)
	return a
}

func (a *adaptive) restart(now time.Time, slots int) {
	a.slots = max(1, slots)
	a.value = max(1, coldShare*float64(a.slots))
	a.proven = float64(a.slots)
	a.cutFrom = 0
	a.open(now)
}

func (a *adaptive) open(now time.Time) {
	a.opened, a.samples, a.sheds, a.relative, a.compared, a.busiest, a.saturated = now, 0, 0, 0, 0, 0, false
}

// whole returns the limit in slots, at least 1.
func (a *adaptive) whole() int { return max(1, int(a.value)) }

func (a *adaptive) shed() { a.samples, a.sheds = a.samples+1, a.sheds+1 }

func (a *adaptive) sample(now time.Time, route string, latency time.Duration) {
	a.samples++
	r := a.routes[route]
	if r == nil {
		if len(a.routes) >= maxRoutes {
			return
		}
		r = &reference{opened: now}
		a.routes[route] = r
	}
	if r.lowest > 0 {
		a.relative += float64(latency) / r.lowest
		a.compared++
	}
	r.add(now, latency)
}

// tick closes the window if it is over and reports whether the limit has grown.
func (a *adaptive) tick(now time.Time, inFlight int) bool {
	passed := now.Sub(a.opened)
	if passed < window || (a.samples < windowSamples && passed < windowLongest) {
		return false
	}
	before := a.value
	a.busiest = max(a.busiest, inFlight)
	relative := 0.0
	if a.compared >= windowSamples {
		relative = a.relative / float64(a.compared)
	}
	switch {
	case a.samples == 0:
	case float64(a.sheds) > shedShare*float64(a.samples):
		a.lower()
	case relative > latencyFactor && float64(a.busiest) >= loadedShare*a.value:
		a.lowerForLatency(relative)
	case a.saturated || float64(a.busiest) >= usedShare*a.value:
		a.cutFrom = 0
		a.raise()
	default:
		a.cutFrom = 0
	}
	a.open(now)
	return a.whole() > int(before)
}

func (a *adaptive) raise() {
	if a.value < a.proven {
		a.value = max(a.value+1, a.value*fastIncrease)
	} else {
		a.value++
	}
	a.value = min(a.value, float64(a.slots))
}

func (a *adaptive) lower() {
	a.proven = a.value * decrease
	a.value = max(1, lowestShare*float64(a.slots), a.value*decrease)
}

// lowerForLatency cuts the limit while that lowers the latency. If a series of cuts had no effect, the
// latency has another cause, such as a slower disk or a new version; cutting further would only waste
// slots, so the present latency becomes the reference and the limit returns.
func (a *adaptive) lowerForLatency(relative float64) {
	if a.cutFrom == 0 {
		a.cutFrom, a.cutRelative = a.value, relative
	}
	cut := a.value <= max(cutToJudge*a.cutFrom, lowestShare*float64(a.slots))
	if cut && relative > cutWorks*a.cutRelative {
		for _, r := range a.routes {
			r.raise(relative)
		}
		a.value, a.proven, a.cutFrom = a.cutFrom, a.cutFrom, 0
		return
	}
	a.lower()
}

const (
	referenceWindow  = time.Second
	referenceSamples = 50 // per window; the lowest of 60 such means of exponential times is about 0.7 of their mean
	referenceWindows = 60
)

// reference is the lowest mean latency of a route in recent windows.
type reference struct {
	opened time.Time
	count  int
	sum    float64
	recent [referenceWindows]float64 // means, zero if unused
	next   int
	lowest float64 // nanoseconds, zero until the first window is complete
}

func (r *reference) add(now time.Time, latency time.Duration) {
	r.count++
	r.sum += float64(latency)
	if now.Sub(r.opened) < referenceWindow || r.count < referenceSamples {
		return
	}
	r.recent[r.next] = r.sum / float64(r.count)
	r.next = (r.next + 1) % referenceWindows
	r.opened, r.count, r.sum = now, 0, 0
	r.lowest = math.Inf(1)
	for _, mean := range r.recent {
		if mean > 0 {
			r.lowest = min(r.lowest, mean)
		}
	}
}

// raise lifts the reference by a factor.
func (r *reference) raise(factor float64) {
	r.lowest *= factor
	for i, mean := range r.recent {
		if mean > 0 {
			r.recent[i] = max(mean, r.lowest)
		}
	}
}
