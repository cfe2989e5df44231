package admit

import (
	"math"
	"time"
)

const (
	lowestShare   = 1.0 / 8 // part of the slots below which the limit does not fall
	coldShare     = 1.0 / 2 // part of the slots at the start of a backend server
	window        = 100 * time.Millisecond
	windowSamples = 30 // fewer samples give a mean too uncertain to compare with
	clearSamples  = 10 // enough to tell a latency of clearFactor times the reference from chance
	clearFactor   = 4.0
	windowLongest = 500 * time.Millisecond // a window with few samples is closed anyway
	latencyFactor = 2.0                    // of the reference; above it the limit falls
	shedShare     = 0.01                   // part of the samples above which shedding lowers the limit
	expiredShare  = 0.30                   // part of the samples above which work for passed deadlines lowers the limit
	decrease      = 0.9                    // per window with shedding or passed deadlines
	latencyCut    = 0.7                    // for latency; large enough for its effect to stand out
	shortestJudge = 300 * time.Millisecond // from a cut until its effect is judged
	judgeDelay    = 2                      // mean latencies from a cut until its effect is judged
	fastIncrease  = 1.1                    // per window, while the latency is near the reference
	nearFactor    = 1.5                    // of the reference; above it the limit grows by one slot per window
	usedShare     = 0.8                    // part of the limit in use above which it may grow
	loadedShare   = 0.5                    // part of the limit in use below which latency is not its effect
	pardonTime    = 5 * time.Second        // after a cut without effect, while the references are learned again
	cutWorks      = 0.85                   // factor by which latency falls at least if cutting has an effect
	maxRoutes     = 1_024
)

type (
	// adaptive is the concurrency limit of one backend server, adapted to latency and shedding.
	adaptive struct {
		slots     int
		value     float64
		opened    time.Time
		samples   int
		sheds     int
		expired   int
		total     time.Duration // sum of latencies
		relative  float64       // sum of latencies, each relative to the reference of its route
		compared  int           // samples in relative; both are carried over windows until there are enough
		busiest   int           // highest number in flight in this window
		saturated bool          // a request did not fit in this window
		routes    map[string]*reference

		cutFrom     float64 // limit before the last cut for latency, zero if the latency was fine since
		cutRelative float64 // relative latency then
		judge       time.Time
		pardon      time.Time // until then latency does not lower the limit
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
	a.cutFrom, a.relative, a.compared = 0, 0, 0
	a.open(now)
}

func (a *adaptive) open(now time.Time) {
	a.opened, a.samples, a.sheds, a.expired, a.total = now, 0, 0, 0, 0
	a.busiest, a.saturated = 0, false
}

// whole returns the limit in slots, at least 1.
func (a *adaptive) whole() int { return max(1, int(a.value)) }

func (a *adaptive) shed() { a.samples, a.sheds = a.samples+1, a.sheds+1 }

func (a *adaptive) sample(now time.Time, route string, latency time.Duration) {
	a.samples++
	a.total += latency
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

// tick closes the window if it is over and reports whether it did.
func (a *adaptive) tick(now time.Time, inFlight int) bool {
	passed := now.Sub(a.opened)
	if passed < window || (a.samples < windowSamples && passed < windowLongest) {
		return false
	}
	a.busiest = max(a.busiest, inFlight)
	relative := a.relative / max(1, float64(a.compared))
	known := a.compared >= windowSamples || (a.compared >= clearSamples && relative > clearFactor)
	switch {
	case a.samples == 0:
	case float64(a.sheds) > shedShare*float64(a.samples), float64(a.expired) > expiredShare*float64(a.samples):
		a.lower(decrease)
	case known && relative > latencyFactor && float64(a.busiest) >= loadedShare*a.value && !now.Before(a.pardon):
		a.lowerForLatency(now, relative)
	default:
		if known && relative <= latencyFactor {
			a.cutFrom = 0
		}
		if a.cutFrom == 0 && (a.saturated || float64(a.busiest) >= usedShare*a.value) {
			a.raise(relative)
		}
	}
	a.open(now)
	if known {
		a.relative, a.compared = 0, 0
	}
	return true
}

func (a *adaptive) raise(relative float64) {
	raised := a.value + 1
	if relative < nearFactor {
		raised = max(raised, a.value*fastIncrease)
	}
	a.value = min(raised, float64(a.slots))
}

func (a *adaptive) lower(factor float64) {
	a.value = max(1, lowestShare*float64(a.slots), a.value*factor)
}

// lowerForLatency cuts the limit while that lowers the latency. If a cut had no effect, the latency has
// another cause, such as a slower disk, cold caches or a new version; cutting further would only waste
// slots, so the present latency becomes the reference and the limit returns.
func (a *adaptive) lowerForLatency(now time.Time, relative float64) {
	if a.cutFrom > 0 {
		if now.Before(a.judge) {
			return
		}
		if relative > cutWorks*a.cutRelative {
			for _, r := range a.routes {
				r.raise(relative)
			}
			a.value, a.cutFrom = a.cutFrom, 0
			a.pardon = now.Add(pardonTime)
			return
		}
	}
	a.cutFrom, a.cutRelative = a.value, relative
	a.judge = now.Add(max(shortestJudge, judgeDelay*a.total/time.Duration(a.samples)))
	a.lower(latencyCut)
}

const (
	referenceWindow  = time.Second
	referenceSamples = 50 // per window; the lowest of 60 such means of exponential times is about 0.7 of their mean
	referenceWindows = 60
)

// reference is the lowest mean latency of a route in recent windows.
type reference struct {
	opened time.Time
	usable bool // false in the first window, in which only the shortest requests have ended
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
	mean := r.sum / float64(r.count)
	r.opened, r.count, r.sum = now, 0, 0
	if !r.usable {
		r.usable = true
		return
	}
	r.recent[r.next] = mean
	r.next = (r.next + 1) % referenceWindows
	r.lowest = math.Inf(1)
	for _, mean := range r.recent {
		if mean > 0 {
			r.lowest = min(r.lowest, mean)
		}
	}
}

// raise lifts the reference by a factor and forgets the means that led to it.
func (r *reference) raise(factor float64) {
	r.lowest *= factor
	r.recent, r.next = [referenceWindows]float64{}, 0
	r.count, r.sum, r.usable = 0, 0, false
}
