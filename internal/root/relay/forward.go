package relay

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/place"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/share"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// maxFullServersTried bounds the servers that a request is offered to while they refuse it for want of room. Each
// offer costs processor time at two daemons, when there is least of it, and bytes between availability zones.
const maxFullServersTried = 4

// forward sends the request until it is completed, or until no further send is allowed or useful.
func (f *Forwarder) forward(ctx context.Context, state *forwardState) outcome {
	svc := f.service(state.service)
	list := f.refreshEndpoints(ctx, state, svc)
	if list == nil {
		return notRun{failure: retry.NoBackend{}, retryAfter: noServerRetryAfter}
	}
	svc.mu.Lock()
	svc.retries.RecordRequest(state.started)
	svc.mu.Unlock()
	for {
		policy := f.reach(state)
		choice, ok := f.choose(state, svc, policy)
		if !ok && state.callerOutcome == nil {
			failure := policy.Refusal(list.Instances)
			return notRun{failure: failure, retryAfter: noServerDelay(failure)}
		}
		if !ok {
			return state.finalOutcome()
		}
		result, report := f.send(ctx, state, svc, &choice)
		state.attempts++
		state.tried = append(state.tried, choice.ID)
		f.reportResult(svc, state, choice.ID, result, report)
		state.recordOutcome(result)
		if _, neverRan := result.(notRun); neverRan {
			state.request.markSent(false)
		}
		f.countUneven(state, result)
		if ctx.Err() != nil {
			return state.expiredOutcome()
		}
		if !f.shouldRetry(state, svc, result) {
			return state.finalOutcome()
		}
	}
}

// refreshEndpoints updates the balancer of a service from the published list and returns that list, nil if there is
// none.
func (f *Forwarder) refreshEndpoints(ctx context.Context, state *forwardState, svc *serviceState) *snap.Endpoints {
	list, wait := f.Control.Snapshot().Endpoints[state.service], f.startupWait(state)
	if list == nil {
		wait = max(wait, endpointsWait)
	}
	if list == nil || len(list.Instances) == 0 && wait > 0 {
		waiting, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		if first := f.Control.Subscribe(waiting, state.service); first != nil {
			list = first
		}
	}
	if list == nil {
		return nil
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.balancer.Update(f.Clock.Now(), list)
	return list
}

func (f *Forwarder) choose(state *forwardState, svc *serviceState, policy reach.Policy) (place.Choice, bool) {
	now := f.Clock.Now()
	svc.mu.Lock()
	defer svc.mu.Unlock()
	choice, ok := svc.balancer.Choose(now, f.placeRequest(now, state, policy))
	if choice.Random {
		f.Meter.RandomChoice(state.service)
	}
	return choice, ok
}

// placeRequest returns the request as the balancer sees it.
func (f *Forwarder) placeRequest(now time.Time, state *forwardState, policy reach.Policy) place.Request {
	return place.Request{
		Route: state.route.Name, Objective: state.route.Objective, Remaining: state.deadline.Sub(now),
		Elapsed: now.Sub(state.started), Zone: f.Zone, Tried: state.tried, Urgent: state.nested || state.rank == 0,
		Reach: policy, Again: state.attempts > 0, Nested: state.nested, LongStay: state.longStay,
	}
}

// countUneven counts a request that a full server refused and another server then served.
func (f *Forwarder) countUneven(state *forwardState, result outcome) {
	switch result := result.(type) {
	case notRun:
		state.refusedFull = state.refusedFull || retry.ByFullServer(result.failure)
	case completed:
		if state.refusedFull {
			f.Meter.UnevenRefusal(state.service)
		}
	case unknown:
	}
}

// reach returns where the request may be sent. It is computed for each send, because an evacuation may begin or the
// rules may change meanwhile: both the rules by which the request was admitted and those in force apply.
func (f *Forwarder) reach(state *forwardState) reach.Policy {
	snapshot := f.Control.Snapshot()
	policy := reach.For(snapshot.Evacuated, state.route.Regions, state.accountRegions())
	latest := snapshot.Rules
	if latest == nil || latest.Revision == state.revision {
		return policy
	}
	route, _ := latest.MatchHost(state.request.Host, state.request.Path)
	return policy.NarrowTo(latest, route, state.accountName())
}

// send sends the request once to the daemon of the chosen server.
func (f *Forwarder) send(ctx context.Context, state *forwardState, svc *serviceState, choice *place.Choice) (outcome, *Report) {
	now := f.Clock.Now()
	if !now.Before(state.deadline) {
		return notRun{failure: retry.DeadlineBefore{}}, nil
	}
	send := f.sendRequest(now, state)
	if choice.Daemon == f.PeerAddress {
		j := decodeJob(now, send)
		j.request = state.request
		result, report := f.LocalBackend.serve(ctx, j)
		return result, &report
	}
	send.Header = field.FromHeader(state.request.Header)
	abandon := func() bool { return f.abandon(state, svc, choice.ID) }
	reply, sent, err := f.PeerStreams.Send(ctx, choice.Daemon, choice.Cause, send, state.request, abandon)
	if errors.Is(err, errNoLongBodies) {
		return notRun{failure: retry.Overload{}}, nil
	}
	if errors.Is(err, errNotEncoded) {
		return notRun{failure: invalidRequestFailure(err)}, nil
	}
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && sent {
			return unknown{failure: retry.DeadlineAfter{}}, nil
		}
		return sendFailure(sent), nil
	}
	return reply.decodeOutcome(), &reply.Report
}

