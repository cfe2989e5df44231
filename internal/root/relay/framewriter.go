package relay

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// maxQueued bounds the bytes that wait for a slow peer; a lane that holds more is closed.
	maxQueued = 16 << 20

	// laneBuffer is the size in bytes of the buffers of a lane in each direction; a daemon has lanes to and
	// from many others.
	laneBuffer = 4 << 10

	// writeStall is how long the peer may take no byte before the lane is closed.
	writeStall = 2 * time.Second
)

// outbox writes frames in order without blocking those who send them.
type outbox struct {
	conn   net.Conn
	filled chan struct{} // holds a token while frames wait
	closed chan struct{}
	once   sync.Once

	mu     sync.Mutex
	frames []wire.Frame
	size   int
}

func newOutbox(conn net.Conn) *outbox {
	return &outbox{conn: conn, filled: make(chan struct{}, 1), closed: make(chan struct{})}
}

// send queues frames, all or none; it reports false on a closed lane.
func (o *outbox) send(frames ...wire.Frame) bool {
	select {
	case <-o.closed:
		return false
	default:
	}
	o.mu.Lock()
	for _, frame := range frames {
		o.size += len(frame.Body) + wire.HeaderSize
	}
	o.frames = append(o.frames, frames...)
	full := o.size > maxQueued
	o.mu.Unlock()
	if full {
		o.close()
		return false
	}
	select {
	case o.filled <- struct{}{}:
	default:
	}
	return true
}

func (o *outbox) close() {
	o.once.Do(func() {
		close(o.closed)
		_ = o.conn.Close()
		_ = o.conn.SetReadDeadline(time.Unix(1, 0))
	})
}

// run writes until the lane is closed.
func (o *outbox) run() {
	writer := bufio.NewWriterSize(o.conn, laneBuffer)
	for {
		select {
		case <-o.closed:
			return
		case <-o.filled:
		}
		o.mu.Lock()
		frames := o.frames
		o.frames, o.size = nil, 0
		o.mu.Unlock()
		if err := o.write(writer, frames); err != nil {
			o.close()
			return
		}
	}
}

func (o *outbox) write(writer *bufio.Writer, frames []wire.Frame) error {
	// The deadline bounds real I/O, so it is on the machine's clock.
	if err := o.conn.SetWriteDeadline(time.Now().Add(writeStall)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	for _, frame := range frames {
		var header [wire.HeaderSize]byte
		wire.PutHeader(header[:], frame.Kind, len(frame.Body))
		_, _ = writer.Write(header[:])
		if _, err := writer.Write(frame.Body); err != nil {
			return fmt.Errorf("write lane: %w", err)
		}
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("write lane: %w", err)
	}
	return nil
}

// frameOf encodes a message of a lane.
func frameOf[T any, M wire.Message[T]](kind wire.Kind, m M) (wire.Frame, error) {
	body, err := wire.Encode[T](m)
	if err != nil {
		return wire.Frame{}, err
	}
	return wire.Frame{Kind: kind, Body: body}, nil
}

// cut returns the first part of a body, which its message carries, and the rest.
func cut(body []byte) (first, rest []byte) {
	n := min(len(body), maxPart)
	return body[:n], body[n:]
}

// framesOf encodes a message that carries the first part of a body, and the parts that follow it.
func framesOf[T any, M wire.Message[T]](kind wire.Kind, m M, number uint64, rest []byte) ([]wire.Frame, error) {
	first, err := frameOf[T](kind, m)
	if err != nil {
		return nil, err
	}
	frames := []wire.Frame{first}
	for len(rest) > 0 {
		n := min(len(rest), maxPart)
		frame, err := frameOf(kindPart, &Part{Number: number, Body: rest[:n], More: n < len(rest)})
		if err != nil {
			return nil, err
		}
		frames = append(frames, frame)
		rest = rest[n:]
	}
	return frames, nil
}
