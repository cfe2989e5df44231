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

// sessionQueue bounds the frames that wait for a slow peer; a session whose queue is full is closed, and
// the daemon opens another one.
const sessionQueue = 4096

// session is one control stream. The loop sends on it; its own goroutines move the bytes.
type session struct {
	peer   string // name of the other daemon
	remote string // address that was dialed; empty on accepted streams
	stream *link.Stream
	out    chan wire.Frame
	closed chan struct{}
	once   sync.Once

	// The fields below belong to the loop of a control instance.
	join    *Join
	want    *member.Want // repeated at the end of the leader\'s warm-up
	sent    uint64       // revision sent last
	traffic uint64       // bytes queued for the daemon
}

func newSession(stream *link.Stream, remote string) *session {
	return &session{
		peer: stream.Peer, remote: remote, stream: stream,
		out: make(chan wire.Frame, sessionQueue), closed: make(chan struct{}),
	}
}

// send queues a frame without blocking; a full queue closes the session.
func (s *session) send(frame wire.Frame) {
	select {
	case s.out <- frame:
	case <-s.closed:
	default:
		s.close()
	}
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
	writer := bufio.NewWriterSize(s.stream, 16<<10)
	for {
		select {
		case <-s.closed:
			return
		case frame := <-s.out:
			err := wire.WriteFrame(writer, frame.Kind, frame.Body)
			if err == nil && len(s.out) == 0 {
				err = writer.Flush()
			}
			if err != nil {
				s.close()
				return
			}
		}
	}
}
