package disk

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"path/filepath"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
)

const (
	segmentPrefix = "log-"

	defaultSegmentSize = 4 << 20
	defaultKeepEntries = 4096
	defaultKeepBytes   = 64 << 20

	// maxSegment bounds what is read of one segment: its size is checked after a batch was added.
	maxSegment = 64 << 20
)

var (
	// ErrStopped reports that an earlier write or sync failed; the writer accepts nothing more.
	ErrStopped = errors.New("disk writer stopped")
	// ErrDamaged reports a file whose content cannot be trusted; the message names file and offset.
	ErrDamaged = errors.New("damaged file")
	// ErrLocked reports a data folder that another process uses.
	ErrLocked = errors.New("data folder is in use")
	// ErrFormat reports a data folder of another format version.
	ErrFormat = errors.New("unknown data folder format")
)

type (
	// Storage is a member's durable state; one goroutine uses it.
	Storage interface {
		// Load returns the state of this start; it is called once, before Save.
		Load() (raft.RecoveredState, error)
		// Save makes a batch durable before it returns; after an error the writer stays stopped.
		Save(batch raft.Batch) error
		// SaveSnapshot makes a snapshot durable and removes entries that are no longer kept.
		SaveSnapshot(snapshot raft.Snapshot) error
		// Close releases the folder.
		Close() error
	}

	// Options holds settings of a data folder; zero values take the defaults.
	Options struct {
		// FS replaces the machine's file system.
		FS FS
		// Random is the source of disk ids and start values, crypto/rand by default.
		Random io.Reader
		// SegmentSize is the size in bytes after which the next segment begins.
		SegmentSize int64
		// KeepEntries is the number of entries kept behind a snapshot.
		KeepEntries uint64
		// KeepBytes is the largest size of the segments kept behind a snapshot, except for the last of them.
		KeepBytes int64
	}

	// Disk is a data folder; it implements Storage.
	Disk struct {
		dir    string
		fs     FS
		random io.Reader
		opts   Options
		lock   io.Closer
		id     *identity

		segments  []segment // ascending; the last is open in file
		snapshots []uint64  // ascending
		file      File      // nil until the first segment exists
		hard      raft.HardState
		base      uint64 // the log holds the entries after base up to last
		last      uint64
		reset     *point // goes into the next record
		seq       uint64 // of the latest batch
		buf       []byte
		stopped   error
	}

	segment struct {
		number uint64
		size   int64
		last   uint64 // highest entry in the segment
	}
)

var _ Storage = (*Disk)(nil)

// Open locks the data folder, formats it if it is empty, and makes the next boot number durable.
func Open(dir string, opts Options) (*Disk, error) {
	if opts.FS == nil {
		opts.FS = OS{}
	}
	if opts.Random == nil {
		opts.Random = rand.Reader
	}
	if opts.SegmentSize == 0 {
		opts.SegmentSize = defaultSegmentSize
	}
	if opts.KeepEntries == 0 {
		opts.KeepEntries = defaultKeepEntries
	}
	if opts.KeepBytes == 0 {
		opts.KeepBytes = defaultKeepBytes
	}
	d := &Disk{dir: filepath.Clean(dir), fs: opts.FS, random: opts.Random, opts: opts}
	if err := d.fs.MkdirAll(d.dir); err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	lock, err := d.fs.Lock(d.path(lockFile))
	if err != nil {
		return nil, fmt.Errorf("lock data folder %s: %w", d.dir, err)
	}
	d.lock = lock
	if err := d.begin(); err != nil {
		return nil, errors.Join(fmt.Errorf("open data folder: %w", err), lock.Close())
	}
	return d, nil
}

// Save makes a batch durable with one write and one sync; a snapshot to install is written before it.
func (d *Disk) Save(batch raft.Batch) error {
	return d.guard("save batch", func() error { return d.save(batch) })
}

// SaveSnapshot makes a snapshot durable, then removes older snapshots and the segments that it replaces.
func (d *Disk) SaveSnapshot(snapshot raft.Snapshot) error {
	return d.guard("save snapshot", func() error {
		if err := d.writeSnapshot(&snapshot); err != nil {
			return err
		}
		return d.compact(snapshot.Index)
	})
}

// Close closes the open segment and releases the folder.
func (d *Disk) Close() error {
	var err error
	if d.file != nil {
		err = d.file.Close()
	}
	d.stopped = errors.Join(d.stopped, errors.New("closed"))
	if err = errors.Join(err, d.lock.Close()); err != nil {
		return fmt.Errorf("close data folder: %w", err)
	}
	return nil
}

