package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
)

// Guards against requests that were sent ahead and take memory without bound, and against the loss of one of them or
// the refusal of an ordinary request meanwhile.
func TestRequestsSentAheadAreBounded(t *testing.T) {
	const connections, ahead, limit = 4, 50, 16 * requestOverhead
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	frontend := d.relay.Frontend
	frontend.Requests = budget.NewBytes(limit, nil)
	var conns []net.Conn
	for i := range connections {
		conn, err := net.Dial("tcp", d.frontAddress)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		var requests strings.Builder
		for n := range ahead {
			_, _ = fmt.Fprintf(&requests, "GET /open/slow?ms=2 HTTP/1.1\r\nHost: shop.example\r\nId: r%d-%d\r\n\r\n", i, n)
		}
		_, err = io.WriteString(conn, requests.String())
		assert.NilError(t, err)
		conns = append(conns, conn)
	}
	f.waitUntil("requests are in progress", func() bool { return frontend.active.Load() > 0 })
	assert.Equal(t, f.request(d, "ordinary", "/open/echo", "", "").StatusCode, http.StatusOK)
	most := int64(0)
	answered := make(chan int, connections)
	for _, conn := range conns {
		go func() { answered <- countAnswers(conn, ahead) }()
	}
	total := 0
	for left := connections; left > 0; {
		select {
		case n := <-answered:
			total += n
			left--
		case <-time.After(time.Millisecond):
			most = max(most, frontend.active.Load())
		}
	}
	assert.Equal(t, total, connections*ahead)
	assert.Assert(t, most <= limit/requestOverhead+connections, "%d requests in progress", most)
	assert.Equal(t, frontend.Requests.Used(), int64(0))
}

// countAnswers reads n responses and returns how many have arrived whole.
func countAnswers(conn net.Conn, n int) int {
	reader := bufio.NewReader(conn)
	for i := range n {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return i
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return i
		}
	}
	return n
}

// Guards against responses that callers do not read and that take memory without bound, and against a caller that reads
// and loses its connection for them.
func TestUnreadResponsesAreBounded(t *testing.T) {
	const buffer = 16 << 20 // holds a large response
	const fit, limit = 3, 3*largeResponse + largeResponse/2
	f := newTestFleet(t, 1, func(o *Options) {
		o.Limits.BodySize = 2 * largeResponse
		o.MemoryLimit = keptBodyDivisor * buffer // so that the responses are held and not passed through
	})
	d := f.daemons[0]
	frontend := d.relay.Frontend
	frontend.Queued = &queuedResponses{queues: budget.NewQueues[*callerConn](limit, nil)}
	for i := range 8 {
		conn, err := net.Dial("tcp", d.frontAddress)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "GET /open/large?bytes=%d HTTP/1.1\r\nHost: shop.example\r\nId: r%d\r\n\r\n", largeResponse, i)
		assert.NilError(t, err)
		f.waitUntil("the response waits, or another one was given up", func() bool {
			frontend.Queued.mu.Lock()
			defer frontend.Queued.mu.Unlock()
			return frontend.Queued.queues.Used() >= int64(min(i+1, fit))*largeResponse && budgetRefusals(t, frontend) >= i+1-fit
		})
	}
	frontend.Queued.mu.Lock()
	assert.Assert(t, frontend.Queued.queues.Used() <= limit)
	frontend.Queued.mu.Unlock()
	assert.Equal(t, f.request(d, "ordinary", "/open/echo", "", "").StatusCode, http.StatusOK)
}

// budgetRefusals returns the number of refused requests and closed connections that the daemon has counted.
func budgetRefusals(t *testing.T, f *Frontend) int {
	t.Helper()
	families, err := f.Forwarder.Meter.Registry.Gather()
	assert.NilError(t, err)
	count := 0
	for _, family := range families {
		if family.GetName() != "buckthorn_budget_refusals_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			count += int(metric.GetCounter().GetValue())
		}
	}
	return count
}
