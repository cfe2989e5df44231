package replay

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

const (
	poisonRestartDelay = 2 * time.Second // from a crash to the next incarnation
	drainGrace         = 3 * time.Second // after which a leaving server must not receive new work
)

type (
	// sim is one replay of a trace with one mechanism.
	sim struct {
		eventQueue
		trace             *Trace
		mechanism         Mechanism
		random            *rand.Rand
		start             time.Time
		daemons           []*daemon
		buckets           map[string]*tokenBucket // by account; each applies to all daemons together
		demandFactors     map[string]float64      // factors on the demand, by account or route
		pinnedAccounts    map[string]bool         // accounts whose clients all use the first daemon's ingress
		arrivalGeneration int                     // arrivals scheduled by an earlier generation are dropped, because the demand has changed
		activeRequests    map[uint64]*ingressRequest
		lastRequestNumber uint64
		crashCollector    *crash.Collector
		quarantined       map[string]bool // fingerprints that all daemons refuse
		result            *Result
	}

	// clientRequest is a request as its client sees it, including the client's retries.
	clientRequest struct {
		account         *Account
		route           *Route
		sentAt          time.Time
		retriesLeft     int
		poison          bool
		firstWithinRate bool // whether its first ingress request was within the rate of the account
	}

	// ingressRequest is a request that a client sends to an ingress; each client retry is another one.
	ingressRequest struct {
		*clientRequest
		sim            *sim
		number         uint64
		ingress        *daemon
		deadline       time.Time
		fingerprint    string
		withinRate     bool // of the account, counted over all daemons
		finished       bool
		sends, runs    int // call attempts of all hops; executions at the first hop
		retries        int // call attempts of all hops after the first one of each call
		activeAttempts []*callAttempt
	}
)

// Run replays a trace with a mechanism and returns its measures.
func Run(trace *Trace, mechanism Mechanism) *Result {
	start := time.Unix(1_000_000, 0)
	s := &sim{
		eventQueue: eventQueue{now: start}, trace: trace, mechanism: mechanism, start: start,
		random:  rand.New(rand.NewPCG(trace.Seed, 7)),
		buckets: map[string]*tokenBucket{}, demandFactors: map[string]float64{}, pinnedAccounts: map[string]bool{},
		activeRequests: map[uint64]*ingressRequest{},
		crashCollector: crash.NewCollector(), quarantined: map[string]bool{}, result: newResult(trace),
	}
	s.result.Mechanism = mechanism.Name
	s.buildFleet()
	for _, f := range trace.Faults {
		s.scheduleAt(start.Add(f.At), func() { s.startFault(f) })
		s.scheduleAt(start.Add(f.Until), func() { s.endFault(f) })
	}
	s.startArrivals()
	s.runUntil(start.Add(trace.Length))
	return s.result
}

// startArrivals draws the next arrival of each account and route and invalidates the arrivals drawn earlier.
func (s *sim) startArrivals() {
	s.arrivalGeneration++
	for i := range s.trace.Accounts {
		for j := range s.trace.Routes {
			s.scheduleArrival(&s.trace.Accounts[i], &s.trace.Routes[j], s.arrivalGeneration)
		}
	}
}

// scheduleArrival draws the time until the next arrival from an exponential distribution; each arrival schedules
// the next one.
func (s *sim) scheduleArrival(account *Account, route *Route, generation int) {
	rate := route.Demand * account.Share
	for _, name := range [...]string{account.Name, route.Name} {
		if factor, ok := s.demandFactors[name]; ok {
			rate *= factor
		}
	}
	s.scheduleAfter(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if generation != s.arrivalGeneration {
			return
		}
		s.scheduleArrival(account, route, generation)
		s.result.recordArrival(s.now.Sub(s.start), account)
		s.submit(&clientRequest{account: account, route: route, sentAt: s.now, retriesLeft: s.trace.ClientRetries})
	})
}

// submit sends a client request to the ingress of a random daemon, or of the first one for a pinned account.
func (s *sim) submit(client *clientRequest) {
	ingress := s.daemons[s.random.IntN(len(s.daemons))]
	if s.pinnedAccounts[client.account.Name] {
		ingress = s.daemons[0]
	}
	s.lastRequestNumber++
	req := &ingressRequest{
		clientRequest: client, sim: s, number: s.lastRequestNumber, ingress: ingress,
		deadline: s.now.Add(s.trace.ClientLatency + client.route.Deadline),
	}
	s.scheduleAfter(s.trace.ClientLatency, req.enterIngress)
}

