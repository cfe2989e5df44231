package admin

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	// PathExplainRoute returns a RouteExplain; parameters ParamMethod, ParamHost, ParamPath, ParamAccount and ParamNested.
	PathExplainRoute = "/v1/explain-route"

	// ParamMethod is the method of a request.
	ParamMethod = "method"
	// ParamHost is the host of a request, which only the users' platform uses.
	ParamHost = "host"
	// ParamPath is the path of a request, percent-encoded as the caller sends it and without the query.
	ParamPath = "path"
	// ParamAccount is the name of the client account of a request.
	ParamAccount = "account"
	// ParamNested is true for a call of a backend server.
	ParamNested = "nested"

	maxMethod  = 32 // bytes
	maxHost    = 255
	maxPath    = 8 << 10
	maxAccount = 64
)

// Decisions of the admission control and states of a rate limit.
const (
	DecisionAdmitted = "admitted"
	DecisionQueued   = "queued"
	DecisionRefused  = "refused"

	RateUnlimited = "no-limit"
	RateAvailable = "token-available"   // this daemon has a token
	RateRequested = "token-requested"   // the request waits for a token of the owner
	RateRefused   = "refused"           // the account is above its rate
	RateFallback  = "allowed-by-daemon" // no token is granted, and the daemon allows the request by itself
	RateRandom    = "random"            // no token is granted, and a random number decides
	RateNoGrant   = "not-granted"       // no token is granted, and the daemon does not allow the request
)

// ErrQuery reports a RouteQuery with a missing or malformed field.
var ErrQuery = errors.New("invalid request to explain")

