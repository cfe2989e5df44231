package reach

import (
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// LocalFailure returns with which failure a daemon refuses the requests for the backend servers beside it, which are in
// the given availability zone, nil if it passes them on. A daemon that does not know the evacuations yet has just
// started; it refuses them as before its servers have announced themselves, with a reason that earlier versions know.
func LocalFailure(snapshot *snap.Snapshot, zone string) retry.Failure {
	if snapshot.EvacuationsUnknown {
		return retry.Unreached{}
	}
	if _, evacuated := snapshot.Evacuated[zone]; evacuated {
		return retry.Evacuated{}
	}
	return nil
}

// ExcludeAll returns why the request must not be sent to any of the servers, nil if it may be sent to one or if there
// are none. An evacuation comes first, because it ends by itself for the caller.
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
