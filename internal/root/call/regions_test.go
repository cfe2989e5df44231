package call

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const regionRules = `service reader slots=10 connections=50 retry-share=100%
service back slots=10 connections=50 retry-share=100%
account clinic rate=100/s burst=100 regions=eu,ap
route POST /free service=reader access=keyed run=once deadline=1m
route POST /eu service=reader access=keyed run=once deadline=1m regions=eu,sa
route POST /us service=reader access=keyed run=once deadline=1m regions=us
route POST /nowhere service=reader access=keyed run=once deadline=1m regions=sa
route GET /get service=reader access=open run=idempotent deadline=1m retries=3 regions=eu
route GET /both service=reader access=open run=idempotent deadline=1m retries=3 regions=eu,us
route GET /back service=back access=open run=idempotent deadline=1m nested=only
route GET /back-us service=back access=open run=idempotent deadline=1m nested=only regions=us
`

const clinicKey = "key-of-clinic-0123456789"

// regionFleet has a daemon without a server, one in region eu and one in region us, each of them with a server of each
// service.
type regionFleet struct {
	*fleet
	runs [3]atomic.Int64
}

func newRegionFleet(t *testing.T, handle func(f *regionFleet, i int, w http.ResponseWriter, r *http.Request)) *regionFleet {
	f := &regionFleet{fleet: newFleet(t, 3, clock.Real{}, regionRules+"key clinic "+hashOf(clinicKey)+"\n")}
	for i := 1; i < 3; i++ {
		for _, service := range []string{"reader", "back"} {
			f.serve(i, service, 10, func(w http.ResponseWriter, r *http.Request) {
				f.runs[i].Add(1)
				handle(f, i, w, r)
			})
		}
	}
	f.locate("eu", "us")
	return f
}

// locate sets the regions of the servers of each service.
func (f *regionFleet) locate(regions ...string) {
	for service, list := range f.lists {
		moved := &snap.Endpoints{Version: list.Version + 1, Instances: append([]snap.Endpoint(nil), list.Instances...)}
		for i, region := range regions {
			moved.Instances[i].Region = region
		}
		f.lists[service] = moved
	}
	f.publish()
}

func answer(_ *regionFleet, _ int, w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

// Guards against a request or its body that gets to a server outside the regions of its route or its account, and
// against a refusal that does not say why.
func TestAllowedRegions(t *testing.T) {
	for name, test := range map[string]struct {
		target, key    string
		regions        []string
		eu, us         bool
		rule, mentions string
	}{
		"no list":                 {target: "/free", key: goodKey, regions: []string{"eu", "us"}, eu: true, us: true},
		"route":                   {target: "/eu", key: goodKey, regions: []string{"eu", "us"}, eu: true},
		"account":                 {target: "/free", key: clinicKey, regions: []string{"eu", "us"}, eu: true},
		"both":                    {target: "/eu", key: clinicKey, regions: []string{"eu", "sa"}, eu: true},
		"nothing in common":       {target: "/us", key: clinicKey, regions: []string{"eu", "us"}, rule: "route/POST/us", mentions: "no region is allowed"},
		"no server there":         {target: "/nowhere", key: goodKey, regions: []string{"eu", "us"}, rule: "route/POST/nowhere", mentions: "allowed regions sa\n"},
		"no server for account":   {target: "/free", key: clinicKey, regions: []string{"us", "us"}, rule: "account/clinic", mentions: "allowed regions eu,ap\n"},
		"region unknown":          {target: "/eu", key: goodKey, regions: []string{"", "us"}, rule: "route/POST/eu", mentions: "allowed regions eu,sa\n"},
		"region unknown, no list": {target: "/free", key: goodKey, regions: []string{"", ""}, eu: true, us: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRegionFleet(t, answer)
			f.locate(test.regions...)
			for range 20 {
				got := f.request(0, "POST", test.target, "body", "Buckthorn-Key: "+test.key)
				assert.NilError(t, got.err)
				if test.rule == "" {
					assert.Equal(t, got.body, "body")
					continue
				}
				assert.Equal(t, got.StatusCode, 503)
				assert.Equal(t, got.Header.Get(HeaderReason), "region-not-allowed")
				assert.Equal(t, got.Header.Get(HeaderOutcome), "not-run")
				rule, _, _ := strings.Cut(got.Header.Get(HeaderRule), "@")
				assert.Equal(t, rule, test.rule)
				assert.Assert(t, strings.Contains(got.body, test.mentions), got.body)
			}
			assert.Equal(t, f.runs[1].Load() > 0, test.eu)
			assert.Equal(t, f.runs[2].Load() > 0, test.us)
		})
	}
}

