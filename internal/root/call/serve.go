package call

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// refusalGrace is how long the report of a passed deadline may take to be written.
const refusalGrace = time.Second

var (
	errNoLength = errors.New("response has neither a length nor chunks")

	// These pools save a call five allocations of 4 to 32 KiB.
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}
	heads   = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, wire.HeaderSize+dataSize) }}
	blocks  = sync.Pool{New: func() any { return new([wire.HeaderSize + dataSize]byte) }}
)

type (
	// Server runs calls in the backend server beside this daemon.
	Server struct {
		Clock clock.Clock
		Meter *meter.Meter
		Log   zerolog.Logger

		backends *backends
		suspects *crash.Suspects
		outer    *outerCalls
		running  activity
		leaving  atomic.Bool // new calls are refused
	}

	// served is one call in progress at the daemon beside the backend server.
	served struct {
		server  *Server
		head    *Head
		writer  *bufio.Writer
		backend *backend
		ticket  *admit.Ticket
		outer   *outerCall
		body    *io.PipeReader
		sending *sending
	}
)

// ServeStream serves one call stream and closes it.
func (s *Server) ServeStream(ctx context.Context, stream *link.Stream) {
	s.running.begin()
	defer s.running.end()
	defer func() { _ = stream.Close() }()
	defer func() {
		if cause := recover(); cause != nil {
			s.Log.Error().Str("peer", stream.Peer).Interface("cause", cause).Bytes("stack", debug.Stack()).Msg("call-panicked")
		}
	}()
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(stream)
	head, err := readHead(reader)
	if err != nil {
		readers.Put(reader)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, head.Timeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { endWrites(ctx, stream) })
	defer stop()
	body, feed := io.Pipe()
	defer func() { _ = body.Close() }()
	go receiveBody(reader, feed, cancel)
	writer := writers.Get().(*bufio.Writer)
	defer writers.Put(writer)
	writer.Reset(stream)
	c := &served{
		server: s,
		head:   head,
		writer: writer,
		body:   body,
		outer: &outerCall{
			ctx:        ctx,
			id:         head.RequestID,
			account:    head.Account,
			importance: admit.Importance(head.Importance),
			budget:     retry.NewBudget(head.Retries),
			chain:      append(head.Chain[:len(head.Chain):len(head.Chain)], ""),
		},
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.outer.deadline = deadline
	}
	c.serve(ctx)
	// The rest of the body is discarded from here on, so that a sender that is still writing it gets to
	// read the answer.
	_ = body.Close()
	_ = c.writer.Flush()
}

// endWrites bounds the writes of a call that has ended: without it, an answer whose reader has gone would
// hold its slot until the stream's window opens.
func endWrites(ctx context.Context, stream *link.Stream) {
	limit := time.Unix(1, 0)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		limit = time.Now().Add(refusalGrace) // on the machine's clock, because it bounds real I/O
	}
	_ = stream.SetWriteDeadline(limit)
}

func readHead(reader io.Reader) (*Head, error) {
	frame, err := wire.ReadFrame(reader, maxFrame)
	if err != nil {
		return nil, fmt.Errorf("read call head: %w", err)
	}
	if frame.Kind != kindHead {
		return nil, fmt.Errorf("read call head: frame kind %d", frame.Kind)
	}
	return wire.Decode[Head](frame.Body)
}

// receiveBody feeds the request body and cancels the call when the stream ends, which means that the
// caller has gone or has received the whole answer.
func receiveBody(reader *bufio.Reader, feed *io.PipeWriter, cancel context.CancelFunc) {
	defer readers.Put(reader)
	defer cancel()
	var buf []byte
	for {
		frame, err := wire.ReadFrameInto(reader, buf, maxFrame)
		if err != nil {
			cancel() // first, so that the failed upload is not taken for a failure of the backend server
			_ = feed.CloseWithError(fmt.Errorf("receive request body: %w", io.ErrUnexpectedEOF))
			return
		}
		buf = frame.Body[:cap(frame.Body)]
		switch frame.Kind {
		case kindData:
			// A write fails once the backend server needs no more of the body; the rest is discarded.
			_, _ = feed.Write(frame.Body)
		case kindDataEnd:
			_ = feed.Close()
		default:
			cancel()
			_ = feed.CloseWithError(fmt.Errorf("receive request body: frame kind %d", frame.Kind))
			return
		}
	}
}

