package member

import (
	"maps"
	"slices"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// Views holds a daemon's views of the services that it calls; it belongs to the control loop.
type Views struct {
	// Services maps service names to instances. It is replaced, never modified, so that it may be published to
	// traffic goroutines.
	Services map[string][]snap.Endpoint

	versions map[string]uint64
}

// NewViews returns empty views.
func NewViews() *Views { return &Views{versions: make(map[string]uint64)} }

// Apply applies a change; false means that an earlier change is missing and the daemon must send its
// Subscription again.
func (v *Views) Apply(c *Change) bool {
	if c.Base != 0 && c.Base != v.versions[c.Service] {
		return false
	}
	replaced := func(e snap.Endpoint) bool {
		return slices.Contains(c.Removed, e.ID) || slices.ContainsFunc(c.Set, func(n snap.Endpoint) bool { return n.ID == e.ID })
	}
	var next []snap.Endpoint
	if c.Base != 0 {
		next = slices.DeleteFunc(slices.Clone(v.Services[c.Service]), replaced)
	}
	next = append(next, c.Set...)
	services := maps.Clone(v.Services)
	if services == nil {
		services = make(map[string][]snap.Endpoint)
	}
	services[c.Service] = next
	v.Services, v.versions[c.Service] = services, c.Version
	return true
}
