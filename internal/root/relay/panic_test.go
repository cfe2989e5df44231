package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a panic on one request or response that ends the process or keeps its slot.
func TestPanicEndsOneRequest(t *testing.T) {
	f := newTestFleet(t, 2)
	const more = 5 // than the servers have slots
	for i := range more {
		response := f.request(f.daemons[i%2], fmt.Sprint("r", i), "/once/panic", "", "")
		assert.Equal(t, response.Header.Get("Outcome"), "unknown")
		response = f.request(f.daemons[i%2], fmt.Sprint("s", i), "/once/echo", "Panic: send\r\n", "")
		assert.Equal(t, response.Header.Get("Outcome"), "unknown")
		conn, err := net.Dial("tcp", f.daemons[i%2].frontAddress)
		assert.NilError(t, err)
		_, err = fmt.Fprint(conn, "GET /once/echo HTTP/1.1\r\nHost: shop.example\r\nPanic: decode\r\n\r\n")
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		response = readResponse(t, reader)
		assert.Equal(t, response.Header.Get("Outcome"), "not-run")
		assert.Assert(t, response.Close)
		_, err = reader.ReadByte()
		assert.Equal(t, err, io.EOF, "the connection ends")
	}
	for i := range more {
		assert.Equal(t, f.request(f.daemons[i%2], fmt.Sprint("n", i), "/once/echo", "", "").StatusCode, 200)
	}
	for _, d := range f.daemons {
		assert.Equal(t, d.relay.LocalBackend.Running(), 0)
	}
}
