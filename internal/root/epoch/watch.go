package epoch

import (
	"net"
	"sync"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/peek"
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
		switch peek.StateOf(conn) {
		case peek.Quiet:
			return false
		case peek.Ended:
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
	if c != nil && c.epoch == w.epoch && !c.expired(now) && peek.StateOf(conn) == peek.Ended && !w.someOpen() {
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
		if c.epoch == w.epoch && peek.StateOf(conn) == peek.Quiet {
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
