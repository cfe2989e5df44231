package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// shortTimeout is a time limit that passes soon; tests that wait for it bound no time.
	shortTimeout = 100 * time.Millisecond

	// unreadPart is the number of bytes of a response that a caller leaves in the buffers of the system. It is more than
	// the buffer of a caller that asks for a small one.
	unreadPart = 128 << 10
)

type (
	// gatedListener hands the connections that it accepts to wrap.
	gatedListener struct {
		net.Listener
		wrap func(*net.TCPConn) net.Conn
	}

	// heldReadConn holds back the bytes of a read that has returned once held is set, as a goroutine without processor time
	// does.
	heldReadConn struct {
		*net.TCPConn
		taken chan struct{} // receives a value when a read has returned bytes
		pass  chan struct{} // a value lets the read return them
	}

	// lateReadConn lets its second read begin only once begin is closed, as in a process that was paused.
	lateReadConn struct {
		*net.TCPConn
		first *bool
		read  chan struct{} // closed when the first read has returned
		begin chan struct{}
	}
)

func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn.(*net.TCPConn)), nil
}

func (c heldReadConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.taken <- struct{}{}
		<-c.pass
	}
	return n, err
}

func (c lateReadConn) Read(p []byte) (int, error) {
	if *c.first {
		*c.first = false
		n, err := c.TCPConn.Read(p)
		close(c.read)
		return n, err
	}
	<-c.begin
	return c.TCPConn.Read(p)
}

// setLimits sets the limits of the configuration in force for the daemon's callers.
func (f *testFleet) setLimits(header, idle time.Duration) {
	f.control.mu.Lock()
	defer f.control.mu.Unlock()
	set := *f.control.set
	set.Limits.HeaderTimeout, set.Limits.IdleTimeout = header, idle
	f.control.set = &set
}

// serveBehind serves callers of the first daemon at another listener, and returns its address.
func (f *testFleet) serveBehind(limit int, wrap func(*net.TCPConn) net.Conn) (*Frontend, string) {
	f.t.Helper()
	original, listener := f.daemons[0].relay.Frontend, listen(f.t)
	frontend := &Frontend{
		Listener: gatedListener{listener, wrap}, Forwarder: original.Forwarder, Dialect: original.Dialect, Log: original.Log,
		Limits: original.Limits, BodyStall: original.BodyStall, WriteStall: original.WriteStall, Bodies: original.Bodies,
		KeptBody: original.KeptBody, MaxConnections: limit,
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go func() { _ = frontend.Run(ctx) }()
	return frontend, listener.Addr().String()
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

func get(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: shop.example\r\nId: %s\r\n\r\n", path, id)
}

// Guards against requests in progress that end without an answer because a later one on their connection does not arrive
// in time or is malformed.
func TestBrokenRequestCutsNoEarlierOne(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int // of the response to the later request
	}{
		"header": {"GET /open/echo HTTP/1.1\r\nHost: shop", http.StatusGatewayTimeout},
		"body":   {"POST /open/echo HTTP/1.1\r\nHost: shop.example\r\nId: late\r\nContent-Length: 9\r\n\r\npart", http.StatusGatewayTimeout},
		"chunks": {"POST /open/echo HTTP/1.1\r\nHost: shop.example\r\nId: late\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n", http.StatusBadRequest},
		"long": {
			"POST /open/echo HTTP/1.1\r\nHost: shop.example\r\nId: late\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 200_000),
			http.StatusBadGateway,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1, func(o *Options) {
				o.BodyStall = shortTimeout
				o.MemoryLimit = 128 << 10 * keptBodyDivisor
			})
			d := f.daemons[0]
			for _, route := range f.control.set.Routes {
				route.Deadline = time.Minute
			}
			f.setLimits(shortTimeout, time.Minute)
			conn := f.dial(d)
			write(t, conn, get("/open/hold", "early"))
			f.waitUntil("the early request runs", func() bool { return d.server.runs("early") == 1 })
			write(t, conn, c.text)
			time.Sleep(5 * shortTimeout)
			close(d.server.hold)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			assert.Equal(t, bodyOf(t, readResponse(t, conn.reader)), "held")
			late := readResponse(t, conn.reader)
			assert.Equal(t, late.StatusCode, c.status)
			assert.Assert(t, late.Close)
			_, err := conn.reader.ReadByte()
			assert.Equal(t, err, io.EOF)
		})
	}
}

