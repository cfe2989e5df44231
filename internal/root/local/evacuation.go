package local

import (
	"context"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// Control publishes the control state of the daemon.
type Control interface{ Snapshot() *snap.Snapshot }

// WatchEvacuations calls refuseQueued at the start and after each change of the zones under evacuation, until ctx ends.
// The snapshot is published before the change is signaled.
func WatchEvacuations(ctx context.Context, control Control, refuseQueued func()) error {
	for {
		changed := control.Snapshot().EvacuationsChanged
		refuseQueued()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
