package call

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/picker"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// explanation collects the report on one query, from one snapshot and one time.
type explanation struct {
	traffic  *Traffic
	snapshot *snap.Snapshot
	now      time.Time
	request  *Request
	report   *admin.RouteExplain
}

// ExplainRoute returns where the daemon would send a request, and changes nothing.
func (t *Traffic) ExplainRoute(query *admin.RouteQuery) (*admin.RouteExplain, error) {
	now, snapshot := t.Clock.Now(), t.Control.Snapshot()
	if snapshot.Rules == nil {
		return nil, admin.MissingConfiguration()
	}
	set := snapshot.Rules
	match, ok := set.Match(query.Method, query.Path)
	switch {
	case !ok:
		return nil, admin.MissingRoute("none for %s %q in revision %d", query.Method, query.Path, set.Revision)
	case match.Route.Nested && !query.Nested:
		return nil, admin.MissingRoute("%s is for nested calls only", match.Route.Identity())
	case query.Account != "" && set.Accounts[query.Account] == nil:
		return nil, admin.MissingAccount(query.Account, set.Revision)
	}
	route := match.Route
	e := &explanation{
		traffic: t, snapshot: snapshot, now: now,
		request: &Request{
			Rules: set, Route: route, Method: query.Method, Target: query.Path, Importance: importanceOf(route.Importance),
			Started: now, Deadline: now.Add(route.Deadline),
		},
		report: &admin.RouteExplain{
			Time: now, Revision: set.Revision, Fresh: snapshot.LeaseValid(now), Request: *query,
			Route:   admin.NewRouteMatch(route, importanceName(importanceOf(route.Importance)), true),
			Service: route.Service, Evacuated: slices.Sorted(maps.Keys(snapshot.Evacuated)),
		},
	}
	if !snapshot.LastContact.IsZero() {
		e.report.ContactAge = admin.Duration(now.Sub(snapshot.LastContact))
	}
	if !query.Nested && t.handler.active.Load() >= t.handler.MaxCalls {
		e.refuse(retry.Overload{})
	}
	e.explainAccount(set.Accounts[query.Account])
	if err := e.explainServers(); err != nil {
		return nil, err
	}
	e.report.Admission = t.explainAdmission(now, e.request)
	return e.report, nil
}

// explainAccount applies the access rule of the route and describes the rate limit of the account, which is nil if the
// request has none.
func (e *explanation) explainAccount(account *rules.Account) {
	route, nested := e.request.Route, e.report.Request.Nested
	name := ""
	if account != nil {
		name = account.Name
	}
	failure := accessFailure(route, name)
	switch {
	case nested:
		e.request.Account = name
		e.report.Note("the deadline, the regions, the importance and the held slots of the parent request are not known")
		if failure != nil {
			e.refuse(retry.AccountNotAllowed{})
		}
		return
	case isStale(e.snapshot, route, e.now):
		e.refuse(retry.StaleConfig{})
	}
	if failure != nil {
		e.refuse(failure)
	}
	if route.Access == rules.AccessOpen {
		if account != nil {
			e.report.Note("the route is open: the request runs for no client account")
		}
		return
	}
	e.request.Account = name
	if account != nil {
		e.explainRate(account)
	}
}

func (e *explanation) explainRate(account *rules.Account) {
	tokens := e.traffic.Control.TokenState(account.Name)
	described := &admin.RouteAccount{
		Name: account.Name, Rule: account.Identity(), Rate: account.Rate.String(), Burst: account.Burst,
		Tokens: tokens.Unspent, RefusedFor: admin.Duration(tokens.RefusedFor),
	}
	e.report.Account = described
	switch {
	case tokens.Unspent > 0:
		described.State = admin.RateAvailable
	case tokens.RefusedFor > 0:
		described.State = admin.RateRefused
		e.refuse(retry.Rate{})
	case tokens.Limited:
		described.State = admin.RateRequested
	default:
		described.State = admin.RateNoGrant
		e.refuse(retry.RateUnavailable{})
	}
}

