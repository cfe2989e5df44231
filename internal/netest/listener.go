package netest

import (
	"fmt"
	"net"
	"sync"
)

// Listener listens for a server whose process can be replaced by another one at the same address. It is safe for
// concurrent use.
type Listener struct {
	mu      sync.Mutex
	current net.Listener
	conns   []net.Conn // accepted from current
}

// Listen returns a listener at a free port of the loopback address.
func Listen() (*Listener, error) {
	current, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return &Listener{current: current}, nil
}

// Restart ends all connections, as the end of the process does, and listens again. Closing the listener also ends the
// connections that Accept has not returned yet; one that stays open looks like a process that still runs.
func (l *Listener) Restart() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.current.Close()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	next, err := net.Listen("tcp", l.current.Addr().String())
	if err != nil {
		return fmt.Errorf("listen again: %w", err)
	}
	l.current, l.conns = next, nil
	return nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		listener := l.listener()
		conn, err := listener.Accept()
		if l.keep(listener, conn) {
			return conn, err
		}
		if conn != nil {
			_ = conn.Close() // of the process before
		}
	}
}

// keep records a connection unless its listener has been replaced.
func (l *Listener) keep(from net.Listener, conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != from {
		return false
	}
	if conn != nil {
		l.conns = append(l.conns, conn)
	}
	return true
}

// Close implements net.Listener.
func (l *Listener) Close() error { return l.listener().Close() }

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.listener().Addr() }

func (l *Listener) listener() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}
