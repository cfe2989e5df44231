package relay

import (
	"bufio"
	"bytes"
	"errors"
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

	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
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
		if size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64); err == nil {
			writePattern(conn, r, size)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nConnection: close\r\nContent-Length: 8\r\n\r\n%8d", r.Header.Get("Id"), n)
	})
	return f
}

// writePattern answers with a body of that many bytes: in chunks, with a length or up to the end of the stream. A body
// that is cut ends the connection after half of it.
func writePattern(conn net.Conn, r *http.Request, size int64) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nConnection: close\r\n", r.Header.Get("Id"))
	sent := &pattern{size: size}
	if r.URL.Query().Has("cut") {
		sent.size /= 2
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	switch r.URL.Query().Get("framing") {
	case "length":
		_, _ = fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n", size)
		_, _ = io.Copy(conn, sent)
	case "chunks":
		_, _ = io.WriteString(conn, "Transfer-Encoding: chunked\r\n\r\n")
		chunks := httputil.NewChunkedWriter(conn)
		_, _ = io.Copy(chunks, sent)
		if sent.size == size {
			_ = chunks.Close()
			_, _ = io.WriteString(conn, "\r\n")
		}
	case "unframed":
		_, _ = io.WriteString(conn, "\r\n")
		_, _ = io.Copy(conn, sent)
	}
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
		f.waitUntil("nothing is counted", func() bool { return d.relay.Memory.Used() == 0 })
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
		started, ended := make(chan struct{}, 10), make(chan error, 10)
		for i := range f.daemons {
			f.setEarly(i, func(_ net.Conn, r *http.Request) {
				started <- struct{}{}
				_, err := io.Copy(io.Discard, r.Body)
				ended <- err
			})
		}
		for _, chunked := range []bool{false, true} {
			conn, _, _ := f.send("r", "/once/x", io.MultiReader(&pattern{size: 12 << 20}, neverRead{}), longestBody, chunked)
			<-started
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
	const room = 8
	eachPath(t, func(t *testing.T, f *testFleet) {
		for _, d := range f.daemons {
			taken := budget.MemoryLimit(smallMemory) - room*streamReserve
			d.relay.Memory.Add(taken)
			defer d.relay.Memory.Release(taken)
		}
		read := make(chan struct{})
		for i := range f.daemons {
			f.setEarly(i, func(net.Conn, *http.Request) { <-read })
		}
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

// Guards against a machine with little memory that does not pass on a long response, although it has nothing else to do,
// and against parts of a response that are lost or mixed up.
func TestLongResponsesAreServed(t *testing.T) {
	eachPath(t, func(t *testing.T, f *testFleet) {
		for _, size := range []int64{1 << 20, 8 << 20, 12 << 20, 16 << 20, 33 << 20, longestBody} {
			for _, framing := range []string{"length", "chunks", "unframed"} {
				id := fmt.Sprint("r", size, framing)
				_, reader, _ := f.send(id, fmt.Sprintf("/once/x?bytes=%d&framing=%s", size, framing), &pattern{}, 0, false)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK, id)
				got := &pattern{}
				n, err := io.Copy(got, response.Body)
				assert.NilError(t, err)
				assert.Assert(t, n == size && !got.wrong, "%s: %d bytes", id, n)
			}
		}
	})
}

// Guards against a part of a long response that its caller takes for the whole one, against another response behind it,
// and against a second run for the same caller.
func TestLongResponseThatIsCut(t *testing.T) {
	eachPath(t, func(t *testing.T, f *testFleet) {
		for _, framing := range []string{"length", "chunks", "unframed"} {
			conn, reader, _ := f.send(framing, fmt.Sprintf("/open/x?cut&bytes=%d&framing=%s", longestBody/2, framing), &pattern{}, 0, false)
			_, err := io.WriteString(conn, "GET /open/x HTTP/1.1\r\nHost: shop.example\r\nId: next\r\n\r\n")
			assert.NilError(t, err)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			if response.StatusCode == http.StatusOK { // otherwise the cut was seen before any byte was passed on
				got := &pattern{}
				_, err := io.Copy(got, response.Body)
				assert.Assert(t, err != nil && !got.wrong, "%s: %d bytes taken for the whole", framing, got.offset)
				_, err = reader.ReadByte()
				assert.Assert(t, err != nil)
			}
		}
	})
}

// Guards against long responses that overtake earlier ones, and against a slow reader of one that is cut off at the
// deadline of its request.
func TestLongResponseWaitsForItsTurn(t *testing.T) {
	eachPath(t, func(t *testing.T, f *testFleet) {
		f.control.mu.Lock()
		for _, route := range f.control.set.Routes {
			route.Deadline = 1500 * time.Millisecond
		}
		f.control.mu.Unlock()
		conn, reader, _ := f.send("r0", "/once/x?bytes=33554432&framing=chunks", &pattern{}, 0, false)
		_, err := io.WriteString(conn, "GET /once/x?bytes=16777216&framing=length HTTP/1.1\r\nHost: shop.example\r\nId: r1\r\n\r\n")
		assert.NilError(t, err)
		for i, size := range []int64{32 << 20, 16 << 20} {
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, response.Header.Get("Id"), fmt.Sprint("r", i))
			got := &pattern{}
			for err == nil {
				_, err = io.CopyN(got, response.Body, size/16)
				time.Sleep(100 * time.Millisecond)
			}
			assert.Assert(t, errors.Is(err, io.EOF) && got.offset == size && !got.wrong, "%s: %d bytes, %v, %d %s", response.Header.Get("Id"), got.offset, err, response.StatusCode, response.Header.Get("Reason"))
		}
	})
}

// Guards against a daemon that sends more of a body than it may and so occupies memory, and against a part that is taken
// for the whole body after the sender has broken it off or paused without end.
func TestPartQueue(t *testing.T) {
	granted := 0
	q := newPartQueue(func(bytes int) { granted += bytes })
	assert.ErrorIs(t, q.push(&BodyPart{Body: []byte("x"), More: true}), errCreditExceeded)
	q.stall = time.Millisecond
	_, err := q.Read(make([]byte, 1))
	assert.ErrorIs(t, err, errPeerSilent)

	q = newPartQueue(func(bytes int) {
		granted = bytes
		go func() { _ = q.push(&BodyPart{Body: make([]byte, streamWindow), More: true}) }()
	})
	_, err = q.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Equal(t, granted, streamWindow)
	assert.ErrorIs(t, q.push(&BodyPart{Body: []byte("x"), More: true}), errCreditExceeded)
	assert.NilError(t, q.push(&BodyPart{Broken: true}))
	_, err = io.Copy(io.Discard, q)
	assert.ErrorIs(t, err, errBodyBroken)
}

// Guards against a part that is taken for the whole body, a second run and bodies that stay counted when the link between
// two daemons breaks, or the caller leaves, in the middle of a long body.
func TestLongBodyWhoseLinkBreaks(t *testing.T) {
	f := newLongFleet(t, 1)
	streams, peer := f.daemons[0].relay.PeerStreams, f.daemons[1].peerAddress
	started, ended := make(chan struct{}, 10), make(chan error, 10)
	f.setEarly(1, func(conn net.Conn, r *http.Request) {
		started <- struct{}{}
		_, err := io.Copy(io.Discard, r.Body)
		if r.URL.Query().Has("bytes") {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), longestBody)
			_, err = io.Copy(conn, &pattern{size: longestBody})
		}
		ended <- err
	})
	cut := func() {
		stream, err := streams.stream(t.Context(), peer)
		assert.NilError(t, err)
		stream.writer.close()
	}
	pipe, _ := io.Pipe() // the caller pauses
	_, reader, _ := f.send("r", "/open/x", io.MultiReader(&pattern{size: 12 << 20}, pipe), longestBody, false)
	<-started
	cut()
	assert.Equal(t, readResponse(t, reader).Header.Get("Outcome"), "unknown")
	assert.ErrorContains(t, <-ended, "unexpected EOF")
	for _, end := range []string{"link", "caller"} {
		conn, reader, _ := f.send(end, "/open/x?bytes=all", &pattern{}, 0, false)
		<-started
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.CopyN(io.Discard, response.Body, 1<<20)
		assert.NilError(t, err)
		if end == "caller" {
			assert.NilError(t, conn.Close())
		} else {
			cut()
			_, err = io.Copy(io.Discard, response.Body)
			assert.ErrorContains(t, err, "unexpected EOF")
		}
		assert.Assert(t, <-ended != nil, "the server has written all of it")
	}
	assert.Equal(t, len(started), 0, "no second run")
	f.checkBudget()
}

// Guards against a response that is given up although it could pass through, because other bodies leave no room to hold
// it.
func TestLongResponseWithoutRoomToHold(t *testing.T) {
	eachPath(t, func(t *testing.T, f *testFleet) {
		const room = 1 << 20
		for _, d := range f.daemons {
			taken := budget.MemoryLimit(smallMemory) - room
			d.relay.Memory.Add(taken)
			defer d.relay.Memory.Release(taken)
		}
		_, reader, _ := f.send("r", "/once/x?bytes=4194304&framing=chunks", &pattern{}, 0, false)
		assert.Equal(t, len(bodyOf(t, readResponse(t, reader))), 4<<20)
	})
}