// guard runs one write. After a failure nothing more is written: the content of the files is unknown
// until they are read again at the next start.
func (d *Disk) guard(what string, write func() error) error {
	if d.stopped != nil {
		return fmt.Errorf("%s: %w: %w", what, ErrStopped, d.stopped)
	}
	if err := write(); err != nil {
		d.stopped = err
		return fmt.Errorf("%s: %w: %w", what, ErrStopped, err)
	}
	return nil
}

func (d *Disk) save(batch raft.Batch) error {
	if batch.Seq != d.seq+1 {
		return fmt.Errorf("batch %d does not follow batch %d", batch.Seq, d.seq)
	}
	d.seq = batch.Seq
	r := record{Hard: batch.HardState, Reset: d.reset, Entries: batch.Entries}
	if batch.Install != nil {
		if err := d.writeSnapshot(batch.Install); err != nil {
			return err
		}
		r.Reset = &point{Index: batch.Install.Index, Term: batch.Install.Term}
	}
	base, last := d.base, d.last
	if r.Reset != nil {
		base, last = r.Reset.Index, r.Reset.Index
	}
	if len(batch.Entries) > 0 {
		first := batch.Entries[0].Index
		if first <= base || first > last+1 {
			return fmt.Errorf("entry %d does not continue the log from %d to %d", first, base, last)
		}
		last = batch.Entries[len(batch.Entries)-1].Index
	}
	if d.file == nil || d.segments[len(d.segments)-1].size >= d.opts.SegmentSize {
		if err := d.nextSegment(); err != nil {
			return err
		}
	}
	var err error
	if d.buf, err = encodeRecord(d.buf[:0], &r); err != nil {
		return err
	}
	if err := d.write(d.buf); err != nil {
		return err
	}
	if batch.HardState != nil {
		d.hard = *batch.HardState
	}
	d.base, d.last, d.reset = base, last, nil
	if s := &d.segments[len(d.segments)-1]; len(batch.Entries) > 0 {
		s.last = max(s.last, last)
	}
	if batch.Install != nil {
		return d.compact(batch.Install.Index)
	}
	return nil
}

func (d *Disk) write(buf []byte) error {
	if _, err := d.file.Write(buf); err != nil {
		return err
	}
	if err := d.file.Sync(); err != nil {
		return err
	}
	d.segments[len(d.segments)-1].size += int64(len(buf))
	return nil
}

// nextSegment begins a segment with the hard state, so that older segments can be removed.
func (d *Disk) nextSegment() error {
	s := segment{number: 1}
	if count := len(d.segments); count > 0 {
		s.number = d.segments[count-1].number + 1
	}
	if d.file != nil {
		if err := d.file.Close(); err != nil {
			return err
		}
	}
	var err error
	if d.file, err = d.fs.Create(d.path(segmentName(s.number))); err != nil {
		return err
	}
	head, err := encodeRecord(nil, &record{Segment: s.number, Hard: &d.hard})
	if err != nil {
		return err
	}
	d.segments = append(d.segments, s)
	if err := d.write(head); err != nil {
		return err
	}
	return d.fs.SyncDir(d.dir)
}

func (d *Disk) openLast() error {
	if len(d.segments) == 0 {
		return nil
	}
	var err error
	d.file, err = d.fs.Append(d.path(segmentName(d.segments[len(d.segments)-1].number)))
	return err
}

// compact removes snapshots before index, and segments whose entries are all older than what is kept
// behind it or exceed its size. Each removal is synced before the next, so that no gap can appear.
func (d *Disk) compact(index uint64) error {
	if count := len(d.snapshots); count == 0 || d.snapshots[count-1] != index {
		d.snapshots = append(d.snapshots, index)
	}
	for len(d.snapshots) > 1 {
		if err := d.remove(snapshotName(d.snapshots[0])); err != nil {
			return err
		}
		d.snapshots = d.snapshots[1:]
	}
	size := int64(0) // of the segments whose entries are all in the snapshot
	for i := 0; i < len(d.segments)-1 && d.segments[i].last <= index; i++ {
		size += d.segments[i].size
	}
	for len(d.segments) > 1 && (d.segments[0].last+d.opts.KeepEntries <= index || size > d.opts.KeepBytes) {
		size -= d.segments[0].size
		if err := d.remove(segmentName(d.segments[0].number)); err != nil {
			return err
		}
		d.segments = d.segments[1:]
	}
	return nil
}

func (d *Disk) remove(name string) error {
	if err := d.fs.Remove(d.path(name)); err != nil {
		return err
	}
	return d.fs.SyncDir(d.dir)
}

func (d *Disk) path(name string) string { return filepath.Join(d.dir, name) }

func segmentName(number uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, number) }
