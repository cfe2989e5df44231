package call

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	// tokenTimeout bounds the wait for a rate token when this daemon has none.
	tokenTimeout = time.Second

	// recordTimeout bounds the wait until an idempotency record is durable.
	recordTimeout = 2 * time.Second

	maxIdempotencyKey = 256 // bytes
)

type (
	// Handler serves the ingress address and the local address.
	Handler struct {
		Clock     clock.Clock
		Control   Control
		Forwarder *Forwarder
		Meter     *meter.Meter
		Log       zerolog.Logger
		MaxBody   int64 // bytes of a request body
		MaxHeader int   // bytes of a request line and header
		MaxCalls  int64 // calls in progress at the ingress address

		BodyTimeout  time.Duration // longest pause within a request body
		WriteTimeout time.Duration // longest time that a caller may accept no byte of a response

		backends *backends
		parents  *parentRequests
		active   atomic.Int64
		cuts     zerolog.Logger // bounded lines about responses that broke off
	}

	// caller is the client account of a request's key, or the reason why the request is refused.
	caller struct {
		account string
		key     string
		failure retry.Failure
		rule    *rules.Rule
	}
)

// ServeIngress handles a request of a caller.
func (h *Handler) ServeIngress(w http.ResponseWriter, r *http.Request) {
	started := h.Clock.Now()
	id := newToken()
	active := h.active.Add(1)
	defer h.active.Add(-1)
	// The daemons add up to two fields.
	if size, fields := headerSize(r); size > h.MaxHeader || fields > maxHeaders-2 {
		h.refuse(w, id, "", retry.HeaderTooLarge{}, nil)
		return
	}
	if active > h.MaxCalls {
		h.refuse(w, id, "", retry.Overload{}, nil)
		return
	}
	snapshot := h.Control.Snapshot()
	if snapshot.Rules == nil {
		h.refuse(w, id, "", retry.StaleConfig{}, nil)
		return
	}
	match, ok := snapshot.Rules.Match(r.Method, r.URL.EscapedPath())
	if !ok || match.Route.Nested {
		h.refuse(w, id, "", retry.NoRoute{}, nil)
		return
	}
	route := match.Route
	if isStale(snapshot, route, started) {
		h.refuse(w, id, "", retry.StaleConfig{}, &route.Rule)
		return
	}
	caller := identify(snapshot.Rules, route, r)
	if caller.failure != nil {
		h.refuse(w, id, caller.account, caller.failure, caller.rule)
		return
	}
	request := newRequest(r, snapshot.Rules, route, id)
	request.Account = caller.account
	request.Header = forwardHeader(r.Header, caller.key)
	request.Header.Add("X-Forwarded-For", callerAddress(r.RemoteAddr))
	request.Importance = importanceOf(route.Importance)
	request.Started = started
	request.Deadline = started.Add(route.Deadline)
	request.Budget = retry.NewEntryBudget(uint32(route.Retries))
	if failure, rule := h.takeToken(r.Context(), request, snapshot); failure != nil {
		if _, unavailable := failure.(retry.RateUnavailable); unavailable {
			h.Meter.RefusedWithinRate(string(retry.Describe(failure).Reason), caller.account)
		}
		h.refuse(w, id, caller.account, failure, rule)
		return
	}
	h.run(r.Context(), w, request, started)
}

// isStale reports whether the lease of the daemon is too old for a request of a caller on the route.
func isStale(snapshot *snap.Snapshot, route *rules.Route, now time.Time) bool {
	return !snapshot.LeaseValid(now) && !route.Offline
}

// accessFailure returns why the access rule of the route refuses a request of the client account, whose name is empty for
// a request without a key.
func accessFailure(route *rules.Route, account string) retry.Failure {
	switch {
	case route.Access == rules.AccessOpen:
		return nil
	case account == "":
		return retry.KeyMissing{}
	case !route.AllowsAccount(account):
		return retry.AccountNotAllowed{}
	}
	return nil
}

// identify returns the client account of the request's key.
func identify(set *rules.Set, route *rules.Route, r *http.Request) caller {
	key := requestKey(r.Header)
	if containsKey(r.RequestURI, key) || containsKey(r.Host, key) {
		// A key in the request line or the host would reach the backend server.
		return caller{failure: retry.BadRequest{}, rule: &route.Rule}
	}
	if route.Access == rules.AccessOpen {
		return caller{key: key}
	}
	if key == "" {
		return caller{failure: accessFailure(route, ""), rule: &route.Rule}
	}
	found, active := set.KeyFor(key)
	switch {
	case found == nil:
		return caller{failure: retry.KeyUnknown{}, rule: &route.Rule}
	case !active:
		return caller{account: found.Account, failure: retry.KeyWithdrawn{}, rule: &found.Rule}
	}
	if failure := accessFailure(route, found.Account); failure != nil {
		return caller{account: found.Account, failure: failure, rule: &route.Rule}
	}
	return caller{account: found.Account, key: key}
}

func newRequest(r *http.Request, set *rules.Set, route *rules.Route, id string) *Request {
	return &Request{
		ID:            id,
		Rules:         set,
		Route:         route,
		Method:        r.Method,
		Target:        r.URL.RequestURI(),
		Host:          r.Host,
		ContentLength: r.ContentLength,
		body:          r.Body,
	}
}

