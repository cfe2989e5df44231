package call

import (
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// newAnnouncingFleet returns a daemon whose warm server announces how long it keeps idle connections.
func newAnnouncingFleet(t *testing.T, keepAlive string) *coldFleet {
	c, warm := newColdFleet(t), 0.0
	c.keepAlive = keepAlive
	c.nodes[0].handler.backends.reportCold(&c.backend.endpoint, &warm)
	return c
}

// Guards against a server that counts as restarted each time it closes its idle connections after the short time that
// it has announced, and against calls on connections that it is about to close.
func TestServerWithShortIdleTimeoutStaysWarm(t *testing.T) {
	c := newAnnouncingFleet(t, "timeout=1, max=100")
	for range 3 {
		assert.Equal(t, c.burst(30), 30)
		assert.Equal(t, c.backend.limiter.Load(time.Now()).ColdFor, time.Duration(0))
		assert.NilError(t, c.listener.Restart())
	}
	assert.Assert(t, c.backend.reused().DisableKeepAlives)
}

// Guards against a restart that is not noticed because the server announces how long it keeps idle connections, and
// against connections that are kept for longer.
func TestServerThatAnnouncesItsIdleTimeoutMayRestart(t *testing.T) {
	c := newAnnouncingFleet(t, "timeout=3")
	assert.Equal(t, c.burst(30), 30)
	assert.Equal(t, c.backend.reused().IdleConnTimeout, 2*time.Second)
	assert.Equal(t, c.burst(30), 30)
	assert.NilError(t, c.listener.Restart())
	assert.Assert(t, c.burst(60) < 20)
	assert.Assert(t, c.backend.limiter.Load(time.Now()).ColdFor > 0)
}

// Guards against a server that never serves a call, because it closes idle connections sooner than the next one
// arrives, and without having announced it: each call finds that all connections have ended.
func TestServerThatClosesIdleConnectionsServesEachCall(t *testing.T) {
	c := newAnnouncingFleet(t, "")
	changes := strings.NewReplacer("rate=10/s", "rate=4/s", "=2s", "=200ms", "\n", " # requested by Ana\n")
	set, err := rules.Parse("rules", []byte(changes.Replace("revision 2\n"+coldRules)))
	assert.NilError(t, err)
	c.publish(func(s *snap.Snapshot) { s.Rules = set })
	for i := range 5 {
		response := c.request(0, http.MethodGet, "/x", "")
		assert.NilError(t, response.err)
		assert.Equal(t, response.StatusCode, http.StatusOK, "call %d: %s", i, response.Header.Get(HeaderReason))
		assert.NilError(t, c.listener.Restart())
		time.Sleep(300 * time.Millisecond)
	}
}

// Guards against calls that are lost because the daemon closes the connection that they are about to use: another call's
// response has just announced a short idle timeout.
func TestAnnouncedIdleTimeoutClosesNoConnection(t *testing.T) {
	c := newAnnouncingFleet(t, "")
	assert.Equal(t, c.burst(1), 1)
	c.nodes[0].handler.backends.applyIdleTimeout(c.backend, http.Header{"Keep-Alive": {"timeout=1"}}, &connTracker{})
	assert.Assert(t, c.backend.reused().DisableKeepAlives)
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, "http://"+c.backend.endpoint.Address+"/x", nil)
	assert.NilError(t, err)
	response, err := c.backend.transport.RoundTrip(request) // as a call does that has chosen its transport before
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Assert(t, reused)
}