// Guards against a response that is cut when the daemon drains, because a later request on its connection is being read
// at that moment: the connection was closed at once, and unread bytes of the later request reset it.
func TestLastResponseIsNotCutByLaterRequest(t *testing.T) {
	const size = 4 << 20
	for name, later := range map[string]string{
		"header": "GET /open/echo HTTP/1.1\r\nHost: shop",
		"body":   "POST /open/echo HTTP/1.1\r\nHost: shop.example\r\nId: late\r\nContent-Length: 20000\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1, func(o *Options) { o.Limits.BodySize, o.BodyStall = 2*size, time.Minute })
			f.setLimits(time.Minute, time.Minute) // the later request is not refused
			d := f.daemons[0]
			d.relay.Frontend.StartDraining()
			conn := f.dial(d)
			assert.NilError(t, conn.Conn.(*net.TCPConn).SetReadBuffer(16<<10))
			write(t, conn, get(fmt.Sprintf("/open/large?bytes=%d", size), "early")+later)
			response, err := http.ReadResponse(conn.reader, nil)
			assert.NilError(t, err)
			assert.Assert(t, response.Close)
			read := int64(0)
			for err == nil && read < size {
				_, _ = io.WriteString(conn, strings.Repeat("x", 1000)) // the caller goes on with the later request
				var n int64
				n, err = io.CopyN(io.Discard, response.Body, 64<<10)
				read += n
			}
			assert.Equal(t, read, int64(size), "%v", err)
		})
	}
}

// Guards against a request that is read and dropped: after the idle timeout the daemon went on reading before it closed
// the connection.
func TestIdleConnectionIsClosedUnread(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	f.setLimits(time.Second, shortTimeout)
	log := f.logCuts(d)
	for i := range 20 { // the requests cross the end of the connection at different moments
		conn := f.dial(d)
		assert.Equal(t, conn.send(fmt.Sprint("first", i), "/open/echo"), http.StatusOK)
		time.Sleep(shortTimeout + time.Duration(i)*time.Millisecond)
		_ = conn.send(fmt.Sprint("second", i), "/open/echo")
		_ = conn.Close()
	}
	f.waitUntil("the connections have ended", func() bool { return d.relay.Frontend.Connections() == 0 })
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, line := range log.lines {
		assert.Assert(t, line.Discarded == 0, "%+v", line)
	}
}

// Guards against a request that is read and dropped: its connection was closed to make room for another one before the
// reader had got to say that the request has arrived.
func TestEvictionDropsNoRequestThatWasRead(t *testing.T) {
	f := newTestFleet(t, 1)
	taken, pass := make(chan struct{}), make(chan struct{})
	held := 0
	frontend, address := f.serveBehind(1, func(conn *net.TCPConn) net.Conn {
		if held++; held > 1 {
			return conn
		}
		return heldReadConn{TCPConn: conn, taken: taken, pass: pass}
	})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	write(t, conn, get("/open/echo", "held"))
	<-taken
	other, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = other.Close() }()
	f.waitUntil("the connection is chosen to make room", func() bool {
		frontend.idle.mu.Lock()
		defer frontend.idle.mu.Unlock()
		return frontend.idle.conns.Len() == 0 || frontend.Connections() == 2
	})
	close(pass)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	assert.Equal(t, bodyOf(t, readResponse(t, bufio.NewReader(conn))), "held ")
}

