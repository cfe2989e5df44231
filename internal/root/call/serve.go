package call

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/head"
	"github.com/buckthornpitch/buckthornpitch/internal/logs"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/epoch"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// refusalWriteTimeout bounds the write of the refusal that reports a passed deadline.
const refusalWriteTimeout = time.Second

var (
	errNoLength     = errors.New("response has neither a length nor chunks")
	errOtherAttempt = errors.New("response does not name the attempt that it follows")
	errNoBody       = errors.New("no part of the response body can be read")

	// These pools save five allocations of 4 to 32 KiB for each call.
	readerPool     = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}
	headWriterPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}
	writerPool     = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, wire.HeaderSize+dataFrameSize) }}
	dataFramePool  = sync.Pool{New: func() any { return new([wire.HeaderSize + dataFrameSize]byte) }}
)

type (
	// Server runs calls of daemons in the local backend servers.
	Server struct {
		Clock clock.Clock
		Meter *meter.Meter
		Log   zerolog.Logger

		backends *backends
		suspects *crash.Suspects
		parents  *parentRequests
		calls    activity
		leaving  atomic.Bool // new calls are refused
		invalid  logs.Repeat // lines about invalid calls
	}

	// incomingCall is the serving side of one call stream, at the daemon next to the backend server.
	incomingCall struct {
		server  *Server
		head    *RequestHead
		writer  *bufio.Writer
		backend *backend
		ticket  *admit.Ticket
		parent  *parentRequest
		body    *io.PipeReader
		conns   *connTracker
	}
)

// ServeStream serves one call stream and closes it.
func (s *Server) ServeStream(ctx context.Context, stream *link.Stream) {
	s.calls.begin()
	defer s.calls.end()
	defer func() { _ = stream.Close() }()
	defer func() {
		if cause := recover(); cause != nil {
			s.Log.Error().Str("peer", stream.Peer).Interface("cause", cause).Bytes("stack", debug.Stack()).Msg("call-panicked")
		}
	}()
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(stream)
	head, err := readHead(reader)
	if err != nil {
		readerPool.Put(reader)
		s.refuseInvalid(stream, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, head.Timeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { limitWrites(ctx, stream) })
	defer stop()
	body, bodyWriter := io.Pipe()
	defer func() { _ = body.Close() }()
	go receiveBody(reader, bodyWriter, cancel)
	writer := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(writer)
	writer.Reset(stream)
	c := &incomingCall{
		server: s,
		head:   head,
		writer: writer,
		body:   body,
		parent: &parentRequest{
			ctx:        ctx,
			id:         head.RequestID,
			account:    head.Account,
			importance: admit.Importance(head.Importance),
			budget:     retry.NewBudget(head.Retries),
			regions:    head.Regions,
			chain:      append(head.Chain[:len(head.Chain):len(head.Chain)], ""),
		},
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.parent.deadline = deadline
	}
	c.serve(ctx)
	// The rest of the body is discarded, so that a sender that is still writing it can finish and read the
	// response.
	_ = body.Close()
	_ = c.writer.Flush()
}

// limitWrites bounds the writes of a call that has ended. Without it, a response that the other daemon no longer
// reads would occupy its slot until the flow-control window of the stream opens.
func limitWrites(ctx context.Context, stream *link.Stream) {
	limit := time.Unix(1, 0)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		limit = time.Now().Add(refusalWriteTimeout) // system clock, because it bounds real I/O
	}
	_ = stream.SetWriteDeadline(limit)
}

// refuseInvalid refuses a call whose head is invalid. A stream that ended, or began with another frame, gets no reply.
func (s *Server) refuseInvalid(stream *link.Stream, cause error) {
	if !errors.Is(cause, wire.ErrDecode) {
		return
	}
	s.Meter.InvalidMessage("call")
	if others, ok := s.invalid.Allow(time.Now()); ok {
		s.Log.Warn().Str("peer", stream.Peer).Err(cause).Int("others", others).Msg("call-invalid")
	}
	row := retry.Describe(invalidCallFailure(cause))
	_ = stream.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_ = wire.WriteMessage(stream, kindRefusal, &Refusal{Reason: row.Reason, Outcome: row.Outcome})
}

