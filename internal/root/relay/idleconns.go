package relay

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/peek"
)

type (
	// idleConns holds the callers' connections without a request, so that the one that has been idle longest can
	// make room for a new one. Callers that retry often leave connections open behind them; without this, they
	// would keep all others out until the idle timeout.
	idleConns struct {
		mu    sync.Mutex
		conns list.List // of *callerConn, the one that has been idle longest first
	}

	// idleState is the state of one connection in idleConns; idleConns.mu guards it.
	idleState struct {
		element *list.Element // nil while a request is in progress
		since   time.Time
		reading bool // a request is being read
		evicted bool
	}
)

// add adds a connection that has no request in progress.
func (i *idleConns) add(c *callerConn, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.idle.element == nil && !c.idle.reading && !c.idle.evicted {
		c.idle.element, c.idle.since = i.conns.PushBack(c), now
	}
}

// remove removes a connection on which a request arrives. It returns false if the connection has been evicted: the
// request must not be read then.
func (i *idleConns) remove(c *callerConn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.idle.element != nil {
		i.conns.Remove(c.idle.element)
		c.idle.element = nil
	}
	c.idle.reading = true
	return !c.idle.evicted
}

// requestRead records that the request that was being read is in progress.
func (i *idleConns) requestRead(c *callerConn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	c.idle.reading = false
}

// evict closes the connection that has been idle longest, if it has been idle for minIdle, and reports whether
// there was one.
func (i *idleConns) evict(now time.Time, minIdle time.Duration) bool {
	i.mu.Lock()
	front := i.conns.Front()
	if front == nil || now.Sub(front.Value.(*callerConn).idle.since) < minIdle {
		i.mu.Unlock()
		return false
	}
	c := i.conns.Remove(front).(*callerConn)
	c.idle.element, c.idle.evicted = nil, true
	i.mu.Unlock()
	c.endFor(endEvicted)
	_ = c.conn.Close()
	return true
}

// wake ends the reads of the connections that have been idle for minIdle, so that their readers see whether to close
// them. A reader that has not had the processor may have a request to read.
func (i *idleConns) wake(now time.Time, minIdle time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for element := i.conns.Front(); element != nil; element = element.Next() {
		c := element.Value.(*callerConn)
		if now.Sub(c.idle.since) < minIdle {
			return
		}
		_ = c.conn.SetReadDeadline(now)
	}
}

// awaitRequest waits for the first byte of the next request.
func (c *callerConn) awaitRequest() error {
	for {
		limit, finishing := c.frontend.idleTimeout()
		c.mu.Lock()
		broken := c.broken
		if !broken {
			_ = c.conn.SetReadDeadline(time.Now().Add(limit))
		}
		c.mu.Unlock()
		if broken {
			return &readStopped{"the last response is written"}
		}
		if _, err := c.reader.Peek(1); err == nil {
			if !c.frontend.idle.remove(c) {
				return net.ErrClosed
			}
			return nil
		} else if !isTimeout(err) {
			return err
		}
		c.mu.Lock()
		idle := len(c.pipeline) == 0 && time.Since(c.idleSince) >= limit
		c.mu.Unlock()
		switch {
		case !idle || peek.StateOf(c.conn) == peek.Waiting:
		case finishing:
			return errNoRequestAtStop
		default:
			return errIdle
		}
	}
}
