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
	// DaemonLease is how long a silent daemon keeps its instances.
	DaemonLease = 3 * time.Second
	// GoneAfter is how long a daemon is silent before its running idempotency records become unknown.
	GoneAfter = 10 * time.Second
)

type (
	// Registry is the leader's soft state of daemons and instances; the control loop owns it.
	Registry struct {
		daemons  map[string]*daemon
		services map[string]*service
		// beats holds the daemons with a lease (*daemon), the longest silent first.
		beats *list.List
		// silent holds the starts of daemons without a lease (*absence) in order of becoming gone.
		silent  *list.List
		absent  map[Gone]*list.Element
		dirty   []*service
		pending []*view
		now     time.Time
	}

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

	daemon struct {
		name, zone string
		hash, boot uint64
		last       time.Time
		// beat is the seq of the latest beat and revision what it reported.
		beat, revision uint64
		element        *list.Element
		// joined is when the control stream was opened; stale is set while instances await confirmation.
		joined time.Time
		stale  bool
		// instances holds the latest message about each instance, also about those that left, so that a
		// message that was overtaken has no effect.
		instances map[string]*instance
		views     map[string]*view
	}

	instance struct {
		// endpoint is nil after the instance left; the value is immutable.
		endpoint *snap.Endpoint
		seq      uint64
		hash     uint64
		index    int // position in the service's instances
		// stale is set while the instance is not confirmed on the present control stream.
		stale bool
	}

	absence struct {
		Gone
		at time.Time
	}
)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		daemons: make(map[string]*daemon), services: make(map[string]*service),
		beats: list.New(), silent: list.New(), absent: make(map[Gone]*list.Element),
	}
}

// Join registers a daemon that opened a control stream. It keeps the instances of the same boot, which
// the daemon has to announce again within DaemonLease: the message that one left may be lost with the
// earlier stream.
func (r *Registry) Join(now time.Time, name, zone string, boot uint64) {
	now = r.at(now)
	if d := r.daemons[name]; d != nil && d.boot == boot && d.zone == zone {
		r.beatAt(now, d)
		d.joined, d.stale = now, len(d.instances) > 0
		for _, known := range d.instances {
			known.stale = true
		}
		return
	} else if d != nil {
		r.drop(d)
		if d.boot != boot {
			r.absentFrom(Gone{name, d.boot}, now)
		}
	}
	if element := r.absent[Gone{name, boot}]; element != nil {
		r.silent.Remove(element)
		delete(r.absent, Gone{name, boot})
	}
	// An earlier start of the same daemon is gone as soon as a later one joins.
	for element := r.silent.Front(); element != nil; {
		next := element.Next()
		if a := element.Value.(*absence); a.Daemon == name {
			a.at = now
			r.silent.MoveToFront(element)
		}
		element = next
	}
	d := &daemon{
		name: name, zone: zone, boot: boot, hash: xxhash.Sum64String(name),
		instances: make(map[string]*instance), views: make(map[string]*view),
	}
	d.element = r.beats.PushBack(d)
	r.daemons[name] = d
	r.beatAt(now, d)
}

// Expect makes a daemon known that may never join, so that it is reported as gone in time. A new leader
// calls it for the daemons of running idempotency records.
func (r *Registry) Expect(now time.Time, name string, boot uint64) {
	now = r.at(now)
	switch d := r.daemons[name]; {
	case d != nil && d.boot == boot:
	case d != nil:
		r.absentFrom(Gone{name, boot}, now)
	default:
		r.absentFrom(Gone{name, boot}, now.Add(GoneAfter))
	}
}

// Beat renews the daemon's lease; false means that the daemon is not known and has to join again.
func (r *Registry) Heartbeat(now time.Time, name string, b *Heartbeat) (Lease, bool) {
	d := r.daemons[name]
	if d == nil {
		return Lease{}, false
	}
	if b.Seq > d.beat {
		d.beat, d.revision = b.Seq, b.Revision
		now = r.at(now)
		r.beatAt(now, d)
		if d.stale && now.Sub(d.joined) >= DaemonLease {
			d.stale = false
			for _, known := range d.instances {
				if known.stale {
					r.remove(known)
				}
			}
		}
	}
	return Lease{Seq: b.Seq}, true
}