// takeToken takes one rate token of the request's client account. If there is none, it returns the failure and the
// rule of the account.
func (h *Handler) takeToken(ctx context.Context, request *Request, snapshot *snap.Snapshot) (retry.Failure, *rules.Rule) {
	if request.Account == "" {
		return nil, nil
	}
	account := snapshot.Rules.Accounts[request.Account]
	waitCtx, cancel := context.WithTimeout(ctx, min(tokenTimeout, request.Route.Deadline))
	defer cancel()
	switch h.Control.TakeToken(waitCtx, request.Account).(type) {
	case TokenRefused:
		return retry.Rate{}, &account.Rule
	case TokenUnavailable:
		return retry.RateUnavailable{}, &account.Rule
	}
	return nil, nil
}

// run reads the prefix of the body, checks the quarantine, and forwards the request. A request of a
// non-idempotent route that has an Idempotency-Key is run at most once.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, request *Request, started time.Time) result {
	timed := &timeoutBody{body: request.body, control: http.NewResponseController(w), stallTimeout: h.BodyTimeout}
	body := &limitedBody{body: timed, remaining: h.MaxBody}
	if request.ContentLength > h.MaxBody {
		return h.finish(w, request, failed{Failure: retry.BodyTooLarge{}, Final: true})
	}
	if err := request.readPrefix(body); err != nil {
		failure := retry.Failure(retry.BadRequest{})
		if errors.Is(err, errBodyTooLarge) {
			failure = retry.BodyTooLarge{}
		}
		return h.finish(w, request, failed{Failure: failure, Final: true})
	}
	if request.Rest != nil {
		// Without full duplex, net/http reads and discards the rest of the body when the response starts.
		_ = timed.control.EnableFullDuplex()
		w = &uploadWriter{ResponseWriter: w, body: timed}
		defer func() { timed.stop(request.upload) }()
	}
	if h.Control.Snapshot().Quarantined(request.Fingerprint, started) {
		return h.finish(w, request, failed{Failure: retry.Quarantined{}, Final: true})
	}
	key := request.Header.Get(HeaderIdempotencyKey)
	if request.idempotent() || key == "" {
		return h.finish(w, request, h.Forwarder.Forward(ctx, request, newStreamingSink(w, h.WriteTimeout)))
	}
	if len(key) > maxIdempotencyKey {
		return h.finish(w, request, failed{Failure: retry.BadRequest{}, Final: true})
	}
	return h.runOnce(ctx, w, request, key)
}

// finish counts a request and writes the refusal of one that failed. A response that broke off must not
// look complete.
func (h *Handler) finish(w http.ResponseWriter, request *Request, outcome result) result {
	h.count(request, outcome)
	switch outcome := outcome.(type) {
	case failed:
		if request.Account != "" && withinRate(outcome.Failure) {
			h.Meter.RefusedWithinRate(string(retry.Describe(outcome.Failure).Reason), request.Account)
		}
		rule := &request.Route.Rule
		if _, outside := outcome.Failure.(retry.RegionNotAllowed); outside {
			rule = rules.RegionRule(request.Route, request.Rules.Accounts[request.Account])
		}
		h.refuse(w, request.ID, request.Account, outcome.Failure, rule)
	case broken:
		h.Meter.TruncatedResponse()
		h.cuts.Info().Str("request", request.ID).Str("route", request.Route.Name).Str("account", request.Account).
			Bool("caller-left", outcome.callerGone()).Dur("took", h.Clock.Now().Sub(request.Started)).Err(outcome.cause).Msg("response-cut")
		// The panic closes the connection, so that the caller gets an error and not a shorter response.
		panic(http.ErrAbortHandler)
	}
	return outcome
}

// withinRate reports whether a failure refuses a request because the system lacks capacity, and not because
// of the request's content or its caller's rate.
func withinRate(failure retry.Failure) bool {
	switch failure.(type) {
	case retry.Throttled, retry.Overload, retry.QueueFull, retry.QueueTimeout, retry.NoBackend, retry.Unreached,
		retry.RecordUnavailable, retry.DeadlineBefore, retry.Draining, retry.RegionNotAllowed, retry.Evacuated:
		return true
	}
	return false
}

func (h *Handler) refuse(w http.ResponseWriter, id, account string, failure retry.Failure, rule *rules.Rule) {
	reason := string(retry.Describe(failure).Reason)
	h.Meter.Refused(reason, account)
	event := h.Log.Debug().Str("request", id).Str("reason", reason).Str("account", account)
	if rule != nil {
		event = event.Str("rule", rule.Identity())
	}
	event.Msg("call-refused")
	writeRefusal(w, id, failure, rule)
}

func (h *Handler) count(request *Request, outcome result) {
	name := "broken"
	switch outcome := outcome.(type) {
	case delivered:
		name = "answered"
		if outcome.Status >= http.StatusInternalServerError {
			name = "error"
		}
	case failed:
		name = "refused"
	}
	h.Meter.Call(request.Route.Service, request.Account, name, h.Clock.Now().Sub(request.Started))
}
