package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/place"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/share"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// pass sends the request until it is answered, or until no further send is allowed or of use.
func (p *Path) pass(ctx context.Context, x *passing) outcome {
	to := p.service(x.service)
	if !p.refresh(ctx, x, to) {
		return turned{failure: retry.NoBackend{}, after: noServerAfter}
	}
	to.mu.Lock()
	to.retries.First(x.started)
	to.mu.Unlock()
	for {
		endpoint, ok := p.choose(x, to)
		if !ok {
			return x.end()
		}
		ended, report := p.send(ctx, x, &endpoint)
		x.tried = append(x.tried, endpoint.ID)
		p.learn(to, x, endpoint.ID, ended, report)
		x.note(ended)
		if ctx.Err() != nil {
			return x.expired()
		}
		if !p.again(x, to, ended) {
			return x.end()
		}
	}
}

// refresh brings the board of a service to the published list.
func (p *Path) refresh(ctx context.Context, x *passing, to *service) bool {
	list, wait := p.Control.Snapshot().Endpoints[x.service], p.patience(x)
	if list == nil {
		wait = max(wait, listWait)
	}
	if list == nil || len(list.Instances) == 0 && wait > 0 {
		waiting, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		if first := p.Control.Subscribe(waiting, x.service); first != nil {
			list = first
		}
	}
	if list == nil {
		return false
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	to.board.Update(p.Clock.Now(), list)
	return true
}

func (p *Path) choose(x *passing, to *service) (snap.Endpoint, bool) {
	now := p.Clock.Now()
	to.mu.Lock()
	defer to.mu.Unlock()
	return to.board.Choose(now, place.Ask{
		Route: x.route.Name, Objective: x.route.Objective, Left: x.deadline.Sub(now), Zone: p.Zone, Tried: x.tried, Urgent: x.nested || x.rank == 0,
	})
}

// send makes one send to the daemon beside the endpoint.
func (p *Path) send(ctx context.Context, x *passing, endpoint *snap.Endpoint) (outcome, *Report) {
	now := p.Clock.Now()
	left := x.deadline.Sub(now)
	if left <= 0 {
		return turned{failure: retry.DeadlineBefore{}}, nil
	}
	send := &Send{
		ID: x.request.ID, Service: x.service, Route: x.route.Name, Account: x.accountName(), Caller: p.caller(),
		Nested: x.nested, Rank: uint32(max(x.rank, 0)), Age: now.Sub(x.started), Objective: x.route.Objective, Left: left,
		Method: x.request.Method, Target: x.request.Target, Host: x.request.Host, Fingerprint: x.fingerprint,
	}
	if endpoint.Daemon == p.Own {
		j := jobOf(now, send)
		j.request = x.request
		ended, report := p.Beside.serve(ctx, j)
		return ended, &report
	}
	send.Header = field.FromHeader(x.request.Header)
	reply, sent, err := p.Lanes.Send(ctx, endpoint.Daemon, send, x.request.Body)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && sent {
			return unknown{failure: retry.DeadlineAfter{}}, nil
		}
		return lost(sent), nil
	}
	return reply.ended(), &reply.Report
}

// caller names the service beside which requests begin.
func (p *Path) caller() string {
	if n, _, _ := p.Beside.Server(); n.Service != "" {
		return n.Service
	}
	return p.Service
}

