package call

import (
	"net"
	"sync"
)

// boundedListener closes connections above the limit instead of letting them queue without bound.
type boundedListener struct {
	net.Listener
	slots chan struct{}
}

func boundListener(listener net.Listener, limit int) net.Listener {
	return &boundedListener{Listener: listener, slots: make(chan struct{}, limit)}
}

// Accept returns the next connection within the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &boundedConn{Conn: conn, release: func() { <-l.slots }}, nil
		default:
			_ = conn.Close()
		}
	}
}

// boundedConn returns its place under the listener's limit when it is closed.
type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and frees its place.
func (c *boundedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
