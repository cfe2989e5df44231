package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

var testSecret = []byte("a secret of sixteen bytes")

// startServer runs a server that echoes the data of each call stream.
func startServer(t *testing.T, maxConnections int, zone ...string) (address string, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &Server{Listener: listener, Name: "server", Secret: testSecret, Log: zerolog.Nop(), MaxConnections: maxConnections}
	server.Zone = strings.Join(zone, "")
	server.Handlers = map[StreamType]Handler{StreamCall: func(_ context.Context, stream *Stream) {
		defer func() { _ = stream.Close() }()
		_, _ = io.Copy(stream, stream)
	}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

// Guards against a stream to a peer without the shared secret, and against an error of Open that does not
// wrap ErrUnreachable, so that the caller cannot know that nothing was sent.
func TestDialer(t *testing.T) {
	address, stop := startServer(t, 10)
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

	unauthorized := &Dialer{Name: "client", Secret: []byte("another secret of the same")}
	_, err = unauthorized.Open(context.Background(), address, StreamCall)
	assert.Assert(t, errors.Is(err, ErrUnreachable) && errors.Is(err, ErrAuth), "%v", err)

	unhandled, err := dialer.Open(context.Background(), address, StreamRaft) // no handler
	assert.NilError(t, err)
	_, err = unhandled.Read(got)
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, unhandled.Close())

	stop()
	_, err = dialer.Open(context.Background(), address, StreamCall)
	assert.Assert(t, errors.Is(err, ErrUnreachable), "%v", err)
}

// Guards against a dial that goes on after the dialer was closed, or the session reset, and leaves a connection open
// that nothing closes.
func TestCloseEndsDial(t *testing.T) {
	for name, end := range map[string]func(d *Dialer, address string){
		"close": func(d *Dialer, _ string) { d.Close() },
		"reset": func(d *Dialer, address string) { d.Reset(address) },
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			address := listener.Addr().String()
			dialer := &Dialer{Name: "client", Secret: testSecret}
			opened := make(chan error, 1)
			go func() {
				_, err := dialer.Open(context.Background(), address, StreamCall)
				opened <- err
			}()
			conn, err := listener.Accept() // the handshake never ends
			assert.NilError(t, err)
			end(dialer, address)
			select {
			case err := <-opened:
				assert.Assert(t, errors.Is(err, ErrUnreachable), "%v", err)
			case <-time.After(handshakeTimeout / 2):
				t.Fatal("the dial goes on")
			}
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
			_, err = io.Copy(io.Discard, conn)
			assert.NilError(t, err) // the connection is closed
			assert.Equal(t, dialer.Sessions(), 0)
		})
	}
}

// Guards against a request that gets no response by its deadline because its stream cannot be opened: a peer that is paused
// accepts none, and the session allows a bounded number of them.
func TestOpenEndsWithItsContext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	paused := make(chan net.Conn, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_, _ = authenticate(conn, testSecret, "paused", "", false)
			paused <- conn
		}
	}()
	dialer := &Dialer{Name: "client", Secret: testSecret}
	defer func() {
		dialer.Close()
		_ = (<-paused).Close()
	}()
	for range acceptBacklog {
		_, err := dialer.Open(context.Background(), listener.Addr().String(), StreamCall)
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	opened := make(chan error, 1)
	go func() {
		_, err := dialer.Open(ctx, listener.Addr().String(), StreamCall)
		opened <- err
	}()
	time.Sleep(100 * time.Millisecond) // it waits for the session
	cancel()
	select {
	case err := <-opened:
		assert.ErrorIs(t, err, ErrUnreachable)
		assert.ErrorIs(t, err, context.Canceled)
	case <-time.After(10 * time.Second):
		t.Fatal("Open goes on after its context")
	}
}

// Guards against a request that counts as sent although the daemon of the server, which stops or has too many streams, has
// reset its stream without accepting it.
func TestStreamThatIsNotAccepted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan *yamux.Session, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = authenticate(conn, testSecret, "full", "", false)
		config := sessionConfig(0)
		config.AcceptBacklog = 1
		session, _ := yamux.Server(conn, config)
		accepted <- session
	}()
	dialer := &Dialer{Name: "client", Secret: testSecret}
	defer func() {
		dialer.Close()
		_ = (<-accepted).Close()
	}()
	_, err = dialer.Open(context.Background(), listener.Addr().String(), StreamCall)
	assert.NilError(t, err)
	second, err := dialer.Open(context.Background(), listener.Addr().String(), StreamCall)
	if err == nil { // the reset has not arrived yet
		_, err = second.Read(make([]byte, 1))
	}
	assert.ErrorIs(t, err, ErrReset)
}

