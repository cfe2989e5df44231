package crash

import (
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

type (
	// Docket decides, on the leader, which fingerprints are quarantined; only the control loop uses it.
	Collector struct{ reports ledger }

	// Quarantine refuses a fingerprint fleet-wide until a time.
	Quarantine struct {
		Fingerprint string     `protobuf:"bytes,1,opt,name=fingerprint"`
		Until       wire.Stamp `protobuf:"varint,2,opt,name=until"`
	}
)

// NewDocket returns a docket without reports.
func NewCollector() *Collector { return &Collector{reports: newLedger(maxDocketed)} }

// Report notes that a request was in flight when an incarnation died, and returns the quarantine to
// set if that was one crash too many.
func (d *Collector) Report(now time.Time, fingerprint string, incarnation uint64) (Quarantine, bool) {
	if d.reports.add(now, fingerprint, incarnation) < crashLimit {
		return Quarantine{}, false
	}
	delete(d.reports.entries, fingerprint)
	return Quarantine{Fingerprint: fingerprint, Until: wire.StampOf(now.Add(quarantine))}, true
}

// Clear drops the reports about a fingerprint that has completed normally.
func (d *Collector) Clear(fingerprint string) { delete(d.reports.entries, fingerprint) }
