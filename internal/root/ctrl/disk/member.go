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
	formatVersion = 1
	memberFile    = "member"
	lockFile      = "lock"
	temporary     = ".tmp"
)

// identity is the content of the member file.
type identity struct {
	Version uint64 `protobuf:"varint,1,opt,name=version"`
	Disk    string `protobuf:"bytes,2,opt,name=disk"`
	// Boot is the number of starts so far; Starts holds the random values of the latest, 8 bytes each, the
	// latest last.
	Boot   uint64 `protobuf:"varint,3,opt,name=boot"`
	Starts []byte `protobuf:"bytes,4,opt,name=starts"`
}

// Check returns an error that names the first invalid field.
func (i *identity) Check() error {
	if i.Version != formatVersion {
		return fmt.Errorf("%w: version %d, this program uses %d", ErrFormat, i.Version, formatVersion)
	}
	if i.Disk == "" || len(i.Disk) > raft.MaxName || i.Boot == 0 || len(i.Starts)%8 != 0 || len(i.Starts) == 0 {
		return fmt.Errorf("disk %q at boot %d", i.Disk, i.Boot)
	}
	return nil
}

// begin reads or creates the member file and makes the next boot number durable.
func (d *Disk) begin() error {
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
				return fmt.Errorf("%w: %s is missing beside %s", ErrDamaged, d.path(memberFile), name)
			}
		}
		raw := make([]byte, 16)
		if _, err := io.ReadFull(d.random, raw); err != nil {
			return err
		}
		id = &identity{Version: formatVersion, Disk: hex.EncodeToString(raw)}
		if err := d.fs.SyncDir(filepath.Dir(d.dir)); err != nil {
			return err
		}
	}
	start := make([]byte, 8)
	if _, err := io.ReadFull(d.random, start); err != nil {
		return err
	}
	start[0] |= 1 // zero means none
	id.Boot++
	id.Starts = append(id.Starts, start...)
	if extra := len(id.Starts) - 8*(raft.MaxLineage+1); extra > 0 {
		id.Starts = id.Starts[extra:]
	}
	d.id = id
	buf, err := encodeRecord(nil, id)
	if err != nil {
		return err
	}
	return d.replace(memberFile, buf)
}

func (d *Disk) readIdentity() (*identity, error) {
	name := d.path(memberFile)
	data, err := d.fs.ReadFile(name, maxRecord)
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

func (d *Disk) restoreIdentity(r *raft.RecoveredState) {
	r.Disk, r.Boot = d.id.Disk, d.id.Boot
	count := len(d.id.Starts) / 8
	for i := range count {
		start := binary.LittleEndian.Uint64(d.id.Starts[8*i:])
		if i == count-1 {
			r.Start = start
		} else {
			r.Lineage = append(r.Lineage, start)
		}
	}
}

// replace writes a file under a temporary name, syncs it, renames it and syncs the folder.
func (d *Disk) replace(name string, parts ...[]byte) error {
	target := d.path(name)
	f, err := d.fs.Create(target + temporary)
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
		err = d.fs.Rename(target+temporary, target)
	}
	if err == nil {
		err = d.fs.SyncDir(d.dir)
	}
	return err
}
