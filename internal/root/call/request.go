package call

import (
	"errors"
	"fmt"
	"io"
	"net/http"
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
	Deadline      time.Time
	Budget        *retry.Budget
	Chain         []string
	Fingerprint   string

	body      io.Reader // unread, as it came
	streamErr atomic.Pointer[error]
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

// steadyBody fails when the sender of a body makes no progress for bodyStall.
type steadyBody struct {
	body     io.Reader
	control  *http.ResponseController
	deadline time.Time
}

// Read reads the next part of the body.
func (s *steadyBody) Read(p []byte) (int, error) {
	// The deadline is on the machine's clock because it bounds real I/O.
	if now := time.Now(); s.deadline.Sub(now) < bodyStall/2 {
		s.deadline = now.Add(bodyStall)
		_ = s.control.SetReadDeadline(s.deadline)
	}
	return s.body.Read(p)
}

// limitedBody fails with errBodyTooLarge after limit bytes.
type limitedBody struct {
	body io.Reader
	left int64
}

// Read reads from the body up to the limit.
func (l *limitedBody) Read(p []byte) (int, error) {
	if l.left < 0 {
		return 0, errBodyTooLarge
	}
	if int64(len(p)) > l.left+1 {
		p = p[:l.left+1]
	}
	n, err := l.body.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
