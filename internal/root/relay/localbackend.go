package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/local"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/gate"
	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
)

const (
	// maxUnanswered is the number of consecutive runs without a response after which the server is treated as
	// lost. From then on only one request at a time is sent to it, until it responds.
	maxUnanswered = 8

	// healthCheckTimeout bounds one health check.
	healthCheckTimeout = 700 * time.Millisecond

	// maxStartSkew is how far in the future the start of a server may lie, because its clock may be ahead of the
	// daemon's.
	maxStartSkew = time.Minute

	// maxSequence is the highest sequence number of a notice. Numbers above it are not exact in every JSON
	// encoder.
	maxSequence = 1 << 53
)

// errNotice reports a notice that does not identify a usable server.
var errNotice = errors.New("invalid notice of a backend server")

type (
	// LocalBackend is the local backend server with its admission controller.
	LocalBackend struct {
		Clock    clock.Clock
		Control  Control
		Dialect  Dialect
		Meter    *meter.Meter
		Log      zerolog.Logger
		Requests zerolog.Logger // log of single requests
		Suspects *crash.Suspects
		MaxBody  int64 // limit of a response in bytes
		KeptBody int64 // size in bytes up to which a response is held whole if its receiver takes long ones
		Bodies   *budget.Bytes
		Zone     string // availability zone of this daemon

		mu       sync.Mutex
		expected Expected
		current  *serverProcess // nil before the first notice
		draining bool           // the daemon is draining
		pending  Notice         // latest notice that no health check has confirmed; used while current is nil
		leaves   int            // number of servers that have left while current was nil
		wake     *time.Timer

		cold       warmup.Limiter
		coldNotice Notice // latest notice of which the limiter knows
		coldLog    local.ColdLog

		overdue atomic.Int64 // runs whose long response is still passed on after their deadline

		coldLimited atomic.Bool // the service has a cold rate; changes under mu
	}

	// Expected is what the settings say about the local backend server. An empty field accepts any value.
	Expected struct {
		Service string
		Address string
	}

	// serverProcess is one process of the server, from its start to its end.
	serverProcess struct {
		notice           Notice    // the newest one; guarded by the lock of the backend
		instance         string    // of all notices of this process
		start            string    // distinguishes this process from others
		firstSeen        time.Time // when the daemon first received a notice or health response of it
		incarnation      uint64
		controller       *gate.Controller
		pool             *pool
		waiting          map[*gate.Ticket]chan admission
		leaving          bool
		unreachableUntil time.Time
		unanswered       int          // consecutive runs that ended without a response
		probe            *gate.Ticket // of the one request that shows whether the server responds again, nil without one
		epoch            atomic.Int64 // latest epoch that the limiter knows of; changes under the lock of the backend
	}
)

// Notice processes a notice of the server. The error wraps errNotice if the notice does not identify a usable
// server.
func (b *LocalBackend) Notice(ctx context.Context, n Notice) error {
	use, err := b.accept(n)
	if err != nil || !use {
		return err
	}
	if n.State != StateReady {
		return b.handleLeaving(ctx, n)
	}
	leaves, confirmed := b.confirmNotice(ctx, n)
	if !confirmed {
		b.Log.Info().Str("instance", n.Instance).Uint64("sequence", n.Sequence).Msg("notice-not-confirmed")
		return nil
	}
	return b.register(ctx, n, leaves)
}

