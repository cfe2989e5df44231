package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Guards against small bodies, which count nothing, that are given up or passed on in parts because long ones have used
// the budget.
func TestSmallBodiesNeedNoBudget(t *testing.T) {
	const limit = 1 << 20
	memory := budget.NewMemory(limit, nil)
	memory.Add(limit)
	body := &bodyBuffer{limit: limit, heldBody: heldBody{
		budget: budget.NewBytes(limit, memory), claim: budget.Claim{Spare: limit / heldResponseSpare},
	}}
	reader, err := strings.NewReader("some body"), error(nil)
	for err == nil {
		err = body.read(reader)
	}
	assert.Assert(t, errors.Is(err, io.EOF), err)
	assert.Equal(t, string(body.data), "some body")
}

// Guards against a body that is cut between daemons because its bytes arrive slowly and are held until they fill a part.
func TestSlowBodyIsSentAsItArrives(t *testing.T) {
	conn, peer := net.Pipe()
	defer func() { _ = peer.Close() }()
	writer := newFrameWriter(&link.Stream{Conn: conn}, nil)
	body, server := io.Pipe()
	credit, sent := newCreditCounter(), make(chan error, 1)
	credit.add(streamWindow)
	go func() { sent <- sendParts(writer, 8, credit, body) }()
	for n := range 3 {
		_, err := io.WriteString(server, "x")
		assert.NilError(t, err)
		for queued := 0; queued <= n; time.Sleep(time.Millisecond) {
			writer.mu.Lock()
			queued = len(writer.frames)
			writer.mu.Unlock()
		}
	}
	assert.NilError(t, server.Close())
	assert.NilError(t, <-sent)
}

// Guards against a request that is queued although enqueue reports that it was not, and against a queue that a single
// request never fits into.
func TestFullQueueTakesNothing(t *testing.T) {
	conn, peer := net.Pipe()
	defer func() { _ = peer.Close() }()
	writer := newFrameWriter(&link.Stream{Conn: conn}, nil)
	assert.Assert(t, writer.enqueue(0, wire.Frame{}))
	writer.size = maxQueuedBytes
	assert.Assert(t, !writer.enqueue(0, wire.Frame{}))
	assert.Equal(t, len(writer.frames), 1)
}

// Guards against a caller that keeps its connection open for ever after the last response, because the rest of its long
// body has arrived meanwhile.
func TestConnectionEndsAfterAnsweredLongBody(t *testing.T) {
	f := newLongFleet(t, 0)
	const size = 16 << 20
	conn, err := net.Dial("tcp", f.daemons[0].frontAddress)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /nowhere HTTP/1.1\r\nHost: shop.example\r\nId: r\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", size)
	assert.NilError(t, err)
	written := make(chan error, 1)
	go func() {
		_, err := io.CopyN(conn, &pattern{size: size}, size)
		written <- err
	}()
	answer, err := io.ReadAll(conn) // ends once the daemon closes its side
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 404 "), "%.60s", answer)
	assert.NilError(t, <-written)
	f.waitUntil("the connection has ended", func() bool { return f.daemons[0].relay.Frontend.Connections() == 0 })
}
