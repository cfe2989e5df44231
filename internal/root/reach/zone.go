package reach

import (
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// ZoneFailure returns the failure with which a daemon refuses requests for the backend servers beside it, nil if it
// accepts them; zone is their availability zone. A daemon that has not received the list of evacuations yet returns
// Unreached, which daemons of earlier versions know too.
func ZoneFailure(snapshot *snap.Snapshot, zone string) retry.Failure {
	if snapshot.EvacuationsUnknown {
		return retry.Unreached{}
	}
	if _, evacuated := snapshot.Evacuated[zone]; evacuated {
		return retry.Evacuated{}
	}
	return nil
}

// ExcludeAll returns why none of the servers may receive the request, nil if one may or the list is empty. An evacuation
// takes precedence over a region: it is temporary, so that a resend may succeed.
func (p *Policy) ExcludeAll(endpoints []snap.Endpoint) Exclusion {
	var cause Exclusion
	for i := range endpoints {
		switch exclusion := p.Exclude(&endpoints[i]).(type) {
		case nil:
			return nil
		case EvacuatedZone:
			cause = exclusion
		case ForeignRegion:
			if cause == nil {
				cause = exclusion
			}
		}
	}
	return cause
}
