package simul

import (
	"fmt"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
)

// memDisk is the durable state of a member. Each write is atomic and synced.
type memDisk struct {
	id        string
	starts    []uint64
	hardState raft.HardState
	snapshot  *raft.Snapshot
	entries   []raft.Entry
	base      uint64 // index of the entry before the first one
}

// open records a start and returns the stored state, as disk.Open and Load do.
func (d *memDisk) open(start uint64) raft.RecoveredState {
	restored := raft.RecoveredState{
		Disk: d.id, Boot: uint64(len(d.starts) + 1), Start: start, Lineage: d.starts,
		HardState: d.hardState, Snapshot: d.snapshot, Entries: d.entries[:len(d.entries):len(d.entries)],
	}
	d.starts = append(d.starts[:len(d.starts):len(d.starts)], start)
	if d.snapshot != nil && !d.continuesSnapshot() {
		d.entries, d.base, restored.Entries = nil, d.snapshot.Index, nil
	}
	return restored
}

// continuesSnapshot reports whether the log continues the snapshot. It does not if the snapshot was synced and the
// entries before it were not.
func (d *memDisk) continuesSnapshot() bool {
	s := d.snapshot
	if s.Index <= d.base {
		return s.Index == d.base
	}
	offset := s.Index - d.base - 1
	return offset < uint64(len(d.entries)) && d.entries[offset].Term == s.Term
}

// write executes a Persist or PersistSnapshot and returns an error if a batch leaves a gap in the log.
func (d *memDisk) write(action raft.Action) error {
	switch a := action.(type) {
	case raft.Persist:
		return d.save(a.Batch)
	case raft.PersistSnapshot:
		d.saveSnapshot(a.Snapshot)
	}
	return nil
}

func (d *memDisk) save(batch raft.Batch) error {
	if batch.HardState != nil {
		d.hardState = *batch.HardState
	}
	if batch.Install != nil {
		d.snapshot, d.entries, d.base = batch.Install, nil, batch.Install.Index
	}
	if len(batch.Entries) == 0 {
		return nil
	}
	first := batch.Entries[0].Index
	if first <= d.base || first > d.base+uint64(len(d.entries))+1 {
		return fmt.Errorf("entries from %d follow %d entries after %d", first, len(d.entries), d.base)
	}
	kept := first - d.base - 1
	d.entries = append(d.entries[:kept:kept], batch.Entries...)
	return nil
}

func (d *memDisk) saveSnapshot(s raft.Snapshot) {
	if d.snapshot != nil && d.snapshot.Index >= s.Index {
		return
	}
	d.snapshot = &s
	for len(d.entries) > 0 && d.entries[0].Index+keepEntries <= s.Index {
		d.entries, d.base = d.entries[1:], d.base+1
	}
}
