package accept

import (
	"errors"
	"net"
	"os"
	"syscall"
)

type (
	// lateListener accepts connections whose reads look for bytes after a deadline.
	lateListener struct{ net.Listener }

	lateConn struct {
		net.Conn
		raw syscall.RawConn
	}
)

// LateReads returns a listener like l for connections that fail to read after a deadline only if no bytes have arrived.
// A reader that gets no processor time until then would otherwise take a request that has arrived for none. Connections
// that are not of the operating system are returned as they are.
func LateReads(l net.Listener) net.Listener { return &lateListener{l} }

// Accept returns the next connection.
func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	system, ok := conn.(syscall.Conn)
	if !ok {
		return conn, nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return conn, nil
	}
	return &lateConn{Conn: conn, raw: raw}, nil
}

// Read reads from the connection, after a deadline only bytes that have arrived already.
func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	arrived, readErr := 0, error(nil)
	controlErr := c.raw.Control(func(fd uintptr) {
		for {
			arrived, readErr = syscall.Read(int(fd), p)
			if !errors.Is(readErr, syscall.EINTR) {
				return
			}
		}
	})
	if controlErr != nil || readErr != nil || arrived <= 0 {
		return n, err
	}
	return arrived, nil
}

// SyscallConn returns the connection of the operating system.
func (c *lateConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// CloseWrite ends the response while the client may still be sending.
func (c *lateConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}
