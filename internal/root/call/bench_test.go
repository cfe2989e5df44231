package call

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
)

const benchCallers = 16

// BenchmarkCall compares calls through one daemon and through two with direct calls of the backend server.
func BenchmarkCall(b *testing.B) {
	f := newFleet(b, 2, clock.Real{}, readerRules)
	body := make([]byte, 1024)
	server := f.serve(0, "reader", 1000, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })
	for _, path := range []struct{ name, address string }{
		{"direct", server.Listener.Addr().String()},
		{"one-daemon", f.nodes[0].Ingress.Addr().String()},
		{"two-daemons", f.nodes[1].Ingress.Addr().String()},
	} {
		b.Run(path.name, func(b *testing.B) {
			b.ReportAllocs()
			var mu sync.Mutex
			allLatencies := hdrhistogram.New(1, int64(time.Minute), 3)
			calls := make(chan struct{}, benchCallers)
			var group sync.WaitGroup
			for range benchCallers {
				group.Go(func() {
					latencies := hdrhistogram.New(1, int64(time.Minute), 3)
					for range calls {
						started := time.Now()
						response, err := testClient.Get("http://" + path.address + "/get/1")
						if err != nil || response.StatusCode != http.StatusOK {
							b.Errorf("call failed: %v", err)
							continue
						}
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
						_ = latencies.RecordValue(int64(time.Since(started)))
					}
					mu.Lock()
					defer mu.Unlock()
					allLatencies.Merge(latencies)
				})
			}
			for b.Loop() {
				calls <- struct{}{}
			}
			close(calls)
			group.Wait()
			b.ReportMetric(float64(allLatencies.ValueAtQuantile(50))/1e3, "p50-µs")
			b.ReportMetric(float64(allLatencies.ValueAtQuantile(99))/1e3, "p99-µs")
		})
	}
}

// BenchmarkIdleConnection reports the heap and stack bytes that a daemon uses for an idle connection.
func BenchmarkIdleConnection(b *testing.B) {
	f := newFleet(b, 1, clock.Real{}, readerRules)
	address := f.nodes[0].Ingress.Addr().String()
	const connections = 900
	memoryInUse := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	for b.Loop() {
		before := memoryInUse()
		conns := make([]net.Conn, connections)
		response := make([]byte, 4096)
		for i := range conns {
			conns[i], _ = net.Dial("tcp", address)
			_, _ = io.WriteString(conns[i], "GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
			_, _ = conns[i].Read(response) // afterwards the connection is idle
		}
		b.ReportMetric(float64(memoryInUse()-before)/connections, "B/conn")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}
