package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

const (
	// awayShare is the part of its objective that a request has to gain by going to another availability
	// zone: bytes between them cost more than a wait that the caller does not feel. minAway holds for
	// requests without an objective.
	awayShare = 0.3
	minAway   = 40 * time.Millisecond

	// easyShare is the part of the time left up to which a predicted answer is soon enough; what lies beyond
	// it counts hastyFactor times, because runs differ and the deadline is final.
	easyShare   = 0.55
	hastyFactor = 4

	// waitFactor is what a wait for a slot counts more than the same time in a run. A wait of about one run time
	// makes those who call the service take fewer requests, so that room elsewhere has to be used before.
	waitFactor = 5

	// failCost is what a server that failed all recent requests has to be faster by, if the request has that
	// much time left: more than its time a failure cannot cost.
	failCost = 2 * time.Second

	// failHalf is the time in which the results of a server lose half of their weight in its share of failures.
	// failPrior is the number of answers that every server counts as having given beside them, so that one lost
	// answer does not turn all requests away from a server. No more than maxResults of them count, so that a
	// server which has failed for a while is used again a few seconds later.
	failHalf   = time.Second
	failPrior  = 12
	maxResults = 40

	// maxExplored is the share of failures up to which a server is explored.
	maxExplored = 0.7

	// reportAge is the time after which a report of a server's load says nothing any more.
	reportAge = 700 * time.Millisecond

	// downFor is how long a server is left alone after it could not be reached; it doubles with each time in a
	// row, up to downMost.
	downFor  = 400 * time.Millisecond
	downMost = 3200 * time.Millisecond

	// exploreAfter is the time without any request from here after which a server of the own availability
	// zone gets one, so that a recovered server is noticed. It is exploreNew for any server that has been
	// known for less than newFor; others in other zones are explored by the daemons there.
	exploreAfter = 5 * time.Second
	exploreNew   = 1200 * time.Millisecond
	newFor       = 8 * time.Second

	// runWeight is the weight of one report of a run time.
	runWeight = 0.3

	// runHalf is the time without a report in which half of what a server's run time exceeds the shortest by is
	// forgotten, so that a server that was slow for a while is used again.
	runHalf = 1500 * time.Millisecond

	// silentRuns is the number of its longest average run times, minSilence at least, for which a server may
	// answer none of its requests before it counts as slow.
	silentRuns = 3
	minSilence = 300 * time.Millisecond
)

type (
	// Ask describes the request to place.
	Request struct {
		Route     string
		Objective time.Duration // zero for none
		Remaining time.Duration // until the deadline, zero for none
		Zone      string        // of the daemon that asks
		Tried     []string      // endpoint ids not to choose
		// Urgent requests are not used to explore servers.
		Urgent bool
	}

	// Report is what the daemon beside a server says with each answer.
	Report struct {
		Wait    time.Duration // until a new request would start
		Running int
		Slots   int
		Run     time.Duration // average run time of the request's route, zero if unknown
	}

	// Result is Served, Turned, Missed or Unreached.
	Result interface{ result() }

	// Served is a whole answer.
	Served struct{}

	// Turned is a request that the daemon beside the server turned away.
	Refused struct{ Leaving bool }

	// Missed is a request whose answer was lost, spoilt or a failure of the server.
	Failed struct{}

	// Unreached is a request that could not be brought to the daemon beside the server, or from there to it.
	Unreached struct{}

	// Board holds what one daemon knows of the servers of one service; its user serializes the calls.
	Balancer struct {
		random  *rand.Rand
		version uint64
		servers []*server
	}

	server struct {
		endpoint snap.Endpoint
		report   Report
		at       time.Time // of the report
		sent     int       // requests sent since the report
		open     int       // requests in progress
		progress time.Time // since when none of them has ended
		runs     map[string]runTime
		ended    float64 // recent results, and the failures among them, as of endedAt
		failed   float64
		endedAt  time.Time
		downTill time.Time
		downs    int // times in a row that the server could not be reached
		leaving  bool
		used     time.Time
		known    time.Time // since when the server is on the board
	}

	// runTime is the average run time of one route at one server.
	runTime struct {
		mean time.Duration
		at   time.Time // of the latest report
	}

	// usual is what the servers of a board need for a route, zero when nothing is known.
	usual struct{ least, middle time.Duration }
)

