package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// largeResponse is more than the buffers of a connection hold.
	largeResponse = 12 << 20

	shortStall = 250 * time.Millisecond
)

// requestLarge requests a large response and another one behind it, on a connection with small buffers.
func requestLarge(t *testing.T) (*testFleet, net.Conn) {
	f := newTestFleet(t, 1, func(o *Options) {
		o.Limits.BodySize = 2 * largeResponse
		o.WriteStall = shortStall
	})
	conn, err := net.Dial("tcp", f.daemons[0].frontAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	for i, path := range []string{fmt.Sprintf("/open/large?bytes=%d", largeResponse), "/open/echo"} {
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\nId: r%d\r\n\r\n", path, i)
		assert.NilError(t, err)
	}
	return f, conn
}

// Guards against a download that is cut off although its caller reads steadily, and against the loss of the requests
// behind it: one time limit applied to the whole response.
func TestSteadySlowReaderGetsAll(t *testing.T) {
	_, conn := requestLarge(t)
	reader := bufio.NewReaderSize(conn, 64<<10)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	started, read := time.Now(), int64(0)
	for read < largeResponse {
		n, err := io.CopyN(io.Discard, response.Body, 512<<10)
		read += n
		if err != nil {
			break
		}
		time.Sleep(shortStall / 5)
	}
	assert.Equal(t, read, int64(largeResponse))
	assert.Assert(t, time.Since(started) > 3*shortStall)
	next, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, next.StatusCode, http.StatusOK)
}

// Guards against a caller that reads nothing and holds a response for good.
func TestCallerThatReadsNothingIsClosed(t *testing.T) {
	f, _ := requestLarge(t)
	frontend := f.daemons[0].relay.Frontend
	f.waitUntil("the request is served", func() bool { return frontend.active.Load() > 0 })
	for range 100 {
		if frontend.active.Load() == 0 {
			return
		}
		time.Sleep(shortStall / 5)
	}
	t.Fatal("the daemon still holds the response")
}
