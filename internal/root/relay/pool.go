package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/head"
	"github.com/buckthornpitch/buckthornpitch/internal/peek"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/epoch"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
)

const (
	// serverDialTimeout bounds connecting to the server on the same machine. A server that hangs neither accepts
	// nor refuses the connection.
	serverDialTimeout = 400 * time.Millisecond

	// defaultIdleTimeout is how long an idle connection is kept if the server specifies no timeout; common
	// servers close idle connections later.
	defaultIdleTimeout = 8 * time.Second

	// maxRetryable bounds the requests on one connection that may be sent again. Their ids are held, so that the
	// connection is closed when there are as many.
	maxRetryable = 32

	// maxSkippedResponses bounds the responses to other requests that are skipped on one connection.
	maxSkippedResponses = 4

	// maxResponseHeader bounds the header of a response together with interim responses before it, in bytes.
	maxResponseHeader = 64 << 10

	// maxSyncWrite is the size in bytes up to which a request fits into the buffers of a connection.
	maxSyncWrite = 16 << 10

	// uploadGrace is how long the write of a request is awaited once a response without a length has ended.
	uploadGrace = 100 * time.Millisecond

	// responseGrace is how long after the deadline the server's own error response is awaited.
	responseGrace = 60 * time.Millisecond
)

var (
	errInvalidResponse = errors.New("response is incomplete, not signed by the server or for another request")
	errNotSent         = errors.New("request was not sent in full")
	errUploadBroken    = errors.New("response without a length, and the request was not written in full")
	errExchangePanic   = errors.New("panic while the response was read")
)

type (
	// pool holds the connections to one process of a backend server.
	pool struct {
		address string
		dialect Dialect
		maxBody int64 // limit of a response in bytes
		kept    int64 // size in bytes up to which a response is held whole if its receiver takes long ones
		bodies  *budget.Bytes
		log     zerolog.Logger

		mu     sync.Mutex
		idle   []*backendConn // most recently used last
		closed bool

		watch epoch.Watch
	}

	backendConn struct {
		net.Conn
		limit     *limitedReader // below reader
		reader    *bufio.Reader
		idleUntil time.Time // when an idle connection expires
		epoch     int       // of the server when the connection was opened
		retryable []string  // ids of the requests that the server has refused or failed on this connection
	}

	// exchange is one request that is sent to the server.
	exchange struct {
		request     *Request
		requestMeta RequestMetadata
		claim       budget.Claim // for the response
		deadline    time.Time
		// linger is how long the response is still awaited once the caller has gone. Closing the connection would
		// cost a new one, which is more than the rest of a short run.
		linger time.Duration
		start  startCheck // the request is not sent if the check returns an error
		sent   *upload    // set once the request is being sent
		// outlast lets a long response take longer than the deadline. It returns false if the exchange has ended.
		outlast func() bool
		// overdue is called at the deadline if a long response is still being passed on. It sets released.
		overdue func()
		// responding is called once a long response has begun.
		responding func()
		released   atomic.Bool
	}

	// received is one complete response of the server.
	received struct {
		response Response
		metadata ResponseMetadata
		reusable bool // the connection can be used again
		unframed bool // only the end of the connection marked the end of the body
	}

	// upload is the write of a request, which may go on while its response is read.
	upload struct {
		done chan struct{} // closed when the write has ended
		err  error         // set before done is closed
	}
)

