package call

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/picker"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// subscribeTimeout bounds the wait for the first list of a service's instances.
const subscribeTimeout = time.Second

type (
	// Forwarder sends requests to instances of their services and retries those that may be sent again.
	Forwarder struct {
		Clock         clock.Clock
		Control       Control
		Sender        *Sender
		Meter         *meter.Meter
		Planner       *retry.Planner
		Throttle      *admit.Throttle
		Suspects      *crash.Suspects
		Zone          string
		Seed          uint64
		DeadlineGrace time.Duration // added to the deadline so that the other daemon can report that it passed

		mu      sync.RWMutex
		pickers map[string]*servicePicker
	}

	// servicePicker is the picker of one service with the endpoints and the rules of its last update.
	servicePicker struct {
		picker *picker.Picker
		list   atomic.Pointer[snap.Endpoints] // of the last update
		rules  atomic.Pointer[rules.Set]      // whose retry share is in effect
		mu     sync.Mutex                     // held during an update
	}

	// result is the outcome of a request: delivered completely, failed before any byte was sent to the
	// caller, or broken off in the middle of the response.
	result interface{ result() }

	delivered struct {
		Status     int32
		Overloaded bool // the response is a failure that was caused by a refusal for overload
		Final      bool // the response is a failure that must not be retried by an upper layer
	}

	failed struct {
		Failure    retry.Failure
		Final      bool
		Overloaded bool
	}

	broken struct{ cause error } // wraps errCallerGone when writing to the caller failed

	// attemptResult is the result of sending the request once, to one instance.
	attemptResult struct {
		failure  retry.Failure // nil when there is a response
		response *ResponseHead
		report   Report
		call     *outgoingCall // open until the body of the response has been read
		latency  time.Duration
		feedback picker.Result
	}
)

func (delivered) result() {}
func (failed) result()    {}
func (broken) result()    {}

func (b broken) callerGone() bool { return errors.Is(b.cause, errCallerGone) }

// Forward sends the request until there is a response or no retry is allowed, and streams the response
// to out.
func (f *Forwarder) Forward(ctx context.Context, r *Request, out sink) result {
	if !f.Throttle.Allow(f.Clock.Now(), r.Route.Name, r.Importance) {
		return failed{Failure: retry.Throttled{}, Overloaded: true, Final: true}
	}
	outcome := f.forward(ctx, r, out)
	f.Throttle.Report(f.Clock.Now(), r.Route.Name, r.Importance, !overloadedResult(outcome))
	return outcome
}

func (f *Forwarder) forward(ctx context.Context, r *Request, out sink) result {
	instances := f.instances(ctx, r)
	if instances == nil {
		return failed{Failure: retry.NoBackend{}, Final: true}
	}
	var tried []string
	var previous retry.Failure // merged from the attempts before this one
	refusedFull := false       // a full server has refused the request
	for attempts := 1; ; attempts++ {
		now := f.Clock.Now()
		if !now.Before(r.Deadline) {
			return failed{Failure: retry.Merge(previous, retry.DeadlineBefore{}), Final: true}
		}
		policy := f.reach(r)
		r.restricted = r.restricted || policy.Restricted
		choice, ok := f.pick(instances, now, r, tried, policy)
		if !ok && previous != nil {
			return failed{Failure: previous, Final: true} // more specific than NoBackend
		}
		if !ok {
			return failed{Failure: f.refusal(r, &policy), Final: true}
		}
		firstOffer := !slices.Contains(tried, choice.ID)
		tried = append(tried, choice.ID)
		loan := r.Budget.Lend()
		attempt := f.send(ctx, r, &choice, policy.Regions, loan.Retries)
		r.Budget.ReturnLoan(loan, attempt.report.Unspent)
		if attempt.failure == nil && !f.retryableStatus(r, attempt) {
			if refusedFull {
				f.Meter.UnevenRefusal(r.Route.Service)
			}
			return f.deliver(ctx, r, out, attempt, &choice.Endpoint, instances)
		}
		refusedFull = refusedFull || retry.ByFullServer(attempt.failure)
		instances.Done(f.Clock.Now(), choice.ID, attempt.feedback)
		verdict := f.decide(r, attempt, attempts, firstOffer)
		retryVerdict, ok := verdict.(retry.Retry)
		if !ok {
			return f.giveUp(ctx, r, out, attempt, verdict, previous)
		}
		attempt.close()
		previous = retry.Merge(previous, attempt.failureOrLost())
		f.Meter.Retry(r.Route.Service)
		// The quarantine is read again after the pause, because the crash may have set it.
		if !f.pause(ctx, retryVerdict.After) || f.Control.Snapshot().Quarantined(r.Fingerprint, f.Clock.Now()) {
			return failed{Failure: previous, Final: true}
		}
		if current := f.instances(ctx, r); current != nil {
			instances = current // the list may have changed since the last attempt
		}
	}
}

