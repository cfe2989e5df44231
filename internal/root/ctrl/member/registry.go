package member

import (
	"cmp"
	"maps"
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

	// minOtherZones is the part of a view that lies in other availability zones, so that a daemon whose
	// zone fails has instances left to call.
	minOtherZones = 8
)

type (
	// Registry is the leader's soft state of daemons and instances; the control loop owns it.
	Registry struct {
		daemons  map[string]*daemon
		services map[string]map[string]snap.Endpoint // instances by id
		// dirty holds the subscriptions whose view may have changed, in the order of the change.
		dirty   []subscription
		queued  map[subscription]bool
		callers map[string]map[string]bool // daemons that subscribe to a service
		version uint64                     // of the change sent last
		// due is no later than the end of the first lease. Beats only move ends back, so it holds until
		// Expire computes it again; looking at every daemon after each beat took 13 cores at 8,800 daemons.
		due time.Time
		// replaced holds starts whose daemon is known under a later start.
		replaced []Gone
	}

	// daemon is one start of a daemon.
	daemon struct {
		zone      string
		boot      uint64
		joined    bool // false for a daemon that is only expected
		live      bool // within its lease
		beat      time.Time
		revision  uint64
		seq       uint64                   // of the last Announce or Leave
		instances map[string]snap.Endpoint // announced, listed while the daemon is live
		stale     map[string]snap.Endpoint // not announced again since the last Join
		views     map[string]*view
	}

	// view is what a daemon was sent of a service.
	view struct {
		version   uint64
		instances map[string]snap.Endpoint
		full      bool // the next change replaces the view
	}

	subscription struct{ daemon, service string }

	// ranking keeps the MaxView candidates with the highest weights, highest first. Sorting all instances
	// of a service for each of its callers took seconds of the loop when an availability zone returned.
	ranking struct {
		seen int // candidates
		best [MaxView]ranked
	}

	ranked struct {
		weight uint64
		id     string
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
)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		daemons:  map[string]*daemon{},
		services: map[string]map[string]snap.Endpoint{},
		queued:   map[subscription]bool{},
		callers:  map[string]map[string]bool{},
	}
}

// Join registers a daemon that opened a control stream; it keeps the instances of the same boot. Those
// that are not announced again before the daemon's first beat are removed, because their Leave may have
// been lost with the previous stream.
func (r *Registry) Join(now time.Time, name, zone string, boot uint64) {
	d := r.daemons[name]
	if d == nil || d.boot != boot {
		if d != nil {
			r.unlist(d)
			r.unsubscribe(name, d)
			r.replaced = append(r.replaced, Gone{Daemon: name, Boot: d.boot})
		}
		d = &daemon{boot: boot, instances: map[string]snap.Endpoint{}, views: map[string]*view{}}
		r.daemons[name] = d
	}
	d.zone, d.joined, d.live, d.beat = zone, true, true, now
	r.expireBy(now.Add(DaemonLease))
	d.stale = maps.Clone(d.instances)
	r.unsubscribe(name, d)
	for id := range d.instances {
		r.list(d.instances[id])
	}
}

// Expect makes a daemon known that may never join, so that it is reported as gone in time. A new leader
// calls it for the daemons of running idempotency records.
func (r *Registry) Expect(now time.Time, name string, boot uint64) {
	if d := r.daemons[name]; d != nil {
		if d.boot != boot {
			r.replaced = append(r.replaced, Gone{Daemon: name, Boot: boot})
		}
		return
	}
	r.daemons[name] = &daemon{boot: boot, beat: now, instances: map[string]snap.Endpoint{}, views: map[string]*view{}}
	r.expireBy(now.Add(GoneAfter))
}

// Beat renews the daemon's lease; false means that the daemon is not known and has to join again.
func (r *Registry) Beat(now time.Time, name string, b *Beat) (Lease, bool) {
	d := r.daemons[name]
	if d == nil || !d.joined {
		return Lease{}, false
	}
	d.beat, d.revision = now, b.Revision
	for id := range d.stale {
		r.drop(d, id)
	}
	d.stale = nil
	if !d.live {
		d.live = true
		r.expireBy(now.Add(DaemonLease))
		for id := range d.instances {
			r.list(d.instances[id])
		}
	}
	return Lease{Seq: b.Seq}, true
}

