package peek

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

func reset(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	assert.NilError(t, conn.SetLinger(0))
	assert.NilError(t, conn.Close())
}

func awaitState(t *testing.T, conn net.Conn, want State) {
	t.Helper()
	for start := time.Now(); StateOf(conn) != want; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(start) < 10*time.Second, "state %d, want %d", StateOf(conn), want)
	}
}

// Guards against a cut response without a length that is passed on as whole: the system reports a reset only once, and a
// look at the state of the connection took that report from the read of the response.
func TestReadSeesResetAfterLook(t *testing.T) {
	for name, sent := range map[string]string{"no bytes": "", "unread bytes": "part"} {
		t.Run(name, func(t *testing.T) {
			client, server := pair(t)
			_, err := io.WriteString(server, sent)
			assert.NilError(t, err)
			got := make([]byte, len(sent))
			if sent != "" {
				awaitState(t, client, Waiting)
			}
			reset(t, server)
			if sent != "" {
				time.Sleep(10 * time.Millisecond) // the reset arrives behind the bytes
				assert.Equal(t, StateOf(client), Waiting)
				_, err = io.ReadFull(client, got)
				assert.NilError(t, err)
			}
			awaitState(t, client, Ended)
			awaitState(t, client, Ended)
			_, err = client.Read(make([]byte, 1))
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
			assert.Equal(t, StateOf(client), Ended)
		})
	}
}

// Guards against a connection that is used again although its peer has closed it or bytes wait on it, and against an open
// one that counts as closed.
func TestStateOf(t *testing.T) {
	client, server := pair(t)
	assert.Equal(t, StateOf(client), Quiet)
	_, err := io.WriteString(server, "ab")
	assert.NilError(t, err)
	awaitState(t, client, Waiting)
	_, err = io.ReadFull(client, make([]byte, 2))
	assert.NilError(t, err)
	assert.Equal(t, StateOf(client), Quiet)
	_, err = io.WriteString(server, "a")
	assert.NilError(t, err)
	assert.NilError(t, server.Close())
	time.Sleep(10 * time.Millisecond) // the end arrives behind the byte
	assert.Equal(t, StateOf(client), Waiting)
	_, err = io.ReadFull(client, make([]byte, 1))
	assert.NilError(t, err)
	awaitState(t, client, Ended)
	assert.NilError(t, client.Close())
	assert.Equal(t, StateOf(client), Unknown)
}

// Guards against a connection whose end is not seen because this end has closed its own direction, or because a read is
// in progress.
func TestStateOfHalfClosedConnection(t *testing.T) {
	client, server := pair(t)
	assert.NilError(t, client.CloseWrite())
	assert.Equal(t, StateOf(client), Quiet)
	go func() { _, _ = client.Read(make([]byte, 1)) }()
	assert.NilError(t, server.Close())
	awaitState(t, client, Ended)
}

// Guards against an open connection that counts as closed because a signal of the runtime interrupts the look at it.
func TestSignalDoesNotHideState(t *testing.T) {
	client, _ := pair(t)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(t.Context())
	var sending sync.WaitGroup
	sending.Go(func() {
		for ctx.Err() == nil {
			_ = syscall.Kill(os.Getpid(), syscall.SIGUSR1)
		}
	})
	for range 200_000 {
		if !assert.Check(t, StateOf(client) == Quiet) {
			break
		}
	}
	cancel()
	sending.Wait()
}

// Guards against a response whose caller still accepts it and that counts as accepted.
func TestUnsent(t *testing.T) {
	client, server := pair(t)
	assert.NilError(t, client.SetReadBuffer(4<<10))
	assert.Equal(t, Unsent(server), 0)
	const size = 64 << 10
	assert.NilError(t, server.SetWriteBuffer(2*size))
	_, err := server.Write(make([]byte, size))
	assert.NilError(t, err)
	assert.Assert(t, Unsent(server) > 0)
	_, err = io.ReadFull(client, make([]byte, size))
	assert.NilError(t, err)
	for start := time.Now(); Unsent(server) > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(start) < 10*time.Second)
	}
	assert.NilError(t, server.Close())
	assert.Equal(t, Unsent(server), 0)
}
