package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/accept"
	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	metricsPath         = "/metrics"
	reportTimeout       = 2 * time.Second // for a report of the control loop, and for the header of a request
	defaultHistoryLimit = 20
	answerTimeout       = time.Second // for requests in progress at a stop; then they are told that there is no answer
	stopTimeout         = answerTimeout + time.Second/2
)

var errInvalidParameter = errors.New("invalid parameter")

type (
	// Reporter returns reports of the control state; the control loop implements it.
	Reporter interface {
		// Report returns the requested report as JSON.
		Report(ctx context.Context, request ctrl.ReportRequest) ([]byte, error)
	}

	// Traffic reports the state of the part of a daemon that serves traffic.
	Traffic interface {
		// Sections returns the state as tables for a state dump.
		Sections(now time.Time) []admin.Section
		// Counts returns the current numbers of running requests, queued requests, caller connections and
		// backend servers. The other fields are zero.
		Counts() admin.Counts
		// ExplainRoute returns where a request would be sent, and changes nothing. The error is an
		// *admin.MissingPart or wraps admin.ErrQuery.
		ExplainRoute(query *admin.RouteQuery) (*admin.RouteExplain, error)
	}

	// Server is the operators' endpoint of one daemon.
	Server struct {
		Name      string
		Region    string
		Listener  net.Listener
		Clock     clock.Clock
		Reporter  Reporter
		Orders    Orders
		Traffic   Traffic
		Sessions  func() int // returns the number of open connections with other daemons
		Meter     *meter.Meter
		Guard     *accept.Guard // bounds the open connections; nil for no bound
		MaxHeader int           // bytes of a request line and header, zero for the library's limit
		Settings  admin.Section
		Log       zerolog.Logger
	}
)

// Group returns the supervisor group that runs the endpoint.
func (s *Server) Group() *super.Group {
	return &super.Group{Name: "admin", Log: s.Log, Children: []super.Child{{Name: "admin-server", Run: s.run}}}
}

// run serves the endpoint until ctx ends.
func (s *Server) run(ctx context.Context) error {
	// Without an explicit endpoint kratos lists the network interfaces, which some instances do not permit.
	endpoint := &url.URL{Scheme: "http", Host: s.Listener.Addr().String()}
	listener := s.Guard.Listen("admin", accept.LateReads(accept.New(s.Listener)))
	server := khttp.NewServer(khttp.Listener(listener), khttp.Endpoint(endpoint), khttp.Timeout(0))
	server.ReadHeaderTimeout = reportTimeout
	server.MaxHeaderBytes = s.MaxHeader
	server.HandleFunc(admin.PathStatus, s.handle(s.status))
	server.HandleFunc(admin.PathInForce, s.handle(s.inForce))
	server.HandleFunc(admin.PathRules, s.handle(s.rules))
	server.HandleFunc(admin.PathHistory, s.handle(s.history))
	server.HandlePrefix(admin.PathRevision, s.handle(s.revision))
	server.HandleFunc(admin.PathExplain, s.handle(s.explain))
	server.HandleFunc(admin.PathExplainRoute, s.handle(s.explainRoute))
	server.HandleFunc(admin.PathDump, s.handle(s.dump))
	server.HandleFunc(admin.PathZones, s.handle(s.zones))
	server.HandleFunc(admin.PathEvacuateZone, s.handleOrder(true))
	server.HandleFunc(admin.PathRestoreZone, s.handleOrder(false))
	server.Handle(metricsPath, promhttp.HandlerFor(s.Meter.Registry, promhttp.HandlerOpts{}))
	running := accept.HTTP{
		Name: "admin", Server: server, Listener: listener, Guard: s.Guard,
		AnswerWithin: answerTimeout, CloseWithin: stopTimeout, Log: s.Log,
	}
	if err := running.Serve(ctx); err != nil {
		return fmt.Errorf("admin server: %w", err)
	}
	return nil
}

