package admin

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// Paths of the operators' endpoint; all accept GET requests, except for the two orders, and return JSON.
const (
	// PathStatus returns a Status.
	PathStatus = "/v1/status"
	// PathInForce returns an InForce; parameters ParamRevision and ParamWait.
	PathInForce = "/v1/in-force"
	// PathRules returns the Revision in effect, text included.
	PathRules = "/v1/rules"
	// PathHistory returns a History, newest first and without texts; parameter ParamLimit.
	PathHistory = "/v1/history"
	// PathRevision returns one Revision, text included; the number follows the path.
	PathRevision = "/v1/history/"
	// PathExplain returns an Explain; parameters ParamRule and ParamRevision.
	PathExplain = "/v1/explain"
	// PathDump returns a Dump; parameter ParamSection, which may be repeated; without it all sections.
	PathDump = "/v1/dump"
	// PathZones returns the Zones under evacuation.
	PathZones = "/v1/zones"
	// PathEvacuateZone accepts a POST request with a ZoneOrder and returns a ZoneOrdered.
	PathEvacuateZone = "/v1/zones/evacuate"
	// PathRestoreZone accepts a POST request with a ZoneOrder and returns a ZoneOrdered.
	PathRestoreZone = "/v1/zones/restore"

	// ParamRevision is a revision number; absent or 0 is the newest accepted one.
	ParamRevision = "revision"
	// ParamWait is how long the server may delay its response until the revision is in effect on all daemons,
	// as a Go duration of at most MaxWait.
	ParamWait = "wait"
	// ParamLimit is the largest number of revisions in a History, from 1 to MaxHistory.
	ParamLimit = "limit"
	// ParamRule is the identity of a rule, <kind>/<name>@<line>; the line is optional.
	ParamRule = "rule"
	// ParamSection is the name of a section of a Dump.
	ParamSection = "section"

	// MaxWait is the longest time by which one request can ask the server to delay its response.
	MaxWait = 30 * time.Second
	// MaxHistory is the largest number of revisions in one History.
	MaxHistory = 1000
	// MaxDaemons is the largest number of daemons that an InForce lists by name.
	MaxDaemons = 100
)

const (
	// RoleDaemon is a daemon without a data folder.
	RoleDaemon Role = "daemon"
	// RoleLearner is a control instance that catches up and does not vote.
	RoleLearner Role = "learner"
	// RoleFollower is a voter that follows a leader.
	RoleFollower Role = "follower"
	// RoleCandidate is a voter that requests votes in an election.
	RoleCandidate Role = "candidate"
	// RoleLeader is the voter that manages leases, token buckets and the registry.
	RoleLeader Role = "leader"
	// RoleFailed is a voter that stopped after a disk write or sync failed.
	RoleFailed Role = "failed"

	// DrainServing means that the daemon accepts new calls.
	DrainServing DrainState = "serving"
	// DrainDraining means that the daemon finishes running calls and accepts no new ones.
	DrainDraining DrainState = "draining"
	// DrainDrained means that the daemon has no calls left.
	DrainDrained DrainState = "drained"
)

type (
	// Role is the role of the daemon in the control plane.
	Role string

	// DrainState is the progress of a daemon that finishes its calls before it stops.
	DrainState string

	// Duration is a time span with the JSON form of Go duration text such as "1m30s".
	Duration time.Duration

	// Status describes one daemon.
	Status struct {
		Name       string     `json:"name"`
		Zone       string     `json:"availability-zone"`
		Region     string     `json:"region"`
		Role       Role       `json:"role"`
		Leader     string     `json:"leader,omitempty"` // name, empty while unknown
		Term       uint64     `json:"term"`
		Voters     []string   `json:"voters,omitempty"`
		Revision   uint64     `json:"revision"` // in effect on this daemon, 0 for none
		Fresh      bool       `json:"fresh"`
		FreshUntil time.Time  `json:"fresh-until,omitzero"`
		Drain      DrainState `json:"drain"`
		Started    time.Time  `json:"started"`
		Uptime     Duration   `json:"uptime"`
		Counts     Counts     `json:"counts"`
	}

	// Counts are the counters and levels of one daemon since its start.
	Counts struct {
		Calls       uint64            `json:"calls"`         // accepted at the ingress or as nested calls
		Running     uint64            `json:"running"`       // now
		Queued      uint64            `json:"queued"`        // now, at admission
		Completed   uint64            `json:"completed"`     // whole responses delivered
		Retries     uint64            `json:"retries"`       // sends after the first one
		Connections uint64            `json:"connections"`   // of callers, now
		Sessions    uint64            `json:"peer-sessions"` // with other daemons, now
		Backends    uint64            `json:"backends"`      // instances in the service lists of this daemon
		Refused     map[string]uint64 `json:"refused"`       // by reason
	}

	// InForce reports which daemons have a revision in effect.
	InForce struct {
		Revision uint64            `json:"revision"`
		Author   string            `json:"author,omitempty"` // of the accepted text
		Hash     string            `json:"hash,omitempty"`   // of the accepted text, as in Revision
		Accepted bool              `json:"accepted"`         // committed by a majority
		InForce  bool              `json:"in-force"`         // on every daemon with a live lease
		Newest   uint64            `json:"newest"`           // newest accepted revision
		Daemons  int               `json:"daemons"`          // with a live lease
		Behind   int               `json:"behind"`           // of them, with an older revision
		List     []DaemonRevision  `json:"list"`             // daemons behind first, at most MaxDaemons
		Refusals []ProposalRefusal `json:"refusals,omitempty"`
	}

	// DaemonRevision is the revision in effect on one daemon according to its last heartbeat.
	DaemonRevision struct {
		Name          string    `json:"name"`
		Zone          string    `json:"availability-zone"`
		Region        string    `json:"region,omitempty"` // empty if the daemon does not report it
		Revision      uint64    `json:"revision"`
		LastHeartbeat time.Time `json:"beat"` // arrival of the last heartbeat at the leader
	}

	// ProposalRefusal is a recent proposal of the requested revision number that was not accepted.
	ProposalRefusal struct {
		Author string    `json:"author"`
		Hash   string    `json:"hash"` // of the proposed text, as in Revision
		Time   time.Time `json:"time"`
		Cause  string    `json:"cause"`
	}

	// Revision is one accepted configuration.
	Revision struct {
		Number uint64    `json:"number"`
		Author string    `json:"author"`
		Reason string    `json:"reason,omitempty"`
		Time   time.Time `json:"time"` // of acceptance
		Hash   string    `json:"hash"` // sha256:<hex> of the text
		Text   string    `json:"text,omitempty"`
	}

	// History lists accepted configurations, newest first.
	History struct {
		Revisions []Revision `json:"revisions"`
		More      bool       `json:"more"` // older revisions were left out
	}

	// Explain describes a rule with its text and its requester.
	Explain struct {
		Rule      string     `json:"rule"` // identity
		Kind      rules.Kind `json:"kind"`
		Name      string     `json:"name"`
		Revision  uint64     `json:"revision"`
		Line      int        `json:"line"`
		Requester string     `json:"requester"`
		Reason    string     `json:"reason,omitempty"`
		Text      string     `json:"text"` // canonical line
	}

	// Dump is the state of one process as tables.
	Dump struct {
		Name     string    `json:"name"`
		Time     time.Time `json:"time"`
		Sections []Section `json:"sections"`
	}

	// Section is one table of a Dump; every row has one cell per column.
	Section struct {
		Name      string     `json:"name"`
		Columns   []string   `json:"columns"`
		Rows      [][]string `json:"rows"`
		Truncated bool       `json:"truncated,omitempty"` // rows were left out
	}

	// Error is the body of every response with a status other than 200; it has the format of kratos errors.
	Error struct {
		Code    int    `json:"code"`   // HTTP status
		Reason  string `json:"reason"` // kebab case, one of the Reason constants
		Message string `json:"message"`
	}
)

