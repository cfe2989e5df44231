package epoch

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleMargin is subtracted from the idle timeout that a server announces: it may already be closing the connection.
const idleMargin = time.Second

// IdleTimeout returns how long an idle connection is kept according to the Keep-Alive field of the server, and the
// usual time if the server announces none.
func IdleTimeout(header http.Header, usual time.Duration) time.Duration {
	for _, word := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(word), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return usual
}

// LimitIdle records how long the connection is kept while it is idle. Its end after that time shows no restart, because
// the server may have closed it for being idle.
func (w *Watch) LimitIdle(conn net.Conn, timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.conns[conn]; c != nil {
		c.idleTimeout = timeout
	}
}

// LimitIdleAll records that no connection is kept for longer than timeout while it is idle.
func (w *Watch) LimitIdleAll(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.idleTimeout = min(c.idleTimeout, timeout)
	}
}

// Used records that a request uses the connection, and returns the number of the use.
func (w *Watch) Used(conn net.Conn) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.conns[conn]
	if c == nil {
		return 0
	}
	c.uses++
	c.idleSince = time.Time{}
	return c.uses
}

// Idle records that the connection is idle after the given use, unless it is already in use again.
func (w *Watch) Idle(now time.Time, conn net.Conn, use int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.conns[conn]; c != nil && c.uses == use {
		c.idleSince = now
	}
}

// expired reports whether the connection has been idle for as long as it is kept.
func (c *watched) expired(now time.Time) bool {
	return !c.idleSince.IsZero() && now.Sub(c.idleSince) >= c.idleTimeout
}
