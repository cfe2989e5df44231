package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/place"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/share"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// tokenWait bounds the wait for a rate token when this daemon has none.
	tokenWait = 200 * time.Millisecond

	// unheardAfter is the age of the leader's latest answer above which tokens are not waited for, and
	// tokenGlance the time in which a token that is here already is taken.
	unheardAfter = 900 * time.Millisecond
	tokenGlance  = 2 * time.Millisecond

	// listWait bounds the wait for the first list of a service's servers.
	listWait = 500 * time.Millisecond

	// passage is the time in which an answer gets from the server to its caller; a server's own failure at
	// the deadline still arrives.
	passage = 2 * answerSlack

	// defaultAllowed is how long a caller waits that does not say.
	defaultAllowed = 30 * time.Second

	// noServerAfter is the advice when to come back to a service without servers at present.
	noServerAfter = 500 * time.Millisecond

	// rateAfter is the advice to a client account above its rate.
	rateAfter = time.Second
)

type (
	// Path takes requests from their callers to backend servers.
	Path struct {
		Clock    clock.Clock
		Control  Control
		Dialect  Dialect
		Lanes    *Lanes
		Beside   *Beside
		Suspects *crash.Suspects
		Meter    *meter.Meter
		Log      zerolog.Logger
		Own      string // peer address of this daemon
		Zone     string
		Service  string // of the backend server beside this daemon
		Seed     uint64

		RetryRatio  float64       // repeats per request that the fleet allows
		RetryWindow time.Duration // over which they are counted

		mu       sync.Mutex
		services map[string]*service
		splits   map[string]*share.Split // by route
		paces    map[string]*share.Pace  // by client account
	}

	// service is what this daemon keeps for the requests to one service.
	service struct {
		mu      sync.Mutex
		board   *place.Board
		retries share.Retries
	}

	// passing is one request on its way.
	passing struct {
		request     *Request
		route       *rules.Route
		account     *rules.Account // nil on open routes
		revision    uint64
		fingerprint string
		nested      bool
		granted     bool // a rate token was spent
		rank        int
		started     time.Time
		heard       time.Time // when the leader was asked that has answered last
		deadline    time.Time
		service     string
		tried       []string
		sends       int // that reached a server
		last        outcome
	}
)

// Serve brings a request to its end and returns the answer. The context ends when the caller leaves.
func (p *Path) Serve(ctx context.Context, r *Request) Response {
	started := p.Clock.Now()
	x, refused := p.classify(ctx, r, started)
	if refused != nil {
		p.note(x, *refused)
		return p.Dialect.Refuse(r.ID, refused.failure, refused.after)
	}
	ctx, cancel := context.WithTimeout(ctx, x.deadline.Sub(started)+passage)
	defer cancel()
	ended := p.pass(ctx, x)
	if errors.Is(ctx.Err(), context.Canceled) {
		p.Log.Debug().Str("request", r.ID).Str("route", x.route.Name).Int("sends", x.sends).Dur("took", p.Clock.Now().Sub(started)).Msg("caller-left")
		return Response{Status: http.StatusBadGateway, Header: http.Header{}} // nobody reads it
	}
	if x.account != nil && x.granted && x.sends == 0 {
		if _, idle := ended.(turned); idle {
			p.Control.ReturnToken(x.account.Name)
		}
	}
	p.Meter.Call(x.service, x.accountName(), resultOf(ended), p.Clock.Now().Sub(started))
	p.note(x, ended)
	switch ended := ended.(type) {
	case answered:
		return ended.response
	case turned:
		return p.Dialect.Refuse(r.ID, ended.failure, ended.after)
	case unknown:
		return p.Dialect.Refuse(r.ID, ended.failure, 0)
	}
	return p.Dialect.Refuse(r.ID, retry.BackendLost{}, 0)
}