// do sends a request on one connection and returns the complete response. Errors wrap errNotSent if the server
// cannot have run the request.
func (p *pool) do(ctx context.Context, ex *exchange) (Response, ResponseMetadata, error) {
	conn, err := p.get(ctx, ex.requestMeta.ID)
	if err != nil {
		return Response{}, ResponseMetadata{}, fmt.Errorf("%w: %w", errNotSent, err)
	}
	if err := ex.start.confirm(conn.epoch); err != nil {
		p.put(conn)
		return Response{}, ResponseMetadata{}, fmt.Errorf("%w: %w", errNotSent, err)
	}
	// The deadline comes first: it must not replace the one that the end of ctx sets. Deadlines of real I/O use the system
	// clock.
	if err := conn.SetDeadline(time.Now().Add(max(time.Until(ex.deadline), 0) + responseGrace)); err != nil {
		p.drop(conn)
		return Response{}, ResponseMetadata{}, fmt.Errorf("%w: %w", errNotSent, err)
	}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		if ex.linger > 0 && errors.Is(ctx.Err(), context.Canceled) {
			_ = conn.SetDeadline(time.Now().Add(ex.linger))
			return
		}
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
	ex.outlast = func() bool {
		if !stop() {
			return false
		}
		stop = context.AfterFunc(ex.request.gone, func() {
			defer close(ended)
			_ = conn.SetDeadline(time.Unix(1, 0))
		})
		return true
	}
	if ctx.Err() != nil {
		<-ended
		p.put(conn)
		return Response{}, ResponseMetadata{}, fmt.Errorf("%w: %w", errNotSent, ctx.Err())
	}
	response, responseMeta, reusable, err := p.roundTripRecovering(conn, ex)
	if !stop() {
		<-ended // it must not change the deadline of the next request
	}
	switch {
	case err != nil:
		p.drop(conn)
	case !reusable:
		p.watch.Forget(conn.Conn)
		_ = conn.Close()
	default:
		p.put(conn)
	}
	return response, responseMeta, err
}

// roundTripRecovering turns a panic, which a response may cause, into an error, so that the run is recorded.
func (p *pool) roundTripRecovering(conn *backendConn, ex *exchange) (response Response, responseMeta ResponseMetadata, reusable bool, err error) {
	defer super.Recover(&p.log, "exchange", func() { reusable, err = false, errExchangePanic })
	return p.roundTrip(conn, ex)
}

func (p *pool) roundTrip(conn *backendConn, ex *exchange) (response Response, responseMeta ResponseMetadata, reusable bool, err error) {
	sent, err := sendRequest(conn, ex, p.dialect)
	if err != nil {
		return response, responseMeta, false, err
	}
	ex.sent = sent
	ex.request.markSent(true)
	got, err := p.readOwnResponse(conn, ex)
	if err != nil {
		return got.response, got.metadata, false, sent.explain(err)
	}
	if got.unframed && !sent.completes(uploadGrace) {
		return got.response, got.metadata, false, errUploadBroken
	}
	if conn.reader.Buffered() > 0 || !sent.completes(0) || got.metadata.ID == "" {
		// There are unexpected bytes, the server has not read the whole body of the request, or the refusal names no
		// request: a second copy of it could not be told from the refusal of the next request.
		got.reusable = false
	}
	if got.metadata.NotRun || got.response.failed() {
		conn.retryable = append(conn.retryable, ex.requestMeta.ID)
		got.reusable = got.reusable && len(conn.retryable) < maxRetryable
	}
	return got.response, got.metadata, got.reusable, nil
}

// readOwnResponse reads responses up to the one to this request. It skips late copies of responses to other requests.
func (p *pool) readOwnResponse(conn *backendConn, ex *exchange) (got received, err error) {
	for range maxSkippedResponses {
		got, err = p.readResponse(conn, ex)
		if err != nil {
			return got, err
		}
		if got.metadata.ID == ex.requestMeta.ID || got.metadata.ID == "" {
			break
		}
		if !got.reusable {
			return got, errInvalidResponse // the response to an earlier request ended the connection
		}
	}
	if got.metadata.ID != ex.requestMeta.ID && (got.metadata.ID != "" || !got.metadata.NotRun) {
		return got, errInvalidResponse
	}
	return got, nil
}

