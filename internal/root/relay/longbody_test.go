package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

const (
	// smallMemory is the memory limit of the smallest machines that have to serve every legal body.
	smallMemory = 184 << 20

	longestBody = 64 << 20
)

// pattern is a body whose bytes differ, so that parts that are lost, repeated or mixed up are noticed. It reads as the
// rest of the body from offset, and checks what is written.
type pattern struct {
	offset, size int64
	wrong        bool
}

// patternBlock is repeated by a pattern. Its length is prime, so that no buffer holds a whole number of blocks.
var patternBlock = func() []byte {
	block := make([]byte, 65521)
	_, _ = rand.NewChaCha8([32]byte{}).Read(block)
	return block
}()

func (p *pattern) Read(to []byte) (int, error) {
	if p.offset == p.size {
		return 0, io.EOF
	}
	n := copy(to[:min(int64(len(to)), p.size-p.offset)], patternBlock[p.offset%int64(len(patternBlock)):])
	p.offset += int64(n)
	return n, nil
}

func (p *pattern) Write(from []byte) (int, error) {
	for rest := from; len(rest) > 0; {
		expected := patternBlock[p.offset%int64(len(patternBlock)):]
		n := min(len(rest), len(expected))
		p.wrong = p.wrong || !bytes.Equal(rest[:n], expected[:n])
		p.offset += int64(n)
		rest = rest[n:]
	}
	return len(from), nil
}

// newLongFleet starts two daemons with little memory that accept long bodies, with the server beside the daemon that
// is given. The server answers a request with the size of its body, and with a body of that many bytes if the path says
// so.
func newLongFleet(t *testing.T, serverOf int) *testFleet {
	f := newTestFleet(t, 2, func(o *Options) {
		o.MemoryLimit, o.Limits.BodySize = smallMemory, longestBody
	})
	f.control.mu.Lock()
	f.control.set.Limits.BodySize = longestBody
	for _, route := range f.control.set.Routes {
		route.Deadline = 20 * time.Second
	}
	f.control.list = []snap.Endpoint{f.control.list[serverOf]}
	f.control.mu.Unlock()
	f.setEarly(serverOf, func(conn net.Conn, r *http.Request) {
		got := &pattern{}
		n, err := io.Copy(got, r.Body)
		if err != nil || got.wrong {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nConnection: close\r\nContent-Length: 8\r\n\r\n%8d", r.Header.Get("Id"), n)
	})
	return f
}

// setEarly makes the server of a daemon answer each request with early.
func (f *testFleet) setEarly(daemon int, early func(net.Conn, *http.Request)) {
	server := f.daemons[daemon].server
	server.mu.Lock()
	defer server.mu.Unlock()
	server.early = early
}

// send sends a request with a body to the first daemon, in chunks or with a length. The channel is closed once the body is
// sent.
func (f *testFleet) send(id, path string, body io.Reader, size int64, chunked bool) (net.Conn, *bufio.Reader, <-chan struct{}) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.daemons[0].frontAddress)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	framing := "Content-Length: " + strconv.FormatInt(size, 10)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nId: %s\r\nLeft: 20s\r\n%s\r\n\r\n", path, id, framing)
	assert.NilError(f.t, err)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if !chunked {
			_, _ = io.Copy(conn, body)
			return
		}
		chunks := httputil.NewChunkedWriter(conn)
		if _, err := io.Copy(chunks, body); err == nil {
			_ = chunks.Close()
			_, _ = io.WriteString(conn, "\r\n")
		}
	}()
	return conn, bufio.NewReader(conn), sent
}

// checkBudget checks that the bodies of all daemons have stopped counting.
func (f *testFleet) checkBudget() {
	f.t.Helper()
	for _, d := range f.daemons {
		f.waitUntil("nothing is counted", func() bool { return d.relay.Frontend.Bodies.used.Load() == 0 })
	}
}

// eachPath runs the test with the server beside the daemon of the caller, and beside another one.
func eachPath(t *testing.T, run func(t *testing.T, f *testFleet)) {
	for serverOf, name := range []string{"same daemon", "two daemons"} {
		t.Run(name, func(t *testing.T) {
			f := newLongFleet(t, serverOf)
			run(t, f)
			f.checkBudget()
		})
	}
}

// Guards against a machine with little memory that refuses a body inside the configured limit, although it has nothing
// else to do, and against parts of a body that are lost or mixed up.
func TestLongRequestBodiesAreServed(t *testing.T) {
	eachPath(t, func(t *testing.T, f *testFleet) {
		for _, size := range []int64{1 << 20, 8 << 20, 12 << 20, 16 << 20, 33 << 20, longestBody} {
			for _, chunked := range []bool{false, true} {
				id := fmt.Sprint("r", size, chunked)
				_, reader, _ := f.send(id, "/once/x", &pattern{size: size}, size, chunked)
				response := readResponse(t, reader)
				assert.Equal(t, response.StatusCode, http.StatusOK, id)
				assert.Equal(t, bodyOf(t, response), fmt.Sprintf("%8d", size))
			}
		}
	})
}

