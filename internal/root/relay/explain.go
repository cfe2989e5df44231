package relay

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/gate"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/place"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/share"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// explanation collects the report on one query, from one snapshot and one time.
type explanation struct {
	forwarder *Forwarder
	snapshot  *snap.Snapshot
	now       time.Time
	state     *forwardState
	report    *admin.RouteExplain
}

// ExplainRoute returns where the forwarder would send a request, and changes nothing.
func (r *Relay) ExplainRoute(query *admin.RouteQuery) (*admin.RouteExplain, error) {
	explain, err := r.Frontend.Forwarder.explainRoute(query)
	if err == nil && r.Frontend.refusing.Load() { // before anything else
		explain.Refused = string(retry.Describe(retry.Draining{}).Reason)
	}
	return explain, err
}

func (f *Forwarder) explainRoute(query *admin.RouteQuery) (*admin.RouteExplain, error) {
	now, snapshot := f.Clock.Now(), f.Control.Snapshot()
	switch {
	case query.Host == "":
		return nil, fmt.Errorf("%w: the host is missing, by which this daemon finds the route", admin.ErrQuery)
	case query.Nested && query.Account != "":
		return nil, fmt.Errorf("%w: a nested call has no client account on this platform", admin.ErrQuery)
	case snapshot.Rules == nil:
		return nil, admin.MissingConfiguration()
	}
	set := snapshot.Rules
	route, ok := set.MatchHost(query.Host, query.Path)
	if !ok {
		return nil, admin.MissingRoute("none for host %q and path %q in revision %d", query.Host, query.Path, set.Revision)
	}
	if query.Account != "" && set.Accounts[query.Account] == nil {
		return nil, admin.MissingAccount(query.Account, set.Revision)
	}
	request := &Request{Method: query.Method, Target: query.Path, Path: query.Path, Host: query.Host}
	e := &explanation{
		forwarder: f, snapshot: snapshot, now: now,
		state: &forwardState{request: request, route: route, rank: route.Rank, revision: set.Revision, started: now},
		report: &admin.RouteExplain{
			Time: now, Revision: set.Revision, Fresh: snapshot.LeaseValid(now), Request: *query,
			Evacuated: slices.Sorted(maps.Keys(snapshot.Evacuated)),
		},
	}
	if !snapshot.LastContact.IsZero() {
		e.report.ContactAge = admin.Duration(now.Sub(snapshot.LastContact))
	}
	e.state.deadline = e.state.latestResponse()
	e.explainAccount(set.Accounts[query.Account])
	e.report.Route = admin.NewRouteMatch(route, fmt.Sprintf("rank %d", e.state.rank), false)
	e.explainService()
	if err := e.explainServers(); err != nil {
		return nil, err
	}
	e.report.Admission = f.LocalBackend.explain(now, decodeJob(now, f.sendRequest(now, e.state)))
	return e.report, nil
}

// explainAccount applies the access rule of the route and describes the rate limit of the account; account is nil for
// a request without a key.
func (e *explanation) explainAccount(account *rules.Account) {
	open, failure := e.state.checkAccess(account != nil)
	switch {
	case open && account != nil:
		e.report.Note("the route is open: the request runs for no client account")
	case open && !e.report.Request.Nested:
		e.report.Note("a request without a key on an open route counts as a nested call")
	case failure != nil:
		e.refuse(refusalFor(e.report.Fresh, failure).failure)
	case !open:
		e.state.setAccount(account)
	}
	if e.forwarder.endsTooLate(e.state) {
		e.refuse(retry.Draining{})
	}
	if e.state.account == nil {
		return
	}
	if !e.report.Fresh {
		e.refuse(retry.StaleConfig{})
	}
	e.explainRate(account)
}

func (e *explanation) explainRate(account *rules.Account) {
	f := e.forwarder
	tokens := f.Control.TokenState(account.Name)
	described := &admin.RouteAccount{
		Name: account.Name, Rate: account.Rate.String(), Burst: account.Burst, Tokens: tokens.Unspent,
		RefusedFor: admin.Duration(tokens.RefusedFor),
	}
	e.report.Account = described
	switch {
	case account.Rate.Count == 0:
		described.Rate, described.State = "none", admin.RateUnlimited
	case tokens.Unspent > 0:
		described.State = admin.RateAvailable
	case tokens.RefusedFor > 0:
		described.State = admin.RateRefused
		e.refuse(retry.Rate{})
	case !f.usesFallback():
		described.State = admin.RateRequested
	default:
		credit := f.fallbackCredit(e.now, account)
		described.Fallback = credit.Rate
		switch {
		case credit.Rate > 0 && !credit.Known:
			described.State = admin.RateRandom
		case credit.Amount >= 1:
			described.State = admin.RateFallback
		default:
			described.State = admin.RateNoGrant
			e.refuse(retry.RateUnavailable{})
		}
	}
}

// fallbackCredit returns what the fallback limiter of the account allows.
func (f *Forwarder) fallbackCredit(now time.Time, account *rules.Account) share.Credit {
	f.mu.Lock()
	defer f.mu.Unlock()
	limiter := f.fallbackLimiters[account.Name]
	if limiter == nil {
		return share.Credit{}
	}
	return limiter.Credit(now, account.Rate.PerSecond())
}

