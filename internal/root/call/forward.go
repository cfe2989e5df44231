package call

import (
	"context"
	"errors"
	"net/http"
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
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// wantTimeout bounds the wait for the first list of a service's instances.
const wantTimeout = time.Second

type (
	// Forwarder sends requests to instances of their services and decides about further attempts.
	Forwarder struct {
		Clock    clock.Clock
		Control  Control
		Sender   *Sender
		Meter    *meter.Meter
		Planner  *retry.Planner
		Throttle *admit.Throttle
		Suspects *crash.Suspects
		Zone     string
		Seed     uint64
		Grace    time.Duration // the time, after a deadline, in which another daemon may report it

		mu      sync.RWMutex
		pickers map[string]*servicePicker
	}

	// servicePicker pairs a picker with the endpoints and the rules that it was updated to.
	servicePicker struct {
		picker *picker.Picker
		list   atomic.Pointer[snap.Endpoints] // the list of the last update
		rules  atomic.Pointer[rules.Set]      // the rules whose retry share is in use
		mu     sync.Mutex                     // held during an update
	}

	// result is how a request ended: delivered whole, failed before the caller got a byte, or broken off
	// in the middle of its answer.
	result interface{ result() }

	delivered struct {
		Status     int32
		Overloaded bool // the answer is a failure with a refusal for overload behind it
		Final      bool // the answer is a failure about whose retries has been decided
	}

	failed struct {
		Failure    retry.Failure
		Final      bool
		Overloaded bool
	}

	broken struct{ caller bool } // caller is true when the caller's side of the answer failed

	// attempt is what one send to one instance yielded.
	attempt struct {
		failure  retry.Failure // nil for an answer
		answer   *Answer
		report   Report
		exchange *exchange // open while the answer's body has not been read
		latency  time.Duration
		pick     picker.Result
	}
)

func (delivered) result() {}
func (failed) result()    {}
func (broken) result()    {}

// Forward sends the request until it is answered or must not be sent again, and passes the answer on.
func (f *Forwarder) Forward(ctx context.Context, r *Request, to sink) result {
	if !f.Throttle.Allow(f.Clock.Now(), r.Route.Name, r.Importance) {
		return failed{Failure: retry.Throttled{}, Overloaded: true, Final: true}
	}
	outcome := f.forward(ctx, r, to)
	f.Throttle.Report(f.Clock.Now(), r.Route.Name, r.Importance, !overloadedResult(outcome))
	return outcome
}

func (f *Forwarder) forward(ctx context.Context, r *Request, to sink) result {
	instances := f.instances(ctx, r)
	if instances == nil {
		return failed{Failure: retry.NoBackend{}, Final: true}
	}
	var tried []string
	var earlier retry.Failure // of the sends before this one
	for sent := 1; ; sent++ {
		now := f.Clock.Now()
		if !now.Before(r.Deadline) {
			return failed{Failure: retry.Merge(earlier, retry.DeadlineBefore{}), Final: true}
		}
		endpoint, ok := instances.Pick(now, tried)
		if !ok && earlier != nil {
			return failed{Failure: earlier, Final: true} // tells more than that no other instance is left
		}
		if !ok {
			return failed{Failure: retry.NoBackend{}, Final: true}
		}
		tried = append(tried, endpoint.ID)
		loan := r.Budget.Lend()
		got := f.send(ctx, r, &endpoint, loan.Retries)
		r.Budget.ReturnLoan(loan, got.report.Unspent)
		if got.failure == nil && !f.retryableStatus(r, got) {
			return f.deliver(ctx, r, to, got, &endpoint, instances)
		}
		instances.Done(f.Clock.Now(), endpoint.ID, got.pick)
		verdict := f.decide(r, got, sent)
		again, ok := verdict.(retry.Retry)
		if !ok {
			return f.giveUp(ctx, r, to, got, verdict, earlier)
		}
		got.close()
		earlier = retry.Merge(earlier, got.failureOrLost())
		f.Meter.Retry(r.Route.Service)
		// The quarantine is read again after the pause, because the crash may have set it.
		if !f.pause(ctx, again.After) || f.Control.Snapshot().Quarantined(r.Fingerprint, f.Clock.Now()) {
			return failed{Failure: earlier, Final: true}
		}
		if current := f.instances(ctx, r); current != nil {
			instances = current // the list may have changed since the first send
		}
	}
}

// instances returns the picker of a service, subscribing to the service on its first call.
func (f *Forwarder) instances(ctx context.Context, r *Request) *picker.Picker {
	service := r.Route.Service
	list := f.Control.Snapshot().Endpoints[service]
	if list == nil {
		waiting, cancel := context.WithTimeout(ctx, wantTimeout)
		defer cancel()
		if list = f.Control.Want(waiting, service); list == nil {
			return nil
		}
	}
	entry := f.pickerOf(service)
	if entry.list.Load() != list || entry.rules.Load() != r.Rules {
		f.update(entry, list, r)
	}
	return entry.picker
}

// update brings a picker and its service's retry share to the published state; an equal version
// holds the same instances.
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

// send makes one attempt up to the head of the answer.
func (f *Forwarder) send(ctx context.Context, r *Request, to *snap.Endpoint, retries uint32) attempt {
	started := f.Clock.Now()
	sending, cancel := context.WithTimeout(ctx, r.Deadline.Sub(started)+f.Grace)
	head := f.head(r, to, retries, started)
	x, err := f.Sender.open(sending, to, head, r.Prefix)
	if err != nil {
		cancel()
		got := attempt{failure: retry.BackendLost{}}
		if errors.Is(err, errNotSent) {
			// Nothing has run, so nothing of the loan is spent.
			got = attempt{failure: retry.Unreached{}, report: Report{Unspent: retries}}
		}
		got.pick = pickResult(ctx, r, got)
		return got
	}
	x.cancel = cancel
	got := f.receiveHead(sending, r, x, to)
	got.latency = f.Clock.Now().Sub(started)
	got.pick = pickResult(ctx, r, got)
	if got.failure != nil {
		x.close()
	} else {
		got.exchange = x
	}
	return got
}

func (f *Forwarder) head(r *Request, to *snap.Endpoint, retries uint32, now time.Time) *Head {
	return &Head{
		RequestID:     r.ID,
		Instance:      to.ID,
		Incarnation:   to.Incarnation,
		Route:         r.Route.Name,
		Account:       r.Account,
		Importance:    uint32(r.Importance),
		Method:        r.Method,
		Target:        r.Target,
		Host:          r.Host,
		Header:        field.Of(r.Header),
		ContentLength: r.ContentLength,
		Timeout:       r.Deadline.Sub(now),
		Retries:       retries,
		Chain:         r.Chain,
		Fingerprint:   r.Fingerprint,
		WaitAdmitted:  r.Rest != nil,
	}
}

// receiveHead reads up to the answer's head or a refusal.
func (f *Forwarder) receiveHead(ctx context.Context, r *Request, x *exchange, to *snap.Endpoint) attempt {
	for {
		message, err := x.next()
		if err != nil {
			return attempt{failure: lostFailure(ctx, r)}
		}
		switch message := message.(type) {
		case admitted:
			if r.Rest != nil {
				rest := r.Rest
				r.Rest = consumedBody{}
				r.upload = make(chan struct{})
				go func() {
					defer close(r.upload)
					if err := x.sendBody(r.Prefix, rest); err != nil {
						r.streamErr.Store(&err)
						x.abort()
					}
				}()
			}
		case refused:
			if message.Crashed {
				f.Suspects.AddReported(f.Clock.Now(), to.Incarnation, r.Fingerprint)
			}
			return attempt{failure: failureOf(&message.RefusedCall), report: message.Report}
		case answered:
			return attempt{answer: &message.Answer, report: message.Report}
		case data, ended:
			return attempt{failure: retry.BackendLost{}}
		}
	}
}

// lostFailure says why a stream ended without an answer.
func lostFailure(ctx context.Context, r *Request) retry.Failure {
	if err := r.streamErr.Load(); err != nil && errors.Is(*err, errBodyTooLarge) {
		return retry.BodyTooLarge{Dispatched: true}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return retry.DeadlineAfter{}
	}
	return retry.BackendLost{}
}

// consumedBody stands for a body that was streamed to an instance and cannot be sent again.
type consumedBody struct{}

// Read never returns any part of the body.
func (consumedBody) Read([]byte) (int, error) { return 0, errCutShort }

// retryableStatus reports whether an answer of an idempotent request is a failure worth another attempt.
func (f *Forwarder) retryableStatus(r *Request, got attempt) bool {
	if !r.idempotent() {
		return false
	}
	switch got.answer.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (f *Forwarder) decide(r *Request, got attempt, sent int) retry.Verdict {
	if _, consumed := r.Rest.(consumedBody); consumed {
		return retry.GiveUp{Cause: retry.NotAllowed, Final: true}
	}
	now := f.Clock.Now()
	failure := got.failureOrLost()
	pause, ok := f.Suspects.ResendAfter(now, r.Fingerprint)
	if !ok {
		return retry.GiveUp{Cause: retry.NotAllowed, Final: true}
	}
	verdict := f.Planner.Decide(now, r.Budget, retry.Attempt{
		Service:    r.Route.Service,
		Failure:    failure,
		Idempotent: r.idempotent(),
		Final:      got.report.Final,
		Sent:       sent,
		Deadline:   r.Deadline,
	})
	if again, ok := verdict.(retry.Retry); ok {
		return retry.Retry{After: again.After + pause}
	}
	return verdict
}

// giveUp passes on the last answer, or the failure when there was none.
func (f *Forwarder) giveUp(ctx context.Context, r *Request, to sink, got attempt, verdict retry.Verdict, earlier retry.Failure) result {
	if got.failure == nil {
		outcome := f.relay(ctx, r, to, got, nil)
		if whole, ok := outcome.(delivered); ok {
			whole.Final = true
			return whole
		}
		return outcome
	}
	final := true
	if end, ok := verdict.(retry.GiveUp); ok {
		final = end.Final
	}
	failure := retry.Merge(earlier, got.failure)
	return failed{Failure: failure, Final: final, Overloaded: got.report.Overloaded || overloadFailure(got.failure)}
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

// deliver passes on an answer, resuming a download from another instance when it breaks.
func (f *Forwarder) deliver(ctx context.Context, r *Request, to sink, got attempt, endpoint *snap.Endpoint, instances *picker.Picker) result {
	ended := got.pick
	f.Meter.Added(r.Route.Service, f.Clock.Now().Sub(r.Started)-got.report.Served)
	resume := newResumption(r, got.answer)
	outcome := f.relay(ctx, r, to, got, resume)
	if cut, ok := outcome.(broken); ok && !cut.caller && ctx.Err() == nil {
		ended = picker.Failed{}
		if resume != nil {
			instances.Done(f.Clock.Now(), endpoint.ID, ended)
			return f.resume(ctx, r, to, resume, instances, []string{endpoint.ID})
		}
	}
	instances.Done(f.Clock.Now(), endpoint.ID, ended)
	if _, whole := outcome.(delivered); whole {
		f.Planner.Success(f.Clock.Now(), r.Route.Service)
	}
	return outcome
}

// relay passes the answer's body on; an answer that ends early is broken unless nothing has left yet.
func (f *Forwarder) relay(ctx context.Context, r *Request, to sink, got attempt, resume *resumption) result {
	defer got.close()
	if err := writeAnswer(to, got.answer); err != nil {
		return broken{caller: true}
	}
	for {
		message, err := got.exchange.next()
		if err != nil {
			if discard(to) && !r.idempotent() {
				return failed{Failure: retry.BackendLost{}, Final: true}
			}
			return broken{}
		}
		switch message := message.(type) {
		case data:
			if err := writeData(to, message.bytes); err != nil {
				return broken{caller: true}
			}
			resume.passed(len(message.bytes))
		case ended:
			if err := writeEnd(to, message.Trailer); err != nil {
				return broken{caller: true}
			}
			overloaded := got.answer.Status >= http.StatusInternalServerError && message.Report.Overloaded
			return delivered{Status: got.answer.Status, Overloaded: overloaded}
		case admitted, refused, answered:
			return broken{}
		}
	}
}

func (a *attempt) close() {
	if a.exchange != nil {
		a.exchange.close()
	}
}

// failureOrLost treats an answer that is a failure like a lost backend server for the retry decision.
func (a *attempt) failureOrLost() retry.Failure {
	if a.failure == nil {
		return retry.BackendLost{}
	}
	return a.failure
}

// pickResult says what an attempt tells about its instance; nothing when the caller left or its upload
// failed.
func pickResult(ctx context.Context, r *Request, got attempt) picker.Result {
	if errors.Is(ctx.Err(), context.Canceled) || r.streamErr.Load() != nil {
		return picker.Canceled{}
	}
	switch got.failure.(type) {
	case nil:
		if got.answer.Status == http.StatusServiceUnavailable || got.answer.Status == http.StatusTooManyRequests {
			return picker.Refused{Load: got.report.Load}
		}
		return picker.Responded{Latency: got.latency, Load: got.report.Load}
	case retry.Draining:
		return picker.Refused{Load: got.report.Load, Draining: true}
	case retry.Overload, retry.QueueFull, retry.QueueTimeout, retry.DeadlineBefore:
		return picker.Refused{Load: got.report.Load}
	}
	return picker.Failed{Latency: got.latency}
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
