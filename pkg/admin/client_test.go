package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/head"
)

// Guards against a client that reads responses of unlimited size, accepts invalid reports, or returns the same
// error for a daemon that is slow, unreachable or refuses the request.
func TestClientErrors(t *testing.T) {
	body := ""
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	client := &Client{Address: server.Listener.Addr().String()}
	ctx := context.Background()

	for response, want := range map[string]string{
		"":                               "unexpected end of JSON input",
		"{}":                             "revision is missing",
		`{"revision":1,"behind":1}`:      "behind is 1 of 0 daemons",
		`{"revision":1,"in-force":true}`: "in-force is set without accepted",
		strings.Repeat(" ", maxBody+1):   "more than 16777216 bytes",
		`{"revision":"` + strings.Repeat("1", 9) + `"}`: "cannot unmarshal string",
	} {
		body = response
		_, err := client.InForce(ctx, 1, 0)
		assert.ErrorIs(t, err, ErrInvalidResponse)
		assert.ErrorContains(t, err, want)
	}

	status, body = http.StatusNotFound, `{"code":404,"reason":"not-found","message":"no revision 1"}`
	_, err := client.InForce(ctx, 1, 0)
	var refusal *Error
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Reason, ReasonNotFound)

	expired, cancel := context.WithDeadline(ctx, time.Unix(0, 0))
	defer cancel()
	_, err = client.Status(expired)
	assert.ErrorIs(t, err, ErrTimeout)
	server.Close()
	_, err = client.Status(ctx)
	assert.ErrorIs(t, err, ErrUnreachable)
}

// Guards against a client that takes a malformed response of another program for an answer of a daemon.
func TestClientRefusesMalformedResponses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4<<10))
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nOdd name: x\r\nContent-Length: 2\r\n\r\n{}"))
			_ = conn.Close()
		}
	}()
	client := &Client{Address: listener.Addr().String()}
	_, err = client.Status(t.Context())
	assert.ErrorIs(t, err, ErrInvalidResponse)
	assert.ErrorIs(t, err, head.ErrMalformed)
}
