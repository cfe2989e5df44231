package relay

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pausingProxy forwards connections to one address and can stop the bytes in both directions for a while, as a
// network that is cut or a process that is paused.
type pausingProxy struct {
	listener net.Listener
	target   string
	passing  sync.RWMutex // held while the proxy is paused
}

func newPausingProxy(t testing.TB, target string) *pausingProxy {
	p := &pausingProxy{listener: listen(t), target: target}
	go func() {
		for {
			conn, err := p.listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *pausingProxy) serve(conn net.Conn) {
	p.passing.RLock()
	onward, err := net.Dial("tcp", p.target)
	p.passing.RUnlock()
	if err != nil {
		_ = conn.Close()
		return
	}
	go p.copy(onward, conn)
	p.copy(conn, onward)
}

func (p *pausingProxy) copy(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		p.passing.RLock()
		_, writeErr := to.Write(buf[:n])
		p.passing.RUnlock()
		if err != nil || writeErr != nil {
			return
		}
	}
}

// pauseFor stops the bytes for a time.
func (p *pausingProxy) pauseFor(d time.Duration) {
	p.passing.Lock()
	time.AfterFunc(d, p.passing.Unlock)
}

// reachThroughProxy makes the server of one daemon reachable only through a proxy.
func (f *testFleet) reachThroughProxy(d *testDaemon) *pausingProxy {
	proxy := newPausingProxy(f.t, d.peerAddress)
	f.control.mu.Lock()
	defer f.control.mu.Unlock()
	f.control.version++
	for i := range f.control.list {
		if f.control.list[i].Daemon == d.peerAddress {
			f.control.list[i].Daemon = proxy.listener.Addr().String()
		}
	}
	return proxy
}

// Guards against running work that is given up, or started again elsewhere, because the daemon next to its server
// is silent for a while.
func TestWaitsForSilentDaemon(t *testing.T) {
	for _, prefix := range []string{"/once/", "/open/"} {
		t.Run(prefix, func(t *testing.T) {
			f := newTestFleet(t, 2)
			f.control.mu.Lock()
			for _, route := range f.control.set.Routes {
				route.Deadline = 10 * time.Second // far beyond the silence, so that only the silence can end a request
			}
			f.control.mu.Unlock()
			front, remote := f.daemons[0], f.daemons[1]
			proxy := f.reachThroughProxy(remote)
			assert.NilError(t, f.control.Leave(t.Context(), front.server.listener.Addr().String()))
			const requests = 4
			statuses := make(chan int, requests)
			for i := range requests {
				go func() {
					statuses <- f.request(front, fmt.Sprint("r", i), prefix+"slow?ms=300", "", "").StatusCode
				}()
			}
			f.waitUntil("all requests have reached the remote daemon", func() bool {
				_, running, waiting := remote.relay.LocalBackend.Status()
				return running+waiting+len(statuses) == requests
			})
			proxy.pauseFor(peerTimeout + 3*pingInterval/2)
			for range requests {
				status := <-statuses
				assert.Check(t, status == 200 || status == 503, "status %d", status) // the two slots may be refused to two of them
			}
			for i := range requests {
				id := fmt.Sprint("r", i)
				assert.Check(t, front.server.runs(id)+remote.server.runs(id) <= 1, id)
			}
		})
	}
}

// Guards against requests that are sent to a silent daemon although others could serve them, and against
// idempotent requests that wait for it until their deadline.
func TestSilentDaemonIsAvoided(t *testing.T) {
	f := newTestFleet(t, 3)
	front, remote := f.daemons[0], f.daemons[1]
	proxy := f.reachThroughProxy(remote)
	assert.NilError(t, f.control.Leave(t.Context(), front.server.listener.Addr().String()))
	reachedRemote := false
	for i := 0; !reachedRemote; i++ {
		assert.Assert(t, i < 100, "the remote server gets no request")
		f.request(front, fmt.Sprint("w", i), "/open/echo", "", "")
		reachedRemote = remote.server.runs(fmt.Sprint("w", i)) > 0
	}
	proxy.pauseFor(5 * time.Second)
	for i := range 20 {
		assert.Equal(t, f.request(front, fmt.Sprint("r", i), "/open/slow?ms=10", "", "").StatusCode, 200)
	}
}
