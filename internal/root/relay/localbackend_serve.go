package relay

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/head"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/epoch"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/gate"
)

const (
	// unreachablePeriod is how long no request is sent to a server that has refused a connection.
	unreachablePeriod = 150 * time.Millisecond

	// maxLinger bounds how long the rest of a run is awaited after its caller has gone. Callers and servers expect
	// work to stop within half a second.
	maxLinger = 300 * time.Millisecond

	// suspectTimeout is how long a request whose connection broke remains a crash suspect, so that the first
	// notice of the restarted server can still report it.
	suspectTimeout = 6 * time.Second
)

// errRequestEnded reports that the caller or the deadline of the request may have ended the exchange.
var errRequestEnded = errors.New("request has ended")

type (
	// admission is the decision for a waiting request: refused is nil if it starts.
	admission struct{ refused outcome }

	// job is one request that this daemon or another one sends to the server.
	job struct {
		service     string
		route       string
		caller      string
		account     string
		fingerprint string
		nested      bool
		rank        int
		arrived     time.Time
		objective   time.Time
		deadline    time.Time
		request     *Request
	}
)

// serve passes a request through the admission controller and sends it to the server. A request that was on its way
// when the server turned cold is offered to the controller again.
func (b *LocalBackend) serve(ctx context.Context, j *job) (outcome, Report) {
	for {
		s, result := b.tryServe(ctx, j)
		if result != nil {
			return result, b.report(s, j)
		}
	}
}

// tryServe serves the request, or returns nil if it has to be offered again.
func (b *LocalBackend) tryServe(ctx context.Context, j *job) (*serverProcess, outcome) {
	s, ticket, refused := b.admit(ctx, j)
	if refused != nil {
		b.countRefusal(refused)
		return s, refused
	}
	b.Suspects.Begin(s.incarnation, j.fingerprint)
	ex := &exchange{
		request: j.request, deadline: j.deadline, linger: b.linger(s, j), start: startCheck{b, s, ticket}, claim: j.claim(),
		requestMeta: RequestMetadata{
			ID: j.request.ID, TimeLeft: j.deadline.Sub(b.Clock.Now()), Instance: s.instance,
			Account: j.account, CallerService: j.caller,
		},
	}
	ex.overdue = func() { b.releaseOverdue(s, ticket, ex) }
	ex.responding = func() { b.recordResponding(s) }
	response, responseMeta, err := s.pool.do(ctx, ex)
	if errors.Is(err, errNotConfirmed) {
		b.endSuspect(s, j, false)
		b.finishRun(s, ticket, gate.Shed{}, err)
		return s, nil
	}
	if cause := ctx.Err(); err != nil && cause != nil {
		err = fmt.Errorf("%w: %w: %w", errRequestEnded, cause, err)
	}
	if ex.released.Load() {
		b.overdue.Add(-1)
	}
	gateResult, result := b.classifyResult(ctx, s, j, response, responseMeta, err)
	b.finishRun(s, ticket, gateResult, err)
	return s, result
}

// linger returns how long the response of a run is awaited after its caller has gone: a long run is ended at once.
func (b *LocalBackend) linger(s *serverProcess, j *job) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if run := s.controller.ExpectedRun(j.route); run == 0 || run > maxLinger {
		return 0
	}
	return maxLinger
}

// admit offers the request to the admission controller and waits for its decision.
func (b *LocalBackend) admit(ctx context.Context, j *job) (*serverProcess, *gate.Ticket, outcome) {
	now := b.Clock.Now()
	s, ticket, decided, refused := b.offer(now, j)
	if refused != nil || decided == nil {
		return s, ticket, refused
	}
	select {
	case a := <-decided:
		b.Meter.QueueWait(b.Clock.Now().Sub(now))
		return s, ticket, a.refused
	case <-ctx.Done():
	}
	b.mu.Lock()
	withdrawn := s.controller.Cancel(ticket)
	delete(s.waiting, ticket)
	b.mu.Unlock()
	if !withdrawn { // the decision was made meanwhile
		if a := <-decided; a.refused == nil {
			b.finishRun(s, ticket, gate.Aborted{}, nil)
		}
	}
	return s, nil, notRun{failure: retry.DeadlineBefore{}}
}

