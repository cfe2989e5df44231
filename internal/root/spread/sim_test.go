package spread

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The servers of the simulation have these speeds; the last one has a third of the slots.
const (
	simServers  = 12
	usualSlots  = 9
	usualRun    = 100 * time.Millisecond
	minSpeed    = 0.6
	maxSpeed    = 1.6
	maxBurst    = 4
	simWarmUp   = 3 * time.Second
	simDuration = 15 * time.Second

	// onResponse is the report age of a daemon that gets a report with each response only.
	onResponse = -1 * time.Millisecond

	// reportLifetime is the age at which the previous rule ignores a report, and previousWaitFactor its weight of a
	// wait.
	reportLifetime     = 700 * time.Millisecond
	previousWaitFactor = 5

	farCost = 40 * time.Millisecond
)

type (
	// rule is one of the compared ways to choose a server.
	rule interface{ rule() }

	// previous is the lowest predicted cost; reports older than reportLifetime count as no load.
	previous struct{}
	// perfect is the lowest cost by the present state of the servers.
	perfect struct{}
	// betterOf is the lowest cost of that many random servers.
	betterOf struct{ choices int }
	// byFreeSlots is a random choice weighted by free slots.
	byFreeSlots struct{}
	// damped is the lowest cost with the expected arrivals of others.
	damped struct{}
	// subset is the previous rule among a subset of the servers that differs by daemon.
	subset struct{ size int }
	// chosen is the rule of this package.
	chosen struct{}

	// condition is a load condition; requests go to other zones only at an additional cost of farCost.
	condition struct {
		daemons   int
		reportAge time.Duration
		load      float64 // of the capacity
		zones     int
		slots     int           // of each server but the last
		run       time.Duration // average at speed 1
	}

	simulation struct {
		rule rule
		condition
		random  *rand.Rand // of the choices
		demand  *rand.Rand // of arrivals and run times, the same under each rule
		now     time.Duration
		events  eventQueue
		servers []*simServer
		daemons []*simDaemon
		result  result
		waits   []float64 // run times
		levels  []float64 // queue length over slots
	}

	simServer struct {
		slots, running int
		speed          float64
		queue          []simRequest
		run            time.Duration // average
		arrivals       float64       // per second, as of arrivalsAt
		arrivalsAt     time.Duration
	}

	simDaemon struct {
		views []simView
		first int // of its subset
	}

	// simView is what a daemon knows about a server.
	simView struct {
		reported       bool
		at             time.Duration
		occupancy      int
		run            time.Duration
		arrivals       float64
		sent, inFlight int
	}

	simRequest struct {
		daemon  int
		sentAt  time.Duration
		work    time.Duration // run time at speed 1
		couldGo bool          // another server had a free slot
	}

	// simEvent is arrival, completion, refresh or sample.
	simEvent interface{ simEvent() }

	arrival    struct{}
	completion struct {
		server  int
		request simRequest
		run     time.Duration
	}
	refresh struct{ daemon int }
	sample  struct{}

	scheduled struct {
		at    time.Duration
		event simEvent
	}
	eventQueue []scheduled

	// result has queue lengths over slots, waits in milliseconds and the share of requests that waited while
	// another server had a free slot.
	result struct{ deviation, level99, meanWait, wait99, meanTime, avoidable, far float64 }
)

func (previous) rule()    {}
func (perfect) rule()     {}
func (betterOf) rule()    {}
func (byFreeSlots) rule() {}
func (damped) rule()      {}
func (subset) rule()      {}
func (chosen) rule()      {}

func (arrival) simEvent()    {}
func (completion) simEvent() {}
func (refresh) simEvent()    {}
func (sample) simEvent()     {}

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// simulate replays one load condition under a rule.
func simulate(r rule, c condition, seed uint64) result {
	s := &simulation{rule: r, condition: c, random: rand.New(rand.NewPCG(seed, 1)), demand: rand.New(rand.NewPCG(seed, 2))}
	for i := range simServers {
		speed := minSpeed + (maxSpeed-minSpeed)*float64(i*5%simServers)/(simServers-1)
		slots := c.slots
		if i == simServers-1 {
			slots = max(slots/3, 1)
		}
		s.servers = append(s.servers, &simServer{slots: slots, speed: speed, run: time.Duration(float64(c.run) / speed)})
	}
	for i := range c.daemons {
		s.daemons = append(s.daemons, &simDaemon{views: make([]simView, simServers), first: s.random.IntN(simServers)})
		if c.reportAge > 0 {
			s.schedule(time.Duration(s.random.Int64N(int64(c.reportAge))), refresh{daemon: i})
		}
	}
	s.schedule(0, arrival{})
	s.schedule(simWarmUp, sample{})
	for s.now < simWarmUp+simDuration {
		next := heap.Pop(&s.events).(scheduled)
		s.now = next.at
		s.handle(next.event)
	}
	return s.summarize()
}

