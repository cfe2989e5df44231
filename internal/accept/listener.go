package accept

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// emptyTime is how long no connection must have been waiting before the listener is closed.
	emptyTime = 5 * time.Millisecond

	// maxCloseTime bounds the time of Close while callers go on connecting, or while nobody accepts.
	maxCloseTime = 200 * time.Millisecond
)

// Listener is a TCP listener whose Close lets Accept return the connections that the operating system has accepted
// already. Closing a listener at once resets them, with the requests that their callers may have sent.
type Listener struct {
	*net.TCPListener

	closing atomic.Bool
	once    sync.Once
	empty   chan struct{} // closed when no connection waits any more
}

// New wraps listener. Listeners that are not TCP listeners are returned as they are.
func New(listener net.Listener) net.Listener {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return listener
	}
	return &Listener{TCPListener: tcp, empty: make(chan struct{})}
}

// Accept returns the next connection. While the listener is being closed it returns those that wait, and then an
// error that wraps net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if !l.closing.Load() {
		return conn, err
	}
	if err != nil {
		l.once.Do(func() { close(l.empty) })
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: net.ErrClosed}
	}
	_ = l.SetDeadline(time.Now().Add(emptyTime))
	return conn, nil
}

// Close closes the listener once Accept has returned the connections that wait, or after maxCloseTime. Some other
// goroutine has to go on accepting meanwhile.
func (l *Listener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	_ = l.SetDeadline(time.Now().Add(emptyTime))
	timer := time.NewTimer(maxCloseTime)
	defer timer.Stop()
	select {
	case <-l.empty:
	case <-timer.C:
	}
	return l.TCPListener.Close()
}