func (Served) result()    {}
func (Refused) result()   {}
func (Failed) result()    {}
func (Unreached) result() {}

// New returns an empty board.
func New(seed uint64) *Balancer {
	return &Balancer{random: rand.New(rand.NewPCG(seed, seed))}
}

// Update brings the board to a list of servers; what is known of an incarnation stays.
func (b *Balancer) Update(now time.Time, list *snap.Endpoints) {
	if b.version == list.Version && b.servers != nil {
		return
	}
	b.version = list.Version
	next := make([]*server, 0, len(list.Instances))
	for i := range list.Instances {
		endpoint := list.Instances[i]
		at := slices.IndexFunc(b.servers, func(s *server) bool {
			return s.endpoint.ID == endpoint.ID && s.endpoint.Incarnation == endpoint.Incarnation
		})
		known := &server{runs: map[string]runTime{}, known: now}
		if at >= 0 {
			known = b.servers[at]
		}
		known.endpoint = endpoint
		known.leaving = endpoint.Leaving
		next = append(next, known)
	}
	b.servers = next
}

// Choose returns the server with the shortest predicted time to an answer, the own availability zone
// preferred.
func (b *Balancer) Choose(now time.Time, ask Request) (snap.Endpoint, bool) {
	typical := b.usual(ask.Route)
	var best *server
	var least time.Duration
	for _, s := range b.servers {
		if slices.Contains(ask.Tried, s.endpoint.ID) {
			continue
		}
		cost := s.cost(now, ask, typical)
		if best == nil || cost < least {
			best, least = s, cost
		}
	}
	if best == nil {
		return snap.Endpoint{}, false
	}
	if other := b.explore(now, ask, best); other != nil {
		best = other
	}
	if best.open == 0 {
		best.progress = now
	}
	best.sent++
	best.open++
	best.used = now
	return best.endpoint, true
}

// explore returns a server that has had no request from here for a while, now and then.
func (b *Balancer) explore(now time.Time, ask Request, best *server) *server {
	if ask.Urgent || len(ask.Tried) > 0 {
		return nil
	}
	for _, s := range b.servers {
		known, after := now.Sub(s.known), exploreAfter
		if known < newFor {
			after = exploreNew
		}
		quiet := now.Sub(s.used) >= after && known >= exploreNew/3
		if known >= newFor && s.endpoint.Zone != ask.Zone {
			continue
		}
		if s != best && quiet && !s.leaving && now.After(s.downTill) && s.share(now) < maxExplored && b.random.IntN(4) == 0 {
			return s
		}
	}
	return nil
}

// Done reports how a request to the server ended.
func (b *Balancer) Done(now time.Time, id, route string, report *Report, result Result) {
	at := slices.IndexFunc(b.servers, func(s *server) bool { return s.endpoint.ID == id })
	if at < 0 {
		return
	}
	s := b.servers[at]
	s.open, s.progress = max(s.open-1, 0), now
	if report != nil {
		s.report, s.at, s.sent = *report, now, 0
		if report.Run > 0 {
			s.learn(now, route, report.Run)
		}
	}
	switch result := result.(type) {
	case Served:
		s.downs = 0
		s.note(now, 0)
	case Refused:
		s.leaving = s.leaving || result.Leaving
	case Failed:
		s.note(now, 1)
	case Unreached:
		s.note(now, 1)
		if now.After(s.downTill) { // requests that were on their way together count once
			s.downTill = now.Add(min(downFor<<min(s.downs, 8), downMost))
			s.downs++
		}
	}
}

// Servers returns the number of servers on the board.
func (b *Balancer) Servers() int { return len(b.servers) }

