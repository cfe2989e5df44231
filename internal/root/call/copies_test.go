package call

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
)

type (
	// copyTime says when a copyingServer sends a second copy of a response.
	copyTime int

	// copyingServer is a backend server that sends some of its responses twice on the same connection.
	copyingServer struct {
		when           copyTime
		returnsAttempt bool
		padding        string // added to the body of a copy
		requests       atomic.Int64
	}
)

const (
	copyAtOnce         copyTime = iota
	copyLate                    // copyDelay after the response
	copyBeforeResponse          // in front of the response to the next request
	copyAfterRequest            // copyDelay after the next request, whose response comes later
)

const (
	copyDelay = 4 * time.Millisecond

	// copyEvery is the number of requests of which one is answered twice.
	copyEvery = 3
)

func (s *copyingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(conn, text)
	}
	pending := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if pending != "" && s.when == copyAfterRequest {
			time.Sleep(copyDelay)
		}
		write(pending)
		if pending != "" && s.when == copyAfterRequest {
			time.Sleep(copyDelay)
		}
		pending = ""
		path := strings.TrimPrefix(request.URL.Path, "/get/")
		write(s.response(request, path))
		if s.requests.Add(1)%copyEvery == 0 {
			duplicate := s.response(request, path+s.padding)
			switch s.when {
			case copyAtOnce:
				write(duplicate)
			case copyLate:
				time.AfterFunc(copyDelay, func() { write(duplicate) })
			case copyBeforeResponse, copyAfterRequest:
				pending = duplicate
			}
		}
		if request.Close {
			time.Sleep(2 * copyDelay) // a late copy is sent on the open connection
			return
		}
	}
}

func (s *copyingServer) response(request *http.Request, body string) string {
	header := ""
	if s.returnsAttempt {
		header = "Buckthorn-Attempt: " + request.Header.Get("Buckthorn-Attempt") + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// Guards against a caller that gets the response to another request: a backend server sends a second copy of a
// response on a connection that is in use again.
func TestCopiesOfResponses(t *testing.T) {
	for _, returnsAttempt := range []bool{false, true} {
		for when, name := range map[copyTime]string{
			copyAtOnce: "at once", copyLate: "late", copyBeforeResponse: "before the next response", copyAfterRequest: "after the next request",
		} {
			for _, padding := range []string{"", "x", "longer copy of the response"} {
				t.Run(fmt.Sprintf("%s/%v/%d", name, returnsAttempt, len(padding)), func(t *testing.T) {
					t.Parallel()
					testCopiesOfResponses(t, &copyingServer{when: when, returnsAttempt: returnsAttempt, padding: padding})
				})
			}
		}
	}
}

func testCopiesOfResponses(t *testing.T, server *copyingServer) {
	f := newFleet(t, 2, clock.Real{}, readerRules)
	listener := listen(t)
	t.Cleanup(func() { _ = listener.Close() })
	f.register(1, "reader", 100, listener.Addr().String(), server.returnsAttempt)
	go acceptEach(listener, server.serve)
	const callers, requests = 4, 60
	var group sync.WaitGroup
	var served atomic.Int64
	for caller := range callers {
		group.Go(func() {
			for n := range requests {
				path := fmt.Sprintf("%d-%d", caller, n)
				got := f.request(0, "GET", "/get/"+path, "")
				if got.err != nil || got.StatusCode != http.StatusOK {
					continue
				}
				served.Add(1)
				assert.Check(t, got.body == path, "request %s got the response %q", path, got.body)
			}
		})
	}
	group.Wait()
	// A server whose first copy has been seen gets each request on a connection of its own, so that its other
	// responses still reach their callers.
	assert.Check(t, served.Load() >= callers*requests*9/10, "%d requests served", served.Load())
}

func acceptEach(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// Guards against a caller's connection that closes without a response when the body of the backend server's
// response cannot be read and none of it has been passed on.
func TestBodyThatCannotBeRead(t *testing.T) {
	for name, body := range map[string]string{
		"chunk size without end":      strings.Repeat("0", 64<<10),
		"chunk extension without end": "5;" + strings.Repeat("x", 64<<10),
		"no chunk size":               "what is this\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, clock.Real{}, readerRules)
			rawBackend(t, f, 1, func(conn net.Conn, request *http.Request) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+body)
				request.Close = true
			})
			got := f.request(0, "POST", "/once", "", "Buckthorn-Key: "+goodKey)
			assert.NilError(t, got.err)
			assert.Equal(t, got.StatusCode, http.StatusBadGateway, "%v", got.Header)
			assert.Equal(t, got.Header.Get(HeaderOutcome), "unknown")
		})
	}
}

// Guards against a head without end that occupies the daemon's memory or the caller until the deadline.
func TestHeadWithoutEnd(t *testing.T) {
	for name, part := range map[string]string{
		"status line": strings.Repeat("x", 1024),
		"field":       "X: " + strings.Repeat("x", 1024),
		"fields":      "X: x\r\n",
		"interim":     "HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, clock.Real{}, readerRules)
			var written atomic.Int64
			rawBackend(t, f, 1, func(conn net.Conn, request *http.Request) {
				if name != "interim" && name != "status line" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
				}
				for {
					n, err := io.WriteString(conn, part)
					written.Add(int64(n))
					if err != nil {
						request.Close = true
						return
					}
				}
			})
			got := f.request(0, "POST", "/once", "", "Buckthorn-Key: "+goodKey)
			assert.NilError(t, got.err)
			assert.Equal(t, got.StatusCode, http.StatusBadGateway, "%v", got.Header)
			assert.Equal(t, got.Header.Get(HeaderOutcome), "unknown")
		})
	}
}
