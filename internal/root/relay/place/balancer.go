package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
	"github.com/buckthornpitch/buckthornpitch/internal/root/spread"
	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
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

	// leavingCost and backoffCost are the costs of a server that is leaving and of one that could not be reached. Such
	// servers are chosen only if there is no other.
	leavingCost = time.Minute
	backoffCost = 30 * time.Second

	// failureHalfLife is the time in which the results of a server lose half of their weight in its failure rate.
	// successPrior is the number of successes that each server is credited with in addition, so that one lost
	// response does not divert all requests from a server. At most maxResults results count, so that a server
	// that has failed for a while is used again a few seconds later.
	failureHalfLife = time.Second
	successPrior    = 12
	maxResults      = 40

	// maxExploredFailureRate is the failure rate up to which a server is explored.
	maxExploredFailureRate = 0.7

	// exploreOneIn is the number of requests of which one explores a server that is due.
	exploreOneIn = 4

	// minRunTime is assumed for a server whose run time is not known.
	minRunTime = time.Millisecond

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
		Elapsed   time.Duration // since the arrival of the request
		Zone      string        // availability zone of this daemon
		Tried     []string      // ids of endpoints that must not be chosen
		Reach     reach.Policy
		// Urgent requests are not used to explore servers.
		Urgent bool
		Again  bool // not the first attempt
		Nested bool // the call arrived from a backend server
		// LongStay lets a request with a long answer leave its zone less easily.
		LongStay bool
	}

	// Choice is the server that a request is sent to.
	Choice struct {
		snap.Endpoint
		Cause cross.Cause // of the bytes, if the server is in another availability zone
		// Random is set if another server had a lower predicted cost: the choice evens out the load.
		Random bool
	}

	// Report is the load of a server, which the daemon in front of it sends with each response.
	Report struct {
		Wait    time.Duration // until a new request would start
		Running int
		Slots   int
		Run     time.Duration // average run time of the request's route, zero if unknown
		MeanRun time.Duration // average run time of all routes, zero if unknown
		// Arrivals is the rate per second of requests that the server accepts from all daemons, zero if unknown.
		Arrivals float64
		// ColdRate is the number of requests per second that the server gets while it is cold, zero for no limit.
		ColdRate float64
		ColdFor  time.Duration // how long the server is still cold
	}

	// Result is Served, Refused, Failed or Unreached.
	Result interface{ result() }

	// Served is a request with a complete response, whose body has Size bytes.
	Served struct{ Size int }

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
		random     *rand.Rand
		version    uint64
		servers    []*server
		eligible   []*server          // scratch space of Choose
		candidates []spread.Candidate // of the eligible servers
		means      []time.Duration    // scratch space of summarizeRunTimes
		sizes      cross.Sizes
	}

	// Cost is the predicted cost of a server in its parts.
	Cost struct {
		Run         time.Duration // predicted run time
		Wait        time.Duration // predicted wait for a slot
		ColdWait    time.Duration // further wait for a start at a cold server
		WaitPenalty time.Duration // weight of the waits beyond their time
		Late        time.Duration // penalty of a response too close to the deadline
		Zone        time.Duration // penalty of another availability zone
		LongAnswer  time.Duration // further penalty of another availability zone for a long answer
		Failures    time.Duration
		Leaving     time.Duration
		Backoff     time.Duration
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

// Choose returns a server of those with the lowest costs, as spread.Choose decides. The cost is the predicted time to
// a response plus penalties for other availability zones and for recent failures. It counts the request as in flight
// until Done.
func (b *Balancer) Choose(now time.Time, request Request) (Choice, bool) {
	b.collect(now, &request)
	choice, ok := spread.Choose(b.random, b.candidates)
	if !ok {
		return Choice{}, false
	}
	best := b.eligible[choice.Index]
	if other := b.explore(now, &request, best); other != nil {
		best = other
	}
	if best.inFlight == 0 {
		best.lastProgress = now
	}
	placement := cross.Placement{
		Home: best.endpoint.Zone == request.Zone, Again: request.Again, Nested: request.Nested,
	}
	if !placement.Home {
		placement.RoomAtHome = b.roomAtHome(now, &request)
	}
	best.sentSinceReport++
	best.inFlight++
	best.lastUsed = now
	return Choice{Endpoint: best.endpoint, Cause: placement.Cause(), Random: !choice.Cheapest}, true
}

// roomAtHome reports whether an eligible server of the request's availability zone has a free slot.
func (b *Balancer) roomAtHome(now time.Time, request *Request) bool {
	summary := b.summarizeRunTimes(request.Route)
	return slices.ContainsFunc(b.eligible, func(s *server) bool {
		return s.endpoint.Zone == request.Zone && !s.leaving && !now.Before(s.backoffUntil) && s.hasRoom(now, request.Route, summary)
	})
}

// hasRoom reports whether a further request is expected to start without a wait.
func (s *server) hasRoom(now time.Time, route string, summary runTimeSummary) bool {
	run := max(s.expectedRunTime(now, route, summary), minRunTime)
	estimate := s.estimate(now, s.meanRun(run))
	return estimate.Known+estimate.Others < float64(s.slots()) && s.coldWait(now) == 0
}

// collect sets the eligible servers and their costs. It returns what is added for a long answer to the costs of servers in
// other availability zones.
func (b *Balancer) collect(now time.Time, request *Request) (extraGain time.Duration) {
	summary := b.summarizeRunTimes(request.Route)
	b.eligible, b.candidates = b.eligible[:0], b.candidates[:0]
	for _, s := range b.servers {
		if request.allows(s) {
			b.eligible = append(b.eligible, s)
			b.candidates = append(b.candidates, s.assess(now, request, summary, nil))
		}
	}
	if !request.LongStay {
		return 0
	}
	return b.addExtraGain(now, request)
}

// allows reports whether the request may be sent to the server.
func (r *Request) allows(s *server) bool {
	return !r.tried(s) && r.Reach.Exclude(&s.endpoint) == nil
}

// tried reports whether the request was sent to the server before.
func (r *Request) tried(s *server) bool { return slices.Contains(r.Tried, s.endpoint.ID) }

// explore returns, for some of the requests, a server that this daemon has not used for a while, and otherwise
// nil.
func (b *Balancer) explore(now time.Time, request *Request, best *server) *server {
	if !request.mayExplore() {
		return nil
	}
	for _, s := range b.servers {
		if s != best && s.explorable(now, request) && b.random.IntN(exploreOneIn) == 0 {
			return s
		}
	}
	return nil
}

// mayExplore reports whether the request may be used to explore a server.
func (r *Request) mayExplore() bool { return !r.Urgent && len(r.Tried) == 0 }

// explorable reports whether the server is due for a request that explores it.
func (s *server) explorable(now time.Time, request *Request) bool {
	age, interval := now.Sub(s.added), exploreInterval
	if age < newServerAge {
		interval = exploreNewInterval
	}
	unused := now.Sub(s.lastUsed) >= interval && age >= exploreNewInterval/3
	if age >= newServerAge && s.endpoint.Zone != request.Zone {
		return false
	}
	return unused && request.allows(s) && !s.leaving && now.After(s.backoffUntil) && s.failureRate(now) < maxExploredFailureRate
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
		b.sizes.Record(route, result.Size)
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

// Untried returns the number of servers that a request may be sent to, other than those with the given endpoint ids.
func (b *Balancer) Untried(tried []string, policy reach.Policy) int {
	request, count := Request{Tried: tried, Reach: policy}, 0
	for _, s := range b.servers {
		if request.allows(s) {
			count++
		}
	}
	return count
}

// summarizeRunTimes returns the shortest and the median of the servers' average run times of a route.
func (b *Balancer) summarizeRunTimes(route string) runTimeSummary {
	means := b.means[:0]
	for _, s := range b.servers {
		if mean := s.runTimes[route].mean; mean > 0 {
			means = append(means, mean)
		}
	}
	b.means = means
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

// assess returns the server as a candidate for spread.Choose. Cost includes the requests
// that others are expected to have sent since the report; Base leaves them out and adds the cost of the known requests, so
// that a server with free slots is preferred before any request has to wait. The parts go to detail unless it is nil.
func (s *server) assess(now time.Time, request *Request, summary runTimeSummary, detail *Assessment) spread.Candidate {
	run := max(s.expectedRunTime(now, request.Route, summary), minRunTime)
	slots, meanRun := s.slots(), s.meanRun(run)
	estimate := s.estimate(now, meanRun)
	perRequest := estimate.RequestCost(slots, run)
	coldWait := s.coldWait(now)
	cost := s.cost(now, request, run, waitFor(estimate.Known+estimate.Others, slots, meanRun), coldWait)
	c := spread.Candidate{Near: s.endpoint.Zone == request.Zone, Others: estimate.Others, Slope: perRequest, Cost: cost.Total()}
	c.Base = c.Cost
	if estimate.Known+estimate.Others > float64(slots) && estimate.Others > 0 {
		c.Base = s.cost(now, request, run, waitFor(estimate.Known, slots, meanRun), coldWait).Total()
	}
	c.Base += time.Duration(estimate.Known * float64(perRequest))
	if estimate.Known >= float64(slots) {
		c.Slope += waitFactor * meanRun / time.Duration(slots)
	}
	if detail != nil {
		detail.Cost, detail.Estimate = cost, estimate
	}
	return c
}

// slots returns the usable slots as reported, or those of the registration before the first report.
func (s *server) slots() int {
	if s.report.Slots > 0 {
		return s.report.Slots
	}
	return int(max(s.endpoint.Slots, 1))
}

// meanRun returns the average run time of the requests of all routes at the server. The requests there are of all routes,
// so that the run time of one of them says neither how long they stay nor how soon a slot becomes free. A daemon of an
// earlier version does not report it; the given run time stands for it then.
func (s *server) meanRun(run time.Duration) time.Duration {
	if s.report.MeanRun > 0 {
		return s.report.MeanRun
	}
	return run
}

// estimate extrapolates the last report to the present. A reported wait counts as that many requests ahead, except at a
// server that was cold: coldWait predicts its wait.
func (s *server) estimate(now time.Time, meanRun time.Duration) spread.Estimate {
	wait := s.report.Wait
	if s.report.ColdFor > 0 {
		wait = 0
	}
	load := spread.Load{
		Occupancy: float64(s.report.Running), Arrivals: s.report.Arrivals, Stay: meanRun + wait,
		Age: max(now.Sub(s.reportedAt), 0), Sent: s.sentSinceReport, InFlight: s.inFlight,
	}
	if slots := float64(s.slots()); wait > 0 {
		load.Occupancy = max(load.Occupancy, slots) + float64(wait)/float64(meanRun)*slots
	}
	if s.reportedAt.IsZero() {
		load.Age = 0 // nothing to extrapolate
	}
	return load.Expect()
}

// waitFor returns the predicted wait for one of the slots that the given number of requests use or wait for.
func waitFor(requests float64, slots int, meanRun time.Duration) time.Duration {
	return time.Duration(max(requests-float64(slots), 0) / float64(slots) * float64(meanRun))
}

// cost returns the cost of a server at which a request runs for the given time and waits for a slot and for a start at a
// cold server, whichever takes longer.
func (s *server) cost(now time.Time, request *Request, run, slotWait, coldWait time.Duration) Cost {
	wait := max(slotWait, coldWait)
	cost := Cost{Run: run, Wait: slotWait, ColdWait: wait - slotWait, WaitPenalty: (waitFactor - 1) * wait}
	if safe := time.Duration(safeTimeShare * float64(request.Remaining)); request.Remaining > 0 && run+wait > safe {
		cost.Late = lateFactor * (run + wait - safe)
	}
	if s.endpoint.Zone != request.Zone {
		cost.Zone = request.remoteZoneCost()
	}
	failure := failureCost
	if request.Remaining > 0 {
		failure = min(failure, request.Remaining)
	}
	cost.Failures = time.Duration(s.failureRate(now) * float64(failure))
	if s.leaving {
		cost.Leaving = leavingCost
	}
	if now.Before(s.backoffUntil) {
		cost.Backoff = backoffCost
	}
	return cost
}

// Total returns the sum of the parts.
func (c Cost) Total() time.Duration {
	return c.Run + c.Wait + c.ColdWait + c.WaitPenalty + c.Late + c.Zone + c.LongAnswer + c.Failures + c.Leaving + c.Backoff
}

// coldWait returns the expected wait for a start at a server that was cold at its latest report, zero once it is warm.
// The report counts until then, however old it is.
func (s *server) coldWait(now time.Time) time.Duration {
	cold := warmup.Report{Rate: s.report.ColdRate, For: s.report.ColdFor, Wait: s.report.Wait}
	return cold.ExpectedWait(now.Sub(s.reportedAt), s.sentSinceReport)
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
