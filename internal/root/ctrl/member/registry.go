package member

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

const (
	// DaemonLease is the time since last contact after which a daemon's instances are removed.
	DaemonLease = 3 * time.Second
	// GoneAfter is the time since last contact after which a daemon counts as gone and its running idempotency
	// records become unknown.
	GoneAfter = 10 * time.Second
)

type (
	// Registry is the leader's soft state of daemons and instances; it belongs to the control loop.
	Registry struct {
		daemons  map[string]*daemon
		services map[string]*service
		// leased holds the daemons with a lease (*daemon) in order of their last contact, the earliest first.
		leased *list.List
		// expired holds the starts of daemons without a lease (*expiredDaemon) in order of goneAt.
		expired         *list.List
		expiredByStart  map[GoneDaemon]*list.Element
		changedServices []*service
		pendingViews    []*view
		latest          time.Time
		evacuated       map[string]snap.Evacuation // by availability zone
	}

	// GoneDaemon identifies a start of a daemon that had no contact for GoneAfter or was replaced by a later
	// start.
	GoneDaemon struct {
		Daemon string
		Boot   uint64
	}

	// ViewUpdate is a change to send to a daemon.
	ViewUpdate struct {
		Daemon string
		Change Change
	}

	daemon struct {
		name, zone  string
		hash, boot  uint64
		lastContact time.Time
		// heartbeatSeq is the seq of the latest heartbeat; revision is the one that it reported.
		heartbeatSeq, revision uint64
		leasedElement          *list.Element
		// joined is when the present control stream was opened; unconfirmed is set while instances may not yet
		// have been announced on it.
		joined      time.Time
		unconfirmed bool
		// held is set while the daemon gets no changes of its views.
		held bool
		// instances holds the state of each instance, also of those that left, so that a message that arrives
		// out of order has no effect.
		instances map[string]*instance
		views     map[string]*view
		// regions lists the regions of which each view has to hold some instances.
		regions []string
	}

	instance struct {
		// endpoint is nil after the instance left; the value is immutable.
		endpoint *snap.Endpoint
		seq      uint64
		hash     uint64
		index    int // position in the service's instances
		// unconfirmed is set until the instance is announced on the present control stream.
		unconfirmed bool
	}

	expiredDaemon struct {
		GoneDaemon
		goneAt time.Time
	}
)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		daemons: make(map[string]*daemon), services: make(map[string]*service),
		leased: list.New(), expired: list.New(), expiredByStart: make(map[GoneDaemon]*list.Element),
	}
}

// Join registers a daemon that opened a control stream. If the daemon was not restarted, its instances are
// kept for DaemonLease, in which it has to announce them again: a Leave message may have been lost with the
// earlier stream.
func (r *Registry) Join(now time.Time, name, zone string, boot uint64) {
	now = r.latestTime(now)
	if d := r.daemons[name]; d != nil && d.boot == boot && d.zone == zone {
		r.renewLease(now, d)
		d.joined, d.unconfirmed = now, len(d.instances) > 0
		for _, inst := range d.instances {
			inst.unconfirmed = true
		}
		return
	} else if d != nil {
		r.dropDaemon(d)
		if d.boot != boot {
			r.expectGone(GoneDaemon{name, d.boot}, now)
		}
	}
	if element := r.expiredByStart[GoneDaemon{name, boot}]; element != nil {
		r.expired.Remove(element)
		delete(r.expiredByStart, GoneDaemon{name, boot})
	}
	// Earlier starts of the same daemon are gone as soon as a later one joins.
	for element := r.expired.Front(); element != nil; {
		next := element.Next()
		if e := element.Value.(*expiredDaemon); e.Daemon == name {
			e.goneAt = now
			r.expired.MoveToFront(element)
		}
		element = next
	}
	d := &daemon{
		name: name, zone: zone, boot: boot, hash: xxhash.Sum64String(name),
		instances: make(map[string]*instance), views: make(map[string]*view),
	}
	d.leasedElement = r.leased.PushBack(d)
	r.daemons[name] = d
	r.renewLease(now, d)
}

// Hold sets whether the changes of a daemon's views are held back, which saves computing them. When they no longer
// are, Subscribe has to be called for the daemon, which queues full views.
func (r *Registry) Hold(name string, held bool) {
	if d := r.daemons[name]; d != nil {
		d.held = held
	}
}

// Expect registers a start of a daemon that may never join, so that Expire reports it as gone after GoneAfter.
// A new leader calls it for the daemons of running idempotency records.
func (r *Registry) Expect(now time.Time, name string, boot uint64) {
	now = r.latestTime(now)
	switch d := r.daemons[name]; {
	case d != nil && d.boot == boot:
	case d != nil:
		r.expectGone(GoneDaemon{name, boot}, now)
	default:
		r.expectGone(GoneDaemon{name, boot}, now.Add(GoneAfter))
	}
}

// Heartbeat renews the daemon's lease; false means that the daemon is not registered and has to join again.
func (r *Registry) Heartbeat(now time.Time, name string, h *Heartbeat) (Lease, bool) {
	d := r.daemons[name]
	if d == nil {
		return Lease{}, false
	}
	if h.Seq > d.heartbeatSeq {
		d.heartbeatSeq, d.revision = h.Seq, h.Revision
		now = r.latestTime(now)
		r.renewLease(now, d)
		if d.unconfirmed && now.Sub(d.joined) >= DaemonLease {
			d.unconfirmed = false
			for _, inst := range d.instances {
				if inst.unconfirmed {
					r.removeInstance(inst)
				}
			}
		}
	}
	return Lease{Seq: h.Seq}, true
}

