package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

var t0 = time.Unix(1_000_000, 0)

// newBalancer returns a balancer of three servers in zones a, b and c with 10 slots each, all used at t0.
func newBalancer() *Balancer {
	b := New(7)
	list := &snap.Endpoints{Version: 1}
	for i, zone := range []string{"a", "b", "c"} {
		list.Instances = append(list.Instances, snap.Endpoint{ID: fmt.Sprint("s", i), Zone: zone, Slots: 10, Incarnation: uint64(i + 1)})
	}
	b.Update(t0, list)
	for i := range list.Instances {
		b.servers[i].lastUsed = t0
		b.Done(t0, fmt.Sprint("s", i), "r", &Report{Slots: 10, Run: 100 * time.Millisecond}, Served{})
	}
	return b
}

func choose(t *testing.T, b *Balancer, now time.Time, tried ...string) string {
	t.Helper()
	endpoint, ok := b.Choose(now, Request{Route: "r", Zone: "a", Tried: tried, Urgent: true})
	assert.Assert(t, ok)
	return endpoint.ID
}

// Guards against traffic between availability zones while the local one has free slots.
func TestPrefersLocalZone(t *testing.T) {
	b := newBalancer()
	for range 8 {
		assert.Equal(t, choose(t, b, t0), "s0")
	}
}

// Guards against waiting in the local zone while another one has free slots.
func TestLeavesLocalZoneWhenItIsFull(t *testing.T) {
	b := newBalancer()
	b.Done(t0, "s0", "r", &Report{Slots: 10, Running: 10, Wait: 300 * time.Millisecond, Run: 100 * time.Millisecond}, Refused{})
	assert.Assert(t, choose(t, b, t0) != "s0")
}

// Guards against sending all requests to one server between two of its reports.
func TestCountsRequestsSentSinceTheReport(t *testing.T) {
	b := newBalancer()
	chosen := map[string]int{}
	for range 40 {
		chosen[choose(t, b, t0)]++
	}
	assert.Assert(t, chosen["s0"] < 30 && chosen["s1"] > 0 && chosen["s2"] > 0, "%v", chosen)
}

// Guards against using a server that fails its requests although its load reports look healthy, and against
// never using it again.
func TestAvoidsFailingServerForAWhile(t *testing.T) {
	b := newBalancer()
	for range 10 {
		b.Done(t0, "s0", "r", nil, Failed{})
	}
	assert.Assert(t, choose(t, b, t0) != "s0")
	later := t0.Add(time.Minute)
	assert.Equal(t, choose(t, b, later), "s0")
}

// Guards against a slow server that gets as many requests as the others.
func TestAvoidsSlowServer(t *testing.T) {
	b := newBalancer()
	for range 20 {
		b.Done(t0, "s0", "r", &Report{Slots: 10, Run: 900 * time.Millisecond}, Served{})
	}
	assert.Assert(t, choose(t, b, t0) != "s0")
}

// Guards against retrying at the same server, and against choosing one when all were tried.
func TestTriedServersAreExcluded(t *testing.T) {
	b := newBalancer()
	assert.Equal(t, choose(t, b, t0, "s0", "s1"), "s2")
	_, ok := b.Choose(t0, Request{Route: "r", Zone: "a", Tried: []string{"s0", "s1", "s2"}})
	assert.Assert(t, !ok)
}

// Guards against new requests to a server that is leaving or cannot be reached.
func TestLeavingAndUnreachedServers(t *testing.T) {
	b := newBalancer()
	b.Done(t0, "s0", "r", nil, Refused{Leaving: true})
	b.Done(t0, "s1", "r", nil, Unreached{})
	assert.Equal(t, choose(t, b, t0), "s2")
}