func readHead(reader io.Reader) (*RequestHead, error) {
	frame, err := wire.ReadFrame(reader, maxFrame)
	if err != nil {
		return nil, fmt.Errorf("read call head: %w", err)
	}
	if frame.Kind != kindRequestHead {
		return nil, fmt.Errorf("read call head: frame kind %d", frame.Kind)
	}
	return wire.Decode[RequestHead](frame.Body)
}

// receiveBody writes the request body to bodyWriter and cancels the call when the stream ends, which means
// that the caller has gone or has received the whole response.
func receiveBody(reader *bufio.Reader, bodyWriter *io.PipeWriter, cancel context.CancelFunc) {
	defer readerPool.Put(reader)
	defer cancel()
	var buf []byte
	for {
		frame, err := wire.ReadFrameInto(reader, buf, maxFrame)
		if err != nil {
			cancel() // first, so that the failed upload does not count as a failure of the backend server
			_ = bodyWriter.CloseWithError(fmt.Errorf("receive request body: %w", io.ErrUnexpectedEOF))
			return
		}
		buf = frame.Body[:cap(frame.Body)]
		switch frame.Kind {
		case kindData:
			// A write fails after the backend server has stopped reading the body; the rest is discarded.
			_, _ = bodyWriter.Write(frame.Body)
		case kindDataEnd:
			_ = bodyWriter.Close()
		default:
			cancel()
			_ = bodyWriter.CloseWithError(fmt.Errorf("receive request body: frame kind %d", frame.Kind))
			return
		}
	}
}

func (c *incomingCall) serve(ctx context.Context) {
	found, err := c.server.backends.find(c.head.Instance, c.head.Incarnation)
	if err != nil {
		c.refuse(retry.Unreached{})
		return
	}
	c.backend = found
	c.parent.chain[len(c.parent.chain)-1] = found.endpoint.Service
	if found.leaving.Load() || c.server.leaving.Load() {
		c.refuse(retry.Draining{})
		return
	}
	failure := c.admit(ctx)
	if zoneFailure := c.server.backends.zoneFailure(found); failure == nil && zoneFailure != nil {
		found.limiter.Cancel(c.server.Clock.Now(), c.ticket)
		failure = zoneFailure
	}
	if failure != nil {
		if failure == (retry.Evacuated{}) {
			c.server.Meter.EvacuationRefused()
		}
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.server.Meter.Shed(importanceName(c.parent.importance), string(retry.Describe(failure).Reason))
		}
		c.refuse(failure)
		return
	}
	result := admit.Result(admit.Lost{}) // recorded when run panics
	defer func() {
		c.backend.limiter.Done(c.server.Clock.Now(), c.ticket, result)
		c.server.backends.updateCold(c.backend)
	}()
	result = c.run(ctx, c.server.Clock.Now())
}

// admit waits for a slot; it returns nil once the call has one.
func (c *incomingCall) admit(ctx context.Context) retry.Failure {
	if failure := c.server.backends.zoneFailure(c.backend); failure != nil {
		return failure
	}
	now := c.server.Clock.Now()
	c.ticket = c.server.newTicket(c.head.Account, c.head.Route, c.parent.importance, c.parent.deadline)
	c.ticket.HeldSlots = slotsHeld(c.head.Chain, c.backend.endpoint.Service)
	limiter := c.backend.limiter
	c.server.backends.refreshCold(c.backend)
	switch decision := limiter.Offer(now, c.ticket).(type) {
	case admit.Refused:
		c.server.backends.countColdStart(decision.Cold, meter.ColdRefused)
		return decision.Failure
	case admit.Queued:
		c.server.backends.countColdStart(decision.Cold, meter.ColdDelayed)
		c.server.backends.updateCold(c.backend)
		timer := c.server.Clock.NewTimer(decision.Until.Sub(now))
		defer timer.Stop()
		var verdict admit.Decision
		select {
		case verdict = <-decision.Verdict:
		case <-timer.C():
			verdict = limiter.Expire(c.server.Clock.Now(), c.ticket)
		case <-ctx.Done():
			limiter.Cancel(c.server.Clock.Now(), c.ticket)
			return retry.DeadlineBefore{}
		}
		c.server.Meter.QueueWait(c.server.Clock.Now().Sub(now))
		if refusal, ok := verdict.(admit.Refused); ok {
			return refusal.Failure
		}
	}
	return nil
}