// accept checks a notice and reports whether it is to be used: an outdated one is not.
func (b *LocalBackend) accept(n Notice) (use bool, err error) {
	now := b.Clock.Now()
	if err := n.check(now); err != nil {
		return false, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.checkSender(n); err != nil {
		return false, err
	}
	if n.State == StateReady {
		b.recordCold(now, n)
	}
	if b.current != nil && isOutdated(n, b.current.notice) {
		b.Log.Info().Str("instance", n.Instance).Uint64("sequence", n.Sequence).Msg("notice-outdated")
		return false, nil
	}
	return true, nil
}

// register announces the server of a notice and uses it, unless a server has left since leaves was read.
func (b *LocalBackend) register(ctx context.Context, n Notice, leaves int) error {
	announcement := member.Announcement{
		Service: n.Service, Address: n.Address, Slots: n.Slots, Start: b.startID(n),
	}
	if err := announcement.Check(); err != nil {
		return fmt.Errorf("%w: %w", errNotice, err)
	}
	b.mu.Lock()
	closing := b.draining
	b.mu.Unlock()
	if closing {
		return nil // a draining daemon accepts the notice but does not announce the server
	}
	endpoint, err := b.Control.Announce(ctx, announcement)
	if err != nil {
		return fmt.Errorf("announce backend server: %w", err)
	}
	if !b.setReady(n, announcement.Start, endpoint.Incarnation, leaves) {
		return b.withdraw(ctx, n.Address)
	}
	return nil
}

// check returns an error for a notice that cannot come from a server of this daemon. A start or a sequence number
// that is too large would make all later notices of the server look outdated.
func (n *Notice) check(now time.Time) error {
	switch {
	case n.Instance == "" || n.State < StateReady || n.State > StateGone:
		return fmt.Errorf("%w: instance %q in state %d", errNotice, n.Instance, n.State)
	case n.StartUnixMilli > now.Add(maxStartSkew).UnixMilli():
		return fmt.Errorf("%w: instance %q starts in the future, at %d ms", errNotice, n.Instance, n.StartUnixMilli)
	case n.Sequence > maxSequence:
		return fmt.Errorf("%w: instance %q with sequence number %d", errNotice, n.Instance, n.Sequence)
	}
	return nil
}

// checkSender returns an error for a notice of another server than the one beside this daemon; b.mu is held. Anyone
// can send a notice to a control instance, and one that is taken for the server's own would take its place. A server
// that is gone names nothing but its instance.
func (b *LocalBackend) checkSender(n Notice) error {
	switch {
	case n.State == StateGone:
		return nil
	case b.expected.Service != "" && n.Service != b.expected.Service:
		return fmt.Errorf("%w: instance %q of service %q, the server here is of %q", errNotice, n.Instance, n.Service, b.expected.Service)
	case b.expected.Address != "" && n.Address != b.expected.Address:
		return fmt.Errorf("%w: instance %q at %q, the server here is at %q", errNotice, n.Instance, n.Address, b.expected.Address)
	case b.current != nil && b.current.notice.StartUnixMilli != 0 && n.StartUnixMilli == 0:
		return fmt.Errorf("%w: instance %q does not say when it started, the server here does", errNotice, n.Instance)
	}
	return nil
}

// SetExpected sets what the settings say about the server from now on.
func (b *LocalBackend) SetExpected(expected Expected) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expected = expected
}

// Service returns the service of the server, empty if it is not known.
func (b *LocalBackend) Service() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serviceName()
}

// isOutdated reports whether a notice is older than the latest one received.
func isOutdated(n, latest Notice) bool {
	if n.Instance == latest.Instance && n.StartUnixMilli == latest.StartUnixMilli {
		return n.Sequence < latest.Sequence
	}
	return n.StartUnixMilli != 0 && n.StartUnixMilli < latest.StartUnixMilli
}

// startID identifies the server process that sent a notice. The server's ID is not enough, because a restarted
// server may keep it.
func (b *LocalBackend) startID(n Notice) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.current; s != nil && s.matches(n) {
		return s.start
	}
	return fmt.Sprintf("%s/%d", n.Instance, n.StartUnixMilli)
}

// matches reports whether a notice comes from this server process. A process that was found by a health check
// has not reported when it started. It matches any notice of the same server, unless the notice reports a
// start after the process was found.
func (s *serverProcess) matches(n Notice) bool {
	if s.notice.Instance != n.Instance {
		return false
	}
	return s.notice.StartUnixMilli == n.StartUnixMilli || s.notice.StartUnixMilli == 0 && n.StartUnixMilli <= s.firstSeen.UnixMilli()
}