// Announce adds or replaces an instance of the daemon.
func (r *Registry) Announce(_ time.Time, name string, a *Announce) {
	d := r.daemons[name]
	if d == nil || a.Seq <= d.seq || a.Instance.Daemon != name {
		return
	}
	d.seq = a.Seq
	delete(d.stale, a.Instance.ID)
	if old, ok := d.instances[a.Instance.ID]; ok && old.Service != a.Instance.Service {
		r.drop(d, a.Instance.ID)
	}
	d.instances[a.Instance.ID] = a.Instance
	if d.live {
		r.list(a.Instance)
	}
}

// Leave removes an instance of the daemon.
func (r *Registry) Leave(_ time.Time, name string, l *Leave) {
	d := r.daemons[name]
	if d == nil || l.Seq <= d.seq {
		return
	}
	d.seq = l.Seq
	r.drop(d, l.ID)
}

// Want replaces the services that the daemon subscribes to and marks all of them for a full view.
func (r *Registry) Want(name string, w *Want) {
	d := r.daemons[name]
	if d == nil {
		return
	}
	r.unsubscribe(name, d)
	for _, service := range w.Services {
		d.views[service] = &view{full: true}
		if r.callers[service] == nil {
			r.callers[service] = map[string]bool{}
		}
		r.callers[service][name] = true
		r.mark(subscription{daemon: name, service: service})
	}
}

// Expire ends the leases that are over and returns the daemons that are gone.
func (r *Registry) Expire(now time.Time) []Gone {
	out := r.replaced
	r.replaced = nil
	if r.due.After(now) {
		return out
	}
	r.due = time.Time{}
	for _, name := range slices.Sorted(maps.Keys(r.daemons)) {
		d := r.daemons[name]
		silent := now.Sub(d.beat)
		if d.live && silent >= DaemonLease {
			d.live = false
			r.unlist(d)
		}
		if silent >= GoneAfter {
			r.unsubscribe(name, d)
			delete(r.daemons, name)
			out = append(out, Gone{Daemon: name, Boot: d.boot})
			continue
		}
		if d.live {
			r.expireBy(d.beat.Add(DaemonLease))
		} else {
			r.expireBy(d.beat.Add(GoneAfter))
		}
	}
	return out
}

// expireBy makes Expire due no later than at.
func (r *Registry) expireBy(at time.Time) {
	if r.due.IsZero() || at.Before(r.due) {
		r.due = at
	}
}

// Deadline returns when the next Expire is due, at the latest when a lease ends; false means that none is.
func (r *Registry) Deadline() (time.Time, bool) {
	if len(r.replaced) > 0 {
		return time.Time{}.Add(time.Nanosecond), true
	}
	return r.due, !r.due.IsZero()
}