type (
	// MissingPart reports that an explanation is not possible because something is not known.
	MissingPart struct {
		Part   string
		Detail string
	}

	// RouteQuery is the request to explain.
	RouteQuery struct {
		Method  string `json:"method"`
		Host    string `json:"host,omitempty"`
		Path    string `json:"path"`
		Account string `json:"account,omitempty"`
		Nested  bool   `json:"nested"`
	}

	// RouteExplain describes where a daemon would send a request, and why.
	RouteExplain struct {
		Name       string         `json:"name"` // of the daemon
		Time       time.Time      `json:"time"`
		Revision   uint64         `json:"revision"`
		Fresh      bool           `json:"fresh"`                 // the lease of the daemon is valid
		ContactAge Duration       `json:"contact-age,omitempty"` // of the latest lease renewal
		Request    RouteQuery     `json:"request"`
		Route      RouteMatch     `json:"route"`
		Account    *RouteAccount  `json:"account,omitempty"`
		Service    string         `json:"service"`
		Throttle   float64        `json:"throttle"` // probability of a refusal at this daemon
		Admission  RouteAdmission `json:"admission"`
		Retries    []RouteRetries `json:"retries"`
		Restricted bool           `json:"restricted"` // only Regions are allowed
		Regions    []string       `json:"regions,omitempty"`
		Evacuated  []string       `json:"evacuated,omitempty"` // availability zones
		Servers    []RouteServer  `json:"servers"`
		Choice     string         `json:"choice,omitempty"`    // id of the server that is most likely
		RunnerUp   string         `json:"runner-up,omitempty"` // id of the next one
		Refused    string         `json:"refused,omitempty"`   // reason of the first refusal
		Notes      []string       `json:"notes,omitempty"`
	}

	// RouteMatch is the route of a request. The fields of the rules file are empty where there is none.
	RouteMatch struct {
		Name       string                  `json:"name"`
		Rule       string                  `json:"rule,omitempty"` // identity
		Line       int                     `json:"line,omitempty"`
		Requester  string                  `json:"requester,omitempty"`
		Reason     string                  `json:"reason,omitempty"`
		Text       string                  `json:"text,omitempty"` // canonical line
		Access     string                  `json:"access"`
		Idempotent bool                    `json:"idempotent"`
		Urgency    string                  `json:"urgency"`
		Deadline   Duration                `json:"deadline"`
		Objective  Duration                `json:"objective,omitempty"`
		Parts      []rules.WeightedService `json:"parts,omitempty"`
	}

	// RouteAccount is the client account of a request with the state of its rate limit at this daemon.
	RouteAccount struct {
		Name       string   `json:"name"`
		Rule       string   `json:"rule,omitempty"` // identity
		Rate       string   `json:"rate"`
		Burst      int      `json:"burst"`
		State      string   `json:"state"`                 // one of the Rate constants
		Tokens     int      `json:"tokens"`                // granted to this daemon and not spent
		RefusedFor Duration `json:"refused-for,omitempty"` // until requests are not refused at once
		Fallback   float64  `json:"fallback,omitempty"`    // requests per second that the daemon allows without tokens
	}

	// RouteAdmission is the decision of the admission control of the daemon's own server.
	RouteAdmission struct {
		Server   string   `json:"server,omitempty"` // empty if the daemon has none of the service
		Decision string   `json:"decision,omitempty"`
		Reason   string   `json:"reason,omitempty"` // of a refusal
		Running  int      `json:"running"`
		Waiting  int      `json:"waiting"`
		Limit    int      `json:"limit"`
		Wait     Duration `json:"wait"` // predicted, or the longest one where none is predicted
	}

	// RouteRetries is the use of one retry budget of the service.
	RouteRetries struct {
		Cause string  `json:"cause"`
		Used  float64 `json:"used"`
		Limit float64 `json:"limit"`
	}

	// RouteServer is one server of the service as the daemon knows it.
	RouteServer struct {
		ID         string      `json:"id"`
		Daemon     string      `json:"daemon"`
		Zone       string      `json:"availability-zone"`
		Region     string      `json:"region,omitempty"`
		Excluded   string      `json:"excluded,omitempty"` // why the request is not sent there
		Cost       Duration    `json:"cost"`
		Parts      []RouteCost `json:"parts"` // their sum is Cost
		Reported   bool        `json:"reported"`
		ReportAge  Duration    `json:"report-age"`
		Unreported int         `json:"unreported"` // requests of this daemon that the report does not include
		InFlight   int         `json:"in-flight"`  // requests of this daemon
		Others     float64     `json:"others"`     // expected requests of other daemons since the report
		Explored   bool        `json:"explored"`   // some requests go there because it has not been used for a while
		Chance     float64     `json:"chance"`
	}

	// RouteCost is one part of the cost of a server.
	RouteCost struct {
		Name string   `json:"name"`
		Cost Duration `json:"cost"`
	}
)

// Error names the missing part.
func (e *MissingPart) Error() string { return e.Part + ": " + e.Detail }

// MissingConfiguration returns the error of a daemon without rules.
func MissingConfiguration() error {
	return &MissingPart{Part: "configuration", Detail: "none has arrived at this daemon yet"}
}

// MissingRoute returns the error for a request without a route.
func MissingRoute(format string, args ...any) error {
	return &MissingPart{Part: "route", Detail: fmt.Sprintf(format, args...)}
}

// MissingAccount returns the error for a client account that is not in the rules.
func MissingAccount(name string, revision uint64) error {
	return &MissingPart{Part: "account", Detail: fmt.Sprintf("there is no client account %q in revision %d", name, revision)}
}

// MissingServers returns the error for a service without a list of servers, or with an empty one if listed is set.
func MissingServers(service string, listed bool) error {
	detail := "this daemon has no list of the servers of %q; it asks for one with its first request"
	if listed {
		detail = "no server of %q is known"
	}
	return &MissingPart{Part: "servers", Detail: fmt.Sprintf(detail, service)}
}

