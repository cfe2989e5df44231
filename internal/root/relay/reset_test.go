package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a part of a response without a length that reaches its caller as the whole of it: the server ends and all
// its connections are reset, and a look at the other connections took the report of the reset from their reads.
func TestResetOfSeveralResponsesWithoutLength(t *testing.T) {
	const rounds = 5
	for range rounds {
		resetResponsesWithoutLength(t)
	}
}

func resetResponsesWithoutLength(t *testing.T) {
	const slots, responses = 40, 30
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	notice := d.notice(StateReady)
	notice.Slots, notice.Sequence = slots, 2
	assert.NilError(t, d.relay.LocalBackend.Notice(t.Context(), notice))
	begun, end := make(chan struct{}, responses), make(chan struct{})
	d.server.mu.Lock()
	d.server.early = func(conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n\r\npart", r.Header.Get("Id"))
		begun <- struct{}{}
		<-end
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	d.server.mu.Unlock()
	var callers sync.WaitGroup
	for i := range responses {
		callers.Go(func() {
			response := f.request(d, fmt.Sprint("cut", i), "/once/cut", "", "")
			assert.Check(t, response.StatusCode == http.StatusBadGateway, "got %d with the body %q", response.StatusCode, bodyOf(t, response))
		})
	}
	f.waitUntil("all responses have begun", func() bool { return len(begun) == responses })
	close(end)
	callers.Wait()
}
