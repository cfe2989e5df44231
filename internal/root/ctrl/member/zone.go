package member

import "github.com/buckthornpitch/buckthornpitch/internal/snap"

// SetEvacuated replaces the availability zones under evacuation and queues the views that may change.
func (r *Registry) SetEvacuated(evacuated map[string]snap.Evacuation) {
	r.evacuated = evacuated
	for _, s := range r.services {
		r.markChanged(s)
	}
}

// Zones returns the number of instances by availability zone, without those that are leaving.
func (r *Registry) Zones() map[string]int {
	zones := map[string]int{}
	for _, s := range r.services {
		for _, inst := range s.instances {
			if !inst.endpoint.Leaving {
				zones[inst.endpoint.Zone]++
			}
		}
	}
	return zones
}
