package call

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// prefixSize bounds the part of a body that is read before dispatch. A body that fits in it can be sent
// again. The prefix is part of the fingerprint.
const prefixSize = 64 << 10

// errBodyTooLarge reports a request body above the limit of the settings.
var errBodyTooLarge = errors.New("request body exceeds the limit")

// Request is a call that this daemon forwards, from a caller or from its local backend server.
type Request struct {
	ID            string
	Rules         *rules.Set
	Route         *rules.Route
	Account       string // empty on open routes without a parent request
	Importance    admit.Importance
	Method        string
	Target        string // path and query
	Host          string
	Header        http.Header // without credentials
	ContentLength int64       // -1 if unknown
	Prefix        []byte      // first bytes of the body
	Rest          io.Reader   // body after Prefix; nil when Prefix is the whole body
	Started       time.Time   // arrival at this daemon
	Deadline      time.Time
	Budget        *retry.Budget
	Chain         []string
	Fingerprint   string
	Nested        bool     // a call of the local backend server
	ParentRegions []string // allowed regions of the parent request, empty if all are allowed or without one

	body       io.Reader // as received
	restricted bool      // an attempt was sent with restricted regions
	streamErr  atomic.Pointer[error]
	upload     chan struct{} // closed when the goroutine that streams the body has ended; nil without one
}

// idempotent reports whether the request may be executed more than once.
func (r *Request) idempotent() bool { return r.Route.Run == rules.RunIdempotent }

// longAnswersStay reports whether the rule of the service lets a request with a long answer leave its zone less easily.
func (r *Request) longAnswersStay() bool {
	if r.Rules == nil {
		return false
	}
	service := r.Rules.Services[r.Route.Service]
	return service != nil && service.LongAnswersStay
}

// readPrefix fills Prefix, Rest and Fingerprint from the body.
func (r *Request) readPrefix(body io.Reader) error {
	if r.ContentLength != 0 {
		prefix, err := io.ReadAll(io.LimitReader(body, prefixSize))
		if err != nil {
			return fmt.Errorf("read request body: %w", err)
		}
		r.Prefix = prefix
		// When the length is unknown, a full prefix may be the whole body; Rest is empty then.
		if len(prefix) == prefixSize && r.ContentLength != prefixSize {
			r.Rest = body
		}
	}
	r.Fingerprint = crash.Fingerprint(r.Method, r.Target, r.Account, r.ContentLength, r.Prefix)
	return nil
}

// importanceOf returns the importance of a rule as the type that the limiter uses.
func importanceOf(i rules.Importance) admit.Importance {
	switch i {
	case rules.Critical:
		return admit.Critical
	case rules.Bulk:
		return admit.Bulk
	}
	return admit.Normal
}

// timeoutBody fails when the caller sends no byte of the body for stallTimeout.
type timeoutBody struct {
	body         io.Reader
	control      *http.ResponseController
	stallTimeout time.Duration

	mu       sync.Mutex // guards the fields below and the read deadline of the connection
	deadline time.Time
	stopped  bool
	ended    bool // the end of the body has been read
}

// Read reads the next part of the body.
func (b *timeoutBody) Read(p []byte) (int, error) {
	if !b.extend() {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := b.body.Read(p)
	if err != nil {
		b.clear(errors.Is(err, io.EOF))
	}
	return n, err
}

func (b *timeoutBody) extend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The deadline uses the system clock because it bounds real I/O.
	if now := time.Now(); !b.stopped && b.deadline.Sub(now) < b.stallTimeout/2 {
		b.deadline = now.Add(b.stallTimeout)
		_ = b.control.SetReadDeadline(b.deadline)
	}
	return !b.stopped
}

// clear removes the deadline after the body. From then on the HTTP server reads from the connection to detect a
// caller that disconnects, and would treat a passed deadline as such.
func (b *timeoutBody) clear(ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = ended
	if !b.stopped {
		_ = b.control.SetReadDeadline(time.Time{})
	}
}

// atEnd reports whether the end of the body has been read.
func (b *timeoutBody) atEnd() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// stop ends reads of the body and waits for the goroutine that streams it, if there is one. If the end of the body has
// not been read, the connection cannot carry another request, as uploadWriter has announced.
func (b *timeoutBody) stop(upload <-chan struct{}) {
	b.mu.Lock()
	b.stopped = true
	if !b.ended {
		_ = b.control.SetReadDeadline(time.Unix(1, 0))
	}
	b.mu.Unlock()
	if upload != nil {
		<-upload
	}
	if !b.atEnd() {
		// The HTTP server discards the rest, because a close with unread bytes could reset the response.
		_ = b.control.SetReadDeadline(time.Now().Add(b.stallTimeout))
	}
}

// uploadWriter announces the close of the connection if a response begins before the end of the request's body has been
// read. The HTTP server would otherwise take the rest of the body for the next request, and a read that stop has ended
// for the end of the connection.
type uploadWriter struct {
	http.ResponseWriter
	body *timeoutBody
}

// WriteHeader writes the header of the response.
func (w *uploadWriter) WriteHeader(status int) {
	if !w.body.atEnd() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer of the connection for http.ResponseController.
func (w *uploadWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// limitedBody fails with errBodyTooLarge when the body is longer than remaining.
type limitedBody struct {
	body      io.Reader
	remaining int64
}

// Read reads from the body up to the limit.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.body.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
