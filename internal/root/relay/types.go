package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

type (
	// Request is one attempt of a caller, or a call of the backend server beside this daemon.
	Request struct {
		ID      string // of the attempt, unique
		Method  string
		Target  string // path and query as they came
		Path    string
		Host    string
		Header  http.Header   // to pass on, without credentials and what concerns one connection
		APIKey  string        // empty without one
		Timeout time.Duration // how long the caller waits, zero if it does not say
		Body    []byte
	}

	// Response is a whole answer.
	Response struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// Marks are what the daemon tells a backend server about a request.
	RequestMetadata struct {
		ID            string
		TimeLeft      time.Duration // time left
		Instance      string        // the server's own id, empty if unknown
		Account       string        // client account, empty without one
		CallerService string        // service beside which the request began
	}

	// Notes are what a backend server says in the header of its answer.
	ResponseMetadata struct {
		ID     string // of the attempt that is answered, empty if the server does not say
		Signed bool   // the answer was made by the server's own work
		NotRun bool   // the server has not run the request and will not
	}

	// Dialect is the front end that callers and backend servers speak.
	Dialect interface {
		// Take decodes a caller's request and removes from its header what must not be passed on.
		DecodeRequest(r *http.Request) (Request, error)
		// Mark sets in the header what a backend server expects.
		SetRequestMetadata(header http.Header, marks RequestMetadata)
		// Read decodes what a backend server says about its answer.
		DecodeResponse(status int, header http.Header) ResponseMetadata
		// Refuse encodes an answer of the daemon itself; after is the advice when to come back.
		EncodeRefusal(id string, failure retry.Failure, after time.Duration) Response
		// Healthy decodes the answer to a backend server's health request: the server's own id, and whether it
		// takes requests.
		DecodeHealth(status int, header http.Header) (instance string, ok bool)
	}

	// Control is what the relay needs from the control loop.
	Control interface {
		Snapshot() *snap.Snapshot
		AwaitConfig(ctx context.Context) *snap.Snapshot
		TakeToken(ctx context.Context, account string) call.TokenVerdict
		ReturnToken(account string)
		Want(ctx context.Context, service string) *snap.Endpoints
		Announce(ctx context.Context, a member.Announcement) (snap.Endpoint, error)
		Leave(ctx context.Context, address string) error
		ReportCrash(incarnation uint64, fingerprints []string)
		ClearSuspect(fingerprint string)
		StartDrain()
	}

	// Notice is what a backend server says of itself to the daemon beside it or to a control instance.
	Notice struct {
		Instance       string // id of this start of the server
		Service        string
		Address        string
		Slots          uint32
		State          NoticeState
		Sequence       uint64 // increases with each notice of one start
		StartUnixMilli int64  // start of the server, Unix milliseconds, zero if it does not say
	}

	// NoticeState is what the server does next.
	NoticeState uint32

	// outcome is how one send to the daemon beside a server ended: answered, turned or unknown.
	outcome interface{ outcome() }

	// answered is the server's whole answer.
	answered struct{ response Response }

	// turned is a request that has not run and will not. Reached tells that a server was asked.
	turned struct {
		failure retry.Failure
		after   time.Duration
		reached bool
	}

	// unknown is a request that may have run.
	unknown struct{ failure retry.Failure }
)

const (
	// StateReady is a server that takes requests.
	StateReady NoticeState = iota + 1
	// StateLeaving is a server that finishes what it has and takes no more.
	StateLeaving
	// StateGone is a server that has ended its registration.
	StateGone
)

func (answered) outcome() {}
func (turned) outcome()   {}
func (unknown) outcome()  {}
