package accept

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return New(listener)
}

// Guards against connections that are reset because they wait in the listener's queue when it is closed.
func TestCloseAcceptsWaitingConnections(t *testing.T) {
	const callers = 50
	listener := listen(t)
	for range callers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
	}
	closed := make(chan error, 1)
	go func() { closed <- listener.Close() }()
	time.Sleep(10 * emptyTime) // a goroutine that accepts may have to wait for the processor
	accepted := 0
	for {
		conn, err := listener.Accept()
		if err != nil {
			assert.Assert(t, errors.Is(err, net.ErrClosed), "%v", err)
			break
		}
		accepted++
		assert.NilError(t, conn.Close())
	}
	assert.Equal(t, accepted, callers)
	assert.NilError(t, <-closed)
	_, err := net.Dial("tcp", listener.Addr().String())
	assert.ErrorContains(t, err, "refused")
	assert.NilError(t, listener.Close())
}

// Guards against a Close that does not return while callers go on connecting, or while nobody accepts.
func TestCloseEnds(t *testing.T) {
	listener := listen(t)
	started := time.Now()
	assert.NilError(t, listener.Close())
	assert.Assert(t, time.Since(started) < maxCloseTime+time.Second)

	listener = listen(t)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				return
			}
			select {
			case <-stop:
				return
			default:
				_ = conn.Close()
			}
		}
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	started = time.Now()
	assert.NilError(t, listener.Close())
	assert.Assert(t, time.Since(started) < maxCloseTime+time.Second)
}

// Guards against connections that are reset because the deadline of a listener that is being closed has passed before
// Accept has looked for them: the goroutine had no processor time meanwhile.
func TestCloseAcceptsAfterAPassedDeadline(t *testing.T) {
	const callers = 50
	listener := listen(t).(*Listener)
	listener.emptyTime = 0 // each deadline has passed when Accept looks
	for range callers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
	}
	accepted := make(chan int)
	go func() {
		n := 0
		for {
			conn, err := listener.Accept()
			if err != nil {
				break
			}
			n++
			_ = conn.Close()
		}
		accepted <- n
	}()
	assert.NilError(t, listener.Close())
	assert.Equal(t, <-accepted, callers)
}

// scriptedListener fails with one error, and then with net.ErrClosed.
type scriptedListener struct {
	net.Listener
	failures []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, err
}

// Guards against a failure to accept that nobody reports, and against one that lasts beyond the end of the listener.
func TestNextReportsFailures(t *testing.T) {
	listener := &scriptedListener{failures: []error{syscall.EMFILE, syscall.ENFILE, net.ErrClosed}}
	var reported []error
	_, err := Next(context.Background(), listener, func(err error) { reported = append(reported, err) })
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.DeepEqual(t, reported, []error{syscall.EMFILE, syscall.ENFILE})
}