// Check returns an error that wraps ErrQuery and names the first invalid field.
func (q *RouteQuery) Check() error {
	switch {
	case q.Method == "" || len(q.Method) > maxMethod || strings.ContainsFunc(q.Method, notInMethod):
		return fmt.Errorf("%w: the method is %q, want capital letters such as GET", ErrQuery, q.Method)
	case !strings.HasPrefix(q.Path, "/") || len(q.Path) > maxPath || strings.ContainsFunc(q.Path, notInPath):
		return fmt.Errorf("%w: the path is %q, want one that begins with a slash, percent-encoded, without a query", ErrQuery, q.Path)
	case len(q.Host) > maxHost || strings.ContainsFunc(q.Host, notInPath) || strings.Contains(q.Host, "/"):
		return fmt.Errorf("%w: the host is %q, want a name with or without a port", ErrQuery, q.Host)
	case len(q.Account) > maxAccount:
		return fmt.Errorf("%w: the account has %d bytes, limit %d", ErrQuery, len(q.Account), maxAccount)
	}
	return nil
}

func notInMethod(r rune) bool { return r < 'A' || r > 'Z' }

func notInPath(r rune) bool { return r <= ' ' || r >= 0x7f || r == '?' || r == '#' }

// Check returns an error that names the first invalid field.
func (e *RouteExplain) Check() error {
	if e.Name == "" || e.Route.Name == "" || e.Service == "" {
		return errors.New("name, route or service is missing")
	}
	for _, server := range e.Servers {
		if server.ID == "" || server.Chance < 0 || server.Chance > 1+1e-9 {
			return fmt.Errorf("server %q has the chance %g", server.ID, server.Chance)
		}
	}
	return nil
}

// NewRouteMatch returns the description of a route; fromFile is set if its rule is a line of a rules file.
func NewRouteMatch(route *rules.Route, urgency string, fromFile bool) RouteMatch {
	match := RouteMatch{
		Name: route.Name, Access: route.Access.String(), Idempotent: route.Run == rules.RunIdempotent, Urgency: urgency,
		Deadline: Duration(route.Deadline), Objective: Duration(route.Objective), Parts: route.WeightedServices,
	}
	if fromFile {
		match.Rule, match.Line, match.Requester, match.Reason = route.Identity(), route.Line, route.Requester, route.Rule.Reason
		match.Text = rules.CanonicalLine(route)
	}
	return match
}

// Refuse records the reason of a refusal unless an earlier step refuses the request already.
func (e *RouteExplain) Refuse(reason string) { e.Refused = cmp.Or(e.Refused, reason) }

// Note adds a remark.
func (e *RouteExplain) Note(format string, args ...any) {
	e.Notes = append(e.Notes, fmt.Sprintf(format, args...))
}

// Rank sorts the servers, the most likely first and then the cheapest, excluded ones last, and sets the choice and the
// runner-up.
func (e *RouteExplain) Rank() {
	slices.SortStableFunc(e.Servers, func(a, b RouteServer) int {
		excluded := cmp.Compare(min(len(a.Excluded), 1), min(len(b.Excluded), 1))
		return cmp.Or(cmp.Compare(b.Chance, a.Chance), excluded, cmp.Compare(a.Cost, b.Cost))
	})
	e.Choice, e.RunnerUp = "", ""
	if len(e.Servers) > 0 && e.Servers[0].Chance > 0 {
		e.Choice = e.Servers[0].ID
		if len(e.Servers) > 1 && e.Servers[1].Excluded == "" {
			e.RunnerUp = e.Servers[1].ID
		}
	}
}

// ExplainRoute returns where the daemon would send a request, and why. Nothing is sent.
func (c *Client) ExplainRoute(ctx context.Context, query RouteQuery) (*RouteExplain, error) {
	values := url.Values{ParamMethod: {query.Method}, ParamPath: {query.Path}}
	if query.Host != "" {
		values.Set(ParamHost, query.Host)
	}
	if query.Account != "" {
		values.Set(ParamAccount, query.Account)
	}
	if query.Nested {
		values.Set(ParamNested, strconv.FormatBool(true))
	}
	return get[RouteExplain](ctx, c, PathExplainRoute, values, 0)
}