// explainServers describes the throttle, the servers of the service, the choice among them and the retry budget.
func (e *explanation) explainServers() error {
	f, route := e.traffic.forwarder, e.request.Route
	e.report.Throttle = f.Throttle.RefuseChance(e.now, route.Name, e.request.Importance)
	list := e.snapshot.Endpoints[route.Service]
	if list == nil || len(list.Instances) == 0 {
		return admin.MissingServers(route.Service, list != nil)
	}
	policy := f.reach(e.request)
	e.report.Restricted, e.report.Regions = policy.Restricted, policy.Regions
	chosen := 0.0
	for _, a := range f.copyPicker(e.now, route.Service, list).Explain(e.now, pickRequest(e.now, e.request, nil, policy)) {
		e.report.Servers = append(e.report.Servers, describeServer(&a))
		chosen += a.Chance
	}
	if chosen == 0 {
		e.refuse(policy.Refusal(list.Instances))
	}
	e.report.Rank()
	e.report.Retries = []admin.RouteRetries{{Cause: "request", Limit: float64(route.Retries)}}
	if service := e.request.Rules.Services[route.Service]; service != nil {
		usage := f.Planner.Usage(e.now, route.Service, service.RetryShare)
		retries := admin.RouteRetries{Cause: "service", Used: usage.Retries, Limit: usage.Limit}
		e.report.Retries = append(e.report.Retries, retries)
	}
	return nil
}

// copyPicker returns a copy of the picker of a service that has the servers of the list.
func (f *Forwarder) copyPicker(now time.Time, service string, list *snap.Endpoints) *picker.Picker {
	f.mu.RLock()
	entry := f.pickers[service]
	f.mu.RUnlock()
	copied := picker.New(f.Zone, 0)
	var known *snap.Endpoints
	if entry != nil {
		copied, known = entry.picker.Clone(), entry.list.Load()
	}
	if known == nil || known.Version != list.Version {
		copied.Update(now, list.Instances)
	}
	return copied
}

func (e *explanation) refuse(failure retry.Failure) {
	e.report.Refuse(string(retry.Describe(failure).Reason))
}

func describeServer(a *picker.Assessment) admin.RouteServer {
	server := admin.RouteServer{
		ID: a.Endpoint.ID, Daemon: a.Endpoint.Daemon, Zone: a.Endpoint.Zone, Region: a.Endpoint.Region,
		Excluded: reach.Describe(a.Exclusion),
		Cost:     admin.Duration(a.Cost.Total()), Reported: a.Reported, ReportAge: admin.Duration(a.Age),
		Unreported: a.InFlight, InFlight: a.InFlight,
		Others: a.Others, Chance: a.Chance,
	}
	if server.Excluded == "" && !a.Eligible {
		switch {
		case a.Leaving:
			server.Excluded = "it is leaving"
		case a.Ejected:
			server.Excluded = fmt.Sprintf("ejected for %s after failures", a.EjectedFor.Round(time.Millisecond))
		case a.Full:
			server.Excluded = "all of its connections are in use, or it is tried with one request after failures"
		}
	}
	server.Parts = []admin.RouteCost{
		{Name: "latency", Cost: admin.Duration(a.Cost.Latency)},
		{Name: "errors", Cost: admin.Duration(a.Cost.Errors)},
		{Name: "slow-start", Cost: admin.Duration(a.Cost.SlowStart)},
		{Name: "in-flight", Cost: admin.Duration(a.Cost.InFlight)},
		{Name: "cold-start", Cost: admin.Duration(a.Cost.ColdWait)},
	}
	return server
}

// explainAdmission returns what the admission control of the daemon's own server would decide about the request. Of
// several servers of the service it is the first one by id.
func (t *Traffic) explainAdmission(now time.Time, request *Request) admin.RouteAdmission {
	servers := t.handler.backends
	server := servers.firstOf(request.Route.Service)
	if server == nil {
		return admin.RouteAdmission{}
	}
	snapshot := t.Control.Snapshot()
	rate, period := warmup.Limits(snapshot.Rules, server.endpoint.Service)
	ticket := t.server.newTicket(request.Account, request.Route.Name, request.Importance, request.Deadline)
	preview := server.limiter.Preview(now, ticket, rate, period, snapshot.Restored[servers.zone])
	described := admin.RouteAdmission{
		Server: server.endpoint.ID, Running: preview.Load.InFlight, Waiting: preview.Load.Waiting, Limit: preview.Load.Limit,
		Wait: admin.Duration(preview.Wait),
	}
	failure := servers.zoneFailure(server)
	if server.leaving.Load() || t.server.leaving.Load() {
		failure = retry.Draining{}
	}
	switch decision := preview.Decision.(type) {
	case admit.Admitted:
		described.Decision = admin.DecisionAdmitted
	case admit.Queued:
		described.Decision = admin.DecisionQueued
	case admit.Refused:
		if failure == nil {
			failure = decision.Failure
		}
	}
	if failure != nil {
		described.Decision, described.Reason = admin.DecisionRefused, string(retry.Describe(failure).Reason)
	}
	return described
}

// firstOf returns the server of a service with the lowest id, nil if there is none.
func (b *backends) firstOf(service string) *backend {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, id := range slices.Sorted(maps.Keys(b.byID)) {
		if b.byID[id].endpoint.Service == service {
			return b.byID[id]
		}
	}
	return nil
}
