package ctrl

import (
	"maps"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// restoredPeriod is how long the end of an evacuation is kept: no server counts as cold for longer after it.
const restoredPeriod = rules.MaxColdPeriod

// localZones are the zones under evacuation as this daemon knows them. The maps are immutable.
type localZones struct {
	evacuated map[string]snap.Evacuation
	restored  map[string]time.Time // local time at which the end of the latest evacuation was received
	version   uint64
	group     string        // consensus group of the list, empty if unknown
	known     bool          // a leader has sent the list, or is of a version that has none
	changed   chan struct{} // closed when a changed list is published
	dirty     bool          // the list differs from the published one
}

func newLocalZones() localZones { return localZones{changed: make(chan struct{})} }

// publishTo sets the fields of the snapshot. The returned channel is closed after the snapshot has been published.
func (z *localZones) publishTo(snapshot *snap.Snapshot) (changed chan struct{}) {
	if z.dirty {
		changed, z.changed, z.dirty = z.changed, make(chan struct{}), false
	}
	snapshot.Evacuated, snapshot.Restored = z.evacuated, z.restored
	snapshot.EvacuationsUnknown, snapshot.EvacuationsChanged = !z.known, z.changed
	return changed
}

// outdated reports whether the list must not replace the present one. Versions are compared within one consensus group,
// because the versions of a group that was founded anew may be lower. A group without any order does not end the
// evacuations that were ordered in a lost one. A daemon that has just started accepts any list.
func (z *localZones) outdated(list *EvacuationList) bool {
	sameGroup := z.group == "" || list.Group == "" || list.Group == z.group
	switch {
	case !z.known:
		return false
	case sameGroup:
		return list.Version < z.version
	}
	return list.Version == 0 && z.version > 0
}

// replace replaces the list unless the new one is outdated, and reports whether it did.
func (z *localZones) replace(now time.Time, list *EvacuationList) bool {
	if z.outdated(list) {
		return false
	}
	evacuated := evacuationsByZone(list.Zones)
	restored := maps.Clone(z.restored)
	maps.DeleteFunc(restored, func(_ string, at time.Time) bool { return now.Sub(at) >= restoredPeriod })
	for zone := range z.evacuated {
		if _, still := evacuated[zone]; !still {
			if restored == nil {
				restored = map[string]time.Time{}
			}
			restored[zone] = now
		}
	}
	z.dirty = z.dirty || !z.known || !maps.Equal(z.evacuated, evacuated)
	z.evacuated, z.restored, z.version, z.known = evacuated, restored, list.Version, true
	if list.Group != "" {
		z.group = list.Group
	}
	return true
}

// applyEvacuations applies the list of the leader.
func (l *Loop) applyEvacuations(now time.Time, list *EvacuationList) {
	zones := &l.daemon.zones
	before := zones.version
	if !zones.replace(now, list) {
		l.log.Warn().Uint64("version", list.Version).Uint64("own", zones.version).
			Str("group", list.Group).Str("own-group", zones.group).Msg("evacuations-outdated")
		return
	}
	l.dirty = true
	if before != list.Version { // not for a group that has never had an order
		l.log.Info().Strs("zones", slices.Sorted(maps.Keys(zones.evacuated))).Uint64("version", list.Version).Msg("evacuations-received")
	}
}

// assumeNoEvacuations is called for each lease. A leader that has sent none of its lists before is of a version that
// has no evacuations: the daemon must not wait for a list, and refuses orders.
func (l *Loop) assumeNoEvacuations() {
	if l.daemon.orderSupport == ordersUnknown {
		l.daemon.orderSupport = ordersUnsupported
		l.daemon.failOrders(refusedByEarlierVersion)
	}
	zones := &l.daemon.zones
	if zones.known {
		return
	}
	zones.known, zones.dirty, l.dirty = true, true, true
	l.log.Warn().Msg("evacuations-not-sent")
}
