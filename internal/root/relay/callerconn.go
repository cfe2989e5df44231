package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/head"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	// maxPipelined bounds the requests of one connection that wait for their responses; further requests are
	// read once a slot is free.
	maxPipelined = 128

	// maxWrite is the number of bytes of a response that are written at once. The time for a write starts anew with each
	// part that the caller has accepted.
	maxWrite = 64 << 10

	// maxCopied is the size in bytes up to which a body is copied behind its head, so that both are one packet.
	maxCopied = 16 << 10

	// responseOverhead is about the number of bytes that a response takes beside its body.
	responseOverhead = 2 << 10

	// maxDiscarded bounds the bytes that are read from a caller after its last request. Reading them shows when it
	// disconnects.
	maxDiscarded = 256 << 10

	// headerReadSlack is the number of bytes that may be read beyond the header limit, because the same read
	// may return the beginning of the body.
	headerReadSlack = 4 << 10

	// unlimited is the limit of a limitedReader while a body is read.
	unlimited = math.MaxInt64
)

type (
	// callerConn is the connection of one caller. One goroutine reads requests, also while earlier ones are
	// being served, so that pipelined requests are read without delay and a caller that disconnects is noticed
	// at once.
	callerConn struct {
		frontend   *Frontend
		conn       net.Conn
		received   *callerReader
		limit      *limitedReader  // above received
		reader     *bufio.Reader   // above limit
		ctx        context.Context // ends when the caller has disconnected or receives no more responses
		cancel     context.CancelFunc
		inProgress sync.WaitGroup
		address    netip.Addr   // of the caller
		lastKey    atomic.Value // string: key of the last request, for log lines

		mu        sync.Mutex
		pipeline  []*responseSlot // in the order of the requests
		writing   *responseSlot   // taken from the pipeline and being written, nil if none is
		slotFreed chan struct{}
		broken    bool      // no further response is written
		ended     bool      // the last response has been written
		idleSince time.Time // start of the current period without a request in progress
		idle      idleState
		last      bool // no further request is read
		end       endState
	}

	// responseSlot is the position of one response in the pipeline of a connection.
	responseSlot struct {
		id       string      // of the request
		sent     atomic.Bool // to a server or to the daemon beside one
		ready    bool
		method   string
		response Response
		close    bool         // the connection closes after this response
		claim    budget.Claim // for whom cost is counted
		cost     int64        // bytes that are counted for the request

		turn    chan struct{} // closed when the slot is the first one, nil if nobody waits for that
		started bool          // the head of a long response is being written or has been
		passed  bool          // all of a long response has been written
	}

	// limitedReader fails with errHeaderSize once remaining bytes have been read.
	limitedReader struct {
		reader    io.Reader
		remaining int64
	}
)

var (
	errHeaderSize = errors.New("header exceeds the size limit")
	errReadPanic  = errors.New("panic while a request was read")
)

// Read implements io.Reader.
func (c *limitedReader) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errHeaderSize
	}
	if int64(len(p)) > c.remaining {
		p = p[:c.remaining]
	}
	n, err := c.reader.Read(p)
	c.remaining -= int64(n)
	return n, err
}

// serve reads requests until the connection ends, and returns when all responses are written.
func (c *callerConn) serve(ctx context.Context) {
	c.ctx, c.cancel = context.WithCancel(ctx)
	defer c.cancel() // also after a panic: nobody receives the responses any more
	panicked := true
	defer func() {
		if panicked {
			c.frontend.idle.leave(c)
			c.endFor(endPanic)
			c.noteReadEnd(nil)
			c.reportEnd()
		}
	}()
	c.idleSince = time.Now()
	c.frontend.idle.add(c, c.idleSince)
	err := c.readError(c.readRequests())
	c.frontend.idle.leave(c)
	if stopped := (*readStopped)(nil); errors.As(err, &stopped) {
		err = c.discardInput()
	}
	c.noteReadEnd(err)
	c.cancel()
	c.inProgress.Wait()
	c.frontend.Queued.end(c)
	c.reportEnd()
	_ = c.conn.Close()
	panicked = false
}

// readStopped reports that no further request is read from a connection whose responses are still being
// written.
type readStopped struct{ reason string }

// Error returns the reason.
func (r *readStopped) Error() string { return r.reason }

