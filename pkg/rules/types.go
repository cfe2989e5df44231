package rules

import (
	"fmt"
	"slices"
	"time"
)

const (
	// KindRevision is the kind of the rule that numbers the configuration.
	KindRevision Kind = "revision"
	// KindService is the kind of a rule that describes a service.
	KindService Kind = "service"
	// KindAccount is the kind of a rule that describes a client account.
	KindAccount Kind = "account"
	// KindKey is the kind of a rule that issues a key to a client account.
	KindKey Kind = "key"
	// KindRoute is the kind of a rule that maps requests to a service.
	KindRoute Kind = "route"

	// DefaultRetryShare is the retry share of a service whose rule names none.
	DefaultRetryShare = 0.10
	// DefaultRetries is the retry budget of a route whose rule names none.
	DefaultRetries = 2

	// MaxRegions bounds the allowed regions of one rule, which are compared with each server of a request.
	MaxRegions = 64
)

type (
	// Kind is the first word of a rule.
	Kind string

	// Set is one complete, valid configuration; it is not modified after Parse returns it.
	Set struct {
		Revision uint64              `json:"revision"`
		Author   string              `json:"author"` // requester of the revision rule
		Reason   string              `json:"reason,omitempty"`
		Services map[string]*Service `json:"services"` // by service name
		Accounts map[string]*Account `json:"accounts"` // by account name
		Keys     []*Key              `json:"keys"`     // in file order
		Routes   []*Route            `json:"routes"`   // in file order
		Limits   Limits              `json:"limits"`

		// revision has line 0 until the parser has read a revision rule, and line -1 if another rule came first or the
		// line that may contain the revision rule is invalid.
		revision Revision
		routes   routeIndex
		hosts    map[string][]*Route // routes by host name, those with the longest prefix first
		keys     keyIndex
	}

	// Limits bound the size of requests and the time to read them; a zero field leaves the limit of the
	// daemon's settings in effect.
	Limits struct {
		HeaderSize    int64         `json:"header-size"` // bytes
		BodySize      int64         `json:"body-size"`   // bytes
		HeaderTimeout time.Duration `json:"header-timeout"`
		IdleTimeout   time.Duration `json:"idle-timeout"`
	}

	// Rule contains the fields that all kinds of rules have in common.
	Rule struct {
		Kind      Kind   `json:"kind"`
		Name      string `json:"name"` // unique within the kind
		Line      int    `json:"line"` // in the rules file, from 1
		Requester string `json:"requester"`
		Reason    string `json:"reason,omitempty"`
	}

	// Statement is one rule of any kind: *Revision, *Service, *Account, *Key or *Route.
	Statement interface {
		statement() *Rule
	}

	// Revision numbers the configuration; it is the first rule of a file.
	Revision struct {
		Rule
		Number uint64 `json:"number"`
	}

	// Service describes one kind of backend server and the limits of each of its instances.
	Service struct {
		Rule
		Slots       int     `json:"slots"`       // concurrent requests per instance
		Connections int     `json:"connections"` // connections per instance
		RetryShare  float64 `json:"retry-share"` // ratio of retries to recent successes, 0.1 is 10%
		HealthPath  string  `json:"health-path,omitempty"`
		// ColdRate is the number of requests per second that a cold instance tolerates; zero sets no limit.
		ColdRate float64 `json:"cold-rate,omitempty"`
		// ColdPeriod is how long an instance stays cold after its start.
		ColdPeriod time.Duration `json:"cold-period,omitempty"`
		// LongAnswersStay lets requests with long answers leave their availability zone less easily.
		LongAnswersStay bool `json:"long-answers-stay,omitempty"`
	}

	// Account describes a client account and its request rate limit.
	Account struct {
		Rule
		Rate  Rate `json:"rate"`  // a count of zero sets no limit
		Burst int  `json:"burst"` // requests
		// Rank, when set, overrides the rank of a route.
		Rank *int `json:"rank,omitempty"`
		// Regions lists the regions in which requests of the account may be handled; empty allows all.
		Regions []string `json:"regions,omitempty"`
	}

	// Rate is a number of requests per period.
	Rate struct {
		Count int           `json:"count"`
		Per   time.Duration `json:"per"` // one second, one minute or one hour
	}

	// Key is one key of a client account; its name is <account>:<first 8 hex digits of the hash>.
	Key struct {
		Rule
		Account string `json:"account"`
		Hash    Hash   `json:"hash"`
		State   State  `json:"state"`
	}

	// Hash is the SHA-256 hash of a key.
	Hash [32]byte

	// WeightedService is one of the services among which the requests of a route are divided in proportion to
	// their weights.
	WeightedService struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}

	// Route maps the requests of one method and path pattern, or of a host and path prefix, to a service; in
	// a rules file its name is <method><path>.
	Route struct {
		Rule
		Method     string        `json:"method"`
		Path       string        `json:"path"` // pattern
		Service    string        `json:"service"`
		Access     Access        `json:"access"`
		Accounts   []string      `json:"accounts,omitempty"` // empty: every client account
		Run        Run           `json:"run"`
		Importance Importance    `json:"importance"`
		Deadline   time.Duration `json:"deadline"` // for the whole call
		Retries    int           `json:"retries"`  // over the whole call graph
		Offline    bool          `json:"offline"`  // served while the daemon is not fresh
		Nested     bool          `json:"nested"`   // only for nested calls, hidden from callers
		// Regions lists the regions in which requests of the route may be handled; empty allows all.
		Regions []string `json:"regions,omitempty"`

		// The fields below belong to routes by host and prefix.
		Host             string            `json:"host,omitempty"`
		Prefix           string            `json:"prefix,omitempty"`
		WeightedServices []WeightedService `json:"parts,omitempty"`     // instead of Service
		Objective        time.Duration     `json:"objective,omitempty"` // target latency; a response within it has its full value
		Rank             int               `json:"rank,omitempty"`      // 0 is the most urgent
		MaxSends         int               `json:"sends,omitempty"`     // servers that one attempt may reach, at least 1
	}
)

