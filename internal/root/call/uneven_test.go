package call

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/picker"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// sumOf returns the sum of a counter over its labels.
func sumOf(t *testing.T, m *meter.Meter, name string) int {
	t.Helper()
	families, err := m.Registry.Gather()
	assert.NilError(t, err)
	sum := 0
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() == name {
				sum += int(metric.GetCounter().GetValue())
			}
		}
	}
	return sum
}

// Guards against a refusal by a full server that is not counted when another server answers, and against counting one
// after which none does.
func TestUnevenRefusals(t *testing.T) {
	for answered, want := range map[bool]int{true: 1, false: 0} {
		f := newFleet(t, 1, clock.Real{}, outcomeRules)
		calls := 0
		startFakePeer(t, f, 2, func(stream *link.Stream) {
			calls++ // of one request, one after another
			_, _ = readHead(stream)
			if calls == 1 || !answered {
				_ = wire.WriteMessage(stream, kindRefusal, &Refusal{Reason: "queue-full", Outcome: "not-run"})
				return
			}
			_ = wire.WriteMessage(stream, kindResponseHead, &ResponseHead{Status: 200})
			_ = wire.WriteMessage(stream, kindResponseEnd, &ResponseEnd{})
		})
		got := f.request(0, "GET", "/open", "")
		assert.NilError(t, got.err)
		assert.Equal(t, got.StatusCode == 200, answered)
		assert.Equal(t, sumOf(t, f.nodes[0].Meter, "buckthorn_uneven_refusals_total"), want)
	}
}

// Guards against random choices that are not counted.
func TestRandomChoicesAreCounted(t *testing.T) {
	now := time.Now()
	f := &Forwarder{Meter: meter.New()}
	instances := picker.New("a", 1)
	instances.Update(now, []snap.Endpoint{{ID: "0", Zone: "a", Incarnation: 1}, {ID: "1", Zone: "a", Incarnation: 2}})
	random := 0
	for range 100 {
		instances.Done(now, "0", picker.Responded{Latency: 10 * time.Millisecond, Load: 0.5})
		instances.Done(now, "1", picker.Responded{Latency: 11 * time.Millisecond, Load: 0.5})
		choice, ok := f.pick(instances, now, &Request{Route: &rules.Route{Service: "reader"}}, nil, reach.Policy{})
		assert.Assert(t, ok)
		if choice.ID == "1" {
			random++
		}
	}
	assert.Assert(t, random > 10 && random < 90, "%d of 100", random)
	assert.Equal(t, sumOf(t, f.Meter, "buckthorn_random_choices_total"), random)
}
