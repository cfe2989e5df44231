package disk

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// formatVersion is the version of the files in a data folder.
	formatVersion = 1
	memberFile    = "member"
	lockFile      = "lock"
	tempSuffix    = ".tmp"
)

// identity is the content of the member file: it identifies the disk and its starts to peers.
type identity struct {
	Version uint64 `protobuf:"varint,1,opt,name=version"`
	Disk    string `protobuf:"bytes,2,opt,name=disk"`
	// Boot is the number of starts so far. Starts holds the random values of the latest starts, 8 bytes
	// each, in order.
	Boot   uint64 `protobuf:"varint,3,opt,name=boot"`
	Starts []byte `protobuf:"bytes,4,opt,name=starts"`
}

// Check returns an error that names the first invalid field.
func (i *identity) Check() error {
	if i.Version != formatVersion {
		return fmt.Errorf("%w: version %d, this program uses %d", ErrFormat, i.Version, formatVersion)
	}
	if i.Disk == "" || len(i.Disk) > raft.MaxName || i.Boot == 0 || len(i.Starts)%8 != 0 || len(i.Starts) == 0 {
		return fmt.Errorf("invalid identity: disk %q, boot %d, %d bytes of start values", i.Disk, i.Boot, len(i.Starts))
	}
	return nil
}

// openIdentity reads or creates the member file and makes the next boot number durable.
func (d *Disk) openIdentity() error {
	names, err := d.fs.ReadDir(d.dir)
	if err != nil {
		return err
	}
	var id *identity
	if slices.Contains(names, memberFile) {
		if id, err = d.readIdentity(); err != nil {
			return err
		}
	} else {
		for _, name := range names {
			if strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapshotPrefix) {
				return fmt.Errorf("%w: %s is missing although %s exists", ErrDamaged, d.path(memberFile), name)
			}
		}
		diskID := make([]byte, 16)
		if _, err := io.ReadFull(d.random, diskID); err != nil {
			return err
		}
		id = &identity{Version: formatVersion, Disk: hex.EncodeToString(diskID)}
		if err := d.fs.SyncDir(filepath.Dir(d.dir)); err != nil {
			return err
		}
	}
	start := make([]byte, 8)
	if _, err := io.ReadFull(d.random, start); err != nil {
		return err
	}
	start[0] |= 1 // a start value of zero means none
	id.Boot++
	id.Starts = append(id.Starts, start...)
	if excess := len(id.Starts) - 8*(raft.MaxLineage+1); excess > 0 {
		id.Starts = id.Starts[excess:]
	}
	d.identity = id
	buf, err := encodeRecord(nil, id)
	if err != nil {
		return err
	}
	return d.replaceFile(memberFile, buf)
}

// readIdentity reads and verifies the member file.
func (d *Disk) readIdentity() (*identity, error) {
	name := d.path(memberFile)
	data, err := d.fs.ReadFile(name, maxBodySize)
	if err != nil {
		return nil, err
	}
	body, size, ok := readRecord(data)
	if !ok || size != len(data) {
		return nil, fmt.Errorf("%w: %s at offset 0: bad record", ErrDamaged, name)
	}
	id, err := wire.Decode[identity](body)
	if errors.Is(err, ErrFormat) {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrDamaged, name, err)
	}
	return id, nil
}

// restoreIdentity sets the disk ID, the boot number, the start value of this start and those of earlier starts.
func (d *Disk) restoreIdentity(restored *raft.RecoveredState) {
	restored.Disk, restored.Boot = d.identity.Disk, d.identity.Boot
	count := len(d.identity.Starts) / 8
	for i := range count {
		start := binary.LittleEndian.Uint64(d.identity.Starts[8*i:])
		if i == count-1 {
			restored.Start = start
		} else {
			restored.Lineage = append(restored.Lineage, start)
		}
	}
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file, renames it and syncs the
// folder.
func (d *Disk) replaceFile(name string, parts ...[]byte) error {
	target := d.path(name)
	f, err := d.fs.Create(target + tempSuffix)
	if err != nil {
		return err
	}
	for _, part := range parts {
		if err == nil {
			_, err = f.Write(part)
		}
	}
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = d.fs.Rename(target+tempSuffix, target)
	}
	if err == nil {
		err = d.fs.SyncDir(d.dir)
	}
	return err
}
