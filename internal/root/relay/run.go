package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/gate"
)

const (
	// refusedFor is how long no request is sent to a server that does not accept connections.
	refusedFor = 150 * time.Millisecond

	// suspectHold keeps a request whose connection broke among the suspects of a crash until the restarted
	// server has said so.
	suspectHold = 6 * time.Second
)

type (
	// admission tells a waiting request that it starts or why it does not.
	admission struct{ refused outcome }

	// job is one request that another daemon, or this one, sends to the server.
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

// serve lets a request through the gate and to the server.
func (b *Beside) serve(ctx context.Context, j *job) (outcome, Report) {
	s, ticket, refused := b.admit(ctx, j)
	if refused != nil {
		return refused, b.report(s, j)
	}
	b.Suspects.Begin(s.incarnation, j.fingerprint)
	x := &exchange{request: j.request, deadline: j.deadline, marks: Marks{
		ID: j.request.ID, Allowed: j.deadline.Sub(b.Clock.Now()), Instance: s.notice.Instance,
		Account: j.account, Caller: j.caller,
	}}
	response, notes, err := s.pool.do(ctx, x)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		err = fmt.Errorf("%w: %w", context.Canceled, err) // says nothing about the server
	}
	result, ended := b.judge(ctx, s, j, response, notes, err)
	b.done(s, ticket, result, err)
	return ended, b.report(s, j)
}

// admit asks the gate and waits for its decision.
func (b *Beside) admit(ctx context.Context, j *job) (*serverState, *gate.Ticket, outcome) {
	now := b.Clock.Now()
	b.mu.Lock()
	s := b.current
	if why := b.closed(now, s, j); why != nil {
		b.mu.Unlock()
		return s, nil, why
	}
	ticket := j.ticket()
	decision := s.gate.Offer(now, ticket)
	switch decision := decision.(type) {
	case gate.Admitted:
		s.probing = s.silent >= silentLimit // this request finds out whether the server answers again
		b.mu.Unlock()
		return s, ticket, nil
	case gate.Refused:
		running, waiting := s.gate.Running(), s.gate.Waiting()
		b.mu.Unlock()
		b.Requests.Info().Str("request", j.request.ID).Str("route", j.route).Int("rank", j.rank).Bool("nested", j.nested).
			Dur("predicted-wait", decision.Wait).Dur("after", decision.After).Int("running", running).Int("waiting", waiting).
			Dur("left", j.deadline.Sub(now)).Msg("gate-refused")
		return s, nil, turned{failure: retry.QueueFull{}, after: decision.After}
	case gate.Queued:
	}
	waiting := make(chan admission, 1)
	s.waiting[ticket] = waiting
	b.arm(now, s)
	b.mu.Unlock()
	select {
	case a := <-waiting:
		b.Meter.QueueWait(b.Clock.Now().Sub(now))
		return s, ticket, a.refused
	case <-ctx.Done():
	}
	b.mu.Lock()
	withdrawn := s.gate.Withdraw(ticket)
	delete(s.waiting, ticket)
	b.mu.Unlock()
	if !withdrawn { // decided meanwhile
		if a := <-waiting; a.refused == nil {
			b.done(s, ticket, gate.Aborted{}, nil)
		}
	}
	return s, nil, turned{failure: retry.DeadlineBefore{}}
}

// closed says why no request is sent to the server at present, nil when it takes requests.
func (b *Beside) closed(now time.Time, s *serverState, j *job) outcome {
	switch {
	case s == nil || s.notice.Service != j.service:
		return turned{failure: retry.NoBackend{}}
	case s.leaving || b.closing:
		return turned{failure: retry.Draining{}}
	case now.Before(s.downTill):
		return turned{failure: retry.Unreached{}}
	case s.silent >= silentLimit && s.probing:
		return turned{failure: retry.Unreached{}}
	}
	return nil
}

