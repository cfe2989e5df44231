package relay

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
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
	// TokenWait bounds the wait for a rate token if this daemon has none.
	TokenWait = 200 * time.Millisecond

	// leaderLostAfter is the time since the last contact with the leader above which requests do not wait for
	// tokens to be granted. localTokenWait then bounds taking a token that this daemon already has.
	leaderLostAfter = 900 * time.Millisecond
	localTokenWait  = 2 * time.Millisecond

	// localRateAfter is the time since the last contact with the leader above which the fallback limiters of
	// the daemon admit requests without a token. A leader that replies but grants no token has none left, and
	// the fallback limiters of all daemons would admit requests above the rate. The leader is contacted every
	// 500 ms.
	localRateAfter = 700 * time.Millisecond

	// endpointsWait bounds the wait for the first list of a service's servers.
	endpointsWait = 500 * time.Millisecond

	// startupWindow is how long after its start a daemon lets requests wait for state that it has not received
	// yet. The control instances have usually started at the same time and are about to reply. A request waits
	// for at most startupWaitShare of its time and at most maxStartupWait, because its route, which is not
	// known without a configuration, may allow less time than its caller.
	startupWindow    = 2 * time.Second
	startupWaitShare = 0.5
	maxStartupWait   = time.Second

	// responseMargin is the time in which a response gets from the server to its caller; a server's own error
	// response at the deadline still arrives.
	responseMargin = 2 * responseGrace

	// defaultRequestTimeout applies to a caller that specifies no timeout.
	defaultRequestTimeout = 30 * time.Second

	// noServerRetryAfter is the advised retry delay for a service without servers at present, and for other
	// conditions of the daemon that end soon.
	noServerRetryAfter = 500 * time.Millisecond

	// rateRetryAfter is the advised retry delay for a client account above its rate if the owner of its tokens
	// gives none.
	rateRetryAfter = time.Second
)

type (
	// Forwarder forwards requests from callers to backend servers.
	Forwarder struct {
		Clock        clock.Clock
		Control      Control
		Dialect      Dialect
		PeerStreams  *PeerStreams
		LocalBackend *LocalBackend
		Meter        *meter.Meter
		Log          zerolog.Logger
		PeerAddress  string // peer address of this daemon
		Zone         string
		Seed         uint64
		Started      time.Time // start of this daemon

		RetryRatio  float64       // retries per request that the fleet allows
		RetryWindow time.Duration // in which retries are counted

		stop atomic.Pointer[time.Time] // when a draining daemon stops, nil before

		ended context.Context // ends when no request can be in progress any longer, because the daemon ends
		end   context.CancelFunc

		mu               sync.Mutex
		services         map[string]*serviceState
		splits           map[string]*share.Split           // keyed by route
		fallbackLimiters map[string]*share.FallbackLimiter // keyed by client account
	}

	// serviceState is the state that this daemon keeps for the requests to one service.
	serviceState struct {
		mu       sync.Mutex
		balancer *place.Balancer
		retries  share.RetryBudget
	}

	// forwardState is the state of one request while it is forwarded.
	forwardState struct {
		request       *Request
		route         *rules.Route
		account       *rules.Account // nil on open routes
		revision      uint64
		fingerprint   string
		nested        bool
		longStay      bool // the rule of the service lets requests with long answers leave the zone less easily
		tokenTaken    bool // a rate token was spent
		rank          int
		started       time.Time
		lastContact   time.Time // when the daemon sent the message that the leader replied to last
		deadline      time.Time
		service       string
		tried         []string
		attempts      int  // number of sends, also those that reached no server
		sends         int  // number of sends that reached a server
		retryAllowed  bool // the retry budget has allowed the next send
		refusedFull   bool // a full server has refused the request
		callerOutcome outcome
	}
)

// Serve forwards a request and returns the response. The context ends when the caller disconnects.
func (f *Forwarder) Serve(ctx context.Context, r *Request) Response {
	started := f.Clock.Now()
	state, refused := f.classify(ctx, r, started)
	if refused != nil {
		f.logResult(state, *refused)
		return f.Dialect.EncodeRefusal(r.ID, refused.failure, refused.retryAfter)
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, state.deadline.Sub(started)+responseMargin)
	defer cancel()
	defer context.AfterFunc(f.ended, cancel)()
	result := f.forward(ctx, state)
	if errors.Is(caller.Err(), context.Canceled) {
		f.Log.Info().Str("request", r.ID).Str("route", state.route.Name).Int("sends", state.sends).Dur("took", f.Clock.Now().Sub(started)).Msg("caller-left")
		return Response{Status: http.StatusBadGateway, Header: http.Header{}} // the caller has disconnected
	}
	if state.account != nil && state.tokenTaken && state.sends == 0 {
		if _, neverRan := result.(notRun); neverRan {
			f.Control.ReturnToken(state.account.Name)
		}
	}
	f.Meter.Call(state.service, state.accountName(), outcomeName(result), f.Clock.Now().Sub(started))
	f.logResult(state, result)
	switch result := result.(type) {
	case completed:
		return result.response
	case notRun:
		return f.Dialect.EncodeRefusal(r.ID, result.failure, result.retryAfter)
	case unknown:
		if r.Rest != nil && r.Rest.tooLong.Load() {
			return f.Dialect.EncodeRefusal(r.ID, retry.BodyTooLarge{Dispatched: true}, 0)
		}
		return f.Dialect.EncodeRefusal(r.ID, result.failure, 0)
	}
	return f.Dialect.EncodeRefusal(r.ID, retry.BackendLost{}, 0)
}

