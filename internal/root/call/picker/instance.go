package picker

import (
	"math"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

const (
	latencyWindow   = time.Second     // time constant of the latency average
	errorWindow     = 5 * time.Second // time constant of the error rate
	loadWindow      = time.Second     // time constant of the decay of a reported load
	refusalError    = 0.5             // counts less than a failure: a refusal proves that the instance is alive
	minSampleWeight = 0.1             // so that many calls in a short time count as well
	maxErrorWeight  = 0.3             // so that a single failure after a pause is not an error rate of 1
	ejectFailures   = 5               // consecutive failures
	minEjection     = time.Second     // doubled by each consecutive ejection
	maxEjection     = 30 * time.Second
)

// instance is the statistics of this daemon about one incarnation of a backend server.
type instance struct {
	endpoint      snap.Endpoint
	started       time.Time // zero once the slow start is over
	inFlight      int
	latency       float64 // nanoseconds, zero until the first response
	latencyAt     time.Time
	errors        float64 // error rate between 0 and 1 as of errorsAt
	errorsAt      time.Time
	load          float64
	loadAt        time.Time
	failures      int // consecutive
	ejections     int // consecutive
	ejectedUntil  time.Time
	probation     bool // ejection ended without a response since; limited to one call at a time
	drainingUntil time.Time
	cold          warmup.Report
	coldAt        time.Time // of the report about the cold state
	coldInFlight  int       // calls in flight at that time
}

func newInstance(now time.Time, endpoint snap.Endpoint) *instance {
	in := &instance{endpoint: endpoint}
	// Clocks of other machines may run ahead; a start in the future counts as now.
	if started := time.Unix(0, int64(endpoint.Started)); endpoint.Started != 0 && now.Sub(started) < slowStart {
		in.started = started
		if started.After(now) {
			in.started = now
		}
	}
	return in
}

func (in *instance) leaving(now time.Time) bool {
	return in.endpoint.Leaving || now.Before(in.drainingUntil)
}

// available reports whether the instance is neither ejected nor at its limit of concurrent calls.
func (in *instance) available(now time.Time) bool {
	if now.Before(in.ejectedUntil) || (in.probation && in.inFlight > 0) {
		return false
	}
	return in.endpoint.Connections == 0 || in.inFlight < int(in.endpoint.Connections)
}

// hasRoom reports whether the instance may take a further call at once. Its reported load decays quickly, so that the load
// above which other zones are used counts as full.
func (in *instance) hasRoom(now time.Time) bool {
	return in.available(now) && in.currentLoad(now) < maxLocalLoad && in.coldWait(now) == 0
}

// baseCost is the expected cost of a call to an instance without calls in flight.
func (in *instance) baseCost(now time.Time, defaultLatency float64) float64 {
	return in.expectedLatency(defaultLatency) * (1 + errorWeight*in.errorRate(now)) / in.slowStartWeight(now)
}

// expectedLatency returns the average latency, or the given one before the first response.
func (in *instance) expectedLatency(defaultLatency float64) float64 {
	if in.latency == 0 {
		return defaultLatency
	}
	return in.latency
}

// slowStartWeight returns the share of its calls that an instance gets since its start, 1 after the slow start.
func (in *instance) slowStartWeight(now time.Time) float64 {
	if in.started.IsZero() {
		return 1
	}
	age := now.Sub(in.started)
	if age >= slowStart {
		in.started = time.Time{}
		return 1
	}
	return max(minSlowStartWeight, float64(age)/float64(slowStart))
}

// othersExpected returns the calls of other daemons that are expected there.
func (in *instance) othersExpected(now time.Time) float64 { return maxOthers * in.currentLoad(now) }

// cost is the expected cost of a call in addition to those in flight; the lowest cost is the best.
func (in *instance) cost(now time.Time, defaultLatency float64) float64 {
	return float64(in.inFlight+1)*in.baseCost(now, defaultLatency) + float64(in.coldWait(now))
}

// predicted is the expected time to the response of a call, which counts errors.
func (in *instance) predicted(now time.Time, defaultLatency float64) time.Duration {
	return time.Duration(in.baseCost(now, defaultLatency)) + in.coldWait(now)
}

// coldWait returns the expected wait for a start at a cold instance, zero at a warm one.
func (in *instance) coldWait(now time.Time) time.Duration {
	return in.cold.ExpectedWait(now.Sub(in.coldAt), max(in.inFlight-in.coldInFlight, 0))
}

func (in *instance) recordCold(now time.Time, report warmup.Report) {
	in.cold, in.coldAt, in.coldInFlight = report, now, in.inFlight
}

// currentLoad returns the last reported load, which decays with the time since the report.
func (in *instance) currentLoad(now time.Time) float64 {
	return in.load * math.Exp(-float64(now.Sub(in.loadAt))/float64(loadWindow))
}

// done counts a result and reports whether the instance should be ejected.
func (in *instance) done(now time.Time, r Result) bool {
	in.inFlight = max(0, in.inFlight-1)
	switch r := r.(type) {
	case Responded:
		in.recordLatency(now, r.Latency)
		in.recordError(now, 0)
		in.load, in.loadAt = r.Load, now
		in.recordCold(now, r.Cold)
		in.failures, in.ejections, in.probation = 0, 0, false
	case Refused:
		in.recordError(now, refusalError)
		in.load, in.loadAt = max(r.Load, maxLocalLoad), now
		in.recordCold(now, r.Cold)
		in.failures, in.probation = 0, false
		if r.Draining {
			in.drainingUntil = now.Add(drainingPause)
		}
	case Failed:
		if r.Latency > time.Duration(in.latency) {
			in.recordLatency(now, r.Latency)
		}
		in.recordError(now, 1)
		in.failures++
		return in.failures >= ejectFailures && !now.Before(in.ejectedUntil)
	case Canceled:
	}
	return false
}

func (in *instance) eject(now time.Time) {
	duration := maxEjection
	if in.ejections < 5 {
		duration = min(maxEjection, minEjection<<in.ejections)
	}
	in.ejections++
	in.ejectedUntil = now.Add(duration)
	in.failures = ejectFailures - 1 // one failure after the end of the ejection ejects again
	in.probation = true
}

func (in *instance) recordLatency(now time.Time, latency time.Duration) {
	if in.latency == 0 {
		in.latency = float64(latency)
	}
	in.latency = average(in.latency, float64(latency), now.Sub(in.latencyAt), latencyWindow, 1)
	in.latencyAt = now
}

func (in *instance) recordError(now time.Time, sample float64) {
	in.errors = average(in.errorRate(now), sample, now.Sub(in.errorsAt), errorWindow, maxErrorWeight)
	in.errorsAt = now
}

// errorRate returns the error rate, which decays without calls, so that the instance is tried again.
func (in *instance) errorRate(now time.Time) float64 {
	return in.errors * math.Exp(-float64(now.Sub(in.errorsAt))/float64(errorWindow))
}

// average returns the exponential moving average after a sample; the weight of the sample follows from the time
// since the last one.
func average(previous, sample float64, elapsed, timeConstant time.Duration, maxWeight float64) float64 {
	weight := min(maxWeight, max(minSampleWeight, 1-math.Exp(-float64(elapsed)/float64(timeConstant))))
	return previous + weight*(sample-previous)
}