// offer offers the request to the admission controller. The decision about a queued request arrives at decided,
// which is nil for a request that starts or is refused at once.
func (b *LocalBackend) offer(now time.Time, j *job) (s *serverProcess, ticket *gate.Ticket, decided chan admission, refused outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s = b.current
	if refused := b.unavailable(now, s, j); refused != nil {
		return s, nil, nil, refused
	}
	b.updateCold(now)
	ticket = j.ticket()
	switch decision := s.controller.Offer(now, ticket).(type) {
	case gate.Admitted:
		if s.unanswered >= maxUnanswered {
			s.probe = ticket
		}
	case gate.Refused:
		b.countColdStart(decision.Cold, meter.ColdRefused)
		b.Requests.Info().Str("request", j.request.ID).Str("route", j.route).Int("rank", j.rank).Bool("nested", j.nested).
			Dur("predicted-wait", decision.Wait).Dur("after", decision.RetryAfter).
			Int("running", s.controller.Running()).Int("waiting", s.controller.Waiting()).
			Dur("left", j.deadline.Sub(now)).Msg("gate-refused")
		return s, nil, nil, notRun{failure: retry.QueueFull{}, retryAfter: decision.RetryAfter}
	case gate.Queued:
		b.countColdStart(decision.Cold, meter.ColdDelayed)
		decided = make(chan admission, 1)
		s.waiting[ticket] = decided
		b.scheduleWake(now, s)
	}
	return s, ticket, decided, nil
}

// unavailable returns the outcome of a request that cannot be sent to the server at present, nil if it can;
// b.mu is held.
func (b *LocalBackend) unavailable(now time.Time, s *serverProcess, j *job) outcome {
	switch {
	case s == nil || s.notice.Service != j.service:
		return notRun{failure: retry.NoBackend{}}
	case s.leaving || b.draining:
		return notRun{failure: retry.Draining{}}
	case now.Before(s.unreachableUntil):
		return notRun{failure: retry.Unreached{}}
	case s.unanswered >= maxUnanswered && s.probe != nil:
		return notRun{failure: retry.Unreached{}}
	}
	if failure := b.zoneFailure(); failure != nil {
		return notRun{failure: failure}
	}
	return nil
}

// classifyResult converts the server's response or the error into the outcome of the request.
func (b *LocalBackend) classifyResult(ctx context.Context, s *serverProcess, j *job, response Response, responseMeta ResponseMetadata, err error) (gate.Result, outcome) {
	now := b.Clock.Now()
	if err == nil {
		b.endSuspect(s, j, true)
		if responseMeta.NotRun {
			return gate.Shed{}, notRun{failure: retry.Overload{}, retryAfter: response.retryAfter(), reached: true}
		}
		if response.Passed {
			return gate.Streamed{}, completed{response: response}
		}
		return gate.Completed{}, completed{response: response}
	}
	b.Requests.Info().Str("request", j.request.ID).Str("instance", s.instance).Err(err).Msg("exchange-failed")
	switch {
	case errors.Is(err, errNotSent):
		b.endSuspect(s, j, false)
		if ctx.Err() != nil {
			return gate.Aborted{}, notRun{failure: retry.DeadlineBefore{}}
		}
		return gate.Aborted{}, notRun{failure: retry.Unreached{}}
	case ctx.Err() != nil || !now.Before(j.deadline) || isRejected(err):
		b.endSuspect(s, j, false)
		if !now.Before(j.deadline) {
			return gate.Aborted{}, unknown{failure: retry.DeadlineAfter{}}
		}
		return gate.Aborted{}, unknown{failure: retry.BackendLost{}}
	}
	// The server may have crashed on this request; its next notice shows whether it has restarted.
	time.AfterFunc(suspectTimeout, func() { b.endSuspect(s, j, false) })
	b.Meter.BackendConnectionLost(j.service)
	return gate.Aborted{}, unknown{failure: retry.BackendLost{}}
}

