package call

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// answerGrace lets the daemon beside the backend server report a deadline itself, because it knows
// whether the request has run.
const answerGrace = 50 * time.Millisecond

var (
	errNotSent  = errors.New("call not sent")
	errCutShort = errors.New("call stream ended before the answer was whole")
)

type (
	// Sender opens call streams to the daemons beside backend servers.
	Sender struct {
		Dialer *link.Dialer
		Own    string       // peer address of this daemon, whose calls need no connection
		Local  link.Handler // serves calls to this daemon's own backend server
		Name   string
	}

	// exchange is one attempt: the stream, and what has been read from it.
	exchange struct {
		stream *link.Stream
		reader *bufio.Reader
		buffer []byte
		stop   func() bool
		cancel context.CancelFunc
	}

	// event is a message from the answering daemon: admitted, refused, answered, data or ended.
	event interface{ event() }

	admitted struct{}
	refused  struct{ RefusedCall }
	answered struct{ Answer }
	data     struct{ bytes []byte }
	ended    struct{ End }
)

func (admitted) event() {}
func (refused) event()  {}
func (answered) event() {}
func (data) event()     {}
func (ended) event()    {}

// open starts an exchange and sends the head, and the whole body when it is in the prefix. Errors that
// wrap errNotSent mean that no byte was sent.
func (s *Sender) open(ctx context.Context, to *snap.Endpoint, head *Head, prefix []byte) (*exchange, error) {
	stream, err := s.connect(ctx, to.Daemon)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	x := &exchange{stream: stream, reader: readers.Get().(*bufio.Reader)}
	x.reader.Reset(stream)
	x.stop = context.AfterFunc(ctx, x.abort)
	writer := heads.Get().(*bufio.Writer)
	defer heads.Put(writer)
	writer.Reset(stream)
	err = wire.WriteMessage(writer, kindHead, head)
	if err == nil && !head.WaitAdmitted {
		err = writeBody(writer, prefix, nil)
	}
	if err == nil {
		err = writer.Flush()
	}
	if err != nil {
		x.close()
		return nil, fmt.Errorf("send call head: %w", err)
	}
	return x, nil
}

func (s *Sender) connect(ctx context.Context, daemon string) (*link.Stream, error) {
	if daemon != s.Own {
		return s.Dialer.Open(ctx, daemon, link.StreamCall)
	}
	near, far := net.Pipe()
	go s.Local(context.WithoutCancel(ctx), &link.Stream{Conn: far, Peer: s.Name})
	return &link.Stream{Conn: near, Peer: s.Name}, nil
}

// sendBody sends the prefix and the rest of the body after Admitted.
func (x *exchange) sendBody(prefix []byte, rest io.Reader) error {
	// Each part goes out at once, because the next one may be long in coming.
	return writeBody(x.stream, prefix, rest)
}

func writeBody(w io.Writer, prefix []byte, rest io.Reader) error {
	for len(prefix) > 0 {
		n := min(len(prefix), dataSize)
		if err := wire.WriteFrame(w, kindData, prefix[:n]); err != nil {
			return err
		}
		prefix = prefix[n:]
	}
	if rest != nil {
		buf := make([]byte, wire.HeaderSize+dataSize)
		for {
			n, err := rest.Read(buf[wire.HeaderSize:])
			if n > 0 {
				wire.PutHeader(buf, kindData, n)
				if _, err := w.Write(buf[:wire.HeaderSize+n]); err != nil {
					return fmt.Errorf("send call body: %w", err)
				}
			}
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return fmt.Errorf("read request body: %w", err)
			}
		}
	}
	return wire.WriteFrame(w, kindDataEnd, nil)
}

// next returns the next message; data is valid until the following call.
func (x *exchange) next() (event, error) {
	frame, err := wire.ReadFrameInto(x.reader, x.buffer, maxFrame)
	if err != nil {
		if errors.Is(err, io.EOF) {
			return nil, errCutShort
		}
		return nil, fmt.Errorf("%w: %w", errCutShort, err)
	}
	if cap(frame.Body) > cap(x.buffer) {
		x.buffer = frame.Body
	}
	switch frame.Kind {
	case kindAdmitted:
		return admitted{}, nil
	case kindData:
		return data{bytes: frame.Body}, nil
	case kindRefused:
		return decodeEvent(frame.Body, func(m *RefusedCall) event { return refused{*m} })
	case kindAnswer:
		return decodeEvent(frame.Body, func(m *Answer) event { return answered{*m} })
	case kindEnd:
		return decodeEvent(frame.Body, func(m *End) event { return ended{*m} })
	}
	return nil, fmt.Errorf("%w: unknown frame kind %d", errCutShort, frame.Kind)
}

func decodeEvent[T any, M wire.Message[T]](body []byte, wrap func(M) event) (event, error) {
	message, err := wire.Decode[T, M](body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCutShort, err)
	}
	return wrap(message), nil
}

// abort unblocks reads and tells the other side that the caller has gone.
func (x *exchange) abort() {
	_ = x.stream.SetReadDeadline(time.Unix(1, 0))
	_ = x.stream.Close()
}

func (x *exchange) close() {
	x.stop()
	x.abort()
	if x.reader != nil {
		readers.Put(x.reader)
		x.reader = nil
	}
	if x.cancel != nil {
		x.cancel()
	}
}

// failureOf turns a refusal of another daemon into a failure; an unknown pair cannot occur after Check.
func failureOf(r *RefusedCall) retry.Failure {
	failure, err := retry.Parse(r.Reason, r.Outcome)
	if err != nil {
		return retry.BackendLost{}
	}
	return failure
}
