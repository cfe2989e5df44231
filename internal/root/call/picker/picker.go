package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
	"github.com/buckthornpitch/buckthornpitch/internal/root/spread"
	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

const (
	errorWeight        = 10   // cost × (1 + errorWeight × error rate)
	maxLocalLoad       = 0.80 // mean load of the local availability zone above which other zones are used too
	maxLocalCostRatio  = 2.0  // a local instance loses its preference above this ratio of its base cost to a remote one's
	slowStart          = 10 * time.Second
	minSlowStartWeight = 0.1 // weight at the start of an incarnation
	explorationPeriod  = 128 // one call in this many goes to another zone to sample its latency; fewer than 1 in 100 leave the 99th percentile unchanged
	drainingPause      = 10 * time.Second
	remoteGain         = 40 * time.Millisecond // gain that a call must have for each KiB of its answer above 1 KiB
	maxOthers          = 3                     // calls of other daemons expected at an instance whose limit is fully used
)

type (
	// Picker balances the calls of one daemon among the instances of one service. It is safe for concurrent use;
	// the mutex guards all fields.
	Picker struct {
		mu        sync.Mutex
		zone      string
		random    *rand.Rand
		instances []*instance
		eligible  []*instance // scratch space of Pick

		candidates []spread.Candidate // scratch space of choose
		sizes      cross.Sizes
	}

	// Request describes the call to send to one of the instances.
	Request struct {
		// Tried lists the ids of instances that were already tried, empty for the first attempt; they are chosen only if no
		// other is available.
		Tried  []string
		Reach  reach.Policy
		Nested bool // the call arrived from a backend server
		Route  string
		Left   time.Duration // until the deadline
		// LongStay lets a call with a long answer leave its zone less easily.
		LongStay bool
	}

	// Choice is the instance that a call is sent to.
	Choice struct {
		snap.Endpoint
		Cause cross.Cause // of the bytes, if the instance is in another availability zone
		// Random is set if another instance had a lower expected cost: the choice evens out the load.
		Random bool
	}

	// Result is Responded, Refused, Failed or Canceled.
	Result interface{ result() }

	// Responded is a call with a response: the time to its first byte, and the used part of the instance's limit
	// as reported by its daemon (1 for a full limit, 0 if unknown). Size is that of the body, zero if it was not passed
	// on as a whole.
	Responded struct {
		Route   string
		Size    int
		Latency time.Duration
		Load    float64
		Cold    warmup.Report
	}

	// Refused is a refusal by admission control, by the backend server (429, 503), or by an instance
	// that is draining.
	Refused struct {
		Load     float64
		Draining bool
		Cold     warmup.Report
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

// New returns a picker for a daemon in the given availability zone; seed makes its choices repeatable.
func New(zone string, seed uint64) *Picker {
	return &Picker{zone: zone, random: rand.New(rand.NewPCG(seed, seed))}
}

// Update replaces the set of instances; the statistics of the incarnations that remain are kept.
func (p *Picker) Update(now time.Time, endpoints []snap.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := make(map[string]*instance, len(p.instances))
	for _, in := range p.instances {
		previous[in.endpoint.ID] = in
	}
	p.instances = make([]*instance, 0, len(endpoints))
	for _, endpoint := range endpoints {
		in := previous[endpoint.ID]
		if in == nil || in.endpoint.Incarnation != endpoint.Incarnation {
			in = newInstance(now, endpoint)
		}
		in.endpoint = endpoint
		p.instances = append(p.instances, in)
	}
	p.eligible = make([]*instance, 0, len(endpoints))
}

// Pick chooses an instance and counts the call as in flight there until Done.
func (p *Picker) Pick(now time.Time, request Request) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	localCount := p.collect(now, &request)
	if len(p.eligible) == 0 {
		return Choice{}, false
	}
	in, cheapest := p.choose(now, &request, localCount)
	placement := cross.Placement{Home: in.endpoint.Zone == p.zone, Again: len(request.Tried) > 0, Nested: request.Nested}
	if !placement.Home {
		placement.RoomAtHome = slices.ContainsFunc(p.eligible[:localCount], func(in *instance) bool { return in.hasRoom(now) })
	}
	in.inFlight++
	return Choice{Endpoint: in.endpoint, Cause: placement.Cause(), Random: !cheapest}, true
}

// collect sets the eligible instances; those of the local availability zone come first, and their number is returned.
func (p *Picker) collect(now time.Time, request *Request) (localCount int) {
	// Each pass drops one condition: a call to an instance that is likely to fail is better than none, but an
	// instance that is leaving is never chosen.
	passes := [...]func(*instance) bool{
		func(in *instance) bool { return in.available(now) && !slices.Contains(request.Tried, in.endpoint.ID) },
		func(in *instance) bool { return in.available(now) },
		func(in *instance) bool { return !slices.Contains(request.Tried, in.endpoint.ID) },
		func(*instance) bool { return true },
	}
	for _, pass := range passes {
		p.eligible = p.eligible[:0]
		localCount = 0
		for _, in := range p.instances {
			if in.leaving(now) || request.Reach.Exclude(&in.endpoint) != nil || !pass(in) {
				continue
			}
			p.eligible = append(p.eligible, in)
			if in.endpoint.Zone == p.zone {
				last := len(p.eligible) - 1
				p.eligible[localCount], p.eligible[last] = p.eligible[last], p.eligible[localCount]
				localCount++
			}
		}
		if len(p.eligible) > 0 {
			break
		}
	}
	return localCount
}

// Done counts the result of a call to the instance with that id.
func (p *Picker) Done(now time.Time, id string, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, in := range p.instances {
		if in.endpoint.ID == id {
			if responded, ok := r.(Responded); ok && responded.Size > 0 {
				p.sizes.Record(responded.Route, responded.Size)
			}
			if in.done(now, r) {
				p.eject(now, in)
			}
			return
		}
	}
}

// choose chooses among the eligible instances, of which the first localCount are in the local availability zone,
// and prefers those. It reports whether no other one was expected to cost less.
func (p *Picker) choose(now time.Time, request *Request, localCount int) (chosen *instance, cheapest bool) {
	if !p.prefersLocal(now, localCount) {
		return p.evenly(now, p.eligible)
	}
	local, remote := p.eligible[:localCount], p.eligible[localCount:]
	remotePick := remote[p.random.IntN(len(remote))]
	if p.random.IntN(explorationPeriod) == 0 || p.replacesLocal(now, request, local, remotePick) {
		return remotePick, true
	}
	return p.evenly(now, local)
}

// gainsEnough reports whether a call may leave its zone for an instance that is predicted to be faster. Any call with a
// short answer may.
func (p *Picker) gainsEnough(request *Request, home, remote time.Duration) bool {
	if !request.LongStay {
		return true
	}
	answer := cross.Answer{Size: p.sizes.Expected(request.Route), Left: request.Left, AtHome: home}
	return home-remote >= answer.ExtraGain(remoteGain)
}

// prefersLocal reports whether the instances of the local availability zone are preferred to those of others: there are
// both, and the local ones are not too loaded.
func (p *Picker) prefersLocal(now time.Time, localCount int) bool {
	if localCount == 0 || localCount == len(p.eligible) {
		return false
	}
	load := 0.0
	for _, in := range p.eligible[:localCount] {
		load += in.currentLoad(now)
	}
	return load/float64(localCount) < maxLocalLoad
}

// replacesLocal reports whether a call goes to an instance of another zone because all local ones are much slower.
func (p *Picker) replacesLocal(now time.Time, request *Request, local []*instance, remote *instance) bool {
	latency := p.defaultLatency()
	nearest := slices.MinFunc(local, func(a, b *instance) int { return cmp.Compare(a.cost(now, latency), b.cost(now, latency)) })
	return nearest.baseCost(now, latency) > maxLocalCostRatio*remote.baseCost(now, latency) &&
		remote.cost(now, latency) < nearest.cost(now, latency) &&
		p.gainsEnough(request, nearest.predicted(now, latency), remote.predicted(now, latency))
}

// evenly chooses among instances that are equally near. It reports whether no other one was expected to cost less.
func (p *Picker) evenly(now time.Time, instances []*instance) (chosen *instance, cheapest bool) {
	p.setCandidates(now, instances)
	choice, _ := spread.Choose(p.random, p.candidates)
	return instances[choice.Index], choice.Cheapest
}

// setCandidates sets the candidates for a choice among instances that are equally near. Instances do not report the calls
// of other daemons; they are estimated from the reported load.
func (p *Picker) setCandidates(now time.Time, instances []*instance) {
	latency := p.defaultLatency()
	p.candidates = p.candidates[:0]
	for _, in := range instances {
		cost := time.Duration(in.cost(now, latency))
		p.candidates = append(p.candidates, spread.Candidate{
			Near: true, Cost: cost, Base: cost, Slope: time.Duration(max(in.baseCost(now, latency), 1)), Others: in.othersExpected(now),
		})
	}
}

// defaultLatency is the latency assumed for an instance without any response: the mean of the others.
func (p *Picker) defaultLatency() float64 {
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

// eject ejects an instance unless more than half of the instances would be ejected then.
func (p *Picker) eject(now time.Time, in *instance) {
	ejected := 1
	for _, other := range p.instances {
		if other != in && now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	if 2*ejected <= len(p.instances) {
		in.eject(now)
	}
}