// classify finds the route and the client account of a request in one snapshot of the configuration.
func (f *Forwarder) classify(ctx context.Context, r *Request, now time.Time) (*forwardState, *notRun) {
	state := &forwardState{request: r, started: now}
	snapshot := f.awaitConfig(ctx, state)
	state.lastContact = snapshot.LastContact
	if !r.fitsMessage() {
		return state, &notRun{failure: retry.HeaderTooLarge{}}
	}
	if snapshot.Rules == nil {
		return state, &notRun{failure: retry.StaleConfig{}, retryAfter: noServerRetryAfter}
	}
	set, fresh := snapshot.Rules, snapshot.LeaseValid(f.Clock.Now())
	state.revision = set.Revision
	route, ok := set.MatchHost(r.Host, r.Path)
	if !ok {
		return state, refusalFor(fresh, retry.NoRoute{})
	}
	state.route, state.rank = route, route.Rank
	if failure := state.authenticate(set, r.APIKey); failure != nil {
		return state, refusalFor(fresh, failure)
	}
	state.fingerprint = crash.Fingerprint(r.Method, r.Target, state.accountName(), r.size(), r.Body)
	if snapshot.Quarantined(state.fingerprint, now) {
		return state, &notRun{failure: retry.Quarantined{}, retryAfter: rateRetryAfter}
	}
	state.deadline = state.latestResponse()
	if f.endsTooLate(state) {
		return state, &notRun{failure: retry.Draining{}, retryAfter: noServerRetryAfter}
	}
	if refused := f.checkRate(ctx, state, fresh); refused != nil {
		return state, refused
	}
	state.service = route.Service
	if len(route.WeightedServices) > 0 {
		state.service = f.chooseService(route)
	}
	state.longStay = longAnswersStay(set, state.service)
	return state, nil
}

// longAnswersStay reports whether the rule of the service lets requests with long answers leave the zone less easily.
func longAnswersStay(set *rules.Set, service string) bool {
	found := set.Services[service]
	return found != nil && found.LongAnswersStay
}

// StartDraining makes the forwarder refuse requests that must not be repeated and may take longer than until the daemon
// stops: they would be cut off with an unknown outcome.
func (f *Forwarder) StartDraining(stop time.Time) { f.stop.Store(&stop) }

// EndRequests ends the requests in progress, because the daemon ends. What has not run is refused as such.
func (f *Forwarder) EndRequests() { f.end() }

func (f *Forwarder) endsTooLate(state *forwardState) bool {
	stop := f.stop.Load()
	return stop != nil && !state.idempotent() && state.deadline.Add(responseMargin).After(*stop)
}

// checkRate counts a request against the rate of its client account. A configuration that is not known to be
// in effect admits no account, because a newer one may have withdrawn the key.
func (f *Forwarder) checkRate(ctx context.Context, state *forwardState, fresh bool) *notRun {
	if state.account == nil {
		return nil
	}
	if !fresh {
		return &notRun{failure: retry.StaleConfig{}, retryAfter: noServerRetryAfter}
	}
	tokenTaken, refused := f.takeToken(ctx, state)
	if refused != nil {
		return refused
	}
	state.tokenTaken = tokenTaken
	return nil
}