// enterIngress applies the checks of the ingress and sends the first call.
func (req *ingressRequest) enterIngress() {
	s, d := req.sim, req.ingress
	// The length enters the fingerprint: poison requests share one fingerprint, all others have their own.
	length := int64(req.number)
	if req.poison {
		length = 0
	}
	req.fingerprint = crash.Fingerprint("GET", req.route.Name, req.account.Name, length, nil)
	req.withinRate = s.buckets[req.account.Name].take(s.now)
	if s.now.Sub(req.sentAt) < 2*s.trace.ClientLatency { // not a retry of the client
		req.clientRequest.firstWithinRate = req.withinRate
		s.result.recordEligible(s.now.Sub(s.start), req)
	}
	s.result.recordIngress(s.now.Sub(s.start), req)
	s.activeRequests[req.number] = req
	s.scheduleAt(req.deadline, func() { req.fail(retry.DeadlineAfter{}) })
	disconnected := time.Duration(0)
	if !d.disconnectedSince.IsZero() {
		disconnected = s.now.Sub(d.disconnectedSince)
	}
	granted := req.withinRate
	if s.mechanism.StaticRates {
		granted = d.buckets[req.account.Name].take(s.now)
	}
	switch {
	case disconnected > leaseDuration:
		req.fail(retry.StaleConfig{})
	case d.withdrawnAccounts[req.account.Name]:
		req.fail(retry.KeyWithdrawn{})
	case s.quarantined[req.fingerprint]:
		req.fail(retry.Quarantined{})
	case !granted:
		req.fail(retry.Rate{})
	case disconnected > grantDuration && !s.mechanism.StaticRates:
		s.scheduleAfter(time.Second, func() { req.fail(retry.Rate{}) })
	case !s.mechanism.NoAdmission && !d.throttle.Allow(s.now, req.route.Name, req.route.Importance):
		req.fail(retry.Throttled{})
	default:
		c := &call{request: req, caller: d, budget: retry.NewEntryBudget(req.route.Retries)}
		c.done = req.complete
		c.send()
	}
}

// recordStart counts the start of an execution and checks that a run=once request executes only once and
// that a leaving server receives no new work after drainGrace.
func (req *ingressRequest) recordStart(att *callAttempt) {
	s := req.sim
	if att.call.hop == 0 {
		req.runs++
		if req.route.Once && req.runs > 1 {
			s.result.recordViolation("R9: %s executed %d times", req.route.Name, req.runs)
		}
	}
	if since := att.target.server.leavingSince; !since.IsZero() && s.now.Sub(since) > drainGrace {
		s.result.recordViolation("R10: work on %s %v after it began to leave", att.target.server.endpoint.ID, s.now.Sub(since))
	}
}

// fail ends the request with a failure that was decided at the ingress.
func (req *ingressRequest) fail(f retry.Failure) { req.complete(f, false) }

// complete ends the request with a failure or, if f is nil, with a complete response. With nestedFailed the
// backend server responded with an error because a nested call failed, so the request itself was executed.
func (req *ingressRequest) complete(f retry.Failure, nestedFailed bool) {
	if req.finished {
		return
	}
	s, d := req.sim, req.ingress
	req.finished = true
	delete(s.activeRequests, req.number)
	for i := len(req.activeAttempts) - 1; i >= 0; i-- {
		if i < len(req.activeAttempts) {
			req.activeAttempts[i].cancel(i == len(req.activeAttempts)-1)
		}
	}
	row := retry.Row{Outcome: retry.Ran}
	if f != nil {
		row = retry.Describe(f)
	}
	if nestedFailed {
		row.Outcome = retry.Ran
	}
	if row.Outcome == retry.NotRun && req.runs > 0 {
		s.result.recordViolation("R8: %s reported not-run after %d runs", row.Reason, req.runs)
	}
	if req.retries > int(req.route.Retries) && !s.mechanism.RetriesPerHop {
		s.result.recordViolation("R1: %d retries of %s", req.retries, req.route.Name)
	}
	s.result.Sends += req.sends
	refused := row.Resend == retry.Always || row.Reason == "throttled"
	if req.sends > 0 && (f == nil || refused) {
		d.throttle.Report(s.now, req.route.Name, req.route.Importance, f == nil)
	}
	s.result.recordCompletion(s.now.Add(s.trace.ClientLatency).Sub(s.start), req, f, refused || row.Outcome == retry.NotRun)
	if f == nil || req.retriesLeft == 0 || row.Reason == "quarantined" || row.Reason == "key-withdrawn" {
		return
	}
	if req.route.Once && row.Outcome != retry.NotRun {
		return // the client must not retry a run=once request that may have been executed
	}
	req.retriesLeft--
	s.scheduleAfter(s.trace.ClientLatency+s.trace.ClientRetryDelay, func() { s.submit(req.clientRequest) })
}