// judge turns what came from the server into the outcome of the request.
func (b *Beside) judge(ctx context.Context, s *serverState, j *job, response Response, notes Notes, err error) (gate.Result, outcome) {
	now := b.Clock.Now()
	if err == nil {
		b.endSuspect(s, j, true)
		if notes.NotRun {
			return gate.Shed{}, turned{failure: retry.Overload{}, after: response.after(), reached: true}
		}
		return gate.Ran{}, answered{response: response}
	}
	b.Requests.Info().Str("request", j.request.ID).Str("instance", s.notice.Instance).Err(err).Msg("exchange-failed")
	switch {
	case errors.Is(err, errUnwritten):
		b.endSuspect(s, j, false)
		if ctx.Err() != nil {
			return gate.Aborted{}, turned{failure: retry.DeadlineBefore{}}
		}
		return gate.Aborted{}, turned{failure: retry.Unreached{}}
	case ctx.Err() != nil || !now.Before(j.deadline) || errors.Is(err, errGarbled) || errors.Is(err, errTooLarge):
		b.endSuspect(s, j, false)
		if !now.Before(j.deadline) {
			return gate.Aborted{}, unknown{failure: retry.DeadlineAfter{}}
		}
		return gate.Aborted{}, unknown{failure: retry.BackendLost{}}
	}
	// The server may have crashed on this request; its next notice tells.
	time.AfterFunc(suspectHold, func() { b.endSuspect(s, j, false) })
	b.Meter.BackendConnectionLost(j.service)
	return gate.Aborted{}, unknown{failure: retry.BackendLost{}}
}

// after returns the server's own advice when to come back, zero without one.
func (r Response) after() time.Duration {
	seconds, err := time.ParseDuration(r.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0 // no advice, or a date, which is of no use within a request
	}
	return max(seconds, 0)
}

func (b *Beside) endSuspect(s *serverState, j *job, complete bool) {
	if b.Suspects.End(b.Clock.Now(), s.incarnation, j.fingerprint, complete) {
		b.Control.ClearSuspect(j.fingerprint)
	}
}

// done returns the slot of a run and starts what waits for it.
func (b *Beside) done(s *serverState, t *gate.Ticket, result gate.Result, err error) {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s.gate.Done(now, t, result)
	var refused *net.OpError
	switch {
	case err == nil:
		s.silent, s.probing = 0, false
	case errors.Is(err, errUnwritten) && errors.As(err, &refused) && refused.Op == "dial":
		s.downTill = now.Add(refusedFor)
		s.probing = false
		// What was in flight when the server stopped accepting connections may have ended it.
		if fingerprints := b.Suspects.Died(now, s.incarnation); len(fingerprints) > 0 && !s.leaving {
			go b.Control.ReportCrash(s.incarnation, fingerprints)
		}
	case !errors.Is(err, context.Canceled):
		s.silent++
		s.probing = false
	}
	b.settle(now, s)
}

// yield gives the slots of runs whose answer is taken for lost to others; the answers are still waited for, as
// a few runs are only long. The lock is held.
func (b *Beside) yield(now time.Time, s *serverState) {
	for _, t := range s.gate.Overdue(now) {
		b.Requests.Info().Str("request", t.Request).Str("route", t.Route).Str("instance", s.notice.Instance).
			Dur("waited", now.Sub(t.Started())).Msg("answer-taken-for-lost")
	}
}

// settle starts and drops waiting requests; the lock is held.
func (b *Beside) settle(now time.Time, s *serverState) {
	b.yield(now, s)
	started, dropped := s.gate.Next(now)
	for _, t := range started {
		b.tell(s, t, admission{})
	}
	for _, t := range dropped {
		b.tell(s, t, admission{refused: turned{failure: retry.QueueTimeout{}}})
	}
	b.arm(now, s)
}

// arm wakes the gate when a waiting request has to be dropped; the lock is held.
func (b *Beside) arm(now time.Time, s *serverState) {
	due, ok := s.gate.Deadline()
	if !ok {
		return
	}
	wait := max(due.Sub(now), time.Millisecond)
	if b.wake == nil {
		b.wake = time.AfterFunc(wait, b.awake)
		return
	}
	b.wake.Reset(wait)
}

func (b *Beside) awake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil {
		b.settle(b.Clock.Now(), b.current)
	}
}

// report describes the server for the daemons that choose, as it is for a request like j.
func (b *Beside) report(s *serverState, j *job) Report {
	if s == nil {
		return Report{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	load := s.gate.Load(b.Clock.Now(), j.ticket())
	return Report{
		Wait: load.Wait, Running: uint32(load.Running), Slots: uint32(load.Slots), Run: load.Run,
		Leaving: s.leaving || b.closing, Strain: load.Strain,
	}
}

func (j *job) ticket() *gate.Ticket {
	return &gate.Ticket{
		Request: j.request.ID, Route: j.route, Nested: j.nested, Rank: j.rank, Arrived: j.arrived, Objective: j.objective, Deadline: j.deadline,
	}
}