// pickRequest returns the request as the picker sees it.
func pickRequest(now time.Time, r *Request, tried []string, policy reach.Policy) picker.Request {
	return picker.Request{
		Tried: tried, Reach: policy, Nested: r.Nested, Route: r.Route.Name, Left: r.Deadline.Sub(now), LongStay: r.longAnswersStay(),
	}
}

// pick chooses the instance for an attempt.
func (f *Forwarder) pick(instances *picker.Picker, now time.Time, r *Request, tried []string, policy reach.Policy) (picker.Choice, bool) {
	choice, ok := instances.Pick(now, pickRequest(now, r, tried, policy))
	if choice.Random {
		f.Meter.RandomChoice(r.Route.Service)
	}
	return choice, ok
}

// instances returns the picker of the service that r calls and subscribes to the service if its instances
// are not in the snapshot yet.
func (f *Forwarder) instances(ctx context.Context, r *Request) *picker.Picker {
	service := r.Route.Service
	list := f.Control.Snapshot().Endpoints[service]
	if list == nil {
		waitCtx, cancel := context.WithTimeout(ctx, subscribeTimeout)
		defer cancel()
		if list = f.Control.Subscribe(waitCtx, service); list == nil {
			return nil
		}
	}
	entry := f.pickerOf(service)
	if entry.list.Load() != list || entry.rules.Load() != r.Rules {
		f.update(entry, list, r)
	}
	return entry.picker
}

// reach returns where the request may be sent. It is computed for each attempt, because an evacuation may begin or the
// rules may change meanwhile: both the rules by which the request was admitted and those in force apply.
func (f *Forwarder) reach(r *Request) reach.Policy {
	snapshot := f.Control.Snapshot()
	policy := reach.For(snapshot.Evacuated, r.Route.Regions, r.Rules.AccountRegions(r.Account), r.ParentRegions)
	if latest := snapshot.Rules; latest != nil && latest != r.Rules {
		path, _, _ := strings.Cut(r.Target, "?")
		match, _ := latest.Match(r.Method, path)
		policy = policy.NarrowTo(latest, match.Route, r.Account)
	}
	return policy
}

// refusal returns the failure of a request that no instance was picked for.
func (f *Forwarder) refusal(r *Request, policy *reach.Policy) retry.Failure {
	list := f.Control.Snapshot().Endpoints[r.Route.Service]
	if list == nil {
		return retry.NoBackend{}
	}
	return policy.Refusal(list.Instances)
}

// update applies the published instances and retry share to entry. Lists with the same version have the
// same instances.
func (f *Forwarder) update(entry *servicePicker, list *snap.Endpoints, r *Request) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if current := entry.list.Load(); current == nil || current.Version != list.Version {
		entry.picker.Update(f.Clock.Now(), list.Instances)
	}
	entry.list.Store(list)
	if service := r.Rules.Services[r.Route.Service]; service != nil && entry.rules.Load() != r.Rules {
		f.Planner.SetShare(r.Route.Service, service.RetryShare)
		entry.rules.Store(r.Rules)
	}
}

func (f *Forwarder) pickerOf(service string) *servicePicker {
	f.mu.RLock()
	entry := f.pickers[service]
	f.mu.RUnlock()
	if entry != nil {
		return entry
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pickers == nil {
		f.pickers = make(map[string]*servicePicker)
	}
	if entry = f.pickers[service]; entry == nil {
		entry = &servicePicker{picker: picker.New(f.Zone, f.Seed+uint64(len(f.pickers)))}
		f.pickers[service] = entry
	}
	return entry
}

// send makes one attempt and returns when the head of the response or a failure has been received. Nested calls of the
// attempt may be handled in the given regions, in all if the list is empty.
func (f *Forwarder) send(ctx context.Context, r *Request, choice *picker.Choice, regions []string, retries uint32) attemptResult {
	started := f.Clock.Now()
	sendCtx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(started)+f.DeadlineGrace)
	head := f.head(r, &choice.Endpoint, retries, started)
	head.Regions = regions
	call, err := f.Sender.open(sendCtx, choice, head, r.Prefix)
	if err != nil {
		cancel()
		attempt := attemptResult{failure: retry.BackendLost{}}
		// Of a request that has not run, none of the lent retries is spent.
		switch {
		case errors.Is(err, errNotEncoded):
			attempt = attemptResult{failure: invalidCallFailure(err), report: Report{Unspent: retries}}
		case errors.Is(err, errNotSent):
			attempt = attemptResult{failure: retry.Unreached{}, report: Report{Unspent: retries}}
		}
		attempt.feedback = pickerFeedback(ctx, r, attempt)
		return attempt
	}
	call.cancel, call.lent = cancel, retries
	attempt := f.receiveHead(sendCtx, r, call, &choice.Endpoint)
	attempt.latency = f.Clock.Now().Sub(started)
	attempt.feedback = pickerFeedback(ctx, r, attempt)
	if attempt.failure != nil {
		call.close()
	} else {
		attempt.call = call
	}
	return attempt
}