func (s *simulation) schedule(after time.Duration, e simEvent) {
	heap.Push(&s.events, scheduled{at: s.now + after, event: e})
}

func (s *simulation) handle(e simEvent) {
	switch e := e.(type) {
	case arrival:
		s.arrive()
	case completion:
		s.complete(e)
	case refresh:
		for i := range s.servers {
			s.refresh(e.daemon, i)
		}
		s.schedule(s.reportAge, e)
	case sample:
		for _, server := range s.servers {
			s.levels = append(s.levels, float64(server.occupancy())/float64(server.slots))
		}
		s.schedule(10*time.Millisecond, e)
	}
}

// arrive sends one to maxBurst requests of one daemon at once and schedules the next arrival.
func (s *simulation) arrive() {
	daemon := s.demand.IntN(len(s.daemons))
	for range 1 + s.demand.IntN(maxBurst) {
		s.send(daemon)
	}
	capacity := 0.0
	for _, server := range s.servers {
		capacity += float64(server.slots) * server.speed / s.run.Seconds()
	}
	burstsPerSecond := s.load * capacity / ((1 + maxBurst) / 2.0)
	s.schedule(time.Duration(s.demand.ExpFloat64()/burstsPerSecond*float64(time.Second)), arrival{})
}

func (s *simulation) send(daemon int) {
	if s.reportAge == 0 {
		for i := range s.servers {
			s.refresh(daemon, i)
		}
	}
	at := s.choose(daemon)
	view, server := &s.daemons[daemon].views[at], s.servers[at]
	view.sent++
	view.inFlight++
	server.arrivals = server.rate(s.now) + 1
	server.arrivalsAt = s.now
	request := simRequest{daemon: daemon, sentAt: s.now, work: time.Duration((0.5 + 0.5*s.demand.ExpFloat64()) * float64(s.run))}
	if server.running < server.slots {
		s.start(at, request)
		return
	}
	request.couldGo = slices.ContainsFunc(s.servers, func(other *simServer) bool { return other.running < other.slots })
	server.queue = append(server.queue, request)
}

func (s *simulation) start(at int, request simRequest) {
	server := s.servers[at]
	server.running++
	run := time.Duration(float64(request.work) / server.speed)
	if s.now > simWarmUp {
		s.result.meanTime += (s.now - request.sentAt + run).Seconds() * 1000
		s.waits = append(s.waits, (s.now-request.sentAt).Seconds()*1000)
		if !s.near(request.daemon, at) {
			s.result.far++
		}
		if request.couldGo {
			s.result.avoidable++
		}
	}
	s.schedule(run, completion{server: at, request: request, run: run})
}

func (s *simulation) complete(e completion) {
	server := s.servers[e.server]
	server.running--
	server.run += time.Duration(0.08 * float64(e.run-server.run))
	s.daemons[e.request.daemon].views[e.server].inFlight--
	if len(server.queue) > 0 {
		next := server.queue[0]
		server.queue = server.queue[1:]
		s.start(e.server, next)
	}
	if s.reportAge < 0 {
		s.refresh(e.request.daemon, e.server)
	}
}

// refresh gives a daemon a report of the present load of a server.
func (s *simulation) refresh(daemon, at int) {
	view, server := &s.daemons[daemon].views[at], s.servers[at]
	view.reported, view.at, view.sent = true, s.now, 0
	view.occupancy, view.run, view.arrivals = server.occupancy(), server.run, server.rate(s.now)
}

func (s *simulation) choose(daemon int) int {
	views := s.daemons[daemon].views
	lowest := func(cost func(i int) float64, eligible func(i int) bool) int {
		best := -1
		for i := range s.servers {
			if eligible(i) && (best < 0 || cost(i) < cost(best)) {
				best = i
			}
		}
		return best
	}
	all := func(int) bool { return true }
	previousCost := func(i int) float64 { return s.cost(daemon, i, &views[i], s.previousOccupancy(&views[i])) }
	switch r := s.rule.(type) {
	case previous:
		return lowest(previousCost, all)
	case perfect:
		return lowest(func(i int) float64 {
			current := simView{reported: true, run: s.servers[i].run}
			return s.cost(daemon, i, &current, float64(s.servers[i].occupancy()))
		}, all)
	case betterOf:
		picked := s.random.Perm(simServers)[:r.choices]
		return lowest(func(i int) float64 {
			return s.cost(daemon, i, &views[i], s.previousOccupancy(&views[i])) + s.occupancyCost(i, &views[i], s.previousOccupancy(&views[i]))
		}, func(i int) bool { return slices.Contains(picked, i) })
	case byFreeSlots:
		return s.byFreeSlots(views)
	case damped:
		return lowest(func(i int) float64 {
			estimate := s.expect(&views[i], s.servers[i].slots)
			return s.cost(daemon, i, &views[i], estimate.Known+estimate.Others) + s.occupancyCost(i, &views[i], estimate.Known+estimate.Others)
		}, all)
	case subset:
		first := s.daemons[daemon].first
		return lowest(previousCost, func(i int) bool { return (i-first+simServers)%simServers < r.size })
	case chosen:
		var candidates []Candidate
		for i := range s.servers {
			candidates = append(candidates, s.candidate(daemon, i, &views[i]))
		}
		choice, _ := Choose(s.random, candidates)
		return choice.Index
	}
	panic("unknown rule")
}

