package admit

import (
	"math"
	"time"
)

const (
	minLimitShare      = 1.0 / 8 // lowest limit, as a fraction of the slots
	initialLimitShare  = 1.0 / 2 // limit at the start of a backend server, as a fraction of the slots
	minWindow          = 100 * time.Millisecond
	maxWindow          = 500 * time.Millisecond // a window is closed at this age even with too few samples
	minSamples         = 30                     // the mean of fewer samples is too uncertain for a comparison
	minOutlierSamples  = 10                     // enough samples to rule out chance if the mean exceeds outlierFactor times the reference
	outlierFactor      = 4.0
	highLatencyFactor  = 2.0                    // the limit falls if the latency exceeds this multiple of the reference
	maxShedShare       = 0.01                   // fraction of shed samples above which the limit falls
	maxExpiredShare    = 0.30                   // fraction of samples with a passed deadline above which the limit falls
	overloadDecrease   = 0.9                    // factor per window with too many shed or expired requests
	latencyDecrease    = 0.7                    // factor of a cut for high latency; low enough that the effect of a cut exceeds random variation
	minCutEvaluation   = 300 * time.Millisecond // least time from a cut until its effect is evaluated
	cutEvaluationTimes = 2                      // time from a cut until its effect is evaluated, in mean latencies
	fastIncrease       = 1.1                    // factor per window while the latency is near the reference
	nearLatencyFactor  = 1.5                    // above this multiple of the reference the limit grows by one slot per window
	growthUseShare     = 0.8                    // fraction of the limit that has to be in use for it to grow
	latencyUseShare    = 0.5                    // fraction of the limit in use below which high latency is not caused by the concurrency
	latencyHoldOff     = 5 * time.Second        // time without cuts for latency after one without effect, in which the references are rebuilt
	effectiveCutFactor = 0.85                   // a cut has an effect if the relative latency falls to this fraction or below
	maxRoutes          = 1_024
)

type (
	// adaptiveLimit is the concurrency limit of one backend server. It adapts to latency, shedding and expired
	// requests.
	adaptiveLimit struct {
		slots         int
		value         float64
		windowStart   time.Time
		samples       int
		sheds         int
		expired       int
		total         time.Duration // sum of latencies
		relativeSum   float64       // sum of latencies, each divided by the reference of its route
		relativeCount int           // samples in relativeSum; both are carried over to the next window until there are enough
		peakInFlight  int           // highest number in flight in this window
		saturated     bool          // a request exceeded the limit in this window
		routes        map[string]*latencyReference

		limitBeforeCut    float64 // limit before the last cut for latency; zero if the latency has been normal since
		relativeAtCut     float64 // relative latency at the last cut
		evaluateCutAt     time.Time
		noLatencyCutUntil time.Time // latency does not lower the limit before this time
	}
)

func newAdaptiveLimit(now time.Time, slots int) adaptiveLimit {
	a := adaptiveLimit{routes: map[string]*latencyReference{}}
	a.restart(now, slots)
	return a
}

func (a *adaptiveLimit) restart(now time.Time, slots int) {
	a.slots = max(1, slots)
	a.value = max(1, initialLimitShare*float64(a.slots))
	a.limitBeforeCut, a.relativeSum, a.relativeCount = 0, 0, 0
	a.startWindow(now)
}

func (a *adaptiveLimit) startWindow(now time.Time) {
	a.windowStart, a.samples, a.sheds, a.expired, a.total = now, 0, 0, 0, 0
	a.peakInFlight, a.saturated = 0, false
}

// wholeSlots returns the limit rounded down to whole slots, at least 1.
func (a *adaptiveLimit) wholeSlots() int { return max(1, int(a.value)) }

func (a *adaptiveLimit) countShed() { a.samples, a.sheds = a.samples+1, a.sheds+1 }

func (a *adaptiveLimit) sample(now time.Time, route string, latency time.Duration) {
	a.samples++
	a.total += latency
	r := a.routes[route]
	if r == nil {
		if len(a.routes) >= maxRoutes {
			return
		}
		r = &latencyReference{windowStart: now}
		a.routes[route] = r
	}
	if r.lowest > 0 {
		a.relativeSum += float64(latency) / r.lowest
		a.relativeCount++
	}
	r.add(now, latency)
}

