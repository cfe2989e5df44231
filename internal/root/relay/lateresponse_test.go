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

// Guards against a new connection to the server for each caller that leaves during a short run, and against a
// server that goes on working for a caller that has gone: a short run ends by itself, a long one is ended.
func TestShortRunEndsAfterItsCallerHasLeft(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	for i := range 5 {
		assert.Equal(t, f.request(d, fmt.Sprint("w", i), "/open/slow?ms=100", "", "").StatusCode, 200)
	}
	b := d.relay.LocalBackend
	idle := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.current.pool.mu.Lock()
		defer b.current.pool.mu.Unlock()
		return len(b.current.pool.idle)
	}
	assert.Equal(t, idle(), 1)
	leave := func(id, path string) {
		conn := f.dial(d)
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\nId: %s\r\n\r\n", path, id)
		assert.NilError(t, err)
		f.waitUntil("the request runs", func() bool { return d.server.runs(id) == 1 })
		assert.NilError(t, conn.Close())
	}
	leave("short", "/open/slow?ms=100")
	f.waitUntil("the run has ended", func() bool { return b.Running() == 0 && idle() == 1 })

	started := time.Now()
	leave("long", "/open/hold")
	assert.Equal(t, <-d.server.gone, "long")
	assert.Assert(t, time.Since(started) < maxLinger+200*time.Millisecond, "the server worked on for %s", time.Since(started))
}
