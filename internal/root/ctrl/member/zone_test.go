package member

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// Guards against a view that is full of instances in a zone under evacuation, so that the daemon has no server although
// other zones have some, and against a view that stays so after the end of the evacuation.
func TestEvacuatedInstancesComeLast(t *testing.T) {
	r := NewRegistry()
	for i := range 2 * MaxView {
		daemon, zone := fmt.Sprintf("127.0.0.%d:7400", i+1), "a"
		if i%2 == 0 {
			zone = "b"
		}
		r.Join(epoch, daemon, zone, 1)
		instance := instanceOf(daemon, "reader")
		instance.Zone = zone
		assert.NilError(t, r.Announce(epoch, daemon, &Announce{Instance: instance, Seq: 1}))
	}
	zonesSeen := func() map[string]int {
		seen := map[string]int{}
		for _, endpoint := range r.View("reader", "127.0.0.1:7400", "b") {
			seen[endpoint.Zone]++
		}
		return seen
	}
	r.Subscribe("127.0.0.1:7400", &Subscription{Services: []string{"reader"}})
	r.Changes(100)
	assert.DeepEqual(t, r.Zones(), map[string]int{"a": MaxView, "b": MaxView})
	assert.DeepEqual(t, zonesSeen(), map[string]int{"b": MaxView})
	r.SetEvacuated(map[string]snap.Evacuation{"b": {Zone: "b"}})
	assert.DeepEqual(t, zonesSeen(), map[string]int{"a": MaxView})
	changes, _ := r.Changes(100)
	assert.Equal(t, len(changes), 1)
	r.SetEvacuated(nil)
	assert.DeepEqual(t, zonesSeen(), map[string]int{"b": MaxView})
}
