package member

import (
	"maps"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// InstanceLease is how long an announcement of a backend server is valid.
const InstanceLease = 10 * time.Second

type (
	// Local holds the instances beside one daemon; the control loop owns it.
	Local struct {
		// Instances holds the leased instances by address.
		Instances map[string]snap.Endpoint

		daemon, zone string
		seq          uint64
		incarnation  uint64
		leases       map[string]lease
	}

	// lease is what the daemon knows about an instance besides its endpoint.
	lease struct {
		until   time.Time
		start   string
		refused bool // the backend server refused a connection since its last announcement
	}

	// Views holds a daemon's views; the control loop owns it.
	Views struct {
		// Services is replaced, never modified, so that it may be published to traffic goroutines.
		Services map[string][]snap.Endpoint

		versions map[string]uint64
	}
)

// NewLocal returns an empty set of instances beside the daemon with this peer address.
func NewLocal(daemon, zone string, boot uint64) *Local {
	// The random boot number keeps incarnations of different starts and daemons apart.
	return &Local{
		Instances: map[string]snap.Endpoint{}, daemon: daemon, zone: zone,
		incarnation: boot, leases: map[string]lease{},
	}
}

// Announce leases an instance and returns the message for the leader, nil when nothing changed.
func (l *Local) Announce(now time.Time, a *Announcement) (*Announce, error) {
	if err := a.Check(); err != nil {
		return nil, err
	}
	current, known := l.Instances[a.Address]
	held := l.leases[a.Address]
	next := snap.Endpoint{
		ID: l.daemon + "/" + a.Address, Service: a.Service, Daemon: l.daemon, Address: a.Address, Zone: l.zone,
		Slots: a.Slots, Connections: a.Connections, Incarnation: current.Incarnation, Started: current.Started,
	}
	if !known || held.start != a.Start || held.refused {
		l.incarnation++
		next.Incarnation, next.Started = l.incarnation, wire.StampOf(now)
	}
	l.leases[a.Address] = lease{until: now.Add(InstanceLease), start: a.Start}
	if known && next == current {
		return nil, nil
	}
	l.Instances[a.Address] = next
	return l.message(next), nil
}

func (l *Local) message(instance snap.Endpoint) *Announce {
	l.seq++
	return &Announce{Instance: instance, Seq: l.seq}
}

// Refused records that the backend server refused a connection; its next announcement is a new incarnation.
func (l *Local) Refused(address string) {
	if held, ok := l.leases[address]; ok {
		held.refused = true
		l.leases[address] = held
	}
}

// Leave ends an instance and returns the message for the leader, nil when there is no such instance.
func (l *Local) Leave(address string) *Leave {
	instance, ok := l.Instances[address]
	if !ok {
		return nil
	}
	delete(l.Instances, address)
	delete(l.leases, address)
	l.seq++
	return &Leave{ID: instance.ID, Seq: l.seq}
}

// Expire ends the leases that are over and returns the messages for the leader.
func (l *Local) Expire(now time.Time) []*Leave {
	var out []*Leave
	for _, address := range slices.Sorted(maps.Keys(l.leases)) {
		if !l.leases[address].until.After(now) {
			out = append(out, l.Leave(address))
		}
	}
	return out
}

// Deadline returns when the next Expire is due; false means that none is.
func (l *Local) Deadline() (time.Time, bool) {
	var next time.Time
	for _, held := range l.leases {
		if next.IsZero() || held.until.Before(next) {
			next = held.until
		}
	}
	return next, !next.IsZero()
}

// All returns the messages that announce every instance on a new control stream.
func (l *Local) All() []*Announce {
	out := make([]*Announce, 0, len(l.Instances))
	for _, address := range slices.Sorted(maps.Keys(l.Instances)) {
		out = append(out, l.message(l.Instances[address]))
	}
	return out
}

// NewViews returns a daemon's views before any change arrived.
func NewViews() *Views {
	return &Views{Services: map[string][]snap.Endpoint{}, versions: map[string]uint64{}}
}

// Apply applies a change; false means that a change was missed and the daemon must send Want again.
func (v *Views) Apply(c *Change) bool {
	if c.Base != 0 && v.versions[c.Service] != c.Base {
		return false
	}
	byID := map[string]snap.Endpoint{}
	if c.Base != 0 {
		for _, instance := range v.Services[c.Service] {
			byID[instance.ID] = instance
		}
	}
	for _, id := range c.Removed {
		delete(byID, id)
	}
	for _, instance := range c.Set {
		byID[instance.ID] = instance
	}
	list := make([]snap.Endpoint, 0, len(byID))
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		list = append(list, byID[id])
	}
	services := maps.Clone(v.Services)
	services[c.Service] = list
	v.Services, v.versions[c.Service] = services, c.Version
	return true
}