// setReady uses the server. A new process gets a new admission controller and new connections. It returns false if a
// server has left meanwhile while none was in use: it may be this one.
func (b *LocalBackend) setReady(n Notice, start string, incarnation uint64, leaves int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.current
	if old == nil && b.leaves != leaves {
		return false
	}
	if old != nil && old.start == start && old.notice.Address == n.Address && old.notice.Service == n.Service {
		if old.leaving || isOutdated(n, old.notice) { // a later notice was processed first
			return true
		}
		old.notice = n
		old.controller.SetSlots(int(n.Slots))
		return true
	}
	if old != nil {
		b.retire(old)
	}
	b.current = &serverProcess{
		notice: n, instance: n.Instance, start: start, firstSeen: b.Clock.Now(), incarnation: incarnation, controller: gate.New(int(n.Slots)),
		pool:    &pool{address: n.Address, dialect: b.Dialect, maxBody: b.MaxBody, kept: b.KeptBody, bodies: b.Bodies, log: b.Log},
		waiting: map[*gate.Ticket]chan admission{},
	}
	b.current.controller.Cold = &b.cold
	b.updateCold(b.Clock.Now())
	b.Log.Info().Str("instance", n.Instance).Str("service", n.Service).Uint32("slots", n.Slots).
		Uint64("incarnation", incarnation).Msg("backend-server-ready")
	return true
}

// retire refuses the waiting requests of an earlier server process and closes its connections. The requests
// that were in flight in it are suspected of having crashed it.
func (b *LocalBackend) retire(old *serverProcess) {
	b.refuseWaiting(old, notRun{failure: retry.NoBackend{}})
	old.pool.close()
	if fingerprints := b.Suspects.Died(b.Clock.Now(), old.incarnation); len(fingerprints) > 0 && !old.leaving {
		go b.Control.ReportCrash(old.incarnation, fingerprints)
	}
}

// handleLeaving processes a notice that the server is draining or gone: it refuses the waiting requests and ends
// the registration of the server.
func (b *LocalBackend) handleLeaving(ctx context.Context, n Notice) error {
	b.mu.Lock()
	s := b.current
	isCurrent := s != nil && s.notice.Instance == n.Instance
	address := ""
	if isCurrent {
		address = s.notice.Address
	}
	if isCurrent && !s.leaving {
		s.leaving = true
		s.notice.Sequence = max(s.notice.Sequence, n.Sequence)
		b.refuseWaiting(s, notRun{failure: retry.Draining{}})
		b.Log.Info().Str("instance", n.Instance).Uint64("sequence", n.Sequence).Msg("backend-server-leaving")
	}
	if s == nil {
		b.leaves++
	}
	b.mu.Unlock()
	if !isCurrent {
		b.Log.Info().Str("instance", n.Instance).Msg("unknown-backend-server-left")
		return nil
	}
	return b.withdraw(ctx, address)
}

// withdraw ends the announcement of the server at an address.
func (b *LocalBackend) withdraw(ctx context.Context, address string) error {
	if err := b.Control.Leave(ctx, address); err != nil {
		return fmt.Errorf("withdraw backend server: %w", err)
	}
	return nil
}

// refuseWaiting ends all waiting requests with the outcome refusal; b.mu is held.
func (b *LocalBackend) refuseWaiting(s *serverProcess, refusal outcome) {
	for _, t := range s.controller.Flush() {
		b.notifyWaiting(s, t, admission{refused: refusal})
	}
}

func (b *LocalBackend) notifyWaiting(s *serverProcess, t *gate.Ticket, a admission) {
	if waiting := s.waiting[t]; waiting != nil {
		delete(s.waiting, t)
		waiting <- a
	}
}

// StartDraining refuses the waiting requests and all later ones, because the daemon is draining.
func (b *LocalBackend) StartDraining() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
	if b.current != nil {
		b.refuseWaiting(b.current, notRun{failure: retry.Draining{}})
	}
}

// Running returns the number of requests that the server is running or whose response is being passed on.
func (b *LocalBackend) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	overdue := int(b.overdue.Load())
	if b.current == nil {
		return overdue
	}
	return b.current.controller.Running() + overdue
}

// RecordCallCongestion records the congestion that a call of the local backend server has met.
func (b *LocalBackend) RecordCallCongestion(congestion float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil {
		b.current.controller.ReportCongestion(b.Clock.Now(), congestion)
	}
}

// Status returns the latest notice of the server and the numbers of its running and waiting requests.
func (b *LocalBackend) Status() (n Notice, running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return Notice{}, 0, 0
	}
	return b.current.notice, b.current.controller.Running(), b.current.controller.Waiting()
}

// failed reports whether the response is a server error.
func (r *Response) failed() bool { return r.Status >= http.StatusInternalServerError }
