package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/accept"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	// lingerTime is how long a connection is still read after its last response. Closing a connection with
	// unread bytes would reset it before the response has arrived. The time is short because a caller that
	// sends another request meanwhile must notice soon that it is not served.
	lingerTime = 120 * time.Millisecond

	// idleConnectionsShare is the share of the connection limit above which new connections replace idle ones.
	idleConnectionsShare = 0.4

	// minIdleTime is how long a connection has been idle before it is closed while there is still room.
	minIdleTime = time.Second

	// maxFinishTime bounds the wait for the connections that were accepted last, finishIdleTime is how long a
	// request may take to arrive on them, and finishPollInterval is the interval at which they are checked. Requests
	// that are in progress after maxRequestTime are ended, so that their callers get an answer.
	maxFinishTime      = 400 * time.Millisecond
	maxRequestTime     = 300 * time.Millisecond
	finishIdleTime     = 100 * time.Millisecond
	finishPollInterval = 10 * time.Millisecond

	// keepAlivePeriod is the TCP keep-alive interval. It detects callers that have disappeared without
	// closing.
	keepAlivePeriod = 15 * time.Second
)

// Frontend accepts connections from callers.
type Frontend struct {
	Listener  net.Listener
	Forwarder *Forwarder
	Dialect   Dialect
	Log       zerolog.Logger
	// Limits apply where the configuration sets none.
	Limits rules.Limits
	// BodyStall is the longest pause within a request body.
	BodyStall time.Duration
	// WriteStall is the longest time that a caller may accept no byte of a response.
	WriteStall time.Duration
	// Bodies bounds the bodies of all requests in progress.
	Bodies *budget.Bytes
	// KeptBody is the size in bytes up to which a request body is held whole. The rest of a longer one is passed on as it
	// arrives.
	KeptBody int64
	// Requests bounds the requests in progress by the bytes that they take; nil for no bound.
	Requests *budget.Bytes
	// Queued bounds the responses that callers have not accepted yet; nil for no bound.
	Queued *queuedResponses
	// MaxConnections bounds the number of connections from callers.
	MaxConnections int

	workers  super.Workers // serve requests
	idle     idleConns
	active   atomic.Int64 // requests in progress
	open     atomic.Int64 // connections
	closing  atomic.Bool
	refusing atomic.Bool // every further request is refused

	finishing atomic.Bool // connections without a request are closed
}

// Run accepts connections until ctx ends. Those that wait then are still accepted and served; Finish waits for them.
func (f *Frontend) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.Listener.Close() })
	defer stop()
	for {
		conn, err := f.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept caller: %w", err)
		}
		if !f.makeRoom() {
			_ = conn.Close()
			f.Forwarder.Meter.BudgetRefused("connections")
			f.Log.Info().Str("address", accept.ClientAddress(conn).String()).Str("reason", string(retry.Describe(retry.Overload{}).Reason)).Msg("connection-refused")
			continue
		}
		f.open.Add(1)
		go func() {
			defer f.open.Add(-1)
			defer super.Recover(&f.Log, "connection", func() { _ = conn.Close() })
			f.serve(conn)
		}()
	}
}

// Finish waits for the connections that were accepted last, after Run has returned: their requests get a response
// before the process ends, and so do those that take too long. Connections on which no request has arrived are closed.
func (f *Frontend) Finish() {
	f.finishing.Store(true)
	timer := time.NewTimer(maxFinishTime)
	defer timer.Stop()
	defer time.AfterFunc(maxRequestTime, f.Forwarder.EndRequests).Stop()
	ticker := time.NewTicker(finishPollInterval)
	defer ticker.Stop()
	for f.open.Load() > 0 {
		f.idle.wake(time.Now(), finishIdleTime)
		select {
		case <-ticker.C:
		case <-timer.C:
			return
		}
	}
}

// makeRoom reports whether another connection may be opened. Beyond idleConnectionsShare of the limit, it makes
// connections end that have been idle for a while, and at the limit any idle one.
func (f *Frontend) makeRoom() bool {
	open, now := f.open.Load(), time.Now()
	if open < int64(f.MaxConnections) {
		if float64(open) >= idleConnectionsShare*float64(f.MaxConnections) {
			f.idle.evict(now, minIdleTime)
		}
		return true
	}
	for {
		given := f.idle.evict(now, 0)
		if given == nil {
			return false
		}
		if <-given {
			return true
		}
	}
}

// serve handles one connection. It continues after Run has returned, until the requests in progress have
// ended.
func (f *Frontend) serve(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: 2})
	}
	received := newCallerReader(conn)
	limit := &limitedReader{reader: received}
	caller := &callerConn{
		frontend: f, conn: conn, address: accept.ClientAddress(conn),
		received: received, limit: limit, reader: bufio.NewReaderSize(limit, 4<<10),
	}
	received.setDeadline = caller.setReadDeadline
	limit.remaining = unlimited
	caller.serve(context.Background())
}

// StartDraining makes connections close after their last pending response, because the daemon is draining.
func (f *Frontend) StartDraining() { f.closing.Store(true) }

// RefuseRequests makes the frontend refuse every further request as not run.
func (f *Frontend) RefuseRequests() { f.refusing.Store(true) }

// idleTimeout returns how long a connection may be idle, and whether that is so short because Finish has been called.
func (f *Frontend) idleTimeout() (limit time.Duration, finishing bool) {
	if f.finishing.Load() {
		return finishIdleTime, true
	}
	return f.limits().IdleTimeout, false
}

func (f *Frontend) draining() bool { return f.closing.Load() }

// Active returns the number of requests in progress.
func (f *Frontend) Active() int { return int(f.active.Load()) }

// Connections returns the number of open connections.
func (f *Frontend) Connections() int { return int(f.open.Load()) }

// limits returns the limits of the configuration in effect. The settings supply those that it does not set,
// and bound the body size.
func (f *Frontend) limits() rules.Limits {
	limits := f.Limits
	set := f.Forwarder.Control.Snapshot().Rules
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
