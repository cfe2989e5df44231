package reach

import (
	"fmt"
	"slices"
	"strings"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// maxRegionText bounds the names of regions in a refusal, in bytes.
const maxRegionText = 512

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

// Describe returns an exclusion as text, empty for none.
func Describe(e Exclusion) string {
	switch e := e.(type) {
	case EvacuatedZone:
		return fmt.Sprintf("the availability zone %s is under evacuation", e.Zone)
	case ForeignRegion:
		if e.Region == "" {
			return "its region is not known"
		}
		return fmt.Sprintf("the region %s is not allowed", e.Region)
	}
	return ""
}

// For returns the policy of a request. Each list of regions that is not empty applies, so that only the regions that
// are in all of them are allowed.
func For(evacuated map[string]snap.Evacuation, lists ...[]string) Policy {
	return Policy{Evacuated: evacuated}.Narrow(lists...)
}

// Narrow returns the policy with further lists of regions applied as by For.
func (p Policy) Narrow(lists ...[]string) Policy {
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !p.Restricted:
			p.Restricted, p.Regions = true, list
		default:
			p.Regions = intersect(p.Regions, list)
		}
	}
	return p
}

// NarrowTo returns the policy with the lists of later rules applied; route is the request's route in them, nil if there
// is none.
func (p Policy) NarrowTo(latest *rules.Set, route *rules.Route, account string) Policy {
	p = p.Narrow(latest.AccountRegions(account))
	if route == nil {
		return p
	}
	return p.Narrow(route.Regions)
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

// Refusal returns the failure of a request that was sent nowhere because none of the endpoints could be chosen. The
// evacuation is named if all others are excluded too, and otherwise the allowed regions if they exclude one.
func (p *Policy) Refusal(endpoints []snap.Endpoint) retry.Failure {
	if _, evacuated := p.ExcludeAll(endpoints).(EvacuatedZone); evacuated {
		return retry.Evacuated{}
	}
	for i := range endpoints {
		if _, foreign := p.Exclude(&endpoints[i]).(ForeignRegion); foreign {
			return retry.RegionNotAllowed{Regions: p.regionText()}
		}
	}
	return retry.NoBackend{}
}

func (p *Policy) regionText() string {
	text := strings.Join(p.Regions, ",")
	if len(text) > maxRegionText {
		return strings.ToValidUTF8(text[:maxRegionText], "") + "…"
	}
	return text
}
