package member

import (
	"slices"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// coverRegions replaces candidates of a full view, the last ones first, until it holds minPerRegion instances of each
// region that the daemon needs, as far as there are any outside the evacuated availability zones.
func (s *service) coverRegions(d *daemon, evacuated map[string]snap.Evacuation, view []candidate) {
	if len(view) < MaxView {
		return // the view holds all instances
	}
	for _, region := range d.regions {
		for countRegion(view, region) < minPerRegion {
			missing, found := s.bestInRegion(d, evacuated, region, view)
			spare := lastSpare(view, d.regions)
			if !found || spare < 0 {
				break
			}
			view[spare] = missing
		}
	}
}

// bestInRegion returns the best candidate of the region that is not in the view nor evacuated.
func (s *service) bestInRegion(d *daemon, evacuated map[string]snap.Evacuation, region string, view []candidate) (best candidate, found bool) {
	for _, inst := range s.instances {
		if inst.endpoint.Leaving || inst.endpoint.Region != region {
			continue
		}
		c := inst.candidate(d.hash, d.zone, evacuated)
		inView := slices.ContainsFunc(view, func(other candidate) bool { return other.endpoint == c.endpoint })
		if !inView && !c.evacuated && (!found || c.before(best)) {
			best, found = c, true
		}
	}
	return best, found
}

// lastSpare returns the index of the last candidate that is evacuated or that none of the regions needs, -1 if there is none.
func lastSpare(view []candidate, regions []string) int {
	for i := len(view) - 1; i >= 0; i-- {
		region := view[i].endpoint.Region
		if view[i].evacuated || !slices.Contains(regions, region) || countRegion(view, region) > minPerRegion {
			return i
		}
	}
	return -1
}

// countRegion returns how many candidates of the view can serve requests in the region.
func countRegion(view []candidate, region string) int {
	count := 0
	for _, c := range view {
		if c.endpoint.Region == region && !c.evacuated {
			count++
		}
	}
	return count
}