func (c *callerConn) readRequests() error {
	for {
		if err := c.awaitRequest(); err != nil {
			return err
		}
		limits := c.frontend.limits()
		// The header has to arrive in time. Deadlines of real I/O use the system clock.
		c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
		c.limit.remaining = limits.HeaderSize + headerReadSlack
		in, err := c.readHead()
		if err != nil {
			return c.refuseUnread(&incoming{parsed: &http.Request{}}, err)
		}
		c.limit.remaining = unlimited
		if in.headerSize > limits.HeaderSize {
			return c.refuse(in, retry.HeaderTooLarge{})
		}
		body, whole, err := c.readBody(in, limits)
		switch {
		case errors.Is(err, errBodySize):
			return c.refuse(in, retry.BodyTooLarge{})
		case errors.Is(err, errBodyBudget):
			c.frontend.Forwarder.Meter.BudgetRefused("bodies")
			return c.refuse(in, retry.Overload{})
		case err != nil:
			return c.refuseUnread(in, err)
		}
		c.setReadDeadline(time.Time{})
		in.cost += body.uncounted()
		if whole {
			err = c.startRequest(in, body, nil)
		} else {
			err = c.startLongRequest(in, body, limits.BodySize)
		}
		if err != nil {
			return err
		}
	}
}

// readHead reads and decodes the head of a request. The error is errReadPanic if the request has caused a panic.
func (c *callerConn) readHead() (in *incoming, err error) {
	defer super.Recover(&c.frontend.Log, "request-head", func() { err = errReadPanic })
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	if err := head.CheckRequest(parsed); err != nil {
		return nil, err
	}
	return newIncoming(parsed, headerSize(parsed), c.frontend.Dialect), nil
}

// readBody reads the body of a request, or the beginning of one that is too long to be held whole. The caller releases
// it once the request has ended.
func (c *callerConn) readBody(in *incoming, limits rules.Limits) (body *bodyBuffer, whole bool, err error) {
	r, kept := in.parsed, min(limits.BodySize, c.frontend.KeptBody)
	body = &bodyBuffer{heldBody: heldBody{budget: c.frontend.Bodies}, limit: int(kept)}
	if r.ContentLength > limits.BodySize {
		return nil, false, errBodySize
	}
	if r.ContentLength == 0 {
		return body, true, nil
	}
	if r.ContentLength < 0 || r.ContentLength > freeBodySize {
		body.claim = c.claim(&in.request)
	}
	if in.expectsContinue {
		if err := c.askForBody(); err != nil {
			return nil, false, err
		}
	}
	for {
		// The timeout applies to each pause, not to the whole body.
		c.setReadDeadline(time.Now().Add(c.frontend.BodyStall))
		err := body.read(r.Body)
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case errors.Is(err, errBodySize) && kept < limits.BodySize:
			return body, false, nil
		case err != nil:
			body.release()
			return nil, false, fmt.Errorf("read body: %w", err)
		case r.ContentLength > kept && len(body.data) >= crash.PrefixSize:
			return body, false, nil
		}
	}
}

// setReadDeadline sets the deadline for what arrives, but does not replace the one that ends the connection after its
// last response. It returns false in that case.
func (c *callerConn) setReadDeadline(deadline time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return false
	}
	_ = c.conn.SetReadDeadline(deadline)
	return true
}

// startRequest serves a request in its own goroutine. The rest of its body is nil if the body is whole.
func (c *callerConn) startRequest(in *incoming, body *bodyBuffer, rest *bodyStream) error {
	parsed, request := in.parsed, &in.request
	last := parsed.Close || !parsed.ProtoAtLeast(1, 1)
	started := false
	end := func() {
		body.release()
		if rest != nil {
			_ = rest.Close() // the connection's reader waits for it
		}
	}
	defer func() {
		if !started {
			end()
		}
	}()
	slot, err := c.reserveSlot(in, last, c.slotClaim(in), in.cost)
	if errors.Is(err, errRequestBudget) {
		c.frontend.Forwarder.Meter.BudgetRefused("requests")
		return c.refuse(in, retry.Overload{})
	}
	if err != nil {
		c.end.dropped = append(c.end.dropped, request.ID)
		return err
	}
	if in.invalid != nil {
		c.frontend.Log.Info().Str("request", request.ID).Err(in.invalid).Msg("request-unreadable")
		c.complete(slot, parsed.Method, c.frontend.Dialect.EncodeRefusal(request.ID, retry.BadRequest{}, 0), last)
		return stopAfter(last)
	}
	if c.frontend.refusing.Load() {
		c.frontend.Log.Info().Str("request", request.ID).Str("reason", string(retry.Describe(retry.Draining{}).Reason)).Msg("request-refused")
		c.complete(slot, parsed.Method, c.frontend.Dialect.EncodeRefusal(request.ID, retry.Draining{}, noServerRetryAfter), true)
		return stopAfter(true)
	}
	request.Body, request.Rest, request.gone, request.sent = body.data, rest, c.ctx, &slot.sent
	if takesLong(parsed) {
		request.pass = c.passResponse(slot, request, last)
	}
	arriving := &arrivingResponse{queued: c.frontend.Queued, conn: c}
	request.arriving = arriving.add
	c.lastKey.Store(request.APIKey)
	started = true
	c.inProgress.Add(1)
	c.frontend.workers.Go(func() {
		defer c.inProgress.Done()
		defer end()
		c.frontend.active.Add(1)
		defer c.frontend.active.Add(-1)
		response := c.forward(request)
		arriving.end()
		c.complete(slot, request.Method, response, last || rest != nil && rest.tooLong.Load())
	})
	return stopAfter(last)
}

