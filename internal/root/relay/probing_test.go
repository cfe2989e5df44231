package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// markUnresponsive makes the daemon send one request at a time to its server.
func (d *testDaemon) markUnresponsive() {
	b := d.relay.LocalBackend
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current.unanswered = maxUnanswered
}

func (d *testDaemon) probing() bool {
	b := d.relay.LocalBackend
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current.probe != nil
}

// start sends a request on its own connection, which the test closes.
func (f *testFleet) start(d *testDaemon, id, path string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", d.frontAddress)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\nId: %s\r\n\r\n", path, id)
	assert.NilError(f.t, err)
	return conn
}

func awaitCondition(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for started := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(started) < 10*time.Second, what)
	}
}

// Guards against a server that is never used again because the caller of the one request that was to show whether it
// responds has left before the response.
func TestProbeWhoseCallerLeaves(t *testing.T) {
	t.Parallel()
	for _, known := range []bool{false, true} { // a response of a route with short runs is awaited after the caller has left
		for _, place := range []string{"own", "remote"} {
			t.Run(fmt.Sprint(place, known), func(t *testing.T) {
				t.Parallel()
				f, front, d := newRemoteFleet(t)
				if place == "own" {
					front = d
				}
				if known {
					assert.Equal(t, f.request(front, "known", "/open/echo", "", "").StatusCode, http.StatusOK)
				}
				d.markUnresponsive()
				caller := f.start(front, "probe", "/open/hold/probe")
				awaitCondition(t, "the request is not sent", func() bool { return d.server.runs("probe") == 1 })
				assert.Assert(t, d.probing())
				assert.Equal(t, f.request(d, "second", "/open/echo", "", "").StatusCode, http.StatusServiceUnavailable)
				_ = caller.Close()
				awaitCondition(t, "the server stays unused", func() bool { return !d.probing() })
				assert.Equal(t, f.request(front, "next", "/open/echo", "", "").StatusCode, http.StatusOK)
			})
		}
	}
}

// Guards against a server that is used by one slow reader only: it has responded, with a long response that its caller
// reads at any pace, and the other requests are refused until that response has been read.
func TestProbeWithLongResponse(t *testing.T) {
	t.Parallel()
	for _, place := range []string{"own", "remote"} {
		t.Run(place, func(t *testing.T) {
			t.Parallel()
			f, front, d := newRemoteFleet(t)
			if place == "own" {
				front = d
			}
			d.markUnresponsive()
			f.start(front, "probe", "/open/large?bytes="+fmt.Sprint(12<<20)) // nobody reads the response
			awaitCondition(t, "the server stays unused", func() bool {
				return d.server.runs("probe") == 1 && f.request(d, "second", "/open/echo", "", "").StatusCode == http.StatusOK
			})
		})
	}
}

// Guards against several requests at a time to a server that does not respond: the end of an earlier run must not be taken
// for that of the one request that is to show whether it responds.
func TestEndOfEarlierRunDuringProbe(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	for _, route := range f.control.set.Routes {
		route.Deadline = 20 * time.Second
	}
	earlier := f.start(d, "earlier", "/once/hold/earlier")
	awaitCondition(t, "the request is not sent", func() bool { return d.server.runs("earlier") == 1 })
	d.markUnresponsive()
	f.start(d, "probe", "/once/hold/probe")
	awaitCondition(t, "the request is not sent", func() bool { return d.server.runs("probe") == 1 })
	_ = earlier.Close()
	awaitCondition(t, "the run has not ended", func() bool {
		_, running, _ := d.relay.LocalBackend.Status()
		return running == 1
	})
	assert.Equal(t, f.request(d, "second", "/once/echo", "", "").StatusCode, http.StatusServiceUnavailable)
	close(d.server.hold)
	awaitCondition(t, "the server stays unused", func() bool {
		return f.request(d, "next", "/once/echo", "", "").StatusCode == http.StatusOK
	})
}
