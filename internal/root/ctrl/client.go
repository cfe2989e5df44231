package ctrl

import (
	"context"
	"errors"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// ErrNoReply reports that the control loop or the leader did not reply in time.
var ErrNoReply = errors.New("no answer from the control plane")

var _ call.Control = (*Loop)(nil)

// post queues an event for the loop; it reports false when ctx or the loop ended first.
func (l *Loop) post(ctx context.Context, event Event) bool {
	select {
	case l.events <- event:
		return true
	case <-ctx.Done():
		return false
	case <-l.stopped:
		return false
	}
}

// notify queues an event for the loop and waits as long as its queue is full.
func (l *Loop) notify(event Event) { l.post(context.Background(), event) }

// await posts an event and waits for the reply of the loop, until ctx or the loop ends.
func await[T any](ctx context.Context, l *Loop, event Event, reply <-chan T) (value T, err error) {
	if !l.post(ctx, event) {
		return value, ErrNoReply
	}
	select {
	case value = <-reply:
		return value, nil
	case <-ctx.Done():
		return value, ErrNoReply
	case <-l.stopped:
		return value, ErrNoReply
	}
}

// Snapshot returns the latest published control state.
func (l *Loop) Snapshot() *snap.Snapshot { return l.snapshot.Load() }

// AwaitConfig waits until this daemon has its first configuration and lease, or until ctx ends, and returns
// the current snapshot.
func (l *Loop) AwaitConfig(ctx context.Context) *snap.Snapshot {
	select {
	case <-l.configured:
	case <-ctx.Done():
	}
	return l.Snapshot()
}

// TakeToken takes one rate token of the client account; if there is none, it waits for a grant until ctx ends.
func (l *Loop) TakeToken(ctx context.Context, account string) call.TokenVerdict {
	account = tokenAccount(account)
	pool := (*l.tokenPools.Load())[account]
	if pool == nil {
		return call.TokenUnavailable{}
	}
	now := l.clock.Now()
	if pool.Take(now) {
		return call.TokenTaken{}
	}
	if retryAfter := pool.RetryAfter(now); retryAfter > 0 {
		return call.TokenRefused{RetryAfter: retryAfter}
	}
	reply := make(chan call.TokenVerdict, 1)
	waiter := l.lastWaiterID.Add(1)
	verdict, err := await(ctx, l, tokenRequested{account: account, waiter: waiter, reply: reply}, reply)
	if err != nil {
		l.notify(tokenWaitCanceled{account: account, waiter: waiter})
		return call.TokenUnavailable{}
	}
	return verdict
}

// TokenState returns the state of the client account's rate tokens, and takes none.
func (l *Loop) TokenState(account string) call.TokenState {
	pool := (*l.tokenPools.Load())[tokenAccount(account)]
	if pool == nil {
		return call.TokenState{}
	}
	now := l.clock.Now()
	return call.TokenState{Limited: true, Unspent: pool.Unspent(now), RefusedFor: pool.RetryAfter(now)}
}

// ReturnToken returns a token of the client account whose request was not sent to any backend server.
func (l *Loop) ReturnToken(account string) {
	if pool := (*l.tokenPools.Load())[tokenAccount(account)]; pool != nil {
		pool.Return()
	}
}

// Subscribe registers for the instances of a service and waits until there is at least one or ctx ends.
func (l *Loop) Subscribe(ctx context.Context, service string) *snap.Endpoints {
	reply := make(chan *snap.Endpoints, 1)
	list, _ := await(ctx, l, endpointsRequested{service: service, reply: reply}, reply)
	return list
}

// Announce registers a local backend server.
func (l *Loop) Announce(ctx context.Context, a member.Announcement) (snap.Endpoint, error) {
	reply := make(chan announceResult, 1)
	result, err := await(ctx, l, backendAnnounced{announcement: a, reply: reply}, reply)
	if err != nil {
		return snap.Endpoint{}, err
	}
	return result.endpoint, result.err
}

// Leave ends the registration of the local backend server at address.
func (l *Loop) Leave(ctx context.Context, address string) error {
	reply := make(chan struct{}, 1)
	_, err := await(ctx, l, backendLeft{address: address, reply: reply}, reply)
	return err
}

// ReportConnectionRefused reports that the local backend server at address refused a connection.
func (l *Loop) ReportConnectionRefused(address string) { l.notify(connectionRefused{address: address}) }

// BeginOnce stores the idempotency record of a request durably before the request is dispatched; the verdict
// is nil when the leader did not confirm the record before ctx ended.
func (l *Loop) BeginOnce(ctx context.Context, scope state.OnceScope, requestHash []byte) (state.Attempt, state.OnceVerdict) {
	reply := make(chan onceResult, 1)
	result, err := await(ctx, l, onceBeginRequested{scope: scope, hash: requestHash, reply: reply}, reply)
	if err != nil {
		l.notify(onceWaitCanceled{scope: scope, reply: reply})
		return state.Attempt{}, nil
	}
	return result.attempt, result.verdict
}

// FinishOnce stores the outcome of an attempt for which BeginOnce returned OnceBegun.
func (l *Loop) FinishOnce(ctx context.Context, finish *state.OnceFinish) error {
	reply := make(chan onceResult, 1)
	_, err := await(ctx, l, onceFinishRequested{finish: finish, reply: reply}, reply)
	return err
}

// ReportCrash reports to the leader which requests were in flight when a backend server crashed.
func (l *Loop) ReportCrash(incarnation uint64, fingerprints []string) {
	l.notify(crashReported{report: &CrashReport{Incarnation: incarnation, Fingerprints: fingerprints}})
}

// ClearSuspect reports to the leader that a request suspected of causing a crash completed normally.
func (l *Loop) ClearSuspect(fingerprint string) {
	l.notify(crashReported{report: &CrashReport{Fingerprints: []string{fingerprint}, Cleared: true}})
}

// StartDrain ends the registrations of this daemon's instances and refuses new ones.
func (l *Loop) StartDrain() { l.notify(drainRequested{}) }
