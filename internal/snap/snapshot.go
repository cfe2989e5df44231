package snap

import (
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Snapshot is the control state that traffic goroutines read; the control loop publishes a new one for each
// change and does not modify a published one.
type Snapshot struct {
	Rules       *rules.Set            // nil until the first rules have arrived
	LeaseExpiry time.Time             // end of the lease of this daemon
	LastContact time.Time             // send time of the latest lease renewal that the leader confirmed
	Endpoints   map[string]*Endpoints // by service; only the services that this daemon calls
	Quarantine  map[string]wire.Stamp // end of the quarantine by request fingerprint
	Evacuated   map[string]Evacuation // by availability zone
	Restored    map[string]time.Time  // by availability zone: when this daemon learned that its evacuation had ended

	EvacuationsUnknown bool            // no leader has sent the list of evacuations since the start of the daemon
	EvacuationsChanged <-chan struct{} // closed once a later snapshot has another list of evacuations
}

// Endpoints is the list of instances of one service at one version.
type Endpoints struct {
	Version   uint64
	Instances []Endpoint
}

// LeaseValid reports whether the daemon's lease holds at now. It compares wall clock times as well, because
// the monotonic clock stops while a machine is suspended.
func (s *Snapshot) LeaseValid(now time.Time) bool {
	return now.Before(s.LeaseExpiry) && now.Round(0).Before(s.LeaseExpiry.Round(0))
}

// Quarantined reports whether requests with the fingerprint are refused at now.
func (s *Snapshot) Quarantined(fingerprint string, now time.Time) bool {
	until, ok := s.Quarantine[fingerprint]
	return ok && wire.StampOf(now) < until
}
