package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// Version is the protocol version that both ends of a stream must share.
	Version = 1

	// MaxFrame is the largest frame body in bytes; larger frames are rejected before allocation.
	MaxFrame = 4 << 20

	// HeaderSize is the size of a frame's header in bytes.
	HeaderSize = 5
)

// ErrFrameTooLarge reports a frame whose body exceeds the size limit.
var ErrFrameTooLarge = errors.New("frame too large")

type (
	// Kind is the type of a frame's body; the protocol of the stream defines its values.
	Kind uint8

	// Frame is one length-prefixed unit on a stream.
	Frame struct {
		Kind Kind
		Body []byte
	}
)

// WriteFrame writes one frame with a single call of Write.
func WriteFrame(w io.Writer, kind Kind, body []byte) error {
	if len(body) > MaxFrame {
		return fmt.Errorf("%w: %d bytes, limit %d", ErrFrameTooLarge, len(body), MaxFrame)
	}
	buf := make([]byte, HeaderSize+len(body))
	PutHeader(buf, kind, len(body))
	copy(buf[HeaderSize:], body)
	if _, err := w.Write(buf); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// PutHeader writes the header of a frame with a body of size bytes to the first HeaderSize bytes of buf.
func PutHeader(buf []byte, kind Kind, size int) {
	buf[0] = byte(kind)
	binary.BigEndian.PutUint32(buf[1:HeaderSize], uint32(size))
}

// ReadFrame reads one frame with a body of at most limit bytes; it returns io.EOF only between frames.
func ReadFrame(r io.Reader, limit int) (Frame, error) { return ReadFrameInto(r, nil, limit) }

// ReadFrameInto is like ReadFrame but uses buf for the body when its capacity suffices.
func ReadFrameInto(r io.Reader, buf []byte, limit int) (Frame, error) {
	var header [HeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return Frame{}, io.EOF
		}
		return Frame{}, fmt.Errorf("read frame header: %w", err)
	}
	size := binary.BigEndian.Uint32(header[1:])
	if uint64(size) > uint64(limit) {
		return Frame{}, fmt.Errorf("%w: %d bytes, limit %d", ErrFrameTooLarge, size, limit)
	}
	body := buf
	if uint32(cap(body)) < size {
		body = make([]byte, size)
	}
	body = body[:size]
	if _, err := io.ReadFull(r, body); err != nil {
		return Frame{}, fmt.Errorf("read frame body: %w", err)
	}
	return Frame{Kind: Kind(header[0]), Body: body}, nil
}

// WriteMessage encodes m and writes it as one frame.
func WriteMessage[T any, M Message[T]](w io.Writer, kind Kind, m M) error {
	body, err := Encode[T](m)
	if err != nil {
		return err
	}
	return WriteFrame(w, kind, body)
}
