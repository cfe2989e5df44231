package relay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// holdAndServeOthers leaves one request of a route without a response while later requests of the route are
// served. It returns the channel that receives the status of the held request.
func (f *testFleet) holdAndServeOthers(d *testDaemon, prefix string) <-chan int {
	f.t.Helper()
	status := make(chan int, 1)
	go func() { status <- f.request(d, "held", prefix+"hold", "", "").StatusCode }()
	f.waitUntil("the held request has reached the server", func() bool { return d.server.runs("held") == 1 })
	for i := range 30 {
		assert.Equal(f.t, f.request(d, fmt.Sprint("other", i), prefix+"echo", "", "").StatusCode, 200)
		time.Sleep(5 * time.Millisecond) // 30 of them take longer than a pause of the machine
	}
	return status
}

func (f *testFleet) waitUntil(what string, condition func() bool) {
	f.t.Helper()
	for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(f.t, time.Since(start) < time.Second, "not reached: %s", what)
	}
}

// Guards against losing a response that is only late, and against a second run. The request keeps waiting
// while its slot is given to other requests.
func TestWaitsForLateResponse(t *testing.T) {
	for _, prefix := range []string{"/once/", "/open/"} {
		testLateResponse(t, prefix)
	}
}

func testLateResponse(t *testing.T, prefix string) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	status := f.holdAndServeOthers(d, prefix)
	b := d.relay.LocalBackend
	b.mu.Lock()
	load := b.current.controller.Load(time.Now(), (&job{route: prefix, request: &Request{}}).ticket())
	b.mu.Unlock()
	assert.Equal(t, load.Running, 0)
	assert.Equal(t, b.Running(), 1) // the daemon does not stop before it has the response
	close(d.server.hold)
	assert.Equal(t, <-status, 200)
	assert.Equal(t, d.server.runs("held"), 1)
}
