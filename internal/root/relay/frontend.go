package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	// lingerTime is how long a connection is read on after its last answer, so that bytes on their way do
	// not reset it before the answer has arrived. A caller that sends another request meanwhile has to learn
	// soon that it is not served.
	lingerTime = 120 * time.Millisecond

	// keepAlivePeriod finds callers that have gone without closing.
	keepAlivePeriod = 15 * time.Second
)

// Front accepts the connections of callers.
type Front struct {
	Listener net.Listener
	Path     *Path
	Dialect  Dialect
	Log      zerolog.Logger
	// Limits bound requests where the configuration sets none.
	Limits rules.Limits
	// BodyStall is the longest pause within a request body.
	BodyStall time.Duration
	// MaxConnections bounds the connections of callers.
	MaxConnections int

	active  atomic.Int64 // requests in progress
	open    atomic.Int64 // connections
	leaving atomic.Bool
	refuse  atomic.Bool // no further request is taken
}

// Run accepts connections until ctx ends.
func (f *Front) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.Listener.Close() })
	defer stop()
	for {
		conn, err := f.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept caller: %w", err)
		}
		if f.open.Load() >= int64(f.MaxConnections) {
			_ = conn.Close()
			f.Log.Warn().Str("reason", string(retry.Describe(retry.Overload{}).Reason)).Msg("connection-refused")
			continue
		}
		f.open.Add(1)
		go func() {
			defer f.open.Add(-1)
			f.serve(conn)
		}()
	}
}

// serve outlives the end of Run: requests in progress end by themselves.
func (f *Front) serve(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: 2})
	}
	limit := &countedReader{from: conn}
	caller := &callerConn{front: f, conn: conn, limit: limit, reader: bufio.NewReaderSize(limit, 4<<10)}
	limit.left = 1 << 62
	caller.serve(context.Background())
}

// Leave makes answers end their connections, because the daemon is leaving.
func (f *Front) Leave() { f.leaving.Store(true) }

// Refuse makes the front turn away every further request as not run.
func (f *Front) Refuse() { f.refuse.Store(true) }

func (f *Front) stopping() bool { return f.leaving.Load() }

// Active returns the number of requests in progress.
func (f *Front) Active() int { return int(f.active.Load()) }

// Open returns the number of connections.
func (f *Front) Open() int { return int(f.open.Load()) }

// limits returns the bounds of the configuration in force, completed by those of the settings.
func (f *Front) limits() rules.Limits {
	limits := f.Limits
	set := f.Path.Control.Snapshot().Rules
	if set == nil {
		return limits
	}
	if set.Limits.HeaderSize > 0 {
		limits.HeaderSize = set.Limits.HeaderSize
	}
	if set.Limits.BodySize > 0 {
		limits.BodySize = min(limits.BodySize, set.Limits.BodySize)
	}
	if set.Limits.HeaderTimeout > 0 {
		limits.HeaderTimeout = set.Limits.HeaderTimeout
	}
	if set.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = set.Limits.IdleTimeout
	}
	return limits
}
