package relay

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against the copy of an earlier refusal that a faulty server writes once more on a kept connection: it was
// taken for the refusal of the next request, so that its caller was told "not run" although the server ran it, or
// another server ran it as well.
func TestRepeatedRefusal(t *testing.T) {
	for _, kind := range []string{"shed-again", "shed-again-with-id", "shed-often-with-id"} {
		for _, daemons := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d servers", kind, daemons), func(t *testing.T) {
				f := newTestFleet(t, daemons)
				for i := range 20 {
					refused, next := fmt.Sprint("refused", i), fmt.Sprint("next", i)
					f.request(f.daemons[0], refused, "/once/"+kind, "", "")
					response := f.request(f.daemons[0], next, "/once/echo", "", "")
					runs := 0
					for _, d := range f.daemons {
						runs += d.server.runs(next)
					}
					assert.Assert(t, runs <= 1, "request %s ran %d times", next, runs)
					assert.Assert(t, runs == 0 || response.Header.Get("Outcome") != "not-run", "request %s ran, its caller got %d", next, response.StatusCode)
					if kind != "shed-often-with-id" { // with so many copies the response is given up
						assert.Equal(t, response.StatusCode, http.StatusOK)
					}
				}
			})
		}
	}
}

// Guards against the copy of a refusal that is taken for the response to the same request, sent to the same server again:
// the request ran and was sent a third time, or its caller was told that it had not run. Guards also against the copy of a
// failure that takes the place of the response to the request that is sent again.
func TestRepeatedResponseToRequestThatIsSentAgain(t *testing.T) {
	for _, path := range []string{"/once/shed-first-again", "/open/fail-first-again"} {
		t.Run(path, func(t *testing.T) {
			f := newTestFleet(t, 1, func(o *Options) { o.RetryRatio = 100 })
			d := f.daemons[0]
			for i := range 20 {
				id := fmt.Sprint("first", i)
				response := f.request(d, id, path, "", "")
				assert.Equal(t, d.server.runs(id), 2, "refused or failed once, run once; its caller got %d", response.StatusCode)
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, bodyOf(t, response), "ran")
			}
		})
	}
}

// Guards against a connection that holds the ids of requests without bound, and against one that is closed after
// each refusal.
func TestRefusedRequestsOfConnectionAreBounded(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	const requests = 3 * maxRetryable
	for i := range requests {
		f.request(d, fmt.Sprint("refused", i), "/once/shed-with-id", "", "")
	}
	d.server.mu.Lock()
	defer d.server.mu.Unlock()
	assert.Assert(t, len(d.server.received) >= requests)
	assert.Assert(t, len(d.server.conns) <= 2*(len(d.server.received)/maxRetryable+1), "%d connections", len(d.server.conns))
	d.relay.LocalBackend.mu.Lock()
	defer d.relay.LocalBackend.mu.Unlock()
	for _, conn := range d.relay.LocalBackend.current.pool.idle {
		assert.Assert(t, len(conn.retryable) < maxRetryable)
	}
}
