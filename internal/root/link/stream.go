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

	maxOpen = 64

	// StreamWindow bounds what one stream buffers at its receiver, in bytes.
	StreamWindow = 256 << 10

	acceptBacklog = 1024
	// keepAliveInterval is long because pings are the main cost of idle sessions: every 2 s took 0.0045% of a
	// core for each. Calls have deadlines of their own.
	keepAliveInterval = 15 * time.Second
	writeTimeout      = 10 * time.Second
)

// The protocols that a stream can carry.
const (
	StreamRaft    StreamType = 1
	StreamControl StreamType = 2
	StreamCall    StreamType = 3
	StreamRelay   StreamType = 4
)

type (
	// StreamType selects the protocol of a stream.
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

// Check reports an unknown stream type.
func (o *Open) Check() error {
	if o.Type < StreamRaft || o.Type > StreamRelay {
		return fmt.Errorf("stream type %d is unknown", o.Type)
	}
	return nil
}

func sessionConfig(probe time.Duration) *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	if probe > 0 {
		config.KeepAliveInterval, config.ConnectionWriteTimeout = probe, probe
	}
	config.MaxStreamWindowSize = StreamWindow
	config.LogOutput = io.Discard // session errors are reported by the link's own log events
	return config
}
