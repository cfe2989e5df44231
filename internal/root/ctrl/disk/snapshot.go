package disk

import (
	"fmt"
	"hash/crc32"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const snapshotPrefix = "snap-"

// snapshotHead is the first record of a snapshot file; the data follows it.
type snapshotHead struct {
	Index      uint64          `protobuf:"varint,1,opt,name=index"`
	Term       uint64          `protobuf:"varint,2,opt,name=term"`
	Membership raft.Membership `protobuf:"bytes,3,opt,name=membership"`
	Size       uint64          `protobuf:"varint,4,opt,name=size"`
	Checksum   uint32          `protobuf:"varint,5,opt,name=checksum"`
}

// Check returns an error that names the first invalid field.
func (h *snapshotHead) Check() error {
	if h.Index == 0 || h.Term == 0 || h.Size > raft.MaxSnapshot {
		return fmt.Errorf("%w: snapshot at index %d of term %d with %d bytes", raft.ErrInvalid, h.Index, h.Term, h.Size)
	}
	return h.Membership.Check()
}

func (d *Disk) writeSnapshot(s *raft.Snapshot) error {
	if len(s.Data) > raft.MaxSnapshot {
		return fmt.Errorf("snapshot of %d bytes, limit %d", len(s.Data), raft.MaxSnapshot)
	}
	head, err := encodeRecord(nil, &snapshotHead{
		Index: s.Index, Term: s.Term, Membership: s.Membership,
		Size: uint64(len(s.Data)), Checksum: crc32.Checksum(s.Data, checksums),
	})
	if err != nil {
		return err
	}
	return d.replace(snapshotName(s.Index), head, s.Data)
}

func (d *Disk) readSnapshot(index uint64) (*raft.Snapshot, error) {
	name := d.path(snapshotName(index))
	data, err := d.fs.ReadFile(name, raft.MaxSnapshot+maxRecord)
	if err != nil {
		return nil, err
	}
	body, size, ok := readRecord(data)
	if !ok {
		return nil, fmt.Errorf("%w: %s at offset 0: bad record", ErrDamaged, name)
	}
	head, err := wire.Decode[snapshotHead](body)
	if err != nil {
		return nil, fmt.Errorf("%w: %s at offset 0: %w", ErrDamaged, name, err)
	}
	data = data[size:]
	if head.Index != index || head.Size != uint64(len(data)) || head.Checksum != crc32.Checksum(data, checksums) {
		return nil, fmt.Errorf("%w: %s at offset %d: the data does not match its checksum", ErrDamaged, name, size)
	}
	return &raft.Snapshot{Index: head.Index, Term: head.Term, Membership: head.Membership, Data: data}, nil
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }
