package call

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
)

// Guards against a backend server that continues to work after its caller has disconnected, also when the caller has
// said that it sends nothing more, and when it has sent another request that the daemon has not read yet.
func TestCallerDisconnects(t *testing.T) {
	const first = "GET /get/1 HTTP/1.1\r\nHost: a\r\nBuckthorn-Key: " + goodKey + "\r\n"
	for name, sent := range map[string]struct{ first, rest string }{
		"kept":       {first: first + "\r\n"},
		"closes":     {first: first + "Connection: close\r\n\r\n"},
		"sends more": {first + "\r\n", first + "\r\n"},
		"sends much": {first + "\r\n", fmt.Sprintf("POST /put HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n%8000d", 1)},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				f := newFleet(t, 2, clock.Real{}, readerRules)
				entered, left, release := make(chan struct{}, 2), make(chan struct{}, 2), make(chan struct{})
				defer close(release)
				f.serve(1, "reader", 10, func(_ http.ResponseWriter, r *http.Request) {
					entered <- struct{}{}
					select {
					case <-r.Context().Done():
						left <- struct{}{}
					case <-release:
					}
				})
				conn, err := net.Dial("tcp", f.nodes[0].Ingress.Addr().String())
				assert.NilError(t, err)
				_, err = io.WriteString(conn, sent.first)
				assert.NilError(t, err)
				<-entered
				_, err = io.WriteString(conn, sent.rest)
				assert.NilError(t, err)
				time.Sleep(50 * time.Millisecond) // the daemon may read the rest
				if reset {
					assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
				}
				assert.NilError(t, conn.Close())
				select {
				case <-left:
				case <-time.After(500 * time.Millisecond):
					t.Error("the backend server still works after half a second")
				}
			})
		}
	}
}