// awaitConfig returns the control state for a request. Shortly after its start a daemon lets the request wait
// for the first configuration.
func (f *Forwarder) awaitConfig(ctx context.Context, state *forwardState) *snap.Snapshot {
	snapshot, wait := f.Control.Snapshot(), f.startupWait(state)
	if wait <= 0 || snapshot.Rules != nil && snapshot.LeaseValid(state.started) {
		return snapshot
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return f.Control.AwaitConfig(ctx)
}

// startupWait returns how long a request may wait for state that a recently started daemon has not received
// yet, zero on any other daemon.
func (f *Forwarder) startupWait(state *forwardState) time.Duration {
	now := f.Clock.Now()
	limit := state.request.timeout()
	if state.route != nil {
		limit = min(limit, state.route.Deadline)
	}
	limit = min(time.Duration(startupWaitShare*float64(limit)), maxStartupWait)
	return max(min(startupWindow-now.Sub(f.Started), limit-now.Sub(state.started)), 0)
}

// timeout returns how long the caller waits.
func (r *Request) timeout() time.Duration {
	if r.Timeout <= 0 {
		return defaultRequestTimeout
	}
	return r.Timeout
}

// refusalFor returns a final refusal only under a configuration that is known to be in effect.
func refusalFor(fresh bool, failure retry.Failure) *notRun {
	if !fresh {
		return &notRun{failure: retry.StaleConfig{}, retryAfter: noServerRetryAfter}
	}
	return &notRun{failure: failure}
}

// authenticate finds the client account of the API key. Calls of backend servers carry no key; the routes that
// they use are open.
func (s *forwardState) authenticate(set *rules.Set, presented string) retry.Failure {
	if open, failure := s.checkAccess(presented != ""); open || failure != nil {
		return failure
	}
	key, active := set.KeyFor(presented)
	switch {
	case key == nil:
		return retry.KeyUnknown{}
	case !active:
		return retry.KeyWithdrawn{}
	}
	s.setAccount(set.Accounts[key.Account])
	return nil
}

// checkAccess applies the access rule of the route to a request with or without a key; open reports that no key is
// needed.
func (s *forwardState) checkAccess(hasKey bool) (open bool, failure retry.Failure) {
	switch {
	case s.route.Access == rules.AccessOpen:
		s.nested = !hasKey
		return true, nil
	case !hasKey:
		return false, retry.KeyMissing{}
	}
	return false, nil
}

// setAccount sets the client account, whose rank takes precedence over that of the route.
func (s *forwardState) setAccount(account *rules.Account) {
	s.account = account
	if account != nil && account.Rank != nil {
		s.rank = *account.Rank
	}
}

// latestResponse returns the deadline of the request.
func (s *forwardState) latestResponse() time.Time {
	return s.started.Add(min(s.request.timeout(), s.route.Deadline))
}

func (s *forwardState) accountName() string {
	if s.account == nil {
		return ""
	}
	return s.account.Name
}

func (s *forwardState) accountRegions() []string {
	if s.account == nil {
		return nil
	}
	return s.account.Regions
}

// takeToken counts a request against the rate of its client account; tokenTaken reports whether a token was
// spent.
func (f *Forwarder) takeToken(ctx context.Context, state *forwardState) (tokenTaken bool, refused *notRun) {
	account := state.account
	if account.Rate.Count == 0 {
		return false, nil
	}
	wait := max(TokenWait, f.startupWait(state))
	if f.sinceLeaderContact() > leaderLostAfter {
		wait = localTokenWait // no leader replies, so no token will be granted
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	verdict := f.Control.TakeToken(ctx, account.Name)
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	fallback := f.fallbackLimiter(account.Name)
	switch verdict := verdict.(type) {
	case call.TokenTaken:
		fallback.RecordGrant(now)
		return true, nil
	case call.TokenRefused:
		return false, &notRun{failure: retry.Rate{}, retryAfter: cmp.Or(verdict.RetryAfter, rateRetryAfter)}
	}
	if f.usesFallback() && fallback.Allow(now, account.Rate.PerSecond()) {
		return false, nil
	}
	return false, &notRun{failure: retry.RateUnavailable{}, retryAfter: noServerRetryAfter}
}

// usesFallback reports whether the fallback limiters admit requests without a token.
func (f *Forwarder) usesFallback() bool { return f.sinceLeaderContact() > localRateAfter }

// sinceLeaderContact returns the time since the last contact with the leader.
func (f *Forwarder) sinceLeaderContact() time.Duration {
	return f.Clock.Now().Sub(f.Control.Snapshot().LastContact)
}

// fallbackLimiter returns the limiter that admits requests of a client account while no tokens are granted;
// f.mu is held.
func (f *Forwarder) fallbackLimiter(account string) *share.FallbackLimiter {
	if f.fallbackLimiters == nil {
		f.fallbackLimiters = map[string]*share.FallbackLimiter{}
	}
	limiter := f.fallbackLimiters[account]
	if limiter == nil {
		limiter = &share.FallbackLimiter{}
		f.fallbackLimiters[account] = limiter
	}
	return limiter
}

// chooseService chooses the service of a route that is split.
func (f *Forwarder) chooseService(route *rules.Route) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.splits == nil {
		f.splits = map[string]*share.Split{}
	}
	split := f.splits[route.Name]
	if split == nil {
		split = &share.Split{}
		split.Skip(route.WeightedServices, rand.IntN(100))
		f.splits[route.Name] = split
	}
	return split.Next(route.WeightedServices)
}

func (f *Forwarder) service(name string) *serviceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.services == nil {
		f.services = map[string]*serviceState{}
	}
	state := f.services[name]
	if state == nil {
		state = &serviceState{
			balancer: place.New(f.Seed + uint64(len(f.services))),
			retries:  share.RetryBudget{Ratio: f.RetryRatio, Window: f.RetryWindow},
		}
		f.services[name] = state
	}
	return state
}
