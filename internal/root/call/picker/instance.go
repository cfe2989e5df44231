package picker

import (
	"math"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

const (
	latencyWindow = time.Second     // time constant of the latency average
	errorWindow   = 5 * time.Second // time constant of the error rate
	loadWindow    = time.Second     // a reported load is forgotten with this time constant
	refusalWeight = 0.5             // error of a refusal, which proves that the instance is alive
	leastWeight   = 0.1             // of one sample, so that many calls in a short time count as well
	mostWeight    = 0.3             // of one error, so that a single failure after a pause is not a rate of 1
	ejectFailures = 5               // consecutive failures
	ejectShortest = time.Second     // doubled by each ejection in a row
	ejectLongest  = 30 * time.Second
)

// instance is what this daemon has seen of one incarnation of a backend server.
type instance struct {
	endpoint  snap.Endpoint
	started   time.Time // zero once the slow start is over
	inFlight  int
	latency   float64 // nanoseconds, zero until the first answer
	sampled   time.Time
	errors    float64 // error rate between 0 and 1
	judged    time.Time
	load      float64
	loaded    time.Time
	failures  int // consecutive
	ejections int // consecutive
	ejected   time.Time
	probation bool // returned from ejection, not yet answered: one call at a time
	drained   time.Time
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
	return in.endpoint.Leaving || now.Before(in.drained)
}

func (in *instance) healthy(now time.Time) bool {
	if now.Before(in.ejected) || (in.probation && in.inFlight > 0) {
		return false
	}
	return in.endpoint.Connections == 0 || in.inFlight < int(in.endpoint.Connections)
}

// quality is the expected cost of a call apart from the calls in flight.
func (in *instance) quality(now time.Time, fallback float64) float64 {
	latency := in.latency
	if latency == 0 {
		latency = fallback
	}
	weight := 1.0
	if !in.started.IsZero() {
		if age := now.Sub(in.started); age < slowStart {
			weight = max(slowStartLow, float64(age)/float64(slowStart))
		} else {
			in.started = time.Time{}
		}
	}
	return latency * (1 + errorWeight*in.errorRate(now)) / weight
}

func (in *instance) score(now time.Time, fallback float64) float64 {
	return float64(in.inFlight+1) * in.quality(now, fallback)
}

func (in *instance) loadAt(now time.Time) float64 {
	return in.load * math.Exp(-float64(now.Sub(in.loaded))/float64(loadWindow))
}

// done counts a result and reports whether the instance should be ejected.
func (in *instance) done(now time.Time, r Result) bool {
	in.inFlight = max(0, in.inFlight-1)
	switch r := r.(type) {
	case Responded:
		in.sample(now, r.Latency)
		in.judge(now, 0)
		in.load, in.loaded = r.Load, now
		in.failures, in.ejections, in.probation = 0, 0, false
	case Refused:
		in.judge(now, refusalWeight)
		in.load, in.loaded = max(r.Load, zoneLoad), now
		in.failures, in.probation = 0, false
		if r.Draining {
			in.drained = now.Add(drainingPause)
		}
	case Failed:
		if r.Latency > time.Duration(in.latency) {
			in.sample(now, r.Latency)
		}
		in.judge(now, 1)
		in.failures++
		return in.failures >= ejectFailures && !now.Before(in.ejected)
	case Canceled:
	}
	return false
}

func (in *instance) eject(now time.Time) {
	pause := ejectLongest
	if in.ejections < 5 {
		pause = min(ejectLongest, ejectShortest<<in.ejections)
	}
	in.ejections++
	in.ejected = now.Add(pause)
	in.failures = ejectFailures - 1 // one more failure after the return ejects again
	in.probation = true
}

func (in *instance) sample(now time.Time, latency time.Duration) {
	if in.latency == 0 {
		in.latency = float64(latency)
	}
	in.latency = average(in.latency, float64(latency), now.Sub(in.sampled), latencyWindow, 1)
	in.sampled = now
}

func (in *instance) judge(now time.Time, failed float64) {
	in.errors = average(in.errorRate(now), failed, now.Sub(in.judged), errorWindow, mostWeight)
	in.judged = now
}

// errorRate returns the error rate; one that is not renewed by calls fades, so that the instance is
// tried again.
func (in *instance) errorRate(now time.Time) float64 {
	return in.errors * math.Exp(-float64(now.Sub(in.judged))/float64(errorWindow))
}

// average moves an average towards a sample by the weight of the time since the last one.
func average(old, sample float64, passed, constant time.Duration, most float64) float64 {
	weight := min(most, max(leastWeight, 1-math.Exp(-float64(passed)/float64(constant))))
	return old + weight*(sample-old)
}