// sendRequest returns the message for the daemon of a server, without the header.
func (f *Forwarder) sendRequest(now time.Time, state *forwardState) *SendRequest {
	send := &SendRequest{
		ID: state.request.ID, Service: state.service, Route: rules.ShortName(state.route.Name, maxLabel),
		Caller: f.LocalBackend.Service(), Nested: state.nested, Rank: uint32(max(state.rank, 0)),
		Age: now.Sub(state.started), Objective: state.route.Objective, Left: state.deadline.Sub(now),
		LongResponses: state.request.pass != nil, Method: state.request.Method, Target: state.request.Target,
		Host: state.request.Host, Fingerprint: state.fingerprint,
	}
	send.setAccount(state.accountName())
	return send
}

// abandon decides whether a request gives up on the daemon that it was sent to, which has fallen silent, because
// it may be sent to another server. Otherwise it goes on waiting: the daemon may only be paused, and the request
// may be running. In both cases later requests avoid the server.
func (f *Forwarder) abandon(state *forwardState, svc *serviceState, id string) bool {
	now := f.Clock.Now()
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.balancer.MarkUnreached(now, id)
	if svc.balancer.Untried([]string{id}, f.reach(state)) == 0 || !state.mayRetryLost(now, state.sends+1) {
		return false
	}
	state.retryAllowed = svc.retries.AllowRetry(now, share.Lost)
	return state.retryAllowed
}

// bodySize returns the size of the body in bytes; of one that was passed on it is the least that such a body has.
func (r *Response) bodySize() int {
	if r.Passed {
		return minPassedBody
	}
	return len(r.Body)
}

