package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

var t0 = time.Unix(1_000_000, 0)

// board returns a board of three servers in zones a, b and c with 10 slots each, all used a moment ago.
func board() *Balancer {
	b := New(7)
	list := &snap.Endpoints{Version: 1}
	for i, zone := range []string{"a", "b", "c"} {
		list.Instances = append(list.Instances, snap.Endpoint{ID: fmt.Sprint("s", i), Zone: zone, Slots: 10, Incarnation: uint64(i + 1)})
	}
	b.Update(t0, list)
	for i := range list.Instances {
		b.servers[i].used = t0
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

// Guards against bytes between availability zones while the own one has room.
func TestPrefersOwnZone(t *testing.T) {
	b := board()
	for range 8 {
		assert.Equal(t, choose(t, b, t0), "s0")
	}
}

// Guards against waiting in the own zone while another one has room.
func TestLeavesOwnZoneWhenItIsFull(t *testing.T) {
	b := board()
	b.Done(t0, "s0", "r", &Report{Slots: 10, Running: 10, Wait: 300 * time.Millisecond, Run: 100 * time.Millisecond}, Refused{})
	assert.Assert(t, choose(t, b, t0) != "s0")
}

// Guards against all daemons sending to one server between two of its reports.
func TestCountsWhatWasSentSinceTheReport(t *testing.T) {
	b := board()
	chosen := map[string]int{}
	for range 40 {
		chosen[choose(t, b, t0)]++
	}
	assert.Assert(t, chosen["s0"] < 30 && chosen["s1"] > 0 && chosen["s2"] > 0, "%v", chosen)
}

// Guards against work for a server that fails its requests while it looks healthy, and against leaving it
// alone for good.
func TestAvoidsFailingServerForAWhile(t *testing.T) {
	b := board()
	for range 10 {
		b.Done(t0, "s0", "r", nil, Failed{})
	}
	assert.Assert(t, choose(t, b, t0) != "s0")
	later := t0.Add(time.Minute)
	assert.Equal(t, choose(t, b, later), "s0")
}

// Guards against a slow server that takes as much work as the others.
func TestAvoidsSlowServer(t *testing.T) {
	b := board()
	for range 20 {
		b.Done(t0, "s0", "r", &Report{Slots: 10, Run: 900 * time.Millisecond}, Served{})
	}
	assert.Assert(t, choose(t, b, t0) != "s0")
}

// Guards against a second send to the same server, and against a choice when none is left.
func TestTriedServersAreLeftOut(t *testing.T) {
	b := board()
	assert.Equal(t, choose(t, b, t0, "s0", "s1"), "s2")
	_, ok := b.Choose(t0, Request{Route: "r", Zone: "a", Tried: []string{"s0", "s1", "s2"}})
	assert.Assert(t, !ok)
}

// Guards against new work for a server that leaves or cannot be reached.
func TestLeavingAndUnreachedServers(t *testing.T) {
	b := board()
	b.Done(t0, "s0", "r", nil, Refused{Leaving: true})
	b.Done(t0, "s1", "r", nil, Unreached{})
	assert.Equal(t, choose(t, b, t0), "s2")
}

// Guards against a new server that nobody sends to because the others are known to be good.
func TestNewServerGetsRequests(t *testing.T) {
	b := board()
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

// Guards against a server that starts again and inherits what was known of its earlier start.
func TestNewStartIsNewOnTheBoard(t *testing.T) {
	b := board()
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

// Guards against staying in the own zone until the deadline is near, for the sake of bytes.
func TestLeavesOwnZoneNearTheDeadline(t *testing.T) {
	b := board()
	for range 20 {
		b.Done(t0, "s0", "r", &Report{Slots: 10, Run: 400 * time.Millisecond}, Served{})
	}
	ask := Request{Route: "r", Zone: "a", Objective: 1500 * time.Millisecond, Remaining: 5 * time.Second, Urgent: true}
	calm, _ := b.Choose(t0, ask)
	assert.Equal(t, calm.ID, "s0")
	ask.Remaining = 500 * time.Millisecond
	hasty, _ := b.Choose(t0, ask)
	assert.Assert(t, hasty.ID != "s0")
}

// Guards against requests that keep trying a machine without power every 0.4 s.
func TestUnreachedServerIsLeftAloneLonger(t *testing.T) {
	b := board()
	now := t0
	for range 4 {
		b.Done(now, "s0", "r", nil, Unreached{})
		b.Done(now, "s0", "r", nil, Unreached{}) // at the same time
		now = b.servers[0].downTill.Add(time.Millisecond)
	}
	assert.Equal(t, now.Sub(t0).Round(100*time.Millisecond), 6*time.Second)
	b.Done(now, "s0", "r", nil, Served{})
	b.Done(now, "s0", "r", nil, Unreached{})
	assert.Equal(t, b.servers[0].downTill.Sub(now), downFor)
}

// Replays a restart: the server of the own zone is slow at first, and all its requests are nested calls, which
// explore nothing. Guards against calls that go to another zone for as long as they last.
func TestServerThatWasSlowIsUsedAgain(t *testing.T) {
	b := board()
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

// Guards against a server that has stopped answering and gets requests until the first of them has failed.
func TestAvoidsServerThatAnswersNothing(t *testing.T) {
	b := board()
	assert.Equal(t, choose(t, b, t0), "s0")
	assert.Equal(t, choose(t, b, t0.Add(200*time.Millisecond)), "s0")
	assert.Assert(t, choose(t, b, t0.Add(400*time.Millisecond)) != "s0")
	b.Done(t0.Add(500*time.Millisecond), "s0", "r", &Report{Slots: 10, Run: 100 * time.Millisecond}, Served{})
	assert.Equal(t, choose(t, b, t0.Add(600*time.Millisecond)), "s0")
}

// Replays an incident: the service has room in another availability zone only, and all who call it are in the
// own one. Guards against callers that are cut back for a wait of two run times while a server stands idle.
func TestUsesRoomElsewhereBeforeCallersAreCutBack(t *testing.T) {
	b := board()
	const run = 20 * time.Millisecond
	ask := Request{Route: "r", Objective: 300 * time.Millisecond, Remaining: 700 * time.Millisecond, Zone: "a", Urgent: true}
	for i, wait := range []time.Duration{2 * run, 2 * run, 0} {
		for range 10 {
			b.Done(t0, fmt.Sprint("s", i), "r", &Report{Slots: 10, Running: 10, Wait: wait, Run: run}, Served{})
		}
	}
	endpoint, _ := b.Choose(t0, ask)
	assert.Equal(t, endpoint.ID, "s2")
	b.Done(t0, "s0", "r", &Report{Slots: 10, Running: 9, Run: 2 * run}, Served{}) // room again, though slower
	endpoint, _ = b.Choose(t0, ask)
	assert.Equal(t, endpoint.ID, "s0")
}

// Replays a service of which one server loses 3 of 100 answers, another is slow and the third has no room
// left. Guards against a server that is left for seconds after a single lost answer, while its callers are
// turned away elsewhere.
func TestServerThatLosesFewAnswersIsUsed(t *testing.T) {
	b := board()
	ask := Request{Route: "r", Objective: 300 * time.Millisecond, Remaining: 700 * time.Millisecond, Zone: "a", Urgent: true}
	reports := map[string]*Report{
		"s0": {Slots: 10, Running: 3, Run: 20 * time.Millisecond},
		"s1": {Slots: 10, Running: 9, Run: 50 * time.Millisecond},
		"s2": {Slots: 10, Running: 10, Run: 20 * time.Millisecond, Wait: 12 * time.Millisecond},
	}
	const requests = 400
	used := 0
	for i := range requests {
		now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
		endpoint, _ := b.Choose(now, ask)
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

// Replays the end of an outage in which all servers failed, the own one most. Guards against requests that go to
// another availability zone for many seconds after the own server answers again.
func TestServerIsUsedAgainSoonAfterItFailed(t *testing.T) {
	b := board()
	ask := Request{Route: "r", Objective: 1500 * time.Millisecond, Remaining: 5 * time.Second, Zone: "a", Urgent: true}
	for range 300 {
		b.Done(t0, "s0", "r", nil, Failed{})
	}
	now, first := t0, time.Duration(0)
	for first == 0 && now.Sub(t0) < 20*time.Second {
		now = now.Add(50 * time.Millisecond)
		endpoint, _ := b.Choose(now, ask)
		if endpoint.ID == "s0" {
			first = now.Sub(t0)
		}
		b.Done(now, endpoint.ID, "r", &Report{Slots: 10, Run: 100 * time.Millisecond}, Served{})
	}
	assert.Assert(t, first > 500*time.Millisecond && first < 5*time.Second, "used again after %s", first)
}