// handle returns a handler that responds to GET requests with the JSON of a report, or with an admin.Error.
func (s *Server) handle(report func(*http.Request) ([]byte, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			writeError(w, http.StatusMethodNotAllowed, admin.ReasonBadRequest, "only GET is supported; except for orders for availability zones, the rules file is the only way to change anything")
			return
		}
		body, err := report(r)
		var missing *admin.MissingPart
		switch {
		case errors.As(err, &missing):
			writeError(w, http.StatusNotFound, admin.ReasonNotFound, err.Error())
		case errors.Is(err, errInvalidParameter), errors.Is(err, admin.ErrQuery):
			writeError(w, http.StatusBadRequest, admin.ReasonBadRequest, err.Error())
		case errors.Is(err, ctrl.ErrNotFound):
			writeError(w, http.StatusNotFound, admin.ReasonNotFound, err.Error())
		case err != nil:
			writeError(w, http.StatusServiceUnavailable, admin.ReasonNoLeader, err.Error())
		default:
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(body)
		}
	}
}

// writeError responds with an admin.Error.
func writeError(w http.ResponseWriter, status int, reason, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(&admin.Error{Code: status, Reason: reason, Message: message})
}

// requestReport requests a report of the control state. wait extends the time limit for requests in which the
// leader may wait before it replies.
func (s *Server) requestReport(r *http.Request, request ctrl.ReportRequest, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(r.Context(), reportTimeout+wait)
	defer cancel()
	return s.Reporter.Report(ctx, request)
}

// status returns the status of the control state with the region and the counts of this daemon.
func (s *Server) status(r *http.Request) ([]byte, error) {
	body, err := s.requestReport(r, ctrl.StatusRequest{}, 0)
	if err != nil {
		return nil, err
	}
	status := &admin.Status{}
	if err := json.Unmarshal(body, status); err != nil {
		return nil, fmt.Errorf("read control status: %w", err)
	}
	status.Region = s.Region
	status.Counts = s.Meter.Counts()
	gauges := s.Traffic.Counts()
	status.Counts.Running, status.Counts.Queued = gauges.Running, gauges.Queued
	status.Counts.Connections, status.Counts.Backends = gauges.Connections, gauges.Backends
	status.Counts.Sessions = uint64(s.Sessions())
	return json.Marshal(status)
}

func (s *Server) inForce(r *http.Request) ([]byte, error) {
	revision, err := uintParam(r, admin.ParamRevision, 0)
	if err != nil {
		return nil, err
	}
	wait, err := durationParam(r, admin.ParamWait)
	if err != nil {
		return nil, err
	}
	query := ctrl.Query{Kind: ctrl.QueryInForce, Revision: revision, Wait: wait}
	return s.requestReport(r, ctrl.LeaderRequest{Query: query}, wait)
}

func (s *Server) rules(r *http.Request) ([]byte, error) {
	return s.requestReport(r, ctrl.RulesRequest{}, 0)
}

func (s *Server) history(r *http.Request) ([]byte, error) {
	limit, err := uintParam(r, admin.ParamLimit, defaultHistoryLimit)
	if err != nil {
		return nil, err
	}
	if limit == 0 || limit > admin.MaxHistory {
		return nil, fmt.Errorf("%w: limit is %d, want 1 to %d", errInvalidParameter, limit, admin.MaxHistory)
	}
	query := ctrl.Query{Kind: ctrl.QueryHistory, Limit: uint32(limit)}
	return s.requestReport(r, ctrl.LeaderRequest{Query: query}, 0)
}

func (s *Server) revision(r *http.Request) ([]byte, error) {
	text := strings.TrimPrefix(r.URL.Path, admin.PathRevision)
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil || revision == 0 {
		return nil, fmt.Errorf("%w: %q is not a revision number", errInvalidParameter, text)
	}
	query := ctrl.Query{Kind: ctrl.QueryRevision, Revision: revision}
	return s.requestReport(r, ctrl.LeaderRequest{Query: query}, 0)
}

