package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

type (
	service struct {
		name      string
		instances []*instance
		views     []*view
		// changed is set while the service is in the registry's list of changed services.
		changed bool
	}

	// view is the registry's state of one daemon's view of one service.
	view struct {
		daemon  *daemon
		service *service
		index   int // position in the service's views, -1 after the daemon unsubscribed
		version uint64
		// sent holds the endpoints that were sent to the daemon; sendAll is set if the next change has to replace
		// them.
		sent    []*snap.Endpoint
		sendAll bool
		// queued is set while the view is in the registry's list of pending views.
		queued bool
	}

	// candidate is an instance that may be part of a view; sameZone is set if it is in the daemon's availability
	// zone, evacuated if its own zone is under evacuation.
	candidate struct {
		endpoint  *snap.Endpoint
		score     uint64
		sameZone  bool
		evacuated bool
	}
)

// Subscribe replaces the services that the daemon subscribes to and queues a full view of each.
func (r *Registry) Subscribe(name string, subscription *Subscription) {
	d := r.daemons[name]
	if d == nil {
		return
	}
	d.regions = subscription.Regions
	for service, v := range d.views {
		if !slices.Contains(subscription.Services, service) {
			r.unsubscribe(v)
		}
	}
	for _, service := range subscription.Services {
		v := d.views[service]
		if v == nil {
			s := r.service(service)
			v = &view{daemon: d, service: s, index: len(s.views)}
			s.views = append(s.views, v)
			d.views[service] = v
		}
		v.sendAll = true
		r.queueView(v)
	}
}

// View returns the instances of a service that are in the daemon's view, at most MaxView.
func (r *Registry) View(service, daemon, zone string) []snap.Endpoint {
	s := r.services[service]
	if s == nil {
		return nil
	}
	var chosen []snap.Endpoint
	for _, c := range s.choose(xxhash.Sum64String(daemon), zone, r.evacuated, nil) {
		chosen = append(chosen, *c.endpoint)
	}
	return chosen
}

// Changes returns the changes of at most limit views and whether more views may have changed, so that the
// control loop can interleave many changes with its other work.
func (r *Registry) Changes(limit int) ([]ViewUpdate, bool) {
	var out []ViewUpdate
	var buffer [MaxView]candidate
	for range limit {
		for len(r.pendingViews) == 0 && len(r.changedServices) > 0 {
			s := r.changedServices[0]
			r.changedServices = r.changedServices[1:]
			s.changed = false
			for _, v := range s.views {
				r.queueView(v)
			}
		}
		if len(r.pendingViews) == 0 {
			return out, false
		}
		v := r.pendingViews[0]
		r.pendingViews[0] = nil
		r.pendingViews = r.pendingViews[1:]
		v.queued = false
		if v.index < 0 {
			continue
		}
		chosen := v.service.choose(v.daemon.hash, v.daemon.zone, r.evacuated, buffer[:0])
		v.service.coverRegions(v.daemon, r.evacuated, chosen)
		if c, ok := v.update(chosen); ok {
			out = append(out, ViewUpdate{Daemon: v.daemon.name, Change: c})
		}
	}
	return out, r.HasChanges()
}

// HasChanges reports whether views may have changed.
func (r *Registry) HasChanges() bool { return len(r.pendingViews)+len(r.changedServices) > 0 }

// update makes the candidates the content of the view and returns the difference; false means that there
// is none.
func (v *view) update(candidates []candidate) (Change, bool) {
	c := Change{Service: v.service.name, Base: v.version, Version: v.version + 1}
	if v.sendAll {
		c.Base, v.sent = 0, nil
	}
	for _, chosen := range candidates {
		if !slices.Contains(v.sent, chosen.endpoint) {
			c.Set = append(c.Set, *chosen.endpoint)
		}
	}
	for _, sent := range v.sent {
		if !slices.ContainsFunc(candidates, func(c candidate) bool { return c.endpoint.ID == sent.ID }) {
			c.Removed = append(c.Removed, sent.ID)
		}
	}
	if !v.sendAll && len(c.Set)+len(c.Removed) == 0 {
		return Change{}, false
	}
	v.version, v.sendAll = c.Version, false
	v.sent = make([]*snap.Endpoint, len(candidates))
	for i, chosen := range candidates {
		v.sent[i] = chosen.endpoint
	}
	return c, true
}

// choose appends the best candidates for a daemon to into: those in its availability zone first, then by the
// combined hash of daemon and instance (rendezvous hashing). Those in a zone under evacuation come last, because a view
// that only has such instances would leave the daemon without a server.
func (s *service) choose(daemon uint64, zone string, evacuated map[string]snap.Evacuation, into []candidate) []candidate {
	for _, inst := range s.instances {
		if inst.endpoint.Leaving {
			continue
		}
		c := inst.candidate(daemon, zone, evacuated)
		if len(into) == MaxView {
			if !c.before(into[MaxView-1]) {
				continue
			}
			into = into[:MaxView-1]
		}
		position := len(into)
		for position > 0 && c.before(into[position-1]) {
			position--
		}
		into = slices.Insert(into, position, c)
	}
	return into
}

// candidate returns the instance as a candidate for the view of a daemon.
func (i *instance) candidate(daemon uint64, zone string, evacuated map[string]snap.Evacuation) candidate {
	_, leaves := evacuated[i.endpoint.Zone]
	return candidate{endpoint: i.endpoint, score: mix(daemon ^ i.hash), sameZone: i.endpoint.Zone == zone, evacuated: leaves}
}

func (c candidate) before(other candidate) bool {
	if c.evacuated != other.evacuated {
		return other.evacuated
	}
	if c.sameZone != other.sameZone {
		return c.sameZone
	}
	if c.score != other.score {
		return c.score > other.score
	}
	return c.endpoint.ID < other.endpoint.ID
}

// mix hashes x with the finalizer of splitmix64, so that the order of scores differs between daemons.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (r *Registry) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{name: name}
		r.services[name] = s
	}
	return s
}

// markChanged adds a service to the list of changed services if it has subscribers.
func (r *Registry) markChanged(s *service) {
	if !s.changed && len(s.views) > 0 {
		s.changed = true
		r.changedServices = append(r.changedServices, s)
	}
}

// deleteUnused deletes a service without instances and subscribers.
func (r *Registry) deleteUnused(s *service) {
	if len(s.instances) == 0 && len(s.views) == 0 {
		delete(r.services, s.name)
	}
}

func (r *Registry) queueView(v *view) {
	if !v.queued && !v.daemon.held {
		v.queued = true
		r.pendingViews = append(r.pendingViews, v)
	}
}

func (r *Registry) unsubscribe(v *view) {
	s := v.service
	last := s.views[len(s.views)-1]
	s.views[v.index], last.index = last, v.index
	s.views = slices.Delete(s.views, len(s.views)-1, len(s.views))
	v.index = -1
	delete(v.daemon.views, s.name)
	r.deleteUnused(s)
}
