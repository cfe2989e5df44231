package link

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// defaultDialTimeout is the time limit for connecting to a peer if Dialer.Timeout is zero.
const defaultDialTimeout = time.Second

// ErrUnreachable reports a peer to which no stream could be opened; no request was sent to it.
var ErrUnreachable = errors.New("peer unreachable")

type (
	// Dialer opens streams to other daemons. It keeps one session per peer address.
	Dialer struct {
		Name    string        // of the local daemon
		Zone    string        // availability zone of the local daemon
		Secret  []byte        // shared by all daemons
		Timeout time.Duration // for connecting; zero selects defaultDialTimeout
		// KeepAlive is the interval between keep-alive pings of a session, and the time after which a session
		// without a response to a ping is closed. Zero selects keepAliveInterval and writeTimeout.
		KeepAlive time.Duration
		// Bytes counts the bytes of sessions to daemons of other availability zones, nil to count none.
		Bytes *cross.Bytes

		mu       sync.Mutex
		sessions map[string]*session
	}

	// session is one connection to a peer. ready is closed when dialing has ended and yamux or err is set; cancel
	// ends the dial, or closes the connection that it made.
	session struct {
		ready  chan struct{}
		cancel context.CancelFunc
		yamux  *yamux.Session
		peer   string
		bytes  *cross.Bytes // nil if the peer is in the same zone, or does not say in which
		err    error
	}

	// openedStream is a new stream, or the reason why there is none.
	openedStream struct {
		stream *Stream
		err    error
	}
)

// Open returns a new stream of the given type to the daemon at address; errors wrap ErrUnreachable.
func (d *Dialer) Open(ctx context.Context, address string, streamType StreamType) (*Stream, error) {
	sess, err := d.session(ctx, address)
	if err != nil {
		return nil, err
	}
	// The session heeds no context: it waits for a peer that is paused until its own timeouts.
	opened := make(chan openedStream, 1)
	go func() { opened <- d.openStream(sess, address, streamType) }()
	select {
	case result := <-opened:
		return result.stream, result.err
	case <-ctx.Done():
		go closeLater(opened)
		return nil, fmt.Errorf("%w: open stream to %s: %w", ErrUnreachable, address, ctx.Err())
	}
}

// closeLater closes a stream that nobody waits for any more once it has been opened.
func closeLater(opened <-chan openedStream) {
	if result := <-opened; result.err == nil {
		_ = result.stream.Close()
	}
}

func (d *Dialer) openStream(sess *session, address string, streamType StreamType) openedStream {
	yamuxStream, err := sess.yamux.OpenStream()
	if err != nil {
		d.removeSession(address, sess)
		return openedStream{err: fmt.Errorf("%w: open stream to %s: %w", ErrUnreachable, address, err)}
	}
	stream := &Stream{Conn: yamuxStream, Peer: sess.peer, Bytes: sess.bytes, Cause: cross.KeepAlive}
	if err := wire.WriteMessage(stream, kindOpen, &Open{Type: streamType}); err != nil {
		_ = stream.Close()
		d.removeSession(address, sess)
		return openedStream{err: fmt.Errorf("%w: open stream to %s: %w", ErrUnreachable, address, err)}
	}
	return openedStream{stream: stream}
}

// Sessions returns the number of sessions that are open or being opened.
func (d *Dialer) Sessions() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.sessions)
}

// Reset closes the session to address, so that the next stream uses a new connection. After a network
// partition an old connection sends nothing until its TCP retransmission timer expires, which can be long
// after the partition has ended.
func (d *Dialer) Reset(address string) {
	d.mu.Lock()
	sess := d.sessions[address]
	delete(d.sessions, address)
	d.mu.Unlock()
	sess.close()
}

// Detach forgets the session to address, so that the next stream uses a new connection, but leaves its streams
// open. The returned function closes it.
func (d *Dialer) Detach(address string) (closeSession func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sess := d.sessions[address]
	delete(d.sessions, address)
	return sess.close
}

// close closes the session and ends a dial in progress; s may be nil.
func (s *session) close() {
	if s == nil {
		return
	}
	select {
	case <-s.ready:
		if s.yamux != nil {
			_ = s.yamux.Close()
		}
	default:
	}
	s.cancel()
}

// Close closes all sessions and ends the dials in progress.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, sess := range d.sessions {
		sess.close()
		delete(d.sessions, address)
	}
}

// session returns the session to address and waits until it is established. It dials if there is none or the
// present one has ended.
func (d *Dialer) session(ctx context.Context, address string) (*session, error) {
	d.mu.Lock()
	sess, ok := d.sessions[address]
	if ok && sess.closed() {
		ok = false
	}
	if !ok {
		if d.sessions == nil {
			d.sessions = make(map[string]*session)
		}
		// The dial does not use the context of the first caller, because other callers wait for it too.
		dialCtx, cancel := context.WithCancel(context.Background())
		sess = &session{ready: make(chan struct{}), cancel: cancel}
		d.sessions[address] = sess
		go d.dial(dialCtx, address, sess)
	}
	d.mu.Unlock()
	select {
	case <-sess.ready:
		return sess, sess.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: dial %s: %w", ErrUnreachable, address, ctx.Err())
	}
}

// dial connects to address, authenticates the peer and sets the result in sess. The connection is closed when ctx
// is done.
func (d *Dialer) dial(ctx context.Context, address string, sess *session) {
	defer close(sess.ready)
	dialer := net.Dialer{Timeout: cmp.Or(d.Timeout, defaultDialTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		d.failDial(address, sess, err)
		return
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	handshake := &countedConn{Conn: conn}
	hello, err := authenticate(handshake, d.Secret, d.Name, d.Zone, true)
	if err != nil {
		_ = conn.Close()
		d.failDial(address, sess, err)
		return
	}
	sess.peer = hello.Name
	if d.Zone != "" && hello.Zone != "" && hello.Zone != d.Zone {
		sess.bytes = d.Bytes
	}
	sess.bytes.Add(cross.KeepAlive, cross.Sent, handshake.sent)
	sess.bytes.Add(cross.KeepAlive, cross.Received, handshake.received)
	sess.yamux, err = yamux.Client(coalesce(conn, sess.bytes), sessionConfig(d.KeepAlive))
	if err != nil {
		_ = conn.Close()
		d.failDial(address, sess, err)
	}
}

// failDial sets the error of sess and removes sess, so that the next Open dials again.
func (d *Dialer) failDial(address string, sess *session, err error) {
	sess.err = fmt.Errorf("%w: dial %s: %w", ErrUnreachable, address, err)
	d.removeSession(address, sess)
}

// removeSession removes sess unless another session to address has replaced it.
func (d *Dialer) removeSession(address string, sess *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions[address] == sess {
		delete(d.sessions, address)
	}
}

// closed reports whether dialing has failed or the session has ended. It is false while dialing is in progress.
func (s *session) closed() bool {
	select {
	case <-s.ready:
		return s.err != nil || s.yamux == nil || s.yamux.IsClosed()
	default:
		return false
	}
}