// forward forwards a request. After a panic it is not known whether the request has run.
func (c *callerConn) forward(request *Request) (response Response) {
	defer super.Recover(&c.frontend.Log, "request", func() {
		response = c.frontend.Dialect.EncodeRefusal(request.ID, retry.BackendLost{}, 0)
	})
	return c.frontend.Forwarder.Serve(c.ctx, request)
}

func stopAfter(last bool) error {
	if last {
		return &readStopped{"the caller asked to close the connection"}
	}
	return nil
}

// reserveSlot appends a slot to the pipeline for a request that takes about cost bytes. It waits while the pipeline is
// full, or while the requests in progress leave no room for one that was sent ahead.
func (c *callerConn) reserveSlot(in *incoming, last bool, claim budget.Claim, cost int64) (*responseSlot, error) {
	for {
		slot, freed, err := c.tryReserveSlot(in, last, claim, cost)
		if slot != nil || err != nil {
			return slot, err
		}
		select {
		case <-freed:
		case <-c.ctx.Done():
			return nil, c.ctx.Err()
		}
	}
}

// tryReserveSlot appends a slot to the pipeline. If there is no room, it returns a channel that is closed when a slot has
// been freed.
func (c *callerConn) tryReserveSlot(in *incoming, last bool, claim budget.Claim, cost int64) (*responseSlot, chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.broken:
		return nil, nil, net.ErrClosed
	case c.last:
		return nil, nil, &readStopped{"a response has announced that the connection closes"}
	}
	slot := c.newSlot(claim, cost)
	switch {
	case slot != nil:
		slot.id = in.request.ID
		c.pipeline = append(c.pipeline, slot)
		c.last = last
		c.frontend.idle.requestRead(c)
		return slot, nil, nil
	case len(c.pipeline) == 0:
		return nil, nil, errRequestBudget
	}
	c.slotFreed = make(chan struct{})
	return nil, c.slotFreed, nil
}

// complete stores a response in its slot and writes all completed responses at the head of the pipeline, unless another
// goroutine is writing: that one goes on with them.
func (c *callerConn) complete(slot *responseSlot, method string, response Response, last bool) {
	c.frontend.Requests.Release(slot.claim, slot.cost)
	c.frontend.Queued.add(c, response.size()) // before the lock, because it may close this connection
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		c.frontend.Queued.remove(c, response.size())
		return // nobody receives the response
	}
	slot.ready, slot.method, slot.response, slot.close = true, method, response, last
	if c.writing == nil {
		c.writeReady()
	}
	if c.isIdle() {
		c.idleSince = time.Now()
		if !c.broken {
			c.frontend.idle.add(c, c.idleSince)
		}
	}
	if c.slotFreed != nil {
		close(c.slotFreed)
		c.slotFreed = nil
	}
}

// isIdle reports whether no response is due or being written; c.mu is held.
func (c *callerConn) isIdle() bool { return len(c.pipeline) == 0 && c.writing == nil }

// writeReady writes the completed responses at the head of the pipeline; c.mu is held, but not during a write.
func (c *callerConn) writeReady() {
	for len(c.pipeline) > 0 && c.pipeline[0].ready && !c.broken {
		first := c.pipeline[0]
		c.pipeline = c.pipeline[1:]
		c.writing = first
		c.writeResponse(first, first.close || len(c.pipeline) == 0 && (c.last || c.frontend.draining()))
		c.writing = nil
		if len(c.pipeline) > 0 && c.pipeline[0].turn != nil {
			close(c.pipeline[0].turn)
			c.pipeline[0].turn = nil
		}
	}
}

// writeResponse writes a response; c.mu is held, but not during the write.
func (c *callerConn) writeResponse(slot *responseSlot, last bool) {
	err := error(nil)
	switch {
	case !slot.started:
		c.last = c.last || last // it announces the end, so that no further request may be read
		err = c.unlocked(func() error { return c.writeWhole(slot, last) })
	case !slot.passed:
		err = errBodyBroken // the caller sees that the response is not whole
	default: // its head may not have announced the end
		last = slot.close || c.last && len(c.pipeline) == 0
	}
	c.frontend.Queued.remove(c, slot.response.size())
	if err != nil {
		c.noteCut()
		c.endFor(writeEnd(err))
		c.broken = true
		c.cancel()
		_ = c.conn.Close()
		c.pipeline = nil // nobody receives the responses
		c.frontend.Queued.end(c)
		return
	}
	if last {
		c.broken, c.ended = true, true
		_ = c.conn.SetReadDeadline(time.Now()) // ends awaitRequest
		if len(c.pipeline) > 0 {
			c.writing = nil // it is answered
			c.noteCut()
			c.cancel() // requests pipelined after the last response are treated as not read
		}
		c.closeWrite()
	}
}

