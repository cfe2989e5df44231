package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/gate"
)

const (
	// silentLimit is the number of runs in a row without an answer after which the server counts as lost
	// until it answers a single request again.
	silentLimit = 8

	// greetTimeout bounds the question whether a server takes requests.
	greetTimeout = 700 * time.Millisecond
)

// errNotice reports a notice that names no server to use.
var errNotice = errors.New("invalid notice of a backend server")

type (
	// Beside is the backend server beside this daemon and the gate in front of it.
	LocalBackend struct {
		Clock    clock.Clock
		Control  Control
		Dialect  Dialect
		Meter    *meter.Meter
		Log      zerolog.Logger
		Requests zerolog.Logger // for the lines about single requests
		Suspects *crash.Suspects
		MaxBody  int64 // bytes of an answer

		mu      sync.Mutex
		current *serverState // nil before the first notice
		closing bool         // the daemon is leaving
		wake    *time.Timer
	}

	// serverState is one start of the server.
	serverState struct {
		notice      Notice
		start       string    // tells this start from others
		found       time.Time // when the daemon heard of it first
		incarnation uint64
		gate        *gate.Gate
		pool        *pool
		waiting     map[*gate.Ticket]chan admission
		leaving     bool
		downTill    time.Time
		silent      int // runs in a row that ended without an answer
		probing     bool
	}
)

// Notice takes what the server says of itself; the error wraps errNotice when it names no usable server.
func (b *LocalBackend) Notice(ctx context.Context, n Notice) error {
	if n.Instance == "" || n.State < StateReady || n.State > StateGone {
		return fmt.Errorf("%w: instance %q in state %d", errNotice, n.Instance, n.State)
	}
	b.mu.Lock()
	if old := b.current; old != nil && older(n, old.notice) {
		b.mu.Unlock()
		b.Log.Info().Str("instance", n.Instance).Uint64("sequence", n.Sequence).Msg("notice-outdated")
		return nil
	}
	b.mu.Unlock()
	if n.State != StateReady {
		return b.leave(ctx, n)
	}
	announcement := member.Announcement{
		Service: n.Service, Address: n.Address, Slots: n.Slots, Start: b.startOf(n),
	}
	if err := announcement.Check(); err != nil {
		return fmt.Errorf("%w: %w", errNotice, err)
	}
	b.mu.Lock()
	closing := b.closing
	b.mu.Unlock()
	if closing {
		return nil // heard, but nothing new is sent to it from here
	}
	endpoint, err := b.Control.Announce(ctx, announcement)
	if err != nil {
		return fmt.Errorf("announce backend server: %w", err)
	}
	b.ready(n, announcement.Start, endpoint.Incarnation)
	return nil
}

// Greet asks the server at address whether it takes requests, unless it has said so itself by now. A daemon
// that starts beside a running server need not wait for the server's next notice.
func (b *LocalBackend) Greet(ctx context.Context, n Notice, path string) error {
	b.mu.Lock()
	known := b.current != nil
	b.mu.Unlock()
	if known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Address+path, http.NoBody)
	if err != nil {
		return fmt.Errorf("ask backend server: %w", err)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return fmt.Errorf("ask backend server: %w", err)
	}
	_ = response.Body.Close()
	instance, ok := b.Dialect.DecodeHealth(response.StatusCode, response.Header)
	b.Log.Info().Str("address", n.Address).Str("instance", instance).Int("status", response.StatusCode).Bool("ready", ok).Msg("backend-server-asked")
	b.mu.Lock()
	known = b.current != nil
	b.mu.Unlock()
	if !ok || known {
		return nil
	}
	n.Instance, n.State = instance, StateReady
	return b.Notice(ctx, n)
}

// older reports whether a notice was overtaken by what is known already.
func older(n, known Notice) bool {
	if n.Instance == known.Instance && n.StartUnixMilli == known.StartUnixMilli {
		return n.Sequence < known.Sequence
	}
	return n.StartUnixMilli != 0 && n.StartUnixMilli < known.StartUnixMilli
}

// startOf tells the starts of servers apart; a server may start again under its id.
func (b *LocalBackend) startOf(n Notice) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.current; s != nil && s.isOf(n) {
		return s.start
	}
	return fmt.Sprintf("%s/%d", n.Instance, n.StartUnixMilli)
}