// explain returns the explanation of a rule of a revision, by default the one in effect on this daemon.
func (s *Server) explain(r *http.Request) ([]byte, error) {
	rule := r.URL.Query().Get(admin.ParamRule)
	if rule == "" {
		return nil, fmt.Errorf("%w: rule is missing", errInvalidParameter)
	}
	revision, err := uintParam(r, admin.ParamRevision, 0)
	if err != nil {
		return nil, err
	}
	request := ctrl.ReportRequest(ctrl.RulesRequest{})
	if revision != 0 {
		request = ctrl.LeaderRequest{Query: ctrl.Query{Kind: ctrl.QueryRevision, Revision: revision}}
	}
	body, err := s.requestReport(r, request, 0)
	if err != nil {
		return nil, err
	}
	return explainRule(body, rule)
}

// explainRule returns the explanation of one rule of the revision in body. The identity of the rule is
// <kind>/<name>@<line>; "@<line>" is optional.
func explainRule(body []byte, identity string) ([]byte, error) {
	revision := &admin.Revision{}
	if err := json.Unmarshal(body, revision); err != nil {
		return nil, fmt.Errorf("read revision: %w", err)
	}
	set, err := rules.Parse("rules", []byte(revision.Text))
	if err != nil {
		return nil, fmt.Errorf("%w: the text of revision %d is not kept", ctrl.ErrNotFound, revision.Number)
	}
	for _, statement := range set.Statements() {
		rule := rules.RuleOf(statement)
		ruleIdentity := rule.Identity()
		if identity != ruleIdentity && identity != ruleIdentity[:strings.LastIndexByte(ruleIdentity, '@')] {
			continue
		}
		return json.Marshal(&admin.Explain{
			Rule: ruleIdentity, Kind: rule.Kind, Name: rule.Name, Revision: set.Revision, Line: rule.Line,
			Requester: rule.Requester, Reason: rule.Reason, Text: rules.CanonicalLine(statement),
		})
	}
	return nil, fmt.Errorf("%w: rule %q in revision %d", ctrl.ErrNotFound, identity, set.Revision)
}

// dump returns the state dump: settings, control state and traffic, or only the sections that the request names.
func (s *Server) dump(r *http.Request) ([]byte, error) {
	body, err := s.requestReport(r, ctrl.DumpRequest{}, 0)
	if err != nil {
		return nil, err
	}
	var sections []admin.Section
	if err := json.Unmarshal(body, &sections); err != nil {
		return nil, fmt.Errorf("read control dump: %w", err)
	}
	now := s.Clock.Now()
	sections = append([]admin.Section{s.Settings}, sections...)
	sections = append(sections, s.Traffic.Sections(now)...)
	if names := r.URL.Query()[admin.ParamSection]; len(names) > 0 {
		for _, name := range names {
			if !slices.ContainsFunc(sections, func(section admin.Section) bool { return section.Name == name }) {
				return nil, fmt.Errorf("%w: section %q", ctrl.ErrNotFound, name)
			}
		}
		sections = slices.DeleteFunc(sections, func(section admin.Section) bool { return !slices.Contains(names, section.Name) })
	}
	return json.Marshal(&admin.Dump{Name: s.Name, Time: now, Sections: sections})
}

// uintParam returns the value of a query parameter, or fallback if the request does not have it.
func uintParam(r *http.Request, name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s is %q, want a whole number", errInvalidParameter, name, text)
	}
	return value, nil
}

// durationParam returns the value of a query parameter, or zero if the request does not have it.
func durationParam(r *http.Request, name string) (time.Duration, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 || value > admin.MaxWait {
		return 0, fmt.Errorf("%w: %s is %q, want a duration of at most %s", errInvalidParameter, name, text, admin.MaxWait)
	}
	return value, nil
}
