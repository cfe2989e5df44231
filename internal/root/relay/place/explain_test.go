package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// testFleet is a balancer of four servers in zone a, one of them not used for a while, and one each in zones b and c.
func testFleet() *Balancer {
	b := New(7)
	list := &snap.Endpoints{Version: 1}
	for i, zone := range []string{"a", "a", "a", "a", "b", "c"} {
		list.Instances = append(list.Instances, snap.Endpoint{ID: fmt.Sprint("s", i), Zone: zone, Slots: 10, Incarnation: uint64(i + 1)})
	}
	b.Update(t0.Add(-time.Minute), list)
	for i, s := range b.servers {
		s.lastUsed = t0
		report := &Report{Slots: 10, Running: 3 * i, Run: 100 * time.Millisecond, MeanRun: 100 * time.Millisecond, Arrivals: 100}
		b.Done(t0, s.endpoint.ID, "r", report, Served{})
	}
	b.servers[3].lastUsed = t0.Add(-time.Minute)
	b.Done(t0, "s1", "r", nil, Failed{})
	return b
}

// Guards against an explanation whose chances differ from what Choose does, the exploration of servers included.
func TestChancesAreThoseOfChoices(t *testing.T) {
	const draws = 20000
	b, now := testFleet(), t0.Add(400*time.Millisecond)
	request := Request{Route: "r", Zone: "a", Reach: reach.Policy{Evacuated: map[string]snap.Evacuation{"c": {Zone: "c"}}}}
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range draws {
		drawn := b.Clone()
		drawn.random = random
		endpoint, ok := drawn.Choose(now, request)
		assert.Assert(t, ok)
		counts[endpoint.ID]++
	}
	total, several := 0.0, 0
	for _, a := range b.Clone().Explain(now, request) {
		observed := float64(counts[a.Endpoint.ID]) / draws
		tolerance := 4 * math.Sqrt(a.Chance*(1-a.Chance)/draws) // four standard deviations, none for a chance of 0 or 1
		assert.Assert(t, math.Abs(a.Chance-observed) <= tolerance+1e-9, "%s: chance %g, observed %g", a.Endpoint.ID, a.Chance, observed)
		total += a.Chance
		if a.Chance > 0 {
			several++
		}
		assert.Equal(t, a.Exclusion != nil, a.Endpoint.ID == "s5")
		assert.Equal(t, a.Explored, a.Endpoint.ID == "s3")
	}
	assert.Assert(t, math.Abs(total-1) < 1e-9 && several >= 3)
}

// Guards against parts of a cost that do not add up to the cost that decides.
func TestCostPartsAddUp(t *testing.T) {
	b, now := testFleet().Clone(), t0.Add(20*time.Millisecond)
	b.servers[0].leaving = true
	b.servers[1].backoffUntil = now.Add(time.Second)
	b.servers[2].report.ColdRate, b.servers[2].report.ColdFor = 1, 5*time.Second
	b.servers[2].sentSinceReport = 3
	b.servers[5].report.Wait = 200 * time.Millisecond
	request := Request{Route: "r", Zone: "a", Remaining: 300 * time.Millisecond, Objective: time.Second}
	list := b.Explain(now, request)
	for i, a := range list {
		assert.Equal(t, a.Cost.Total(), b.candidates[i].Cost)
		assert.Equal(t, a.Age, 20*time.Millisecond)
	}
	assert.Assert(t, list[0].Cost.Leaving > 0 && list[1].Cost.Backoff > 0 && list[1].Cost.Failures > 0)
	assert.Assert(t, list[2].Cost.ColdWait > 0 && list[4].Cost.Zone > 0 && list[5].Cost.Wait > 0 && list[5].Cost.Late > 0)
}

// Guards against an explanation that counts a request, forgets a server or changes statistics.
func TestExplanationChangesNothing(t *testing.T) {
	b, now := testFleet(), t0.Add(400*time.Millisecond)
	before := fmt.Sprintf("%+v", dereference(b))
	clone := b.Clone()
	clone.Update(now, &snap.Endpoints{Version: 2, Instances: []snap.Endpoint{{ID: "other", Zone: "a", Slots: 10, Incarnation: 9}}})
	assert.Equal(t, len(clone.Explain(now, Request{Route: "r", Zone: "a"})), 1)
	assert.Equal(t, fmt.Sprintf("%+v", dereference(b)), before)
}

func dereference(b *Balancer) (list []server) {
	for _, s := range b.servers {
		list = append(list, *s)
	}
	return list
}
