package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
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
)

const (
	// tokenWait bounds the wait for a rate token when this daemon has none.
	tokenWait = 200 * time.Millisecond

	// unheardAfter is the age of the leader's latest answer above which tokens are not waited for, and
	// tokenGlance the time in which a token that is here already is taken.
	unheardAfter = 900 * time.Millisecond
	tokenGlance  = 2 * time.Millisecond

	// paceAfter is the age of the leader's latest answer above which a daemon goes on at its own pace. A leader
	// that answers and grants no token has none left, and the daemons' paces would come on top of the rate.
	// The leader is asked every 500 ms.
	paceAfter = 700 * time.Millisecond

	// listWait bounds the wait for the first list of a service's servers.
	listWait = 500 * time.Millisecond

	// startSpan is how long after its start a daemon lets requests wait for what it does not know yet. The
	// control instances have mostly started at the same time and are about to answer. A request waits for
	// startShare of its time and for startWait at most, because its route may allow less than its caller.
	startSpan  = 2 * time.Second
	startShare = 0.5
	startWait  = time.Second

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
		Clock   clock.Clock
		Control Control
		Dialect Dialect
		Lanes   *Lanes
		Beside  *Beside
		Meter   *meter.Meter
		Log     zerolog.Logger
		Own     string // peer address of this daemon
		Zone    string
		Service string // of the backend server beside this daemon
		Seed    uint64
		Started time.Time // of this daemon

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
	x := &passing{request: r, started: now}
	snapshot := p.config(ctx, x)
	x.heard = snapshot.LastContact
	if snapshot.Rules == nil {
		return x, &turned{failure: retry.StaleConfig{}, after: noServerAfter}
	}
	set, fresh := snapshot.Rules, snapshot.LeaseValid(p.Clock.Now())
	x.revision = set.Revision
	route, ok := set.MatchHost(r.Host, r.Path)
	if !ok {
		return x, unlessStale(fresh, retry.NoRoute{})
	}
	x.route, x.rank = route, route.Rank
	if failure := x.identify(set, r.Key); failure != nil {
		return x, unlessStale(fresh, failure)
	}
	x.fingerprint = crash.Fingerprint(r.Method, r.Target, x.accountName(), int64(len(r.Body)), r.Body)
	if snapshot.Quarantined(x.fingerprint, now) {
		return x, &turned{failure: retry.Quarantined{}, after: rateAfter}
	}
	if refused := p.charge(ctx, x, fresh); refused != nil {
		return x, refused
	}
	x.deadline = now.Add(min(r.allowed(), route.Deadline))
	x.service = route.Service
	if len(route.Parts) > 0 {
		x.service = p.split(route)
	}
	return x, nil
}

// charge counts a request against its client account. A key may have been withdrawn under a newer configuration,
// so that one which is not known to be in force admits nobody.
func (p *Path) charge(ctx context.Context, x *passing, fresh bool) *turned {
	if x.account == nil {
		return nil
	}
	if !fresh {
		return &turned{failure: retry.StaleConfig{}, after: noServerAfter}
	}
	granted, refused := p.takeToken(ctx, x)
	if refused != nil {
		return refused
	}
	x.granted = granted
	if x.account.Rank != nil {
		x.rank = *x.account.Rank
	}
	return nil
}

// config returns the control state to serve a request by. A daemon that has just started lets it wait for the
// first configuration.
func (p *Path) config(ctx context.Context, x *passing) *snap.Snapshot {
	snapshot, wait := p.Control.Snapshot(), p.patience(x)
	if wait <= 0 || snapshot.Rules != nil && snapshot.LeaseValid(x.started) {
		return snapshot
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return p.Control.AwaitConfig(ctx)
}

// patience returns how long a request may wait for what a daemon that has just started does not know yet,
// zero at any other daemon.
func (p *Path) patience(x *passing) time.Duration {
	now := p.Clock.Now()
	most := x.request.allowed()
	if x.route != nil {
		most = min(most, x.route.Deadline)
	}
	most = min(time.Duration(startShare*float64(most)), startWait)
	return max(min(startSpan-now.Sub(p.Started), most-now.Sub(x.started)), 0)
}

// allowed returns how long the caller waits.
func (r *Request) allowed() time.Duration {
	if r.Allowed <= 0 {
		return defaultAllowed
	}
	return r.Allowed
}

// unlessStale refuses for good only under a configuration that is known to be in force.
func unlessStale(fresh bool, failure retry.Failure) *turned {
	if !fresh {
		return &turned{failure: retry.StaleConfig{}, after: noServerAfter}
	}
	return &turned{failure: failure}
}

// identify finds the client account of the key. Calls of backend servers carry none; the routes that they
// use are open.
func (x *passing) identify(set *rules.Set, presented string) retry.Failure {
	if x.route.Access == rules.AccessOpen {
		x.nested = presented == ""
		return nil
	}
	if presented == "" {
		return retry.KeyMissing{}
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
func (p *Path) takeToken(ctx context.Context, x *passing) (granted bool, refused *turned) {
	account := x.account
	if account.Rate.Count == 0 {
		return false, nil
	}
	wait := max(tokenWait, p.patience(x))
	if p.silence() > unheardAfter {
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
	if p.silence() > paceAfter && pace.Take(now, account.Rate.PerSecond()) {
		return false, nil
	}
	return false, &turned{failure: retry.RateUnavailable{}, after: noServerAfter}
}

// silence returns how old the leader's latest answer is.
func (p *Path) silence() time.Duration { return p.Clock.Now().Sub(p.Control.Snapshot().LastContact) }

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