// Guards against a retry that leaves the allowed regions after the server there has lost the request.
func TestRetryStaysInRegion(t *testing.T) {
	f := newRegionFleet(t, func(*regionFleet, int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	got := f.request(0, "GET", "/get", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.Header.Get(HeaderReason), "backend-lost")
	assert.Assert(t, f.runs[1].Load() > 1)
	assert.Equal(t, f.runs[2].Load(), int64(0))
}

// Guards against a download that is resumed from a server outside the allowed regions.
func TestResumeStaysInRegion(t *testing.T) {
	f := newRegionFleet(t, func(_ *regionFleet, _ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", `"v1"`)
		w.Header().Set("Accept-Ranges", "bytes")
		w.Header().Set("Content-Length", "300000")
		_, _ = w.Write(make([]byte, 200<<10))
		panic(http.ErrAbortHandler)
	})
	got := f.request(0, "GET", "/get", "")
	assert.Assert(t, got.err != nil)
	assert.Assert(t, f.runs[1].Load() > 1)
	assert.Equal(t, f.runs[2].Load(), int64(0))
}

// Guards against a list of regions that is narrowed while a request is in progress and ignored by its next send.
func TestNarrowedRegionsApplyToTheNextSend(t *testing.T) {
	f := newRegionFleet(t, func(f *regionFleet, i int, w http.ResponseWriter, _ *http.Request) {
		text := "revision 2 # requested by Ana\nservice reader slots=10 connections=50 # requested by Ana\n" +
			"route GET /both service=reader access=open run=idempotent deadline=1m regions=" + []string{"", "eu", "us"}[i] + " # requested by Ana\n"
		set, err := rules.Parse("rules", []byte(text))
		assert.Check(t, err)
		f.publish(func(s *snap.Snapshot) { s.Rules = set })
		panic(http.ErrAbortHandler)
	})
	got := f.request(0, "GET", "/both", "")
	assert.NilError(t, got.err)
	first, second := f.runs[1].Load(), f.runs[2].Load()
	assert.Assert(t, min(first, second) == 0 && max(first, second) > 1, "%d runs in eu, %d in us", first, second)
}

// Guards against a nested call that leaves the regions of its parent request, or that is bound by those alone.
func TestNestedCallsInheritRegions(t *testing.T) {
	f := newRegionFleet(t, func(f *regionFleet, i int, w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/get":
			for range 20 {
				got := sendNested(f.nodes[i], r, "GET", "/back")
				assert.Check(t, got.err == nil && got.StatusCode == 200)
			}
			got := sendNested(f.nodes[i], r, "GET", "/back-us")
			assert.Check(t, got.err == nil && got.Header.Get(HeaderReason) == "region-not-allowed")
		}
	})
	got := f.request(0, "GET", "/get", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.StatusCode, 200)
	assert.Equal(t, f.runs[1].Load(), int64(21))
	assert.Equal(t, f.runs[2].Load(), int64(0))
}

// Guards against the response of a request with allowed regions in a record that is replicated to all control instances.
func TestResponseInRegionsIsNotStored(t *testing.T) {
	f := newRegionFleet(t, answer)
	control := f.nodes[0].control
	control.once = &state.OnceBegun{}
	for _, target := range []string{"/free", "/eu"} {
		got := f.request(0, "POST", target, "secret", "Buckthorn-Key: "+goodKey, "Idempotency-Key: i")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, "secret")
	}
	free, restricted := control.finished[0].Answer, control.finished[1].Answer
	assert.Equal(t, string(free.Body), "secret")
	assert.Equal(t, control.finished[1].Outcome, state.Answered)
	assert.DeepEqual(t, restricted, answerNotKept())
}
