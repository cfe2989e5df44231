package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
