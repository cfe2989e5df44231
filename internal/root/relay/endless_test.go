package relay

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/head/cases"
)

// writeEndless writes a response without an end until the connection is closed.
func writeEndless(conn net.Conn, name string) {
	for _, each := range cases.EndlessResponses {
		if each.Name == name {
			each.Write(conn, "Seal: s\r\n")
		}
	}
}

// Guards against a response without an end that occupies memory, the connection or the caller until the
// deadline. The daemon does not know whether the request has run, and says so.
func TestEndlessResponse(t *testing.T) {
	for _, each := range cases.EndlessResponses {
		t.Run(each.Name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			d := f.daemons[0]
			response := f.request(d, "r", "/once/endless/"+each.Name, "", "")
			assert.Equal(t, response.Header.Get("Reason"), "backend-lost")
			assert.Equal(t, response.Header.Get("Outcome"), "unknown")
			assert.Equal(t, f.request(d, "next", "/once/echo", "", "").StatusCode, 200)
		})
	}
}

// Guards against a daemon that exceeds its memory because many responses without an end arrive at the same time.
// The soft limit of the Go runtime is set as in a daemon of its own.
func TestEndlessResponsesTogether(t *testing.T) {
	const (
		slots     = 64
		softLimit = 0.7 // of the memory limit
	)
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	previous := debug.SetMemoryLimit(int64(softLimit * float64(d.relay.MemoryLimit)))
	t.Cleanup(func() { debug.SetMemoryLimit(previous) })
	notice := d.notice(StateReady)
	notice.Slots = slots
	assert.NilError(t, d.relay.LocalBackend.Notice(context.Background(), notice))
	stop := make(chan struct{})
	peak := make(chan uint64, 1)
	go func() { peak <- peakMemory(stop) }()
	var group sync.WaitGroup
	for i := range slots * 3 / 4 {
		group.Go(func() { f.request(d, fmt.Sprint("r", i), "/once/endless/no-length", "", "") })
	}
	group.Wait()
	close(stop)
	highest := <-peak
	t.Logf("memory of %d MiB at its peak", highest>>20)
	assert.Assert(t, highest < uint64(d.relay.MemoryLimit), "memory of %d MiB, limit %d MiB", highest>>20, d.relay.MemoryLimit>>20)
}

// peakMemory returns the most memory that the Go runtime holds until stop is closed.
func peakMemory(stop <-chan struct{}) uint64 {
	peak := uint64(0)
	for {
		select {
		case <-stop:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.Sys-m.HeapReleased)
	}
}
