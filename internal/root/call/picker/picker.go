package picker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

const (
	errorWeight   = 10   // score × (1 + errorWeight × error rate)
	zoneLoad      = 0.80 // mean load of the own availability zone above which others are used too
	zoneQuality   = 2.0  // an own instance this much worse than one elsewhere loses its preference
	slowStart     = 10 * time.Second
	slowStartLow  = 0.1 // weight at the start of an incarnation
	exploration   = 128 // one call in this many goes to another zone to learn its latency; fewer than 1 in 100 keep the 99th percentile
	nearlyEqual   = 0.9 // scores closer than this are equal; otherwise an instance that is a trace worse gets nothing at low load
	drainingPause = 10 * time.Second
)

type (
	// Picker chooses among the instances of one service. The mutex guards all fields.
	Picker struct {
		mu        sync.Mutex
		zone      string
		random    *rand.Rand
		instances []*instance
		eligible  []*instance // scratch space of Pick
	}

	// Result is Answered, Refused, Failed or Canceled.
	Result interface{ result() }

	// Answered is a response of the instance: time to its first byte, and the part of its limit in use
	// that the daemon beside it reported (1 for a full limit, 0 if unknown).
	Responded struct {
		Latency time.Duration
		Load    float64
	}

	// Refused is a refusal by admission control, by the backend server (429, 503), or by an instance
	// that is draining.
	Refused struct {
		Load     float64
		Draining bool
	}

	// Failed is a connection that was refused or broke, or a deadline that passed without a response
	// after the given latency.
	Failed struct{ Latency time.Duration }

	// Canceled is a call that its caller abandoned.
	Canceled struct{}
)

func (Responded) result() {}
func (Refused) result()   {}
func (Failed) result()    {}
func (Canceled) result()  {}

// New returns a picker for a daemon in that availability zone; seed makes its choices repeatable.
func New(zone string, seed uint64) *Picker {
	return &Picker{zone: zone, random: rand.New(rand.NewPCG(seed, seed))}
}

// Update replaces the set of instances; what is known of the remaining incarnations is kept.
func (p *Picker) Update(now time.Time, endpoints []snap.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[string]*instance, len(p.instances))
	for _, in := range p.instances {
		known[in.endpoint.ID] = in
	}
	p.instances = make([]*instance, 0, len(endpoints))
	for _, endpoint := range endpoints {
		in := known[endpoint.ID]
		if in == nil || in.endpoint.Incarnation != endpoint.Incarnation {
			in = newInstance(now, endpoint)
		}
		in.endpoint = endpoint
		p.instances = append(p.instances, in)
	}
	p.eligible = make([]*instance, 0, len(endpoints))
}

// Pick chooses an instance that is not excluded and counts the call as in flight there until Done.
// Instances in exclude were already tried; if no other is left, they are chosen among again.
func (p *Picker) Pick(now time.Time, exclude []string) (snap.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Each pass drops one condition: a call to an unlikely instance is better than none, but an
	// instance that is leaving is never chosen.
	passes := [...]func(*instance) bool{
		func(in *instance) bool { return in.healthy(now) && !slices.Contains(exclude, in.endpoint.ID) },
		func(in *instance) bool { return in.healthy(now) },
		func(in *instance) bool { return !slices.Contains(exclude, in.endpoint.ID) },
		func(*instance) bool { return true },
	}
	for _, pass := range passes {
		p.eligible = p.eligible[:0]
		own := 0 // the instances of the own availability zone come first
		for _, in := range p.instances {
			if in.leaving(now) || !pass(in) {
				continue
			}
			p.eligible = append(p.eligible, in)
			if in.endpoint.Zone == p.zone {
				last := len(p.eligible) - 1
				p.eligible[own], p.eligible[last] = p.eligible[last], p.eligible[own]
				own++
			}
		}
		if len(p.eligible) > 0 {
			in := p.choose(now, own)
			in.inFlight++
			return in.endpoint, true
		}
	}
	return snap.Endpoint{}, false
}

// Done counts the result of a call to the instance with that id.
func (p *Picker) Done(now time.Time, id string, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, in := range p.instances {
		if in.endpoint.ID == id {
			if in.done(now, r) {
				p.eject(now, in)
			}
			return
		}
	}
}

// choose applies the preference for the own availability zone; own is the number of its instances at
// the head of the eligible ones.
func (p *Picker) choose(now time.Time, own int) *instance {
	local, remote := p.eligible[:own], p.eligible[own:]
	if own == 0 || len(remote) == 0 {
		return p.best(now, p.eligible)
	}
	load := 0.0
	for _, in := range local {
		load += in.loadAt(now)
	}
	if load/float64(own) >= zoneLoad {
		return p.best(now, p.eligible)
	}
	near := p.best(now, local)
	far := remote[p.random.IntN(len(remote))]
	fallback := p.fallback()
	if p.random.IntN(exploration) == 0 {
		return far
	}
	if near.quality(now, fallback) > zoneQuality*far.quality(now, fallback) && far.score(now, fallback) < near.score(now, fallback) {
		return far
	}
	return near
}

// best returns the better of two random instances.
func (p *Picker) best(now time.Time, among []*instance) *instance {
	if len(among) == 1 {
		return among[0]
	}
	i := p.random.IntN(len(among))
	j := p.random.IntN(len(among) - 1)
	if j >= i {
		j++
	}
	fallback := p.fallback()
	if among[j].score(now, fallback) < nearlyEqual*among[i].score(now, fallback) {
		return among[j]
	}
	return among[i]
}

// fallback is the latency assumed for an instance without any answer: the mean of the others.
func (p *Picker) fallback() float64 {
	sum, n := 0.0, 0
	for _, in := range p.instances {
		if in.latency > 0 {
			sum += in.latency
			n++
		}
	}
	if n == 0 {
		return float64(time.Millisecond)
	}
	return sum / float64(n)
}

// eject takes an instance out of the choice unless half of the instances are out already.
func (p *Picker) eject(now time.Time, in *instance) {
	out := 1
	for _, other := range p.instances {
		if other != in && now.Before(other.ejected) {
			out++
		}
	}
	if 2*out <= len(p.instances) {
		in.eject(now)
	}
}