// View returns the instances of service that the daemon learns, at most MaxView. Of a larger service
// each daemon gets its own choice, mostly from its own availability zone.
func (r *Registry) View(service, name, zone string) []snap.Endpoint {
	all := r.services[service]
	if len(all) <= MaxView {
		return slices.SortedFunc(maps.Values(all), func(a, b snap.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	var own, other ranking
	for id, instance := range all {
		// The digest is that of name + "\x00" + id, without an allocation for each instance.
		var digest xxhash.Digest
		digest.Reset()
		_, _ = digest.WriteString(name)
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(id)
		if instance.Zone == zone {
			own.add(digest.Sum64(), id)
		} else {
			other.add(digest.Sum64(), id)
		}
	}
	fromOther := max(min(other.seen, minOtherZones), MaxView-own.seen)
	out := make([]snap.Endpoint, 0, MaxView)
	for _, candidate := range own.best[:MaxView-fromOther] {
		out = append(out, all[candidate.id])
	}
	for _, candidate := range other.best[:fromOther] {
		out = append(out, all[candidate.id])
	}
	return out
}

// add counts a candidate and keeps it where it is among the best.
func (r *ranking) add(weight uint64, id string) {
	kept := min(r.seen, MaxView)
	r.seen++
	if kept == MaxView {
		if weight <= r.best[MaxView-1].weight {
			return
		}
		kept--
	}
	at := kept
	for at > 0 && r.best[at-1].weight < weight {
		r.best[at] = r.best[at-1]
		at--
	}
	r.best[at] = ranked{weight: weight, id: id}
}

// Changes returns the changes of at most limit views and whether more views have changed.
func (r *Registry) Changes(limit int) ([]Send, bool) {
	var out []Send
	for len(r.dirty) > 0 && limit > 0 {
		next := r.dirty[0]
		r.dirty = r.dirty[1:]
		delete(r.queued, next)
		limit--
		d := r.daemons[next.daemon]
		if d == nil || d.views[next.service] == nil {
			continue
		}
		if change, ok := r.change(next, d); ok {
			out = append(out, Send{Daemon: next.daemon, Change: change})
		}
	}
	return out, len(r.dirty) > 0
}

func (r *Registry) change(s subscription, d *daemon) (Change, bool) {
	known := d.views[s.service]
	change := Change{Service: s.service, Base: known.version}
	if known.full {
		change.Base = 0
		known.instances = map[string]snap.Endpoint{}
	}
	view := r.View(s.service, s.daemon, d.zone)
	if !known.full && known.shows(view) {
		return Change{}, false
	}
	current := make(map[string]snap.Endpoint, len(view))
	for _, instance := range view {
		current[instance.ID] = instance
		if known.instances[instance.ID] != instance {
			change.Set = append(change.Set, instance)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(known.instances)) {
		if _, kept := current[id]; !kept {
			change.Removed = append(change.Removed, id)
		}
	}
	r.version++
	change.Version = r.version
	known.version, known.instances, known.full = change.Version, current, false
	return change, true
}

// shows reports whether the daemon was sent exactly these instances.
func (v *view) shows(instances []snap.Endpoint) bool {
	if len(instances) != len(v.instances) {
		return false
	}
	for i := range instances {
		if v.instances[instances[i].ID] != instances[i] {
			return false
		}
	}
	return true
}

// Behind returns the daemons with a live lease that have not reported revision, and how many have a lease.
func (r *Registry) Behind(now time.Time, revision uint64) ([]string, int) {
	var behind []string
	live := 0
	for _, name := range slices.Sorted(maps.Keys(r.daemons)) {
		d := r.daemons[name]
		if !d.joined || now.Sub(d.beat) >= DaemonLease {
			continue
		}
		live++
		if d.revision < revision {
			behind = append(behind, name)
		}
	}
	return behind, live
}

// Reached reports whether every daemon with a live lease has reported revision; it stops at the first
// that has not.
func (r *Registry) Reached(now time.Time, revision uint64) bool {
	for _, d := range r.daemons {
		if d.joined && d.revision < revision && now.Sub(d.beat) < DaemonLease {
			return false
		}
	}
	return true
}

// list makes an instance visible to the daemons that call its service.
func (r *Registry) list(instance snap.Endpoint) {
	if r.services[instance.Service] == nil {
		r.services[instance.Service] = map[string]snap.Endpoint{}
	}
	if r.services[instance.Service][instance.ID] == instance {
		return
	}
	r.services[instance.Service][instance.ID] = instance
	r.changed(instance.Service)
}

// unlist hides all instances of a daemon.
func (r *Registry) unlist(d *daemon) {
	for id, instance := range d.instances {
		r.hide(id, instance.Service)
	}
}

// drop forgets one instance of a daemon.
func (r *Registry) drop(d *daemon, id string) {
	if instance, ok := d.instances[id]; ok {
		delete(d.instances, id)
		r.hide(id, instance.Service)
	}
}

func (r *Registry) hide(id, service string) {
	if _, listed := r.services[service][id]; listed {
		delete(r.services[service], id)
		r.changed(service)
	}
}

func (r *Registry) changed(service string) {
	for _, name := range slices.Sorted(maps.Keys(r.callers[service])) {
		r.mark(subscription{daemon: name, service: service})
	}
}

func (r *Registry) mark(s subscription) {
	if !r.queued[s] {
		r.queued[s] = true
		r.dirty = append(r.dirty, s)
	}
}

func (r *Registry) unsubscribe(name string, d *daemon) {
	for service := range d.views {
		delete(r.callers[service], name)
	}
	clear(d.views)
}