// Guards against a new server that gets no requests because the statistics of the others are good.
func TestNewServerGetsRequests(t *testing.T) {
	b := newBalancer()
	list := &snap.Endpoints{Version: 2}
	for _, s := range b.servers {
		list.Instances = append(list.Instances, s.endpoint)
	}
	list.Instances = append(list.Instances, snap.Endpoint{ID: "new", Zone: "c", Slots: 10, Incarnation: 9})
	b.Update(t0, list)
	seen := false
	for i := range 100 {
		now := t0.Add(time.Second + time.Duration(i)*20*time.Millisecond)
		endpoint, _ := b.Choose(now, Request{Route: "r", Zone: "a"})
		b.Done(now, endpoint.ID, "r", &Report{Slots: 10, Run: 100 * time.Millisecond}, Served{})
		seen = seen || endpoint.ID == "new"
	}
	assert.Assert(t, seen)
}

// Guards against a restarted server that inherits the statistics of its previous incarnation.
func TestNewIncarnationHasNewStatistics(t *testing.T) {
	b := newBalancer()
	for range 10 {
		b.Done(t0, "s0", "r", nil, Failed{})
	}
	list := &snap.Endpoints{Version: 2}
	for _, s := range b.servers {
		list.Instances = append(list.Instances, s.endpoint)
	}
	list.Instances[0].Incarnation = 99
	b.Update(t0, list)
	assert.Equal(t, choose(t, b, t0), "s0")
}

// Guards against missing the deadline to avoid traffic between availability zones.
func TestLeavesLocalZoneNearTheDeadline(t *testing.T) {
	b := newBalancer()
	for range 20 {
		b.Done(t0, "s0", "r", &Report{Slots: 10, Run: 400 * time.Millisecond}, Served{})
	}
	request := Request{Route: "r", Zone: "a", Objective: 1500 * time.Millisecond, Remaining: 5 * time.Second, Urgent: true}
	early, _ := b.Choose(t0, request)
	assert.Equal(t, early.ID, "s0")
	request.Remaining = 500 * time.Millisecond
	urgent, _ := b.Choose(t0, request)
	assert.Assert(t, urgent.ID != "s0")
}

// Guards against requests that try a machine without power every 0.4 s.
func TestBackoffOfUnreachedServerGrows(t *testing.T) {
	b := newBalancer()
	now := t0
	for range 4 {
		b.Done(now, "s0", "r", nil, Unreached{})
		b.Done(now, "s0", "r", nil, Unreached{}) // in flight together with the first
		now = b.servers[0].backoffUntil.Add(time.Millisecond)
	}
	assert.Equal(t, now.Sub(t0).Round(100*time.Millisecond), 6*time.Second)
	b.Done(now, "s0", "r", nil, Served{})
	b.Done(now, "s0", "r", nil, Unreached{})
	assert.Equal(t, b.servers[0].backoffUntil.Sub(now), minBackoff)
}

// Simulates a restart: the server of the local zone is slow at first, and all its requests are nested calls,
// which explore no servers. Guards against nested calls that go to another zone for good.
func TestServerThatWasSlowIsUsedAgain(t *testing.T) {
	b := newBalancer()
	b.Done(t0, "s0", "r", &Report{Slots: 10, Run: 600 * time.Millisecond}, Served{})
	now, first := t0, time.Duration(0)
	for first == 0 && now.Sub(t0) < 20*time.Second {
		now = now.Add(20 * time.Millisecond)
		id := choose(t, b, now)
		if id == "s0" {
			first = now.Sub(t0)
		}
		b.Done(now, id, "r", &Report{Slots: 10, Run: 100 * time.Millisecond}, Served{})
	}
	assert.Assert(t, first > 500*time.Millisecond && first < 4*time.Second, "used again after %s", first)
}

// Guards against a server that has stopped responding and gets requests until the first of them has failed.
func TestAvoidsServerThatStoppedResponding(t *testing.T) {
	b := newBalancer()
	assert.Equal(t, choose(t, b, t0), "s0")
	assert.Equal(t, choose(t, b, t0.Add(200*time.Millisecond)), "s0")
	assert.Assert(t, choose(t, b, t0.Add(400*time.Millisecond)) != "s0")
	b.Done(t0.Add(500*time.Millisecond), "s0", "r", &Report{Slots: 10, Run: 100 * time.Millisecond}, Served{})
	assert.Equal(t, choose(t, b, t0.Add(600*time.Millisecond)), "s0")
}

