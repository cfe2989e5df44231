package replay

import (
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/picker"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

const (
	stateSent      attemptState = iota // on the way to the target daemon
	stateQueued                        // in the queue of the target's limiter
	stateBacklog                       // accepted by a server without admission control, waits for a slot
	stateWorking                       // executes in a slot
	stateNested                        // accepted, waits for a nested call
	stateStreaming                     // streams the body of the response
	stateResponseSent
)

type (
	// attemptState is the stage that an attempt has reached at its target daemon and server.
	attemptState uint8

	// call is one hop of a request as seen by the calling daemon.
	call struct {
		request        *ingressRequest
		hop            int
		caller         *daemon
		budget         *retry.Budget
		sendCount      int
		triedIDs       []string
		earlierFailure retry.Failure                            // merged from the earlier attempts
		done           func(f retry.Failure, nestedFailed bool) // f is nil for a complete response
	}

	// callAttempt is one attempt of a call, from sending it to the target daemon until its response arrives.
	callAttempt struct {
		sim           *sim
		call          *call
		target        *daemon
		loan          retry.Loan
		budget        *retry.Budget
		state         attemptState
		finished      bool
		ticket        *admit.Ticket
		admission     <-chan admit.Decision
		sentAt        time.Time
		startedAt     time.Time
		nestedTime    time.Duration // time spent in nested calls
		firstByteTime time.Duration // from sending to the first byte of the response
	}
)

// latency returns the one-way network latency between two daemons.
func (s *sim) latency(from, to *daemon) time.Duration {
	switch {
	case from == to:
		return 0
	case from.zone == to.zone:
		return sameZoneLatency
	}
	return s.trace.ZoneLatency
}

// send picks an instance and makes the next attempt of the call.
func (c *call) send() {
	req := c.request
	s := req.sim
	if req.finished {
		return
	}
	target, ok := s.pickDaemon(c.caller, req.route.Path[c.hop].Service, c.triedIDs)
	if !ok {
		c.done(retry.NoBackend{}, false)
		return
	}
	c.sendCount++
	req.sends++
	if c.sendCount > 1 {
		req.retries++
	}
	c.triedIDs = append(c.triedIDs, target.server.endpoint.ID)
	att := &callAttempt{sim: s, call: c, target: target, loan: c.budget.Lend(), sentAt: s.now}
	att.budget = retry.NewBudget(att.loan.Retries)
	if s.mechanism.RetriesPerHop {
		att.budget = retry.NewBudget(req.route.Retries)
	}
	req.activeAttempts = append(req.activeAttempts, att)
	s.scheduleAfter(s.latency(c.caller, target), func() {
		if !att.finished {
			att.handleArrival()
		}
	})
}

// handleArrival decides at the target daemon whether the attempt runs, waits or is refused. Without admission
// control the server accepts attempts up to its connections and keeps those beyond its slots in a backlog.
func (att *callAttempt) handleArrival() {
	req, sv := att.call.request, att.target.server
	switch {
	case !sv.alive:
		att.sendResponse(retry.Unreached{}, false)
		return
	case sv.endpoint.Leaving && !att.sim.mechanism.RoundRobin:
		att.sendResponse(retry.Draining{}, false)
		return
	case att.sim.mechanism.NoAdmission:
		if sv.accepted >= sv.service.Connections {
			att.sendResponse(retry.Overload{}, false)
			return
		}
		sv.accepted++
		if sv.accepted > sv.service.Slots {
			att.state = stateBacklog
			sv.backlog = append(sv.backlog, att)
			return
		}
		att.run()
		return
	}
	att.ticket = &admit.Ticket{
		Account: req.account.Name, Weight: req.account.Rate, Route: req.route.Name, Importance: req.route.Importance, Deadline: req.deadline,
	}
	for _, hop := range req.route.Path[:att.call.hop] {
		if hop.Service == sv.service.Name {
			att.ticket.HeldSlots++
		}
	}
	att.state = stateQueued
	decision := att.target.limiter.Offer(att.sim.now, att.ticket)
	att.target.runDecided()
	if q, ok := decision.(admit.Queued); ok {
		att.admission = q.Verdict
		att.target.queued = append(att.target.queued, att)
		att.sim.scheduleAt(q.Until, func() {
			if att.state == stateQueued && !att.finished {
				att.target.removeQueued(att)
				att.handleDecision(att.target.limiter.Expire(att.sim.now, att.ticket))
			}
		})
		return
	}
	att.handleDecision(decision)
}

func (att *callAttempt) handleDecision(decision admit.Decision) {
	switch d := decision.(type) {
	case admit.Admitted:
		att.target.server.accepted++
		att.run()
	case admit.Refused:
		att.sendResponse(d.Failure, false)
	case admit.Queued:
		panic("queued ticket was queued twice")
	}
}

// run simulates the backend server: it does half of the work before the nested call and half after it. A
// poison request crashes the server of the last hop after the first half.
func (att *callAttempt) run() {
	req, sv := att.call.request, att.target.server
	att.startedAt = att.sim.now
	req.recordStart(att)
	att.target.suspects.Begin(sv.endpoint.Incarnation, req.fingerprint)
	half := req.route.Path[att.call.hop].Work / 2
	if req.poison && att.call.hop == len(req.route.Path)-1 {
		att.work(half, func() { att.sim.crashServer(att.target, poisonRestartDelay) })
		return
	}
	att.work(half, func() {
		if att.call.hop+1 == len(req.route.Path) {
			att.work(half, att.respond)
			return
		}
		att.state = stateNested
		nestedStart := att.sim.now
		nested := &call{request: req, hop: att.call.hop + 1, caller: att.target, budget: att.budget}
		nested.done = func(f retry.Failure, _ bool) {
			if att.finished {
				return
			}
			att.nestedTime += att.sim.now.Sub(nestedStart)
			if f != nil {
				att.budget.MarkFinal()
				att.release(admit.Completed{Latency: att.serverTime()})
				att.sendResponse(f, true)
				return
			}
			att.work(half, att.respond)
		}
		nested.send()
	})
}

// work executes in a slot of the server for a random time with mean d and then calls next. The time grows with
// the slots in use above the knee, with the requests accepted beyond the slots and during a cold start.
func (att *callAttempt) work(d time.Duration, next func()) {
	sv := att.target.server
	att.state = stateWorking
	sv.active++
	factor := sv.slowdown * max(1, float64(sv.active)/(sv.service.Knee*float64(sv.service.Slots)))
	factor *= 1 + sv.service.ExcessSlowdown*float64(max(0, sv.accepted-sv.service.Slots))
	if att.sim.now.Before(sv.coldUntil) {
		factor *= coldStartSlowdown
	}
	d = time.Duration(float64(d) * factor * (0.5 + 0.5*att.sim.random.ExpFloat64()))
	att.sim.scheduleAfter(d, func() {
		if !att.finished {
			sv.active--
			att.state = stateNested
			next()
		}
	})
}

// serverTime returns the time since the start of the execution without nested calls.
func (att *callAttempt) serverTime() time.Duration {
	return att.sim.now.Sub(att.startedAt) - att.nestedTime
}

// respond sends the response. At the first hop of a route with a StreamTime, the attempt ends only after the body
// has been streamed.
func (att *callAttempt) respond() {
	req := att.call.request
	latency := att.serverTime()
	att.firstByteTime = att.sim.now.Sub(att.sentAt)
	if att.call.hop > 0 || req.route.StreamTime == 0 {
		att.release(admit.Completed{Latency: latency})
		att.sendResponse(nil, false)
		return
	}
	att.state = stateStreaming
	if att.ticket != nil {
		att.target.limiter.Responded(att.sim.now, att.ticket, latency)
	}
	att.sim.scheduleAfter(req.route.StreamTime, func() {
		if !att.finished {
			att.release(admit.Completed{})
			att.sendResponse(nil, false)
		}
	})
}

// release frees the queue entry, the slot or the backlog entry of the attempt at its target, and starts the next
// attempt that waits there.
func (att *callAttempt) release(r admit.Result) {
	sv := att.target.server
	switch att.state {
	case stateQueued:
		att.target.removeQueued(att)
		att.target.limiter.Cancel(att.sim.now, att.ticket)
		return
	case stateBacklog:
		for i, other := range sv.backlog {
			if other == att {
				sv.backlog = append(sv.backlog[:i:i], sv.backlog[i+1:]...)
				break
			}
		}
	case stateWorking:
		sv.active--
	case stateSent, stateResponseSent:
		return
	case stateNested, stateStreaming:
	}
	sv.accepted--
	_, complete := r.(admit.Completed)
	if att.target.suspects.End(att.sim.now, sv.endpoint.Incarnation, att.call.request.fingerprint, complete) {
		att.sim.crashCollector.Clear(att.call.request.fingerprint)
	}
	if att.ticket != nil {
		att.target.limiter.Done(att.sim.now, att.ticket, r)
		att.target.runDecided()
	} else if len(sv.backlog) > 0 && sv.accepted-len(sv.backlog) < sv.service.Slots {
		next := sv.backlog[0]
		sv.backlog = sv.backlog[1:]
		next.run()
	}
}

// sendResponse sends the response, or the failure f, to the calling daemon. final means that a nested call failed, so
// that this call must not be retried.
func (att *callAttempt) sendResponse(f retry.Failure, final bool) {
	att.state = stateResponseSent
	att.sim.scheduleAfter(att.sim.latency(att.target, att.call.caller), func() {
		if att.finished {
			return
		}
		att.remove()
		att.call.handleResponse(att, f, final)
	})
}

// remove ends the attempt and removes it from the active attempts of its request.
func (att *callAttempt) remove() {
	att.finished = true
	active := att.call.request.activeAttempts
	for i, other := range active {
		if other == att {
			att.call.request.activeAttempts = append(active[:i:i], active[i+1:]...)
			return
		}
	}
}

// handleResponse reports the result of an attempt to the calling daemon's load balancer and decides whether the
// call is complete, retried or failed.
func (c *call) handleResponse(att *callAttempt, f retry.Failure, final bool) {
	s, req := att.sim, c.request
	service := req.route.Path[c.hop].Service
	load := att.target.limiter.Load(att.sim.now)
	utilization := float64(load.InFlight) / float64(load.Limit)
	var result picker.Result = picker.Responded{Latency: max(att.firstByteTime, s.now.Sub(att.sentAt)-req.route.StreamTime), Load: utilization}
	switch f.(type) {
	case retry.Overload, retry.QueueFull, retry.QueueTimeout:
		if !final {
			result = picker.Refused{Load: utilization}
		}
	case retry.Draining:
		result = picker.Refused{Draining: true}
	case retry.Unreached, retry.BackendLost:
		if !final {
			result = picker.Failed{}
		}
	}
	c.caller.pickers[service].Done(s.now, att.target.server.endpoint.ID, result)
	c.budget.ReturnLoan(att.loan, att.budget.Remaining())
	if f == nil {
		c.caller.planner.Success(s.now, service)
		c.done(nil, false)
		return
	}
	f = retry.Merge(c.earlierFailure, f)
	c.earlierFailure = f
	var verdict retry.Verdict = retry.GiveUp{}
	delay, mayRetry := c.caller.suspects.ResendAfter(s.now, req.fingerprint)
	switch {
	case s.mechanism.RetriesPerHop:
		if retry.MayResend(f, !req.route.Once) && (!final || !req.route.Once) && c.budget.Take() {
			verdict = retry.Retry{After: 5 * time.Millisecond}
		}
	case !mayRetry:
	default:
		verdict = c.caller.planner.Decide(s.now, c.budget, retry.Attempt{
			Service: service, Failure: f, Idempotent: !req.route.Once, Final: final, Sent: c.sendCount, Deadline: req.deadline,
		})
	}
	switch v := verdict.(type) {
	case retry.Retry:
		s.scheduleAfter(v.After+delay, func() {
			if s.quarantined[req.fingerprint] {
				c.done(retry.BackendLost{}, final)
				return
			}
			c.send()
		})
	case retry.GiveUp:
		c.done(f, final)
	}
}

// serverCrashed ends an attempt whose server crashed.
func (att *callAttempt) serverCrashed() {
	if att.state == stateNested {
		att.call.request.cancelNested(att)
	}
	if att.ticket != nil && att.state != stateQueued {
		att.target.limiter.Done(att.sim.now, att.ticket, admit.Lost{})
	}
	if att.state == stateQueued {
		att.target.removeQueued(att)
		att.target.limiter.Cancel(att.sim.now, att.ticket)
		att.sendResponse(retry.Unreached{}, false)
		return
	}
	att.call.caller.suspects.AddReported(att.sim.now, att.target.server.endpoint.Incarnation, att.call.request.fingerprint)
	if att.state == stateStreaming {
		att.sim.result.Interrupted++
	}
	att.sendResponse(retry.BackendLost{}, false)
}

// cancel ends an attempt whose request has ended. deepest marks the attempt of the last hop reached. It used up
// the time of the request, so it counts as a failure of its instance unless it was still queued.
func (att *callAttempt) cancel(deepest bool) {
	if att.finished {
		return
	}
	var result picker.Result = picker.Canceled{}
	if deepest && att.state != stateQueued {
		result = picker.Failed{Latency: att.sim.now.Sub(att.sentAt)}
	}
	if deepest && att.state == stateWorking {
		att.release(admit.Expired{Latency: att.serverTime()})
	} else {
		att.release(admit.Canceled{})
	}
	service := att.call.request.route.Path[att.call.hop].Service
	att.call.caller.pickers[service].Done(att.sim.now, att.target.server.endpoint.ID, result)
	att.remove()
}
