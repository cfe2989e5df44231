package relay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overtake holds the answer of a request of a route and then has others of the route answered; it returns
// the status that the held one gets.
func (w *world) overtake(d *testDaemon, prefix string) <-chan int {
	w.t.Helper()
	status := make(chan int, 1)
	go func() { status <- w.ask(d, "held", prefix+"hold", "", "").StatusCode }()
	w.until("the held request has reached the server", func() bool { return d.server.runs("held") == 1 })
	for i := range 30 {
		assert.Equal(w.t, w.ask(d, fmt.Sprint("other", i), prefix+"echo", "", "").StatusCode, 200)
		time.Sleep(5 * time.Millisecond) // together longer than a pause of a machine
	}
	return status
}

func (w *world) until(what string, holds func() bool) {
	w.t.Helper()
	for start := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		assert.Assert(w.t, time.Since(start) < time.Second, "not reached: %s", what)
	}
}

// Guards against the loss of an answer that is only late, and against a second run: the request keeps waiting,
// and its slot goes to others.
func TestWaitsForALateAnswer(t *testing.T) {
	for _, prefix := range []string{"/once/", "/open/"} {
		testLateAnswer(t, prefix)
	}
}

func testLateAnswer(t *testing.T, prefix string) {
	w := newWorld(t, 1)
	d := w.daemons[0]
	status := w.overtake(d, prefix)
	b := d.relay.LocalBackend
	b.mu.Lock()
	load := b.current.gate.Load(time.Now(), (&job{route: prefix, request: &Request{}}).ticket())
	b.mu.Unlock()
	assert.Equal(t, load.Running, 0)
	assert.Equal(t, b.Running(), 1) // the daemon does not stop before it has the answer
	close(d.server.hold)
	assert.Equal(t, <-status, 200)
	assert.Equal(t, d.server.runs("held"), 1)
}
