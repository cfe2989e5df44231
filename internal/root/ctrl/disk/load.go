package disk

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
)

// logReplay is the state that results from the records of all segments in order.
type logReplay struct {
	hardState raft.HardState
	reset     logReset
	entries   []raft.Entry
}

// Load returns the stored state. It removes an incomplete record at the end of the log, which a crash during
// a write leaves behind. Any other corrupt record, and a missing segment or snapshot, is reported as
// ErrDamaged.
func (d *Disk) Load() (raft.RecoveredState, error) {
	restored, err := d.load()
	if err != nil {
		d.stopErr = err
		return raft.RecoveredState{}, fmt.Errorf("load data folder: %w", err)
	}
	return restored, nil
}

// load reads all segments and the latest snapshot, and opens the last segment for writing.
func (d *Disk) load() (raft.RecoveredState, error) {
	var restored raft.RecoveredState
	d.restoreIdentity(&restored)
	names, err := d.fs.ReadDir(d.dir)
	if err != nil {
		return restored, err
	}
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, tempSuffix):
			d.repaired("%s removed", name)
			if err := d.fs.Remove(d.path(name)); err != nil {
				return restored, err
			}
		case strings.HasPrefix(name, segmentPrefix):
			number, err := parseFileNumber(name, segmentPrefix)
			if err != nil {
				return restored, err
			}
			if len(d.segments) > 0 && number != d.segments[len(d.segments)-1].number+1 {
				return restored, fmt.Errorf("%w: the segment before %s is missing", ErrDamaged, d.path(name))
			}
			d.segments = append(d.segments, segment{number: number})
		case strings.HasPrefix(name, snapshotPrefix):
			index, err := parseFileNumber(name, snapshotPrefix)
			if err != nil {
				return restored, err
			}
			d.snapshots = append(d.snapshots, index)
		}
	}
	var replay logReplay
	for i := range d.segments {
		if err := d.loadSegment(i, &replay); err != nil {
			return restored, err
		}
	}
	if count := len(d.segments); count > 0 && d.segments[count-1].size == 0 {
		// The process crashed before the first sync of this segment.
		d.repaired("%s removed, it has no complete record", segmentName(d.segments[count-1].number))
		if err := d.fs.Remove(d.path(segmentName(d.segments[count-1].number))); err != nil {
			return restored, err
		}
		if err := d.fs.SyncDir(d.dir); err != nil {
			return restored, err
		}
		d.segments = d.segments[:count-1]
	}
	if len(d.snapshots) > 0 {
		if restored.Snapshot, err = d.readSnapshot(d.snapshots[len(d.snapshots)-1]); err != nil {
			return restored, err
		}
	}
	if err := d.reconcile(&replay, restored.Snapshot); err != nil {
		return restored, err
	}
	restored.HardState, restored.Entries, restored.Repairs = replay.hardState, replay.entries, d.repairs
	d.hardState = replay.hardState
	return restored, d.openLastSegment()
}

// loadSegment adds the records of segment i to replay. It truncates the last segment of the log after its last
// complete record.
func (d *Disk) loadSegment(i int, replay *logReplay) error {
	s, isLast := &d.segments[i], i == len(d.segments)-1
	name := d.path(segmentName(s.number))
	data, err := d.fs.ReadFile(name, maxSegmentSize)
	if err != nil {
		return err
	}
	isFirst := true
	size, err := scanSegment(name, data, isLast, func(r *record) error {
		if (isFirst && r.Segment != s.number) || (!isFirst && r.Segment != 0) {
			return fmt.Errorf("record has segment number %d in segment %d", r.Segment, s.number)
		}
		isFirst = false
		return replay.add(r, s)
	})
	if err != nil {
		return err
	}
	if size == 0 && !isLast {
		return fmt.Errorf("%w: %s at offset 0: empty segment", ErrDamaged, name)
	}
	if size < len(data) && size > 0 {
		d.repaired("%s truncated from %d to %d bytes", segmentName(s.number), len(data), size)
		if err := d.fs.Truncate(name, int64(size)); err != nil {
			return err
		}
	}
	s.size = int64(size)
	return nil
}

// add applies one record of segment s. Its entries replace all earlier entries with the same or a higher index.
func (l *logReplay) add(r *record, s *segment) error {
	if r.HardState != nil {
		l.hardState = *r.HardState
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
			return fmt.Errorf("entry %d follows a reset of the log to index %d", index, l.reset.Index)
		}
	case index > l.entries[len(l.entries)-1].Index+1:
		return fmt.Errorf("entry %d follows entry %d", index, l.entries[len(l.entries)-1].Index)
	case index <= l.entries[0].Index:
		l.entries = nil
	default:
		l.entries = l.entries[:index-l.entries[0].Index]
	}
	l.entries = append(l.entries, r.Entries...)
	s.lastIndex = max(s.lastIndex, r.Entries[len(r.Entries)-1].Index)
	return nil
}

// reconcile sets the bounds of the log and discards its entries if they do not continue the snapshot, which
// happens when the process crashes between the sync of an installed snapshot and that of the next batch.
func (d *Disk) reconcile(replay *logReplay, snapshot *raft.Snapshot) error {
	d.baseIndex, d.lastIndex = replay.reset.Index, replay.reset.Index
	if count := len(replay.entries); count > 0 {
		d.baseIndex, d.lastIndex = replay.entries[0].Index-1, replay.entries[count-1].Index
	}
	if snapshot == nil {
		if d.baseIndex != 0 {
			return fmt.Errorf("%w: %s: the log begins after entry %d and there is no snapshot", ErrDamaged, d.dir, d.baseIndex)
		}
		return nil
	}
	if d.baseIndex > snapshot.Index {
		return fmt.Errorf("%w: %s: the log begins after entry %d, the latest snapshot is at %d", ErrDamaged, d.dir, d.baseIndex, snapshot.Index)
	}
	continues := d.lastIndex >= snapshot.Index
	if continues && snapshot.Index > d.baseIndex {
		continues = replay.entries[snapshot.Index-d.baseIndex-1].Term == snapshot.Term
	}
	if !continues {
		d.repaired("%d entries up to %d removed, they do not continue the snapshot", len(replay.entries), d.lastIndex)
		replay.entries = nil
		d.baseIndex, d.lastIndex = snapshot.Index, snapshot.Index
		d.pendingReset = &logReset{Index: snapshot.Index, Term: snapshot.Term}
	}
	return nil
}

func (d *Disk) repaired(format string, args ...any) {
	d.repairs = append(d.repairs, fmt.Sprintf(format, args...))
}

// parseFileNumber returns the hexadecimal number after the prefix of a file name: the number of a segment or the
// index of a snapshot.
func parseFileNumber(name, prefix string) (uint64, error) {
	number, err := strconv.ParseUint(strings.TrimPrefix(name, prefix), 16, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: unexpected file name %s", ErrDamaged, name)
	}
	return number, nil
}
