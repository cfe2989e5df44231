package relay

import (
	"context"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
)

// closed returns why the server must not receive new requests because of its availability zone, nil if it may.
func (b *LocalBackend) closed() retry.Failure {
	return reach.LocalFailure(b.Control.Snapshot(), b.Zone)
}

// refuseClosed refuses the waiting requests if the server must not receive them; b.mu is held.
func (b *LocalBackend) refuseClosed(s *serverProcess) {
	if failure := b.closed(); failure != nil {
		b.refuseWaiting(s, notRun{failure: failure})
	}
}

// flushClosed refuses the waiting requests if the server must not receive them.
func (b *LocalBackend) flushClosed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil {
		b.refuseClosed(b.current)
	}
}

// watchEvacuations refuses the waiting requests whenever the evacuation of this daemon's zone begins, until ctx ends.
func (b *LocalBackend) watchEvacuations(ctx context.Context) error {
	for {
		changed := b.Control.Snapshot().EvacuationsChanged
		b.flushClosed()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// countRefusal counts a request that was refused because of an evacuation.
func (b *LocalBackend) countRefusal(refused outcome) {
	if result, ok := refused.(notRun); ok && result.failure == (retry.Evacuated{}) {
		b.Meter.EvacuationRefused()
	}
}