// usual returns the shortest and the middle run time of a route over the servers.
func (b *Balancer) usual(route string) usual {
	var runs []time.Duration
	for _, s := range b.servers {
		if run := s.runs[route].mean; run > 0 {
			runs = append(runs, run)
		}
	}
	if len(runs) == 0 {
		return usual{}
	}
	slices.Sort(runs)
	return usual{least: runs[0], middle: runs[len(runs)/2]}
}

// learn takes a reported run time into the average.
func (s *server) learn(now time.Time, route string, run time.Duration) {
	mean := run
	if known := s.runs[route]; known.mean > 0 {
		mean = known.mean + time.Duration(runWeight*float64(run-known.mean))
	}
	s.runs[route] = runTime{mean: mean, at: now}
}

// run returns the run time to reckon with. A server that has answered none of its requests for long is
// reckoned with that time, whatever it needed before.
func (s *server) run(now time.Time, route string, typical usual) time.Duration {
	run := typical.middle
	if known := s.runs[route]; known.mean > 0 {
		halves := float64(now.Sub(known.at)) / float64(runHalf)
		run = typical.least + time.Duration(float64(known.mean-typical.least)*math.Exp2(-halves))
	}
	if silent := now.Sub(s.progress); s.open > 0 && silent > minSilence && silent > silentRuns*s.longest() {
		run = max(run, silent)
	}
	return run
}

// longest returns the longest average run time of the server's routes.
func (s *server) longest() time.Duration {
	longest := time.Duration(0)
	for _, each := range s.runs {
		longest = max(longest, each.mean)
	}
	return longest
}

func (s *server) cost(now time.Time, ask Request, typical usual) time.Duration {
	run := s.run(now, ask.Route, typical)
	wait := s.wait(now, run)
	cost := run + wait
	if easy := time.Duration(easyShare * float64(ask.Remaining)); ask.Remaining > 0 && cost > easy {
		cost += hastyFactor * (cost - easy)
	}
	cost += (waitFactor - 1) * wait
	if s.endpoint.Zone != ask.Zone {
		cost += max(time.Duration(awayShare*float64(ask.Objective)), minAway)
	}
	failure := failCost
	if ask.Remaining > 0 {
		failure = min(failure, ask.Remaining)
	}
	cost += time.Duration(s.share(now) * float64(failure))
	if s.leaving {
		cost += time.Minute
	}
	if now.Before(s.downTill) {
		cost += 30 * time.Second
	}
	return cost
}

// wait returns the reported wait while the report is young, and what the requests sent since add to it.
func (s *server) wait(now time.Time, run time.Duration) time.Duration {
	age := now.Sub(s.at)
	slots := s.report.Slots
	if slots == 0 {
		slots = int(max(s.endpoint.Slots, 1))
	}
	wait, running := time.Duration(0), s.open
	if !s.at.IsZero() && age < reportAge {
		wait = s.report.Wait
		running = max(s.report.Running+s.sent, s.open)
	}
	if over := running - slots; over > 0 && wait == 0 {
		wait = time.Duration(float64(over) / float64(slots) * float64(run))
	}
	if wait > 0 {
		wait += time.Duration(float64(s.sent) / float64(slots) * float64(run))
	}
	return wait
}

// note counts one result.
func (s *server) note(now time.Time, failed float64) {
	weight := s.weight(now)
	if over := s.ended*weight + 1 - maxResults; over > 0 {
		weight *= 1 - over/(s.ended*weight)
	}
	s.ended, s.failed, s.endedAt = s.ended*weight+1, s.failed*weight+failed, now
}

// share returns the share of recent failures, which fades while nothing is reported.
func (s *server) share(now time.Time) float64 {
	weight := s.weight(now)
	return s.failed * weight / (s.ended*weight + failPrior)
}

// weight returns what the results counted so far weigh now.
func (s *server) weight(now time.Time) float64 {
	return math.Exp2(-float64(max(now.Sub(s.endedAt), 0)) / float64(failHalf))
}
