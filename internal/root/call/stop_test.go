package call

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/peek"
)

type (
	// pausedListener accepts connections that read nothing while it is paused, as if their readers got no processor time.
	pausedListener struct {
		net.Listener
		mu      sync.Mutex
		resumed chan struct{} // closed while the readers run
		conns   chan *pausedConn
	}

	pausedConn struct {
		*net.TCPConn
		listener *pausedListener
	}
)

func newPausedListener(t *testing.T) *pausedListener {
	l := &pausedListener{Listener: listen(t), resumed: make(chan struct{}), conns: make(chan *pausedConn, 10)}
	close(l.resumed)
	return l
}

func (l *pausedListener) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resumed = make(chan struct{})
}

func (l *pausedListener) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.resumed)
}

func (l *pausedListener) running() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resumed
}

func (l *pausedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	paused := &pausedConn{TCPConn: conn.(*net.TCPConn), listener: l}
	l.conns <- paused
	return paused, nil
}

func (c *pausedConn) Read(p []byte) (int, error) {
	<-c.listener.running()
	return c.TCPConn.Read(p)
}

// awaitBytes waits until bytes have arrived that the connection has not read.
func (c *pausedConn) awaitBytes(t *testing.T) {
	for start := time.Now(); peek.StateOf(c.TCPConn) != peek.Waiting; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(start) < 60*time.Second, "no bytes arrive")
	}
}

const keptRequest = "GET /get/1 HTTP/1.1\r\nHost: a\r\nBuckthorn-Key: " + goodKey + "\r\n\r\n"

// pausedFleet returns a fleet whose only daemon accepts callers at the listener, and a connection of a caller. After pause
// the next read of the connection waits; if used is set, the caller has got a response before.
func pausedFleet(t *testing.T, used bool, change ...func(*Options)) (*fleet, *pausedListener, net.Conn, *pausedConn) {
	l := newPausedListener(t)
	f := newFleet(t, 1, clock.Real{}, readerRules, append(change, func(o *Options) { o.Ingress = l })...)
	var once sync.Once
	f.serve(0, "reader", 10, func(w http.ResponseWriter, _ *http.Request) {
		once.Do(l.pause) // before the server reads the next request
		_, _ = io.WriteString(w, "done")
	})
	if !used {
		l.pause()
	}
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	if used {
		_, err = io.WriteString(conn, keptRequest)
		assert.NilError(t, err)
		assertStatus(t, conn, http.StatusOK)
	}
	return f, l, conn, <-l.conns
}

func assertStatus(t *testing.T, conn net.Conn, want int) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, want)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
}

// Guards against requests that end without a response or a refusal when the daemon stops, although they have arrived
// whole before: the reader of their connection had not had the processor.
func TestStopAnswersRequestsThatHaveArrived(t *testing.T) {
	for name, used := range map[string]bool{"new connection": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			f, l, conn, accepted := pausedFleet(t, used)
			_, err := io.WriteString(conn, keptRequest)
			assert.NilError(t, err)
			accepted.awaitBytes(t)
			f.nodes[0].stop()
			for { // until the listener is closed
				another, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					break
				}
				_ = another.Close()
			}
			time.Sleep(100 * time.Millisecond) // the server closes connections without a request
			l.resume()
			// The daemon's own server no longer takes requests.
			assertStatus(t, conn, http.StatusServiceUnavailable)
			<-f.nodes[0].ended
		})
	}
}

// Guards against a request that ends without a response or a refusal, because its reader did not get the processor from
// before the request arrived until after the idle timeout of its connection, as when the process is paused.
func TestRequestBeforeTheIdleTimeoutIsAnswered(t *testing.T) {
	const timeout = 50 * time.Millisecond
	_, l, conn, accepted := pausedFleet(t, true, func(o *Options) { o.IdleTimeout = timeout })
	_, err := io.WriteString(conn, keptRequest)
	assert.NilError(t, err)
	accepted.awaitBytes(t)
	time.Sleep(2 * timeout)
	l.resume()
	assertStatus(t, conn, http.StatusOK)
}
