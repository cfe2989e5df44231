package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// panickingClock panics when it is read.
type panickingClock struct{ clock.Clock }

func (panickingClock) Now() time.Time { panic("request that causes a panic") }

// Guards against a message of another daemon that causes a panic and ends the process, and against bodies of the
// stream's requests that stay counted.
func TestPanicEndsPeerStream(t *testing.T) {
	memory := budget.NewMemory(1<<20, nil)
	backend := &LocalBackend{Bodies: budget.NewBytes(1<<20, memory)}
	server := &PeerServer{Clock: panickingClock{}, LocalBackend: backend, Log: zerolog.Nop(), MaxBody: 1 << 20, Memory: memory}
	sender, receiver := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.ServeStream(context.Background(), &link.Stream{Conn: receiver})
	}()
	incomplete := sendOf(1, "/once/echo")
	incomplete.Body, incomplete.More = make([]byte, 100), true
	assert.NilError(t, wire.WriteFrame(sender, kindSend, marshal(t, incomplete)))
	panics := sendOf(2, "/once/echo")
	panics.Body = make([]byte, 100)
	assert.NilError(t, wire.WriteFrame(sender, kindSend, marshal(t, panics)))
	_, err := sender.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the stream ends")
	<-served
	assert.Equal(t, memory.Used(), int64(0))
}