// sendRequest writes the request. A long request is written while the response is awaited, because a server
// may respond before it has read the whole body.
func sendRequest(conn *backendConn, ex *exchange, dialect Dialect) (*upload, error) {
	buf := encodeRequest(ex, dialect)
	sent := &upload{done: make(chan struct{})}
	if ex.request.Rest != nil {
		ex.request.Rest.taken.Store(true)
		go func() {
			sent.err = writeLongRequest(conn, buf, ex.request)
			close(sent.done)
			if errors.Is(sent.err, errBodyBroken) {
				_ = conn.SetReadDeadline(time.Unix(1, 0)) // the server would wait for the rest
			}
		}()
		return sent, nil
	}
	if len(buf) <= maxSyncWrite {
		if n, err := conn.Write(buf); err != nil {
			if n < len(buf)-len(ex.request.Body) {
				err = fmt.Errorf("%w: %w", errNotSent, err)
			}
			return nil, err
		}
		close(sent.done)
		return sent, nil
	}
	go func() {
		defer close(sent.done)
		_, sent.err = conn.Write(buf) // ends at the connection's deadline at the latest
	}()
	return sent, nil
}

// completes reports whether the whole request has been written, or is within the grace time.
//
// A connection that is reset reports it only once. If the write receives the error, a read of the response sees no more
// than the end of the stream, so that a response without a length looks whole although it has been cut.
func (u *upload) completes(grace time.Duration) bool {
	if grace > 0 {
		timer := time.NewTimer(grace)
		defer timer.Stop()
		select {
		case <-u.done:
		case <-timer.C:
		}
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// readResponse reads one complete response.
func (p *pool) readResponse(conn *backendConn, ex *exchange) (got received, err error) {
	first, err := readHead(conn, ex.request.Method)
	if err != nil {
		return got, fmt.Errorf("read response: %w", err)
	}
	held, err := p.readBody(first, ex)
	defer held.release()
	long := ex.request.pass != nil && (errors.Is(err, errBodySize) || errors.Is(err, errBodyBudget))
	if err != nil && !long {
		return got, fmt.Errorf("read response: %w", err)
	}
	got.metadata = p.dialect.DecodeResponseMetadata(first.Status, first.Header)
	if first.Header.Get("Content-Encoding") != "" || got.metadata.Signed && got.metadata.ID == "" ||
		first.Status < http.StatusMultipleChoices && !got.metadata.Signed {
		return got, errInvalidResponse
	}
	conn.idleUntil = time.Now().Add(epoch.IdleTimeout(first.Header, defaultIdleTimeout))
	got.response = Response{Status: first.Status, Header: first.Header, Body: held.data}
	field.RemoveHopByHop(got.response.Header)
	got.response.Header.Del("Content-Length") // encodeResponse sets it
	if count := field.Count(got.response.Header); count > maxFields {
		return got, fmt.Errorf("%w: %d fields, limit %d", errHeaderLimit, count, maxFields)
	}
	got.reusable, got.unframed = !first.Close, first.Unframed
	if long {
		return got, p.passLong(conn, ex, first, &got, held)
	}
	return got, nil
}

// readHead reads the head of the final response, after any interim ones.
func readHead(conn *backendConn, method string) (*head.Response, error) {
	conn.limit.remaining = maxResponseHeader
	for {
		response, err := head.ReadResponse(conn.reader, method)
		if err != nil {
			return nil, err
		}
		if !response.Interim() {
			conn.limit.remaining = unlimited
			return response, nil
		}
	}
}

// readBody reads the body of a response. If the receiver takes long ones, it returns errBodySize and what has been read
// once the body is longer than the size up to which it is held, and errBodyBudget once there is no room to hold more of
// it. The caller releases the buffer.
func (p *pool) readBody(response *head.Response, ex *exchange) (*bodyBuffer, error) {
	held := &bodyBuffer{heldBody: heldBody{budget: p.bodies, claim: ex.claim}, limit: int(p.maxBody)}
	if ex.request.pass != nil {
		// What is held of responses leaves room for those that pass through.
		held.limit, held.claim.Spare = int(p.kept), p.bodies.Limit()/heldResponseSpare
		if response.Length > p.kept {
			return held, errBodySize
		}
	}
	if err := held.expect(response.Length); err != nil {
		return held, err
	}
	for {
		err := held.read(response.Body)
		if errors.Is(err, io.EOF) {
			return held, nil
		}
		if err != nil {
			return held, err
		}
	}
}

func encodeRequest(ex *exchange, dialect Dialect) []byte {
	header := ex.request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	dialect.SetRequestMetadata(header, ex.requestMeta)
	var buf bytes.Buffer
	if ex.request.Rest == nil {
		buf.Grow(512 + len(ex.request.Body))
	}
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: %s\r\n", ex.request.Method, ex.request.Target, ex.request.Host)
	writeHeader(&buf, header)
	size := ex.request.size()
	if size < 0 {
		buf.WriteString("Transfer-Encoding: chunked\r\n")
	} else if size > 0 || ex.request.Method == http.MethodPost || ex.request.Method == http.MethodPut || ex.request.Method == http.MethodPatch {
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", size)
	}
	buf.WriteString("\r\n")
	if ex.request.Rest == nil {
		buf.Write(ex.request.Body)
	}
	return buf.Bytes()
}

// get returns an idle connection or a new one for the request with the given id.
func (p *pool) get(ctx context.Context, id string) (*backendConn, error) {
	now := time.Now()
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, net.ErrClosed
		}
		expired := p.takeExpired(now)
		conn := p.takeIdle(id)
		p.mu.Unlock()
		closeAll(expired)
		if conn == nil {
			break
		}
		if conn.stillIdle() {
			return conn, nil
		}
		p.drop(conn)
	}
	dialer := net.Dialer{Timeout: serverDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	limit := &limitedReader{reader: conn}
	return &backendConn{
		Conn: conn, limit: limit, reader: bufio.NewReaderSize(limit, 4<<10), idleUntil: now.Add(defaultIdleTimeout),
		epoch: p.watch.Opened(time.Now(), conn),
	}, nil
}

// takeIdle removes an idle connection for the request with the given id and returns it, nil if there is none; p.mu is
// held. It prefers the most recently used connection, because the server may have closed the others. A connection on
// which the server has refused or failed the same request is passed over: a second copy of that response may still
// arrive there, and could not be told from the response to the request that is sent again.
func (p *pool) takeIdle(id string) *backendConn {
	for i, conn := range slices.Backward(p.idle) {
		if !slices.Contains(conn.retryable, id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return conn
		}
	}
	return nil
}

func (p *pool) put(conn *backendConn) {
	now := time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.drop(conn)
		return
	}
	p.idle = append(p.idle, conn)
	expired := p.takeExpired(now)
	p.mu.Unlock()
	closeAll(expired)
}

// takeExpired removes the idle connections that have expired; p.mu is held. The server may have closed them for being
// idle, so that their end does not show a restart. The watch forgets them before another request can find no
// idle connection and open one.
func (p *pool) takeExpired(now time.Time) (expired []*backendConn) {
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if now.Before(conn.idleUntil) {
			kept = append(kept, conn)
			continue
		}
		p.watch.Forget(conn.Conn)
		expired = append(expired, conn)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return expired
}

func closeAll(conns []*backendConn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// drop closes a connection that cannot be used again.
func (p *pool) drop(conn *backendConn) {
	p.watch.Closing(time.Now(), conn.Conn)
	_ = conn.Close()
}

// close closes the idle connections and those that are returned later.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	closeAll(idle)
}

// stillIdle reports whether an idle connection is open and has received no bytes, which would belong to no
// request.
func (c *backendConn) stillIdle() bool {
	return c.reader.Buffered() == 0 && peek.StateOf(c.Conn) == peek.Quiet
}