func (f *Forwarder) head(r *Request, endpoint *snap.Endpoint, retries uint32, now time.Time) *RequestHead {
	return &RequestHead{
		RequestID:     r.ID,
		Instance:      endpoint.ID,
		Incarnation:   endpoint.Incarnation,
		Route:         r.Route.Name,
		Account:       r.Account,
		Importance:    uint32(r.Importance),
		Method:        r.Method,
		Target:        r.Target,
		Host:          r.Host,
		Header:        field.FromHeader(r.Header),
		ContentLength: r.ContentLength,
		Timeout:       r.Deadline.Sub(now),
		Retries:       retries,
		Chain:         r.Chain,
		Fingerprint:   r.Fingerprint,
		WaitAdmitted:  r.Rest != nil,
	}
}

// receiveHead reads messages until the head of the response or a refusal. After admission it starts to
// stream the rest of the request body.
func (f *Forwarder) receiveHead(ctx context.Context, r *Request, call *outgoingCall, endpoint *snap.Endpoint) attemptResult {
	for first := true; ; first = false {
		message, err := call.next()
		if first && errors.Is(err, link.ErrReset) {
			return attemptResult{failure: retry.Unreached{}, report: Report{Unspent: call.lent}}
		}
		if err != nil {
			return attemptResult{failure: lostFailure(ctx, r)}
		}
		switch message := message.(type) {
		case admittedMessage:
			if r.Rest != nil {
				rest := r.Rest
				r.Rest = consumedBody{}
				r.upload = make(chan struct{})
				go func() {
					defer close(r.upload)
					if err := call.sendBody(r.Prefix, rest); err != nil {
						r.streamErr.Store(&err)
						call.abort()
					}
				}()
			}
		case refusalMessage:
			if message.Crashed {
				f.Suspects.AddReported(f.Clock.Now(), endpoint.Incarnation, r.Fingerprint)
			}
			return attemptResult{failure: failureOf(&message.Refusal), report: message.Report}
		case responseHeadMessage:
			return attemptResult{response: &message.ResponseHead, report: message.Report}
		case dataMessage, endMessage:
			return attemptResult{failure: retry.BackendLost{}}
		}
	}
}

// lostFailure returns the failure for a stream that ended without a response.
func lostFailure(ctx context.Context, r *Request) retry.Failure {
	if err := r.streamErr.Load(); err != nil && errors.Is(*err, errBodyTooLarge) {
		return retry.BodyTooLarge{Dispatched: true}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return retry.DeadlineAfter{}
	}
	return retry.BackendLost{}
}

// consumedBody replaces the rest of a body that was streamed to an instance and cannot be sent again.
type consumedBody struct{}

// Read always fails.
func (consumedBody) Read([]byte) (int, error) { return 0, errTruncated }

// retryableStatus reports whether the request is idempotent and the status of its response allows a retry.
func (f *Forwarder) retryableStatus(r *Request, attempt attemptResult) bool {
	if !r.idempotent() {
		return false
	}
	switch attempt.response.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (f *Forwarder) decide(r *Request, attempt attemptResult, attempts int, firstOffer bool) retry.Verdict {
	if _, consumed := r.Rest.(consumedBody); consumed {
		return retry.GiveUp{Cause: retry.NotAllowed, Final: true}
	}
	now := f.Clock.Now()
	failure := attempt.failureOrLost()
	pause, ok := f.Suspects.ResendAfter(now, r.Fingerprint)
	if !ok {
		return retry.GiveUp{Cause: retry.NotAllowed, Final: true}
	}
	verdict := f.Planner.Decide(now, r.Budget, retry.Attempt{
		Service:    r.Route.Service,
		Failure:    failure,
		Idempotent: r.idempotent(),
		Final:      attempt.report.Final,
		Sent:       attempts,
		FirstOffer: firstOffer,
		Deadline:   r.Deadline,
	})
	if retryVerdict, ok := verdict.(retry.Retry); ok {
		return retry.Retry{After: retryVerdict.After + pause}
	}
	return verdict
}

// giveUp delivers the last response, or returns the failure when there is no response.
func (f *Forwarder) giveUp(ctx context.Context, r *Request, out sink, attempt attemptResult, verdict retry.Verdict, previous retry.Failure) result {
	if attempt.failure == nil {
		outcome := f.relay(ctx, r, out, attempt, nil)
		if complete, ok := outcome.(delivered); ok {
			complete.Final = true
			return complete
		}
		return outcome
	}
	final := true
	if giveUp, ok := verdict.(retry.GiveUp); ok {
		final = giveUp.Final
	}
	failure := retry.Merge(previous, attempt.failure)
	return failed{Failure: failure, Final: final, Overloaded: attempt.report.Overloaded || overloadFailure(attempt.failure)}
}

func (f *Forwarder) pause(ctx context.Context, d time.Duration) bool {
	timer := f.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-ctx.Done():
		return false
	}
}

