package relay

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

type (
	// Request is one request attempt of a caller, or a call made by the local backend server.
	Request struct {
		ID      string // unique ID of the attempt
		Method  string
		Target  string // path and query, unmodified
		Path    string
		Host    string
		Header  http.Header   // to forward, without credentials and hop-by-hop fields
		APIKey  string        // empty if the caller presents none
		Timeout time.Duration // how long the caller waits for the response, zero if not specified
		Body    []byte
		Rest    *bodyStream // follows Body, nil if Body is the whole body

		// pass accepts a response that is too long to be held whole, nil if there is nobody who could take it in parts.
		pass passFunc
		// gone ends when nobody waits for the response any more. The deadline does not end it.
		gone context.Context
		// arriving counts bytes that are held for a response while it arrives from another daemon, nil to count nothing.
		arriving func(bytes int64)
		passing  bool // pass has been called, so that no other response can follow
		// sent is set while the request has been sent to a server, or to the daemon beside one, and may be running; nil to
		// record nothing.
		sent *atomic.Bool
	}

	// passFunc passes on a long response; its body is read as fast as the receiver takes it. The length is -1 if it is
	// not known. The body fails unless it is whole, and then the receiver learns that it is not.
	passFunc func(response Response, length int64, body io.Reader) error

	// Response is a complete HTTP response.
	Response struct {
		Status int
		Header http.Header
		Body   []byte
		Passed bool // the body was too long to be held, and has been passed on
	}

	// RequestMetadata is what the daemon reports to a backend server about a request.
	RequestMetadata struct {
		ID            string
		TimeLeft      time.Duration // until the deadline
		Instance      string        // ID that the server reported for itself, empty if unknown
		Account       string        // client account, empty on open routes
		CallerService string        // service of the daemon that received the request from the caller
	}

	// ResponseMetadata is what a backend server reports in the header of its response.
	ResponseMetadata struct {
		ID     string // ID of the attempt that the response belongs to, empty if not specified
		Signed bool   // the response was produced by the server itself
		NotRun bool   // the server did not run the request and will not run it
	}

	// Dialect decodes and encodes the protocol of the front end that callers and backend servers use.
	Dialect interface {
		// DecodeRequest decodes a caller's request and removes the header fields that must not be forwarded.
		DecodeRequest(r *http.Request) (Request, error)
		// SetRequestMetadata sets the header fields that a backend server expects.
		SetRequestMetadata(header http.Header, metadata RequestMetadata)
		// DecodeResponseMetadata decodes what a backend server reports about its response.
		DecodeResponseMetadata(status int, header http.Header) ResponseMetadata
		// EncodeRefusal encodes a refusal by the daemon itself; retryAfter is the advised delay before a
		// retry.
		EncodeRefusal(id string, failure retry.Failure, retryAfter time.Duration) Response
		// DecodeHealth decodes the response to a health check.
		DecodeHealth(status int, header http.Header) Health
	}

	// Health is what a backend server reports in the response to a health check.
	Health struct {
		Instance string // the server's own ID
		Ready    bool   // the server accepts requests
		// ColdFor is how long the server is still cold, zero for a warm one. It is valid if ColdKnown is set.
		ColdFor   time.Duration
		ColdKnown bool
	}

	// Control is the part of the control loop that the relay uses.
	Control interface {
		Snapshot() *snap.Snapshot
		AwaitConfig(ctx context.Context) *snap.Snapshot
		TakeToken(ctx context.Context, account string) call.TokenVerdict
		TokenState(account string) call.TokenState
		ReturnToken(account string)
		Subscribe(ctx context.Context, service string) *snap.Endpoints
		Announce(ctx context.Context, a member.Announcement) (snap.Endpoint, error)
		Leave(ctx context.Context, address string) error
		ReportCrash(incarnation uint64, fingerprints []string)
		ClearSuspect(fingerprint string)
		StartDrain()
	}

	// Notice is a state report that a backend server sends to its local daemon or to a control instance.
	Notice struct {
		Instance       string // ID of the server; a restarted server may keep it
		Service        string
		Address        string
		Slots          uint32
		State          NoticeState
		Sequence       uint64        // increases with each notice of one server process
		StartUnixMilli int64         // start of the server process, zero if not reported
		ColdFor        time.Duration // how long the server is still cold, zero for a warm one
	}

	// NoticeState is the state that a server reports in a notice.
	NoticeState uint32

	// outcome is the result of sending a request to the daemon of a server: completed, notRun or unknown.
	outcome interface{ outcome() }

	// completed carries the server's complete response.
	completed struct{ response Response }

	// notRun is a request that was not run and will not be. reached reports whether a server received it.
	notRun struct {
		failure    retry.Failure
		retryAfter time.Duration
		reached    bool
	}

	// unknown is a request that may have run.
	unknown struct{ failure retry.Failure }
)

const (
	// StateReady means that the server accepts requests.
	StateReady NoticeState = iota + 1
	// StateLeaving means that the server finishes its requests in progress and accepts no more.
	StateLeaving
	// StateGone means that the server has ended its registration.
	StateGone
)

func (completed) outcome() {}
func (notRun) outcome()    {}
func (unknown) outcome()   {}
