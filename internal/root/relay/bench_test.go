package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkCall reports what one request costs that the front daemon sends to its own server, and one that it
// sends to the server of another daemon. Callers and servers run in the same process.
func BenchmarkCall(b *testing.B) {
	for _, name := range []string{"local", "remote"} {
		b.Run(name, func(b *testing.B) {
			f := newTestFleet(b, 2)
			front, remote := f.daemons[0], f.daemons[1]
			target := front
			if name == "remote" {
				target = remote
			}
			for _, d := range f.daemons {
				if d != target {
					assert.NilError(b, f.control.Leave(b.Context(), d.server.listener.Addr().String()))
				}
			}
			f.benchmarkCalls(b, front, 16)
		})
	}
}

// benchmarkCalls sends requests from a number of callers, each on one connection.
func (f *testFleet) benchmarkCalls(b *testing.B, d *testDaemon, callers int) {
	calls := make(chan int, callers)
	var group sync.WaitGroup
	for range callers {
		conn, err := net.Dial("tcp", d.frontAddress)
		assert.NilError(b, err)
		b.Cleanup(func() { _ = conn.Close() })
		reader := bufio.NewReader(conn)
		group.Go(func() {
			for i := range calls {
				_, err := fmt.Fprintf(conn, "GET /open/echo HTTP/1.1\r\nHost: shop.example\r\nId: r%d\r\nUser-Agent: benchmark\r\n\r\n", i)
				assert.Check(b, err)
				response, err := http.ReadResponse(reader, nil)
				if !assert.Check(b, err) {
					continue
				}
				_, _ = io.Copy(io.Discard, response.Body)
				assert.Check(b, response.StatusCode == http.StatusOK || response.StatusCode == http.StatusServiceUnavailable)
			}
		})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		calls <- i
	}
	close(calls)
	group.Wait()
}