// unlocked runs a function without c.mu, which is held before and after.
func (c *callerConn) unlocked(run func() error) error {
	c.mu.Unlock()
	defer c.mu.Lock()
	return run()
}

// writeWhole writes a response whose body is held.
func (c *callerConn) writeWhole(slot *responseSlot, last bool) error {
	head, body := encodeResponse(slot.method, slot.response, last)
	if err := c.write(head); err != nil {
		return err
	}
	return c.write(body)
}

// write writes all bytes, however slowly the caller reads, unless it accepts none for WriteStall.
func (c *callerConn) write(text []byte) error {
	for len(text) > 0 {
		_ = c.conn.SetWriteDeadline(time.Now().Add(c.frontend.WriteStall))
		n, err := c.conn.Write(text[:min(len(text), maxWrite)])
		text = text[n:]
		if err != nil && (n == 0 || !isTimeout(err)) {
			return err
		}
	}
	return nil
}

// closeWrite closes the write side after the last response, because closing both sides could reset the connection.
func (c *callerConn) closeWrite() {
	if closer, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
}

// refuse sends a refusal for a request that cannot be served, and ends the connection.
func (c *callerConn) refuse(in *incoming, failure retry.Failure) error {
	slot, err := c.reserveSlot(in, true, budget.Claim{}, 0)
	if err != nil {
		return err
	}
	request := &in.request
	c.frontend.Log.Info().Str("request", request.ID).Str("reason", string(retry.Describe(failure).Reason)).
		Str("address", c.address.String()).Str("account", c.accountOf(request.APIKey)).Msg("request-refused")
	c.complete(slot, in.parsed.Method, c.frontend.Dialect.EncodeRefusal(request.ID, failure, refusalRetryAfter(failure)), true)
	return &readStopped{"the request was refused"}
}

// refuseUnread refuses a request that was not read whole, unless the caller has left. Earlier requests on the connection
// are still answered.
func (c *callerConn) refuseUnread(in *incoming, err error) error {
	switch {
	case isTimeout(err):
		return c.refuse(in, retry.DeadlineBefore{})
	case callerLeft(err):
		return err
	case errors.Is(err, errHeaderSize):
		return c.refuse(in, retry.HeaderTooLarge{})
	case errors.Is(err, errReadPanic):
		return c.refuse(in, retry.Overload{})
	}
	return c.refuse(in, retry.BadRequest{})
}

// headerSize returns the size of the request line and the header in bytes.
func headerSize(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + 20
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return int64(size)
}

// size returns about the number of bytes that the response takes while it waits for its caller. The buffer of a body may
// be twice as long as the body.
func (r *Response) size() int64 { return int64(cap(r.Body)) + responseOverhead }

// encodeResponse encodes a complete response. It keeps the server's header except for the fields about the
// connection. A long body is not copied and has to be written after the head.
func encodeResponse(method string, r Response, last bool) (head, body []byte) {
	var buf bytes.Buffer
	buf.Grow(512 + min(len(r.Body), maxCopied))
	fmt.Fprintf(&buf, "HTTP/1.1 %d %s\r\n", r.Status, statusText(r.Status))
	writeHeader(&buf, r.Header)
	bodiless := r.Status == http.StatusNoContent || r.Status == http.StatusNotModified
	if !bodiless && (method != http.MethodHead || len(r.Body) > 0) {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if last {
		buf.WriteString("Connection: close\r\n")
	}
	buf.WriteString("\r\n")
	if bodiless || method == http.MethodHead {
		return buf.Bytes(), nil
	}
	if len(r.Body) > maxCopied {
		return buf.Bytes(), r.Body
	}
	buf.Write(r.Body)
	return buf.Bytes(), nil
}

// writeHeader writes header fields. It does not sort them, which http.Header.Write does.
func writeHeader(buf *bytes.Buffer, header http.Header) {
	for name, values := range header {
		for _, value := range values {
			if strings.ContainsAny(name, "\r\n: ") || strings.ContainsAny(value, "\r\n") {
				continue // a peer that is not valid HTTP could inject fields
			}
			buf.WriteString(name)
			buf.WriteString(": ")
			buf.WriteString(value)
			buf.WriteString("\r\n")
		}
	}
}

func statusText(status int) string {
	if text := http.StatusText(status); text != "" {
		return text
	}
	return "Status"
}