// tick closes the window if it is over and reports whether it did.
func (a *adaptiveLimit) tick(now time.Time, inFlight int) bool {
	elapsed := now.Sub(a.windowStart)
	if elapsed < minWindow || (a.samples < minSamples && elapsed < maxWindow) {
		return false
	}
	a.peakInFlight = max(a.peakInFlight, inFlight)
	relative := a.relativeSum / max(1, float64(a.relativeCount))
	enoughSamples := a.relativeCount >= minSamples || (a.relativeCount >= minOutlierSamples && relative > outlierFactor)
	switch {
	case a.samples == 0:
	case float64(a.sheds) > maxShedShare*float64(a.samples), float64(a.expired) > maxExpiredShare*float64(a.samples):
		a.lower(overloadDecrease)
	case enoughSamples && relative > highLatencyFactor && float64(a.peakInFlight) >= latencyUseShare*a.value && !now.Before(a.noLatencyCutUntil):
		a.lowerForLatency(now, relative)
	default:
		if enoughSamples && relative <= highLatencyFactor {
			a.limitBeforeCut = 0
		}
		if a.limitBeforeCut == 0 && (a.saturated || float64(a.peakInFlight) >= growthUseShare*a.value) {
			a.raise(relative)
		}
	}
	a.startWindow(now)
	if enoughSamples {
		a.relativeSum, a.relativeCount = 0, 0
	}
	return true
}

func (a *adaptiveLimit) raise(relative float64) {
	raised := a.value + 1
	if relative < nearLatencyFactor {
		raised = max(raised, a.value*fastIncrease)
	}
	a.value = min(raised, float64(a.slots))
}

func (a *adaptiveLimit) lower(factor float64) {
	a.value = max(1, minLimitShare*float64(a.slots), a.value*factor)
}

// lowerForLatency cuts the limit as long as cuts lower the latency. If a cut has no effect, the latency has
// another cause, such as a slower disk, cold caches or a new version, and further cuts would only waste
// slots: the present latency becomes the reference and the limit before the cut is restored.
func (a *adaptiveLimit) lowerForLatency(now time.Time, relative float64) {
	if a.limitBeforeCut > 0 {
		if now.Before(a.evaluateCutAt) {
			return
		}
		if relative > effectiveCutFactor*a.relativeAtCut {
			for _, r := range a.routes {
				r.raise(relative)
			}
			a.value, a.limitBeforeCut = a.limitBeforeCut, 0
			a.noLatencyCutUntil = now.Add(latencyHoldOff)
			return
		}
	}
	a.limitBeforeCut, a.relativeAtCut = a.value, relative
	a.evaluateCutAt = now.Add(max(minCutEvaluation, cutEvaluationTimes*a.total/time.Duration(a.samples)))
	a.lower(latencyDecrease)
}

const (
	referenceWindow  = time.Second
	referenceSamples = 50 // least samples per window; the lowest of 60 such means of exponentially distributed times is about 0.7 of the true mean
	referenceWindows = 60
)

// latencyReference is the lowest mean latency of a route in recent windows.
type latencyReference struct {
	windowStart  time.Time
	skippedFirst bool // the first window is skipped, because only the shortest requests have ended in it
	count        int
	sum          float64
	means        [referenceWindows]float64 // means, zero if unused
	next         int
	lowest       float64 // nanoseconds, zero until the first window is complete
}

func (r *latencyReference) add(now time.Time, latency time.Duration) {
	r.count++
	r.sum += float64(latency)
	if now.Sub(r.windowStart) < referenceWindow || r.count < referenceSamples {
		return
	}
	mean := r.sum / float64(r.count)
	r.windowStart, r.count, r.sum = now, 0, 0
	if !r.skippedFirst {
		r.skippedFirst = true
		return
	}
	r.means[r.next] = mean
	r.next = (r.next + 1) % referenceWindows
	r.lowest = math.Inf(1)
	for _, mean := range r.means {
		if mean > 0 {
			r.lowest = min(r.lowest, mean)
		}
	}
}

// raise multiplies the reference by a factor and drops the means that it was computed from.
func (r *latencyReference) raise(factor float64) {
	r.lowest *= factor
	r.means, r.next = [referenceWindows]float64{}, 0
	r.count, r.sum, r.skippedFirst = 0, 0, false
}
