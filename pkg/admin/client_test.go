package admin

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