func (s *Server) newTicket(account, route string, importance admit.Importance, deadline time.Time) *admit.Ticket {
	return &admit.Ticket{Account: account, Weight: s.weight(account), Route: route, Importance: importance, Deadline: deadline}
}

// weight returns the weight of a client account in the fair queue, which is its rate.
func (s *Server) weight(account string) float64 {
	set := s.backends.control.Snapshot().Rules
	if set == nil || set.Accounts[account] == nil {
		return 0
	}
	return set.Accounts[account].Rate.PerSecond()
}

// slotsHeld returns how many slots of the service the request's call chain already holds.
func slotsHeld(chain []string, service string) uint8 {
	var n uint8
	for _, name := range chain {
		if name == service {
			n++
		}
	}
	return n
}

// run sends the request to the backend server and streams the response back.
func (c *incomingCall) run(ctx context.Context, started time.Time) admit.Result {
	if c.head.WaitAdmitted {
		if wire.WriteFrame(c.writer, kindAdmitted, nil) != nil || c.writer.Flush() != nil {
			return admit.Canceled{}
		}
	}
	token := c.server.parents.add(c.parent)
	defer c.server.parents.remove(token)
	c.server.suspects.Begin(c.backend.endpoint.Incarnation, c.head.Fingerprint)
	attempt := newToken()
	request, err := c.newBackendRequest(ctx, token, attempt)
	if err != nil {
		c.endSuspect(false)
		c.refuse(retry.BadRequest{})
		return admit.Canceled{}
	}
	defer c.conns.cancel()
	response, err := head.Transport{Base: c.backend.reused()}.RoundTrip(request)
	if errors.Is(err, head.ErrMalformed) {
		return c.malformed(err, true)
	}
	if err != nil {
		return c.roundTripFailed(ctx, started, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.Close || request.Close {
		c.conns.markLastUse()
	} else {
		c.server.backends.applyIdleTimeout(c.backend, response.Header, c.conns)
	}
	return c.respond(ctx, started, attempt, response)
}

// respond streams a response back, unless it cannot be known to be complete or to follow this attempt.
func (c *incomingCall) respond(
	ctx context.Context, started time.Time, attempt string, response *http.Response,
) admit.Result {
	now := c.server.Clock.Now()
	latency := c.parent.selfTime(now, now.Sub(started))
	switch {
	case c.backend.returnsAttempt && response.Header.Get(HeaderAttempt) != attempt:
		c.endSuspect(false)
		c.backend.stopReuse()
		c.conns.discard()
		c.refuseResponse(errOtherAttempt)
		return admit.Lost{}
	case endsWithConnection(response):
		c.endSuspect(true)
		c.parent.budget.MarkFinal()
		c.refuseResponse(errNoLength)
		return admit.Completed{Latency: latency}
	}
	c.backend.limiter.Responded(now, c.ticket, latency)
	if err := c.relay(response, now.Sub(started)); err != nil {
		return c.relayFailed(ctx, started, err)
	}
	c.endSuspect(true)
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		return admit.Shed{}
	}
	return admit.Completed{}
}

// relayFailed ends a call whose response was not streamed back in full.
func (c *incomingCall) relayFailed(ctx context.Context, started time.Time, err error) admit.Result {
	nothingSent := errors.Is(err, errNoBody)
	switch {
	case errors.Is(err, errNotEncoded): // nothing has been sent
		c.endSuspect(true)
		c.refuseResponse(err)
		return admit.Completed{}
	case errors.Is(err, head.ErrMalformed):
		return c.malformed(err, nothingSent)
	case nothingSent:
		return c.roundTripFailed(ctx, started, err)
	}
	return c.bodyFailed(ctx, err)
}

// refuseResponse refuses a call whose response cannot be passed on. The backend server may have run it.
func (c *incomingCall) refuseResponse(cause error) {
	c.server.Log.Warn().Str("service", c.backend.endpoint.Service).Str("route", c.head.Route).Err(cause).Msg("answer-refused")
	c.refuse(retry.BackendLost{})
}

// malformed ends a call whose response is malformed. The server works, so that it is not suspected of a crash. Nothing has
// been sent to the other daemon if refuse is set; otherwise the missing end of the stream shows the failure.
func (c *incomingCall) malformed(cause error, refuse bool) admit.Result {
	c.endSuspect(false)
	c.conns.discard()
	if refuse {
		c.refuseResponse(cause)
	}
	return admit.Lost{}
}

// endsWithConnection reports whether only the end of the connection marks the end of the response. That end
// looks the same when the backend server dies, so the response cannot be known to be complete.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
}

