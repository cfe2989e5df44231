package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

const (
	// remoteZoneShare is the share of its objective that a request must gain by going to another availability
	// zone: traffic between zones costs more than a wait that the caller does not notice. minRemoteZoneCost is
	// the least gain, also for requests without an objective.
	remoteZoneShare   = 0.3
	minRemoteZoneCost = 40 * time.Millisecond

	// safeTimeShare is the share of the remaining time within which a predicted response is soon enough; time
	// beyond it counts lateFactor times more, because run times vary and the deadline is final.
	safeTimeShare = 0.55
	lateFactor    = 4

	// waitFactor is the weight of a wait for a slot relative to the same time in a run. A wait of about one run
	// time makes the callers of the service admit fewer requests, so free slots of other servers have to be used
	// before.
	waitFactor = 5

	// failureCost is the cost of a server that failed all recent requests. It is bounded by the remaining time
	// of the request, because a failure cannot cost more than that.
	failureCost = 2 * time.Second

	// failureHalfLife is the time in which the results of a server lose half of their weight in its failure rate.
	// successPrior is the number of successes that each server is credited with in addition, so that one lost
	// response does not divert all requests from a server. At most maxResults results count, so that a server
	// that has failed for a while is used again a few seconds later.
	failureHalfLife = time.Second
	successPrior    = 12
	maxResults      = 40

	// maxExploredFailureRate is the failure rate up to which a server is explored.
	maxExploredFailureRate = 0.7

	// maxReportAge is the age at which a report of a server's load is ignored.
	maxReportAge = 700 * time.Millisecond

	// minBackoff is how long a server is avoided after it could not be reached; it doubles with each consecutive
	// failure to reach it, up to maxBackoff.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3200 * time.Millisecond

	// exploreInterval is the time without a request from this daemon after which a server of the local
	// availability zone gets one, so that its recovery is detected. It is exploreNewInterval for any server that
	// was added less than newServerAge ago; older servers in other zones are explored by the daemons there.
	exploreInterval    = 5 * time.Second
	exploreNewInterval = 1200 * time.Millisecond
	newServerAge       = 8 * time.Second

	// runTimeWeight is the weight of one report in the average run time.
	runTimeWeight = 0.3

	// runTimeHalfLife is the time without a report in which the excess of a server's run time over the shortest
	// one is halved, so that a server that was slow for a while is used again.
	runTimeHalfLife = 1500 * time.Millisecond

	// A server counts as stalled when none of its requests has ended for longer than maxStalledRuns of its longest
	// average run time and longer than minStall.
	maxStalledRuns = 3
	minStall       = 300 * time.Millisecond
)

type (
	// Request describes the request to send to one of the servers.
	Request struct {
		Route     string
		Objective time.Duration // zero for none
		Remaining time.Duration // until the deadline, zero for none
		Zone      string        // availability zone of this daemon
		Tried     []string      // ids of endpoints that must not be chosen
		Reach     reach.Policy
		// Urgent requests are not used to explore servers.
		Urgent bool
	}

	// Report is the load of a server, which the daemon in front of it sends with each response.
	Report struct {
		Wait    time.Duration // until a new request would start
		Running int
		Slots   int
		Run     time.Duration // average run time of the request's route, zero if unknown
	}

	// Result is Served, Refused, Failed or Unreached.
	Result interface{ result() }

	// Served is a request with a complete response.
	Served struct{}

	// Refused is a request that the daemon in front of the server refused.
	Refused struct{ Leaving bool }

	// Failed is a request whose response was lost, corrupt or a failure of the server.
	Failed struct{}

	// Unreached is a request that could not be delivered to the daemon in front of the server, or from there to
	// the server.
	Unreached struct{}

	// Balancer balances the requests of one daemon among the servers of one service. It is not safe for
	// concurrent use.
	Balancer struct {
		random  *rand.Rand
		version uint64
		servers []*server
	}

	server struct {
		endpoint        snap.Endpoint
		report          Report
		reportedAt      time.Time
		sentSinceReport int
		inFlight        int
		lastProgress    time.Time // when the last request ended, or the first of those in flight was sent
		runTimes        map[string]runTime
		results         float64 // decayed number of results, and of failures among them, as of resultsAt
		failures        float64
		resultsAt       time.Time
		backoffUntil    time.Time
		backoffs        int // consecutive
		leaving         bool
		lastUsed        time.Time
		added           time.Time
	}

	// runTime is the average run time of one route at one server.
	runTime struct {
		mean      time.Duration
		updatedAt time.Time
	}

	// runTimeSummary is the shortest and the median run time of a route over the servers, zero when none is known.
	runTimeSummary struct{ shortest, median time.Duration }
)