// Reproduces an incident: the service has free slots in another availability zone only, and all its callers are
// in the local one. Guards against a wait of two run times, which makes the callers limit their own requests,
// while a server in the other zone is idle.
func TestUsesFreeSlotsElsewhereBeforeCallersAreLimited(t *testing.T) {
	b := newBalancer()
	const run = 20 * time.Millisecond
	request := Request{Route: "r", Objective: 300 * time.Millisecond, Remaining: 700 * time.Millisecond, Zone: "a", Urgent: true}
	for i, wait := range []time.Duration{2 * run, 2 * run, 0} {
		for range 10 {
			b.Done(t0, fmt.Sprint("s", i), "r", &Report{Slots: 10, Running: 10, Wait: wait, Run: run}, Served{})
		}
	}
	endpoint, _ := b.Choose(t0, request)
	assert.Equal(t, endpoint.ID, "s2")
	b.Done(t0, "s0", "r", &Report{Slots: 10, Running: 9, Run: 2 * run}, Served{}) // free slots again, though slower
	endpoint, _ = b.Choose(t0, request)
	assert.Equal(t, endpoint.ID, "s0")
}

// Simulates a service of which one server loses 3 of 100 responses, another is slow and the third has no free
// slots. Guards against avoiding a server for seconds after a single lost response, while its callers are
// refused elsewhere.
func TestServerThatLosesFewResponsesIsUsed(t *testing.T) {
	b := newBalancer()
	request := Request{Route: "r", Objective: 300 * time.Millisecond, Remaining: 700 * time.Millisecond, Zone: "a", Urgent: true}
	reports := map[string]*Report{
		"s0": {Slots: 10, Running: 3, Run: 20 * time.Millisecond},
		"s1": {Slots: 10, Running: 9, Run: 50 * time.Millisecond},
		"s2": {Slots: 10, Running: 10, Run: 20 * time.Millisecond, Wait: 12 * time.Millisecond},
	}
	const requests = 400
	used := 0
	for i := range requests {
		now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
		endpoint, _ := b.Choose(now, request)
		if endpoint.ID == "s0" {
			used++
		}
		if endpoint.ID == "s0" && used%33 == 10 {
			b.Done(now, endpoint.ID, "r", nil, Failed{})
			continue
		}
		b.Done(now, endpoint.ID, "r", reports[endpoint.ID], Served{})
	}
	assert.Assert(t, used > requests*9/10, "%d of %d requests", used, requests)
}

// Simulates the end of an outage in which all servers failed, the local one most. Guards against requests that
// go to another availability zone for many seconds after the local server has recovered.
func TestServerIsUsedAgainSoonAfterItFailed(t *testing.T) {
	b := newBalancer()
	request := Request{Route: "r", Objective: 1500 * time.Millisecond, Remaining: 5 * time.Second, Zone: "a", Urgent: true}
	for range 300 {
		b.Done(t0, "s0", "r", nil, Failed{})
	}
	now, first := t0, time.Duration(0)
	for first == 0 && now.Sub(t0) < 20*time.Second {
		now = now.Add(50 * time.Millisecond)
		endpoint, _ := b.Choose(now, request)
		if endpoint.ID == "s0" {
			first = now.Sub(t0)
		}
		b.Done(now, endpoint.ID, "r", &Report{Slots: 10, Run: 100 * time.Millisecond}, Served{})
	}
	assert.Assert(t, first > 500*time.Millisecond && first < 5*time.Second, "used again after %s", first)
}

// newZone returns a balancer of servers with 10 slots in the zone of the requests, whose reports have the given age.
func newZone(seed uint64, age time.Duration, reports ...Report) *Balancer {
	b := New(seed)
	list := &snap.Endpoints{Version: 1}
	for i := range reports {
		list.Instances = append(list.Instances, snap.Endpoint{ID: fmt.Sprint("s", i), Zone: "a", Slots: 10, Incarnation: uint64(i + 1)})
	}
	b.Update(t0, list)
	for i := range reports {
		b.Done(t0.Add(-age), fmt.Sprint("s", i), "r", &reports[i], Served{})
	}
	return b
}