const (
	// ReasonNotFound means that the revision, rule or section does not exist.
	ReasonNotFound = "not-found"
	// ReasonBadRequest means that a parameter is invalid.
	ReasonBadRequest = "bad-request"
	// ReasonNoLeader means that the daemon cannot reach a leader, which is needed to serve the request.
	ReasonNoLeader = "no-leader"
	// ReasonRefused means that the leader did not accept an order.
	ReasonRefused = "refused"
	// ReasonUnconfirmed means that it is unknown whether an order is accepted; it may be repeated.
	ReasonUnconfirmed = "unconfirmed"
)

// Error returns the reason and the message.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Reason, e.Message) }

// Check returns an error that names the first missing field.
func (e *Error) Check() error {
	if e.Code < 400 || e.Reason == "" {
		return errors.New("code or reason is missing")
	}
	return nil
}

// String returns the duration as Go text.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText returns the duration as Go text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText accepts Go duration text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration", text)
	}
	*d = Duration(parsed)
	return nil
}

// Check returns an error that names the first invalid field.
func (s *Status) Check() error {
	switch {
	case s.Name == "":
		return errors.New("name is missing")
	case !slices.Contains([]Role{RoleDaemon, RoleLearner, RoleFollower, RoleCandidate, RoleLeader, RoleFailed}, s.Role):
		return fmt.Errorf("role %q is unknown", s.Role)
	case !slices.Contains([]DrainState{DrainServing, DrainDraining, DrainDrained}, s.Drain):
		return fmt.Errorf("drain %q is unknown", s.Drain)
	}
	return nil
}

// Check returns an error that names the first invalid field.
func (f *InForce) Check() error {
	switch {
	case f.Revision == 0:
		return errors.New("revision is missing")
	case f.Behind < 0 || f.Behind > f.Daemons:
		return fmt.Errorf("behind is %d of %d daemons", f.Behind, f.Daemons)
	case len(f.List) > MaxDaemons:
		return fmt.Errorf("list has %d entries, the limit is %d", len(f.List), MaxDaemons)
	case f.InForce && !f.Accepted:
		return errors.New("in-force is set without accepted")
	}
	return nil
}

// Check returns an error that names the first invalid field.
func (r *Revision) Check() error {
	switch {
	case r.Number == 0:
		return errors.New("number is missing")
	case len(r.Text) > rules.MaxFile:
		return fmt.Errorf("text has %d bytes, the limit is %d", len(r.Text), rules.MaxFile)
	}
	return nil
}

// Check returns an error that names the first invalid revision.
func (h *History) Check() error {
	if len(h.Revisions) > MaxHistory {
		return fmt.Errorf("history has %d revisions, the limit is %d", len(h.Revisions), MaxHistory)
	}
	for i := range h.Revisions {
		if err := h.Revisions[i].Check(); err != nil {
			return fmt.Errorf("revision at index %d: %w", i, err)
		}
	}
	return nil
}

// Check returns an error that names the first missing field.
func (e *Explain) Check() error {
	if e.Rule == "" || e.Line == 0 || e.Requester == "" {
		return errors.New("rule, line or requester is missing")
	}
	return nil
}

// Check returns an error that names the first section whose rows do not fit its columns.
func (d *Dump) Check() error {
	for _, section := range d.Sections {
		for i, row := range section.Rows {
			if len(row) != len(section.Columns) {
				return fmt.Errorf("section %q row %d has %d cells for %d columns", section.Name, i, len(row), len(section.Columns))
			}
		}
	}
	return nil
}
