package disk

import (
	"errors"
	"testing"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"gotest.tools/v3/assert"
)

// kill ends the process that uses the file system. Its files stay as written, and what it has not synced can still be
// lost with the power.
func (m *memFS) kill() {
	m.crashed, m.crashAt, m.failAt, m.locked, m.freeSpace = false, 0, 0, false, -1
}

// stateOf returns the expected state that equals a recovered one.
func stateOf(r raft.RecoveredState) expectedState {
	var s expectedState
	if r.Snapshot != nil {
		s.write(*r.Snapshot)
		s.lastIndex = r.Snapshot.Index
	}
	hardState := r.HardState
	s.write(raft.Batch{HardState: &hardState, Entries: r.Entries})
	return s
}

// Guards against entries, votes and snapshots that a process finds at its start, reports as synced, and loses with the
// power, because an earlier process was killed before their sync.
func TestPowerLossAfterAKill(t *testing.T) {
	complete := newMemFS(1)
	d, _ := openDisk(t, complete)
	_, _, err := runHistory(d)
	assert.NilError(t, err)
	for operation := 1; operation <= complete.ops; operation++ {
		for seed := range uint64(16) {
			fs := newMemFS(seed)
			fs.crashAt = operation
			if d, err := Open(testDir, testOpts(fs)); err == nil {
				if _, err = d.Load(); err == nil {
					_, _, err = runHistory(d)
				}
				assert.Assert(t, errors.Is(err, errCrash), "operation %d: %v", operation, err)
			}
			fs.kill()
			_, recovered := openDisk(t, fs)
			want := stateOf(recovered)
			_, r := openDisk(t, fs.crash())
			assert.Equal(t, want.diff(r), "", "operation %d seed %d", operation, seed)
		}
	}
}
