package call

import (
	"context"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
)

// closed returns why the backend server must not receive new requests because of its availability zone, nil if it may.
func (b *backends) closed(server *backend) retry.Failure {
	return reach.LocalFailure(b.control.Snapshot(), server.endpoint.Zone)
}

// flushClosed refuses the waiting requests of the backend servers that must not receive them.
func (b *backends) flushClosed() {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, server := range b.byID {
		if failure := b.closed(server); failure != nil {
			server.limiter.Flush(failure)
		}
	}
}

// watchEvacuations refuses the waiting requests of backend servers whose evacuation begins, until ctx ends.
func (b *backends) watchEvacuations(ctx context.Context) error {
	for {
		changed := b.control.Snapshot().EvacuationsChanged
		b.flushClosed()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
