package reach

import (
	"slices"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

type (
	// Policy holds the restrictions that apply to one request. The zero value allows all backend servers.
	Policy struct {
		// Evacuated contains the availability zones whose servers receive no requests.
		Evacuated map[string]snap.Evacuation
		// Restricted is true if Regions applies: an empty list then allows no server.
		Restricted bool
		// Regions lists the regions in which the request may be handled.
		Regions []string
	}

	// Exclusion is EvacuatedZone or ForeignRegion.
	Exclusion interface{ exclusion() }

	// EvacuatedZone excludes a server whose availability zone is under evacuation.
	EvacuatedZone struct{ Zone string }

	// ForeignRegion excludes a server outside the allowed regions; Region is empty if it is not known.
	ForeignRegion struct{ Region string }
)

func (EvacuatedZone) exclusion() {}
func (ForeignRegion) exclusion() {}

// For returns the policy of a request. Each list of regions that is not empty applies, so that only the regions that
// are in all of them are allowed.
func For(evacuated map[string]snap.Evacuation, lists ...[]string) Policy {
	policy := Policy{Evacuated: evacuated}
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !policy.Restricted:
			policy.Restricted, policy.Regions = true, list
		default:
			policy.Regions = intersect(policy.Regions, list)
		}
	}
	return policy
}

func intersect(a, b []string) []string {
	var common []string
	for _, name := range a {
		if slices.Contains(b, name) {
			common = append(common, name)
		}
	}
	return common
}

// Exclude returns why the request must not be sent to the server, nil if it may be.
func (p *Policy) Exclude(endpoint *snap.Endpoint) Exclusion {
	if p.Restricted && (endpoint.Region == "" || !slices.Contains(p.Regions, endpoint.Region)) {
		return ForeignRegion{Region: endpoint.Region}
	}
	if _, evacuated := p.Evacuated[endpoint.Zone]; evacuated {
		return EvacuatedZone{Zone: endpoint.Zone}
	}
	return nil
}
