package epoch

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/peek"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T, listener net.Listener) (client, server net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	server, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// awaitEnd waits until the end of the connection has arrived.
func awaitEnd(conn net.Conn) {
	for peek.StateOf(conn) == peek.Quiet {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a restart that is not suspected because a read is in progress on a connection that has ended, and
// against a restart that is suspected although a connection to the process is open, was closed by this daemon, or
// was announced to be closed. Guards also against one restart that is suspected twice.
func TestRestartIsSuspectedWhenAllConnectionsHaveEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	w := &Watch{}
	connect := func(want int) (client, server net.Conn) {
		client, server = pair(t, listener)
		assert.Equal(t, w.Opened(time.Now(), client), want)
		return client, server
	}
	first, firstServer := connect(0)
	second, secondServer := connect(0)
	_ = secondServer.Close()
	awaitEnd(second)
	third, thirdServer := connect(0) // the first one is open
	w.Closing(time.Now(), second)
	_ = firstServer.Close()
	awaitEnd(first)
	_ = thirdServer.(*net.TCPConn).SetLinger(0)
	_ = thirdServer.Close()
	awaitEnd(third)
	fourth, fourthServer := connect(1)
	w.Closing(time.Now(), first)
	w.Closing(time.Now(), third)
	w.Closing(time.Now(), fourth) // open
	fifth, _ := connect(1)
	_ = fourthServer.Close()
	w.Forget(fifth)
	sixth, sixthServer := connect(1)
	_ = sixthServer.Close()
	awaitEnd(sixth)
	w.Forget(sixth)
	seventh, seventhServer := connect(1)
	go func() { _, _ = seventh.Read(make([]byte, 1)) }()
	_ = seventhServer.Close()
	awaitEnd(seventh)
	connect(2)
}

// Guards against a restart that is suspected although the process was seen alive after it had closed a connection, and
// against one that is not suspected because the connections end one after the other.
func TestConnectionThatEndsBesideOpenOneDoesNotShowRestart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	w := &Watch{}
	connect := func(want int) (client, server net.Conn) {
		client, server = pair(t, listener)
		assert.Equal(t, w.Opened(time.Now(), client), want)
		return client, server
	}
	end := func(client, server net.Conn) {
		_ = server.Close()
		awaitEnd(client)
		w.Closing(time.Now(), client)
	}
	first, firstServer := connect(0)
	second, secondServer := connect(0)
	end(first, firstServer)
	_ = secondServer.Close()
	awaitEnd(second)
	w.Forget(second) // the server has announced to close it
	third, thirdServer := connect(0)
	fourth, fourthServer := connect(0)
	end(third, thirdServer)
	end(fourth, fourthServer)
	connect(1)
}
