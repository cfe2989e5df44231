package snap

import (
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Snapshot is the control state that traffic sees; the control loop publishes a new one for each change
// and never changes one that it has published.
type Snapshot struct {
	Rules      *rules.Set            // nil until the first configuration has arrived
	FreshUntil time.Time             // the lease of this daemon ends then
	HeardAt    time.Time             // when the latest question was sent that the leader has answered
	Endpoints  map[string]*Endpoints // by service, only the services that this daemon calls
	Quarantine map[string]wire.Stamp // end by fingerprint
}

// Endpoints is the list of instances of one service at one version.
type Endpoints struct {
	Version   uint64
	Instances []Endpoint
}

// Fresh reports whether the daemon's lease holds at now. The wall clock counts too, because the monotonic
// clock stands still while a machine is suspended.
func (s *Snapshot) Fresh(now time.Time) bool {
	return now.Before(s.FreshUntil) && now.Round(0).Before(s.FreshUntil.Round(0))
}

// Quarantined reports whether requests with the fingerprint are refused at now.
func (s *Snapshot) Quarantined(fingerprint string, now time.Time) bool {
	until, ok := s.Quarantine[fingerprint]
	return ok && wire.StampOf(now) < until
}
