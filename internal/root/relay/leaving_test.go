package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against servers that keep running requests of callers that have disconnected while the daemon expects no
// further request from them: after "Connection: close" nothing was read from the connection, so that the end went
// unnoticed.
func TestCallerThatLeavesAfterItsLastRequest(t *testing.T) {
	const head = "GET /open/hold HTTP/1.1\r\nHost: shop.example\r\nId: held\r\n"
	const second = "GET /open/x HTTP/1.1\r\nHost: shop.example\r\nId: second\r\n"
	for name, sent := range map[string]struct{ first, rest string }{
		"closes":                {first: head + "Connection: close\r\n\r\n"},
		"closes, with a body":   {first: strings.Replace(head, "GET", "POST", 1) + "Connection: close\r\nContent-Length: 4\r\n\r\nbody"},
		"HTTP/1.0":              {first: strings.Replace(head, "1.1", "1.0", 1) + "\r\n"},
		"sends more":            {head + "Connection: close\r\n\r\n", second + "\r\n"},
		"sends no request":      {head + "\r\n", "this is no request\r\n\r\n"},
		"sends a long header":   {head + "\r\n", second + "Long: " + strings.Repeat("x", 8<<10) + "\r\n\r\n"},
		"closes after a second": {head + "\r\n", second + "Connection: close\r\n\r\n"},
		"causes a panic":        {head + "\r\n", second + "Panic: decode\r\n\r\n"},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				f := newTestFleet(t, 1)
				conn, err := net.Dial("tcp", f.daemons[0].frontAddress)
				assert.NilError(t, err)
				_, err = io.WriteString(conn, sent.first)
				assert.NilError(t, err)
				f.awaitRun("held")
				_, err = io.WriteString(conn, sent.rest)
				assert.NilError(t, err)
				time.Sleep(50 * time.Millisecond) // the daemon has read the rest
				if reset {
					assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
				}
				assert.NilError(t, conn.Close())
				f.awaitGone("held")
			})
		}
	}
}

// Guards against a caller that sends without end after its last request: it costs no more than a bounded number of
// bytes, and still gets its response.
func TestCallerThatSendsWithoutEnd(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	conn, err := net.Dial("tcp", d.frontAddress)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /open/hold HTTP/1.1\r\nHost: shop.example\r\nId: held\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	f.awaitRun("held")
	sent := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(conn, endless{}) // ends with the connection
		sent <- n
	}()
	time.Sleep(200 * time.Millisecond)
	close(d.server.hold)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	_ = conn.Close()
	const buffers = 16 << 20 // of both ends of the connection
	assert.Assert(t, <-sent < maxDiscarded+buffers)
}

// endless is a reader without an end.
type endless struct{}

// Read fills p.
func (endless) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