func (c *incomingCall) newBackendRequest(ctx context.Context, token, attempt string) (*http.Request, error) {
	ctx, cancel := context.WithCancel(ctx)
	c.conns = &connTracker{cancel: cancel, confirm: func() retry.Failure { return c.server.backends.confirm(c.backend, c.ticket) }}
	trace := &httptrace.ClientTrace{GotConn: c.conns.gotConn, PutIdleConn: c.conns.putIdleConn}
	var body io.Reader = c.body
	if c.head.ContentLength == 0 {
		body = http.NoBody
	}
	url := "http://" + c.backend.endpoint.Address + c.head.Target
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.head.Method, url, body)
	if err != nil {
		return nil, fmt.Errorf("build backend request: %w", err)
	}
	field.Add(request.Header, c.head.Header)
	request.ContentLength = c.head.ContentLength
	request.Host = c.head.Host
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header["User-Agent"] = nil // keeps the transport from adding its own
	}
	request.Header.Set(HeaderCall, token)
	request.Header.Set(HeaderRequest, c.head.RequestID)
	request.Header.Set(HeaderAttempt, attempt)
	request.Close = c.backend.singleUse.Load()
	request.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(c.parent.deadline).Milliseconds(), 10))
	if c.head.Account != "" {
		request.Header.Set(HeaderAccount, c.head.Account)
	}
	return request, nil
}

// relay streams a response to the sending daemon. Its error wraps errTruncated when the backend server ended
// the response early, and errNoBody when it did so before the first part of the body, so that nothing has been
// sent.
func (c *incomingCall) relay(response *http.Response, backendLatency time.Duration) error {
	block := dataFramePool.Get().(*[wire.HeaderSize + dataFrameSize]byte)
	defer dataFramePool.Put(block)
	buf := block[:]
	n, err := response.Body.Read(buf[wire.HeaderSize:])
	if n == 0 && err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %w", errNoBody, err)
	}
	failed := response.StatusCode >= http.StatusInternalServerError
	first := &ResponseHead{
		Status:        int32(response.StatusCode),
		Header:        field.FromHeader(responseHeader(response.Header)),
		ContentLength: response.ContentLength,
		Report:        c.report(failed),
	}
	first.Report.BackendLatency = backendLatency
	if err := c.sendHead(first); err != nil {
		return fmt.Errorf("send response head: %w", err)
	}
	for ; ; n, err = response.Body.Read(buf[wire.HeaderSize:]) {
		if n > 0 {
			wire.PutHeader(buf, kindData, n)
			if _, werr := c.writer.Write(buf[:wire.HeaderSize+n]); werr != nil {
				return fmt.Errorf("send response body: %w", werr)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			_ = c.writer.Flush()
			return fmt.Errorf("%w: %w", errTruncated, err)
		}
		if err := c.writer.Flush(); err != nil {
			return fmt.Errorf("send response body: %w", err)
		}
	}
	end := &ResponseEnd{Report: c.report(failed)}
	if len(response.Trailer) > 0 {
		end.Trailer = field.FromHeader(responseHeader(response.Trailer))
	}
	return wire.WriteMessage(c.writer, kindResponseEnd, end)
}

