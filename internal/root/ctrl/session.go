package ctrl

import (
	"bufio"
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// maxQueuedFrames bounds the frames that wait for a slow peer. A session whose queue is full is closed,
	// and the daemon opens another one. The queue is a slice that grows as needed: a channel of this size
	// takes 128 KiB per session, which is 1.1 GiB on the leader of 8,800 daemons.
	maxQueuedFrames = 4096

	// maxReusedQueue is the largest queue, in frames, whose memory is reused.
	maxReusedQueue = 64
)

// session is one end of a control stream. The loop queues frames; the goroutines of the session read and write
// the stream.
type session struct {
	peer      string // name of the peer
	remote    string // dialed address, empty on accepted streams
	stream    *link.Stream
	notEmpty  chan struct{} // has an element while frames are queued
	closed    chan struct{}
	closeOnce sync.Once
	silent    atomic.Bool // the peer has not replied to heartbeats

	mu    sync.Mutex
	queue []wire.Frame

	// Only the loop of a control instance uses the fields below.
	join           *Join
	subscription   *member.Subscription // latest subscription, applied once more at the end of the leader's warm-up
	sentRevision   uint64               // revision that the daemon has or was sent last
	sentMembership uint64               // index of the membership sent last
	queuedBytes    uint64               // bytes queued for the daemon since the stream was opened
}

func newSession(stream *link.Stream, remote string) *session {
	return &session{
		peer: stream.Peer, remote: remote, stream: stream,
		notEmpty: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

// send queues a frame without blocking; if the queue is full, it closes the session.
func (s *session) send(frame wire.Frame) {
	s.mu.Lock()
	full := len(s.queue) >= maxQueuedFrames
	if !full {
		s.queue = append(s.queue, frame)
	}
	s.mu.Unlock()
	if full {
		s.close()
		return
	}
	select {
	case s.notEmpty <- struct{}{}:
	default:
	}
}

// sendCounted queues a frame for a daemon and counts its bytes; sessions may share the frame.
func (s *session) sendCounted(frame wire.Frame) {
	s.queuedBytes += uint64(len(frame.Body) + wire.HeaderSize)
	s.send(frame)
}

// takeQueue returns the queued frames and reuses the memory of spare, whose frames have been written, for the
// next ones.
func (s *session) takeQueue(spare []wire.Frame) []wire.Frame {
	if cap(spare) > maxReusedQueue {
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
	s.closeOnce.Do(func() {
		close(s.closed)
		_ = s.stream.Close()
		_ = s.stream.SetReadDeadline(pastDeadline)
	})
}

// serve writes queued frames and passes received ones to receive until the stream or ctx ends.
func (s *session) serve(ctx context.Context, receive func(wire.Frame) error) error {
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
		case <-s.notEmpty:
			frames = s.takeQueue(frames)
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
		// Header and body are written separately, so that sessions can share the body of a large frame.
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