// isRejected reports whether the daemon itself ended the exchange because of the bytes that it received, so
// that the error does not mean that the server has crashed.
func isRejected(err error) bool {
	for _, cause := range []error{
		errInvalidResponse, errUploadBroken, errBodyBroken, errNotTaken, errHeaderLimit, head.ErrMalformed, errHeaderSize,
		errBodySize, errBodyBudget, errExchangePanic,
	} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// retryAfter returns the delay that the server advises before a retry, zero without advice.
func (r Response) retryAfter() time.Duration {
	seconds, err := time.ParseDuration(r.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0 // no advice, or a date, which is not useful within a request
	}
	return max(seconds, 0)
}

func (b *LocalBackend) endSuspect(s *serverProcess, j *job, complete bool) {
	if b.Suspects.End(b.Clock.Now(), s.incarnation, j.fingerprint, complete) {
		b.Control.ClearSuspect(j.fingerprint)
	}
}

// finishRun releases the slot of a run and starts waiting requests.
func (b *LocalBackend) finishRun(s *serverProcess, t *gate.Ticket, gateResult gate.Result, err error) {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s.controller.Done(now, t, gateResult)
	if s.probe == t {
		s.probe = nil
	}
	switch {
	case err == nil:
		s.unanswered = 0
	case errors.Is(err, errNotConfirmed), errors.Is(err, errBodyBroken), errors.Is(err, errNotTaken):
	case errors.Is(err, errHeaderLimit): // the server has responded
		s.unanswered = 0
	case errors.Is(err, errNotSent) && !errors.Is(err, errRequestEnded) && epoch.Refused(err):
		s.unreachableUntil = now.Add(unreachablePeriod)
		b.suspectRestart(now, s)
		// Requests in flight when the server stopped accepting connections may have crashed it.
		if fingerprints := b.Suspects.Died(now, s.incarnation); len(fingerprints) > 0 && !s.leaving {
			go b.Control.ReportCrash(s.incarnation, fingerprints)
		}
	case !errors.Is(err, context.Canceled): // the end of a canceled request does not count against the server
		if errors.Is(err, errNotSent) && !errors.Is(err, errRequestEnded) && epoch.DialFailed(err) {
			b.suspectRestart(now, s) // a machine that has lost power refuses nothing
		}
		s.unanswered++
	}
	b.admitWaiting(now, s)
}

// recordResponding records that the server has begun a long response, which its caller may read for any time.
func (b *LocalBackend) recordResponding(s *serverProcess) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.unanswered, s.probe = 0, nil
}

// releaseOverdue gives the slot of a run to others at its deadline, because its caller may read a long response for any
// time.
func (b *LocalBackend) releaseOverdue(s *serverProcess, t *gate.Ticket, ex *exchange) {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	ex.released.Store(true)
	b.overdue.Add(1)
	s.controller.Done(now, t, gate.Streamed{})
	b.admitWaiting(now, s)
}

// reclaimLost frees the slots of runs whose response counts as lost. The responses are still awaited, because
// some of these runs only take long; b.mu is held.
func (b *LocalBackend) reclaimLost(now time.Time, s *serverProcess) {
	for _, t := range s.controller.ReclaimLost(now) {
		b.Requests.Info().Str("request", t.RequestID).Str("route", t.Route).Str("instance", s.notice.Instance).
			Dur("waited", now.Sub(t.Started())).Msg("answer-taken-for-lost")
	}
}

// admitWaiting starts waiting requests and refuses those whose time in the queue is over; b.mu is held.
func (b *LocalBackend) admitWaiting(now time.Time, s *serverProcess) {
	b.updateCold(now)
	b.reclaimLost(now, s)
	b.refuseQueuedInZoneLocked(s)
	started, dropped := s.controller.Dispatch(now)
	for _, t := range started {
		b.notifyWaiting(s, t, admission{})
	}
	for _, t := range dropped {
		b.notifyWaiting(s, t, admission{refused: notRun{failure: retry.QueueTimeout{}}})
	}
	b.scheduleWake(now, s)
}

// scheduleWake sets the timer for the next waiting request that may start or has to be refused, and for the end of
// the cold period; b.mu is held.
func (b *LocalBackend) scheduleWake(now time.Time, s *serverProcess) {
	due, ok := s.controller.NextDispatch(now)
	if left := b.cold.Remaining(now); left > 0 && (!ok || now.Add(left).Before(due)) {
		due, ok = now.Add(left), true
	}
	if !ok {
		return
	}
	wait := max(due.Sub(now), time.Millisecond)
	if b.wake == nil {
		b.wake = time.AfterFunc(wait, b.onWake)
		return
	}
	b.wake.Reset(wait)
}

func (b *LocalBackend) onWake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil {
		b.admitWaiting(b.Clock.Now(), b.current)
	}
}

// report returns the load of the server, as it applies to a request like j, for the daemons that balance
// requests.
func (b *LocalBackend) report(s *serverProcess, j *job) Report {
	if s == nil {
		return Report{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	load := s.controller.Load(b.Clock.Now(), j.ticket())
	return Report{
		Wait: load.Wait, Running: uint32(load.Running), Slots: uint32(load.Slots), Run: load.Run,
		Leaving: s.leaving || b.draining, Congestion: load.Congestion, ColdRate: load.ColdRate, ColdFor: load.ColdFor,
		Arrivals: uint32(math.Ceil(load.Arrivals)), MeanRun: load.MeanRun,
	}
}

// claim says for whom memory is taken.
func (j *job) claim() budget.Claim {
	return budget.Claim{Account: j.account, Urgent: j.nested || j.rank == 0}
}

func (j *job) ticket() *gate.Ticket {
	return &gate.Ticket{
		RequestID: j.request.ID, Route: j.route, Nested: j.nested, Rank: j.rank, Arrived: j.arrived, Objective: j.objective, Deadline: j.deadline,
	}
}
