package member

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a view of a large service without an instance in a region that the rules name: requests that must stay
// there would be refused although servers could take them.
func TestViewsCoverRegions(t *testing.T) {
	regions := []string{"eu", "us", "sa"}
	r := NewRegistry()
	for i := range 3 * MaxView {
		name := announce(t, r, i, "reader")
		endpoint := instanceOf(name, "reader")
		endpoint.Region = "home"
		if i%8 == 7 { // nine instances
			endpoint.Region = regions[i/8%2]
		}
		if i == 0 {
			endpoint.Region = "sa"
		}
		assert.NilError(t, r.Announce(epoch, name, &Announce{Instance: endpoint, Seq: 2}))
	}
	for i := range 40 {
		caller := fmt.Sprintf("caller-%d", i)
		r.Join(epoch, caller, "az0", 1)
		r.Subscribe(caller, &Subscription{Services: []string{"reader"}, Regions: append(regions, "none")})
	}
	updates, _ := r.Changes(1000)
	assert.Equal(t, len(updates), 40)
	for _, update := range updates {
		counts, ids := map[string]int{}, map[string]bool{}
		for _, e := range update.Change.Set {
			counts[e.Region]++
			ids[e.ID] = true
		}
		assert.Equal(t, len(ids), MaxView)
		assert.Assert(t, counts["eu"] >= minPerRegion && counts["us"] >= minPerRegion && counts["sa"] == 1, "%v", counts)
	}
}

// Guards against views that change where no region is named.
func TestNoRegionsLeaveViewsUnchanged(t *testing.T) {
	r := NewRegistry()
	for i := range 3 * MaxView {
		announce(t, r, i, "reader")
	}
	r.Join(epoch, "caller", "az0", 1)
	r.Subscribe("caller", &Subscription{Services: []string{"reader"}})
	updates, _ := r.Changes(10)
	assert.DeepEqual(t, updates[0].Change.Set, r.View("reader", "caller", "az0"))
}
