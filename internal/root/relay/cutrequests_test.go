package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

func get(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: shop.example\r\nId: %s\r\n\r\n", path, id)
}

// Guards against a response that is cut when the daemon drains, because a later request on its connection is being read
// at that moment: the connection was closed at once, and unread bytes of the later request reset it.
func TestLastResponseIsNotCutByLaterRequest(t *testing.T) {
	const size = 4 << 20
	for name, later := range map[string]string{
		"header": "GET /open/echo HTTP/1.1\r\nHost: shop",
		"body":   "POST /open/echo HTTP/1.1\r\nHost: shop.example\r\nId: late\r\nContent-Length: 20000\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1, func(o *Options) { o.Limits.BodySize = 2 * size })
			d := f.daemons[0]
			d.relay.Frontend.StartDraining()
			conn := f.dial(d)
			assert.NilError(t, conn.Conn.(*net.TCPConn).SetReadBuffer(16<<10))
			write(t, conn, get(fmt.Sprintf("/open/large?bytes=%d", size), "early")+later)
			response, err := http.ReadResponse(conn.reader, nil)
			assert.NilError(t, err)
			assert.Assert(t, response.Close)
			read := int64(0)
			for err == nil && read < size {
				_, _ = io.WriteString(conn, strings.Repeat("x", 1000)) // the caller goes on with the later request
				var n int64
				n, err = io.CopyN(io.Discard, response.Body, 64<<10)
				read += n
			}
			assert.Equal(t, read, int64(size), "%v", err)
		})
	}
}
