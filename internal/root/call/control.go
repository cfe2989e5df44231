package call

import (
	"context"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

type (
	// Control is what traffic needs from the control loop; its methods are safe for many goroutines.
	Control interface {
		// Snapshot returns the control state that was published last.
		Snapshot() *snap.Snapshot
		// TakeToken takes one rate token of the client account, waiting for a grant until ctx ends.
		TakeToken(ctx context.Context, account string) TokenVerdict
		// Want subscribes to the instances of a service and waits for the first list until ctx ends.
		Want(ctx context.Context, service string) *snap.Endpoints
		// Announce registers the backend server beside this daemon.
		Announce(ctx context.Context, a Announcement) (snap.Endpoint, error)
		// Leave ends the registration of the backend server at address.
		Leave(ctx context.Context, address string) error
		// BeginOnce makes the record of a non-idempotent request durable before it is dispatched.
		BeginOnce(ctx context.Context, begin OnceBegin) OnceVerdict
		// FinishOnce stores the outcome of a request for which BeginOnce returned OnceStarted.
		FinishOnce(ctx context.Context, finish OnceFinish) error
		// ReportCrash tells the leader which requests were in flight when an incarnation died.
		ReportCrash(incarnation uint64, fingerprints []string)
		// ClearSuspect tells the leader that a suspect completed normally.
		ClearSuspect(fingerprint string)
	}

	// Announcement is what a backend server says about itself.
	Announcement struct {
		Service     string `json:"service"`
		Address     string `json:"address"`
		Slots       uint32 `json:"slots"`
		Connections uint32 `json:"connections"`
		Start       string `json:"start"` // differs for each start of the backend server
	}

	// TokenVerdict is TokenTaken, TokenRefused or TokenUnavailable.
	TokenVerdict interface{ tokenVerdict() }

	// TokenTaken allows one request.
	TokenTaken struct{}

	// TokenRefused says that the client account is above its rate and burst.
	TokenRefused struct{}

	// TokenUnavailable says that the owner of the tokens did not answer in time.
	TokenUnavailable struct{}

	// OnceKey identifies the record of a non-idempotent request.
	OnceKey struct {
		Account string
		Route   string
		Key     string // the caller's Idempotency-Key
	}

	// OnceBegin asks for a record; Fingerprint tells apart different requests under one key.
	OnceBegin struct {
		OnceKey
		RequestID   string
		Fingerprint string
	}

	// OnceVerdict is OnceStarted, OnceReplay, OnceRunning, OnceUnknown, OnceMismatch or OnceUnavailable.
	OnceVerdict interface{ onceVerdict() }

	// OnceStarted allows the request to run.
	OnceStarted struct{}

	// OnceReplay is the stored answer of an earlier run.
	OnceReplay struct{ Answer StoredAnswer }

	// OnceRunning says that the same request is running.
	OnceRunning struct{}

	// OnceUnknown says that the outcome of an earlier run is not known.
	OnceUnknown struct{}

	// OnceMismatch says that the key was used for a different request.
	OnceMismatch struct{}

	// OnceUnavailable says that the record could not be made durable.
	OnceUnavailable struct{}

	// OnceFinish stores an outcome: an answer, or whether the request has certainly not run.
	OnceFinish struct {
		OnceKey
		RequestID string
		Answer    *StoredAnswer // nil without a whole answer
		NotRun    bool
	}

	// StoredAnswer is a kept answer; Truncated says that its body was too large to keep.
	StoredAnswer struct {
		Status    int32
		Header    []Field
		Body      []byte
		Truncated bool
	}
)

func (TokenTaken) tokenVerdict()       {}
func (TokenRefused) tokenVerdict()     {}
func (TokenUnavailable) tokenVerdict() {}

func (OnceStarted) onceVerdict()     {}
func (OnceReplay) onceVerdict()      {}
func (OnceRunning) onceVerdict()     {}
func (OnceUnknown) onceVerdict()     {}
func (OnceMismatch) onceVerdict()    {}
func (OnceUnavailable) onceVerdict() {}
