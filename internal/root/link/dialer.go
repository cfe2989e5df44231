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

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// defaultTimeout bounds the connection to a peer where no timeout is set.
const defaultTimeout = time.Second

// ErrUnreachable reports a peer to which no stream could be opened; nothing was sent to it.
var ErrUnreachable = errors.New("peer unreachable")

type (
	// Dialer keeps one session for each peer address and opens streams on them.
	Dialer struct {
		Name    string
		Secret  []byte
		Timeout time.Duration // for a connection; zero for the default
		// KeepAlive is the interval between keep-alive pings of a session, and the time after which a session
		// without a response to a ping is closed. Zero selects keepAliveInterval and writeTimeout.
		KeepAlive time.Duration

		mu       sync.Mutex
		sessions map[string]*session
	}

	// session dials once; ready is closed when yamux or err is set.
	session struct {
		ready chan struct{}
		yamux *yamux.Session
		peer  string
		err   error
	}
)

// Open returns a new stream of the given type to the daemon at address; errors wrap ErrUnreachable.
func (d *Dialer) Open(ctx context.Context, address string, kind StreamType) (*Stream, error) {
	current, err := d.session(ctx, address)
	if err != nil {
		return nil, err
	}
	raw, err := current.yamux.OpenStream()
	if err != nil {
		d.forget(address, current)
		return nil, fmt.Errorf("%w: open stream to %s: %w", ErrUnreachable, address, err)
	}
	stream := &Stream{Conn: raw, Peer: current.peer}
	if err := wire.WriteMessage(stream, kindOpen, &Open{Type: kind}); err != nil {
		_ = stream.Close()
		d.forget(address, current)
		return nil, fmt.Errorf("%w: open stream to %s: %w", ErrUnreachable, address, err)
	}
	return stream, nil
}

// Sessions returns the number of sessions that are open or being opened.
func (d *Dialer) Sessions() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.sessions)
}

// Reset closes the session to address, so that the next stream gets a new connection. A connection over
// which a network partition passed waits for its retransmission timer long after the partition has ended.
func (d *Dialer) Reset(address string) {
	d.mu.Lock()
	current := d.sessions[address]
	delete(d.sessions, address)
	d.mu.Unlock()
	if current == nil {
		return
	}
	select {
	case <-current.ready:
		if current.yamux != nil {
			_ = current.yamux.Close()
		}
	default:
	}
}

// Close ends all sessions.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, current := range d.sessions {
		select {
		case <-current.ready:
			if current.yamux != nil {
				_ = current.yamux.Close()
			}
		default:
		}
		delete(d.sessions, address)
	}
}

func (d *Dialer) session(ctx context.Context, address string) (*session, error) {
	d.mu.Lock()
	current, ok := d.sessions[address]
	if ok && current.closed() {
		ok = false
	}
	if !ok {
		if d.sessions == nil {
			d.sessions = make(map[string]*session)
		}
		current = &session{ready: make(chan struct{})}
		d.sessions[address] = current
		// The dial outlives the first caller's context because other callers wait for it too.
		go d.dial(address, current)
	}
	d.mu.Unlock()
	select {
	case <-current.ready:
		return current, current.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: dial %s: %w", ErrUnreachable, address, ctx.Err())
	}
}

func (d *Dialer) dial(address string, current *session) {
	defer close(current.ready)
	dialer := net.Dialer{Timeout: cmp.Or(d.Timeout, defaultTimeout)}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		d.fail(address, current, err)
		return
	}
	current.peer, err = authenticate(conn, d.Secret, d.Name, true)
	if err != nil {
		_ = conn.Close()
		d.fail(address, current, err)
		return
	}
	current.yamux, err = yamux.Client(coalesce(conn), sessionConfig(d.KeepAlive))
	if err != nil {
		_ = conn.Close()
		d.fail(address, current, err)
	}
}

func (d *Dialer) fail(address string, current *session, err error) {
	current.err = fmt.Errorf("%w: dial %s: %w", ErrUnreachable, address, err)
	d.forget(address, current)
}

func (d *Dialer) forget(address string, current *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions[address] == current {
		delete(d.sessions, address)
	}
}

// closed reports whether the session was established and has ended since.
func (s *session) closed() bool {
	select {
	case <-s.ready:
		return s.err != nil || s.yamux == nil || s.yamux.IsClosed()
	default:
		return false
	}
}
