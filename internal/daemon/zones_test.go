package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

// Guards against an evacuation that does not end the requests to a zone while callers press, that ends with the
// processes that accepted it, and against requests that fail although another zone has a server, or run twice.
func TestEvacuationAcrossProcesses(t *testing.T) {
	f := newFleet(t, 3, 2, testRules(1, "Ana", "")) // d1 is in zone-a, d2 in zone-b
	servers := []*backend{newBackend(t, f.daemons["d1"], "library", echo), newBackend(t, f.daemons["d2"], "library", echo)}
	c := newCaller()
	runs := func(id string) (counts [2]int) {
		for i, server := range servers {
			counts[i] = server.count("POST", "/kudos/"+id)
		}
		return counts
	}
	served := func(ingress, id string) bool {
		return c.send(f.daemons[ingress], "POST", "/kudos/"+id, "reader-key", "").status == http.StatusOK
	}
	// A slow machine may end the lease of a daemon; it then refuses requests with a key for another reason.
	stale := func(result callResult) bool {
		return result.outcome() == "not-run" && (result.reason() == "stale-config" || result.reason() == "rate-unavailable")
	}
	for i, name := range []string{"d1", "d2"} {
		id := fmt.Sprint("before-", i)
		f.eventually("a request at "+name, func() bool { return served(name, id) && runs(id)[i] > 0 })
	}
	var pressing sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	pressing.Go(func() {
		own := newCaller()
		for n := 0; ctx.Err() == nil; n++ {
			id := fmt.Sprint("pressed-", n)
			result := own.send(f.daemons["d1"], "POST", "/kudos/"+id, "reader-key", "")
			if counts := runs(id); !stale(result) && (result.status != http.StatusOK || counts[0]+counts[1] != 1) {
				t.Errorf("%s: status %d, reason %q, runs %v", id, result.status, result.reason(), counts)
			}
		}
	})
	client := f.daemons["d2"].client()
	ordered, err := client.EvacuateZone(context.Background(), admin.ZoneOrder{Zone: "zone-a", Requester: "Ana", Reason: "flood"})
	assert.NilError(t, err)
	assert.Assert(t, ordered.Evacuated && ordered.Index > 0)
	for _, name := range []string{"d1", "d2"} {
		f.eventually("the list at "+name, func() bool {
			dump, err := f.daemons[name].client().Dump(context.Background(), "zones")
			return err == nil && len(dump.Sections[0].Rows) == 1
		})
	}
	stop()
	pressing.Wait()
	requireOnly := func(round string, want [2]int) {
		t.Helper()
		for n := range 20 {
			id := fmt.Sprint(round, "-", n)
			f.eventually(id, func() bool {
				result := c.send(f.daemons[[]string{"d1", "d2"}[n%2]], "POST", "/kudos/"+id, "reader-key", "")
				assert.Assert(t, result.status == http.StatusOK || stale(result), "%s: status %d, reason %q, error %v", id, result.status, result.reason(), result.err)
				return result.status == http.StatusOK
			})
			assert.Equal(t, runs(id), want, id)
		}
	}
	requireOnly("evacuated", [2]int{0, 1})
	for _, name := range []string{"c1", "c2", "c3"} {
		f.daemons[name].kill()
	}
	for _, name := range []string{"c1", "c2", "c3"} {
		f.daemons[name].start()
	}
	f.daemons["d1"].kill()
	f.daemons["d1"].start()
	f.waitForRevision(1)
	f.eventually("a request at d1", func() bool { return served("d1", "restarted") })
	requireOnly("restarted", [2]int{0, 1})
	zones, err := client.Zones(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(zones.Zones), 1)
	assert.Equal(t, zones.Zones[0].Requester+": "+zones.Zones[0].Reason, "Ana: flood")
	_, err = client.RestoreZone(context.Background(), admin.ZoneOrder{Zone: "zone-a", Requester: "Lou"})
	assert.NilError(t, err)
	attempt := 0
	f.eventually("requests in zone-a again", func() bool {
		attempt++
		id := fmt.Sprint("after-", attempt)
		return served("d1", id) && runs(id)[0] == 1
	})
}
