package call

import (
	"context"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

type (
	// Control is the interface of the control loop for traffic. Its methods may be called concurrently.
	Control interface {
		// Snapshot returns the control state that was published last.
		Snapshot() *snap.Snapshot
		// TakeToken takes one rate token of the client account, waiting for a grant until ctx ends.
		TakeToken(ctx context.Context, account string) TokenVerdict
		// TokenState returns the state of the client account's rate tokens at this daemon, and takes none.
		TokenState(account string) TokenState
		// Subscribe subscribes to the instances of a service and waits for the first list until ctx ends.
		Subscribe(ctx context.Context, service string) *snap.Endpoints
		// Announce registers a local backend server.
		Announce(ctx context.Context, a member.Announcement) (snap.Endpoint, error)
		// Leave ends the registration of the local backend server at address.
		Leave(ctx context.Context, address string) error
		// ReportConnectionRefused reports that the backend server at address refused a connection.
		ReportConnectionRefused(address string)
		// BeginOnce makes the idempotency record of a request durable before it is dispatched. The verdict is
		// nil when that could not be confirmed before ctx ended.
		BeginOnce(ctx context.Context, scope state.OnceScope, requestHash []byte) (state.Attempt, state.OnceVerdict)
		// FinishOnce stores the outcome of an attempt for which BeginOnce returned OnceBegun.
		FinishOnce(ctx context.Context, finish *state.OnceFinish) error
		// ReportCrash reports to the leader which requests were in flight when an incarnation died.
		ReportCrash(incarnation uint64, fingerprints []string)
		// ClearSuspect reports to the leader that a request suspected of causing a crash completed normally.
		ClearSuspect(fingerprint string)
		// StartDrain reports to the leader that the instances of this daemon are leaving.
		StartDrain()
	}

	// TokenState is what a daemon knows of the rate tokens of a client account.
	TokenState struct {
		Limited    bool // the account has tokens; false before its limits have arrived
		Unspent    int  // granted tokens that this daemon may spend now
		RefusedFor time.Duration
	}

	// TokenVerdict is TokenTaken, TokenRefused or TokenUnavailable.
	TokenVerdict interface{ tokenVerdict() }

	// TokenTaken allows one request.
	TokenTaken struct{}

	// TokenRefused means that the client account has exceeded its rate and burst.
	TokenRefused struct {
		RetryAfter time.Duration // until a token is expected, zero if unknown
	}

	// TokenUnavailable means that the owner of the tokens did not reply in time.
	TokenUnavailable struct{}
)

func (TokenTaken) tokenVerdict()       {}
func (TokenRefused) tokenVerdict()     {}
func (TokenUnavailable) tokenVerdict() {}