// Announce adds or replaces an instance of the daemon. A daemon may announce only its own instances;
// errors wrap ErrMessage.
func (r *Registry) Announce(now time.Time, name string, a *Announce) error {
	r.latestTime(now)
	d := r.daemons[name]
	switch {
	case d == nil:
		return fmt.Errorf("%w: announce by the unknown daemon %q", ErrMessage, name)
	case a.Instance.Daemon != name:
		return fmt.Errorf("%w: daemon %q announces an instance of %q", ErrMessage, name, a.Instance.Daemon)
	}
	inst := d.instances[a.Instance.ID]
	if inst != nil && a.Seq <= inst.seq {
		return nil
	}
	if inst == nil {
		if len(d.instances) >= 2*maxInstances {
			return tooManyInstances(name, 2*maxInstances)
		}
		inst = &instance{hash: xxhash.Sum64String(a.Instance.ID)}
		d.instances[a.Instance.ID] = inst
	}
	inst.seq, inst.unconfirmed = a.Seq, false
	if inst.endpoint != nil && *inst.endpoint == a.Instance {
		return nil
	}
	r.removeInstance(inst)
	endpoint := a.Instance
	inst.endpoint = &endpoint
	s := r.service(endpoint.Service)
	inst.index = len(s.instances)
	s.instances = append(s.instances, inst)
	r.markChanged(s)
	return nil
}

// Leave removes an instance of the daemon.
func (r *Registry) Leave(now time.Time, name string, l *Leave) {
	r.latestTime(now)
	d := r.daemons[name]
	if d == nil {
		return
	}
	if inst := d.instances[l.ID]; inst != nil && l.Seq > inst.seq {
		inst.seq = l.Seq
		r.removeInstance(inst)
	}
}

// Expire ends the leases that are over and returns the starts of daemons that have become gone.
func (r *Registry) Expire(now time.Time) []GoneDaemon {
	now = r.latestTime(now)
	for element := r.leased.Front(); element != nil; element = r.leased.Front() {
		d := element.Value.(*daemon)
		if now.Sub(d.lastContact) < DaemonLease {
			break
		}
		r.dropDaemon(d)
		r.expectGone(GoneDaemon{d.name, d.boot}, d.lastContact.Add(GoneAfter))
	}
	var gone []GoneDaemon
	for element := r.expired.Front(); element != nil; element = r.expired.Front() {
		e := element.Value.(*expiredDaemon)
		if now.Before(e.goneAt) {
			break
		}
		gone = append(gone, e.GoneDaemon)
		r.expired.Remove(element)
		delete(r.expiredByStart, e.GoneDaemon)
	}
	return gone
}

// Deadline returns when the next Expire is due; false means that none is.
func (r *Registry) Deadline() (time.Time, bool) {
	var next time.Time
	if element := r.leased.Front(); element != nil {
		next = element.Value.(*daemon).lastContact.Add(DaemonLease)
	}
	if element := r.expired.Front(); element != nil {
		if at := element.Value.(*expiredDaemon).goneAt; next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// DaemonsBehind returns the daemons with an unexpired lease that have not reported revision, and the number of
// daemons with an unexpired lease.
func (r *Registry) DaemonsBehind(now time.Time, revision uint64) (behind []string, live int) {
	for element := r.leased.Front(); element != nil; element = element.Next() {
		d := element.Value.(*daemon)
		if now.Sub(d.lastContact) >= DaemonLease {
			continue
		}
		live++
		if d.revision < revision {
			behind = append(behind, d.name)
		}
	}
	return behind, live
}

// AllReached reports whether every daemon with an unexpired lease has reported revision. It stops at the first
// that has not.
func (r *Registry) AllReached(now time.Time, revision uint64) bool {
	for element := r.leased.Front(); element != nil; element = element.Next() {
		d := element.Value.(*daemon)
		if d.revision < revision && now.Sub(d.lastContact) < DaemonLease {
			return false
		}
	}
	return true
}

// latestTime returns the latest time seen so far, so that a clock that steps back does not reorder the leases.
func (r *Registry) latestTime(now time.Time) time.Time {
	if now.After(r.latest) {
		r.latest = now
	}
	return r.latest
}

func (r *Registry) renewLease(now time.Time, d *daemon) {
	d.lastContact = now
	r.leased.MoveToBack(d.leasedElement)
}

// expectGone schedules that a start of a daemon is gone at a time unless it joins before.
func (r *Registry) expectGone(g GoneDaemon, at time.Time) {
	if r.expiredByStart[g] != nil {
		return
	}
	e, after := &expiredDaemon{g, at}, r.expired.Back()
	for after != nil && after.Value.(*expiredDaemon).goneAt.After(at) {
		after = after.Prev()
	}
	if after == nil {
		r.expiredByStart[g] = r.expired.PushFront(e)
	} else {
		r.expiredByStart[g] = r.expired.InsertAfter(e, after)
	}
}

// dropDaemon removes a daemon with its lease, instances and views.
func (r *Registry) dropDaemon(d *daemon) {
	for _, inst := range d.instances {
		r.removeInstance(inst)
	}
	for _, v := range d.views {
		r.unsubscribe(v)
	}
	r.leased.Remove(d.leasedElement)
	delete(r.daemons, d.name)
}

// removeInstance removes an instance from its service.
func (r *Registry) removeInstance(inst *instance) {
	if inst.endpoint == nil {
		return
	}
	s := r.services[inst.endpoint.Service]
	last := s.instances[len(s.instances)-1]
	s.instances[inst.index], last.index = last, inst.index
	s.instances = slices.Delete(s.instances, len(s.instances)-1, len(s.instances))
	inst.endpoint = nil
	r.markChanged(s)
	r.deleteUnused(s)
}

func tooManyInstances(daemon string, limit int) error {
	return fmt.Errorf("%w: more than %d instances beside daemon %q", ErrMessage, limit, daemon)
}