// failingListener fails one Accept after the first connection, as without a free file descriptor.
type failingListener struct {
	net.Listener
	accepted int
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.accepted++
	if l.accepted == 2 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a daemon that no other daemon can connect to any more: after a failed Accept the server waited for its
// open sessions, and accepted none until all of them had ended.
func TestServerAcceptsAfterAFailure(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &Server{Listener: &failingListener{Listener: listener}, Name: "server", Secret: testSecret, Log: zerolog.Nop(), MaxConnections: 2}
	server.Handlers = map[StreamType]Handler{StreamCall: func(ctx context.Context, _ *Stream) { <-ctx.Done() }}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	for _, name := range []string{"first", "second"} {
		dialer := &Dialer{Name: name, Secret: testSecret}
		defer dialer.Close()
		_, err := dialer.Open(context.Background(), listener.Addr().String(), StreamCall)
		assert.NilError(t, err)
	}
	cancel()
	assert.NilError(t, <-done)
}

// Guards against more open connections than MaxConnections from peers that never authenticate.
func TestConnectionLimit(t *testing.T) {
	address, _ := startServer(t, 1)
	first, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = first.Read(make([]byte, 1)) // the server's hello: the connection is accepted and uses the only slot
	assert.NilError(t, err)
	second, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = second.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, first.Close())
	assert.NilError(t, second.Close())
}

// Guards against a peer without the secret that authenticates by sending back the messages it receives.
func TestReflection(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(far, far) }()
	// net.Pipe has no buffer: without asyncConn the client and the echo would both block in Write.
	_, err := authenticate(&asyncConn{Conn: near}, testSecret, "client", "", true)
	assert.Assert(t, errors.Is(err, ErrAuth), "%v", err)
	_ = near.Close()
}

// asyncConn is a connection whose Write returns before the data is written.
type asyncConn struct{ net.Conn }

func (b *asyncConn) Write(p []byte) (int, error) {
	p = bytes.Clone(p)
	go func() { _, _ = b.Conn.Write(p) }()
	return len(p), nil
}

// scriptedConn is a connection whose peer sends fixed bytes.
type scriptedConn struct {
	net.Conn
	io.Reader
}

func (s scriptedConn) Read(p []byte) (int, error) { return s.Reader.Read(p) }
func (scriptedConn) Write(p []byte) (int, error)  { return len(p), nil }
func (scriptedConn) SetDeadline(time.Time) error  { return nil }
func (scriptedConn) RemoteAddr() net.Addr         { return &net.TCPAddr{} }

// Guards against a panic on a malformed handshake, and against a handshake that succeeds without the secret.
func FuzzHandshake(f *testing.F) {
	var seed bytes.Buffer
	assert.NilError(f, wire.WriteMessage(&seed, kindHello, &Hello{Version: wire.Version, Name: "n", Nonce: make([]byte, nonceSize)}))
	assert.NilError(f, wire.WriteMessage(&seed, kindProof, &Proof{MAC: make([]byte, 32)}))
	f.Add(seed.Bytes(), true)
	f.Add(seed.Bytes()[:20], false)
	f.Fuzz(func(t *testing.T, sent []byte, isDialer bool) {
		_, err := authenticate(scriptedConn{Reader: bytes.NewReader(sent)}, testSecret, "own", "", isDialer)
		assert.Assert(t, err != nil)
	})
}

// tappedConn counts what is read from a connection.
type tappedConn struct {
	net.Conn
	read, written int
}

func (c *tappedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read += n
	return n, err
}

func (c *tappedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// Guards against frames of a session that no cause counts, and against bytes that two causes count.
func TestSessionBytesAreCounted(t *testing.T) {
	near, far := net.Pipe()
	counted, tapped := &cross.Bytes{}, &tappedConn{Conn: near}
	client, err := yamux.Client(coalesce(tapped, counted), sessionConfig(0))
	assert.NilError(t, err)
	server, err := yamux.Server(far, sessionConfig(0))
	assert.NilError(t, err)
	go func() {
		if conn, err := server.Accept(); err == nil {
			_, _ = io.Copy(conn, conn)
		}
	}()
	conn, err := client.OpenStream()
	assert.NilError(t, err)
	stream := &Stream{Conn: conn, Bytes: counted, Cause: cross.Retry}
	payload := make([]byte, 3*StreamWindow)
	go func() { _, _ = stream.Write(payload) }()
	_, err = io.ReadFull(stream, payload)
	assert.NilError(t, err)
	assert.NilError(t, client.Close())
	<-client.CloseChan()
	_ = server.Close()
	sum := func(d cross.Direction) int {
		return int(counted.Count(cross.Retry, d) + counted.Count(cross.KeepAlive, d))
	}
	assert.Equal(t, counted.Count(cross.Retry, cross.Sent), uint64(len(payload)))
	assert.Equal(t, sum(cross.Sent), tapped.written)
	assert.Equal(t, sum(cross.Received), tapped.read)
}

// Guards against counting a session within a zone, or to a daemon that does not report its zone.
func TestSessionsOfOtherZonesAreCounted(t *testing.T) {
	for zone, want := range map[string]bool{"a": false, "b": true, "": false} {
		address, _ := startServer(t, 1, zone)
		counted := &cross.Bytes{}
		dialer := &Dialer{Name: "client", Zone: "a", Secret: testSecret, Bytes: counted}
		_, err := dialer.Open(context.Background(), address, StreamCall)
		assert.NilError(t, err)
		assert.Equal(t, counted.Count(cross.KeepAlive, cross.Sent) > 0 && counted.Count(cross.KeepAlive, cross.Received) > 0, want)
		dialer.Close()
	}
}
