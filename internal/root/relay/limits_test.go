package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// newRemoteFleet starts two daemons. The first has no server to choose but that of the second.
func newRemoteFleet(t *testing.T) (f *testFleet, front, remote *testDaemon) {
	t.Helper()
	f = newTestFleet(t, 2)
	front, remote = f.daemons[0], f.daemons[1]
	assert.NilError(t, f.control.Leave(t.Context(), front.server.listener.Addr().String()))
	f.control.mu.Lock()
	f.control.set.Limits.HeaderSize = 1 << 20
	for _, route := range f.control.set.Routes {
		route.Deadline = 20 * time.Second
	}
	f.control.mu.Unlock()
	return f, front, remote
}

// holdRequest sends a request that runs until the server's hold channel is closed, and returns its later response.
func (f *testFleet) holdRequest(d, server *testDaemon, id string) <-chan *http.Response {
	f.t.Helper()
	responses := make(chan *http.Response, 1)
	go func() { responses <- f.request(d, id, "/open/hold/"+id, "", "") }()
	for started := time.Now(); server.server.runs(id) == 0; time.Sleep(time.Millisecond) {
		assert.Assert(f.t, time.Since(started) < 10*time.Second, "the request was not sent")
	}
	return responses
}

// headerFields returns a number of header fields as they are sent.
func headerFields(n int) string { return strings.Repeat("Some: x\r\n", n) }

// Guards against a request that breaks a limit of the messages between daemons and, with the stream, ends all other
// requests to the same daemon.
func TestRequestAboveMessageLimit(t *testing.T) {
	t.Parallel()
	for name, headers := range map[string]string{
		"fields": headerFields(600),
		"bytes":  strings.Repeat("Some: "+strings.Repeat("x", 10_000)+"\r\n", 60),
	} {
		t.Run(name, func(t *testing.T) {
			f, front, remote := newRemoteFleet(t)
			held := f.holdRequest(front, remote, "held")
			response := f.request(front, "large", "/once/echo", headers, "")
			assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
			assert.Equal(t, response.Header.Get("Outcome"), "not-run")
			assert.Equal(t, remote.server.runs("large"), 0)
			close(remote.server.hold)
			assert.Equal(t, (<-held).StatusCode, http.StatusOK)
		})
	}
	t.Run("target", func(t *testing.T) {
		f, front, remote := newRemoteFleet(t)
		held := f.holdRequest(front, remote, "held")
		response := f.request(front, "large", "/once/echo?"+strings.Repeat("x", maxText), "", "")
		assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
		close(remote.server.hold)
		assert.Equal(t, (<-held).StatusCode, http.StatusOK)
	})
}

// Guards against a limit on requests that depends on where the chosen server runs.
func TestRequestAboveMessageLimitToOwnServer(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	f.control.mu.Lock()
	f.control.set.Limits.HeaderSize = 1 << 20
	f.control.mu.Unlock()
	d := f.daemons[0]
	response := f.request(d, "large", "/once/echo", headerFields(600), "")
	assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, d.server.runs("large"), 0)
	assert.Equal(t, f.request(d, "usual", "/once/echo", headerFields(400), "").StatusCode, http.StatusOK)
}

// Guards against an accepted configuration whose requests cannot be sent to other daemons, and which end all requests
// on a stream: a name in it is longer than the messages hold.
func TestLongNames(t *testing.T) {
	t.Parallel()
	for _, length := range []int{300, 5_000, 100_000} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			f, front, remote := newRemoteFleet(t)
			account := strings.Repeat("a", length)
			f.control.mu.Lock()
			for _, route := range f.control.set.Routes {
				route.Name = strings.Repeat("r", length) + route.Name
			}
			f.control.set.Accounts[account] = &rules.Account{Rule: rules.Rule{Name: account}}
			f.control.set.Keys = append(f.control.set.Keys, &rules.Key{Rule: rules.Rule{Name: "long:1"}, Account: account, Hash: rules.HashKey("long-key"), State: rules.KeyActive})
			assert.NilError(t, rules.Assemble(f.control.set))
			f.control.mu.Unlock()
			held := f.holdRequest(front, remote, "held")
			assert.Equal(t, f.request(front, "keyed", "/keyed/echo", "Key: long-key\r\n", "").StatusCode, http.StatusOK)
			remote.server.mu.Lock()
			received := remote.server.received[len(remote.server.received)-1].Header.Get("Account")
			remote.server.mu.Unlock()
			assert.Assert(t, strings.HasPrefix(received, account[:100]))
			assert.Assert(t, received == account || length > maxAccount)
			close(remote.server.hold)
			assert.Equal(t, (<-held).StatusCode, http.StatusOK)
		})
	}
}

// Guards against a response that breaks a limit of the messages between daemons and ends other requests, is not told as
// possibly run, or makes the server count as one that does not respond.
func TestResponseAboveMessageLimit(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/fields?count=600&bytes=2", "/once/fields?count=600&bytes=3000000"} {
		t.Run(path, func(t *testing.T) {
			f, front, remote := newRemoteFleet(t)
			held := f.holdRequest(front, remote, "held")
			for i := range maxUnanswered + 1 {
				id := fmt.Sprint("r", i)
				response := f.request(front, id, path, "", "")
				assert.Equal(t, response.StatusCode, http.StatusBadGateway)
				assert.Equal(t, response.Header.Get("Outcome"), "unknown")
				assert.Equal(t, remote.server.runs(id), 1)
			}
			assert.Equal(t, f.request(remote, "own", path, "", "").StatusCode, http.StatusBadGateway)
			assert.Equal(t, f.request(front, "usual", "/once/fields?count=400&bytes=2", "", "").StatusCode, http.StatusOK)
			close(remote.server.hold)
			assert.Equal(t, (<-held).StatusCode, http.StatusOK)
		})
	}
}

// Guards against a notice with a long name, which anyone can send to a control instance, that ends the other requests to
// the daemon that it is forwarded to.
func TestNoticeAboveMessageLimit(t *testing.T) {
	t.Parallel()
	f, front, remote := newRemoteFleet(t)
	held := f.holdRequest(front, remote, "held")
	notice := remote.notice(StateReady)
	notice.Instance = strings.Repeat("i", maxLabel+1)
	assert.ErrorIs(t, front.relay.PeerStreams.SendNotice(t.Context(), remote.peerAddress, notice), errNotice)
	assert.NilError(t, front.relay.PeerStreams.SendNotice(t.Context(), remote.peerAddress, remote.notice(StateReady)))
	close(remote.server.hold)
	assert.Equal(t, (<-held).StatusCode, http.StatusOK)
}
