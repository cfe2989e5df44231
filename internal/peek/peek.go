package peek

import (
	"errors"
	"net"
	"syscall"
)

// State is the state of a connection.
type State uint8

const (
	// Unknown means that the connection is closed at this end, or is none of the operating system.
	Unknown State = iota
	// Quiet means that the peer has not closed the connection, and no bytes wait to be read.
	Quiet
	// Waiting means that bytes wait to be read.
	Waiting
	// Ended means that the peer has closed or reset the connection.
	Ended
)

// StateOf returns the state of a connection. It neither waits for a read in progress nor heeds a deadline.
func StateOf(conn net.Conn) State {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return Unknown
	}
	found := Unknown
	_ = control.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			found = Quiet
		case err == nil && n > 0:
			found = Waiting
		case errors.Is(err, syscall.EINTR):
		default:
			found = Ended
		}
	})
	return found
}