// isOf reports whether a notice comes from this start of the server. A start that was found by its health
// answer has not said when it was; it is that of the notice, unless the notice tells of a later one.
func (s *serverState) isOf(n Notice) bool {
	if s.notice.Instance != n.Instance {
		return false
	}
	return s.notice.StartUnixMilli == n.StartUnixMilli || s.notice.StartUnixMilli == 0 && n.StartUnixMilli <= s.found.UnixMilli()
}

// ready puts a server in place, a new start with a new gate and new connections.
func (b *LocalBackend) ready(n Notice, start string, incarnation uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.current
	if old != nil && old.start == start && old.notice.Address == n.Address && old.notice.Service == n.Service {
		if old.leaving {
			return
		}
		old.notice = n
		old.gate.SetSlots(int(n.Slots))
		return
	}
	if old != nil {
		b.retire(old)
	}
	b.current = &serverState{
		notice: n, start: start, found: b.Clock.Now(), incarnation: incarnation, gate: gate.New(int(n.Slots)),
		pool:    &pool{address: n.Address, dialect: b.Dialect, maxBody: b.MaxBody},
		waiting: map[*gate.Ticket]chan admission{},
	}
	b.Log.Info().Str("instance", n.Instance).Str("service", n.Service).Uint32("slots", n.Slots).
		Uint64("incarnation", incarnation).Msg("backend-server-ready")
}

// retire ends an earlier start. The requests that were in flight in it are suspects of its end.
func (b *LocalBackend) retire(old *serverState) {
	b.flush(old, turned{failure: retry.NoBackend{}})
	old.pool.close()
	if fingerprints := b.Suspects.Died(b.Clock.Now(), old.incarnation); len(fingerprints) > 0 && !old.leaving {
		go b.Control.ReportCrash(old.incarnation, fingerprints)
	}
}

// leave stops new work for a server that drains or has gone.
func (b *LocalBackend) leave(ctx context.Context, n Notice) error {
	b.mu.Lock()
	s := b.current
	known := s != nil && s.notice.Instance == n.Instance
	if known && !s.leaving {
		s.leaving = true
		s.notice.Sequence = max(s.notice.Sequence, n.Sequence)
		b.flush(s, turned{failure: retry.Draining{}})
		b.Log.Info().Str("instance", n.Instance).Uint64("sequence", n.Sequence).Msg("backend-server-leaving")
	}
	b.mu.Unlock()
	if !known {
		b.Log.Info().Str("instance", n.Instance).Msg("unknown-backend-server-left")
		return nil
	}
	if err := b.Control.Leave(ctx, s.notice.Address); err != nil {
		return fmt.Errorf("withdraw backend server: %w", err)
	}
	return nil
}

// flush answers all waiting requests; the lock is held.
func (b *LocalBackend) flush(s *serverState, why outcome) {
	for _, t := range s.gate.Flush() {
		b.tell(s, t, admission{refused: why})
	}
}

func (b *LocalBackend) tell(s *serverState, t *gate.Ticket, a admission) {
	if waiting := s.waiting[t]; waiting != nil {
		delete(s.waiting, t)
		waiting <- a
	}
}

// Close stops new work because the daemon is leaving.
func (b *LocalBackend) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closing = true
	if b.current != nil {
		b.flush(b.current, turned{failure: retry.Draining{}})
	}
}

// Running returns the number of requests in the server.
func (b *LocalBackend) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return 0
	}
	return b.current.gate.Running()
}

// Called notes the strain that a call of the server beside this daemon has met.
func (b *LocalBackend) Called(strain float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil {
		b.current.gate.Called(b.Clock.Now(), strain)
	}
}

// Server returns what is known of the server: its last notice, and the requests in it and before it.
func (b *LocalBackend) Server() (n Notice, running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return Notice{}, 0, 0
	}
	return b.current.notice, b.current.gate.Running(), b.current.gate.Waiting()
}

// failed reports whether an answer is a failure of the server.
func (r *Response) failed() bool { return r.Status >= http.StatusInternalServerError }