// learn reports to the board how a send ended.
func (p *Path) learn(to *service, x *passing, id string, ended outcome, report *Report) {
	var result place.Result = place.Missed{}
	switch ended := ended.(type) {
	case answered:
		result = place.Served{}
		if ended.response.failed() {
			result = place.Missed{}
		}
	case turned:
		switch ended.failure.(type) {
		case retry.Unreached, retry.NoBackend:
			result = place.Unreached{}
		case retry.Draining:
			result = place.Turned{Leaving: true}
		default:
			result = place.Turned{}
			if ended.reached {
				result = place.Missed{}
			}
		}
	case unknown:
	}
	var known *place.Report
	if report != nil && report.Slots > 0 {
		known = report.forPlace()
		if x.nested {
			p.Beside.Called(report.Strain)
		}
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	to.board.Done(p.Clock.Now(), id, x.route.Name, known, result)
}

// note keeps what is to be answered if no further send is made: a request that may have run is never
// reported as not run.
func (x *passing) note(ended outcome) {
	switch ended := ended.(type) {
	case turned:
		if ended.reached {
			x.sends++
		}
		switch last := x.last.(type) {
		case nil:
			x.last = ended
		case turned:
			// The earliest time at which one of the servers has room counts.
			if last.after == 0 || ended.after > 0 && ended.after < last.after {
				last.after = ended.after
			}
			if _, full := ended.failure.(retry.QueueFull); full {
				last.failure = ended.failure
			}
			x.last = last
		}
	case answered:
		x.sends++
		x.last = ended
	case unknown:
		x.sends++
		if _, known := x.last.(answered); !known {
			x.last = ended
		}
	}
}

// again decides whether another send is allowed and of use.
func (p *Path) again(x *passing, to *service, ended outcome) (repeat bool) {
	now := p.Clock.Now()
	if !now.Before(x.deadline) {
		return false
	}
	cause := share.Lost
	defer func() {
		if repeat {
			p.Meter.Retry(x.service)
			p.Log.Info().Str("request", x.request.ID).Str("route", x.route.Name).Str("service", x.service).
				Str("ended", resultOf(ended)).Strs("tried", slices.Clone(x.tried)).Int("sends", x.sends).
				Dur("left", x.deadline.Sub(now)).Msg("sent-again")
		}
	}()
	to.mu.Lock()
	defer to.mu.Unlock()
	switch ended := ended.(type) {
	case answered:
		cause = share.Failed
		if !ended.response.failed() || !x.idempotent() || x.sends >= x.route.Sends || x.short(now) {
			return false
		}
	case turned:
		if !ended.reached {
			return len(x.tried) < to.board.Servers() // costs nothing: no server was asked
		}
		if x.sends > x.route.Sends {
			return false
		}
		cause = share.Shed
	case unknown:
		if !x.idempotent() || x.sends >= x.route.Sends || x.short(now) {
			return false
		}
	}
	if len(x.tried) >= to.board.Servers() {
		x.tried = x.tried[:0] // the same server may be asked again
	}
	return to.retries.Repeat(now, cause)
}

// short reports whether the time left is too short for another run.
func (x *passing) short(now time.Time) bool {
	return x.deadline.Sub(now) < x.deadline.Sub(x.started)/5
}

func (x *passing) idempotent() bool { return x.route.Run == rules.RunIdempotent }

// end returns the outcome to answer with.
func (x *passing) end() outcome {
	switch last := x.last.(type) {
	case nil:
		return turned{failure: retry.NoBackend{}, after: noServerAfter}
	case turned:
		if last.after == 0 {
			last.after = noServerAfter
		}
		return last
	}
	return x.last
}

// expired returns the outcome of a request whose time is over or whose caller has gone.
func (x *passing) expired() outcome {
	switch x.last.(type) {
	case answered, unknown:
		return x.last
	}
	return x.end()
}

func resultOf(ended outcome) string {
	switch ended := ended.(type) {
	case answered:
		if ended.response.failed() {
			return "server-failure"
		}
		return "served"
	case turned:
		return "not-run"
	}
	return "unknown"
}

// note writes one line for a request that did not succeed, and counts it.
func (p *Path) note(x *passing, ended outcome) {
	var failure retry.Failure
	reached := false
	switch ended := ended.(type) {
	case answered:
		if !ended.response.failed() {
			p.Log.Debug().Str("request", x.request.ID).Str("route", x.route.Name).Str("service", x.service).
				Int("status", ended.response.Status).Int("sends", x.sends).Dur("took", p.Clock.Now().Sub(x.started)).
				Uint64("revision", x.revision).Msg("request-served")
			return
		}
		p.Log.Info().Str("request", x.request.ID).Str("route", x.route.Name).Str("service", x.service).
			Int("status", ended.response.Status).Int("sends", x.sends).Dur("took", p.Clock.Now().Sub(x.started)).
			Uint64("revision", x.revision).Msg("server-failed")
		return
	case turned:
		failure, reached = ended.failure, ended.reached
	case unknown:
		failure, reached = ended.failure, true
	}
	row := retry.Describe(failure)
	age := time.Duration(0)
	if !x.heard.IsZero() {
		age = x.started.Sub(x.heard)
	}
	p.Meter.Refused(string(row.Reason), x.accountName())
	line := p.Log.Info().Str("request", x.request.ID).Str("reason", string(row.Reason)).Str("outcome", string(row.Outcome)).
		Uint64("revision", x.revision).Dur("revision-age", age).Str("account", x.accountName()).Bool("reached", reached).
		Strs("tried", slices.Clone(x.tried)).Int("sends", x.sends).Dur("took", p.Clock.Now().Sub(x.started))
	if x.route != nil {
		line = line.Str("route", x.route.Name).Str("service", x.service)
	}
	if !x.deadline.IsZero() {
		line = line.Dur("deadline", x.deadline.Sub(x.started))
	}
	line.Msg("request-failed")
}