func (Served) result()    {}
func (Refused) result()   {}
func (Failed) result()    {}
func (Unreached) result() {}

// New returns a balancer without servers; seed makes its choices repeatable.
func New(seed uint64) *Balancer {
	return &Balancer{random: rand.New(rand.NewPCG(seed, seed))}
}

// Update replaces the list of servers; the statistics of the incarnations that remain are kept.
func (b *Balancer) Update(now time.Time, list *snap.Endpoints) {
	if b.version == list.Version && b.servers != nil {
		return
	}
	b.version = list.Version
	updated := make([]*server, 0, len(list.Instances))
	for i := range list.Instances {
		endpoint := list.Instances[i]
		at := slices.IndexFunc(b.servers, func(s *server) bool {
			return s.endpoint.ID == endpoint.ID && s.endpoint.Incarnation == endpoint.Incarnation
		})
		s := &server{runTimes: map[string]runTime{}, added: now}
		if at >= 0 {
			s = b.servers[at]
		}
		s.endpoint = endpoint
		s.leaving = endpoint.Leaving
		updated = append(updated, s)
	}
	b.servers = updated
}

// Choose returns the server with the lowest cost, which is the predicted time to a response plus penalties for
// other availability zones and for recent failures. It counts the request as in flight until Done.
func (b *Balancer) Choose(now time.Time, request Request) (snap.Endpoint, bool) {
	summary := b.summarizeRunTimes(request.Route)
	var best *server
	var lowest time.Duration
	for _, s := range b.servers {
		if !request.allows(s) {
			continue
		}
		cost := s.cost(now, request, summary)
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	if best == nil {
		return snap.Endpoint{}, false
	}
	if other := b.explore(now, request, best); other != nil {
		best = other
	}
	if best.inFlight == 0 {
		best.lastProgress = now
	}
	best.sentSinceReport++
	best.inFlight++
	best.lastUsed = now
	return best.endpoint, true
}

// allows reports whether the request may be sent to the server.
func (r *Request) allows(s *server) bool {
	return !slices.Contains(r.Tried, s.endpoint.ID) && r.Reach.Exclude(&s.endpoint) == nil
}

// explore returns, for some of the requests, a server that this daemon has not used for a while, and otherwise
// nil.
func (b *Balancer) explore(now time.Time, request Request, best *server) *server {
	if request.Urgent || len(request.Tried) > 0 {
		return nil
	}
	for _, s := range b.servers {
		age, interval := now.Sub(s.added), exploreInterval
		if age < newServerAge {
			interval = exploreNewInterval
		}
		unused := now.Sub(s.lastUsed) >= interval && age >= exploreNewInterval/3
		if age >= newServerAge && s.endpoint.Zone != request.Zone {
			continue
		}
		if s != best && unused && request.allows(s) && !s.leaving && now.After(s.backoffUntil) && s.failureRate(now) < maxExploredFailureRate && b.random.IntN(4) == 0 {
			return s
		}
	}
	return nil
}

// Done records the result of a request to the server with that endpoint id; report is nil without a response.
func (b *Balancer) Done(now time.Time, id, route string, report *Report, result Result) {
	at := slices.IndexFunc(b.servers, func(s *server) bool { return s.endpoint.ID == id })
	if at < 0 {
		return
	}
	s := b.servers[at]
	s.inFlight, s.lastProgress = max(s.inFlight-1, 0), now
	if report != nil {
		s.report, s.reportedAt, s.sentSinceReport = *report, now, 0
		if report.Run > 0 {
			s.recordRunTime(now, route, report.Run)
		}
	}
	switch result := result.(type) {
	case Served:
		s.backoffs = 0
		s.recordResult(now, 0)
	case Refused:
		s.leaving = s.leaving || result.Leaving
	case Failed:
		s.recordResult(now, 1)
	case Unreached:
		s.recordResult(now, 1)
		s.backOff(now)
	}
}

// MarkUnreached avoids the server with that endpoint id for a while, because its daemon has fallen silent or refuses
// requests for it. The requests in flight there are not done.
func (b *Balancer) MarkUnreached(now time.Time, id string) {
	at := slices.IndexFunc(b.servers, func(s *server) bool { return s.endpoint.ID == id })
	if at >= 0 {
		b.servers[at].backOff(now)
	}
}

// backOff avoids the server for a time that doubles with each consecutive call. Requests that were in flight
// together count once.
func (s *server) backOff(now time.Time) {
	if now.After(s.backoffUntil) {
		s.backoffUntil = now.Add(min(minBackoff<<min(s.backoffs, 8), maxBackoff))
		s.backoffs++
	}
}

// Servers returns the number of servers.
func (b *Balancer) Servers() int { return len(b.servers) }

// summarizeRunTimes returns the shortest and the median of the servers' average run times of a route.
func (b *Balancer) summarizeRunTimes(route string) runTimeSummary {
	var means []time.Duration
	for _, s := range b.servers {
		if mean := s.runTimes[route].mean; mean > 0 {
			means = append(means, mean)
		}
	}
	if len(means) == 0 {
		return runTimeSummary{}
	}
	slices.Sort(means)
	return runTimeSummary{shortest: means[0], median: means[len(means)/2]}
}

// recordRunTime adds a reported run time to the average.
func (s *server) recordRunTime(now time.Time, route string, run time.Duration) {
	mean := run
	if previous := s.runTimes[route]; previous.mean > 0 {
		mean = previous.mean + time.Duration(runTimeWeight*float64(run-previous.mean))
	}
	s.runTimes[route] = runTime{mean: mean, updatedAt: now}
}

// expectedRunTime returns the predicted run time of a request. For a server that has stopped responding, it is at
// least the time since a request there last ended.
func (s *server) expectedRunTime(now time.Time, route string, summary runTimeSummary) time.Duration {
	expected := summary.median
	if reported := s.runTimes[route]; reported.mean > 0 {
		halvings := float64(now.Sub(reported.updatedAt)) / float64(runTimeHalfLife)
		expected = summary.shortest + time.Duration(float64(reported.mean-summary.shortest)*math.Exp2(-halvings))
	}
	if stalled := now.Sub(s.lastProgress); s.inFlight > 0 && stalled > minStall && stalled > maxStalledRuns*s.longestRunTime() {
		expected = max(expected, stalled)
	}
	return expected
}

// longestRunTime returns the longest average run time of the server's routes.
func (s *server) longestRunTime() time.Duration {
	longest := time.Duration(0)
	for _, r := range s.runTimes {
		longest = max(longest, r.mean)
	}
	return longest
}

func (s *server) cost(now time.Time, request Request, summary runTimeSummary) time.Duration {
	run := s.expectedRunTime(now, request.Route, summary)
	wait := s.expectedWait(now, run)
	cost := run + wait
	if safe := time.Duration(safeTimeShare * float64(request.Remaining)); request.Remaining > 0 && cost > safe {
		cost += lateFactor * (cost - safe)
	}
	cost += (waitFactor - 1) * wait
	if s.endpoint.Zone != request.Zone {
		cost += max(time.Duration(remoteZoneShare*float64(request.Objective)), minRemoteZoneCost)
	}
	failure := failureCost
	if request.Remaining > 0 {
		failure = min(failure, request.Remaining)
	}
	cost += time.Duration(s.failureRate(now) * float64(failure))
	if s.leaving {
		cost += time.Minute
	}
	if now.Before(s.backoffUntil) {
		cost += 30 * time.Second
	}
	return cost
}

// expectedWait returns the reported wait while the report is recent, plus the wait that requests sent since then
// add.
func (s *server) expectedWait(now time.Time, run time.Duration) time.Duration {
	age := now.Sub(s.reportedAt)
	slots := s.report.Slots
	if slots == 0 {
		slots = int(max(s.endpoint.Slots, 1))
	}
	wait, running := time.Duration(0), s.inFlight
	if !s.reportedAt.IsZero() && age < maxReportAge {
		wait = s.report.Wait
		running = max(s.report.Running+s.sentSinceReport, s.inFlight)
	}
	if excess := running - slots; excess > 0 && wait == 0 {
		wait = time.Duration(float64(excess) / float64(slots) * float64(run))
	}
	if wait > 0 {
		wait += time.Duration(float64(s.sentSinceReport) / float64(slots) * float64(run))
	}
	return wait
}

// recordResult counts one result; failure is 1 for a failure and 0 for a success.
func (s *server) recordResult(now time.Time, failure float64) {
	decay := s.decay(now)
	if excess := s.results*decay + 1 - maxResults; excess > 0 {
		decay *= 1 - excess/(s.results*decay)
	}
	s.results, s.failures, s.resultsAt = s.results*decay+1, s.failures*decay+failure, now
}

// failureRate returns the rate of recent failures, which decays while no result is recorded.
func (s *server) failureRate(now time.Time) float64 {
	decay := s.decay(now)
	return s.failures * decay / (s.results*decay + successPrior)
}

// decay returns the factor on the counted results for the time since the last one.
func (s *server) decay(now time.Time) float64 {
	return math.Exp2(-float64(max(now.Sub(s.resultsAt), 0)) / float64(failureHalfLife))
}
