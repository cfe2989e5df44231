package disk

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// A stored record is a header, a body and a trailer byte. The header holds a magic number, the length of the
// body, the checksum of the body and the checksum of the header, 4 bytes each, little endian. Neither the
// first nor the last byte is zero, which distinguishes a sector that was never written from a corrupt one.
const (
	recordMagic = 0x31525042 // "BPR1"
	headerSize  = 16
	trailerByte = 0xA5
	sectorSize  = 512

	// maxBodySize is the largest body in bytes: one batch of raft.MaxEntries entries and raft.MaxAppend data
	// bytes, or one entry of raft.MaxProposal, plus the hard state and the overhead of the encoding.
	maxBodySize = 4 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type (
	// record is one batch in a segment. The first record of a segment has the segment number and the hard
	// state instead.
	record struct {
		Segment   uint64          `protobuf:"varint,1,opt,name=segment"`
		HardState *raft.HardState `protobuf:"bytes,2,opt,name=hard"`
		Reset     *logReset       `protobuf:"bytes,3,opt,name=reset"`
		Entries   []raft.Entry    `protobuf:"bytes,4,rep,name=entries"`
	}

	// logReset marks a point at which the log is discarded and continues after the snapshot at Index.
	logReset struct {
		Index uint64 `protobuf:"varint,1,opt,name=index"`
		Term  uint64 `protobuf:"varint,2,opt,name=term"`
	}
)

// Check returns an error that names the first invalid field.
func (r *record) Check() error {
	if r.HardState != nil {
		if err := r.HardState.Check(); err != nil {
			return err
		}
	}
	if r.Reset != nil && r.Reset.Index == 0 {
		return fmt.Errorf("%w: reset to index 0", raft.ErrInvalid)
	}
	if len(r.Entries) > raft.MaxEntries {
		return fmt.Errorf("%w: record has too many entries: %d", raft.ErrInvalid, len(r.Entries))
	}
	for i := range r.Entries {
		if err := r.Entries[i].Check(); err != nil {
			return err
		}
		if i > 0 && r.Entries[i].Index != r.Entries[i-1].Index+1 {
			return fmt.Errorf("%w: entry %d follows entry %d", raft.ErrInvalid, r.Entries[i].Index, r.Entries[i-1].Index)
		}
	}
	return nil
}

// appendRecord appends a stored record with the given body to buf.
func appendRecord(buf, body []byte) ([]byte, error) {
	if len(body) > maxBodySize {
		return buf, fmt.Errorf("record body has %d bytes, limit %d", len(body), maxBodySize)
	}
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, recordMagic)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(body)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(body, castagnoli))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf[start:], castagnoli))
	buf = append(buf, body...)
	return append(buf, trailerByte), nil
}

// encodeRecord appends a stored record with the encoding of m to buf.
func encodeRecord[T any, M wire.Message[T]](buf []byte, m M) ([]byte, error) {
	body, err := wire.Marshal[T](m)
	if err != nil {
		return buf, err
	}
	return appendRecord(buf, body)
}

// readHeader returns the total length of the record at the start of data, or false if its header is
// invalid.
func readHeader(data []byte) (int, bool) {
	if len(data) < headerSize || binary.LittleEndian.Uint32(data) != recordMagic {
		return 0, false
	}
	size := binary.LittleEndian.Uint32(data[4:])
	if size > maxBodySize || crc32.Checksum(data[:12], castagnoli) != binary.LittleEndian.Uint32(data[12:]) {
		return 0, false
	}
	return headerSize + int(size) + 1, true
}

// readRecord returns the body and the total length of the record at the start of data, or false if the
// record is incomplete or corrupt.
func readRecord(data []byte) ([]byte, int, bool) {
	size, ok := readHeader(data)
	if !ok || size > len(data) || data[size-1] != trailerByte {
		return nil, 0, false
	}
	body := data[headerSize : size-1]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, 0, false
	}
	return body, size, true
}

// scanSegment calls visit for each record of a segment and returns the length of the valid part. An
// incomplete record is an error unless a crash during the last write of the log can explain it.
func scanSegment(name string, data []byte, isLast bool, visit func(r *record) error) (int, error) {
	offset := 0
	for offset < len(data) {
		body, size, ok := readRecord(data[offset:])
		if !ok {
			if isLast && isTorn(data, offset) {
				return offset, nil
			}
			return offset, fmt.Errorf("%w: %s at offset %d: bad record", ErrDamaged, name, offset)
		}
		r, err := wire.Decode[record](body)
		if err == nil {
			err = visit(r)
		}
		if err != nil {
			return offset, fmt.Errorf("%w: %s at offset %d: %w", ErrDamaged, name, offset, err)
		}
		offset += size
	}
	return offset, nil
}

// isTorn reports whether the data from offset on can be the result of one write that a crash interrupted: no
// valid record follows, and the data is too short, begins with zeros in place of a header, ends with a zero byte or has
// a sector of zeros. Any other data was changed after its sync, and removing it would lose acknowledged entries.
func isTorn(data []byte, offset int) bool {
	tail := data[offset:]
	magic := binary.LittleEndian.AppendUint32(nil, recordMagic)
	for start := 1; start < len(tail); start++ {
		next := bytes.Index(tail[start:], magic)
		if next < 0 {
			break
		}
		start += next
		if _, _, ok := readRecord(tail[start:]); ok {
			return false
		}
	}
	if size, ok := readHeader(tail); len(tail) < headerSize || (ok && size > len(tail)) {
		return true
	}
	if tail[len(tail)-1] == 0 || len(bytes.Trim(tail[:headerSize], "\x00")) == 0 {
		return true
	}
	for sectorStart := offset; sectorStart < len(data); {
		sectorEnd := min(sectorStart/sectorSize*sectorSize+sectorSize, len(data))
		if len(bytes.Trim(data[sectorStart:sectorEnd], "\x00")) == 0 {
			return true
		}
		sectorStart = sectorEnd
	}
	return false
}
