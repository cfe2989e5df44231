package call

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
)

const readerRules = `service reader slots=100 connections=200
route GET /get/{id...} service=reader access=open run=idempotent importance=normal deadline=1m
route GET /getonce service=reader access=open run=once importance=normal deadline=1m
route POST /once service=reader access=keyed run=once importance=normal deadline=1m
route PUT /put service=reader access=open run=idempotent importance=normal deadline=1m
`

// Guards against responses that are mixed up between concurrent calls or are incomplete.
func TestConcurrentResponses(t *testing.T) {
	f := newFleet(t, 3, clock.Real{}, readerRules)
	for i := range 3 {
		f.serve(i, "reader", 100, func(w http.ResponseWriter, r *http.Request) {
			id := strings.TrimPrefix(r.URL.Path, "/get/")
			n, _ := strconv.Atoi(id)
			time.Sleep(time.Duration(n*7919%13) * time.Millisecond) // so that responses are sent in another order than requests arrive
			for range 100 {
				_, _ = io.WriteString(w, strings.Repeat(id+",", 10*(n%50)))
			}
		})
	}
	var group sync.WaitGroup
	for n := range 300 {
		group.Go(func() {
			got := f.request(n%3, "GET", fmt.Sprintf("/get/%d", n), "")
			assert.Check(t, got.err == nil && got.StatusCode == 200, "%d: %v", n, got.err)
			assert.Check(t, got.body == strings.Repeat(fmt.Sprintf("%d,", n), 1000*(n%50)), "response of %d", n)
		})
		if n%50 == 49 {
			group.Wait()
		}
	}
}

// rawBackend starts a backend server whose handle function writes raw bytes to the connection.
func rawBackend(t *testing.T, f *fleet, i int, handle func(conn net.Conn, request *http.Request)) {
	listener := listen(t)
	t.Cleanup(func() { _ = listener.Close() })
	f.register(i, "reader", 100, listener.Addr().String())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					handle(conn, request)
					if request.Close {
						return
					}
				}
			}()
		}
	}()
}

// Guards against a response that ended early, or may have, and looks complete to the caller.
func TestTruncatedResponse(t *testing.T) {
	for name, raw := range map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
		"no body":     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
		"chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"half chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nshort",
		"no trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n5\r\nshort\r\n0\r\n",
		"no length":   "HTTP/1.0 200 OK\r\n\r\nshort",
		"half header": "HTTP/1.1 200 OK\r\nContent-",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, clock.Real{}, readerRules)
			rawBackend(t, f, 1, func(conn net.Conn, request *http.Request) {
				_, _ = io.WriteString(conn, raw)
				request.Close = true
			})
			got := f.request(0, "POST", "/once", "", "Buckthorn-Key: "+goodKey)
			assert.Assert(t, got.err != nil || got.StatusCode == 502 && got.Header.Get(HeaderOutcome) == "unknown")
		})
	}
}

// Guards against the loss of trailers and header fields, and against header fields of this system that a
// backend server sets.
func TestHeadersAndTrailers(t *testing.T) {
	f := newFleet(t, 2, clock.Real{}, readerRules)
	f.serve(1, "reader", 10, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", "Sum, Buckthorn-Outcome")
		w.Header().Set(HeaderReason, "forged")
		w.Header().Set("buckthorn_replay", "forged")
		w.Header().Add("Set-Cookie", "a")
		w.Header().Add("Set-Cookie", "b")
		_, _ = io.WriteString(w, "body")
		w.Header().Set("Sum", "42")
		w.Header().Set(HeaderOutcome, "not-run")
	})
	got := f.request(0, "GET", "/get/1", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "body")
	assert.DeepEqual(t, got.Header["Set-Cookie"], []string{"a", "b"})
	assert.DeepEqual(t, map[string][]string(got.Trailer), map[string][]string{"Sum": {"42"}})
	for name := range got.Header {
		assert.Assert(t, !strings.HasPrefix(canonicalName(name), headerPrefix), name)
	}
}

// Guards against a second execution when the connection breaks after the request was received: net/http, the
// daemon, and the caller may each retry.
func TestAtMostOnce(t *testing.T) {
	for _, request := range [][2]string{{"GET", "/getonce"}, {"POST", "/once"}} {
		f := newFleet(t, 2, clock.Real{}, readerRules)
		var runs atomic.Int64
		rawBackend(t, f, 1, func(conn net.Conn, r *http.Request) {
			// The first response leaves an idle connection; net/http retries requests on such a connection.
			if r.URL.Path == "/get/warm" {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return
			}
			runs.Add(1)
			r.Close = true
		})
		warm := f.request(0, "GET", "/get/warm", "")
		assert.NilError(t, warm.err)
		f.nodes[0].control.once = &state.OnceBegun{}
		got := f.request(0, request[0], request[1], "", "Buckthorn-Key: "+goodKey, "Idempotency-Key: i", "X-Idempotency-Key: i")
		assert.NilError(t, got.err)
		assert.Equal(t, got.Header.Get(HeaderOutcome), "unknown")
		assert.Equal(t, runs.Load(), int64(1))
		assert.Equal(t, f.nodes[0].control.finished[0].Outcome, state.Unknown)
	}
}