// cancelNested cancels the nested calls of a call attempt whose server crashed.
func (req *ingressRequest) cancelNested(att *callAttempt) {
	for _, other := range append([]*callAttempt(nil), req.activeAttempts...) {
		if other.call.hop > att.call.hop {
			other.cancel(false)
		}
	}
}

// startFault applies a fault of the trace:
//   - slow multiplies the work of a service or instance by Factor.
//   - demand multiplies the demand of an account or route by Factor.
//   - pin makes all clients of an account use the ingress of the first daemon.
//   - withdrawn withdraws the key of an account; each daemon rejects it within propagationDelay.
//   - lost crashes the server of an instance, which restarts at Until.
//   - drain makes the server of an instance leave.
//   - poison submits a request of ACCOUNT/ROUTE that crashes the servers that execute its last hop.
//   - cut disconnects the daemon of an instance from the leader.
func (s *sim) startFault(f Fault) {
	switch f.Kind {
	case "slow":
		for _, d := range s.daemons {
			if d.server.service.Name == f.Target || d.server.endpoint.ID == f.Target {
				d.server.slowdown = f.Factor
			}
		}
	case "demand":
		s.demandFactors[f.Target] = f.Factor
		s.startArrivals()
	case "pin":
		s.pinnedAccounts[f.Target] = true
	case "withdrawn":
		for _, d := range s.daemons {
			s.scheduleAfter(time.Duration(s.random.Int64N(int64(propagationDelay))), func() { d.withdrawnAccounts[f.Target] = true })
		}
	case "lost":
		s.crashServer(s.findDaemon(f.Target), f.Until-f.At)
	case "drain":
		d := s.findDaemon(f.Target)
		d.server.endpoint.Leaving, d.server.leavingSince = true, s.now
		s.scheduleAfter(propagationDelay, s.publishEndpoints)
	case "poison":
		account, route, _ := strings.Cut(f.Target, "/")
		client := &clientRequest{poison: true, retriesLeft: 1000}
		for i := range s.trace.Accounts {
			if s.trace.Accounts[i].Name == account {
				client.account = &s.trace.Accounts[i]
			}
		}
		for i := range s.trace.Routes {
			if s.trace.Routes[i].Name == route {
				client.route = &s.trace.Routes[i]
			}
		}
		s.submit(client)
	case "cut":
		s.findDaemon(f.Target).disconnectedSince = s.now
	}
}

// endFault reverts a fault. Keys stay withdrawn and servers stay leaving; a lost server restarts by itself.
func (s *sim) endFault(f Fault) {
	switch f.Kind {
	case "slow":
		f.Factor = 1
		s.startFault(f)
	case "demand":
		f.Factor = 1
		s.startFault(f)
	case "cut":
		s.findDaemon(f.Target).disconnectedSince = time.Time{}
	case "pin":
		delete(s.pinnedAccounts, f.Target)
	case "withdrawn", "lost", "drain", "poison":
	}
}

// sortedRequests returns the active requests in the order of their numbers, because the iteration order of
// the map would make replays differ.
func (s *sim) sortedRequests() []*ingressRequest {
	requests := make([]*ingressRequest, 0, len(s.activeRequests))
	for _, req := range s.activeRequests {
		requests = append(requests, req)
	}
	sort.Slice(requests, func(i, j int) bool { return requests[i].number < requests[j].number })
	return requests
}
