package call

import (
	"errors"
	"io"
	"net/http"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/picker"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

const explainRules = `service reader slots=2 connections=50 retry-share=100%
service idle slots=2 connections=50 retry-share=10%
route GET /open service=reader access=open run=idempotent deadline=1m retries=3
route GET /keyed service=reader access=keyed run=idempotent deadline=1m accounts=quill
route GET /eu service=reader access=keyed run=once deadline=1m regions=eu
route GET /inner service=reader access=keyed run=idempotent deadline=1m nested=only accounts=quill
route GET /idle service=idle access=open run=idempotent deadline=1m
`

func query(path, account string) *admin.RouteQuery {
	return &admin.RouteQuery{Method: "GET", Path: path, Account: account}
}

func nestedQuery(path, account string) *admin.RouteQuery {
	return &admin.RouteQuery{Method: "GET", Path: path, Account: account, Nested: true}
}

// observedState is the state of a daemon that explanations must not change.
type observedState struct {
	picker   *picker.Picker
	pickers  int
	usage    retry.ShareUsage
	throttle float64
	load     admit.Load
}

// observe returns the state at a fixed time.
func (n *node) observe(now time.Time) observedState {
	f := n.forwarder
	f.mu.RLock()
	defer f.mu.RUnlock()
	o := observedState{
		pickers: len(f.pickers), usage: f.Planner.Usage(now, "reader", 1), throttle: f.Throttle.RefuseChance(now, "GET/open", admit.Normal),
		load: n.handler.backends.firstOf("reader").limiter.Load(now),
	}
	if entry := f.pickers["reader"]; entry != nil {
		o.picker = entry.picker.Clone()
	}
	return o
}

// Guards against an explanation that takes a token, counts a call or changes any other state of traffic, or that reaches a
// server.
func TestExplanationChangesNothing(t *testing.T) {
	f := newFleet(t, 3, clock.Real{}, explainRules)
	for i := range 3 {
		f.serve(i, "reader", 2, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "served") })
	}
	for range 5 {
		assert.Equal(t, f.request(0, "GET", "/open", "").body, "served")
	}
	f.publish(func(s *snap.Snapshot) { // a list that the daemon has not used yet
		list := *s.Endpoints["reader"]
		list.Version, list.Instances = list.Version+1, slices.Clone(list.Instances)
		list.Instances[2].Slots = 3
		s.Endpoints["reader"] = &list
	})
	n := f.nodes[0]
	now := time.Now()
	before := n.observe(now)
	for _, each := range []*admin.RouteQuery{query("/open", ""), query("/keyed", "quill"), query("/eu", "reed"), nestedQuery("/inner", "quill")} {
		explain, err := n.ExplainRoute(each)
		assert.NilError(t, err)
		assert.Equal(t, len(explain.Servers), 3)
		total := 0.0
		for _, server := range explain.Servers {
			total += server.Chance
		}
		if each.Path == "/eu" { // no server has a region
			assert.Equal(t, total, 0.0)
			assert.Equal(t, explain.Refused, "region-not-allowed")
			continue
		}
		assert.Assert(t, total > 1-1e-9 && total < 1+1e-9 && explain.Choice != "" && explain.RunnerUp != "")
		assert.Equal(t, explain.Refused, "")
		assert.Equal(t, explain.Admission.Decision, admin.DecisionAdmitted)
		assert.Equal(t, explain.Admission.Limit, 1) // half of the slots after the start
	}
	assert.Assert(t, reflect.DeepEqual(n.observe(now), before))
	_, err := f.nodes[1].ExplainRoute(query("/open", ""))
	assert.NilError(t, err)
	assert.Equal(t, f.nodes[1].observe(now).pickers, 0) // it has sent no call
}

// Guards against a refusal that the explanation does not name, or a wrong one.
func TestExplainedRefusals(t *testing.T) {
	stale := func(s *snap.Snapshot) { s.LeaseExpiry = time.Now().Add(-time.Hour) }
	for name, test := range map[string]struct {
		query   *admin.RouteQuery
		change  func(s *snap.Snapshot)
		refused string
	}{
		"served":                 {query("/keyed", "quill"), nil, ""},
		"key missing":            {query("/keyed", ""), nil, "key-missing"},
		"other account":          {query("/keyed", "reed"), nil, "account-not-allowed"},
		"cut off":                {query("/open", ""), stale, "stale-config"},
		"cut off, nested":        {nestedQuery("/inner", "quill"), stale, ""},
		"nested without account": {nestedQuery("/inner", ""), nil, "account-not-allowed"},
		"evacuated": {query("/open", ""), func(s *snap.Snapshot) {
			s.Evacuated = map[string]snap.Evacuation{"z": {Zone: "z"}}
		}, "evacuated"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, clock.Real{}, explainRules)
			f.register(0, "reader", 2, "127.0.0.1:1")
			if test.change != nil {
				f.publish(test.change)
			}
			explain, err := f.nodes[0].ExplainRoute(test.query)
			assert.NilError(t, err)
			assert.Equal(t, explain.Refused, test.refused)
			assert.Equal(t, explain.Admission.Reason == "evacuated", test.refused == "evacuated")
			assert.Equal(t, explain.Servers[0].Excluded != "", test.refused == "evacuated")
		})
	}
}

// Guards against an explanation that hides a missing part or names another one.
func TestMissingParts(t *testing.T) {
	f := newFleet(t, 1, clock.Real{}, explainRules)
	f.register(0, "reader", 2, "127.0.0.1:1")
	for _, test := range []struct {
		part   string
		query  *admin.RouteQuery
		change func(s *snap.Snapshot)
	}{
		{"configuration", query("/open", ""), func(s *snap.Snapshot) { s.Rules = nil }},
		{"route", query("/none", ""), nil},
		{"route", query("/inner", "quill"), nil},
		{"account", query("/keyed", "nobody"), nil},
		{"servers", query("/idle", ""), nil},
		{"servers", query("/idle", ""), func(s *snap.Snapshot) { s.Endpoints["idle"] = &snap.Endpoints{} }},
	} {
		f.publish(func(s *snap.Snapshot) {
			if test.change != nil {
				test.change(s)
			}
		})
		_, err := f.nodes[0].ExplainRoute(test.query)
		var missing *admin.MissingPart
		assert.Assert(t, errors.As(err, &missing), "%v", err)
		assert.Equal(t, missing.Part, test.part)
	}
}