func (c *served) serve(ctx context.Context) {
	target, err := c.server.backends.find(c.head.Instance, c.head.Incarnation)
	if err != nil {
		c.refuse(retry.Unreached{})
		return
	}
	c.backend = target
	c.outer.chain[len(c.outer.chain)-1] = target.endpoint.Service
	if target.leaving.Load() || c.server.leaving.Load() {
		c.refuse(retry.Draining{})
		return
	}
	if failure := c.admit(ctx); failure != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.server.Meter.Shed(importanceName(c.outer.importance), string(retry.Describe(failure).Reason))
		}
		c.refuse(failure)
		return
	}
	result := admit.Result(admit.Lost{}) // holds when run panics
	defer func() { c.backend.limiter.Done(c.server.Clock.Now(), c.ticket, result) }()
	result = c.run(ctx, c.server.Clock.Now())
}

// admit waits for a slot; it returns nil once the call has one.
func (c *served) admit(ctx context.Context) retry.Failure {
	now := c.server.Clock.Now()
	c.ticket = &admit.Ticket{
		Account:    c.head.Account,
		Weight:     c.server.weight(c.head.Account),
		Route:      c.head.Route,
		Importance: c.outer.importance,
		HeldSlots:  held(c.head.Chain, c.backend.endpoint.Service),
		Deadline:   c.outer.deadline,
	}
	limiter := c.backend.limiter
	switch decision := limiter.Offer(now, c.ticket).(type) {
	case admit.Refused:
		return decision.Failure
	case admit.Queued:
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

// weight returns the share of a client account in the fair queue, which is its rate.
func (s *Server) weight(account string) float64 {
	set := s.backends.control.Snapshot().Rules
	if set == nil || set.Accounts[account] == nil {
		return 0
	}
	return set.Accounts[account].Rate.PerSecond()
}

// held counts the slots of the service that the request's call chain already holds.
func held(chain []string, service string) uint8 {
	var n uint8
	for _, name := range chain {
		if name == service {
			n++
		}
	}
	return n
}

// run sends the request to the backend server and streams its answer back.
func (c *served) run(ctx context.Context, started time.Time) admit.Result {
	if c.head.WaitAdmitted {
		if wire.WriteFrame(c.writer, kindAdmitted, nil) != nil || c.writer.Flush() != nil {
			return admit.Canceled{}
		}
	}
	incarnation := c.backend.endpoint.Incarnation
	token := c.server.outer.add(c.outer)
	defer c.server.outer.remove(token)
	c.server.suspects.Begin(incarnation, c.head.Fingerprint)
	request, err := c.request(ctx, token)
	if err != nil {
		c.endSuspect(false)
		c.refuse(retry.BadRequest{})
		return admit.Canceled{}
	}
	defer c.sending.cancel()
	response, err := c.backend.transport.RoundTrip(request)
	if err != nil {
		return c.roundTripFailed(ctx, started, err)
	}
	defer func() { _ = response.Body.Close() }()
	now := c.server.Clock.Now()
	served := now.Sub(started)
	latency := c.outer.ownTime(now, now.Sub(started))
	if unbounded(response) {
		c.endSuspect(true)
		c.server.Log.Warn().Str("service", c.backend.endpoint.Service).Str("route", c.head.Route).Err(errNoLength).Msg("answer-refused")
		c.outer.budget.MarkFinal()
		c.refuse(retry.BackendLost{})
		return admit.Completed{Latency: latency}
	}
	c.backend.limiter.Responded(now, c.ticket, latency)
	if err := c.relay(response, served); err != nil {
		return c.bodyFailed(ctx, err)
	}
	c.endSuspect(true)
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		return admit.Shed{}
	}
	return admit.Completed{}
}

// unbounded reports whether a response ends with its connection: its end looks the same when the backend
// server dies, so it never proves to be whole.
func unbounded(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
}

func (c *served) request(ctx context.Context, token string) (*http.Request, error) {
	ctx, cancel := context.WithCancel(ctx)
	c.sending = &sending{cancel: cancel}
	trace := &httptrace.ClientTrace{GotConn: c.sending.gotConn}
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
	request.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(c.outer.deadline).Milliseconds(), 10))
	if c.head.Account != "" {
		request.Header.Set(HeaderAccount, c.head.Account)
	}
	return request, nil
}

