package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/peek"
)

// maxListedRequests bounds the requests that the log line about the end of a connection names.
const maxListedRequests = 4

// unreadTime bounds a read of bytes that have arrived before a connection is closed.
const unreadTime = 10 * time.Millisecond

// Reasons for which the connection of a caller ends.
const (
	endCallerLeft   connEnd = "caller-left"
	endLastResponse connEnd = "last-response" // it announced the end, or the caller had asked for it
	endIdle         connEnd = "idle"
	endStop         connEnd = "stop" // the daemon stops, and no request has arrived
	endEvicted      connEnd = "evicted"
	endReadTimeout  connEnd = "read-timeout" // the rest of a header or a body did not arrive in time
	endReadFailed   connEnd = "read-failed"
	endNotAccepted  connEnd = "response-not-accepted" // the caller accepted no byte of it in time
	endNotWhole     connEnd = "response-not-whole"    // the rest of a long response did not arrive
	endUnread       connEnd = "responses-unread"      // the callers have left too many bytes unread
	endPanic        connEnd = "panic"
)

var (
	errIdle            = errors.New("no request within the idle timeout")
	errEvicted         = errors.New("no request, and a new connection needs the place")
	errNoRequestAtStop = errors.New("no request has arrived when the daemon stops")
)

type (
	// connEnd is the reason for which the connection of a caller ends.
	connEnd string

	// endState is what is known about the end of a connection.
	endState struct {
		reason    atomic.Pointer[connEnd] // nil before the end; the first reason counts
		discarded int64                   // bytes that were read after the last request and dropped; of the reader
		dropped   []string                // ids of requests that were read whole and got no slot; of the reader

		cut      []*responseSlot // requests without a complete response, once cutNoted is set; guarded by callerConn.mu
		cutNoted bool
	}

	// acceptance observes how the peer of a connection accepts the bytes that have been written.
	acceptance struct {
		conn   net.Conn
		unsent int       // least number of bytes seen that the peer had not accepted
		since  time.Time // when that number was seen first
	}
)

// endFor records why the connection ends, unless a reason is known already.
func (c *callerConn) endFor(reason connEnd) { c.end.reason.CompareAndSwap(nil, &reason) }

// noteCut records the requests that have no complete response; c.mu is held.
func (c *callerConn) noteCut() {
	if c.end.cutNoted {
		return
	}
	c.end.cutNoted = true
	if c.writing != nil {
		c.end.cut = append(c.end.cut, c.writing)
	}
	c.end.cut = append(c.end.cut, c.pipeline...)
}

// noteReadEnd records that reading has ended with an error, and the requests whose response is still due then.
func (c *callerConn) noteReadEnd(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endFor(c.readEnd(err))
	c.noteCut()
}

// endAfterBody ends reading after the rest of a long body was not read. The request is in progress; it and earlier ones are
// still answered, unless the caller has left.
func (c *callerConn) endAfterBody(err error) error {
	if !isTimeout(err) && callerLeft(err) {
		return fmt.Errorf("read body: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = true
	return &readStopped{"the rest of a body was not read"}
}

// isTimeout reports whether a deadline of the connection has passed.
func isTimeout(err error) bool {
	netErr := net.Error(nil)
	return errors.As(err, &netErr) && netErr.Timeout()
}

// callerLeft reports whether the connection itself has ended, and not only a request on it.
func callerLeft(err error) bool {
	netErr := net.Error(nil)
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, context.Canceled) || errors.As(err, &netErr)
}

// readError returns the error with which reading has ended. The end of a request that was being read behind the last
// response does not matter: the caller still has to receive that response.
func (c *callerConn) readError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return &readStopped{"the last response is written"}
	}
	return err
}

// readEnd returns the reason for which reading has ended; c.mu is held.
func (c *callerConn) readEnd(err error) connEnd {
	switch {
	case c.broken:
		return endLastResponse
	case errors.Is(err, errIdle):
		return endIdle
	case errors.Is(err, errEvicted):
		return endEvicted
	case errors.Is(err, errNoRequestAtStop):
		return endStop
	case isTimeout(err):
		return endReadTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET):
		return endCallerLeft
	}
	return endReadFailed
}

// writeEnd returns the reason for which a response was not written.
func writeEnd(err error) connEnd {
	switch {
	case errors.Is(err, errBodyBroken):
		return endNotWhole
	case isTimeout(err):
		return endNotAccepted
	}
	return endCallerLeft
}

// discardInput reads what a caller sends after its last request, until it disconnects or lingerTime after the last
// response, and as long as the caller accepts that response: bytes that nobody reads would reset the connection before it
// has arrived. It returns why it has ended.
func (c *callerConn) discardInput() error {
	c.mu.Lock()
	switch {
	case c.broken: // the last response has set the deadline
	case !c.isIdle():
		_ = c.conn.SetReadDeadline(time.Time{})
	default: // within a body whose response is written
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	}
	c.mu.Unlock()
	accepted := acceptance{conn: c.conn, unsent: math.MaxInt, since: time.Now()}
	for {
		n, err := io.CopyN(io.Discard, c.received, maxDiscarded-c.end.discarded)
		c.end.discarded += n
		switch {
		case err == nil: // as much as allowed
			c.inProgress.Wait()
			return nil
		case !isTimeout(err):
			return err
		case peek.StateOf(c.conn) == peek.Waiting: // the reader had no processor time
			_ = c.conn.SetReadDeadline(time.Now().Add(unreadTime))
		case accepted.inProgress(c.frontend.WriteStall):
			_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
		default:
			return err
		}
	}
}

// inProgress reports whether the peer still accepts bytes. It does not once it has accepted none for stall.
func (a *acceptance) inProgress(stall time.Duration) bool {
	unsent := peek.Unsent(a.conn)
	if unsent < a.unsent {
		a.unsent, a.since = unsent, time.Now()
	}
	return unsent > 0 && time.Since(a.since) < stall
}

// reportEnd counts a connection that ends while requests have no complete response, or bytes of the caller are dropped or
// left unread. It logs the end unless the caller has left: then each of its requests has a line of its own.
func (c *callerConn) reportEnd() {
	c.mu.Lock()
	cut := c.end.cut
	c.mu.Unlock()
	reason := endReadFailed
	if known := c.end.reason.Load(); known != nil {
		reason = *known
	}
	buffered, left := c.reader.Buffered(), reason == endCallerLeft
	unread := !left && peek.StateOf(c.conn) == peek.Waiting
	if len(cut)+len(c.end.dropped) == 0 && buffered == 0 && !unread && c.end.discarded == 0 {
		return
	}
	c.frontend.Forwarder.Meter.CallerCut(string(reason))
	if left {
		return
	}
	ids, sent := append([]string{}, c.end.dropped...), 0
	for _, slot := range cut {
		ids = append(ids, slot.id)
		if slot.sent.Load() {
			sent++
		}
	}
	first := ""
	if len(ids) > 0 {
		first = ids[0]
	}
	c.frontend.Log.Info().Str("request", first).Str("reason", string(reason)).Str("address", c.address.String()).
		Int("requests", len(ids)).Int("sent", sent).Strs("ids", ids[:min(len(ids), maxListedRequests)]).
		Dur("since-read", c.received.sinceRead()).Int("buffered", buffered).Bool("unread", unread).
		Int64("discarded", c.end.discarded).Msg("caller-cut")
}

// markSent records whether a request has been sent to a server or to the daemon beside one, and may be running.
func (r *Request) markSent(sent bool) {
	if r.sent != nil {
		r.sent.Store(sent)
	}
}
