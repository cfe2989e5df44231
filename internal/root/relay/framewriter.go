package relay

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// maxQueuedBytes bounds the bytes queued for a slow peer; a peer stream that exceeds it is closed.
	maxQueuedBytes = 16 << 20

	// peerBufferSize is the size in bytes of the buffers of a peer stream in each direction. It is small
	// because a daemon has peer streams to and from many others.
	peerBufferSize = 4 << 10

	// writeStallTimeout bounds writing the queued frames; if the peer does not accept them in time, the peer
	// stream is closed.
	writeStallTimeout = 2 * time.Second
)

// frameWriter writes frames in order without blocking the senders.
type frameWriter struct {
	conn   net.Conn
	bytes  *cross.Bytes   // nil to count nothing
	memory *budget.Memory // counts the queued frames; nil to count nothing
	wake   chan struct{}  // holds a value while frames are queued
	closed chan struct{}
	once   sync.Once

	mu     sync.Mutex
	frames []queuedFrame
	size   int
	ended  bool // nothing is written any more
}

// queuedFrame is a frame and the cause that its bytes are counted by.
type queuedFrame struct {
	wire.Frame
	cause cross.Cause
}

func newFrameWriter(stream *link.Stream, memory *budget.Memory) *frameWriter {
	return &frameWriter{
		conn: stream, bytes: stream.Bytes, memory: memory,
		wake: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

// enqueue queues all frames. It returns false if the peer stream is closed. If they don't fit into maxQueuedBytes with what
// is queued, it queues none of them, closes the peer stream and returns false.
func (w *frameWriter) enqueue(cause cross.Cause, frames ...wire.Frame) bool {
	select {
	case <-w.closed:
		return false
	default:
	}
	size := 0
	for _, frame := range frames {
		size += len(frame.Body) + wire.HeaderSize
	}
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return false
	}
	full := w.size > 0 && w.size+size > maxQueuedBytes
	if !full {
		w.size += size
		w.memory.Add(int64(size))
		for _, frame := range frames {
			w.frames = append(w.frames, queuedFrame{Frame: frame, cause: cause})
		}
	}
	w.mu.Unlock()
	if full {
		w.close()
		return false
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return true
}

func (w *frameWriter) close() {
	w.once.Do(func() {
		close(w.closed)
		_ = w.conn.Close()
		_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	})
}

// run writes queued frames until the peer stream is closed.
func (w *frameWriter) run() {
	defer w.end()
	buffered := bufio.NewWriterSize(w.conn, peerBufferSize)
	for {
		select {
		case <-w.closed:
			return
		case <-w.wake:
		}
		w.mu.Lock()
		frames, size := w.frames, w.size
		w.frames, w.size = nil, 0
		w.mu.Unlock()
		err := w.write(buffered, frames)
		w.memory.Release(int64(size))
		if err != nil {
			w.close()
			return
		}
	}
}

// end drops what is still queued.
func (w *frameWriter) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.memory.Release(int64(w.size))
	w.frames, w.size, w.ended = nil, 0, true
}

func (w *frameWriter) write(buffered *bufio.Writer, frames []queuedFrame) error {
	// Deadlines of real I/O use the system clock.
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeStallTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	for _, frame := range frames {
		var header [wire.HeaderSize]byte
		wire.PutHeader(header[:], frame.Kind, len(frame.Body))
		_, _ = buffered.Write(header[:])
		if _, err := buffered.Write(frame.Body); err != nil {
			return fmt.Errorf("write to peer stream: %w", err)
		}
		w.bytes.Add(frame.cause, cross.Sent, wire.HeaderSize+len(frame.Body))
	}
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("write to peer stream: %w", err)
	}
	return nil
}

// encodeFrame encodes a message of a peer stream. The error reports a message that the receiver would not accept.
func encodeFrame[T any, M wire.Message[T]](kind wire.Kind, m M) (wire.Frame, error) {
	body, err := wire.Encode[T](m)
	if err != nil {
		return wire.Frame{}, err
	}
	if len(body) > maxPeerFrame {
		return wire.Frame{}, fmt.Errorf("%w: %d bytes of %T, limit %d", wire.ErrFrameTooLarge, len(body), m, maxPeerFrame)
	}
	return wire.Frame{Kind: kind, Body: body}, nil
}

// splitBody returns the first part of a body, which its message carries, and the rest.
func splitBody(body []byte) (first, rest []byte) {
	n := min(len(body), maxBodyPart)
	return body[:n], body[n:]
}

// encodeFrames encodes a message that carries the first part of a body, and the body parts that follow.
func encodeFrames[T any, M wire.Message[T]](kind wire.Kind, m M, number uint64, rest []byte) ([]wire.Frame, error) {
	first, err := encodeFrame[T](kind, m)
	if err != nil {
		return nil, err
	}
	frames := []wire.Frame{first}
	for len(rest) > 0 {
		n := min(len(rest), maxBodyPart)
		frame, err := encodeFrame(kindPart, &BodyPart{Number: number, Body: rest[:n], More: n < len(rest)})
		if err != nil {
			return nil, err
		}
		frames = append(frames, frame)
		rest = rest[n:]
	}
	return frames, nil
}