func (s *simulation) byFreeSlots(views []simView) int {
	weights, total := make([]float64, simServers), 0.0
	for i := range views {
		weights[i] = max(float64(s.servers[i].slots)-s.previousOccupancy(&views[i]), 0.1)
		total += weights[i]
	}
	target := s.random.Float64() * total
	for i, weight := range weights {
		if target -= weight; target < 0 {
			return i
		}
	}
	return simServers - 1
}

func (s *simulation) candidate(daemon, i int, view *simView) Candidate {
	run, slots := s.viewRun(view), s.servers[i].slots
	estimate := s.expect(view, slots)
	perRequest := estimate.RequestCost(slots, run)
	c := Candidate{
		Near: s.near(daemon, i), Cost: time.Duration(s.cost(daemon, i, view, estimate.Known+estimate.Others)),
		Base:  time.Duration(s.cost(daemon, i, view, estimate.Known) + estimate.Known*float64(perRequest)),
		Slope: perRequest, Others: estimate.Others,
	}
	if estimate.Known >= float64(slots) {
		c.Slope += time.Duration(previousWaitFactor * float64(run) / float64(slots))
	}
	return c
}

// near reports whether a server is in the availability zone of a daemon.
func (s *simulation) near(daemon, server int) bool { return daemon%s.zones == server%s.zones }

func (s *simulation) expect(view *simView, slots int) Estimate {
	load := Load{
		Occupancy: float64(view.occupancy), Arrivals: view.arrivals, Stay: view.run,
		Age: s.now - view.at, Sent: view.sent, InFlight: view.inFlight,
	}
	if excess := view.occupancy - slots; excess > 0 {
		load.Stay += time.Duration(float64(excess) / float64(slots) * float64(view.run))
	}
	return load.Expect()
}

func (s *simulation) viewRun(view *simView) time.Duration {
	if view.reported {
		return view.run
	}
	return s.run
}

// previousOccupancy returns the requests that the previous rule expects at a server.
func (s *simulation) previousOccupancy(view *simView) float64 {
	if !view.reported || s.now-view.at >= reportLifetime {
		return float64(view.inFlight)
	}
	return float64(max(view.occupancy+view.sent, view.inFlight))
}

// cost is the predicted time to a response, in nanoseconds, with the weight of a wait.
func (s *simulation) cost(daemon, i int, view *simView, occupancy float64) float64 {
	run, slots := float64(s.viewRun(view)), float64(s.servers[i].slots)
	cost := run + previousWaitFactor*max(occupancy+1-slots, 0)/slots*run
	if !s.near(daemon, i) {
		cost += float64(farCost)
	}
	return cost
}

func (s *simulation) occupancyCost(i int, view *simView, occupancy float64) float64 {
	fresh := Estimate{}
	return occupancy * float64(fresh.RequestCost(s.servers[i].slots, s.viewRun(view)))
}

func (s *simulation) summarize() result {
	r := s.result
	r.avoidable /= float64(len(s.waits))
	r.meanTime /= float64(len(s.waits))
	r.far /= float64(len(s.waits))
	mean := 0.0
	for _, level := range s.levels {
		mean += level / float64(len(s.levels))
	}
	for _, level := range s.levels {
		r.deviation += (level - mean) * (level - mean) / float64(len(s.levels))
	}
	r.deviation = math.Sqrt(r.deviation)
	for _, wait := range s.waits {
		r.meanWait += wait / float64(len(s.waits))
	}
	slices.Sort(s.levels)
	slices.Sort(s.waits)
	r.level99, r.wait99 = s.levels[len(s.levels)*99/100], s.waits[len(s.waits)*99/100]
	return r
}

func (s *simServer) occupancy() int { return s.running + len(s.queue) }

// rate returns the average of arrivals per second, with a time constant of one second.
func (s *simServer) rate(now time.Duration) float64 {
	return s.arrivals * math.Exp(-(now - s.arrivalsAt).Seconds())
}
