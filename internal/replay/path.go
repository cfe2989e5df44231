package replay

import (
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/picker"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

const (
	stateSent execState = iota
	stateQueued
	stateBacklog
	stateWorking
	stateNested
	stateStreaming
	stateReplied
)

type (
	execState uint8

	// call is one hop of a request as the daemon of its caller sees it.
	call struct {
		attempt *attempt
		hop     int
		from    *daemon
		budget  *retry.Budget
		sent    int
		tried   []string
		failure retry.Failure                     // of the earlier sends
		done    func(f retry.Failure, below bool) // f is nil for a complete response; below: a nested call failed
	}

	// exec is one send of a call and its life at the daemon and server it was sent to.
	exec struct {
		s       *sim
		call    *call
		to      *daemon
		loan    retry.Loan
		budget  *retry.Budget
		state   execState
		over    bool
		ticket  *admit.Ticket
		verdict <-chan admit.Decision
		sentAt  time.Time
		begun   time.Time
		nested  time.Duration // time spent in nested calls
		first   time.Duration // time to the first byte for the sender
	}
)

func (s *sim) latency(from, to *daemon) time.Duration {
	switch {
	case from == to:
		return 0
	case from.zone == to.zone:
		return nearLatency
	}
	return s.trace.Zone
}

// send makes one attempt of a call.
func (c *call) send() {
	a := c.attempt
	s := a.s
	if a.over {
		return
	}
	to, ok := s.pick(c.from, a.route.Path[c.hop].Service, c.tried)
	if !ok {
		c.done(retry.NoBackend{}, false)
		return
	}
	c.sent++
	a.sends++
	if c.sent > 1 {
		a.retries++
	}
	c.tried = append(c.tried, to.server.endpoint.ID)
	e := &exec{s: s, call: c, to: to, loan: c.budget.Lend(), sentAt: s.now}
	e.budget = retry.NewBudget(e.loan.Retries)
	if s.mechanism.RetriesPerHop {
		e.budget = retry.NewBudget(a.route.Retries)
	}
	a.live = append(a.live, e)
	s.after(s.latency(c.from, to), func() {
		if !e.over {
			e.arrive()
		}
	})
}

// arrive is the decision of the daemon beside the server.
func (e *exec) arrive() {
	a, sv := e.call.attempt, e.to.server
	switch {
	case !sv.alive:
		e.reply(retry.Unreached{}, false)
		return
	case sv.endpoint.Leaving && !e.s.mechanism.RoundRobin:
		e.reply(retry.Draining{}, false)
		return
	case e.s.mechanism.NoAdmission:
		if sv.held >= sv.service.Connections {
			e.reply(retry.Overload{}, false)
			return
		}
		sv.held++
		if sv.held > sv.service.Slots {
			e.state = stateBacklog
			sv.backlog = append(sv.backlog, e)
			return
		}
		e.run()
		return
	}
	e.ticket = &admit.Ticket{
		Account: a.account.Name, Weight: a.account.Rate, Route: a.route.Name, Importance: a.route.Importance, Deadline: a.deadline,
	}
	for _, hop := range a.route.Path[:e.call.hop] {
		if hop.Service == sv.service.Name {
			e.ticket.HeldSlots++
		}
	}
	e.state = stateQueued
	decision := e.to.limiter.Offer(e.s.now, e.ticket)
	e.to.poll()
	if q, ok := decision.(admit.Queued); ok {
		e.verdict = q.Verdict
		e.to.waiting = append(e.to.waiting, e)
		e.s.at(q.Until, func() {
			if e.state == stateQueued && !e.over {
				e.to.forget(e)
				e.decided(e.to.limiter.Expire(e.s.now, e.ticket))
			}
		})
		return
	}
	e.decided(decision)
}

func (e *exec) decided(decision admit.Decision) {
	switch d := decision.(type) {
	case admit.Admitted:
		e.to.server.held++
		e.run()
	case admit.Refused:
		e.reply(d.Failure, false)
	case admit.Queued:
		panic("a queued ticket was queued again")
	}
}

// run is the work of the backend server: half of it before the nested call and half after it.
func (e *exec) run() {
	a, sv := e.call.attempt, e.to.server
	e.begun = e.s.now
	a.began(e)
	e.to.suspects.Begin(sv.endpoint.Incarnation, a.fingerprint)
	half := a.route.Path[e.call.hop].Work / 2
	if a.poison && e.call.hop == len(a.route.Path)-1 {
		e.work(half, func() { e.s.die(e.to, poisonRestart) })
		return
	}
	e.work(half, func() {
		if e.call.hop+1 == len(a.route.Path) {
			e.work(half, e.respond)
			return
		}
		e.state = stateNested
		began := e.s.now
		nested := &call{attempt: a, hop: e.call.hop + 1, from: e.to, budget: e.budget}
		nested.done = func(f retry.Failure, _ bool) {
			if e.over {
				return
			}
			e.nested += e.s.now.Sub(began)
			if f != nil {
				e.budget.MarkFinal()
				e.end(admit.Completed{Latency: e.own()})
				e.reply(f, true)
				return
			}
			e.work(half, e.respond)
		}
		nested.send()
	})
}

// work uses a slot of the server for a time that grows with the number of slots in use.
func (e *exec) work(d time.Duration, then func()) {
	sv := e.to.server
	e.state = stateWorking
	sv.working++
	factor := sv.slow * max(1, float64(sv.working)/(sv.service.Knee*float64(sv.service.Slots)))
	factor *= 1 + sv.service.Strain*float64(max(0, sv.held-sv.service.Slots))
	if e.s.now.Before(sv.coldUntil) {
		factor *= coldFactor
	}
	d = time.Duration(float64(d) * factor * (0.5 + 0.5*e.s.random.ExpFloat64()))
	e.s.after(d, func() {
		if !e.over {
			sv.working--
			e.state = stateNested
			then()
		}
	})
}

// own returns the time at the server without nested calls.
func (e *exec) own() time.Duration { return e.s.now.Sub(e.begun) - e.nested }

func (e *exec) respond() {
	a := e.call.attempt
	latency := e.own()
	e.first = e.s.now.Sub(e.sentAt)
	if e.call.hop > 0 || a.route.Stream == 0 {
		e.end(admit.Completed{Latency: latency})
		e.reply(nil, false)
		return
	}
	e.state = stateStreaming
	if e.ticket != nil {
		e.to.limiter.Responded(e.s.now, e.ticket, latency)
	}
	e.s.after(a.route.Stream, func() {
		if !e.over {
			e.end(admit.Completed{})
			e.reply(nil, false)
		}
	})
}

// end frees what the call holds at its daemon and server.
func (e *exec) end(r admit.Result) {
	sv := e.to.server
	switch e.state {
	case stateQueued:
		e.to.forget(e)
		e.to.limiter.Cancel(e.s.now, e.ticket)
		return
	case stateBacklog:
		for i, b := range sv.backlog {
			if b == e {
				sv.backlog = append(sv.backlog[:i:i], sv.backlog[i+1:]...)
				break
			}
		}
	case stateWorking:
		sv.working--
	case stateSent, stateReplied:
		return
	case stateNested, stateStreaming:
	}
	sv.held--
	_, complete := r.(admit.Completed)
	if e.to.suspects.End(e.s.now, sv.endpoint.Incarnation, e.call.attempt.fingerprint, complete) {
		e.s.docket.Clear(e.call.attempt.fingerprint)
	}
	if e.ticket != nil {
		e.to.limiter.Done(e.s.now, e.ticket, r)
		e.to.poll()
	} else if len(sv.backlog) > 0 && sv.held-len(sv.backlog) < sv.service.Slots {
		next := sv.backlog[0]
		sv.backlog = sv.backlog[1:]
		next.run()
	}
}

// reply carries the response or the refusal back to the sender.
func (e *exec) reply(f retry.Failure, final bool) {
	e.state = stateReplied
	e.s.after(e.s.latency(e.to, e.call.from), func() {
		if e.over {
			return
		}
		e.close()
		e.call.answered(e, f, final)
	})
}

func (e *exec) close() {
	e.over = true
	live := e.call.attempt.live
	for i, other := range live {
		if other == e {
			e.call.attempt.live = append(live[:i:i], live[i+1:]...)
			return
		}
	}
}

// answered is the decision of the sending daemon about a response.
func (c *call) answered(e *exec, f retry.Failure, final bool) {
	s, a := e.s, c.attempt
	service := a.route.Path[c.hop].Service
	load := e.to.limiter.Load()
	used := float64(load.InFlight) / float64(load.Limit)
	var result picker.Result = picker.Responded{Latency: max(e.first, s.now.Sub(e.sentAt)-a.route.Stream), Load: used}
	switch f.(type) {
	case retry.Overload, retry.QueueFull, retry.QueueTimeout:
		if !final {
			result = picker.Refused{Load: used}
		}
	case retry.Draining:
		result = picker.Refused{Draining: true}
	case retry.Unreached, retry.BackendLost:
		if !final {
			result = picker.Failed{}
		}
	}
	c.from.pickers[service].Done(s.now, e.to.server.endpoint.ID, result)
	c.budget.ReturnLoan(e.loan, e.budget.Remaining())
	if f == nil {
		c.from.planner.Success(s.now, service)
		c.done(nil, false)
		return
	}
	f = retry.Merge(c.failure, f)
	c.failure = f
	var verdict retry.Verdict = retry.GiveUp{}
	pause, mayResend := c.from.suspects.ResendAfter(s.now, a.fingerprint)
	switch {
	case s.mechanism.RetriesPerHop:
		if retry.MayResend(f, !a.route.Once) && (!final || !a.route.Once) && c.budget.Take() {
			verdict = retry.Retry{After: 5 * time.Millisecond}
		}
	case !mayResend:
	default:
		verdict = c.from.planner.Decide(s.now, c.budget, retry.Attempt{
			Service: service, Failure: f, Idempotent: !a.route.Once, Final: final, Sent: c.sent, Deadline: a.deadline,
		})
	}
	switch v := verdict.(type) {
	case retry.Retry:
		s.after(v.After+pause, func() {
			if s.quarantined[a.fingerprint] {
				c.done(retry.BackendLost{}, final)
				return
			}
			c.send()
		})
	case retry.GiveUp:
		c.done(f, final)
	}
}

// lose ends a call whose server died.
func (e *exec) lose() {
	if e.state == stateNested {
		e.call.attempt.abortBelow(e)
	}
	if e.ticket != nil && e.state != stateQueued {
		e.to.limiter.Done(e.s.now, e.ticket, admit.Lost{})
	}
	if e.state == stateQueued {
		e.to.forget(e)
		e.to.limiter.Cancel(e.s.now, e.ticket)
		e.reply(retry.Unreached{}, false)
		return
	}
	e.call.from.suspects.AddReported(e.s.now, e.to.server.endpoint.Incarnation, e.call.attempt.fingerprint)
	if e.state == stateStreaming {
		e.s.result.Interrupted++
	}
	e.reply(retry.BackendLost{}, false)
}

// abort ends a call whose request is over; the deepest one is where the time went.
func (e *exec) abort(deepest bool) {
	if e.over {
		return
	}
	var result picker.Result = picker.Canceled{}
	if deepest && e.state != stateQueued {
		result = picker.Failed{Latency: e.s.now.Sub(e.sentAt)}
	}
	if deepest && e.state == stateWorking {
		e.end(admit.Expired{Latency: e.own()})
	} else {
		e.end(admit.Canceled{})
	}
	service := e.call.attempt.route.Path[e.call.hop].Service
	e.call.from.pickers[service].Done(e.s.now, e.to.server.endpoint.ID, result)
	e.close()
}
