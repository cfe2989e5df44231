package member

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// InstanceLease is how long an announcement of a backend server is valid.
	InstanceLease = 10 * time.Second

	// maxInstances bounds the local instances of one daemon, which normally has one.
	maxInstances = 16
)

type (
	// LocalInstances holds the local instances of one daemon; it belongs to the control loop.
	LocalInstances struct {
		// Instances holds the leased instances by address; it is replaced, never modified, so that it may
		// be published to traffic goroutines.
		Instances map[string]snap.Endpoint

		daemon, zone, region string
		boot                 uint64
		// seq is that of the last message to the leader; started is the number of incarnations so far.
		seq, started uint64
		leases       map[string]*lease
	}

	lease struct {
		start string
		until time.Time
		// refused is set if the backend server refused a connection after its last announcement.
		refused bool
	}
)

// NewLocalInstances returns an empty set of local instances for the daemon with this peer address.
func NewLocalInstances(daemon, zone, region string, boot uint64) *LocalInstances {
	return &LocalInstances{daemon: daemon, zone: zone, region: region, boot: boot, leases: make(map[string]*lease)}
}

// Announce leases an instance and returns the message for the leader, nil if nothing changed. Errors wrap
// ErrMessage.
func (l *LocalInstances) Announce(now time.Time, a *Announcement) (*Announce, error) {
	if err := a.Check(); err != nil {
		return nil, err
	}
	current := l.leases[a.Address]
	if current == nil && len(l.leases) >= maxInstances {
		return nil, tooManyInstances(l.daemon, maxInstances)
	}
	e := snap.Endpoint{
		ID: l.daemon + "/" + a.Address, Service: a.Service, Daemon: l.daemon, Address: a.Address,
		Zone: l.zone, Region: l.region, Slots: a.Slots, Connections: a.Connections,
	}
	if current != nil && current.start == a.Start && !current.refused {
		old := l.Instances[a.Address]
		e.Incarnation, e.Started = old.Incarnation, old.Started
		current.until = now.Add(InstanceLease)
		if e == old {
			return nil, nil
		}
	} else {
		l.started++
		e.Incarnation = l.incarnation()
		e.Started = wire.StampOf(now)
		l.leases[a.Address] = &lease{start: a.Start, until: now.Add(InstanceLease)}
	}
	l.set(a.Address, &e)
	l.seq++
	return &Announce{Instance: e, Seq: l.seq}, nil
}

// MarkRefused records that the backend server refused a connection; its next announcement counts as a new
// incarnation.
func (l *LocalInstances) MarkRefused(address string) {
	if current := l.leases[address]; current != nil {
		current.refused = true
	}
}

// Leave removes an instance and returns the message for the leader, nil if there is no such instance.
func (l *LocalInstances) Leave(address string) *Leave {
	if l.leases[address] == nil {
		return nil
	}
	id := l.Instances[address].ID
	delete(l.leases, address)
	l.set(address, nil)
	l.seq++
	return &Leave{ID: id, Seq: l.seq}
}

// Expire ends the leases that are over and returns the messages for the leader.
func (l *LocalInstances) Expire(now time.Time) []*Leave {
	var ended []*Leave
	for _, address := range slices.Sorted(maps.Keys(l.leases)) {
		if !now.Before(l.leases[address].until) {
			ended = append(ended, l.Leave(address))
		}
	}
	return ended
}

// Deadline returns when the next Expire is due; false means that none is.
func (l *LocalInstances) Deadline() (time.Time, bool) {
	var next time.Time
	for _, current := range l.leases {
		if next.IsZero() || current.until.Before(next) {
			next = current.until
		}
	}
	return next, !next.IsZero()
}

// AnnounceAll returns messages that announce every instance, to be sent on a new control stream.
func (l *LocalInstances) AnnounceAll() []*Announce {
	var all []*Announce
	for _, address := range slices.Sorted(maps.Keys(l.Instances)) {
		l.seq++
		all = append(all, &Announce{Instance: l.Instances[address], Seq: l.seq})
	}
	return all
}

// incarnation returns a number that differs for each start of each instance, except for hash collisions.
func (l *LocalInstances) incarnation() uint64 {
	return max(1, xxhash.Sum64String(l.daemon+"/"+strconv.FormatUint(l.boot, 16)+"/"+strconv.FormatUint(l.started, 16)))
}

func (l *LocalInstances) set(address string, e *snap.Endpoint) {
	next := maps.Clone(l.Instances)
	if next == nil {
		next = make(map[string]snap.Endpoint)
	}
	if delete(next, address); e != nil {
		next[address] = *e
	}
	l.Instances = next
}
