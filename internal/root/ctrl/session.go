package ctrl

import (
	"bufio"
	"context"
	"fmt"
	"sync"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// sessionQueue bounds the frames that wait for a slow peer; a session whose queue is full is closed,
	// and the daemon opens another one. The queue grows as needed: a channel of this size took 128 KiB
	// for each session, which is 1.1 GiB on the leader of 8,800 daemons.
	sessionQueue = 4096

	// keptQueue is the largest queue, in frames, whose memory is used again.
	keptQueue = 64
)

// session is one control stream. The loop sends on it; its own goroutines move the bytes.
type session struct {
	peer   string // name of the other daemon
	remote string // address that was dialed; empty on accepted streams
	stream *link.Stream
	filled chan struct{} // holds a token while frames wait
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	queue []wire.Frame

	// The fields below belong to the loop of a control instance.
	join    *Join
	want    *member.Subscription // repeated at the end of the leader\'s warm-up
	sent    uint64               // revision sent last
	members uint64               // index of the membership sent last
	traffic uint64               // bytes queued for the daemon
}

func newSession(stream *link.Stream, remote string) *session {
	return &session{
		peer: stream.Peer, remote: remote, stream: stream,
		filled: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

// send queues a frame without blocking; a full queue closes the session.
func (s *session) send(frame wire.Frame) {
	s.mu.Lock()
	full := len(s.queue) >= sessionQueue
	if !full {
		s.queue = append(s.queue, frame)
	}
	s.mu.Unlock()
	if full {
		s.close()
		return
	}
	select {
	case s.filled <- struct{}{}:
	default:
	}
}

// queueFrame sends a frame to a daemon and counts its bytes; the frame may be shared between sessions.
func (s *session) queueFrame(frame wire.Frame) {
	s.traffic += uint64(len(frame.Body) + wire.HeaderSize)
	s.send(frame)
}

// take returns the frames that wait and leaves spare, whose frames have been written, as the new queue.
func (s *session) take(spare []wire.Frame) []wire.Frame {
	if cap(spare) > keptQueue {
		spare = nil
	}
	clear(spare)
	s.mu.Lock()
	defer s.mu.Unlock()
	frames := s.queue
	s.queue = spare[:0]
	return frames
}

func (s *session) close() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.stream.Close()
		_ = s.stream.SetReadDeadline(pastDeadline)
	})
}

// pump writes queued frames and passes received ones to receive until the stream or ctx ends.
func (s *session) pump(ctx context.Context, receive func(wire.Frame) error) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	var writing sync.WaitGroup
	writing.Go(s.write)
	defer writing.Wait()
	defer s.close()
	reader := bufio.NewReaderSize(s.stream, 4<<10)
	for {
		frame, err := wire.ReadFrame(reader, maxControlFrame)
		if err != nil {
			return fmt.Errorf("read control stream: %w", err)
		}
		if err := receive(frame); err != nil {
			return err
		}
	}
}

func (s *session) write() {
	writer := bufio.NewWriterSize(s.stream, 4<<10)
	var frames []wire.Frame
	for {
		select {
		case <-s.closed:
			return
		case <-s.filled:
			frames = s.take(frames)
			if err := s.writeAll(writer, frames); err != nil {
				s.close()
				return
			}
		}
	}
}

func (s *session) writeAll(writer *bufio.Writer, frames []wire.Frame) error {
	for _, frame := range frames {
		if len(frame.Body) > wire.MaxFrame {
			return fmt.Errorf("%w: %d bytes, limit %d", wire.ErrFrameTooLarge, len(frame.Body), wire.MaxFrame)
		}
		// Header and body are written apart, so that sessions share the body of a large frame.
		var header [wire.HeaderSize]byte
		wire.PutHeader(header[:], frame.Kind, len(frame.Body))
		_, _ = writer.Write(header[:])
		if _, err := writer.Write(frame.Body); err != nil {
			return fmt.Errorf("write control frame: %w", err)
		}
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("write control frames: %w", err)
	}
	return nil
}
