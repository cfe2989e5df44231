package relay

import (
	"context"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/local"
	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
)

// zoneFailure returns why the server must not receive new requests because of its availability zone, nil if it may.
func (b *LocalBackend) zoneFailure() retry.Failure {
	return reach.ZoneFailure(b.Control.Snapshot(), b.Zone)
}

// watchEvacuations refuses the waiting requests whenever the evacuation of this daemon's zone begins, until ctx ends.
func (b *LocalBackend) watchEvacuations(ctx context.Context) error {
	return local.WatchEvacuations(ctx, b.Control, b.refuseQueuedInZone)
}

// refuseQueuedInZone refuses the waiting requests if the server must not receive them because of its zone.
func (b *LocalBackend) refuseQueuedInZone() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil {
		b.refuseQueuedInZoneLocked(b.current)
	}
}

// refuseQueuedInZoneLocked is refuseQueuedInZone for one process of the server; b.mu is held.
func (b *LocalBackend) refuseQueuedInZoneLocked(s *serverProcess) {
	if failure := b.zoneFailure(); failure != nil {
		b.refuseWaiting(s, notRun{failure: failure})
	}
}

// countRefusal counts a request that was refused because of an evacuation.
func (b *LocalBackend) countRefusal(refused outcome) {
	if result, ok := refused.(notRun); ok && result.failure == (retry.Evacuated{}) {
		b.Meter.EvacuationRefused()
	}
}
