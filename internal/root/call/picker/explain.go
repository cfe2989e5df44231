package picker

import (
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
	"github.com/buckthornpitch/buckthornpitch/internal/root/spread"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

type (
	// Assessment is what Pick knows of one instance, and with which probability it would choose it.
	Assessment struct {
		Endpoint  snap.Endpoint
		Exclusion reach.Exclusion // nil if the request may be sent there
		Leaving   bool
		Ejected   bool // until EjectedFor is over
		Full      bool // at its limit of concurrent calls of this daemon, or on probation with a call in flight
		Eligible  bool

		EjectedFor time.Duration
		Cost       Cost
		Load       float64 // reported and decayed, 1 for a full limit
		Others     float64 // expected calls of other daemons
		InFlight   int     // calls of this daemon
		Reported   bool
		Age        time.Duration // of the reported load, zero if Reported is false
		Chance     float64
	}

	// Cost is the expected cost of a call to an instance in its parts.
	Cost struct {
		Latency   time.Duration
		Errors    time.Duration // penalty for recent errors
		SlowStart time.Duration // penalty for an instance that has just started
		InFlight  time.Duration // for the calls of this daemon in flight there
		ColdWait  time.Duration // expected wait for a start at a cold instance
	}
)

// Total returns the sum of the parts.
func (c Cost) Total() time.Duration {
	return c.Latency + c.Errors + c.SlowStart + c.InFlight + c.ColdWait
}

// Clone returns a copy for explanations, which has no source of random numbers: Pick must not be called.
func (p *Picker) Clone() *Picker {
	p.mu.Lock()
	defer p.mu.Unlock()
	clone := &Picker{zone: p.zone, sizes: p.sizes.Clone()}
	for _, in := range p.instances {
		copied := *in
		clone.instances = append(clone.instances, &copied)
	}
	return clone
}

// Explain returns what Pick would decide about the request, for each instance in the order of the list. It uses the
// scratch space of the picker, so that it is called on a clone.
func (p *Picker) Explain(now time.Time, request Request) []Assessment {
	p.mu.Lock()
	defer p.mu.Unlock()
	chances := map[*instance]float64{}
	p.addChances(now, &request, p.collect(now, &request), chances)
	latency := p.defaultLatency()
	list := make([]Assessment, 0, len(p.instances))
	for _, in := range p.instances {
		a := Assessment{
			Endpoint: in.endpoint, Exclusion: request.Reach.Exclude(&in.endpoint), Leaving: in.leaving(now),
			Ejected: now.Before(in.ejectedUntil), Eligible: slices.Contains(p.eligible, in),
			Cost: in.costParts(now, latency), Load: in.currentLoad(now), Others: in.othersExpected(now),
			InFlight: in.inFlight, Reported: !in.loadAt.IsZero(), Chance: chances[in],
		}
		a.Full = !a.Ejected && !in.available(now)
		if a.Ejected {
			a.EjectedFor = in.ejectedUntil.Sub(now)
		}
		if a.Reported {
			a.Age = now.Sub(in.loadAt)
		}
		list = append(list, a)
	}
	return list
}

// addChances adds the chances with which choose chooses each of the eligible instances.
func (p *Picker) addChances(now time.Time, request *Request, localCount int, chances map[*instance]float64) {
	if !p.prefersLocal(now, localCount) {
		p.addEvenChances(now, p.eligible, 1, chances)
		return
	}
	local, remote := p.eligible[:localCount], p.eligible[localCount:]
	rest := 1.0
	for _, in := range remote {
		chance := 1 / float64(len(remote))
		if !p.replacesLocal(now, request, local, in) {
			chance /= explorationPeriod
		}
		chances[in] += chance
		rest -= chance
	}
	p.addEvenChances(now, local, rest, chances)
}

// addEvenChances adds the chances of evenly, which is reached with the given chance.
func (p *Picker) addEvenChances(now time.Time, instances []*instance, chance float64, chances map[*instance]float64) {
	p.setCandidates(now, instances)
	distribution, _ := spread.Distribute(p.candidates)
	for i, in := range instances {
		chances[in] += chance * distribution.Chance(p.candidates, i)
	}
}

// costParts returns the cost of the instance in its parts.
func (in *instance) costParts(now time.Time, defaultLatency float64) Cost {
	latency, base := in.expectedLatency(defaultLatency), in.baseCost(now, defaultLatency)
	withErrors := latency * (1 + errorWeight*in.errorRate(now))
	return Cost{
		Latency: time.Duration(latency), Errors: time.Duration(withErrors - latency), SlowStart: time.Duration(base - withErrors),
		InFlight: time.Duration(float64(in.inFlight) * base), ColdWait: in.coldWait(now),
	}
}
