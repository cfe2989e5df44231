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

// prefixSize bounds the part of a body that is read before dispatch; a body that fits in it can be sent
// again, and its first bytes enter the fingerprint.
const prefixSize = 64 << 10

// errBodyTooLarge reports a request body above the limit of the settings.
var errBodyTooLarge = errors.New("request body exceeds the limit")

// Request is one call on its way to a service, at its first daemon or at the daemon of a nested call.
type Request struct {
	ID            string
	Rules         *rules.Set
	Route         *rules.Route
	Account       string // empty on open routes without an outer call
	Importance    admit.Importance
	Method        string
	Target        string // path and query
	Host          string
	Header        http.Header // without credentials
	ContentLength int64       // -1 if unknown
	Prefix        []byte      // first bytes of the body
	Rest          io.Reader   // what follows Prefix; nil when Prefix is the whole body
	Started       time.Time   // arrival at this daemon
	Deadline      time.Time
	Budget        *retry.Budget
	Chain         []string
	Fingerprint   string

	body      io.Reader // unread, as it came
	streamErr atomic.Pointer[error]
	upload    chan struct{} // closed when the goroutine that streams the body has ended; nil without one
}

// idempotent reports whether the request may be executed more than once.
func (r *Request) idempotent() bool { return r.Route.Run == rules.RunIdempotent }

// readPrefix fills Prefix, Rest and Fingerprint from the body.
func (r *Request) readPrefix(body io.Reader) error {
	if r.ContentLength != 0 {
		prefix, err := io.ReadAll(io.LimitReader(body, prefixSize))
		if err != nil {
			return fmt.Errorf("read request body: %w", err)
		}
		r.Prefix = prefix
		// A full prefix may still be the whole body; its sender's data end tells.
		if len(prefix) == prefixSize && r.ContentLength != prefixSize {
			r.Rest = body
		}
	}
	r.Fingerprint = crash.Fingerprint(r.Method, r.Target, r.Account, r.ContentLength, r.Prefix)
	return nil
}

// importanceOf maps the importance of a rule to the class used by admission.
func importanceOf(i rules.Importance) admit.Importance {
	switch i {
	case rules.Critical:
		return admit.Critical
	case rules.Bulk:
		return admit.Bulk
	}
	return admit.Normal
}

// steadyBody fails when the sender of a body makes no progress for the time stall.
type timeoutBody struct {
	body         io.Reader
	control      *http.ResponseController
	stallTimeout time.Duration

	mu       sync.Mutex // guards the fields below and the read deadline of the connection
	deadline time.Time
	stopped  bool
}

// Read reads the next part of the body.
func (s *timeoutBody) Read(p []byte) (int, error) {
	if !s.extend() {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := s.body.Read(p)
	if err != nil {
		s.clear()
	}
	return n, err
}

func (s *timeoutBody) extend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The deadline is on the machine's clock because it bounds real I/O.
	if now := time.Now(); !s.stopped && s.deadline.Sub(now) < s.stallTimeout/2 {
		s.deadline = now.Add(s.stallTimeout)
		_ = s.control.SetReadDeadline(s.deadline)
	}
	return !s.stopped
}

// clear removes the deadline after the body, because the HTTP server watches the connection from then on
// and takes a passed deadline for the caller's departure.
func (s *timeoutBody) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		_ = s.control.SetReadDeadline(time.Time{})
	}
}

// stop ends reads of the body and waits for the goroutine that streams it, so that none of them touches
// the next request of the connection.
func (s *timeoutBody) stop(upload <-chan struct{}) {
	if upload == nil {
		return
	}
	select {
	case <-upload:
		return
	default:
	}
	s.mu.Lock()
	s.stopped = true
	_ = s.control.SetReadDeadline(time.Unix(1, 0))
	s.mu.Unlock()
	<-upload
}

// limitedBody fails with errBodyTooLarge after limit bytes.
type limitedBody struct {
	body      io.Reader
	remaining int64
}

// Read reads from the body up to the limit.
func (l *limitedBody) Read(p []byte) (int, error) {
	if l.remaining < 0 {
		return 0, errBodyTooLarge
	}
	if int64(len(p)) > l.remaining+1 {
		p = p[:l.remaining+1]
	}
	n, err := l.body.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
