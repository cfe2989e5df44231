package call

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// blockedStream is a stream whose window stays closed and whose peer closes its side when a write blocks.
type blockedStream struct {
	net.Conn
	sent    io.Reader
	waiting chan struct{}
	ended   chan struct{}
	end     sync.Once
}

func (s *blockedStream) Read(p []byte) (int, error) {
	if n, _ := s.sent.Read(p); n > 0 {
		return n, nil
	}
	<-s.waiting
	return 0, io.EOF
}

func (s *blockedStream) Write([]byte) (int, error) {
	close(s.waiting)
	<-s.ended
	return 0, io.ErrClosedPipe
}

func (s *blockedStream) SetWriteDeadline(time.Time) error {
	s.end.Do(func() { close(s.ended) })
	return nil
}

func (*blockedStream) Close() error { return nil }

// Guards against a response that occupies its slot forever because the daemon that receives it has closed its
// side without reading.
func TestReaderGone(t *testing.T) {
	f := newFleet(t, 1, clock.Real{}, readerRules)
	f.serve(0, "reader", 1, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20)) })
	endpoint := f.lists["reader"].Instances[0]
	var sent bytes.Buffer
	head := &RequestHead{
		RequestID: "r", Instance: endpoint.ID, Incarnation: endpoint.Incarnation, Method: "GET", Target: "/", Timeout: time.Hour,
	}
	assert.NilError(t, wire.WriteMessage(&sent, kindRequestHead, head))
	assert.NilError(t, wire.WriteFrame(&sent, kindDataEnd, nil))
	stream := &blockedStream{sent: &sent, waiting: make(chan struct{}), ended: make(chan struct{})}
	f.nodes[0].ServeStream(context.Background(), &link.Stream{Conn: stream}) // returns
	assert.Equal(t, f.nodes[0].handler.backends.byID[endpoint.ID].limiter.Load(time.Now()).InFlight, 0)
}

// Guards against retries that are spent twice: by the sending daemon, to which the head of the parent's
// response returned them, and by a nested call that starts after that.
func TestRetriesReturnedOnce(t *testing.T) {
	f := newFleet(t, 1, clock.Real{}, `service front slots=10 connections=50
service back slots=10 connections=50
route GET /front service=front access=open run=idempotent importance=normal deadline=1m retries=2
route GET /back service=back access=open run=idempotent importance=normal deadline=1m retries=2
`)
	var sends atomic.Int64
	read := make(chan struct{})
	f.serve(0, "front", 10, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "x")
		_ = http.NewResponseController(w).Flush()
		<-read
		sendNested(f.nodes[0], r, "GET", "/back")
	})
	f.serve(0, "back", 10, func(w http.ResponseWriter, _ *http.Request) {
		sends.Add(1)
		w.WriteHeader(503)
	})
	response, err := testClient.Get("http://" + f.nodes[0].Ingress.Addr().String() + "/front")
	assert.NilError(t, err)
	_, err = response.Body.Read(make([]byte, 1))
	assert.NilError(t, err)
	close(read)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, sends.Load(), int64(1))
}

// Guards against the loss of the rest of an upload when the response starts before the upload has ended.
func TestResponseDuringUpload(t *testing.T) {
	f := newFleet(t, 2, clock.Real{}, readerRules)
	f.serve(1, "reader", 10, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		_, _ = io.WriteString(w, "x")
		_ = control.Flush()
		n, err := io.Copy(w, r.Body)
		assert.Check(t, err == nil && n == 150<<10)
	})
	reader, writer := io.Pipe()
	go func() { _, _ = writer.Write(make([]byte, 100<<10)) }()
	request, err := http.NewRequest("PUT", "http://"+f.nodes[0].Ingress.Addr().String()+"/put", reader)
	assert.NilError(t, err)
	response, err := testClient.Do(request)
	assert.NilError(t, err)
	_, err = response.Body.Read(make([]byte, 1))
	assert.NilError(t, err)
	go func() {
		_, _ = writer.Write(make([]byte, 50<<10))
		_ = writer.Close()
	}()
	n, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(150<<10))
	assert.NilError(t, response.Body.Close())
}
