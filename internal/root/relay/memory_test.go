package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
)

// Guards against request bodies that daemons send to one whose memory for callers is taken, and against such a request
// that is not reported as not run.
func TestBodyFromAnotherDaemonFindsNoRoom(t *testing.T) {
	const size = 2 * maxBodyPart // its parts follow the request
	f := newLongFleet(t, 1)
	full := f.daemons[1].relay.Memory
	taken := budget.MemoryLimit(smallMemory) - maxBodyPart - maxBodyPart/2
	full.Add(taken)
	_, reader, _ := f.send("refused", "/once/x", &pattern{size: size}, size, false)
	response := readResponse(t, reader)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Outcome"), "not-run")
	assert.Equal(t, f.daemons[1].server.runs("refused"), 0)
	full.Release(taken)
	_, reader, _ = f.send("served", "/once/x", &pattern{size: size}, size, false)
	assert.Equal(t, readResponse(t, reader).StatusCode, http.StatusOK)
	f.checkBudget()
}

// Guards against small bodies of requests sent ahead, which the budget for bodies does not count, that take memory without
// bound.
func TestSmallBodiesSentAheadAreBounded(t *testing.T) {
	const ahead, size, fit = 50, 40 << 10, 8
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	frontend := d.relay.Frontend
	frontend.Requests = budget.NewBytes(2*fit*(requestOverhead+freeBodySize), nil) // one address has half of it
	conn, err := net.Dial("tcp", d.frontAddress)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	body := strings.Repeat("x", size)
	go func() { // ends with the connection
		for n := range ahead {
			_, _ = fmt.Fprintf(conn, "POST /open/slow?ms=5 HTTP/1.1\r\nHost: shop.example\r\nId: r%d\r\nContent-Length: %d\r\n\r\n%s", n, size, body)
		}
	}()
	answered := make(chan int, 1)
	go func() { answered <- countAnswers(conn, ahead) }()
	for most := int64(0); ; most = max(most, frontend.active.Load()) {
		select {
		case n := <-answered:
			assert.Equal(t, n, ahead)
			assert.Assert(t, most <= fit+1, "%d requests in progress", most)
			return
		default:
			_ = f.request(d, fmt.Sprint("ordinary", most), "/open/echo", "", "")
		}
	}
}

// Guards against a response whose parts from another daemon are held and not counted, and against one that is copied for
// each of its parts.
func TestArrivingResponseCounts(t *testing.T) {
	const size = 1 << 20
	for name, told := range map[string]int64{"length": size, "earlier version": 0} {
		t.Run(name, func(t *testing.T) {
			held := int64(0)
			p := &pendingReply{arriving: func(bytes int64) { held += bytes }}
			p.expect(&Reply{Body: make([]byte, maxBodyPart), More: true, Length: told})
			for range size/maxBodyPart - 1 {
				p.add(&BodyPart{Body: make([]byte, maxBodyPart), More: true})
				assert.Equal(t, held, int64(cap(p.reply.Body)))
			}
			assert.Equal(t, len(p.reply.Body), size)
			assert.Assert(t, told == 0 || held == size)
		})
	}
}

// Guards against a response that goes on counting after it is complete, because a part arrives late.
func TestArrivingResponseEnds(t *testing.T) {
	memory := budget.NewMemory(1<<20, nil)
	arriving := &arrivingResponse{queued: newQueuedResponses(1<<20, memory), conn: &callerConn{}}
	arriving.add(1000)
	assert.Equal(t, memory.Used(), int64(1000))
	arriving.end()
	arriving.add(1000)
	assert.Equal(t, memory.Used(), int64(0))
}

// Guards against large bodies of requests of lower rank, or without a valid key, that take what is reserved.
func TestBodiesTakeReserve(t *testing.T) { checkReserve(t, 2*freeBodySize) }

// Guards against urgent requests that are refused because others have taken all that is not reserved, while the reserve
// is free.
func TestRequestsTakeReserve(t *testing.T) { checkReserve(t, freeBodySize/2) }

// checkReserve checks who finds room for a body of size bytes once all that is not reserved is taken.
func checkReserve(t *testing.T, size int) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	f.control.mu.Lock()
	for _, route := range f.control.set.Routes {
		if route.Prefix == "/once/" {
			route.Rank = 1
		}
	}
	f.control.mu.Unlock()
	limit := budget.MemoryLimit(d.relay.MemoryLimit)
	taken := limit - limit/8
	d.relay.Memory.Add(taken)
	body := strings.Repeat("x", size)
	for path, status := range map[string]int{
		"/open/echo":  http.StatusOK,
		"/once/echo":  http.StatusServiceUnavailable,
		"/keyed/echo": http.StatusServiceUnavailable,
	} {
		response := f.request(d, "r"+path, path, "", body)
		assert.Equal(t, response.StatusCode, status, path)
		if status != http.StatusOK {
			assert.Equal(t, response.Header.Get("Outcome"), "not-run", path)
		}
	}
	d.relay.Memory.Release(taken)
	f.checkBudget()
}

// Guards against the buffer of a body that arrives in parts from another daemon and takes more memory than is counted.
func TestIncompleteBodyCounts(t *testing.T) {
	backend := &LocalBackend{Bodies: budget.NewBytes(64<<20, nil)}
	p := &peerStreamServer{
		server: &PeerServer{LocalBackend: backend, MaxBody: 16 << 20}, incomplete: map[uint64]*incompleteRequest{},
	}
	send := sendOf(1, "/once/echo")
	send.Body, send.More = make([]byte, maxBodyPart), true
	p.receiveRequest(t.Context(), send)
	for range 16 {
		assert.NilError(t, p.handleBodyPart(t.Context(), &BodyPart{Number: 1, Body: make([]byte, maxBodyPart), More: true}))
		assert.Equal(t, backend.Bodies.Used(), int64(cap(send.Body)))
	}
	p.dropIncomplete(1)
	assert.Equal(t, backend.Bodies.Used(), int64(0))
}
