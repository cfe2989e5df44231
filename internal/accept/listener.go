package accept

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
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
	emptyTime time.Duration // of Accept while the listener is being closed

	mu      sync.Mutex
	closing bool
	once    sync.Once
	empty   chan struct{} // closed when no connection waits any more
}

// New wraps listener. Listeners that are not TCP listeners are returned as they are.
func New(listener net.Listener) net.Listener {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return listener
	}
	return &Listener{TCPListener: tcp, emptyTime: emptyTime, empty: make(chan struct{})}
}

// Accept returns the next connection. While the listener is being closed it returns those that wait, and then an
// error that wraps net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		closing := l.extendDeadline()
		conn, err := l.TCPListener.Accept()
		if err == nil || !closing && !l.extendDeadline() {
			return conn, err
		}
		if closing {
			// The deadline may have passed before the call looked for connections.
			if conn := l.acceptWaiting(); conn != nil {
				return conn, nil
			}
			l.once.Do(func() { close(l.empty) })
			return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: net.ErrClosed}
		}
		// The deadline of Close may have passed before the call looked for connections.
	}
}

// acceptWaiting returns a connection that the operating system has accepted already, nil if there is none.
func (l *Listener) acceptWaiting() net.Conn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	accepted, acceptErr := -1, error(nil)
	err = raw.Control(func(fd uintptr) {
		for {
			accepted, _, acceptErr = syscall.Accept(int(fd))
			if !errors.Is(acceptErr, syscall.EINTR) && !errors.Is(acceptErr, syscall.ECONNABORTED) {
				return
			}
		}
	})
	if err != nil || acceptErr != nil {
		return nil
	}
	file := os.NewFile(uintptr(accepted), "")
	defer func() { _ = file.Close() }() // FileConn has a copy
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}

// extendDeadline gives Accept l.emptyTime to find a connection if the listener is being closed, and reports whether it
// is.
func (l *Listener) extendDeadline() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		_ = l.SetDeadline(time.Now().Add(l.emptyTime))
	}
	return l.closing
}

// Close closes the listener once Accept has returned the connections that wait, or after maxCloseTime. Some other
// goroutine has to go on accepting meanwhile.
func (l *Listener) Close() error {
	l.mu.Lock()
	closing := l.closing
	l.closing = true
	if !closing {
		_ = l.SetDeadline(time.Now()) // ends an Accept that waits
	}
	l.mu.Unlock()
	if closing {
		return nil
	}
	timer := time.NewTimer(maxCloseTime)
	defer timer.Stop()
	select {
	case <-l.empty:
	case <-timer.C:
	}
	return l.TCPListener.Close()
}