// reportResult reports the result of a send to the balancer.
func (f *Forwarder) reportResult(svc *serviceState, state *forwardState, id string, result outcome, report *Report) {
	var balancerResult place.Result = place.Failed{}
	avoid := false
	switch result := result.(type) {
	case completed:
		balancerResult = place.Served{Size: result.response.bodySize()}
		if result.response.failed() {
			balancerResult = place.Failed{}
		}
	case notRun:
		switch result.failure.(type) {
		case retry.Unreached, retry.NoBackend:
			balancerResult = place.Unreached{}
		case retry.Draining:
			balancerResult = place.Refused{Leaving: true}
		case retry.Evacuated:
			balancerResult = place.Refused{}
			avoid = true // this daemon may not receive the list, so that it would choose the idle server again
		default:
			balancerResult = place.Refused{}
			if result.reached {
				balancerResult = place.Failed{}
			}
		}
	case unknown:
	}
	var load *place.Report
	if report != nil && report.Slots > 0 {
		load = report.balancerReport()
		if state.nested {
			f.LocalBackend.RecordCallCongestion(report.Congestion)
		}
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.balancer.Done(f.Clock.Now(), id, state.route.Name, load, balancerResult)
	if avoid {
		svc.balancer.MarkUnreached(f.Clock.Now(), id)
	}
}

// recordOutcome updates the outcome that the caller receives if no further send is made. A request that may have
// run is never reported as not run.
func (s *forwardState) recordOutcome(result outcome) {
	switch result := result.(type) {
	case notRun:
		if result.reached {
			s.sends++
		}
		switch previous := s.callerOutcome.(type) {
		case nil:
			s.callerOutcome = result
		case notRun:
			// The shortest delay applies: after it at least one of the servers has a free slot.
			if previous.retryAfter == 0 || result.retryAfter > 0 && result.retryAfter < previous.retryAfter {
				previous.retryAfter = result.retryAfter
			}
			_, evacuated := previous.failure.(retry.Evacuated) // reported only if it is the only cause
			if _, queueFull := result.failure.(retry.QueueFull); queueFull || evacuated {
				previous.failure = result.failure
			}
			s.callerOutcome = previous
		}
	case completed:
		s.sends++
		s.callerOutcome = result
	case unknown:
		s.sends++
		if _, complete := s.callerOutcome.(completed); !complete {
			s.callerOutcome = result
		}
	}
}

// shouldRetry decides whether another send is allowed and useful.
func (f *Forwarder) shouldRetry(state *forwardState, svc *serviceState, result outcome) (retrying bool) {
	now := f.Clock.Now()
	if !now.Before(state.deadline) {
		return false
	}
	if state.retryAllowed {
		state.retryAllowed = false
		f.logRetry(state, result, now)
		return true
	}
	if state.request.passing || state.request.Rest != nil && state.request.Rest.taken.Load() {
		return false
	}
	cause := share.Lost
	defer func() {
		if retrying {
			f.logRetry(state, result, now)
		}
	}()
	svc.mu.Lock()
	defer svc.mu.Unlock()
	switch result := result.(type) {
	case completed:
		cause = share.Failed
		if !result.response.failed() || !state.idempotent() || state.sends >= state.route.MaxSends || state.tooLateToRetry(now) {
			return false
		}
	case notRun:
		if isInvalidRequest(result.failure) {
			return false
		}
		if !result.reached {
			// This needs no retry budget, because no server received the request.
			return len(state.tried) < maxServersTried(result.failure) && svc.balancer.Untried(state.tried, f.reach(state)) > 0
		}
		if state.sends > state.route.MaxSends {
			return false
		}
		cause = share.Shed
	case unknown:
		if !state.mayRetryLost(now, state.sends) {
			return false
		}
	}
	policy := f.reach(state)
	if svc.balancer.Untried(nil, policy) == 0 {
		return false
	}
	if svc.balancer.Untried(state.tried, policy) == 0 {
		state.tried = state.tried[:0] // the same servers may be tried again
	}
	return svc.retries.AllowRetry(now, cause)
}

func (f *Forwarder) logRetry(state *forwardState, result outcome, now time.Time) {
	f.Meter.Retry(state.service)
	f.Log.Info().Str("request", state.request.ID).Str("route", state.route.Name).Str("service", state.service).
		Str("ended", outcomeName(result)).Strs("tried", slices.Clone(state.tried)).Int("sends", state.sends).
		Dur("left", state.deadline.Sub(now)).Msg("sent-again")
}

// maxServersTried returns how many servers a request is offered to that none has received. Those with the shortest
// predicted wait come first, so that after a few refusals for want of room the others are hardly better.
func maxServersTried(failure retry.Failure) int {
	if retry.ByFullServer(failure) {
		return maxFullServersTried
	}
	return math.MaxInt
}

// mayRetryLost reports whether a request without a response may be sent again, after the given number of sends.
func (s *forwardState) mayRetryLost(now time.Time, sends int) bool {
	return s.idempotent() && sends < s.route.MaxSends && !s.tooLateToRetry(now)
}

// tooLateToRetry reports whether the time left is too short for another run.
func (s *forwardState) tooLateToRetry(now time.Time) bool {
	return s.deadline.Sub(now) < s.deadline.Sub(s.started)/5
}

// idempotent reports whether the request may run again. A body that is not held whole cannot be sent again.
func (s *forwardState) idempotent() bool {
	return s.route.Run == rules.RunIdempotent && s.request.Rest == nil
}

// noServerDelay returns the advised retry delay for a request that no server could take.
func noServerDelay(failure retry.Failure) time.Duration {
	if _, evacuated := failure.(retry.Evacuated); evacuated {
		return retry.EvacuatedRetryAfter
	}
	return noServerRetryAfter
}

// finalOutcome returns the outcome for the caller when no further send is made.
func (s *forwardState) finalOutcome() outcome {
	switch previous := s.callerOutcome.(type) {
	case nil:
		return notRun{failure: retry.NoBackend{}, retryAfter: noServerRetryAfter}
	case notRun:
		if previous.retryAfter == 0 {
			previous.retryAfter = noServerDelay(previous.failure)
		}
		return previous
	}
	return s.callerOutcome
}

// expiredOutcome returns the outcome of a request whose time is over or whose caller has disconnected.
func (s *forwardState) expiredOutcome() outcome {
	switch s.callerOutcome.(type) {
	case completed, unknown:
		return s.callerOutcome
	}
	return s.finalOutcome()
}

func outcomeName(result outcome) string {
	switch result := result.(type) {
	case completed:
		if result.response.failed() {
			return "server-failure"
		}
		return "served"
	case notRun:
		return "not-run"
	}
	return "unknown"
}

// logResult logs the result of a request and counts refusals.
func (f *Forwarder) logResult(state *forwardState, result outcome) {
	var failure retry.Failure
	reached := false
	switch result := result.(type) {
	case completed:
		if !result.response.failed() {
			f.Log.Debug().Str("request", state.request.ID).Str("route", state.route.Name).Str("service", state.service).
				Int("status", result.response.Status).Int("sends", state.sends).Dur("took", f.Clock.Now().Sub(state.started)).
				Uint64("revision", state.revision).Msg("request-served")
			return
		}
		f.Log.Info().Str("request", state.request.ID).Str("route", state.route.Name).Str("service", state.service).
			Int("status", result.response.Status).Int("sends", state.sends).Dur("took", f.Clock.Now().Sub(state.started)).
			Uint64("revision", state.revision).Msg("server-failed")
		return
	case notRun:
		failure, reached = result.failure, result.reached
	case unknown:
		failure, reached = result.failure, true
	}
	row := retry.Describe(failure)
	age := time.Duration(0)
	if !state.lastContact.IsZero() {
		age = state.started.Sub(state.lastContact)
	}
	f.Meter.Refused(string(row.Reason), state.accountName())
	event := f.Log.Info().Str("request", state.request.ID).Str("reason", string(row.Reason)).Str("outcome", string(row.Outcome)).
		Uint64("revision", state.revision).Dur("revision-age", age).Str("account", state.accountName()).Bool("reached", reached).
		Strs("tried", slices.Clone(state.tried)).Int("sends", state.sends).Dur("took", f.Clock.Now().Sub(state.started))
	if state.route != nil {
		event = event.Str("route", state.route.Name).Str("service", state.service)
	}
	if regions, ok := failure.(retry.RegionNotAllowed); ok {
		event = event.Str("allowed-regions", regions.Regions).Str("rule", rules.RegionRule(state.route, state.account).Identity())
	}
	if !state.deadline.IsZero() {
		event = event.Dur("deadline", state.deadline.Sub(state.started))
	}
	event.Msg("request-failed")
}
