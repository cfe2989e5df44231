package call

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
)

const (
	pathAnnounce = "/buckthorn/announce"
	pathLeave    = "/buckthorn/leave"

	maxAnnouncement = 4 << 10
)

var errAnnouncement = errors.New("invalid announcement")

// ServeLocal handles requests of the local backend server: announcements, leaving, and nested calls.
func (h *Handler) ServeLocal(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == pathAnnounce && r.Method == http.MethodPost:
		h.announce(w, r)
	case r.URL.Path == pathLeave && r.Method == http.MethodPost:
		h.leave(w, r)
	default:
		h.serveNested(w, r)
	}
}

func (h *Handler) announce(w http.ResponseWriter, r *http.Request) {
	announcement, err := readAnnouncement(r.Body)
	if err == nil {
		err = checkAnnouncement(announcement)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	endpoint, err := h.Control.Announce(r.Context(), *announcement)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	h.backends.register(endpoint, announcement.ReturnsAttempt)
	h.backends.reportCold(&endpoint, announcement.ColdSeconds)
	writeJSON(w, map[string]any{"instance": endpoint.ID, "incarnation": endpoint.Incarnation})
}

func (h *Handler) leave(w http.ResponseWriter, r *http.Request) {
	announcement, err := readAnnouncement(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.backends.leave(announcement.Address)
	if err := h.Control.Leave(r.Context(), announcement.Address); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func readAnnouncement(body io.Reader) (*member.Announcement, error) {
	decoder := json.NewDecoder(io.LimitReader(body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	announcement := &member.Announcement{}
	if err := decoder.Decode(announcement); err != nil {
		return nil, fmt.Errorf("%w: %w", errAnnouncement, err)
	}
	return announcement, nil
}

// checkAnnouncement checks the announcement and, in addition, what HTTP forwarding needs.
func checkAnnouncement(a *member.Announcement) error {
	address, err := netip.ParseAddrPort(a.Address)
	switch {
	case err != nil || address.Port() == 0:
		return fmt.Errorf("%w: address %q is not an IP number and port", errAnnouncement, a.Address)
	case a.Connections == 0:
		return fmt.Errorf("%w: connections must be at least 1", errAnnouncement)
	}
	return a.Check()
}

// serveNested handles a call that the backend server makes while it handles a parent request.
func (h *Handler) serveNested(w http.ResponseWriter, r *http.Request) {
	started := h.Clock.Now()
	id := newToken()
	parent, ok := h.parents.find(r.Header.Get(HeaderCall))
	if !ok {
		writeRefusal(w, id, retry.KeyUnknown{}, nil)
		return
	}
	snapshot := h.Control.Snapshot()
	if snapshot.Rules == nil {
		writeRefusal(w, id, retry.StaleConfig{}, nil)
		return
	}
	match, ok := snapshot.Rules.Match(r.Method, r.URL.EscapedPath())
	switch {
	case !ok:
		writeRefusal(w, id, retry.NoRoute{}, nil)
		return
	case len(parent.chain) >= maxCallDepth:
		writeRefusal(w, id, retry.BadRequest{}, &match.Route.Rule)
		return
	case accessFailure(match.Route, parent.account) != nil:
		writeRefusal(w, id, retry.AccountNotAllowed{}, &match.Route.Rule)
		return
	}
	request := newRequest(r, snapshot.Rules, match.Route, id)
	request.ID = parent.id
	request.Account = parent.account
	request.Header = forwardHeader(r.Header, "")
	request.Started = started
	request.Importance = max(parent.importance, importanceOf(match.Route.Importance))
	request.Deadline = earlier(parent.deadline, started.Add(match.Route.Deadline))
	request.Budget = parent.budget
	request.Chain = parent.chain
	request.Nested = true
	request.ParentRegions = parent.regions
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(parent.ctx, cancel)
	defer stop()
	parent.beginNested(started)
	defer func() { parent.endNested(h.Clock.Now()) }()
	// This result is recorded when run panics because the response broke off.
	outcome := result(failed{Final: true})
	defer func() { h.recordNestedResult(parent, outcome) }()
	outcome = h.run(ctx, w, request, started)
}

// recordNestedResult includes a failure of a nested call in the report of its parent request.
func (h *Handler) recordNestedResult(parent *parentRequest, outcome result) {
	if overloadedResult(outcome) {
		parent.overloaded.Store(true)
	}
	switch outcome := outcome.(type) {
	case failed:
		if outcome.Final {
			parent.budget.MarkFinal()
		}
	case delivered:
		if outcome.Final {
			parent.budget.MarkFinal()
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// callerAddress returns the IP number of the caller without its port.
func callerAddress(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return host
}
