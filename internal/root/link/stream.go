package link

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	kindOpen wire.Kind = 3

	maxOpenSize = 64 // bytes

	// StreamWindow is the largest number of bytes that one stream buffers at its receiver.
	StreamWindow = 256 << 10

	acceptBacklog = 1024 // streams of a session that are not accepted yet
	// keepAliveInterval is long because pings are the main cost of idle sessions: an interval of 2 s uses
	// 0.0045% of a core per session. Calls have their own deadlines.
	keepAliveInterval = 15 * time.Second
	writeTimeout      = 10 * time.Second
)

// The protocols that a stream can carry.
const (
	StreamRaft    StreamType = 1 // messages of the consensus group
	StreamControl StreamType = 2 // messages between a daemon and a control instance
	StreamCall    StreamType = 3 // one call and its response
	StreamRelay   StreamType = 4 // requests to the backend server of another daemon
)

type (
	// StreamType identifies the protocol of a stream.
	StreamType uint32

	// Open is the first message on every stream.
	Open struct {
		Type StreamType `protobuf:"varint,1,opt,name=type,proto3"`
	}

	// Stream is one bidirectional stream to the daemon named Peer.
	Stream struct {
		net.Conn
		Peer string
	}
)

// Check returns an error if the stream type is unknown.
func (o *Open) Check() error {
	if o.Type < StreamRaft || o.Type > StreamRelay {
		return fmt.Errorf("stream type %d is unknown", o.Type)
	}
	return nil
}

// sessionConfig returns the configuration of a session. A positive keepAlive replaces both
// keepAliveInterval and writeTimeout.
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
