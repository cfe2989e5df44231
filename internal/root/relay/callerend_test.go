package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

type (
	// cutLog collects the lines about connections of callers that ended with something unanswered.
	cutLog struct {
		mu    sync.Mutex
		lines []cutLine
	}

	cutLine struct {
		Message   string   `json:"message"`
		Reason    string   `json:"reason"`
		Requests  int      `json:"requests"`
		Sent      int      `json:"sent"`
		IDs       []string `json:"ids"`
		Unread    bool     `json:"unread"`
		Discarded int64    `json:"discarded"`
	}
)

// Write implements io.Writer.
func (l *cutLog) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range bytes.Lines(text) {
		var decoded cutLine
		if json.Unmarshal(line, &decoded) == nil && decoded.Message == "caller-cut" {
			l.lines = append(l.lines, decoded)
		}
	}
	return len(text), nil
}

// only waits for the first line and returns it.
func (l *cutLog) only(f *testFleet) cutLine {
	f.t.Helper()
	var lines []cutLine
	f.waitUntil("the end of a connection is logged", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		lines = l.lines
		return len(lines) > 0
	})
	assert.Equal(f.t, len(lines), 1)
	return lines[0]
}

// logCuts collects the lines of a daemon.
func (f *testFleet) logCuts(d *testDaemon) *cutLog {
	log := &cutLog{}
	d.relay.Frontend.Log = zerolog.New(log)
	return log
}

// callerCuts returns the number of connections that the daemon has counted as cut, by reason.
func callerCuts(t *testing.T, f *Frontend) map[string]int {
	t.Helper()
	families, err := f.Forwarder.Meter.Registry.Gather()
	assert.NilError(t, err)
	counts := map[string]int{}
	for _, family := range families {
		if family.GetName() != "buckthorn_caller_cuts_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			counts[metric.GetLabel()[0].GetValue()] = int(metric.GetCounter().GetValue())
		}
	}
	return counts
}

// Guards against a connection that ends with unanswered requests and leaves no trace of which ones and why.
func TestCutRequestsAreLogged(t *testing.T) {
	f := newTestFleet(t, 1, func(o *Options) { o.WriteStall = shortTimeout })
	d := f.daemons[0]
	log := f.logCuts(d)
	conn := f.dial(d)
	write(t, conn, get("/open/large?bytes=4194304", "r0")) // the caller reads nothing of it
	for i := 1; i <= 2; i++ {                              // the server has two slots
		write(t, conn, get("/open/hold", fmt.Sprint("r", i)))
	}
	line := log.only(f)
	assert.Equal(t, line.Reason, "response-not-accepted")
	assert.Equal(t, line.Requests, 3)
	assert.DeepEqual(t, line.IDs, []string{"r0", "r1", "r2"})
	assert.Assert(t, line.Sent >= 1, "%d sent", line.Sent)
	assert.DeepEqual(t, callerCuts(t, d.relay.Frontend), map[string]int{"response-not-accepted": 1})
}

// Guards against callers that leave with unanswered requests and are not counted.
func TestCallersThatLeaveAreCounted(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	log := f.logCuts(d)
	conn := f.dial(d)
	write(t, conn, get("/open/hold", "r0"))
	f.waitUntil("the request runs", func() bool { return d.server.runs("r0") == 1 })
	assert.NilError(t, conn.Close())
	f.waitUntil("the connection has ended", func() bool { return d.relay.Frontend.Connections() == 0 })
	assert.DeepEqual(t, callerCuts(t, d.relay.Frontend), map[string]int{"caller-left": 1})
	assert.Equal(t, len(log.lines), 0)
}

// Guards against a line about each connection that ends as it should.
func TestAnsweredCallerLeavesNoLine(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	log := f.logCuts(d)
	for i, header := range []string{"", "Connection: close\r\n"} {
		conn, err := net.Dial("tcp", d.frontAddress)
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "GET /open/echo HTTP/1.1\r\nHost: shop.example\r\nId: r%d\r\n%s\r\n", i, header)
		assert.NilError(t, err)
		_, err = conn.Read(make([]byte, 1<<10))
		assert.NilError(t, err)
		if header != "" {
			_, err = io.Copy(io.Discard, conn)
			assert.NilError(t, err)
		}
		assert.NilError(t, conn.Close())
	}
	f.waitUntil("the connections have ended", func() bool { return d.relay.Frontend.Connections() == 0 })
	assert.Equal(t, len(log.lines), 0)
}