// Identity returns the text that identifies the rule to operators and callers: <kind>/<name>@<line>.
func (r *Rule) Identity() string { return fmt.Sprintf("%s/%s@%d", r.Kind, r.Name, r.Line) }

// PerSecond returns the rate in requests per second.
func (r Rate) PerSecond() float64 { return float64(r.Count) / r.Per.Seconds() }

// AllowsAccount reports whether the route admits the client account with the given name.
func (r *Route) AllowsAccount(name string) bool {
	if len(r.Accounts) == 0 {
		return true
	}
	for _, account := range r.Accounts {
		if account == name {
			return true
		}
	}
	return false
}

// AccountRegions returns the allowed regions of the client account with the given name, empty if all are allowed or
// there is no such account.
func (s *Set) AccountRegions(name string) []string {
	if account := s.Accounts[name]; account != nil {
		return account.Regions
	}
	return nil
}

// RegionNames returns the sorted names of the regions that routes and client accounts list. Names that no region can have
// are left out.
func (s *Set) RegionNames() []string {
	var names []string
	add := func(list []string) {
		for _, name := range list {
			if name != "" && len(name) <= maxNameLength && !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	for _, route := range s.Routes {
		add(route.Regions)
	}
	for _, account := range s.Accounts {
		add(account.Regions)
	}
	slices.Sort(names)
	return names
}

// RegionRule returns the rule that restricts the regions of a request: the account's if it has a list and the route has
// none, otherwise the route's; account may be nil.
func RegionRule(route *Route, account *Account) *Rule {
	if len(route.Regions) == 0 && account != nil && len(account.Regions) > 0 {
		return &account.Rule
	}
	return &route.Rule
}

func (r *Revision) statement() *Rule { return &r.Rule }
func (s *Service) statement() *Rule  { return &s.Rule }
func (a *Account) statement() *Rule  { return &a.Rule }
func (k *Key) statement() *Rule      { return &k.Rule }
func (r *Route) statement() *Rule    { return &r.Rule }

// RuleOf returns the common fields of a rule of any kind.
func RuleOf(s Statement) *Rule { return s.statement() }