// Guards against many daemons that all send to the server that looked best in reports of some age, while another
// one is nearly as good.
func TestDaemonsWithTheSameReportsChooseDifferently(t *testing.T) {
	chosen := map[string]int{}
	for seed := range uint64(100) {
		b := newZone(seed, 200*time.Millisecond,
			Report{Slots: 10, Running: 4, Run: 95 * time.Millisecond, Arrivals: 60},
			Report{Slots: 10, Running: 6, Run: 105 * time.Millisecond, Arrivals: 60})
		chosen[choose(t, b, t0)]++
	}
	assert.Assert(t, chosen["s0"] >= 35 && chosen["s1"] >= 35, "%v", chosen)
}

// Guards against requests of all daemons to a server that was full in its last report, as soon as the report is
// old, and against a server that counts as full for good.
func TestServerWithOldReportIsNotIdle(t *testing.T) {
	reports := []Report{
		{Slots: 10, Running: 10, Wait: 100 * time.Millisecond, Run: 100 * time.Millisecond, Arrivals: 120},
		{Slots: 10, Running: 5, Run: 110 * time.Millisecond, Arrivals: 50},
	}
	used := func(age time.Duration) int {
		n := 0
		for seed := range uint64(100) {
			if choose(t, newZone(seed, age, reports...), t0) == "s0" {
				n++
			}
		}
		return n
	}
	assert.Assert(t, used(0) == 0)
	for _, age := range []time.Duration{750 * time.Millisecond, 10 * time.Second} {
		n := used(age) // by capacity, which is nearly equal
		assert.Assert(t, n >= 35 && n <= 65, "%d of 100 after %s", n, age)
	}
}

// Guards against requests of a slow route that leave the availability zone while its servers have free slots: the many
// requests of a fast route there were expected to stay as long as those of the slow one.
func TestSlowRouteStaysInZone(t *testing.T) {
	for _, age := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
		for seed := range uint64(20) {
			b := New(seed)
			list := &snap.Endpoints{Version: 1}
			for i, zone := range []string{"a", "a", "b"} {
				list.Instances = append(list.Instances, snap.Endpoint{ID: fmt.Sprint("s", i), Zone: zone, Slots: 10, Incarnation: uint64(i + 1)})
			}
			b.Update(t0, list)
			for _, id := range []string{"s0", "s1"} {
				b.Done(t0.Add(-age), id, "slow", &Report{Slots: 9, Running: 4, Run: 2 * time.Second, MeanRun: 13 * time.Millisecond, Arrivals: 300}, Served{})
			}
			endpoint, _ := b.Choose(t0, Request{Route: "slow", Zone: "a", Urgent: true, Objective: 3 * time.Second, Remaining: 10 * time.Second})
			assert.Equal(t, endpoint.Zone, "a", "reports %s old", age)
		}
	}
}

// Guards against allocations in each choice.
func TestChooseDoesNotAllocate(t *testing.T) {
	b := newBalancer()
	allocations := testing.AllocsPerRun(100, func() {
		endpoint, _ := b.Choose(t0, Request{Route: "r", Zone: "a", Urgent: true})
		b.Done(t0, endpoint.ID, "r", nil, Served{})
	})
	assert.Equal(t, allocations, 0.0)
}

func BenchmarkChooseDone(b *testing.B) {
	for _, n := range []int{4, 30} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer := newZone(1, 100*time.Millisecond, make([]Report, n)...)
			report := &Report{Slots: 10, Running: 5, Run: 100 * time.Millisecond, Arrivals: 50}
			b.ReportAllocs()
			for b.Loop() {
				endpoint, _ := balancer.Choose(t0, Request{Route: "r", Zone: "a", Urgent: true})
				balancer.Done(t0, endpoint.ID, "r", report, Served{})
			}
		})
	}
}
