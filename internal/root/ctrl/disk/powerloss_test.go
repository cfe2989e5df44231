package disk

import (
	"errors"
	"flag"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"gotest.tools/v3/assert"
)

var interruptionSeeds = flag.Uint64("interruption-seeds", 200, "number of random sequences of interruptions")

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
		for seed := range uint64(8) {
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

// randomWriter writes random batches and snapshots and records what the disk must hold.
type randomWriter struct {
	random *rand.Rand
	disk   *Disk
	// reported is what the disk has reported as stored, attempted includes the write that failed.
	reported, attempted expectedState
	committed, term     uint64
	loaded              raft.RecoveredState
}

// openAt opens the disk and continues with what it has recovered.
func (w *randomWriter) openAt(fs *memFS) error {
	d, err := Open(testDir, testOpts(fs))
	if err != nil {
		return err
	}
	r, err := d.Load()
	if err != nil {
		return err
	}
	w.disk, w.loaded, w.reported = d, r, stateOf(r)
	w.attempted = w.reported.copy()
	w.term = max(w.term, r.HardState.Term) + 1
	if r.Snapshot != nil {
		w.committed = max(w.committed, r.Snapshot.Index)
	}
	w.committed = min(w.committed, w.reported.lastIndex)
	return nil
}

// next returns a random write that continues the log as a consensus member does.
func (w *randomWriter) next() any {
	last := w.reported.lastIndex
	snapshotIndex := uint64(0)
	if w.reported.snapshot != nil {
		snapshotIndex = w.reported.snapshot.Index
	}
	switch kind := w.random.IntN(12); {
	case kind == 0 && w.committed > snapshotIndex:
		if term, found := w.reported.termsByIndex[w.committed]; found {
			return snapshotAt(w.committed, term)
		}
	case kind == 1:
		installed := snapshotAt(last+1+w.random.Uint64N(20), w.term)
		return raft.Batch{Install: &installed, Entries: entries(installed.Index+1, installed.Index+w.random.Uint64N(3), w.term)}
	case kind == 2:
		w.term++
	case kind == 3:
		return raft.Batch{HardState: &raft.HardState{Term: w.term, Vote: "d", Boots: []raft.Boot{{Name: "b", Disk: "e", Number: w.term, Start: last + 1}}}}
	}
	first := max(w.committed, snapshotIndex) + 1 + w.random.Uint64N(max(last-max(w.committed, snapshotIndex), 0)+1)
	if w.random.IntN(3) > 0 {
		first = last + 1
	}
	return raft.Batch{Entries: entries(first, first+w.random.Uint64N(6), w.term)}
}

func (w *randomWriter) write(step any) error {
	w.attempted = w.reported.copy()
	w.attempted.write(step)
	if err := save(w.disk, step); err != nil {
		return err
	}
	w.reported = w.attempted.copy()
	w.committed = max(w.committed, w.reported.lastIndex-min(w.reported.lastIndex, w.random.Uint64N(8)))
	return nil
}

func (m *expectedState) copy() expectedState {
	c := *m
	c.termsByIndex = maps.Clone(m.termsByIndex)
	return c
}

// Guards against a data folder that loses what it has reported as stored, or cannot be opened, after any sequence of
// kills, losses of power, failed writes and full disks, also during a recovery.
func TestRandomInterruptions(t *testing.T) {
	for seed := range *interruptionSeeds {
		fs := newMemFS(seed)
		w := &randomWriter{random: rand.New(rand.NewPCG(seed, 3))}
		assert.NilError(t, w.openAt(fs))
		for round := range 20 {
			w.interrupt(fs)
			for err := error(nil); err == nil; {
				err = w.write(w.next())
			}
			before, after := w.reported.copy(), w.attempted.copy()
			for attempt := 0; ; attempt++ {
				if w.random.IntN(2) == 0 {
					fs = fs.crash()
				}
				fs.kill()
				if attempt < 3 && w.random.IntN(2) == 0 {
					fs.crashAt = fs.ops + 1 + w.random.IntN(8) // during the recovery
				}
				err := w.openAt(fs)
				if err == nil && !fs.crashed {
					break
				}
				assert.Assert(t, fs.crashed, "seed %d round %d: %v", seed, round, err)
			}
			fs.kill()
			r := w.loaded
			onlyInstalled := before.snapshot != after.snapshot && w.reported.snapshot != nil && after.snapshot != nil && w.reported.snapshot.Index == after.snapshot.Index
			diffBefore, diffAfter := before.diff(r), after.diff(r)
			assert.Assert(t, diffBefore == "" || diffAfter == "" || onlyInstalled, "seed %d round %d: %s; %s", seed, round, diffBefore, diffAfter)
		}
	}
}

// interrupt lets one of the next operations fail.
func (w *randomWriter) interrupt(fs *memFS) {
	switch w.random.IntN(4) {
	case 0:
		fs.failAt = fs.ops + 1 + w.random.IntN(60)
	case 1:
		fs.freeSpace = w.random.IntN(6000)
	default:
		fs.crashAt = fs.ops + 1 + w.random.IntN(60)
	}
}

// Guards against a disk that cannot be opened because a loss of power has kept the end of its last write, which is
// shorter than a sector, and not the beginning.
func TestLastWriteWithoutItsBeginning(t *testing.T) {
	fs := newMemFS(3)
	d, _ := openDisk(t, fs)
	assert.NilError(t, save(d, raft.Batch{Entries: entries(1, 1, 1)}))
	segment := d.path(segmentName(1))
	begin := len(fs.files[segment].data)
	assert.NilError(t, save(d, raft.Batch{Entries: entries(2, 2, 1)}))
	for end := begin + headerSize; end < len(fs.files[segment].data); end++ {
		torn := fs.clone()
		clear(torn.files[segment].data[begin:end])
		_, r := openDisk(t, torn)
		assert.Equal(t, len(r.Entries), 1)
	}
}