// Guards against an answer that is lost because the server sends it before it has read a long body, and against the rest
// of that body being taken for the next request.
func TestLongBodyIsAnsweredEarly(t *testing.T) {
	eachPath(t, func(t *testing.T, f *testFleet) {
		answer := func(conn net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 413 Long\r\nId: %s\r\nSeal: s\r\nContent-Length: 5\r\n\r\nearly", r.Header.Get("Id"))
			time.Sleep(50 * time.Millisecond) // the response is read before the connection is reset
		}
		f.setEarly(0, answer)
		f.setEarly(1, answer)
		for _, chunked := range []bool{false, true} {
			conn, reader, sent := f.send("early", "/once/x", &pattern{size: longestBody / 4}, longestBody/4, chunked)
			assert.Equal(t, bodyOf(t, readResponse(t, reader)), "early")
			<-sent
			_, err := io.WriteString(conn, "GET /nowhere HTTP/1.1\r\nHost: shop.example\r\nId: next\r\n\r\n")
			assert.NilError(t, err)
			assert.Equal(t, readResponse(t, reader).Header.Get("Reason"), "no-route")
		}
	})
}

// Guards against a second run of a request whose body was passed on, and against reporting that it has not run.
func TestLongBodyIsSentOnce(t *testing.T) {
	eachPath(t, func(t *testing.T, f *testFleet) {
		runs := make(chan struct{}, 10)
		for i := range f.daemons {
			f.setEarly(i, func(_ net.Conn, r *http.Request) {
				_, _ = io.CopyN(io.Discard, r.Body, 10<<20)
				runs <- struct{}{}
			})
		}
		_, reader, _ := f.send("r", "/open/x", &pattern{size: longestBody}, longestBody, false)
		assert.Equal(t, readResponse(t, reader).Header.Get("Outcome"), "unknown")
		assert.Equal(t, len(runs), 1)
	})
}

// Guards against a server that takes a part of a body for the whole one because its caller has left, and against
// treating that server as lost. Also guards against a body without an end.
func TestLongBodyThatIsBrokenOff(t *testing.T) {
	eachPath(t, func(t *testing.T, f *testFleet) {
		ended := make(chan error, 10)
		for i := range f.daemons {
			f.setEarly(i, func(_ net.Conn, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				ended <- err
			})
		}
		for _, chunked := range []bool{false, true} {
			conn, _, _ := f.send("r", "/once/x", io.MultiReader(&pattern{size: 12 << 20}, neverRead{}), longestBody, chunked)
			time.Sleep(50 * time.Millisecond)
			assert.NilError(t, conn.Close())
			assert.ErrorContains(t, <-ended, "unexpected EOF")
		}
		_, reader, _ := f.send("r", "/once/x", &pattern{size: 2 * longestBody}, -1, true)
		response := readResponse(t, reader)
		assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
		assert.Equal(t, response.Header.Get("Outcome"), "unknown")
		for _, d := range f.daemons {
			assert.Equal(t, d.relay.LocalBackend.current.unanswered, 0)
		}
	})
}

// neverRead is a reader that ends at once with an error.
type neverRead struct{}

func (neverRead) Read([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against a full server or an exhausted budget that costs a long request its only attempt, and against a daemon
// that exceeds its memory because many long bodies arrive at once.
func TestLongBodiesWithoutRoomAreNotRun(t *testing.T) {
	eachPath(t, func(t *testing.T, f *testFleet) {
		for _, d := range f.daemons {
			assert.Assert(t, d.relay.Frontend.Bodies.take(20<<20))
			defer d.relay.Frontend.Bodies.release(20 << 20)
		}
		read := make(chan struct{})
		for i := range f.daemons {
			f.setEarly(i, func(net.Conn, *http.Request) { <-read })
		}
		room := int((smallMemory/bodyBudgetDivisor - 20<<20) / streamReserve)
		refused := 0
		var readers []*bufio.Reader
		for i := range 20 {
			_, reader, _ := f.send(fmt.Sprint("r", i), "/once/x", &pattern{size: 12 << 20}, 12<<20, false)
			readers = append(readers, reader)
		}
		time.AfterFunc(2*time.Second, func() { close(read) })
		for _, reader := range readers {
			response, err := http.ReadResponse(reader, nil)
			if err != nil { // the daemon has closed the connection before the caller has sent the body
				refused++
				continue
			}
			if response.Header.Get("Outcome") == "not-run" {
				assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
				assert.Assert(t, response.Header.Get("After") != "0s")
				refused++
			}
		}
		assert.Assert(t, refused >= 20-room && refused < 20, "%d of 20 refused, room for %d", refused, room)
	})
}

// Guards against a daemon of an earlier version that holds a long body whole, and ends all requests of its sender when
// it is too long.
func TestLongBodyIsNotSentToEarlierVersion(t *testing.T) {
	f := newLongFleet(t, 1)
	first := f.daemons[0]
	stream, err := first.relay.PeerStreams.stream(t.Context(), f.daemons[1].peerAddress)
	assert.NilError(t, err)
	stream.handlePong(&Pong{})
	_, reader, _ := f.send("r", "/once/x", &pattern{size: 12 << 20}, 12<<20, false)
	response := readResponse(t, reader)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Outcome"), "not-run")
}