// explainService sets the service of the request.
func (e *explanation) explainService() {
	route := e.state.route
	e.state.service = route.Service
	if len(route.WeightedServices) > 0 {
		known := false
		if e.state.service, known = e.forwarder.peekService(route); !known {
			e.report.Note("this route has not been split yet and starts at a random service; %s has the largest weight", e.state.service)
		}
	}
	e.report.Service = e.state.service
	e.state.longStay = longAnswersStay(e.snapshot.Rules, e.state.service)
}

// peekService returns the service of the next request of a route that is split. It is the one with the largest weight,
// and known is false, if the daemon has not split the route yet.
func (f *Forwarder) peekService(route *rules.Route) (service string, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if split := f.splits[route.Name]; split != nil {
		return split.Peek(route.WeightedServices), true
	}
	return (&share.Split{}).Next(route.WeightedServices), false
}

// explainServers describes the servers of the service, the choice among them and the retry budget.
func (e *explanation) explainServers() error {
	f, service := e.forwarder, e.state.service
	list := e.snapshot.Endpoints[service]
	if list == nil || len(list.Instances) == 0 {
		return admin.MissingServers(service, list != nil)
	}
	balancer, budget := f.copyService(service)
	balancer.Update(e.now, list)
	policy := f.reach(e.state)
	e.report.Restricted, e.report.Regions = policy.Restricted, policy.Regions
	chosen := 0.0
	for _, a := range balancer.Explain(e.now, f.placeRequest(e.now, e.state, policy)) {
		e.report.Servers = append(e.report.Servers, describeServer(&a))
		chosen += a.Chance
	}
	if chosen == 0 {
		e.refuse(policy.Refusal(list.Instances))
	}
	e.report.Rank()
	for _, cause := range []share.Cause{share.Shed, share.Lost, share.Failed} {
		usage := budget.Usage(e.now, cause)
		retries := admin.RouteRetries{Cause: cause.String(), Used: float64(usage.Retries), Limit: usage.Limit}
		e.report.Retries = append(e.report.Retries, retries)
	}
	return nil
}

// copyService returns copies of the balancer and of the retry budget of a service.
func (f *Forwarder) copyService(name string) (*place.Balancer, share.RetryBudget) {
	f.mu.Lock()
	svc := f.services[name]
	f.mu.Unlock()
	if svc == nil {
		return place.New(0), share.RetryBudget{Ratio: f.RetryRatio, Window: f.RetryWindow}
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.balancer.Clone(), svc.retries
}

func (e *explanation) refuse(failure retry.Failure) {
	e.report.Refuse(string(retry.Describe(failure).Reason))
}

func describeServer(a *place.Assessment) admin.RouteServer {
	server := admin.RouteServer{
		ID: a.Endpoint.ID, Daemon: a.Endpoint.Daemon, Zone: a.Endpoint.Zone, Region: a.Endpoint.Region,
		Excluded: reach.Describe(a.Exclusion),
		Cost:     admin.Duration(a.Cost.Total()), Reported: a.Reported, ReportAge: admin.Duration(a.Age),
		Unreported: a.Sent, InFlight: a.InFlight,
		Others: a.Estimate.Others, Explored: a.Explored, Chance: a.Chance,
	}
	server.Parts = []admin.RouteCost{
		{Name: "run", Cost: admin.Duration(a.Cost.Run)},
		{Name: "wait", Cost: admin.Duration(a.Cost.Wait)},
		{Name: "cold-start", Cost: admin.Duration(a.Cost.ColdWait)},
		{Name: "wait-weight", Cost: admin.Duration(a.Cost.WaitPenalty)},
		{Name: "near-deadline", Cost: admin.Duration(a.Cost.Late)},
		{Name: "other-zone", Cost: admin.Duration(a.Cost.Zone)},
		{Name: "long-answer", Cost: admin.Duration(a.Cost.LongAnswer)},
		{Name: "failures", Cost: admin.Duration(a.Cost.Failures)},
		{Name: "leaving", Cost: admin.Duration(a.Cost.Leaving)},
		{Name: "backoff", Cost: admin.Duration(a.Cost.Backoff)},
	}
	return server
}

// explain returns what the admission controller would decide about a request of this daemon, and changes nothing.
func (b *LocalBackend) explain(now time.Time, j *job) admin.RouteAdmission {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.current
	if s == nil || s.notice.Service != j.service {
		return admin.RouteAdmission{}
	}
	cold, controller := b.configuredCold(now), *s.controller
	controller.Cold = &cold
	load := controller.Load(now, j.ticket())
	described := admin.RouteAdmission{
		Server: s.notice.Address, Running: controller.Running(), Waiting: load.Waiting, Limit: load.Slots,
		Wait: admin.Duration(load.Wait),
	}
	var failure retry.Failure
	if refused, ok := b.unavailable(now, s, j).(notRun); ok {
		failure = refused.failure
	} else {
		switch decision := controller.Preview(now, j.ticket()).(type) {
		case gate.Admitted:
			described.Decision, described.Wait = admin.DecisionAdmitted, 0
		case gate.Queued:
			described.Decision, described.Wait = admin.DecisionQueued, admin.Duration(decision.Wait)
		case gate.Refused:
			failure = retry.QueueFull{}
		}
	}
	if failure != nil {
		described.Decision, described.Reason = admin.DecisionRefused, string(retry.Describe(failure).Reason)
	}
	return described
}