// relay streams a whole response; errors wrap errCutShort when the backend server ended it early.
func (c *served) relay(response *http.Response, served time.Duration) error {
	failed := response.StatusCode >= http.StatusInternalServerError
	answer := &Answer{
		Status:        int32(response.StatusCode),
		Header:        field.Of(answerHeader(response.Header)),
		ContentLength: response.ContentLength,
		Report:        c.report(failed),
	}
	answer.Report.Served = served
	if err := wire.WriteMessage(c.writer, kindAnswer, answer); err != nil {
		return fmt.Errorf("send answer: %w", err)
	}
	block := blocks.Get().(*[wire.HeaderSize + dataSize]byte)
	defer blocks.Put(block)
	buf := block[:]
	for {
		n, err := response.Body.Read(buf[wire.HeaderSize:])
		if n > 0 {
			wire.PutHeader(buf, kindData, n)
			if _, werr := c.writer.Write(buf[:wire.HeaderSize+n]); werr != nil {
				return fmt.Errorf("send answer body: %w", werr)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			_ = c.writer.Flush()
			return fmt.Errorf("%w: %w", errCutShort, err)
		}
		if err := c.writer.Flush(); err != nil {
			return fmt.Errorf("send answer body: %w", err)
		}
	}
	end := &End{Report: c.report(failed)}
	if len(response.Trailer) > 0 {
		end.Trailer = field.Of(answerHeader(response.Trailer))
	}
	return wire.WriteMessage(c.writer, kindEnd, end)
}

func (c *served) roundTripFailed(ctx context.Context, started time.Time, err error) admit.Result {
	now := c.server.Clock.Now()
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.endSuspect(false)
		failure := retry.Failure(retry.DeadlineBefore{})
		if c.sending.reached(ctx) {
			failure = retry.DeadlineAfter{}
		}
		c.refuse(failure)
		return admit.Expired{Latency: c.outer.ownTime(now, now.Sub(started))}
	case canceled(ctx):
		c.endSuspect(false)
		return admit.Canceled{}
	case !c.sending.reached(ctx):
		c.endSuspect(false)
		if refused := new(net.OpError); errors.As(err, &refused) && refused.Op == "dial" {
			c.server.backends.control.Refused(c.backend.endpoint.Address)
		}
		c.refuse(retry.Unreached{})
		return admit.Lost{}
	}
	crashed := c.server.backends.lost(c.backend, c.head.Fingerprint)
	c.server.Meter.BackendLost(c.backend.endpoint.Service)
	c.refuseWith(&RefusedCall{Crashed: crashed}, retry.BackendLost{})
	return admit.Lost{}
}

// bodyFailed ends a call whose answer has begun; closing the stream without an end tells the caller.
func (c *served) bodyFailed(ctx context.Context, err error) admit.Result {
	if canceled(ctx) || !errors.Is(err, errCutShort) {
		c.endSuspect(false)
		return admit.Canceled{}
	}
	c.server.backends.lost(c.backend, c.head.Fingerprint)
	c.server.Meter.BackendLost(c.backend.endpoint.Service)
	return admit.Lost{}
}

// endSuspect ends the request's time in flight.
func (c *served) endSuspect(complete bool) {
	incarnation := c.backend.endpoint.Incarnation
	if c.server.suspects.End(c.server.Clock.Now(), incarnation, c.head.Fingerprint, complete) {
		c.server.backends.control.ClearSuspect(c.head.Fingerprint)
	}
}

func (c *served) refuse(failure retry.Failure) { c.refuseWith(&RefusedCall{}, failure) }

func (c *served) refuseWith(message *RefusedCall, failure retry.Failure) {
	row := retry.Describe(failure)
	message.Reason, message.Outcome = row.Reason, row.Outcome
	message.Report = c.report(true)
	// A failed write means that the caller has gone.
	_ = wire.WriteMessage(c.writer, kindRefused, message)
}

// report returns what an answering message tells besides its content. It takes the unspent retries out of
// the budget, so that a nested call that starts later cannot spend what the sender has taken back.
func (c *served) report(failed bool) Report {
	report := Report{
		Unspent:    c.outer.budget.Lend().Retries,
		Final:      failed && c.outer.budget.Final(),
		Overloaded: failed && c.outer.overloaded.Load(),
	}
	if c.backend != nil {
		load := c.backend.limiter.Load()
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
