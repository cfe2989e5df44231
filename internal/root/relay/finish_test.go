package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/accept"
)

type (
	// delayedListener accepts connections that are read only once read is closed, as by a daemon that has no processor
	// time.
	delayedListener struct {
		net.Listener
		read chan struct{}
	}

	delayedConn struct {
		*net.TCPConn
		read chan struct{}
	}
)

func (l delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return delayedConn{TCPConn: conn.(*net.TCPConn), read: l.read}, nil
}

func (c delayedConn) Read(p []byte) (int, error) {
	<-c.read
	return c.TCPConn.Read(p)
}

// newFinishingFrontend returns a frontend that refuses all requests, as at the end of a drain.
func (f *testFleet) newFinishingFrontend(listener net.Listener, connections int) *Frontend {
	original := f.daemons[0].relay.Frontend
	frontend := &Frontend{
		Listener: listener, Forwarder: original.Forwarder, Dialect: original.Dialect, Log: original.Log, Limits: original.Limits,
		BodyStall: original.BodyStall, WriteStall: original.WriteStall, Bodies: original.Bodies, MaxConnections: connections,
	}
	frontend.StartDraining()
	frontend.RefuseRequests()
	return frontend
}

// Guards against a reset of a connection on which a request has arrived: a daemon that stops had no processor time to
// read it, and took the connection for an idle one.
func TestUnreadRequestIsRefusedAtAStop(t *testing.T) {
	listener := delayedListener{Listener: accept.New(listen(t)), read: make(chan struct{})}
	frontend := newTestFleet(t, 1).newFinishingFrontend(listener, 10)
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "GET /open/fast HTTP/1.1\r\nHost: shop.example\r\nId: late\r\n\r\n")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, frontend.Run(ctx))
	time.AfterFunc(2*finishIdleTime, func() { close(listener.read) })
	frontend.Finish()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Close)
}
