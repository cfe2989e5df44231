package disk

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
)

// replay collects the records of all segments in order.
type replay struct {
	hard    raft.HardState
	reset   point
	entries []raft.Entry
}

// Load returns the state of this start. It cuts off a torn tail, and returns ErrDamaged with file and
// offset for anything else that does not match its checksum.
func (d *Disk) Load() (raft.RecoveredState, error) {
	restored, err := d.load()
	if err != nil {
		d.stopped = err
		return raft.RecoveredState{}, fmt.Errorf("load data folder: %w", err)
	}
	return restored, nil
}

func (d *Disk) load() (raft.RecoveredState, error) {
	var r raft.RecoveredState
	d.restoreIdentity(&r)
	names, err := d.fs.ReadDir(d.dir)
	if err != nil {
		return r, err
	}
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, temporary):
			if err := d.fs.Remove(d.path(name)); err != nil {
				return r, err
			}
		case strings.HasPrefix(name, segmentPrefix):
			number, err := parseName(name, segmentPrefix)
			if err != nil {
				return r, err
			}
			if len(d.segments) > 0 && number != d.segments[len(d.segments)-1].number+1 {
				return r, fmt.Errorf("%w: the segment before %s is missing", ErrDamaged, d.path(name))
			}
			d.segments = append(d.segments, segment{number: number})
		case strings.HasPrefix(name, snapshotPrefix):
			index, err := parseName(name, snapshotPrefix)
			if err != nil {
				return r, err
			}
			d.snapshots = append(d.snapshots, index)
		}
	}
	var log replay
	for i := range d.segments {
		if err := d.loadSegment(i, &log); err != nil {
			return r, err
		}
	}
	if count := len(d.segments); count > 0 && d.segments[count-1].size == 0 {
		// The crash came before the first sync of the segment.
		if err := d.fs.Remove(d.path(segmentName(d.segments[count-1].number))); err != nil {
			return r, err
		}
		if err := d.fs.SyncDir(d.dir); err != nil {
			return r, err
		}
		d.segments = d.segments[:count-1]
	}
	if len(d.snapshots) > 0 {
		if r.Snapshot, err = d.readSnapshot(d.snapshots[len(d.snapshots)-1]); err != nil {
			return r, err
		}
	}
	if err := d.reconcile(&log, r.Snapshot); err != nil {
		return r, err
	}
	r.HardState, r.Entries = log.hard, log.entries
	d.hard = log.hard
	return r, d.openLast()
}

func (d *Disk) loadSegment(i int, log *replay) error {
	s, last := &d.segments[i], i == len(d.segments)-1
	name := d.path(segmentName(s.number))
	data, err := d.fs.ReadFile(name, maxSegment)
	if err != nil {
		return err
	}
	first := true
	size, err := scan(name, data, last, func(r *record) error {
		if (first && r.Segment != s.number) || (!first && r.Segment != 0) {
			return fmt.Errorf("record of segment %d in segment %d", r.Segment, s.number)
		}
		first = false
		return log.add(r, s)
	})
	if err != nil {
		return err
	}
	if size == 0 && !last {
		return fmt.Errorf("%w: %s at offset 0: empty segment", ErrDamaged, name)
	}
	if size < len(data) && size > 0 {
		if err := d.fs.Truncate(name, int64(size)); err != nil {
			return err
		}
	}
	s.size = int64(size)
	return nil
}

func (l *replay) add(r *record, s *segment) error {
	if r.Hard != nil {
		l.hard = *r.Hard
	}
	if r.Reset != nil {
		l.reset, l.entries = *r.Reset, nil
	}
	if len(r.Entries) == 0 {
		return nil
	}
	index := r.Entries[0].Index
	switch {
	case len(l.entries) == 0:
		if l.reset.Index != 0 && index != l.reset.Index+1 {
			return fmt.Errorf("entry %d after a reset to %d", index, l.reset.Index)
		}
	case index > l.entries[len(l.entries)-1].Index+1:
		return fmt.Errorf("entry %d after entry %d", index, l.entries[len(l.entries)-1].Index)
	case index <= l.entries[0].Index:
		l.entries = nil
	default:
		l.entries = l.entries[:index-l.entries[0].Index]
	}
	l.entries = append(l.entries, r.Entries...)
	s.last = max(s.last, r.Entries[len(r.Entries)-1].Index)
	return nil
}

// reconcile drops entries that the snapshot supersedes: a crash can come between the sync of a snapshot
// and that of the batch that follows it.
func (d *Disk) reconcile(log *replay, snapshot *raft.Snapshot) error {
	d.base, d.last = log.reset.Index, log.reset.Index
	if count := len(log.entries); count > 0 {
		d.base, d.last = log.entries[0].Index-1, log.entries[count-1].Index
	}
	if snapshot == nil {
		if d.base != 0 {
			return fmt.Errorf("%w: %s: the log begins after entry %d and there is no snapshot", ErrDamaged, d.dir, d.base)
		}
		return nil
	}
	if d.base > snapshot.Index {
		return fmt.Errorf("%w: %s: the log begins after entry %d, the latest snapshot is at %d", ErrDamaged, d.dir, d.base, snapshot.Index)
	}
	matches := d.last >= snapshot.Index
	if matches && snapshot.Index > d.base {
		matches = log.entries[snapshot.Index-d.base-1].Term == snapshot.Term
	}
	if !matches {
		log.entries = nil
		d.base, d.last = snapshot.Index, snapshot.Index
		d.reset = &point{Index: snapshot.Index, Term: snapshot.Term}
	}
	return nil
}

func parseName(name, prefix string) (uint64, error) {
	number, err := strconv.ParseUint(strings.TrimPrefix(name, prefix), 16, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: unexpected file name %s", ErrDamaged, name)
	}
	return number, nil
}
