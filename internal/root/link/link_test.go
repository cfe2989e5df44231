package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

var testSecret = []byte("a secret of sixteen bytes")

// serve runs a server that echoes each call stream.
func serve(t *testing.T, limit int) (address string, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &Server{Listener: listener, Name: "server", Secret: testSecret, Log: zerolog.Nop(), MaxConnections: limit}
	server.Handlers = map[StreamType]Handler{StreamCall: func(_ context.Context, stream *Stream) {
		defer func() { _ = stream.Close() }()
		_, _ = io.Copy(stream, stream)
	}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

// Guards against streams for a peer without the secret, and against an error that hides whether anything
// was sent.
func TestDialer(t *testing.T) {
	address, stop := serve(t, 10)
	dialer := &Dialer{Name: "client", Secret: testSecret}
	defer dialer.Close()
	stream, err := dialer.Open(context.Background(), address, StreamCall)
	assert.NilError(t, err)
	assert.Equal(t, stream.Peer, "server")
	sent := bytes.Repeat([]byte("x"), 3*StreamWindow)
	go func() { _, _ = stream.Write(sent) }()
	got := make([]byte, len(sent))
	_, err = io.ReadFull(stream, got)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, sent))
	assert.NilError(t, stream.Close())

	stranger := &Dialer{Name: "client", Secret: []byte("another secret of the same")}
	_, err = stranger.Open(context.Background(), address, StreamCall)
	assert.Assert(t, errors.Is(err, ErrUnreachable) && errors.Is(err, ErrAuth), "%v", err)

	refused, err := dialer.Open(context.Background(), address, StreamRaft) // no handler
	assert.NilError(t, err)
	_, err = refused.Read(got)
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, refused.Close())

	stop()
	_, err = dialer.Open(context.Background(), address, StreamCall)
	assert.Assert(t, errors.Is(err, ErrUnreachable), "%v", err)
}

// Guards against more connections than the limit, by peers that never authenticate.
func TestConnectionLimit(t *testing.T) {
	address, _ := serve(t, 1)
	first, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = first.Read(make([]byte, 1)) // the server's hello: it holds the only place
	assert.NilError(t, err)
	second, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = second.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, first.Close())
	assert.NilError(t, second.Close())
}

// Guards against a peer that passes by sending back what it received.
func TestReflection(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(far, far) }()
	// A pipe has no buffer, so the echo needs one between the writes.
	_, err := authenticate(&buffered{Conn: near}, testSecret, "client", true)
	assert.Assert(t, errors.Is(err, ErrAuth), "%v", err)
	_ = near.Close()
}

// buffered writes in the background.
type buffered struct{ net.Conn }

func (b *buffered) Write(p []byte) (int, error) {
	p = bytes.Clone(p)
	go func() { _, _ = b.Conn.Write(p) }()
	return len(p), nil
}

// script is a connection whose peer sends fixed bytes.
type script struct {
	net.Conn
	io.Reader
}

func (s script) Read(p []byte) (int, error) { return s.Reader.Read(p) }
func (script) Write(p []byte) (int, error)  { return len(p), nil }
func (script) SetDeadline(time.Time) error  { return nil }
func (script) RemoteAddr() net.Addr         { return &net.TCPAddr{} }

// Guards against a panic on a malformed handshake, and against one that passes without the secret.
func FuzzHandshake(f *testing.F) {
	var seed bytes.Buffer
	assert.NilError(f, wire.WriteMessage(&seed, kindHello, &Hello{Version: wire.Version, Name: "n", Nonce: make([]byte, nonceSize)}))
	assert.NilError(f, wire.WriteMessage(&seed, kindProof, &Proof{MAC: make([]byte, 32)}))
	f.Add(seed.Bytes(), true)
	f.Add(seed.Bytes()[:20], false)
	f.Fuzz(func(t *testing.T, sent []byte, dialer bool) {
		_, err := authenticate(script{Reader: bytes.NewReader(sent)}, testSecret, "own", dialer)
		assert.Assert(t, err != nil)
	})
}
