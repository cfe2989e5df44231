package picker

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

var start = time.Unix(1_000_000, 0)

// fleet returns n instances, spread over availability zones a, b and c in turn.
func fleet(n int) []snap.Endpoint {
	var endpoints []snap.Endpoint
	for i := range n {
		endpoints = append(endpoints, snap.Endpoint{ID: fmt.Sprint(i), Zone: string(rune('a' + i%3)), Slots: 100, Connections: 500, Incarnation: 1})
	}
	return endpoints
}

func newPicker(zone string, endpoints []snap.Endpoint) *Picker {
	p := New(zone, 1)
	p.Update(start, endpoints)
	return p
}

// countPicks picks n times, ends each call with the given result, and counts the picks by instance.
func countPicks(p *Picker, now time.Time, n int, result func(id string) Result) map[string]int {
	picks := map[string]int{}
	for range n {
		endpoint, ok := p.Pick(now, Request{})
		if ok {
			picks[endpoint.ID]++
			p.Done(now, endpoint.ID, result(endpoint.ID))
		}
		now = now.Add(time.Millisecond)
	}
	return picks
}

func success(string) Result { return Responded{Latency: 10 * time.Millisecond, Load: 0.5} }

// Guards against calls to an instance that is leaving according to the registry or to its own refusal.
func TestLeavingIsNeverChosen(t *testing.T) {
	endpoints := fleet(3)
	endpoints[0].Leaving = true
	p := newPicker("a", endpoints)
	p.Done(start, "1", Refused{Draining: true})
	assert.DeepEqual(t, countPicks(p, start, 100, success), map[string]int{"2": 100})
	endpoints[1].Leaving, endpoints[2].Leaving = true, true
	p.Update(start, endpoints)
	_, ok := p.Pick(start, Request{})
	assert.Assert(t, !ok, "no instance may be chosen if all are leaving")
	_, ok = New("a", 1).Pick(start, Request{})
	assert.Assert(t, !ok)
}

// Guards against using an instance that keeps failing, and against ejecting so many that the rest is overloaded.
func TestEjectionOfAtMostHalf(t *testing.T) {
	p := newPicker("x", fleet(4))
	for _, id := range []string{"0", "1", "2", "3"} {
		for range ejectFailures {
			p.Done(start, id, Failed{})
		}
	}
	picks := countPicks(p, start, 200, success)
	assert.Equal(t, picks["2"]+picks["3"], 200, "picks %v", picks)

	one := newPicker("x", fleet(1))
	for range 3 * ejectFailures {
		one.Done(start, "0", Failed{})
	}
	assert.Equal(t, countPicks(one, start, 10, success)["0"], 10, "a single instance is never ejected")
}

// Guards against an ejected instance that gets full traffic before its first response, and against ejections
// that do not grow or exceed 30 s.
func TestEjectionDoublesAndProbes(t *testing.T) {
	p := newPicker("x", fleet(2))
	in := p.instances[0]
	now := start
	for _, seconds := range []int{1, 2, 4, 8, 16, 30, 30} {
		for range ejectFailures {
			p.Done(now, "0", Failed{})
		}
		assert.Equal(t, in.ejectedUntil.Sub(now), time.Duration(seconds)*time.Second)
		assert.Equal(t, countPicks(p, now, 50, success)["0"], 0)
		now = in.ejectedUntil
	}
	probes := 0
	for range 100 {
		if endpoint, _ := p.Pick(now, Request{Tried: []string{"1"}}); endpoint.ID == "0" {
			probes++
		}
	}
	assert.Equal(t, probes, 1, "one call at a time until the first response")
	p.Done(now, "0", success(""))
	assert.Assert(t, !in.probation && in.ejections == 0)
}

// Guards against refusing calls when all instances are ejected or were tried.
func TestLastResortChoosesAmongAll(t *testing.T) {
	endpoints := fleet(4)
	p := newPicker("x", endpoints)
	for _, id := range []string{"0", "1"} {
		for range ejectFailures {
			p.Done(start, id, Failed{})
		}
	}
	p.Update(start, endpoints[:2])
	assert.Equal(t, len(countPicks(p, start, 100, func(string) Result { return Canceled{} })), 2, "all are ejected")
	endpoint, ok := newPicker("x", endpoints).Pick(start, Request{Tried: []string{"0", "1", "3"}})
	assert.Assert(t, ok && endpoint.ID == "2")
	_, ok = newPicker("x", endpoints).Pick(start, Request{Tried: []string{"0", "1", "2", "3"}})
	assert.Assert(t, ok, "all were tried")
}

// Guards against a new incarnation that inherits the statistics of the previous one, and against full load on
// cold caches.
func TestNewIncarnationStartsSlowly(t *testing.T) {
	endpoints := fleet(2)
	p := newPicker("x", endpoints)
	for range ejectFailures {
		p.Done(start, "0", Failed{Latency: time.Second})
	}
	endpoints[0].Incarnation, endpoints[0].Started = 2, wire.Stamp(start.UnixNano())
	p.Update(start, endpoints)
	count := func(now time.Time) (picks int) {
		for range 200 { // calls that stay in flight, so that the cost divides them
			endpoint, _ := p.Pick(now, Request{})
			if endpoint.ID == "0" {
				picks++
			}
		}
		for range 200 {
			p.Done(now, "0", Canceled{})
			p.Done(now, "1", Canceled{})
		}
		return picks
	}
	assert.Assert(t, p.instances[0].failures == 0 && p.instances[0].latency == 0)
	early, half, late := count(start.Add(time.Second)), count(start.Add(5*time.Second)), count(start.Add(slowStart))
	assert.Assert(t, early < 30 && half > 50 && half < 90 && late > 90, "picks %d, %d, %d of 200", early, half, late)
	p.Update(start, endpoints[:1])
	assert.Assert(t, p.instances[0].endpoint.ID == "0" && !p.instances[0].errorsAt.After(start), "the rest is kept")
}

