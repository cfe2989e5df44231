package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/gate"
)

// Guards against a new connection to the server for each request that comes later than the deadline of the request
// before it: the deadline stayed set on the idle connection, which then looked closed.
func TestIdleConnectionOutlivesDeadlineOfItsLastRequest(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	const left = 100 * time.Millisecond
	assert.Equal(t, f.request(d, "first", "/open/echo", "Left: "+left.String()+"\r\n", "").StatusCode, 200)
	time.Sleep(left + 2*responseGrace)
	assert.Equal(t, f.request(d, "second", "/open/echo", "", "").StatusCode, 200)
	d.server.mu.Lock()
	defer d.server.mu.Unlock()
	assert.Equal(t, len(d.server.conns), 1)
}

// Guards against a request that is sent to the server although its caller has left before: the deadline of the request
// replaced the one that the caller's end had set.
func TestCallerThatHasLeftSendsNothing(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	assert.Equal(t, f.request(d, "first", "/open/echo", "", "").StatusCode, 200)
	left, cancel := context.WithCancel(t.Context())
	cancel()
	backend := d.relay.LocalBackend
	ex := &exchange{
		request: &Request{ID: "gone", Method: http.MethodGet, Target: "/open/echo", Host: "shop.example"}, requestMeta: RequestMetadata{ID: "gone"},
		deadline: time.Now().Add(time.Second), start: startCheck{backend: backend, process: backend.current, ticket: &gate.Ticket{}},
	}
	_, _, err := backend.current.pool.do(left, ex)
	assert.ErrorIs(t, err, errNotSent)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, f.request(d, "second", "/open/echo", "", "").StatusCode, 200)
	assert.Equal(t, d.server.runs("gone"), 0)
	d.server.mu.Lock()
	defer d.server.mu.Unlock()
	assert.Equal(t, len(d.server.conns), 1)
}