// classify finds the route and the client account of a request under one snapshot of the configuration.
func (p *Path) classify(ctx context.Context, r *Request, now time.Time) (*passing, *turned) {
	snapshot := p.Control.Snapshot()
	x := &passing{request: r, started: now, heard: snapshot.HeardAt}
	if snapshot.Rules == nil {
		return x, &turned{failure: retry.StaleConfig{}, after: noServerAfter}
	}
	set, fresh := snapshot.Rules, snapshot.Fresh(now)
	x.revision = set.Revision
	route, ok := set.MatchHost(r.Host, r.Path)
	if !ok {
		return x, unlessStale(fresh, retry.NoRoute{})
	}
	x.route, x.rank = route, route.Rank
	if failure := x.identify(set, r.Key); failure != nil {
		return x, unlessStale(fresh, failure)
	}
	if x.account != nil {
		if !fresh {
			return x, &turned{failure: retry.StaleConfig{}, after: noServerAfter}
		}
		granted, refused := p.takeToken(ctx, x.account)
		if refused != nil {
			return x, refused
		}
		x.granted = granted
		if x.account.Rank != nil {
			x.rank = *x.account.Rank
		}
	}
	allowed := r.Allowed
	if allowed <= 0 {
		allowed = defaultAllowed
	}
	x.deadline = now.Add(min(allowed, route.Deadline))
	x.fingerprint = crash.Fingerprint(r.Method, r.Target, x.accountName(), int64(len(r.Body)), r.Body)
	if quarantined(snapshot, x.fingerprint, now) {
		return x, &turned{failure: retry.Quarantined{}, after: rateAfter}
	}
	x.service = route.Service
	if len(route.Parts) > 0 {
		x.service = p.split(route)
	}
	return x, nil
}

// unlessStale refuses for good only under a configuration that is known to be in force.
func unlessStale(fresh bool, failure retry.Failure) *turned {
	if !fresh {
		return &turned{failure: retry.StaleConfig{}, after: noServerAfter}
	}
	return &turned{failure: failure}
}

// identify finds the client account of the key. A request without a key on a keyed route is a call of the
// backend server beside this daemon, which serves a request whose key has been checked.
func (x *passing) identify(set *rules.Set, presented string) retry.Failure {
	if x.route.Access == rules.AccessOpen {
		x.nested = presented == ""
		return nil
	}
	if presented == "" {
		x.nested = true
		return nil
	}
	key, active := set.KeyFor(presented)
	switch {
	case key == nil:
		return retry.KeyUnknown{}
	case !active:
		return retry.KeyWithdrawn{}
	}
	x.account = set.Accounts[key.Account]
	return nil
}

func (x *passing) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// takeToken counts a request against the rate of its client account; granted tells that a token was spent.
func (p *Path) takeToken(ctx context.Context, account *rules.Account) (granted bool, refused *turned) {
	if account.Rate.Count == 0 {
		return false, nil
	}
	wait := tokenWait
	if p.Clock.Now().Sub(p.Control.Snapshot().HeardAt) > unheardAfter {
		wait = tokenGlance // nobody is there to grant any
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	verdict := p.Control.TakeToken(ctx, account.Name)
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	pace := p.pace(account.Name)
	switch verdict.(type) {
	case call.TokenTaken:
		pace.Granted(now)
		return true, nil
	case call.TokenRefused:
		return false, &turned{failure: retry.Rate{}, after: rateAfter}
	}
	if pace.Take(now, account.Rate.PerSecond()) {
		return false, nil
	}
	return false, &turned{failure: retry.RateUnavailable{}, after: noServerAfter}
}

// pace returns the pace of a client account at this daemon; the lock is held.
func (p *Path) pace(account string) *share.Pace {
	if p.paces == nil {
		p.paces = map[string]*share.Pace{}
	}
	known := p.paces[account]
	if known == nil {
		known = &share.Pace{}
		p.paces[account] = known
	}
	return known
}

func quarantined(snapshot *snap.Snapshot, fingerprint string, now time.Time) bool {
	until, ok := snapshot.Quarantine[fingerprint]
	return ok && wire.StampOf(now) < until
}

// split chooses the part of a divided route.
func (p *Path) split(route *rules.Route) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.splits == nil {
		p.splits = map[string]*share.Split{}
	}
	known := p.splits[route.Name]
	if known == nil {
		known = &share.Split{}
		known.Skip(route.Parts, rand.IntN(100))
		p.splits[route.Name] = known
	}
	return known.Next(route.Parts)
}

func (p *Path) service(name string) *service {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.services == nil {
		p.services = map[string]*service{}
	}
	known := p.services[name]
	if known == nil {
		known = &service{
			board:   place.New(p.Seed + uint64(len(p.services))),
			retries: share.Retries{Ratio: p.RetryRatio, Window: p.RetryWindow},
		}
		p.services[name] = known
	}
	return known
}

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
	list := p.Control.Snapshot().Endpoints[x.service]
	if list == nil {
		waiting, cancel := context.WithTimeout(ctx, listWait)
		defer cancel()
		if list = p.Control.Want(waiting, x.service); list == nil {
			return false
		}
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
	send.Header = fieldsOf(x.request.Header)
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