// deliver streams a response to out. When a download breaks off, it is resumed from another instance.
func (f *Forwarder) deliver(ctx context.Context, r *Request, out sink, attempt attemptResult, endpoint *snap.Endpoint, instances *picker.Picker) result {
	feedback := attempt.feedback
	f.Meter.AddedLatency(r.Route.Service, f.Clock.Now().Sub(r.Started)-attempt.report.BackendLatency)
	resume := newResumption(r, attempt.response)
	outcome := f.relay(ctx, r, out, attempt, resume)
	_, complete := outcome.(delivered)
	if responded, ok := feedback.(picker.Responded); ok && complete {
		responded.Route, responded.Size = r.Route.Name, attempt.call.bodySize
		feedback = responded
	}
	if interrupted, ok := outcome.(broken); ok && !interrupted.callerGone() && ctx.Err() == nil {
		feedback = picker.Failed{}
		if resume != nil {
			instances.Done(f.Clock.Now(), endpoint.ID, feedback)
			return f.resume(ctx, r, out, resume, instances, []string{endpoint.ID}, interrupted)
		}
	}
	instances.Done(f.Clock.Now(), endpoint.ID, feedback)
	if complete {
		f.Planner.Success(f.Clock.Now(), r.Route.Service)
	}
	return outcome
}

// relay streams the response to out. A response that ends early is broken, unless no byte of it has been
// sent to the caller and the request is not idempotent.
func (f *Forwarder) relay(ctx context.Context, r *Request, out sink, attempt attemptResult, resume *resumption) result {
	defer attempt.close()
	if err := startResponse(out, attempt.response); err != nil {
		return broken{err}
	}
	for {
		message, err := attempt.call.next()
		if err != nil {
			if discard(out) && !r.idempotent() {
				return failed{Failure: retry.BackendLost{}, Final: true}
			}
			return broken{err}
		}
		switch message := message.(type) {
		case dataMessage:
			if err := writeData(out, message.bytes); err != nil {
				return broken{err}
			}
			resume.addSent(len(message.bytes))
		case endMessage:
			if err := endResponse(out, message.Trailer); err != nil {
				return broken{err}
			}
			overloaded := attempt.response.Status >= http.StatusInternalServerError && message.Report.Overloaded
			return delivered{Status: attempt.response.Status, Overloaded: overloaded}
		case admittedMessage, refusalMessage, responseHeadMessage:
			return broken{errWrongMessage}
		}
	}
}

func (a *attemptResult) close() {
	if a.call != nil {
		a.call.close()
	}
}

// failureOrLost returns the failure for the retry decision, which treats a response with a retryable
// status as a lost backend server.
func (a *attemptResult) failureOrLost() retry.Failure {
	if a.failure == nil {
		return retry.BackendLost{}
	}
	return a.failure
}

// pickerFeedback returns the result of the attempt for the picker: Canceled, which says nothing about the
// instance, when the caller has gone or its upload failed.
func pickerFeedback(ctx context.Context, r *Request, attempt attemptResult) picker.Result {
	if errors.Is(ctx.Err(), context.Canceled) || r.streamErr.Load() != nil {
		return picker.Canceled{}
	}
	report := &attempt.report
	cold := warmup.Report{Rate: report.ColdRate, For: report.ColdFor, Wait: report.ColdWait}
	switch attempt.failure.(type) {
	case nil:
		if attempt.response.Status == http.StatusServiceUnavailable || attempt.response.Status == http.StatusTooManyRequests {
			return picker.Refused{Load: report.Load, Cold: cold}
		}
		return picker.Responded{Latency: attempt.latency, Load: report.Load, Cold: cold}
	case retry.Draining:
		return picker.Refused{Load: report.Load, Draining: true, Cold: cold}
	case retry.Overload, retry.QueueFull, retry.QueueTimeout, retry.DeadlineBefore, retry.Evacuated:
		return picker.Refused{Load: report.Load, Cold: cold}
	}
	return picker.Failed{Latency: attempt.latency}
}

func overloadFailure(failure retry.Failure) bool {
	switch failure.(type) {
	case retry.Overload, retry.QueueFull, retry.QueueTimeout, retry.Throttled:
		return true
	}
	return false
}

func overloadedResult(outcome result) bool {
	switch outcome := outcome.(type) {
	case delivered:
		return outcome.Overloaded
	case failed:
		return outcome.Overloaded
	}
	return false
}