// Announce adds or replaces an instance of the daemon. A daemon may announce only its own instances;
// errors wrap ErrMessage.
func (r *Registry) Announce(now time.Time, name string, a *Announce) error {
	r.at(now)
	d := r.daemons[name]
	switch {
	case d == nil:
		return fmt.Errorf("%w: announce by the unknown daemon %q", ErrMessage, name)
	case a.Instance.Daemon != name:
		return fmt.Errorf("%w: daemon %q announces an instance of %q", ErrMessage, name, a.Instance.Daemon)
	}
	known := d.instances[a.Instance.ID]
	if known != nil && a.Seq <= known.seq {
		return nil
	}
	if known == nil {
		if len(d.instances) >= 2*maxInstances {
			return tooMany(name)
		}
		known = &instance{hash: xxhash.Sum64String(a.Instance.ID)}
		d.instances[a.Instance.ID] = known
	}
	known.seq, known.stale = a.Seq, false
	if known.endpoint != nil && *known.endpoint == a.Instance {
		return nil
	}
	r.remove(known)
	endpoint := a.Instance
	known.endpoint = &endpoint
	s := r.service(endpoint.Service)
	known.index = len(s.instances)
	s.instances = append(s.instances, known)
	r.touch(s)
	return nil
}

// Leave removes an instance of the daemon.
func (r *Registry) Leave(now time.Time, name string, l *Leave) {
	r.at(now)
	d := r.daemons[name]
	if d == nil {
		return
	}
	if known := d.instances[l.ID]; known != nil && l.Seq > known.seq {
		known.seq = l.Seq
		r.remove(known)
	}
}

// Expire ends the leases that are over and returns the starts of daemons that are gone.
func (r *Registry) Expire(now time.Time) []Gone {
	now = r.at(now)
	for element := r.beats.Front(); element != nil; element = r.beats.Front() {
		d := element.Value.(*daemon)
		if now.Sub(d.last) < DaemonLease {
			break
		}
		r.drop(d)
		r.absentFrom(Gone{d.name, d.boot}, d.last.Add(GoneAfter))
	}
	var gone []Gone
	for element := r.silent.Front(); element != nil; element = r.silent.Front() {
		a := element.Value.(*absence)
		if now.Before(a.at) {
			break
		}
		gone = append(gone, a.Gone)
		r.silent.Remove(element)
		delete(r.absent, a.Gone)
	}
	return gone
}

// Deadline returns when the next Expire is due; false means that none is.
func (r *Registry) Deadline() (time.Time, bool) {
	var next time.Time
	if element := r.beats.Front(); element != nil {
		next = element.Value.(*daemon).last.Add(DaemonLease)
	}
	if element := r.silent.Front(); element != nil {
		if at := element.Value.(*absence).at; next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// Behind returns the daemons with a live lease that have not reported revision, and how many have a lease.
func (r *Registry) DaemonsBehind(now time.Time, revision uint64) (behind []string, live int) {
	for element := r.beats.Front(); element != nil; element = element.Next() {
		d := element.Value.(*daemon)
		if now.Sub(d.last) >= DaemonLease {
			continue
		}
		live++
		if d.revision < revision {
			behind = append(behind, d.name)
		}
	}
	return behind, live
}

// Reached reports whether every daemon with a live lease has reported revision; it stops at the first
// that has not.
func (r *Registry) AllReached(now time.Time, revision uint64) bool {
	for element := r.beats.Front(); element != nil; element = element.Next() {
		d := element.Value.(*daemon)
		if d.revision < revision && now.Sub(d.last) < DaemonLease {
			return false
		}
	}
	return true
}

// at returns the latest time seen, so that a clock that steps back does not reorder the leases.
func (r *Registry) at(now time.Time) time.Time {
	if now.After(r.now) {
		r.now = now
	}
	return r.now
}

func (r *Registry) beatAt(now time.Time, d *daemon) {
	d.last = now
	r.beats.MoveToBack(d.element)
}

// absentFrom records that a start of a daemon is gone at a time unless it joins before.
func (r *Registry) absentFrom(g Gone, at time.Time) {
	if r.absent[g] != nil {
		return
	}
	a, after := &absence{g, at}, r.silent.Back()
	for after != nil && after.Value.(*absence).at.After(at) {
		after = after.Prev()
	}
	if after == nil {
		r.absent[g] = r.silent.PushFront(a)
	} else {
		r.absent[g] = r.silent.InsertAfter(a, after)
	}
}

// drop ends a daemon's lease with its instances and views.
func (r *Registry) drop(d *daemon) {
	for _, known := range d.instances {
		r.remove(known)
	}
	for _, v := range d.views {
		r.unsubscribe(v)
	}
	r.beats.Remove(d.element)
	delete(r.daemons, d.name)
}

// remove takes an instance out of its service.
func (r *Registry) remove(known *instance) {
	if known.endpoint == nil {
		return
	}
	s := r.services[known.endpoint.Service]
	last := s.instances[len(s.instances)-1]
	s.instances[known.index], last.index = last, known.index
	s.instances = slices.Delete(s.instances, len(s.instances)-1, len(s.instances))
	known.endpoint = nil
	r.touch(s)
	r.forget(s)
}

func tooMany(daemon string) error {
	return fmt.Errorf("%w: more than %d instances beside daemon %q", ErrMessage, maxInstances, daemon)
}
