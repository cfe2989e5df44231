package relay

import (
	"container/list"
	"sync"
	"time"
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
		reading bool        // a request is being read
		evicted chan<- bool // receives whether the reader gives the connection up, nil unless it is asked to
	}
)

// add adds a connection that has no request in progress.
func (i *idleConns) add(c *callerConn, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.idle.element == nil && !c.idle.reading {
		c.idle.element, c.idle.since = i.conns.PushBack(c), now
	}
}

// requestArrives removes a connection on which a request, or the rest of a body, arrives.
func (i *idleConns) requestArrives(c *callerConn) { i.remove(c, false) }

// leave removes a connection that is not read any more.
func (i *idleConns) leave(c *callerConn) { i.remove(c, true) }

func (i *idleConns) remove(c *callerConn, leaving bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.idle.element != nil {
		i.conns.Remove(c.idle.element)
		c.idle.element = nil
	}
	if c.idle.evicted != nil {
		c.idle.evicted <- leaving
		c.idle.evicted = nil
	}
	c.idle.reading = true
}

// requestRead records that the request that was being read is in progress.
func (i *idleConns) requestRead(c *callerConn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	c.idle.reading = false
}

// evict asks the reader of the connection that has been idle longest to give it up, if it has been idle for minIdle. Only
// the reader knows whether a request has arrived meanwhile. The channel, nil if there is no such connection, receives
// whether the connection ends.
func (i *idleConns) evict(now time.Time, minIdle time.Duration) <-chan bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	front := i.conns.Front()
	if front == nil || now.Sub(front.Value.(*callerConn).idle.since) < minIdle {
		return nil
	}
	c := i.conns.Remove(front).(*callerConn)
	given := make(chan bool, 1)
	c.idle.element, c.idle.evicted = nil, given
	_ = c.conn.SetReadDeadline(now)
	return given
}

// isEvicted reports whether the reader of the connection is asked to give it up.
func (i *idleConns) isEvicted(c *callerConn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return c.idle.evicted != nil
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
		limit, _ := c.frontend.idleTimeout()
		if !c.setReadDeadline(time.Now().Add(limit)) {
			return &readStopped{"the last response is written"}
		}
		if c.frontend.idle.isEvicted(c) { // its deadline may just have been replaced
			c.setReadDeadline(time.Now())
		}
		if _, err := c.reader.Peek(1); err == nil {
			c.frontend.idle.requestArrives(c)
			return nil
		} else if !isTimeout(err) {
			return err
		}
		limit, finishing := c.frontend.idleTimeout() // the configuration may have changed
		c.mu.Lock()
		idle := c.isIdle() && time.Since(c.idleSince) >= limit
		c.mu.Unlock()
		switch {
		case c.frontend.idle.isEvicted(c):
			return errEvicted
		case !idle:
		case finishing:
			return errNoRequestAtStop
		default:
			return errIdle
		}
	}
}
