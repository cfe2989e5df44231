package call

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

type (
	// sending observes which connections the HTTP transport uses for one request. Its fields are used by
	// the goroutine in RoundTrip only.
	connTracker struct {
		conn          *countedConn
		writtenBefore int64 // bytes written to conn before this request
		resent        bool
		cancel        context.CancelFunc
	}

	// countedConn counts the bytes written to a backend server.
	countedConn struct {
		net.Conn
		written atomic.Int64
	}
)

// Write writes p and counts what was written, of a failed write as well.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// gotConn is called for each connection that the transport is about to use for the request. On a broken
// idle connection the transport sends some requests again by itself, outside the retry budget and even when
// they must run only once; it is kept from that unless nothing was written to the first connection.
func (s *connTracker) gotConn(info httptrace.GotConnInfo) {
	if s.conn != nil && s.wrote() {
		s.resent = true
		s.cancel()
		_ = info.Conn.Close()
		return
	}
	s.conn, _ = info.Conn.(*countedConn)
	if s.conn != nil {
		s.writtenBefore = s.conn.written.Load()
	}
}

func (s *connTracker) wrote() bool { return s.conn.written.Load() != s.writtenBefore }

// reached reports whether a byte of the request may have reached the backend server. When the call's
// context has ended, the transport may still be about to write.
func (s *connTracker) mayHaveReached(ctx context.Context) bool {
	return s.conn != nil && (s.resent || ctx.Err() != nil || s.wrote())
}
