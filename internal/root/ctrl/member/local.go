package member

import (
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// InstanceLease is how long an announcement of a backend server is valid.
const InstanceLease = 10 * time.Second

type (
	// Local holds the instances beside one daemon; the control loop owns it.
	Local struct {
		// Instances holds the leased instances by address.
		Instances map[string]snap.Endpoint
	}

	// Views holds a daemon's views; the control loop owns it.
	Views struct {
		// Services is replaced, never modified, so that it may be published to traffic goroutines.
		Services map[string][]snap.Endpoint
	}
)

// NewLocal returns an empty set of instances beside the daemon with this peer address.
func NewLocal(daemon, zone string, boot uint64) *Local { return &Local{} }

// Announce leases an instance and returns the message for the leader, nil when nothing changed.
func (l *Local) Announce(now time.Time, a *Announcement) (*Announce, error) { return nil, nil }

// Refused records that the backend server refused a connection; its next announcement is a new incarnation.
func (l *Local) Refused(address string) {}

// Leave ends an instance and returns the message for the leader, nil when there is no such instance.
func (l *Local) Leave(address string) *Leave { return nil }

// Expire ends the leases that are over and returns the messages for the leader.
func (l *Local) Expire(now time.Time) []*Leave { return nil }

// Deadline returns when the next Expire is due; false means that none is.
func (l *Local) Deadline() (time.Time, bool) { return time.Time{}, false }

// All returns the messages that announce every instance on a new control stream.
func (l *Local) All() []*Announce { return nil }

// NewViews returns a daemon's views before any change arrived.
func NewViews() *Views { return &Views{} }

// Apply applies a change; false means that a change was missed and the daemon must send Want again.
func (v *Views) Apply(c *Change) bool { return false }
