package call

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/picker"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// deadlineReportGrace gives the daemon of the backend server time to report a passed deadline itself,
// because it knows whether the request has run.
const deadlineReportGrace = 50 * time.Millisecond

var (
	errNotSent   = errors.New("call not sent")
	errTruncated = errors.New("call stream ended before the response was complete")

	// errWrongMessage reports a message at a position that the protocol does not allow.
	errWrongMessage = errors.New("unexpected message of the daemon of the server")
)

type (
	// Sender opens call streams to the daemons of backend servers.
	Sender struct {
		Dialer      *link.Dialer
		PeerAddress string       // of this daemon; calls to it use no connection
		ServeLocal  link.Handler // serves calls to the local backend server
		Name        string
	}

	// outgoingCall is the sending side of one attempt on a call stream.
	outgoingCall struct {
		stream *link.Stream
		reader *bufio.Reader
		buffer []byte
		// bodySize is the number of bytes of the body of the response that have been received.
		bodySize int
		lent     uint32 // retries
		stop     func() bool
		cancel   context.CancelFunc
	}

	// responseMessage is a message from the serving daemon: admittedMessage, refusalMessage,
	// responseHeadMessage, dataMessage or endMessage.
	responseMessage interface{ responseMessage() }

	admittedMessage     struct{}
	refusalMessage      struct{ Refusal }
	responseHeadMessage struct{ ResponseHead }
	dataMessage         struct{ bytes []byte }
	endMessage          struct{ ResponseEnd }
)

func (admittedMessage) responseMessage()     {}
func (refusalMessage) responseMessage()      {}
func (responseHeadMessage) responseMessage() {}
func (dataMessage) responseMessage()         {}
func (endMessage) responseMessage()          {}

// open opens a call stream and sends the head and, unless the head sets WaitAdmitted, the body, which is
// the prefix. An error that wraps errNotSent means that no byte was sent, and one that wraps errNotEncoded that no daemon
// would accept the head.
func (s *Sender) open(ctx context.Context, choice *picker.Choice, head *RequestHead, prefix []byte) (*outgoingCall, error) {
	encoded, err := encode(head)
	if err != nil {
		return nil, err
	}
	stream, err := s.connect(ctx, choice.Daemon)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	stream.Cause = choice.Cause
	call := &outgoingCall{stream: stream, reader: readerPool.Get().(*bufio.Reader)}
	call.reader.Reset(stream)
	call.stop = context.AfterFunc(ctx, call.abort)
	writer := headWriterPool.Get().(*bufio.Writer)
	defer headWriterPool.Put(writer)
	writer.Reset(stream)
	err = wire.WriteFrame(writer, kindRequestHead, encoded)
	if err == nil && !head.WaitAdmitted {
		err = writeBody(writer, prefix, nil)
	}
	if err == nil {
		err = writer.Flush()
	}
	if err != nil {
		call.close()
		if errors.Is(err, link.ErrReset) {
			return nil, fmt.Errorf("%w: %w", errNotSent, err)
		}
		return nil, fmt.Errorf("send call head: %w", err)
	}
	return call, nil
}

func (s *Sender) connect(ctx context.Context, daemon string) (*link.Stream, error) {
	if daemon != s.PeerAddress {
		return s.Dialer.Open(ctx, daemon, link.StreamCall)
	}
	clientEnd, serverEnd := net.Pipe()
	go s.ServeLocal(context.WithoutCancel(ctx), &link.Stream{Conn: serverEnd, Peer: s.Name})
	return &link.Stream{Conn: clientEnd, Peer: s.Name}, nil
}

// sendBody sends the prefix and the rest of the body after the call has been admitted.
func (c *outgoingCall) sendBody(prefix []byte, rest io.Reader) error {
	// Writes are not buffered, because the next part of the body may arrive much later.
	return writeBody(c.stream, prefix, rest)
}

func writeBody(w io.Writer, prefix []byte, rest io.Reader) error {
	for len(prefix) > 0 {
		n := min(len(prefix), dataFrameSize)
		if err := wire.WriteFrame(w, kindData, prefix[:n]); err != nil {
			return err
		}
		prefix = prefix[n:]
	}
	if rest != nil {
		buf := make([]byte, wire.HeaderSize+dataFrameSize)
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

// next returns the next message. The bytes of a dataMessage are valid until the following call of next.
func (c *outgoingCall) next() (responseMessage, error) {
	frame, err := wire.ReadFrameInto(c.reader, c.buffer, maxFrame)
	if err != nil {
		if errors.Is(err, io.EOF) {
			return nil, errTruncated
		}
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	if cap(frame.Body) > cap(c.buffer) {
		c.buffer = frame.Body
	}
	switch frame.Kind {
	case kindAdmitted:
		return admittedMessage{}, nil
	case kindData:
		c.bodySize += len(frame.Body)
		return dataMessage{bytes: frame.Body}, nil
	case kindRefusal:
		return decodeMessage(frame.Body, func(m *Refusal) responseMessage { return refusalMessage{*m} })
	case kindResponseHead:
		return decodeMessage(frame.Body, func(m *ResponseHead) responseMessage { return responseHeadMessage{*m} })
	case kindResponseEnd:
		return decodeMessage(frame.Body, func(m *ResponseEnd) responseMessage { return endMessage{*m} })
	}
	return nil, fmt.Errorf("%w: unknown frame kind %d", errTruncated, frame.Kind)
}

func decodeMessage[T any, M wire.Message[T]](body []byte, wrap func(M) responseMessage) (responseMessage, error) {
	message, err := wire.Decode[T, M](body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	return wrap(message), nil
}

// abort unblocks reads and closes the stream, which cancels the call at the serving daemon.
func (c *outgoingCall) abort() {
	_ = c.stream.SetReadDeadline(time.Unix(1, 0))
	_ = c.stream.Close()
}

func (c *outgoingCall) close() {
	c.stop()
	c.abort()
	if c.reader != nil {
		readerPool.Put(c.reader)
		c.reader = nil
	}
	if c.cancel != nil {
		c.cancel()
	}
}

// failureOf returns the failure of a refusal. An unknown pair of reason and outcome cannot occur, because
// Refusal.Check has rejected it.
func failureOf(r *Refusal) retry.Failure {
	failure, err := retry.Parse(r.Reason, r.Outcome)
	if err != nil {
		return retry.BackendLost{}
	}
	return failure
}
