package accept

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rs/zerolog"
)

const (
	// finishInterval is how often a server that stops looks for connections without a request.
	finishInterval = 10 * time.Millisecond

	// unusedTime is how long a server that stops waits for the first request of a connection.
	unusedTime = time.Second
)

// ErrStopping is the cause with which the contexts of requests end when their server stops.
var ErrStopping = errors.New("the server stops")

type (
	// HTTP is an HTTP server whose stop ends no request that has arrived. The stop of the library closes idle connections,
	// whatever waits to be read from them, and drops the requests that it reads later.
	HTTP struct {
		Name     string
		Server   *khttp.Server // without a hook for the states of connections
		Listener net.Listener  // of Server
		Guard    *Guard        // that has the connections of Listener; may be nil
		// OnStop is called before the listener is closed; may be nil.
		OnStop func()
		// AnswerWithin is how long a stop waits until it ends the contexts of requests, so that their handlers respond, and
		// CloseWithin until it closes their connections. Zero is no bound.
		AnswerWithin, CloseWithin time.Duration
		Log                       zerolog.Logger
	}

	// httpConns are the open connections of an HTTP server.
	httpConns struct {
		mu   sync.Mutex
		open map[net.Conn]*httpConn
	}

	httpConn struct {
		state http.ConnState
		since time.Time
		woken bool // its read was ended
	}
)

// Serve runs the server until ctx ends, and then until it has answered the requests that have arrived.
func (h *HTTP) Serve(ctx context.Context) error {
	conns := &httpConns{open: map[net.Conn]*httpConn{}}
	h.Server.ConnState = func(conn net.Conn, state http.ConnState) {
		conns.track(conn, state)
		h.Guard.track(conn, state)
	}
	requests, endRequests := context.WithCancelCause(context.WithoutCancel(ctx))
	defer endRequests(nil)
	ended := make(chan error, 1)
	go func() { ended <- h.Server.Start(requests) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	if h.OnStop != nil {
		h.OnStop()
	}
	_ = h.Listener.Close() // the server's own stop would hold the lock that it needs to accept
	<-ended                // all connections are tracked
	finishing := context.WithoutCancel(ctx)
	if h.AnswerWithin > 0 {
		timer := time.AfterFunc(h.AnswerWithin, func() { endRequests(ErrStopping) })
		defer timer.Stop()
	}
	if h.CloseWithin > 0 {
		bounded, cancel := context.WithTimeout(finishing, h.CloseWithin)
		defer cancel()
		finishing = bounded
	}
	if left := conns.finish(finishing); left > 0 {
		h.Log.Warn().Str("server", h.Name).Int("connections", left).Msg("connections-cut")
	}
	return h.Server.Close()
}

// track records the state of a connection.
func (c *httpConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
		return
	case http.StateActive:
		if current := c.open[conn]; current != nil && current.woken {
			_ = conn.SetReadDeadline(time.Time{}) // its request had arrived
		}
	case http.StateNew, http.StateIdle:
	}
	c.open[conn] = &httpConn{state: state, since: time.Now()}
}

// finish waits until all connections are closed, or until ctx ends, and returns how many are still open.
func (c *httpConns) finish(ctx context.Context) (left int) {
	ticker := time.NewTicker(finishInterval)
	defer ticker.Stop()
	for {
		if left = c.wakeIdle(time.Now()); left == 0 {
			return 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return left
		}
	}
}

// wakeIdle ends the reads of connections without a request, and returns the number of all. Their readers look once more
// for bytes (LateReads) and close the connection if there are none.
func (c *httpConns) wakeIdle(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, current := range c.open {
		if current.state == http.StateIdle || current.state == http.StateNew && now.Sub(current.since) >= unusedTime {
			current.woken = true
			_ = conn.SetReadDeadline(now)
		}
	}
	return len(c.open)
}
