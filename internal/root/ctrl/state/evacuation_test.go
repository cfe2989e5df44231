package state

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

func evacuate(zone string, at wire.Stamp) *OrderZone {
	return &OrderZone{Zone: zone, Requester: "Ana", Reason: "flood", Evacuate: true, At: at}
}

func restore(zone string, at wire.Stamp) *OrderZone {
	return &OrderZone{Zone: zone, Requester: "Lou", At: at}
}

func zonesOf(m *Machine) []string {
	var zones []string
	for _, e := range m.Evacuations {
		zones = append(zones, e.Zone)
	}
	return zones
}

// Guards against an evacuation that is lost in a snapshot, whose requester a repeated order replaces, or whose end
// leaves the version as it was, so that daemons keep the older list.
func TestOrdersTakeEffectInLogOrder(t *testing.T) {
	m, index, version := New(validate), uint64(0), uint64(0)
	apply := func(c *OrderZone, changed bool, zones ...string) {
		t.Helper()
		index++
		assert.DeepEqual(t, applyEncoded(t, m, index, c), Result(&ZoneOrdered{Order: c, Changed: changed}))
		assert.DeepEqual(t, zonesOf(m), zones)
		assert.Assert(t, m.EvacuationVersion > version)
		version = m.EvacuationVersion
		m = snapshotAndRestore(t, m)
	}
	apply(evacuate("b", 10), true, "b")
	apply(evacuate("a", 20), true, "a", "b")
	again := evacuate("b", 30)
	again.Requester = "Lou"
	apply(again, false, "a", "b")
	assert.DeepEqual(t, m.Evacuations[1], snap.Evacuation{Zone: "b", Requester: "Ana", Reason: "flood", Since: 10})
	apply(restore("b", 30), true, "a")
	apply(restore("b", 30), false, "a")
	apply(evacuate("b", 25), true, "a", "b") // the clock of another leader is behind
	assert.Equal(t, m.Evacuations[1].Since, wire.Stamp(30))
}

// Guards against a list without a limit, and against an order that repeats or ends an evacuation and is refused
// because the limit is reached.
func TestEvacuationLimit(t *testing.T) {
	m := New(validate)
	for i := range MaxEvacuations {
		m.Apply(uint64(i+1), evacuate(fmt.Sprintf("zone-%02d", i), 1))
	}
	over := evacuate("one-more", 1)
	assert.DeepEqual(t, m.Apply(100, over), Result(&ZoneOrderRefused{Order: over}))
	assert.Equal(t, len(m.Evacuations), MaxEvacuations)
	assert.DeepEqual(t, m.Apply(101, evacuate("zone-00", 1)), Result(&ZoneOrdered{Order: evacuate("zone-00", 1)}))
	m.Apply(102, restore("zone-00", 1))
	assert.DeepEqual(t, m.Apply(103, over), Result(&ZoneOrdered{Order: over, Changed: true}))
	snapshotAndRestore(t, m)
}

// Guards against an order or a snapshot with a zone that no server can have.
func TestInvalidZones(t *testing.T) {
	for _, zone := range []string{"", strings.Repeat("z", MaxZone+1)} {
		_, err := EncodeCommand(evacuate(zone, 1))
		assert.Assert(t, errors.Is(err, ErrCommand), "%v", err)
		image := Image{Format: snapshotFormat, Evacuations: []snap.Evacuation{{Zone: zone}}}
		assert.Assert(t, errors.Is(image.Check(), ErrSnapshot))
	}
	_, err := EncodeCommand(&OrderZone{Zone: "a", At: 1})
	assert.ErrorContains(t, err, "requester")
	unordered := Image{Format: snapshotFormat, Evacuations: []snap.Evacuation{{Zone: "b"}, {Zone: "a"}}}
	assert.ErrorContains(t, unordered.Check(), "not in order")
}
