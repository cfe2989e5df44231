package disk

import (
	"fmt"
	"hash/crc32"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// snapshotPrefix and the index of the snapshot in hexadecimal form the name of a snapshot file.
const snapshotPrefix = "snap-"

// snapshotHeader is the first record of a snapshot file. The snapshot data follows it.
type snapshotHeader struct {
	Index      uint64          `protobuf:"varint,1,opt,name=index"`
	Term       uint64          `protobuf:"varint,2,opt,name=term"`
	Membership raft.Membership `protobuf:"bytes,3,opt,name=membership"`
	Size       uint64          `protobuf:"varint,4,opt,name=size"`
	Checksum   uint32          `protobuf:"varint,5,opt,name=checksum"`
}

// Check returns an error that names the first invalid field.
func (h *snapshotHeader) Check() error {
	if h.Index == 0 || h.Term == 0 || h.Size > raft.MaxSnapshot {
		return fmt.Errorf("%w: snapshot has index %d, term %d and %d bytes", raft.ErrInvalid, h.Index, h.Term, h.Size)
	}
	return h.Membership.Check()
}

// writeSnapshot makes a snapshot durable in its own file.
func (d *Disk) writeSnapshot(s *raft.Snapshot) error {
	if len(s.Data) > raft.MaxSnapshot {
		return fmt.Errorf("snapshot has %d bytes, limit %d", len(s.Data), raft.MaxSnapshot)
	}
	header, err := encodeRecord(nil, &snapshotHeader{
		Index: s.Index, Term: s.Term, Membership: s.Membership,
		Size: uint64(len(s.Data)), Checksum: crc32.Checksum(s.Data, castagnoli),
	})
	if err != nil {
		return err
	}
	return d.replaceFile(snapshotName(s.Index), header, s.Data)
}

// readSnapshot returns the snapshot at index after it has verified the checksums of header and data.
func (d *Disk) readSnapshot(index uint64) (*raft.Snapshot, error) {
	name := d.path(snapshotName(index))
	data, err := d.fs.ReadFile(name, raft.MaxSnapshot+maxBodySize)
	if err != nil {
		return nil, err
	}
	body, size, ok := readRecord(data)
	if !ok {
		return nil, fmt.Errorf("%w: %s at offset 0: bad record", ErrDamaged, name)
	}
	header, err := wire.Decode[snapshotHeader](body)
	if err != nil {
		return nil, fmt.Errorf("%w: %s at offset 0: %w", ErrDamaged, name, err)
	}
	data = data[size:]
	if header.Index != index || header.Size != uint64(len(data)) || header.Checksum != crc32.Checksum(data, castagnoli) {
		return nil, fmt.Errorf("%w: %s at offset %d: index, size or checksum of the snapshot does not match its header", ErrDamaged, name, size)
	}
	return &raft.Snapshot{Index: header.Index, Term: header.Term, Membership: header.Membership, Data: data}, nil
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }
