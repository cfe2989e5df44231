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

	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/head"
	"github.com/buckthornpitch/buckthornpitch/internal/head/cases"
)

const (
	// uploadSize is more than the buffers of a connection hold, so that the upload is still being written.
	uploadSize = 6 << 20

	earlyPlays = 8
)

// malformedReplies are replies that a daemon of an earlier version may send.
var malformedReplies = []Reply{
	{Kind: outcomeCompleted, Status: 700},
	{Kind: outcomeCompleted, Status: 200, Header: []field.Field{{Name: "Odd name", Value: "x"}}},
	{Kind: outcomeCompleted, Status: 200, Header: []field.Field{{Name: "Odd", Value: "a\x01b"}}},
}

// newUploadFleet starts one daemon whose callers may send uploads, and whose server answers them with early, before it
// has read the body.
func newUploadFleet(t *testing.T, early func(conn net.Conn, r *http.Request)) *testFleet {
	f := newTestFleet(t, 1, func(o *Options) { o.Limits.BodySize = 2 * uploadSize })
	f.control.mu.Lock()
	f.control.set.Limits.BodySize = 2 * uploadSize
	f.control.mu.Unlock()
	server := f.daemons[0].server
	server.mu.Lock()
	server.early = early
	server.mu.Unlock()
	return f
}

// upload sends a request with a long body and returns the response with its body.
func (f *testFleet) upload(id string) (*http.Response, string) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.daemons[0].frontAddress)
	assert.NilError(f.t, err)
	defer func() { _ = conn.Close() }()
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nId: %s\r\nContent-Length: %d\r\n\r\n", id, uploadSize)
		_, _ = io.WriteString(conn, strings.Repeat("x", uploadSize))
	}()
	response := readResponse(f.t, bufio.NewReader(conn))
	return response, bodyOf(f.t, response)
}

// Guards against a part of a response that is passed on as a whole one: the server answers a long upload without a
// length, sends a part of the body and resets the connection while the upload is still being written.
func TestEarlyResponseThatIsReset(t *testing.T) {
	for name, start := range map[string]string{
		"HTTP/1.1": "HTTP/1.1 200 OK\r\n",
		"HTTP/1.0": "HTTP/1.0 200 OK\r\n",
		"closing":  "HTTP/1.1 200 OK\r\nConnection: close\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newUploadFleet(t, func(conn net.Conn, r *http.Request) {
				_, _ = io.WriteString(conn, start+"Id: "+r.Header.Get("Id")+"\r\nSeal: s\r\n\r\na part of the body")
				time.Sleep(5 * time.Millisecond) // the part arrives before the reset
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			for i := range earlyPlays {
				response, body := f.upload(fmt.Sprint("u", i))
				assert.Equal(t, response.StatusCode, http.StatusBadGateway, "got %q", body)
				assert.Equal(t, response.Header.Get("Outcome"), "unknown")
			}
		})
	}
}

// Guards against losing a complete response that arrives before the server has read the whole upload.
func TestEarlyResponseThatIsComplete(t *testing.T) {
	for name, answer := range map[string]func(conn net.Conn, start string, rest io.Reader){
		"length": func(conn net.Conn, start string, _ io.Reader) {
			_, _ = io.WriteString(conn, start+"Content-Length: 5\r\n\r\nearly")
		},
		"chunks": func(conn net.Conn, start string, _ io.Reader) {
			_, _ = io.WriteString(conn, start+"Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n")
		},
		"end of the stream": func(conn net.Conn, start string, rest io.Reader) {
			_, _ = io.WriteString(conn, start+"\r\nearly")
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newUploadFleet(t, func(conn net.Conn, r *http.Request) {
				answer(conn, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nSeal: s\r\n", r.Body)
				time.Sleep(50 * time.Millisecond) // the response is read before the connection is reset
			})
			for i := range earlyPlays {
				response, body := f.upload(fmt.Sprint("u", i))
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, body, "early")
			}
		})
	}
}

// Guards against a malformed response that is passed on, with the odd line or with a body that is not the server's, and
// against one that spoils the next response.
func TestMalformedResponses(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	for i := range cases.Responses {
		response := f.request(d, fmt.Sprint("r", i), fmt.Sprintf("/once/odd/%d", i), "", "")
		assert.Check(t, response.StatusCode == http.StatusBadGateway, "%s: status %d, %v", cases.Responses[i].Name, response.StatusCode, response.Header)
		assert.Check(t, response.Header.Get("Outcome") == "unknown", cases.Responses[i].Name)
		next := f.request(d, fmt.Sprint("n", i), "/once/echo", "", "")
		assert.Check(t, next.StatusCode == http.StatusOK, "after %s: status %d", cases.Responses[i].Name, next.StatusCode)
	}
}

// Guards against a malformed response that a daemon of an earlier version has passed on to this one.
func TestMalformedReply(t *testing.T) {
	for _, reply := range malformedReplies {
		_, failed := reply.decodeOutcome().(unknown)
		assert.Assert(t, failed, "%+v", reply)
	}
}

// Guards against a server that counts as ready because of a malformed health response, which may be another program's.
func TestMalformedHealthResponse(t *testing.T) {
	f := newUploadFleet(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nInstance: i\r\nOdd name: x\r\nContent-Length: 0\r\n\r\n")
	})
	d := f.daemons[0]
	fresh := &LocalBackend{Clock: d.relay.Clock, Control: f.control, Dialect: testDialect{}, Log: d.relay.Log}
	unregistered := d.notice(StateReady)
	unregistered.Instance = ""
	assert.ErrorIs(t, fresh.CheckHealth(t.Context(), unregistered, "/x/health"), head.ErrMalformed)
	current, _, _ := fresh.Status()
	assert.Equal(t, current, Notice{})
}

// Guards against a malformed request that is passed on with another body than its sender meant.
func TestMalformedRequests(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	for i, line := range []string{"Odd name: x\r\n", "Odd : x\r\n", "Content-Length : 4\r\n", "Transfer-Encoding : chunked\r\n", "Od\x01d: x\r\n"} {
		id := fmt.Sprint("r", i)
		response := f.request(d, id, "/once/echo", line, "body")
		assert.Check(t, response.StatusCode == http.StatusBadRequest, "%q: status %d", line, response.StatusCode)
		assert.Check(t, d.server.runs(id) == 0, "%q", line)
	}
}
