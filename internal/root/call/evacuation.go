package call

import (
	"context"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/local"
	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
)

// zoneFailure returns why the backend server must not receive new requests because of its availability zone, nil if it
// may.
func (b *backends) zoneFailure(server *backend) retry.Failure {
	return reach.ZoneFailure(b.control.Snapshot(), server.endpoint.Zone)
}

// watchEvacuations refuses the waiting requests of backend servers whose evacuation begins, until ctx ends.
func (b *backends) watchEvacuations(ctx context.Context) error {
	return local.WatchEvacuations(ctx, b.control, b.refuseQueuedInZone)
}

// refuseQueuedInZone refuses the waiting requests of the backend servers that must not receive them because of their
// zone.
func (b *backends) refuseQueuedInZone() {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, server := range b.byID {
		if failure := b.zoneFailure(server); failure != nil {
			server.limiter.Flush(failure)
		}
	}
}