// Guards against unnecessary calls to other availability zones, and against preferring the local zone while it is
// overloaded or slow and others are not.
func TestLocalZoneFirst(t *testing.T) {
	p := newPicker("b", fleet(6))
	picks := countPicks(p, start, 300, success)
	assert.Assert(t, picks["1"]+picks["4"] >= 290, "picks %v", picks) // the rest are explorations

	busy := func(id string) Result {
		if id == "1" || id == "4" {
			return Responded{Latency: 10 * time.Millisecond, Load: 0.95}
		}
		return success(id)
	}
	picks = countPicks(p, start, 600, busy)
	assert.Assert(t, picks["1"]+picks["4"] < 450, "picks %v", picks)

	slow := newPicker("b", fleet(3))
	oneSlow := func(id string) Result {
		if id == "1" {
			return Responded{Latency: 200 * time.Millisecond, Load: 0.1}
		}
		return success(id)
	}
	countPicks(slow, start, 10*explorationPeriod, oneSlow) // samples the latency of the other zones
	picks = countPicks(slow, start.Add(2*time.Second), 600, oneSlow)
	assert.Assert(t, picks["1"] < 60, "picks %v", picks)
}

// Guards against instances that refuse or fail calls getting as many as those that respond.
func TestErrorsReduceCalls(t *testing.T) {
	p := newPicker("x", fleet(3))
	picks := countPicks(p, start, 600, func(id string) Result {
		if id == "0" {
			return Refused{Load: 1}
		}
		return success(id)
	})
	assert.Assert(t, picks["0"] > 0 && picks["0"] < 60, "picks %v", picks)
	assert.Assert(t, countPicks(p, start.Add(time.Minute), 300, success)["0"] > 60, "errors decay")
}

// Guards against more concurrent calls than the backend server accepts connections.
func TestConnectionLimit(t *testing.T) {
	endpoints := fleet(2)
	endpoints[0].Connections, endpoints[1].Connections = 5, 7
	p := newPicker("x", endpoints)
	picks := map[string]int{}
	for range 12 {
		endpoint, _ := p.Pick(start, Request{})
		picks[endpoint.ID]++
	}
	assert.DeepEqual(t, picks, map[string]int{"0": 5, "1": 7})
}

// Guards against an update of the subset that loses the statistics of the instances that stay.
func TestSubsetKeepsStatistics(t *testing.T) {
	endpoints := fleet(30)
	p := newPicker("x", endpoints[:24])
	countPicks(p, start, 500, success)
	p.Done(start, "20", Failed{})
	p.Update(start, endpoints[6:])
	assert.Equal(t, len(p.instances), 24)
	for _, in := range p.instances {
		if in.endpoint.ID == "20" {
			assert.Equal(t, in.failures, 1)
		}
	}
	assert.Equal(t, len(countPicks(p, start.Add(time.Minute), 3000, success)), 24)
}

// Guards against calls that wait at busy instances while another one is idle, and against all daemons choosing that
// one when the instances report that calls of others fill them.
func TestIdleInstanceIsChosen(t *testing.T) {
	p := newPicker("x", fleet(8))
	for _, in := range p.instances[:7] {
		in.inFlight = 3
	}
	for range 50 {
		endpoint, _ := p.Pick(start, Request{})
		assert.Equal(t, endpoint.ID, "7")
		p.Done(start, "7", Canceled{})
	}
	for _, in := range p.instances {
		in.inFlight, in.load, in.loadAt = in.inFlight/3, 1, start
	}
	picks := map[string]int{}
	for range 800 {
		endpoint, _ := p.Pick(start, Request{})
		picks[endpoint.ID]++
		p.Done(start, endpoint.ID, Canceled{})
	}
	assert.Assert(t, len(picks) == 8 && picks["7"] < 200, "%v", picks)
}

// Guards against calls that leave the availability zone because the local instance that was chosen at random is slow,
// while another one there is as fast as those of other zones.
func TestSlowLocalInstanceSendsNothingAway(t *testing.T) {
	p := newPicker("a", []snap.Endpoint{
		{ID: "0", Zone: "a", Slots: 10, Incarnation: 1}, {ID: "1", Zone: "a", Slots: 10, Incarnation: 2}, {ID: "2", Zone: "b", Slots: 10, Incarnation: 3},
	})
	for i, in := range p.instances {
		in.started, in.latency = time.Time{}, float64([]time.Duration{10, 25, 10}[i]*time.Millisecond)
		in.load, in.loadAt = 0.2, start
	}
	away := 0
	for range 20 * explorationPeriod {
		endpoint, _ := p.Pick(start, Request{})
		if endpoint.Zone != "a" {
			away++
		}
		p.Done(start, endpoint.ID, Canceled{})
	}
	assert.Assert(t, away < 60, "%d calls to the other zone", away) // about 20 are explorations
}

func BenchmarkPickDone(b *testing.B) {
	for _, n := range []int{3, 24} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPicker("a", fleet(n))
			exclude := []string{"7"}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				endpoint, _ := p.Pick(now, Request{Tried: exclude})
				p.Done(now, endpoint.ID, success(""))
				now = now.Add(time.Microsecond)
			}
		})
	}
}