// Guards against the outcome not-run for a request of which an earlier attempt may have run.
func TestUnknownStaysUnknown(t *testing.T) {
	f := newFleet(t, 3, clock.Real{}, readerRules)
	for i := range 2 {
		f.serve(i+1, "reader", 10, func(http.ResponseWriter, *http.Request) {
			f.nodes[1].server.leaving.Store(true)
			f.nodes[2].server.leaving.Store(true)
			panic(http.ErrAbortHandler)
		})
	}
	got := f.request(0, "GET", "/get/1", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.Header.Get(HeaderOutcome), "unknown")
	assert.Equal(t, got.Header.Get(HeaderReason), "backend-lost")
}

// Guards against a download that is resumed with the bytes of another representation, and against one that is
// not resumed.
func TestResume(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	file := make([]byte, 600<<10)
	for i := range file {
		file[i] = byte(random.Uint32())
	}
	for _, other := range []string{`"v1"`, `"v2"`} {
		f := newFleet(t, 3, clock.Real{}, readerRules)
		var broken atomic.Bool
		for i := range 2 {
			f.serve(i+1, "reader", 10, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("ETag", `"v1"`)
				w.Header().Set("Accept-Ranges", "bytes")
				if !broken.Swap(true) {
					w.Header().Set("Content-Length", strconv.Itoa(len(file)))
					_, _ = w.Write(file[:200<<10])
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("ETag", other)
				http.ServeContent(w, r, "", time.Time{}, strings.NewReader(string(file)))
			})
		}
		got := f.request(0, "GET", "/get/file", "")
		if other == `"v2"` {
			assert.Assert(t, got.err != nil)
			continue
		}
		assert.NilError(t, got.err)
		assert.Assert(t, got.body == string(file))
	}
}

// Guards against a backend server that continues to work after the caller has gone, in each phase of a call.
func TestCallerLeaves(t *testing.T) {
	for _, phase := range []string{"dispatched", "uploading", "downloading"} {
		t.Run(phase, func(t *testing.T) {
			f := newFleet(t, 2, clock.Real{}, readerRules)
			entered, left := make(chan struct{}), make(chan struct{})
			f.serve(1, "reader", 10, func(w http.ResponseWriter, r *http.Request) {
				close(entered)
				switch phase {
				case "uploading":
					_, err := io.Copy(io.Discard, r.Body)
					assert.Check(t, err != nil)
					close(left) // net/http does not cancel the request's context before the body has ended
					return
				case "downloading":
					block := make([]byte, 64<<10)
					for {
						if _, err := w.Write(block); err != nil {
							break
						}
					}
				}
				<-r.Context().Done()
				close(left)
			})
			ctx, leave := context.WithCancel(context.Background())
			method, target := "GET", "/get/1"
			var body io.Reader
			if phase == "uploading" {
				reader, writer := io.Pipe()
				method, target, body = "PUT", "/put", reader
				stop := context.AfterFunc(ctx, func() { _ = writer.CloseWithError(context.Canceled) })
				defer stop()
				go func() { _, _ = writer.Write(make([]byte, 200<<10)) }()
			}
			request, err := http.NewRequestWithContext(ctx, method, "http://"+f.nodes[0].Ingress.Addr().String()+target, body)
			assert.NilError(t, err)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				if response, err := testClient.Do(request); err == nil {
					_, _ = io.ReadFull(response.Body, make([]byte, 1<<20))
					leave()
					_ = response.Body.Close()
				}
			}()
			<-entered
			if phase != "downloading" {
				leave()
			}
			<-left
			<-ended
			f.nodes[1].server.calls.waitIdle() // the slot has been released
			leave()
		})
	}
}

// Guards against a deadlock when a daemon refuses a call with a body to its local backend server, and against
// the loss of large bodies.
func TestBodies(t *testing.T) {
	for _, size := range []int{0, 1, 50 << 10, prefixSize, prefixSize + 1, 200 << 10, 900 << 10} {
		f := newFleet(t, 2, clock.Real{}, readerRules)
		f.serve(0, "reader", 10, func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex() // writes the response while it reads the body
			n, err := io.Copy(w, r.Body)
			assert.Check(t, err == nil && n == int64(size))
		})
		body := strings.Repeat("b", size)
		for i := range 2 { // at the daemon of the backend server, and through another daemon
			got := f.request(i, "PUT", "/put", body, "Expect: 100-continue")
			assert.NilError(t, got.err)
			assert.Assert(t, got.body == body, "%d bytes at daemon %d", size, i)
		}
		f.nodes[0].server.leaving.Store(true)
		for i := range 2 {
			got := f.request(i, "PUT", "/put", body)
			assert.NilError(t, got.err)
			assert.Equal(t, got.Header.Get(HeaderReason), "draining")
		}
	}
}

// deadlineWriter counts the write deadlines that are set.
type deadlineWriter struct {
	http.ResponseWriter
	deadlines int
}

func (w *deadlineWriter) SetWriteDeadline(time.Time) error {
	w.deadlines++
	return nil
}

// Guards against a response in chunks without its end, and so a connection that breaks off after a complete response,
// because the server pauses before the end for longer than a caller may take to accept a byte.
func TestEndOfResponseHasItsOwnTime(t *testing.T) {
	w := &deadlineWriter{ResponseWriter: httptest.NewRecorder()}
	out := newStreamingSink(w, time.Nanosecond)
	assert.NilError(t, out.start(&ResponseHead{Status: http.StatusOK, ContentLength: -1}))
	assert.Equal(t, w.deadlines, 1)
	time.Sleep(time.Millisecond) // the pause of the server
	assert.NilError(t, out.end(nil))
	assert.Equal(t, w.deadlines, 2)
}
