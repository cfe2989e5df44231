package reach

import (
	"strings"
	"testing"
	"unicode/utf8"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// Guards against a request that leaves its allowed regions, or that reaches a zone under evacuation.
func TestExclude(t *testing.T) {
	evacuated := map[string]snap.Evacuation{"b": {Zone: "b"}}
	for name, test := range map[string]struct {
		policy   Policy
		endpoint snap.Endpoint
		want     Exclusion
	}{
		"no restriction":       {Policy{}, snap.Endpoint{Zone: "a"}, nil},
		"other zone":           {Policy{Evacuated: evacuated}, snap.Endpoint{Zone: "a"}, nil},
		"evacuated zone":       {Policy{Evacuated: evacuated}, snap.Endpoint{Zone: "b"}, EvacuatedZone{Zone: "b"}},
		"allowed region":       {Policy{Restricted: true, Regions: []string{"eu", "us"}}, snap.Endpoint{Region: "us"}, nil},
		"foreign region":       {Policy{Restricted: true, Regions: []string{"eu"}}, snap.Endpoint{Region: "us"}, ForeignRegion{Region: "us"}},
		"unknown region":       {Policy{Restricted: true, Regions: []string{"eu"}}, snap.Endpoint{}, ForeignRegion{}},
		"empty name is listed": {Policy{Restricted: true, Regions: []string{""}}, snap.Endpoint{}, ForeignRegion{}},
		"no common region":     {Policy{Restricted: true}, snap.Endpoint{Region: "eu"}, ForeignRegion{Region: "eu"}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, test.policy.Exclude(&test.endpoint), test.want)
		})
	}
}

// Guards against a request that is allowed in more regions than its route and its client account have in common.
func TestForIntersects(t *testing.T) {
	assert.DeepEqual(t, For(nil), Policy{})
	assert.DeepEqual(t, For(nil, nil, []string{"eu"}), Policy{Restricted: true, Regions: []string{"eu"}})
	assert.DeepEqual(t, For(nil, []string{"eu", "us"}, nil, []string{"us", "ap"}), Policy{Restricted: true, Regions: []string{"us"}})
	assert.DeepEqual(t, For(nil, []string{"eu"}, []string{"us"}), Policy{Restricted: true})
}

// Guards against a refusal that blames the regions for servers that are missing, or names the wrong regions.
func TestRefusal(t *testing.T) {
	allowed := For(nil, []string{"eu", "us"}, []string{"us", "eu", "ap"})
	foreign := []snap.Endpoint{{Region: "sa"}, {}}
	assert.Equal(t, allowed.Refusal(foreign), retry.Failure(retry.RegionNotAllowed{Regions: "eu,us"}))
	assert.Equal(t, allowed.Refusal(nil), retry.Failure(retry.NoBackend{}))
	assert.Equal(t, allowed.Refusal([]snap.Endpoint{{Region: "eu", Leaving: true}}), retry.Failure(retry.NoBackend{}))
	free, disjoint := For(nil), For(nil, []string{"eu"}, []string{"us"})
	assert.Equal(t, free.Refusal(foreign), retry.Failure(retry.NoBackend{}))
	assert.Equal(t, disjoint.Refusal(foreign), retry.Failure(retry.RegionNotAllowed{}))
	long := For(nil, []string{strings.Repeat("é", maxRegionText)})
	failure, _ := long.Refusal(foreign).(retry.RegionNotAllowed)
	assert.Assert(t, len(failure.Regions) <= maxRegionText+len("…") && utf8.ValidString(failure.Regions))
}

// Guards against a cost for requests without allowed regions, which are most: their policy must not allocate.
func TestNoRegionsAllocateNothing(t *testing.T) {
	endpoint := snap.Endpoint{Zone: "a", Region: "eu"}
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		policy := For(nil, nil, nil, nil)
		policy = policy.Narrow(nil)
		policy.Exclude(&endpoint)
	}), 0.0)
}