// sendHead sends the head of a response. An error that wraps errNotEncoded means that nothing was sent.
func (c *incomingCall) sendHead(first *ResponseHead) error {
	body, err := encode(first)
	if err != nil {
		return err
	}
	return wire.WriteFrame(c.writer, kindResponseHead, body)
}

func (c *incomingCall) roundTripFailed(ctx context.Context, started time.Time, err error) admit.Result {
	now := c.server.Clock.Now()
	switch {
	case c.conns.refused != nil && !c.conns.mayHaveReached(ctx):
		c.endSuspect(false)
		c.refuse(c.conns.refused)
		return admit.Canceled{}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.endSuspect(false)
		failure := retry.Failure(retry.DeadlineBefore{})
		if c.conns.mayHaveReached(ctx) {
			failure = retry.DeadlineAfter{}
		}
		c.refuse(failure)
		return admit.Expired{Latency: c.parent.selfTime(now, now.Sub(started))}
	case canceled(ctx):
		c.endSuspect(false)
		return admit.Canceled{}
	case !c.conns.mayHaveReached(ctx):
		c.endSuspect(false)
		switch {
		case epoch.Refused(err):
			c.server.backends.unreachable(c.backend)
		case epoch.DialFailed(err):
			c.server.backends.suspectRestart(c.backend)
		}
		c.refuse(retry.Unreached{})
		return admit.Lost{}
	}
	crashed := c.server.backends.connectionLost(c.backend, c.head.Fingerprint)
	c.server.Meter.BackendConnectionLost(c.backend.endpoint.Service)
	c.refuseWith(&Refusal{Crashed: crashed}, retry.BackendLost{})
	return admit.Lost{}
}

// bodyFailed ends a call whose response has started. The sending daemon detects the failure because the
// stream is closed without a ResponseEnd.
func (c *incomingCall) bodyFailed(ctx context.Context, err error) admit.Result {
	if canceled(ctx) || !errors.Is(err, errTruncated) {
		c.endSuspect(false)
		return admit.Canceled{}
	}
	c.server.backends.connectionLost(c.backend, c.head.Fingerprint)
	c.server.Meter.BackendConnectionLost(c.backend.endpoint.Service)
	return admit.Lost{}
}

// endSuspect removes the request from those in flight in the backend server, which are suspects when it
// crashes.
func (c *incomingCall) endSuspect(complete bool) {
	incarnation := c.backend.endpoint.Incarnation
	if c.server.suspects.End(c.server.Clock.Now(), incarnation, c.head.Fingerprint, complete) {
		c.server.backends.control.ClearSuspect(c.head.Fingerprint)
	}
}

func (c *incomingCall) refuse(failure retry.Failure) { c.refuseWith(&Refusal{}, failure) }

func (c *incomingCall) refuseWith(message *Refusal, failure retry.Failure) {
	row := retry.Describe(failure)
	message.Reason, message.Outcome = row.Reason, row.Outcome
	message.Report = c.report(true)
	// A failed write means that the sending daemon has gone.
	_ = wire.WriteMessage(c.writer, kindRefusal, message)
}

// report returns the report for the next message. It takes the unspent retries out of the budget, so that a
// nested call that starts later cannot spend the retries that have been returned to the sending daemon.
func (c *incomingCall) report(failed bool) Report {
	report := Report{
		Unspent:    c.parent.budget.Lend().Retries,
		Final:      failed && c.parent.budget.Final(),
		Overloaded: failed && c.parent.overloaded.Load(),
	}
	if c.backend != nil {
		load := c.backend.limiter.Load(c.server.Clock.Now())
		report.ColdRate, report.ColdFor, report.ColdWait = load.ColdRate, load.ColdFor, load.ColdWait
		if load.Limit > 0 {
			report.Load = float64(load.InFlight+load.Waiting) / float64(load.Limit)
		}
	}
	return report
}

func importanceName(i admit.Importance) string {
	switch i {
	case admit.Critical:
		return "critical"
	case admit.Bulk:
		return "bulk"
	}
	return "normal"
}
