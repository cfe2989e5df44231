package call

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/head/cases"
)

// Guards against a malformed response that is passed on, with the odd line or with a body that is not the server's.
func TestMalformedResponses(t *testing.T) {
	f := newFleet(t, 2, clock.Real{}, readerRules)
	rawBackend(t, f, 1, func(conn net.Conn, request *http.Request) {
		var number int
		_, _ = fmt.Sscanf(request.URL.RawQuery, "odd=%d", &number)
		_, _ = io.WriteString(conn, cases.Responses[number].Text(""))
		request.Close = true
	})
	for i := range cases.Responses {
		name := cases.Responses[i].Name
		got := f.request(0, "POST", fmt.Sprintf("/once?odd=%d", i), "", "Buckthorn-Key: "+goodKey)
		if cases.Responses[i].Trailer != "" {
			// The head and the body have been passed on when the trailer arrives.
			assert.Check(t, got.err != nil || got.StatusCode == http.StatusBadGateway, name)
			continue
		}
		assert.NilError(t, got.err, name)
		assert.Check(t, got.StatusCode == http.StatusBadGateway, "%s: status %d, %v", name, got.StatusCode, got.Header)
		assert.Check(t, got.Header.Get(HeaderOutcome) == "unknown", name)
	}
}

// Guards against a part of a response that looks complete: the server answers a long upload without a length, sends a
// part of the body and resets the connection while the upload is still being written.
func TestEarlyResponseThatIsReset(t *testing.T) {
	for name, start := range map[string]string{
		"HTTP/1.1": "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n",
		"closing":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			const plays, size = 4, 6 << 20
			f := newFleet(t, 2, clock.Real{}, readerRules)
			f.nodes[0].handler.MaxBody = 2 * size
			listener := listen(t)
			t.Cleanup(func() { _ = listener.Close() })
			f.register(1, "reader", 100, listener.Addr().String())
			go acceptEach(listener, func(conn net.Conn) {
				_, _ = conn.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(conn, start+"a part of the body")
				time.Sleep(5 * time.Millisecond) // the part arrives before the reset
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			})
			for range plays {
				got := f.request(0, "POST", "/once", strings.Repeat("x", size), "Buckthorn-Key: "+goodKey)
				assert.Assert(t, got.err != nil || got.StatusCode == http.StatusBadGateway && got.Header.Get(HeaderOutcome) == "unknown", "status %d", got.StatusCode)
			}
		})
	}
}

// Guards against a malformed request that is passed on with another body than its sender meant.
func TestMalformedRequests(t *testing.T) {
	f := newFleet(t, 2, clock.Real{}, readerRules)
	f.serve(1, "reader", 10, func(http.ResponseWriter, *http.Request) { t.Error("a malformed request has run") })
	for _, line := range []string{"Odd name: x", "Odd : x", "Content-Length : 4", "Transfer-Encoding : chunked", "Od\x01d: x"} {
		conn, err := net.Dial("tcp", f.nodes[0].Ingress.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST /once HTTP/1.1\r\nHost: a\r\nBuckthorn-Key: "+goodKey+"\r\n"+line+"\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody")
		assert.NilError(t, err)
		answer, _ := io.ReadAll(conn)
		assert.Check(t, strings.HasPrefix(string(answer), "HTTP/1.1 400 "), "%q: %q", line, answer)
		_ = conn.Close()
	}
}

// Guards against a server that works and counts as crashed, or as restarted, because the trailer of a response is
// malformed.
func TestMalformedTrailerIsNoCrash(t *testing.T) {
	f := newFleet(t, 2, clock.Real{}, readerRules)
	rawBackend(t, f, 1, func(conn net.Conn, request *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nOdd name: x\r\n\r\n")
		request.Close = true
	})
	f.request(0, "POST", "/once", "", "Buckthorn-Key: "+goodKey)
	suspects := f.nodes[1].server.suspects
	backends := f.nodes[1].server.backends
	backends.mu.RLock()
	defer backends.mu.RUnlock()
	for _, server := range backends.byID {
		assert.Equal(t, len(suspects.Died(time.Now(), server.endpoint.Incarnation)), 0)
	}
}
