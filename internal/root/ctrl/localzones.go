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

// replace replaces the list unless it is older than the present one, and reports whether it did. A daemon that has just
// started accepts any version.
func (z *localZones) replace(now time.Time, list *EvacuationList) bool {
	if z.known && list.Version < z.version {
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
	return true
}

// applyEvacuations applies the list of the leader.
func (l *Loop) applyEvacuations(now time.Time, list *EvacuationList) {
	zones := &l.daemon.zones
	before := zones.version
	if !zones.replace(now, list) {
		l.log.Warn().Uint64("version", list.Version).Uint64("own", zones.version).Msg("evacuations-outdated")
		return
	}
	l.dirty = true
	if before != list.Version { // not for a group that has never had an order
		l.log.Info().Strs("zones", slices.Sorted(maps.Keys(zones.evacuated))).Uint64("version", list.Version).Msg("evacuations-received")
	}
}

// assumeNoEvacuations is called for a leader that has replied without sending the list: it is of a version that has no
// evacuations, and the daemon must not wait for a list.
func (l *Loop) assumeNoEvacuations() {
	zones := &l.daemon.zones
	if zones.known {
		return
	}
	zones.known, zones.dirty, l.dirty = true, true, true
	l.log.Warn().Msg("evacuations-not-sent")
}
