package disk

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// A record is a header, a body and a trailer byte. The header holds a magic number, the length of the
// body, the checksum of the body and the checksum of the header, 4 bytes each, little endian. Neither the
// first nor the last byte is zero, so that a sector that was never written can be told from a changed one.
const (
	recordMagic   = 0x31525042 // "BPR1"
	recordHeader  = 16
	recordTrailer = 0xA5
	sectorSize    = 512

	// maxRecord is the largest body: one batch of raft.MaxEntries entries and raft.MaxAppend data bytes, or
	// one entry of raft.MaxData, with room for the hard state and the encoding.
	maxRecord = 4 << 20
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

type (
	// record is one batch in a segment; the first record of a segment carries its number and the hard state.
	record struct {
		Segment uint64          `protobuf:"varint,1,opt,name=segment"`
		Hard    *raft.HardState `protobuf:"bytes,2,opt,name=hard"`
		Reset   *point          `protobuf:"bytes,3,opt,name=reset"`
		Entries []raft.Entry    `protobuf:"bytes,4,rep,name=entries"`
	}

	// point tells that the log continues after the snapshot at Index.
	point struct {
		Index uint64 `protobuf:"varint,1,opt,name=index"`
		Term  uint64 `protobuf:"varint,2,opt,name=term"`
	}
)

// Check returns an error that names the first invalid field.
func (r *record) Check() error {
	if r.Hard != nil {
		if err := r.Hard.Check(); err != nil {
			return err
		}
	}
	if r.Reset != nil && r.Reset.Index == 0 {
		return fmt.Errorf("%w: reset to index 0", raft.ErrInvalid)
	}
	if len(r.Entries) > raft.MaxEntries {
		return fmt.Errorf("%w: record of %d entries", raft.ErrInvalid, len(r.Entries))
	}
	for i := range r.Entries {
		if err := r.Entries[i].Check(); err != nil {
			return err
		}
		if i > 0 && r.Entries[i].Index != r.Entries[i-1].Index+1 {
			return fmt.Errorf("%w: entry %d after entry %d", raft.ErrInvalid, r.Entries[i].Index, r.Entries[i-1].Index)
		}
	}
	return nil
}

// appendRecord appends the framed body to buf.
func appendRecord(buf, body []byte) ([]byte, error) {
	if len(body) > maxRecord {
		return buf, fmt.Errorf("record of %d bytes, limit %d", len(body), maxRecord)
	}
	at := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, recordMagic)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(body)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(body, checksums))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf[at:], checksums))
	buf = append(buf, body...)
	return append(buf, recordTrailer), nil
}

// encodeRecord appends the framed encoding of m to buf.
func encodeRecord[T any, M wire.Message[T]](buf []byte, m M) ([]byte, error) {
	body, err := wire.Encode[T](m)
	if err != nil {
		return buf, err
	}
	return appendRecord(buf, body)
}

// readHeader returns the length of the record at the head of data, or false if the header is not valid.
func readHeader(data []byte) (int, bool) {
	if len(data) < recordHeader || binary.LittleEndian.Uint32(data) != recordMagic {
		return 0, false
	}
	size := binary.LittleEndian.Uint32(data[4:])
	if size > maxRecord || crc32.Checksum(data[:12], checksums) != binary.LittleEndian.Uint32(data[12:]) {
		return 0, false
	}
	return recordHeader + int(size) + 1, true
}

// readRecord returns the body and the whole length of the record at the head of data.
func readRecord(data []byte) ([]byte, int, bool) {
	size, ok := readHeader(data)
	if !ok || size > len(data) || data[size-1] != recordTrailer {
		return nil, 0, false
	}
	body := data[recordHeader : size-1]
	if crc32.Checksum(body, checksums) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, 0, false
	}
	return body, size, true
}

// scan calls visit for each record of a segment and returns the length of the valid part. A record that
// is not whole ends the scan without an error only if it can be the last write before a crash.
func scan(name string, data []byte, last bool, visit func(r *record) error) (int, error) {
	at := 0
	for at < len(data) {
		body, size, ok := readRecord(data[at:])
		if !ok {
			if last && isTorn(data, at) {
				return at, nil
			}
			return at, fmt.Errorf("%w: %s at offset %d: bad record", ErrDamaged, name, at)
		}
		r, err := wire.Decode[record](body)
		if err == nil {
			err = visit(r)
		}
		if err != nil {
			return at, fmt.Errorf("%w: %s at offset %d: %w", ErrDamaged, name, at, err)
		}
		at += size
	}
	return at, nil
}

// isTorn reports whether the bytes from at on can stem from one write that a crash interrupted: no valid
// record follows, and the write is too short or lacks a sector. Anything else was changed after its
// sync; cutting it off would lose acknowledged entries.
func isTorn(data []byte, at int) bool {
	rest := data[at:]
	magic := binary.LittleEndian.AppendUint32(nil, recordMagic)
	for from := 1; from < len(rest); from++ {
		next := bytes.Index(rest[from:], magic)
		if next < 0 {
			break
		}
		from += next
		if _, _, ok := readRecord(rest[from:]); ok {
			return false
		}
	}
	if size, ok := readHeader(rest); len(rest) < recordHeader || (ok && size > len(rest)) {
		return true
	}
	if rest[len(rest)-1] == 0 {
		return true
	}
	for begin := at; begin < len(data); {
		end := min(begin/sectorSize*sectorSize+sectorSize, len(data))
		if len(bytes.Trim(data[begin:end], "\x00")) == 0 {
			return true
		}
		begin = end
	}
	return false
}
