package peek

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
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

// StateOf returns the state of a connection. It neither waits for a read in progress nor heeds a deadline, and it takes
// nothing from the connection: the system reports a reset once, to the first call that reads or writes, and that call
// must be one that handles a message.
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
	_ = control.Control(func(fd uintptr) { found = stateOf(int(fd)) })
	return found
}

// Unsent returns the number of bytes that were written to a connection and that the peer has not acknowledged, zero if it
// is not known.
func Unsent(conn net.Conn) int {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	unsent := 0
	_ = control.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unsent = n
		}
	})
	return unsent
}

func stateOf(fd int) State {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	_, err := unix.Poll(polled, 0)
	for errors.Is(err, unix.EINTR) { // the runtime's signals interrupt a poll, even one that does not wait
		_, err = unix.Poll(polled, 0)
	}
	if err != nil {
		return Ended
	}
	events := polled[0].Revents
	if events == 0 {
		return Quiet
	}
	// Bytes that arrived before the end can still be read.
	unread, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
	switch {
	case err == nil && unread > 0:
		return Waiting
	case events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0:
		return Ended
	}
	return Quiet // a read in progress has taken the bytes
}
