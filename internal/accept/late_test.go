package accept

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/peek"
)

// Guards against bytes that have arrived and are not read after a deadline, and against a deadline that ends no read.
func TestLateReads(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	conn, err := LateReads(listener).Accept()
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetReadDeadline(time.Now()))
	got := make([]byte, 3)
	_, err = conn.Read(got)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, err = io.WriteString(client, "abcd")
	assert.NilError(t, err)
	for start := time.Now(); peek.StateOf(conn) != peek.Waiting; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(start) < 60*time.Second, "no bytes arrive")
	}
	_, err = io.ReadFull(conn, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "abc")
	n, err := conn.Read(got)
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
	assert.NilError(t, client.Close())
	for start := time.Now(); peek.StateOf(conn) != peek.Ended; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(start) < 60*time.Second, "the end does not arrive")
	}
	_, err = conn.Read(got)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
