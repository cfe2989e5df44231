package call

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/epoch"
)

// idleTimerSkew bounds how much later than the transport's idle timer the idle time of a connection starts.
const idleTimerSkew = 100 * time.Millisecond

type (
	// connTracker records which connections the HTTP transport uses for one request. Only the goroutine that
	// calls RoundTrip uses its fields.
	connTracker struct {
		conn          *countedConn
		use           int   // number of the use of conn
		writtenBefore int64 // bytes written to conn before this request
		resent        bool
		confirm       func() retry.Failure // returns why the request may not be sent any more, nil if it may
		refused       retry.Failure        // the failure that confirm has returned; no byte of the request was written
		cancel        context.CancelFunc
	}

	// countedConn counts the bytes written to a backend server, including those of a write that has not returned yet.
	countedConn struct {
		net.Conn
		written atomic.Int64
		watch   *epoch.Watch
		lastUse atomic.Bool // the server closes the connection after the response
	}
)

// Write writes p and counts the bytes written, also those of a failed write. It counts them first, because the server
// may respond before the write returns.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n - len(p)))
	return n, err
}

// Close closes the connection.
func (c *countedConn) Close() error {
	switch {
	case c.watch == nil:
	case c.lastUse.Load():
		c.watch.Forget(c.Conn)
	default:
		c.watch.Closing(time.Now(), c.Conn)
	}
	return c.Conn.Close()
}

// limitIdle records how long the connection is kept while it is idle.
func (c *countedConn) limitIdle(timeout time.Duration) {
	c.watch.LimitIdle(c.Conn, max(timeout-idleTimerSkew, 0))
}

// putIdleConn is called when the transport keeps the connection of the request for later ones.
func (t *connTracker) putIdleConn(err error) {
	if err == nil && t.conn != nil && t.conn.watch != nil {
		t.conn.watch.Idle(time.Now(), t.conn.Conn, t.use)
	}
}

// gotConn is called for each connection that the transport is about to use for the request. When an idle
// connection turns out to be broken, the transport itself retries some requests, outside the retry budget and
// even when they must run only once. gotConn prevents that if any byte was written to the first connection.
func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	if t.conn != nil && t.wrote() {
		t.resent = true
		t.cancel()
		_ = info.Conn.Close()
		return
	}
	if t.confirm != nil {
		t.refused = t.confirm()
	}
	if t.refused != nil {
		t.cancel()
		_ = info.Conn.Close()
		return
	}
	t.conn, _ = info.Conn.(*countedConn)
	if t.conn != nil {
		t.writtenBefore = t.conn.written.Load()
		if t.conn.watch != nil {
			t.use = t.conn.watch.Used(t.conn.Conn)
		}
	}
}

func (t *connTracker) wrote() bool { return t.conn.written.Load() != t.writtenBefore }

// discard closes the connection of the request, so that no other request uses it.
func (t *connTracker) discard() {
	if t.conn != nil {
		_ = t.conn.Close()
	}
}

// markLastUse records that the server closes the connection after the response.
func (t *connTracker) markLastUse() {
	if t.conn != nil {
		t.conn.lastUse.Store(true)
	}
}

// mayHaveReached reports whether a byte of the request may have reached the backend server. When the call's
// context has ended, the transport may still be about to write.
func (t *connTracker) mayHaveReached(ctx context.Context) bool {
	return t.conn != nil && (t.resent || ctx.Err() != nil || t.wrote())
}
