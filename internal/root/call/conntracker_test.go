package call

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// slowConn is a connection whose Write returns only after release is closed, as when its goroutine does not run.
type slowConn struct {
	net.Conn
	release chan struct{}
}

// Write writes p and waits for the release.
func (c slowConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	<-c.release
	return n, err
}

// brokenConn is a connection on which every write fails.
type brokenConn struct{ net.Conn }

// Write fails.
func (brokenConn) Write([]byte) (int, error) { return 0, errors.New("broken") }

// Guards against a refusal that says "not run" for a request that the backend server has: the server may respond before
// the write that has sent the request returns.
func TestRequestIsSentBeforeItsWriteReturns(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	slow := slowConn{Conn: near, release: make(chan struct{})}
	tracker := &connTracker{conn: &countedConn{Conn: slow}}
	assert.Assert(t, !tracker.mayHaveReached(context.Background()))
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, err := tracker.conn.Write([]byte("request"))
		assert.Check(t, err)
	}()
	_, err := io.ReadFull(far, make([]byte, len("request")))
	assert.NilError(t, err)
	assert.Assert(t, tracker.mayHaveReached(context.Background()), "the request has reached the server")
	close(slow.release)
	<-written
	assert.Assert(t, tracker.mayHaveReached(context.Background()))
	failed := &connTracker{conn: &countedConn{Conn: brokenConn{}}}
	_, err = failed.conn.Write([]byte("request"))
	assert.ErrorContains(t, err, "broken")
	assert.Assert(t, !failed.mayHaveReached(context.Background()), "no byte was written")
}