// Guards against a connection that is closed to make room although a request waits on it: its reader had no processor
// time.
func TestEvictionClosesNoConnectionWithAnUnreadRequest(t *testing.T) {
	f := newTestFleet(t, 1)
	read := make(chan struct{})
	frontend, address := f.serveBehind(1, func(conn *net.TCPConn) net.Conn { return delayedConn{TCPConn: conn, read: read} })
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	write(t, conn, get("/open/echo", "unread"))
	f.waitUntil("the connection is open", func() bool { return frontend.Connections() == 1 })
	other, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = other.Close() }()
	f.waitUntil("the connection is chosen to make room", func() bool {
		frontend.idle.mu.Lock()
		defer frontend.idle.mu.Unlock()
		return frontend.idle.conns.Len() == 0 || frontend.Connections() == 2
	})
	close(read)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	assert.Equal(t, bodyOf(t, readResponse(t, bufio.NewReader(conn))), "unread ")
}

// Guards against a request that is cut off although all of it has arrived in time: a process that had been paused saw
// that the time was over before it saw the bytes.
func TestArrivedRequestIsReadAfterAPause(t *testing.T) {
	for name, parts := range map[string][2]string{
		"header": {"GET /open/echo HTTP/1.1\r\nHost: shop", ".example\r\nId: late\r\n\r\n"},
		"body": {
			"POST /open/echo HTTP/1.1\r\nHost: shop.example\r\nId: late\r\nContent-Length: 4\r\n\r\nha", "lf",
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			f.setLimits(shortTimeout, time.Minute)
			f.daemons[0].relay.Frontend.BodyStall = shortTimeout
			first, read, begin := true, make(chan struct{}), make(chan struct{})
			_, address := f.serveBehind(10, func(conn *net.TCPConn) net.Conn {
				return lateReadConn{TCPConn: conn, first: &first, read: read, begin: begin}
			})
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			write(t, conn, parts[0])
			<-read
			write(t, conn, parts[1])
			time.Sleep(2 * shortTimeout)
			close(begin)
			response := readResponse(t, bufio.NewReader(conn))
			assert.Equal(t, response.StatusCode, http.StatusOK)
		})
	}
}

// Guards against a request that ends without an answer because the daemon could not ask for its body: the time for the
// write of an earlier response was over.
func TestBodyIsAskedForOnAKeptConnection(t *testing.T) {
	f := newTestFleet(t, 1, func(o *Options) { o.WriteStall = shortTimeout })
	conn := f.dial(f.daemons[0])
	assert.Equal(t, conn.send("first", "/open/echo"), http.StatusOK)
	time.Sleep(2 * shortTimeout)
	write(t, conn, expecting)
	response, err := http.ReadResponse(conn.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusContinue)
	write(t, conn, "body")
	assert.Equal(t, bodyOf(t, readResponse(t, conn.reader)), "second body")
}

// Guards against an interim response that stands before, or within, the response to an earlier request.
func TestBodyIsAskedForBehindEarlierResponses(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	conn := f.dial(d)
	write(t, conn, get("/open/hold", "first"))
	f.waitUntil("the first request runs", func() bool { return d.server.runs("first") == 1 })
	write(t, conn, expecting)
	time.Sleep(shortTimeout)
	close(d.server.hold)
	first, err := http.ReadResponse(conn.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, first.StatusCode, http.StatusOK)
	assert.Equal(t, bodyOf(t, first), "held")
	asked, err := http.ReadResponse(conn.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, asked.StatusCode, http.StatusContinue)
	write(t, conn, "body")
	assert.Equal(t, bodyOf(t, readResponse(t, conn.reader)), "second body")
}

// expecting is the head of a request whose caller waits until it is asked for the body.
const expecting = "POST /open/echo HTTP/1.1\r\nHost: shop.example\r\nId: second\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"

// Guards against requests in progress that end without an answer because a later one on their connection causes a panic.
func TestPanicCutsNoEarlierRequest(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	conn := f.dial(d)
	write(t, conn, get("/open/hold", "early"))
	f.waitUntil("the early request runs", func() bool { return d.server.runs("early") == 1 })
	write(t, conn, "GET /open/echo HTTP/1.1\r\nHost: shop.example\r\nId: late\r\nPanic: decode\r\n\r\n")
	time.Sleep(shortTimeout)
	close(d.server.hold)
	assert.Equal(t, bodyOf(t, readResponse(t, conn.reader)), "held")
	late := readResponse(t, conn.reader)
	assert.Equal(t, late.Header.Get("Outcome"), "not-run")
	assert.Assert(t, late.Close)
}

