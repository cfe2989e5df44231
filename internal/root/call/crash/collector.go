package crash

import (
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

type (
	// Collector collects the crash reports on the leader and decides which fingerprints are quarantined. Only
	// the control loop uses it.
	Collector struct{ reports crashCounts }

	// Quarantine refuses requests with a fingerprint in the whole fleet until a given time.
	Quarantine struct {
		Fingerprint string     `protobuf:"bytes,1,opt,name=fingerprint"`
		Until       wire.Stamp `protobuf:"varint,2,opt,name=until"`
	}
)

// NewCollector returns a collector without reports.
func NewCollector() *Collector { return &Collector{reports: newCrashCounts(maxCollected)} }

// Report records that a request was in flight when an incarnation crashed, and returns the quarantine to
// set when the number of crashes reaches the limit.
func (c *Collector) Report(now time.Time, fingerprint string, incarnation uint64) (Quarantine, bool) {
	if c.reports.add(now, fingerprint, incarnation) < crashLimit {
		return Quarantine{}, false
	}
	delete(c.reports.entries, fingerprint)
	return Quarantine{Fingerprint: fingerprint, Until: wire.StampOf(now.Add(quarantineDuration))}, true
}

// Clear removes the reports about a fingerprint that has completed normally.
func (c *Collector) Clear(fingerprint string) { delete(c.reports.entries, fingerprint) }
