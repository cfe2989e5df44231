package epoch

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

type (
	// Watch knows the connections to a backend server. The end of a process closes them, and a new process at the same
	// address, with which an epoch begins, has none of them. The zero value is ready for use in epoch 0; it is safe for
	// concurrent use.
	Watch struct {
		mu    sync.Mutex
		conns map[net.Conn]*watched
		ended bool // the server has closed its last open connection since the latest one was opened
		epoch int  // number of restarts suspected so far
	}

	// watched is an open connection.
	watched struct {
		epoch       int // in which it was opened
		uses        int
		idleSince   time.Time // zero while a request uses it, or if that is not recorded
		idleTimeout time.Duration
	}

	state uint8
)

const (
	open    state = iota // the peer has not closed it, and no bytes wait to be read
	ended                // the peer has closed or reset it
	unknown              // bytes wait to be read, or it is closed at this end
)

// Opened records a new connection and returns its epoch. A restart is suspected, so that an epoch begins, if the server
// has closed a connection and no earlier one is open: one that is open belongs to the process that has accepted the
// new one.
func (w *Watch) Opened(now time.Time, conn net.Conn) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mayHaveRestarted(now) {
		w.epoch++
	}
	w.ended = false
	if w.conns == nil {
		w.conns = map[net.Conn]*watched{}
	}
	w.conns[conn] = &watched{epoch: w.epoch}
	return w.epoch
}

func (w *Watch) mayHaveRestarted(now time.Time) bool {
	someEnded := w.ended
	for conn, c := range w.conns {
		switch stateOf(conn) {
		case open:
			return false
		case ended:
			someEnded = someEnded || c.epoch == w.epoch && !c.expired(now)
		}
	}
	return someEnded
}

// Closing records that this daemon is about to close a connection. A connection to an earlier process says nothing
// about the present one, nor does one that has ended while the process keeps another open, or after it had been idle
// for as long as it is kept.
func (w *Watch) Closing(now time.Time, conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.conns[conn]
	delete(w.conns, conn)
	if c != nil && c.epoch == w.epoch && !c.expired(now) && stateOf(conn) == ended && !w.someOpen() {
		w.ended = true
	}
}

// SomeOpen reports whether a connection to the present process is open.
func (w *Watch) SomeOpen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.someOpen()
}

func (w *Watch) someOpen() bool {
	for conn, c := range w.conns {
		if c.epoch == w.epoch && stateOf(conn) == open {
			return true
		}
	}
	return false
}

// Forget removes a connection whose end says nothing about a restart: the server has announced that it closes it, or it
// has expired while idle.
func (w *Watch) Forget(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, conn)
}

// stateOf returns the state of a connection. It does not wait for a read in progress.
func stateOf(conn net.Conn) state {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return unknown
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return unknown
	}
	found := unknown
	_ = control.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			found = open
		case err == nil && n > 0, errors.Is(err, syscall.EINTR):
		default:
			found = ended
		}
	})
	return found
}