// Guards against a response that is cut because its connection is closed with unread bytes: the reader had no processor
// time until the connection was to be read no longer.
func TestLastResponseIsNotCutByUnreadBytes(t *testing.T) {
	const size = 4 << 20
	f := newTestFleet(t, 1, func(o *Options) { o.Limits.BodySize = 2 * size })
	first, read, begin := true, make(chan struct{}), make(chan struct{})
	frontend, address := f.serveBehind(10, func(conn *net.TCPConn) net.Conn {
		return lateReadConn{TCPConn: conn, first: &first, read: read, begin: begin}
	})
	frontend.StartDraining()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(16<<10))
	write(t, conn, get(fmt.Sprintf("/open/large?bytes=%d", size), "early"))
	<-read
	write(t, conn, get("/open/echo", "late"))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	got, err := io.CopyN(io.Discard, response.Body, size-unreadPart)
	assert.NilError(t, err)
	f.waitUntil("the rest is in the buffers of the system", func() bool { return frontend.Active() == 0 })
	time.Sleep(2 * lingerTime)
	close(begin)
	time.Sleep(lingerTime) // a reset would arrive
	n, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, got+n, int64(size))
}

// Guards against a caller that sends whole requests before it reads the response to an earlier one, and waits for the
// daemon, which waits for the caller to read.
func TestRequestsAreReadWhileAResponseIsWritten(t *testing.T) {
	const size = 12 << 20 // more than the buffers of a connection hold
	for name, kept := range map[string]int64{"kept": 16 << 20, "long": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1, func(o *Options) {
				o.Limits.BodySize = 2 * size
				o.MemoryLimit = keptBodyDivisor * kept
				o.WriteStall = time.Minute
			})
			d := f.daemons[0]
			f.control.mu.Lock()
			for _, route := range f.control.set.Routes {
				route.Deadline = time.Minute
			}
			f.control.set.Limits.BodySize = 2 * size
			f.control.mu.Unlock()
			conn := f.dial(d)
			write(t, conn, get(fmt.Sprintf("/open/large?bytes=%d", size), "first"))
			_, err := conn.reader.Peek(1) // the response is being written
			assert.NilError(t, err)
			assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
			write(t, conn, get("/open/echo", "second"))
			write(t, conn, fmt.Sprintf("POST /open/slow?ms=0 HTTP/1.1\r\nHost: shop.example\r\nId: third\r\nContent-Length: %d\r\n\r\n", size))
			write(t, conn, strings.Repeat("x", size))
			first, err := http.ReadResponse(conn.reader, nil)
			assert.NilError(t, err)
			n, err := io.Copy(io.Discard, first.Body)
			assert.NilError(t, err)
			assert.Equal(t, n, int64(size))
			for range 2 {
				assert.Equal(t, readResponse(t, conn.reader).StatusCode, http.StatusOK)
			}
		})
	}
}

// Guards against a response that is cut because its caller, which has sent more, needs longer to accept it than the
// connection is read after the last response.
func TestLastResponseIsNotCutWhileItIsAccepted(t *testing.T) {
	const size = 4 << 20
	f := newTestFleet(t, 1, func(o *Options) { o.Limits.BodySize = 2 * size })
	d := f.daemons[0]
	d.relay.Frontend.StartDraining()
	conn := f.dial(d)
	assert.NilError(t, conn.Conn.(*net.TCPConn).SetReadBuffer(16<<10))
	write(t, conn, get(fmt.Sprintf("/open/large?bytes=%d", size), "early"))
	response, err := http.ReadResponse(conn.reader, nil)
	assert.NilError(t, err)
	got, err := io.CopyN(io.Discard, response.Body, size-unreadPart)
	assert.NilError(t, err)
	f.waitUntil("the rest is in the buffers of the system", func() bool { return d.relay.Frontend.Active() == 0 })
	time.Sleep(2 * lingerTime)
	write(t, conn, get("/open/echo", "late"))
	time.Sleep(lingerTime / 2) // a reset would arrive
	n, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, got+n, int64(size))
}
