package member

import (
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

const (
	// DaemonLease is how long a silent daemon keeps its instances.
	DaemonLease = 3 * time.Second
	// GoneAfter is how long a daemon is silent before its running idempotency records become unknown.
	GoneAfter = 10 * time.Second
)

type (
	// Registry is the leader's soft state of daemons and instances; the control loop owns it.
	Registry struct{}

	// Gone names a start of a daemon that was silent for GoneAfter or replaced by a later start.
	Gone struct {
		Daemon string
		Boot   uint64
	}

	// Send is a change to deliver to a daemon.
	Send struct {
		Daemon string
		Change Change
	}
)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{} }

// Join registers a daemon that opened a control stream; it keeps the instances of the same boot.
func (r *Registry) Join(now time.Time, daemon, zone string, boot uint64) {}

// Expect makes a daemon known that may never join, so that it is reported as gone in time. A new leader
// calls it for the daemons of running idempotency records.
func (r *Registry) Expect(now time.Time, daemon string, boot uint64) {}

// Beat renews the daemon's lease; false means that the daemon is not known and has to join again.
func (r *Registry) Beat(now time.Time, daemon string, b *Beat) (Lease, bool) { return Lease{}, false }

// Announce adds or replaces an instance of the daemon.
func (r *Registry) Announce(now time.Time, daemon string, a *Announce) {}

// Leave removes an instance of the daemon.
func (r *Registry) Leave(now time.Time, daemon string, l *Leave) {}

// Want replaces the services that the daemon subscribes to and marks all of them for a full view.
func (r *Registry) Want(daemon string, w *Want) {}

// Expire ends the leases that are over and returns the daemons that are gone.
func (r *Registry) Expire(now time.Time) []Gone { return nil }

// Deadline returns when the next Expire is due; false means that none is.
func (r *Registry) Deadline() (time.Time, bool) { return time.Time{}, false }

// View returns the instances of service that the daemon learns, at most MaxView.
func (r *Registry) View(service, daemon, zone string) []snap.Endpoint { return nil }

// Changes returns the changes of at most limit views and whether more views have changed.
func (r *Registry) Changes(limit int) ([]Send, bool) { return nil, false }

// Behind returns the daemons with a live lease that have not reported revision, and how many have a lease.
func (r *Registry) Behind(now time.Time, revision uint64) ([]string, int) { return nil, 0 }
