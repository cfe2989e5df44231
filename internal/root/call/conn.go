package call

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/buckthornpitch/buckthornpitch/internal/accept"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

// serverRefusal is what net/http writes after the status line of a request that it refuses itself. No
// other response starts like this, because in them Date precedes Content-Type.
const serverRefusal = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// maxReadAhead bounds the bytes that are read from a caller while its request is handled, and readAheadChunk those of
// one read.
const (
	maxReadAhead   = 16 << 10
	readAheadChunk = 4 << 10
)

// boundedListener limits the number of open connections. It closes new ones above the limit at once; otherwise an
// unbounded number of them would queue.
type boundedListener struct {
	net.Listener
	slots   chan struct{}
	mayOpen func() bool    // a further bound; may be nil
	refused func(net.Conn) // called for a connection above the limit; may be nil
}

func newBoundedListener(listener net.Listener, limit int) *boundedListener {
	return &boundedListener{Listener: accept.LateReads(accept.New(listener)), slots: make(chan struct{}, limit)}
}

// openConns returns the number of open connections.
func (l *boundedListener) openConns() int { return len(l.slots) }

// Accept returns the next connection within the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.mayOpen == nil || l.mayOpen() {
			select {
			case l.slots <- struct{}{}:
				return &boundedConn{Conn: conn, release: func() { <-l.slots }}, nil
			default:
			}
		}
		if l.refused != nil {
			l.refused(conn)
		}
		_ = conn.Close()
	}
}

// boundedConn releases its slot of the listener's limit when it is closed.
type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
	ahead   []byte // bytes that watch has read; the HTTP server calls Read from one goroutine at a time
}

// Read reads what watch has read ahead, and then from the connection. The HTTP server reads a single byte only in the
// background, while it handles a request.
func (c *boundedConn) Read(p []byte) (int, error) {
	if len(p) == 1 {
		return c.watch(p)
	}
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// watch waits for the caller to disconnect. The HTTP server does so by reading the next byte, and notices nothing any
// more once the caller has sent another request. Therefore watch reads ahead until the connection ends, until the
// server ends the read by a deadline, or until maxReadAhead.
func (c *boundedConn) watch(p []byte) (int, error) {
	if len(c.ahead) > 0 {
		p[0], c.ahead = c.ahead[0], c.ahead[1:]
	} else if n, err := c.Conn.Read(p); n == 0 || err != nil {
		return n, err
	}
	for len(c.ahead) < maxReadAhead {
		chunk := make([]byte, readAheadChunk)
		n, err := c.Conn.Read(chunk)
		c.ahead = append(c.ahead, chunk[:n]...)
		if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
			break
		}
		if err != nil {
			return 0, err
		}
	}
	return 1, nil
}

// Write adds the header fields of all refusals to a refusal that the HTTP server makes itself, before any
// handler runs. It writes other responses unchanged.
func (c *boundedConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		return c.Conn.Write(p) // part of a body
	}
	line, body, found := bytes.Cut(p, []byte(serverRefusal))
	if !found || bytes.IndexByte(line, '\n') >= 0 {
		return c.Conn.Write(p)
	}
	failure := retry.Failure(retry.BadRequest{})
	if bytes.HasPrefix(line, fmt.Appendf(nil, "HTTP/1.1 %d ", http.StatusRequestHeaderFieldsTooLarge)) {
		failure = retry.HeaderTooLarge{}
	}
	row := retry.Describe(failure)
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s%s%s", row.Status, http.StatusText(row.Status),
		HeaderOutcome, row.Outcome, HeaderReason, row.Reason, serverRefusal, body)
	if _, err := c.Conn.Write([]byte(text)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close closes the connection and releases its slot.
func (c *boundedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

// CloseWrite ends the response while the caller may still be sending. Without this method, the HTTP server
// resets the connection and the caller does not receive an early refusal.
func (c *boundedConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}
