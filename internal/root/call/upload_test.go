package call

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// answerAtLastByte serves one call stream. It responds when the body has size bytes and does not read the frame that
// marks its end, so that the sender is still writing that frame when it has the whole response.
func answerAtLastByte(stream io.ReadWriter, size int) {
	received := 0
	for received < size {
		frame, err := wire.ReadFrame(stream, maxFrame)
		switch {
		case err != nil:
			return
		case frame.Kind == kindRequestHead:
			_ = wire.WriteFrame(stream, kindAdmitted, nil)
		case frame.Kind == kindData:
			received += len(frame.Body)
		}
	}
	var out bytes.Buffer
	_ = wire.WriteMessage(&out, kindResponseHead, &ResponseHead{Status: http.StatusOK, ContentLength: 0})
	_ = wire.WriteMessage(&out, kindResponseEnd, &ResponseEnd{})
	_, _ = stream.Write(out.Bytes())
}

// Guards against a connection whose later requests count as those of a caller that has disconnected: the response to an
// upload was complete before the daemon had sent on the end of the body, which it had read.
func TestRequestAfterUpload(t *testing.T) {
	const size = 2 * prefixSize
	f := newFleet(t, 1, clock.Real{}, readerRules)
	f.register(0, "reader", 10, "127.0.0.1:1")
	f.nodes[0].forwarder.Sender.ServeLocal = func(_ context.Context, stream *link.Stream) {
		answerAtLastByte(stream, size)
	}
	conn, err := net.Dial("tcp", f.nodes[0].Ingress.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := range 30 {
		_, err := fmt.Fprintf(conn, "PUT /put HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, "request %d", i)
		assert.Equal(t, response.StatusCode, http.StatusOK, "request %d: %v", i, response.Header)
		assert.Assert(t, !response.Close)
	}
}

// Guards against the rest of a body that is taken for the next request, and against a connection whose later requests
// count as those of a caller that has disconnected: the backend server responded before it had the whole body.
func TestResponseBeforeTheEndOfTheBody(t *testing.T) {
	const hiddenRequest = "GET /get/hidden HTTP/1.1\r\nHost: a\r\n\r\n"
	const sentFirst = prefixSize + 1
	for _, size := range []int{2 * prefixSize, 8 * prefixSize} {
		f := newFleet(t, 1, clock.Real{}, readerRules)
		var hidden atomic.Bool
		listener := listen(t)
		t.Cleanup(func() { _ = listener.Close() })
		f.register(0, "reader", 10, listener.Addr().String())
		go acceptEach(listener, func(conn net.Conn) {
			defer func() { _ = conn.Close() }()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil && strings.Contains(request.URL.Path, "hidden") {
				hidden.Store(true)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			_, _ = io.Copy(io.Discard, conn)
		})
		conn, err := net.Dial("tcp", f.nodes[0].Ingress.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "PUT /put HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", sentFirst))
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
		assert.Check(t, response.Close, "the connection stays open")

		_, _ = io.WriteString(conn, hiddenRequest+strings.Repeat("b", size-sentFirst-len(hiddenRequest)))
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		more, err := io.ReadAll(reader)
		assert.Check(t, err == nil && len(more) == 0, "%v: %q", err, more)
		assert.Check(t, !hidden.Load(), "the rest of a body was run as a request")
	}
}
