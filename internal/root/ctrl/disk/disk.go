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
	// segmentPrefix and the segment number in hexadecimal form the name of a segment file.
	segmentPrefix = "log-"

	defaultSegmentSize = 4 << 20
	defaultKeepEntries = 4096
	defaultKeepBytes   = 16 << 20

	// maxSegmentSize is the largest segment file in bytes that Load accepts. It exceeds the size at which a
	// segment is full, because the last batch of a segment can go beyond that size.
	maxSegmentSize = 64 << 20
)

var (
	// ErrStopped reports that this or an earlier write or sync has failed; the Disk accepts no more writes.
	ErrStopped = errors.New("disk writer stopped")
	// ErrDamaged reports a missing or corrupt file; the message names the file and, for corrupt content, the
	// offset.
	ErrDamaged = errors.New("damaged file")
	// ErrLocked reports a data folder that is in use by another process.
	ErrLocked = errors.New("data folder is in use")
	// ErrFormat reports a data folder with an unknown format version.
	ErrFormat = errors.New("unknown data folder format")
)

type (
	// Storage is the durable state of a member. It is not safe for concurrent use.
	Storage interface {
		// Load returns the stored state. It must be called once, before Save.
		Load() (raft.RecoveredState, error)
		// Save makes a batch durable before it returns. After an error no more writes are accepted.
		Save(batch raft.Batch) error
		// SaveSnapshot makes a snapshot durable and removes the entries that are no longer needed.
		SaveSnapshot(snapshot raft.Snapshot) error
		// Close releases the data folder.
		Close() error
	}

	// Options configures a data folder; zero values select the defaults.
	Options struct {
		// FS is the file system, OS by default.
		FS FS
		// Random is the source of disk IDs and start values, crypto/rand by default.
		Random io.Reader
		// SegmentSize is the size in bytes at which a segment is full and the next one begins.
		SegmentSize int64
		// KeepEntries is the number of entries before a snapshot that are kept.
		KeepEntries uint64
		// KeepBytes is the largest total size of the kept segments whose entries are all in the snapshot,
		// without the last segment of the log.
		KeepBytes int64
	}

	// Disk is a data folder. It implements Storage.
	Disk struct {
		dir      string
		fs       FS
		random   io.Reader
		options  Options
		lock     io.Closer
		identity *identity

		segments     []segment // ascending; the last one is open in file
		snapshots    []uint64  // indexes of the snapshot files, ascending
		file         File      // nil until the first segment exists
		hardState    raft.HardState
		baseIndex    uint64 // the log holds the entries after baseIndex up to lastIndex
		lastIndex    uint64
		pendingReset *logReset // written with the next record
		lastSeq      uint64    // sequence number of the latest batch
		buf          []byte
		repairs      []string // see raft.RecoveredState
		stopErr      error
	}

	// segment describes one file of the log.
	segment struct {
		number    uint64
		size      int64
		lastIndex uint64 // highest index of an entry in the segment
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
	d := &Disk{dir: filepath.Clean(dir), fs: opts.FS, random: opts.Random, options: opts}
	if err := d.fs.MkdirAll(d.dir); err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	lock, err := d.fs.Lock(d.path(lockFile))
	if err != nil {
		return nil, fmt.Errorf("lock data folder %s: %w", d.dir, err)
	}
	d.lock = lock
	if err := d.openIdentity(); err != nil {
		return nil, errors.Join(fmt.Errorf("open data folder: %w", err), lock.Close())
	}
	return d, nil
}

// Save makes a batch durable with one write and one sync. A snapshot to install is written before the batch.
func (d *Disk) Save(batch raft.Batch) error {
	return d.runWrite("save batch", func() error { return d.saveBatch(batch) })
}

// SaveSnapshot makes a snapshot durable, then removes older snapshots and the segments that it replaces.
func (d *Disk) SaveSnapshot(snapshot raft.Snapshot) error {
	return d.runWrite("save snapshot", func() error {
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
	d.stopErr = errors.Join(d.stopErr, errors.New("data folder is closed"))
	if err = errors.Join(err, d.lock.Close()); err != nil {
		return fmt.Errorf("close data folder: %w", err)
	}
	return nil
}

// runWrite runs one write operation. After a failure all further writes are refused, because the content of
// the files is unknown until Load reads them at the next start.
func (d *Disk) runWrite(operation string, write func() error) error {
	if d.stopErr != nil {
		return fmt.Errorf("%s: %w: %w", operation, ErrStopped, d.stopErr)
	}
	if err := write(); err != nil {
		d.stopErr = err
		return fmt.Errorf("%s: %w: %w", operation, ErrStopped, err)
	}
	return nil
}

// saveBatch checks that the batch continues the log and appends it as one record to the last segment, or to a
// new one if the last segment is full.
func (d *Disk) saveBatch(batch raft.Batch) error {
	if batch.Seq != d.lastSeq+1 {
		return fmt.Errorf("batch %d does not follow batch %d", batch.Seq, d.lastSeq)
	}
	d.lastSeq = batch.Seq
	r := record{HardState: batch.HardState, Reset: d.pendingReset, Entries: batch.Entries}
	if batch.Install != nil {
		if err := d.writeSnapshot(batch.Install); err != nil {
			return err
		}
		r.Reset = &logReset{Index: batch.Install.Index, Term: batch.Install.Term}
	}
	baseIndex, lastIndex := d.baseIndex, d.lastIndex
	if r.Reset != nil {
		baseIndex, lastIndex = r.Reset.Index, r.Reset.Index
	}
	if len(batch.Entries) > 0 {
		first := batch.Entries[0].Index
		if first <= baseIndex || first > lastIndex+1 {
			return fmt.Errorf("entry %d does not continue the log of entries after %d up to %d", first, baseIndex, lastIndex)
		}
		lastIndex = batch.Entries[len(batch.Entries)-1].Index
	}
	if d.file == nil || d.segments[len(d.segments)-1].size >= d.options.SegmentSize {
		if err := d.startSegment(); err != nil {
			return err
		}
	}
	var err error
	if d.buf, err = encodeRecord(d.buf[:0], &r); err != nil {
		return err
	}
	if err := d.writeSynced(d.buf); err != nil {
		return err
	}
	if batch.HardState != nil {
		d.hardState = *batch.HardState
	}
	d.baseIndex, d.lastIndex, d.pendingReset = baseIndex, lastIndex, nil
	if s := &d.segments[len(d.segments)-1]; len(batch.Entries) > 0 {
		s.lastIndex = max(s.lastIndex, lastIndex)
	}
	if batch.Install != nil {
		return d.compact(batch.Install.Index)
	}
	return nil
}

// writeSynced appends buf to the last segment and syncs the file.
func (d *Disk) writeSynced(buf []byte) error {
	if _, err := d.file.Write(buf); err != nil {
		return err
	}
	if err := d.file.Sync(); err != nil {
		return err
	}
	d.segments[len(d.segments)-1].size += int64(len(buf))
	return nil
}

// startSegment creates the next segment. Its first record holds the hard state, so that older segments can
// be removed.
func (d *Disk) startSegment() error {
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
	firstRecord, err := encodeRecord(nil, &record{Segment: s.number, HardState: &d.hardState})
	if err != nil {
		return err
	}
	d.segments = append(d.segments, s)
	if err := d.writeSynced(firstRecord); err != nil {
		return err
	}
	return d.fs.SyncDir(d.dir)
}

// openLastSegment opens the last segment, if there is one, to append records to it. It syncs the segment, because the
// member takes all that Load returns as durable: a process that was killed may have written a record without its sync.
// The other segments and the names of the files are synced: by the writer before it begins a segment, and by Open.
func (d *Disk) openLastSegment() error {
	if len(d.segments) == 0 {
		return nil
	}
	var err error
	if d.file, err = d.fs.Append(d.path(segmentName(d.segments[len(d.segments)-1].number))); err != nil {
		return err
	}
	return d.file.Sync()
}

// compact removes the snapshots before index. It removes the oldest segment while all of its entries are at
// least KeepEntries before index, or while the segments covered by the snapshot exceed KeepBytes. Each
// removal is synced before the next one, so that a crash cannot leave a gap in the log.
func (d *Disk) compact(index uint64) error {
	if count := len(d.snapshots); count == 0 || d.snapshots[count-1] != index {
		d.snapshots = append(d.snapshots, index)
	}
	for len(d.snapshots) > 1 {
		if err := d.removeFile(snapshotName(d.snapshots[0])); err != nil {
			return err
		}
		d.snapshots = d.snapshots[1:]
	}
	size := int64(0) // total of the segments whose entries are all in the snapshot
	for i := 0; i < len(d.segments)-1 && d.segments[i].lastIndex <= index; i++ {
		size += d.segments[i].size
	}
	for len(d.segments) > 1 && (d.segments[0].lastIndex+d.options.KeepEntries <= index || size > d.options.KeepBytes) {
		size -= d.segments[0].size
		if err := d.removeFile(segmentName(d.segments[0].number)); err != nil {
			return err
		}
		d.segments = d.segments[1:]
	}
	return nil
}

// removeFile removes a file and makes the removal durable.
func (d *Disk) removeFile(name string) error {
	if err := d.fs.Remove(d.path(name)); err != nil {
		return err
	}
	return d.fs.SyncDir(d.dir)
}

func (d *Disk) path(name string) string { return filepath.Join(d.dir, name) }

func segmentName(number uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, number) }
