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
		// dirty is set while the service waits in the registry's list of changed services.
		dirty bool
	}

	// view is what one daemon knows of one service.
	view struct {
		daemon  *daemon
		service *service
		index   int // position in the service's views, -1 after the daemon unsubscribed
		version uint64
		// sent holds the endpoints that the daemon has; full is set when it has to get all of them.
		sent []*snap.Endpoint
		full bool
		// waiting is set while the view is in the registry's list of pending views.
		waiting bool
	}

	// choice is a candidate for a view; an own one is in the daemon's availability zone.
	choice struct {
		endpoint *snap.Endpoint
		score    uint64
		own      bool
	}
)

// Want replaces the services that the daemon subscribes to and marks all of them for a full view.
func (r *Registry) Subscribe(name string, w *Subscription) {
	d := r.daemons[name]
	if d == nil {
		return
	}
	for wanted, v := range d.views {
		if !slices.Contains(w.Services, wanted) {
			r.unsubscribe(v)
		}
	}
	for _, wanted := range w.Services {
		v := d.views[wanted]
		if v == nil {
			s := r.service(wanted)
			v = &view{daemon: d, service: s, index: len(s.views)}
			s.views = append(s.views, v)
			d.views[wanted] = v
		}
		v.full = true
		r.queue(v)
	}
}

// View returns the instances of service that the daemon learns, at most MaxView.
func (r *Registry) View(service, daemon, zone string) []snap.Endpoint {
	s := r.services[service]
	if s == nil {
		return nil
	}
	var chosen []snap.Endpoint
	for _, c := range s.choose(xxhash.Sum64String(daemon), zone, nil) {
		chosen = append(chosen, *c.endpoint)
	}
	return chosen
}

// Changes returns the changes of at most limit views and whether more views may have changed, so that the
// loop can interleave a large change with its other work.
func (r *Registry) Changes(limit int) ([]Send, bool) {
	var out []Send
	var buffer [MaxView]choice
	for range limit {
		for len(r.pending) == 0 && len(r.dirty) > 0 {
			s := r.dirty[0]
			r.dirty = r.dirty[1:]
			s.dirty = false
			for _, v := range s.views {
				r.queue(v)
			}
		}
		if len(r.pending) == 0 {
			return out, false
		}
		v := r.pending[0]
		r.pending[0] = nil
		r.pending = r.pending[1:]
		v.waiting = false
		if v.index < 0 {
			continue
		}
		if c, ok := v.update(v.service.choose(v.daemon.hash, v.daemon.zone, buffer[:0])); ok {
			out = append(out, Send{Daemon: v.daemon.name, Change: c})
		}
	}
	return out, len(r.pending)+len(r.dirty) > 0
}

// update makes the choices the view's content and returns the difference; false means that there is none.
func (v *view) update(choices []choice) (Change, bool) {
	c := Change{Service: v.service.name, Base: v.version, Version: v.version + 1}
	if v.full {
		c.Base, v.sent = 0, nil
	}
	for _, chosen := range choices {
		if !slices.Contains(v.sent, chosen.endpoint) {
			c.Set = append(c.Set, *chosen.endpoint)
		}
	}
	for _, sent := range v.sent {
		if !slices.ContainsFunc(choices, func(c choice) bool { return c.endpoint.ID == sent.ID }) {
			c.Removed = append(c.Removed, sent.ID)
		}
	}
	if !v.full && len(c.Set)+len(c.Removed) == 0 {
		return Change{}, false
	}
	v.version, v.full = c.Version, false
	v.sent = make([]*snap.Endpoint, len(choices))
	for i, chosen := range choices {
		v.sent[i] = chosen.endpoint
	}
	return c, true
}

// choose appends the best choices for a daemon to into: its own availability zone first, then by the
// combined hash of daemon and instance (rendezvous hashing).
func (s *service) choose(daemon uint64, zone string, into []choice) []choice {
	for _, known := range s.instances {
		if known.endpoint.Leaving {
			continue
		}
		c := choice{known.endpoint, mix(daemon ^ known.hash), known.endpoint.Zone == zone}
		if len(into) == MaxView {
			if !c.before(into[MaxView-1]) {
				continue
			}
			into = into[:MaxView-1]
		}
		at := len(into)
		for at > 0 && c.before(into[at-1]) {
			at--
		}
		into = slices.Insert(into, at, c)
	}
	return into
}

func (c choice) before(other choice) bool {
	if c.own != other.own {
		return c.own
	}
	if c.score != other.score {
		return c.score > other.score
	}
	return c.endpoint.ID < other.endpoint.ID
}

// mix spreads the bits of x (the finalizer of splitmix64), so that the order of scores differs per daemon.
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

// touch marks a service whose instances changed.
func (r *Registry) touch(s *service) {
	if !s.dirty && len(s.views) > 0 {
		s.dirty = true
		r.dirty = append(r.dirty, s)
	}
}

// forget removes a service that nobody offers or calls.
func (r *Registry) forget(s *service) {
	if len(s.instances) == 0 && len(s.views) == 0 {
		delete(r.services, s.name)
	}
}

func (r *Registry) queue(v *view) {
	if !v.waiting {
		v.waiting = true
		r.pending = append(r.pending, v)
	}
}

func (r *Registry) unsubscribe(v *view) {
	s := v.service
	last := s.views[len(s.views)-1]
	s.views[v.index], last.index = last, v.index
	s.views = slices.Delete(s.views, len(s.views)-1, len(s.views))
	v.index = -1
	delete(v.daemon.views, s.name)
	r.forget(s)
}
