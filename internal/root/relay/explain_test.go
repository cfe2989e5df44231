package relay

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/place"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/share"
	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// observedState is the state of a daemon that explanations must not change.
type observedState struct {
	services  int
	balancer  *place.Balancer
	retries   share.RetryBudget
	splits    int
	next      string
	fallbacks int
	cold      warmup.Limiter
	coldUsed  bool // by the admission controller
	running   int
	waiting   int
	taken     int
	returned  int
}

func (f *testFleet) observe(d *testDaemon) observedState {
	forwarder, backend := d.relay.Frontend.Forwarder, d.relay.LocalBackend
	_, running, waiting := backend.Status()
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	backend.mu.Lock()
	defer backend.mu.Unlock()
	f.control.mu.Lock()
	defer f.control.mu.Unlock()
	svc := forwarder.services["shop"]
	o := observedState{
		services: len(forwarder.services), balancer: svc.balancer.Clone(), retries: svc.retries, splits: len(forwarder.splits), fallbacks: len(forwarder.fallbackLimiters),
		cold: backend.cold, coldUsed: backend.current.controller.Cold == &backend.cold, running: running, waiting: waiting, taken: f.control.taken, returned: f.control.returned,
	}
	if split := forwarder.splits["/split/"]; split != nil {
		o.next = split.Peek(routeOf(f.control.set, "/split/").WeightedServices)
	}
	return o
}

func query(path, account string) *admin.RouteQuery {
	return &admin.RouteQuery{Method: "GET", Host: "shop.example", Path: path, Account: account}
}

// Guards against an explanation that takes a token, counts a request, advances a split or changes any other state of
// traffic, or that reaches a server.
func TestExplanationChangesNothing(t *testing.T) {
	f := newTestFleet(t, 3)
	f.control.mu.Lock()
	set := testRules(t)
	set.Routes = append(set.Routes, &rules.Route{
		Rule: rules.Rule{Name: "/split/"}, Host: "shop.example", Prefix: "/split/", Access: rules.AccessOpen, Run: rules.RunIdempotent, Deadline: time.Second, MaxSends: 1,
		WeightedServices: []rules.WeightedService{{Service: "shop", Weight: 1}, {Service: "other", Weight: 1}},
	})
	set.Services["other"] = &rules.Service{Rule: rules.Rule{Name: "other"}}
	assert.NilError(t, rules.Assemble(set))
	f.control.set = set
	f.control.mu.Unlock()
	d := f.daemons[0]
	d.relay.Frontend.Forwarder.chooseService(routeOf(set, "/split/x"))
	for _, path := range []string{"/keyed/x", "/open/x"} {
		assert.Equal(t, bodyOf(t, f.request(d, "r", path, "Key: rich-key\r\n", "body")), "r body")
	}
	f.control.mu.Lock()
	f.control.version++ // the daemon has not used this list yet
	f.control.list[2].Region = "eu"
	f.control.mu.Unlock()
	before := f.observe(d)
	_, err := d.relay.ExplainRoute(query("/split/x", ""))
	assert.Equal(t, err == nil, before.next == "shop") // the other service has no server
	for _, path := range []string{"/keyed/x", "/open/x", "/once/x"} {
		for _, account := range []string{"", "rich", "poor"} {
			explain, err := d.relay.ExplainRoute(query(path, account))
			assert.NilError(t, err)
			assert.Equal(t, len(explain.Servers), 3)
			total := 0.0
			for _, server := range explain.Servers {
				total += server.Chance
			}
			assert.Assert(t, total > 1-1e-9 && total < 1+1e-9 && explain.Choice != "" && explain.RunnerUp != "")
			assert.Equal(t, explain.Admission.Decision, admin.DecisionAdmitted)
		}
	}
	assert.Assert(t, reflect.DeepEqual(f.observe(d), before))
	other := f.daemons[1] // has served no caller
	_, err = other.relay.ExplainRoute(query("/split/x", ""))
	assert.NilError(t, err)
	assert.Equal(t, len(other.relay.Frontend.Forwarder.services)+len(other.relay.Frontend.Forwarder.splits), 0)
}

