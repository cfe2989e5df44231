package link

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	kindOpen wire.Kind = 3

	maxOpenSize = 64 // largest body in bytes of the first frame of a stream

	// StreamWindow is the largest number of bytes that one stream buffers at its receiver.
	StreamWindow = 256 << 10

	acceptBacklog = 1024
	// keepAliveInterval is long because pings are the main cost of idle sessions: an interval of 2 s uses
	// 0.0045% of a core per session. Calls have their own deadlines.
	keepAliveInterval = 15 * time.Second
	writeTimeout      = 10 * time.Second
)

// The protocols of streams: the consensus group, control messages between a daemon and a control instance, one
// call and its response, and requests to the backend server of another daemon.
const (
	StreamRaft    StreamType = 1
	StreamControl StreamType = 2
	StreamCall    StreamType = 3
	StreamRelay   StreamType = 4
)

type (
	// StreamType identifies the protocol of a stream.
	StreamType uint32

	// Open is the first message on every stream.
	Open struct {
		Type StreamType `protobuf:"varint,1,opt,name=type,proto3"`
	}

	// Stream is one bidirectional stream to the daemon named Peer. It counts its bytes by Cause, which is set before
	// the stream is used; a protocol that carries messages of several causes sets Home and counts them itself.
	Stream struct {
		net.Conn
		Peer  string
		Bytes *cross.Bytes // nil to count nothing
		Cause cross.Cause
	}
)

// ErrReset reports a stream that its peer has reset. A peer that has sent nothing before has not accepted the stream,
// because it stops or too many others wait.
var ErrReset = errors.New("stream reset by peer")

// Read reads from the stream.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.Bytes.Add(s.Cause, cross.Received, n)
	return n, translate(err)
}

// Write writes to the stream.
func (s *Stream) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.Bytes.Add(s.Cause, cross.Sent, n)
	return n, translate(err)
}

// translate returns an error of the session as one of this package. The others stay as they are, io.EOF among them.
func translate(err error) error {
	if errors.Is(err, yamux.ErrConnectionReset) {
		return fmt.Errorf("%w: %w", ErrReset, err)
	}
	return err
}

// Check returns an error if the stream type is unknown.
func (o *Open) Check() error {
	if o.Type < StreamRaft || o.Type > StreamRelay {
		return fmt.Errorf("stream type %d is unknown", o.Type)
	}
	return nil
}

// sessionConfig returns the yamux configuration of a session. A keepAlive of zero selects keepAliveInterval and
// writeTimeout.
func sessionConfig(keepAlive time.Duration) *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	if keepAlive > 0 {
		config.KeepAliveInterval, config.ConnectionWriteTimeout = keepAlive, keepAlive
	}
	config.MaxStreamWindowSize = StreamWindow
	config.LogOutput = io.Discard // Server logs session errors, Dialer returns them
	return config
}
