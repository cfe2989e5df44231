package relay

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// newRegionFleet starts one daemon for each region. change alters the rules.
func newRegionFleet(t *testing.T, change func(*rules.Set), regions ...string) *testFleet {
	t.Helper()
	f := newTestFleet(t, len(regions))
	f.control.mu.Lock()
	defer f.control.mu.Unlock()
	change(f.control.set)
	f.control.version++
	for i, region := range regions {
		f.control.list[i].Region = region
	}
	return f
}

func routeOf(set *rules.Set, prefix string) *rules.Route {
	route, _ := set.MatchHost("shop.example", prefix)
	return route
}

// Guards against a request that gets to a server outside the regions of its route or its client account, or to one whose
// region is not known, and against a refusal that uses up a token.
func TestAllowedRegions(t *testing.T) {
	const requests = 12
	for name, test := range map[string]struct {
		route, account []string
		regions        []string
		allowed        []bool // by server; nil if the requests are refused
	}{
		"no list":           {nil, nil, []string{"eu", ""}, []bool{true, true}},
		"route":             {[]string{"us"}, nil, []string{"eu", "us"}, []bool{false, true}},
		"account":           {nil, []string{"us"}, []string{"eu", "us"}, []bool{false, true}},
		"both":              {[]string{"eu", "us"}, []string{"us", "ap"}, []string{"eu", "us"}, []bool{false, true}},
		"nothing in common": {[]string{"eu"}, []string{"us"}, []string{"eu", "us"}, nil},
		"no server there":   {[]string{"ap"}, nil, []string{"eu", "us"}, nil},
		"region unknown":    {[]string{"eu"}, nil, []string{"", "us"}, nil},
		"empty name":        {[]string{""}, nil, []string{"", "us"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRegionFleet(t, func(set *rules.Set) {
				routeOf(set, "/keyed/").Regions, set.Accounts["rich"].Regions = test.route, test.account
			}, test.regions...)
			for i := range requests {
				got := f.request(f.daemons[i%2], "r", "/keyed/x", "Key: rich-key\r\n", "body")
				if test.allowed != nil {
					assert.Equal(t, bodyOf(t, got), "r body")
					continue
				}
				assert.Equal(t, got.StatusCode, 503)
				assert.Equal(t, got.Header.Get("Reason"), "region-not-allowed")
				assert.Equal(t, got.Header.Get("Outcome"), "not-run")
			}
			total := 0
			for i, d := range f.daemons {
				runs := d.server.runs("r")
				assert.Assert(t, runs == 0 || test.allowed[i], "server %d", i)
				total += runs
			}
			if test.allowed == nil {
				assert.Equal(t, f.control.returned, requests)
				return
			}
			assert.Equal(t, total, requests)
		})
	}
}

// Guards against a retry that leaves the allowed regions, and against one that is not made because servers outside them
// are counted.
func TestRetryStaysInRegion(t *testing.T) {
	f := newRegionFleet(t, func(set *rules.Set) { routeOf(set, "/open/").Regions = []string{"us"} }, "eu", "us", "eu")
	for id, path := range map[string]string{"failed": "/open/fail", "lost": "/open/reset", "shed": "/open/shed"} {
		f.request(f.daemons[0], id, path, "", "")
		assert.Equal(t, f.daemons[0].server.runs(id)+f.daemons[2].server.runs(id), 0, id)
		assert.Equal(t, f.daemons[1].server.runs(id), 2, id)
	}
}

// Guards against a list that is narrowed while a request is in progress and ignored by its next send, and against one
// that is widened by a change of the rules although its request was admitted by the earlier ones.
func TestRulesInForceApplyToTheNextSend(t *testing.T) {
	f := newRegionFleet(t, func(set *rules.Set) { routeOf(set, "/open/").Regions = []string{"eu", "us"} }, "eu", "us")
	forwarder := f.daemons[0].relay.Frontend.Forwarder
	request := &Request{ID: "r", Method: "GET", Target: "/open/x", Path: "/open/x", Host: "shop.example", Timeout: time.Second}
	state, refused := forwarder.classify(context.Background(), request, time.Now())
	assert.Assert(t, refused == nil)
	assert.DeepEqual(t, forwarder.reach(state), reach.Policy{Restricted: true, Regions: []string{"eu", "us"}})
	for revision, list := range [][]string{{"us"}, {"us", "ap"}, {"ap"}, nil} {
		set := testRules(t)
		set.Revision, routeOf(set, "/open/").Regions = uint64(revision)+2, list
		f.control.mu.Lock()
		f.control.set = set
		f.control.mu.Unlock()
		want := [][]string{{"us"}, {"us"}, nil, {"eu", "us"}}[revision]
		assert.DeepEqual(t, forwarder.reach(state), reach.Policy{Restricted: true, Regions: want})
	}
}