// Guards against a refusal that the explanation does not name, or a wrong one, and against a server that is excluded for
// traffic only.
func TestExplainedRefusals(t *testing.T) {
	for name, test := range map[string]struct {
		query   *admin.RouteQuery
		change  func(f *testFleet)
		refused string
		state   string
	}{
		"served":         {query("/keyed/x", "rich"), func(*testFleet) {}, "", admin.RateAvailable},
		"key missing":    {query("/keyed/x", ""), func(*testFleet) {}, "key-missing", ""},
		"above the rate": {query("/keyed/x", "poor"), func(*testFleet) {}, "rate", admin.RateRefused},
		"open":           {query("/open/x", "poor"), func(*testFleet) {}, "", ""},
		"cut off":        {query("/keyed/x", "rich"), func(f *testFleet) { f.control.lastContact = time.Now().Add(-time.Hour) }, "stale-config", admin.RateAvailable},
		"cut off, open":  {query("/open/x", ""), func(f *testFleet) { f.control.lastContact = time.Now().Add(-time.Hour) }, "", ""},
		"draining":       {query("/open/x", ""), func(f *testFleet) { f.daemons[0].relay.Frontend.RefuseRequests() }, "draining", ""},
		"region": {query("/keyed/x", "rich"), func(f *testFleet) {
			f.control.set.Accounts["rich"].Regions = []string{"eu"}
		}, "region-not-allowed", admin.RateAvailable},
		"evacuated": {query("/open/x", ""), func(f *testFleet) {
			f.control.zones.evacuated = map[string]snap.Evacuation{"a": {Zone: "a"}}
		}, "evacuated", ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 2)
			f.control.mu.Lock()
			test.change(f)
			f.control.mu.Unlock()
			explain, err := f.daemons[0].relay.ExplainRoute(test.query)
			assert.NilError(t, err)
			assert.Equal(t, explain.Refused, test.refused)
			if test.state != "" {
				assert.Equal(t, explain.Account.State, test.state)
			}
			excluded := test.refused == "evacuated" || test.refused == "region-not-allowed"
			for _, server := range explain.Servers {
				assert.Equal(t, server.Excluded != "", excluded)
			}
			assert.Equal(t, explain.Choice == "", excluded)
		})
	}
}

// Guards against an explanation that hides a missing part or names another one.
func TestMissingParts(t *testing.T) {
	for part, test := range map[string]struct {
		query  *admin.RouteQuery
		change func(f *testFleet)
	}{
		"configuration": {query("/open/x", ""), func(f *testFleet) { f.control.set = nil }},
		"route":         {query("/none/x", ""), func(*testFleet) {}},
		"account":       {query("/open/x", "nobody"), func(*testFleet) {}},
		"servers":       {query("/open/x", ""), func(f *testFleet) { f.control.list = nil }},
	} {
		f := newTestFleet(t, 1)
		f.control.mu.Lock()
		test.change(f)
		f.control.mu.Unlock()
		_, err := f.daemons[0].relay.ExplainRoute(test.query)
		var missing *admin.MissingPart
		assert.Assert(t, errors.As(err, &missing), "%v", err)
		assert.Equal(t, missing.Part, part)
	}
	f := newTestFleet(t, 1)
	for _, malformed := range []*admin.RouteQuery{{Method: "GET", Path: "/open/x"}, {Method: "GET", Host: "shop.example", Path: "/open/x", Account: "rich", Nested: true}} {
		_, err := f.daemons[0].relay.ExplainRoute(malformed)
		assert.ErrorIs(t, err, admin.ErrQuery)
	}
}

// Guards against an explanation that says that a full or leaving server takes the request.
func TestExplainedAdmission(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	done := make(chan struct{}, 2)
	for range 2 { // the server has two slots
		go func() {
			f.request(d, "r", "/open/hold/x", "", "")
			done <- struct{}{}
		}()
	}
	for d.relay.LocalBackend.Running() < 2 {
		time.Sleep(time.Millisecond)
	}
	explain, err := d.relay.ExplainRoute(query("/open/x", ""))
	assert.NilError(t, err)
	assert.Equal(t, explain.Admission.Decision, admin.DecisionQueued)
	assert.Equal(t, explain.Admission.Running, 2)
	assert.Equal(t, explain.Admission.Limit, 2)
	assert.Equal(t, explain.Servers[0].Unreported, 2)
	close(d.server.hold)
	<-done
	<-done
	notice := d.notice(StateLeaving)
	notice.Sequence = 2
	assert.NilError(t, d.relay.LocalBackend.Notice(context.Background(), notice))
	backend := d.relay.LocalBackend
	admission := backend.explain(time.Now(), &job{service: "shop", route: "/open/", request: &Request{}, deadline: time.Now().Add(time.Second)})
	assert.Equal(t, admission.Reason, "draining")
}
