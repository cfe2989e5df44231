package disk

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"gotest.tools/v3/assert"
)

const testDir = "/data"

// testOpts returns options with small segments, so that a short history spans several of them.
func testOpts(fs FS) Options { return Options{FS: fs, SegmentSize: 600, KeepEntries: 8} }

// openDisk opens and loads a data folder with testOpts, and fails the test on an error.
func openDisk(t testing.TB, fs FS) (*Disk, raft.RecoveredState) {
	t.Helper()
	d, err := Open(testDir, testOpts(fs))
	assert.NilError(t, err)
	r, err := d.Load()
	assert.NilError(t, err)
	return d, r
}

// entries returns the entries first to last of one term.
func entries(first, last, term uint64) []raft.Entry {
	var list []raft.Entry
	for i := first; i <= last; i++ {
		list = append(list, raft.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return list
}

func snapshotAt(index, term uint64) raft.Snapshot {
	m := raft.Membership{Group: "g", Index: 1, Voters: []raft.Voter{{Name: "a", Disk: "d"}}}
	return raft.Snapshot{Index: index, Term: term, Membership: m, Data: []byte(strings.Repeat("state ", 100))}
}

// history returns a sequence of batches and snapshots that includes a change of the term, a truncation of the
// log and an installed snapshot.
func history() []any {
	var h []any
	for i := uint64(1); i <= 40; i++ {
		b := raft.Batch{Entries: entries(i, i, 1+i/30)}
		if i%10 == 1 {
			b.HardState = &raft.HardState{Term: 1 + i/30, Vote: "d", Boots: []raft.Boot{{Name: "b", Disk: "e", Number: i, Start: i}}}
		}
		h = append(h, b)
		if i == 25 {
			h = append(h, snapshotAt(20, 1))
		}
	}
	installed := snapshotAt(60, 3)
	return append(h,
		raft.Batch{HardState: &raft.HardState{Term: 3}, Entries: entries(38, 45, 3)},
		raft.Batch{Install: &installed, Entries: entries(61, 62, 3)},
		raft.Batch{Entries: entries(63, 70, 3)},
		snapshotAt(70, 3),
		raft.Batch{Entries: entries(71, 72, 3)})
}

// expectedState is the state that Load must return after the writes passed to write.
type expectedState struct {
	hardState    raft.HardState
	snapshot     *raft.Snapshot
	termsByIndex map[uint64]uint64 // of the log entries
	lastIndex    uint64
}

// write adds a batch or a snapshot to the expected state.
func (m *expectedState) write(step any) {
	switch s := step.(type) {
	case raft.Snapshot:
		m.snapshot = &s
	case raft.Batch:
		if s.HardState != nil {
			m.hardState = *s.HardState
		}
		if s.Install != nil {
			m.snapshot, m.lastIndex, m.termsByIndex = s.Install, s.Install.Index, nil
		}
		if m.termsByIndex == nil {
			m.termsByIndex = map[uint64]uint64{}
		}
		for _, e := range s.Entries {
			m.termsByIndex[e.Index], m.lastIndex = e.Term, e.Index
		}
	}
}

// diff describes how the restored state differs from the expected one; it is empty if they are equal.
func (m *expectedState) diff(r raft.RecoveredState) string {
	last := uint64(0)
	if r.Snapshot != nil {
		last = r.Snapshot.Index
	}
	if len(r.Entries) > 0 {
		last = r.Entries[len(r.Entries)-1].Index
	}
	if last != m.lastIndex {
		return fmt.Sprintf("the log ends at %d, expected %d", last, m.lastIndex)
	}
	for _, e := range r.Entries {
		if want, ok := m.termsByIndex[e.Index]; ok && (want != e.Term || string(e.Data) != fmt.Sprintf("entry %d of term %d", e.Index, e.Term)) {
			return fmt.Sprintf("entry %d of term %d, expected term %d", e.Index, e.Term, want)
		}
	}
	switch {
	case r.HardState.Term != m.hardState.Term || r.HardState.Vote != m.hardState.Vote || !slices.Equal(r.HardState.Boots, m.hardState.Boots):
		return fmt.Sprintf("hard state %+v, expected %+v", r.HardState, m.hardState)
	case (r.Snapshot == nil) != (m.snapshot == nil):
		return "the snapshot is missing or unexpected"
	case m.snapshot != nil && (r.Snapshot.Index != m.snapshot.Index || string(r.Snapshot.Data) != string(m.snapshot.Data)):
		return fmt.Sprintf("snapshot at %d, expected %d", r.Snapshot.Index, m.snapshot.Index)
	}
	return ""
}

// save writes a batch, with the next sequence number, or a snapshot.
func save(d *Disk, step any) error {
	if s, ok := step.(raft.Snapshot); ok {
		return d.SaveSnapshot(s)
	}
	batch := step.(raft.Batch)
	batch.Seq = d.lastSeq + 1
	return d.Save(batch)
}

// runHistory writes the history until an error. It returns the state of all acknowledged writes, and that
// state together with the interrupted write.
func runHistory(d *Disk) (before, after expectedState, err error) {
	for _, step := range history() {
		after.write(step)
		if err = save(d, step); err != nil {
			return before, after, err
		}
		before.write(step)
	}
	return before, after, nil
}

// Guards against a crash at any write or sync that loses an acknowledged batch, keeps a part of a batch, or
// leaves a folder that cannot be opened. A second crash follows during the recovery from the first.
func TestCrashAtEachOperation(t *testing.T) {
	complete := newMemFS(1)
	d, _ := openDisk(t, complete)
	_, _, err := runHistory(d)
	assert.NilError(t, err)
	for operation := 1; operation <= complete.ops; operation++ {
		for seed := range uint64(8) {
			fs := newMemFS(seed)
			fs.crashAt = operation
			var before, after expectedState
			if d, err := Open(testDir, testOpts(fs)); err == nil {
				if _, err = d.Load(); err == nil {
					before, after, err = runHistory(d)
				}
				assert.Assert(t, errors.Is(err, errCrash), "operation %d: %v", operation, err)
			}
			fs = fs.crash()
			fs.crashAt = 1 + int(seed)
			if d, err := Open(testDir, testOpts(fs)); err == nil {
				_, _ = d.Load()
			}
			fs = fs.crash()
			d, r := openDisk(t, fs)
			diffBefore, diffAfter := before.diff(r), after.diff(r)
			// An installed snapshot can be durable without its batch, which is a state between before and after.
			onlyInstalled := before.snapshot != after.snapshot && r.Snapshot != nil && r.Snapshot.Index == after.snapshot.Index
			assert.Assert(t, diffBefore == "" || diffAfter == "" || onlyInstalled, "operation %d seed %d: %s; %s", operation, seed, diffBefore, diffAfter)
			next := raft.Batch{Entries: entries(d.lastIndex+1, d.lastIndex+1, 9)}
			assert.NilError(t, save(d, next), "operation %d seed %d", operation, seed)
			_, r = openDisk(t, fs.crash())
			assert.Equal(t, r.Entries[len(r.Entries)-1].Term, uint64(9))
		}
	}
}

// Guards against a Disk that accepts writes after a failed write or sync, or after the disk was full.
func TestWriterStopsAfterFailure(t *testing.T) {
	complete := newMemFS(1)
	d, _ := openDisk(t, complete)
	opsOfOpen := complete.ops
	_, _, err := runHistory(d)
	assert.NilError(t, err)
	for operation := opsOfOpen + 1; operation <= complete.ops+40; operation++ {
		fs, want := newMemFS(uint64(operation)), errInjected
		if fs.failAt = operation; operation > complete.ops {
			fs.failAt, fs.freeSpace, want = 0, 300+100*(operation-complete.ops), errFull
		}
		d, _ := openDisk(t, fs)
		before, after, err := runHistory(d)
		assert.Assert(t, errors.Is(err, ErrStopped) && errors.Is(err, want), "operation %d: %v", operation, err)
		fs.freeSpace = -1
		assert.Assert(t, errors.Is(save(d, raft.Batch{Entries: entries(1, 1, 9)}), ErrStopped))
		_, r := openDisk(t, fs.crash())
		onlyInstalled := before.snapshot != after.snapshot && r.Snapshot != nil && r.Snapshot.Index == after.snapshot.Index
		assert.Assert(t, before.diff(r) == "" || after.diff(r) == "" || onlyInstalled, "operation %d: %s; %s", operation, before.diff(r), after.diff(r))
	}
}

// Guards against a corrupt byte that is accepted or removed like an incomplete record, also in the last record,
// and against a shortened segment that is refused or loses more than its last records.
func TestDamage(t *testing.T) {
	fs := newMemFS(3)
	d, _ := openDisk(t, fs)
	_, _, err := runHistory(d)
	assert.NilError(t, err)
	names, _ := fs.ReadDir("")
	for _, name := range names {
		size := len(fs.files[d.path(name)].data)
		for offset := range size {
			for _, mask := range []byte{1, 0x80} {
				corrupt := fs.clone()
				corrupt.files[d.path(name)].data[offset] ^= mask
				d, err := Open(testDir, testOpts(corrupt))
				if err == nil {
					_, err = d.Load()
				}
				assert.Assert(t, errors.Is(err, ErrDamaged) && strings.Contains(err.Error(), name), "%s byte %d: %v", name, offset, err)
			}
		}
	}
	last := d.path(segmentName(d.segments[len(d.segments)-1].number))
	for size := range len(fs.files[last].data) {
		truncated := fs.clone()
		f := truncated.files[last]
		f.data, f.synced = f.data[:size], f.data[:size]
		_, r := openDisk(t, truncated)
		assert.Assert(t, len(r.Entries) == 0 || r.Entries[len(r.Entries)-1].Index <= 72)
		assert.Assert(t, r.Snapshot != nil && r.Snapshot.Index == 70)
	}
}

// Guards against a restart after hundreds of changes that does not restore the exact state.
func TestRestartAfter500Changes(t *testing.T) {
	dir := t.TempDir()
	d, err := Open(dir, Options{})
	assert.NilError(t, err)
	_, err = d.Load()
	assert.NilError(t, err)
	var want expectedState
	for i := uint64(1); i <= 500; i++ {
		b := raft.Batch{HardState: &raft.HardState{Term: i, Vote: fmt.Sprint(i)}, Entries: entries(i, i, i)}
		want.write(b)
		assert.NilError(t, save(d, b))
	}
	_, err = Open(dir, Options{})
	assert.ErrorIs(t, err, ErrLocked)
	assert.NilError(t, d.Close())
	for boot := uint64(2); boot < 5; boot++ {
		d, err = Open(dir, Options{})
		assert.NilError(t, err)
		r, err := d.Load()
		assert.NilError(t, err)
		assert.Equal(t, want.diff(r), "")
		assert.Equal(t, len(r.Entries), 500)
		assert.Equal(t, r.Boot, boot)
		assert.Equal(t, len(r.Lineage), int(boot-1))
		assert.NilError(t, d.Close())
	}
}

// Guards against reading a data folder of a newer format version, and against formatting a data folder as a new
// disk because only its member file is missing.
func TestFormat(t *testing.T) {
	fs := newMemFS(5)
	d, _ := openDisk(t, fs)
	assert.NilError(t, save(d, raft.Batch{Entries: entries(1, 1, 1)}))
	assert.NilError(t, d.Close())
	newerFormat := fs.clone()
	buf, err := encodeRecord(nil, &identity{Version: 2, Disk: "d", Boot: 1, Starts: make([]byte, 8)})
	assert.NilError(t, err)
	newerFormat.files[d.path(memberFile)].data = buf
	_, err = Open(testDir, testOpts(newerFormat))
	assert.ErrorIs(t, err, ErrFormat)
	assert.NilError(t, fs.Remove(d.path(memberFile)))
	_, err = Open(testDir, testOpts(fs))
	assert.ErrorIs(t, err, ErrDamaged)
}

// Guards against a panic of scanSegment on corrupt input, and against accepted entries that are not consecutive.
func FuzzScan(f *testing.F) {
	fs := newMemFS(3)
	d, _ := openDisk(f, fs)
	_, _, err := runHistory(d)
	assert.NilError(f, err)
	for _, s := range d.segments {
		f.Add(fs.files[d.path(segmentName(s.number))].data, true)
	}
	f.Fuzz(func(t *testing.T, data []byte, isLast bool) {
		var replay logReplay
		size, err := scanSegment("fuzz", data, isLast, func(r *record) error { return replay.add(r, &segment{}) })
		if err == nil && !isLast {
			assert.Equal(t, size, len(data))
		}
		for i := 1; i < len(replay.entries); i++ {
			assert.Equal(t, replay.entries[i].Index, replay.entries[i-1].Index+1)
		}
	})
}

// Guards against a data folder without a size limit when entries are large, and against a gap in the log after
// compaction.
func TestCompactBySize(t *testing.T) {
	fs := newMemFS(1)
	opts := testOpts(fs)
	opts.KeepEntries, opts.KeepBytes = 4096, 3000
	d, err := Open(testDir, opts)
	assert.NilError(t, err)
	_, err = d.Load()
	assert.NilError(t, err)
	for i := uint64(1); i <= 200; i++ {
		assert.NilError(t, d.Save(raft.Batch{Seq: i, Entries: entries(i, i, 1)}))
		if i%20 == 0 {
			assert.NilError(t, d.SaveSnapshot(snapshotAt(i, 1)))
			segmentBytes := int64(0)
			for _, s := range d.segments {
				segmentBytes += s.size
			}
			assert.Assert(t, segmentBytes <= opts.KeepBytes+2*opts.SegmentSize, "%d bytes of segments at entry %d", segmentBytes, i)
		}
	}
	assert.NilError(t, d.Close())
	_, r := openDisk(t, fs)
	assert.Equal(t, r.Snapshot.Index, uint64(200))
	for i := 1; i < len(r.Entries); i++ {
		assert.Equal(t, r.Entries[i].Index, r.Entries[i-1].Index+1)
	}
	assert.Equal(t, r.Entries[len(r.Entries)-1].Index, uint64(200))
}
