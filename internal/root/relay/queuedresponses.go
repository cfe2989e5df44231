package relay

import (
	"sync"

	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
)

type (
	// queuedResponses bounds the responses of all connections that their callers have not accepted yet.
	queuedResponses struct {
		mu     sync.Mutex
		queues *budget.Queues[*callerConn]
	}

	// arrivingResponse counts the bytes of a response that arrives from another daemon, until the response is complete.
	// Another attempt of the request counts on.
	arrivingResponse struct {
		queued *queuedResponses
		conn   *callerConn

		mu    sync.Mutex
		bytes int64
		ended bool
	}
)

func newQueuedResponses(limit int64, memory *budget.Memory) *queuedResponses {
	return &queuedResponses{queues: budget.NewQueues[*callerConn](limit, memory)}
}

// add counts a response of n bytes. If the callers have left too much unread, it closes a connection of the
// client address with the most.
func (q *queuedResponses) add(c *callerConn, n int64) {
	if q == nil {
		return
	}
	q.mu.Lock()
	victim, exceeded := q.queues.Add(c, c.address, n)
	q.mu.Unlock()
	if !exceeded {
		return
	}
	f := victim.frontend
	f.Forwarder.Meter.BudgetRefused("queued-responses")
	f.Log.Info().Str("address", victim.address.String()).Str("account", victim.account()).
		Msg("caller-closed-unread-responses")
	victim.endFor(endUnread)
	victim.cancel()
	_ = victim.conn.Close() // a write in progress fails
}

// remove ends the counting of a response that was written or given up.
func (q *queuedResponses) remove(c *callerConn, n int64) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queues.Remove(c, n)
}

// end ends the counting of all responses of a connection.
func (q *queuedResponses) end(c *callerConn) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queues.End(c)
}

// add counts n bytes that are held for the response.
func (a *arrivingResponse) add(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.bytes += n
		a.queued.add(a.conn, n)
	}
}

// end ends the counting; the complete response is counted by itself.
func (a *arrivingResponse) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.ended = true
		a.queued.remove(a.conn, a.bytes)
	}
}

// account returns the name of the client account of the connection's last request, empty if it is not known.
func (c *callerConn) account() string {
	key, _ := c.lastKey.Load().(string)
	return c.accountOf(key)
}

// accountOf returns the name of the client account with the given key, empty if there is none.
func (c *callerConn) accountOf(key string) string {
	set := c.frontend.Forwarder.Control.Snapshot().Rules
	if set == nil || key == "" {
		return ""
	}
	if found, active := set.KeyFor(key); found != nil && active {
		return found.Account
	}
	return ""
}
