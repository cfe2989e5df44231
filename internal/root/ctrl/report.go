package ctrl

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

var (
	errNoLeader      = errors.New("no leader is reachable")
	errReportTooLong = errors.New("the report is too long for a message of the leader")
	errNoEvacuations = errors.New("the leader runs an earlier version, which has no evacuations")

	// ErrNotFound reports a revision or rule that does not exist.
	ErrNotFound = errors.New("not found")
)

type (
	// ReportRequest is StatusRequest, RulesRequest, DumpRequest, ZonesRequest or LeaderRequest.
	ReportRequest interface{ reportRequest() }

	// StatusRequest requests the control part of admin.Status.
	StatusRequest struct{}

	// RulesRequest requests the revision in effect on this daemon.
	RulesRequest struct{}

	// DumpRequest requests the control state as tables.
	DumpRequest struct{}

	// ZonesRequest requests the availability zones under evacuation.
	ZonesRequest struct{}

	// LeaderRequest requests a report of the leader.
	LeaderRequest struct{ Query Query }

	// inForceQuery is a query whose reply waits until a revision is in effect on all daemons.
	inForceQuery struct {
		session  *session
		id       uint64
		revision uint64
		until    time.Time
	}
)

func (StatusRequest) reportRequest() {}
func (RulesRequest) reportRequest()  {}
func (DumpRequest) reportRequest()   {}
func (ZonesRequest) reportRequest()  {}
func (LeaderRequest) reportRequest() {}

// Report returns the JSON of a report. It fails with ErrNotFound, with ErrNoReply, or when no leader is
// reachable.
func (l *Loop) Report(ctx context.Context, request ReportRequest) ([]byte, error) {
	reply := make(chan reportResult, 1)
	result, err := await(ctx, l, reportRequested{request: request, reply: reply}, reply)
	if err != nil {
		return nil, err
	}
	return result.body, result.err
}

func (l *Loop) report(now time.Time, event reportRequested) {
	switch request := event.request.(type) {
	case StatusRequest:
		event.reply <- encodeReport(l.status(now))
	case RulesRequest:
		event.reply <- l.rulesReport()
	case DumpRequest:
		event.reply <- encodeReport(l.dump(now))
	case ZonesRequest:
		l.reportZones(now, event.reply)
	case LeaderRequest:
		l.queryLeader(request.Query, event.reply)
	}
}

func encodeReport(value any) reportResult {
	body, err := json.Marshal(value)
	return reportResult{body: body, err: err}
}

func queryResult(message *QueryReply) reportResult {
	if message.TooLong {
		return reportResult{err: errReportTooLong}
	}
	if len(message.Body) == 0 {
		return reportResult{err: ErrNotFound}
	}
	return reportResult{body: message.Body}
}

func (l *Loop) queryLeader(query Query, reply chan<- reportResult) {
	d := l.daemon
	if d.session == nil {
		reply <- reportResult{err: errNoLeader}
		return
	}
	d.nextQuery++
	query.ID = d.nextQuery
	d.queryWaiters[query.ID] = reply
	l.sendToLeader(&query)
}

func (l *Loop) status(now time.Time) *admin.Status {
	d := l.daemon
	status := &admin.Status{
		Name: l.cfg.Name, Zone: l.cfg.Zone, Role: admin.RoleDaemon,
		Revision: d.rules.revision(), Fresh: now.Before(d.freshUntil), FreshUntil: d.freshUntil,
		Drain: admin.DrainServing, Started: d.started, Uptime: admin.Duration(now.Sub(d.started)),
	}
	if d.draining {
		status.Drain = admin.DrainDraining
	}
	if d.session != nil {
		status.Leader = d.session.peer
	}
	if l.voter != nil {
		member := l.voter.node.Status()
		status.Role, status.Term = roleOf(member), member.Term
		for _, voter := range member.Voters {
			status.Voters = append(status.Voters, voter.Name)
		}
		if member.Leader != "" {
			status.Leader = member.Leader
		}
	}
	return status
}

// roleOf reports a follower only when the disk of this member is admitted as a voter: the voter under its name
// may be a disk that it has lost.
func roleOf(status raft.Status) admin.Role {
	switch {
	case status.Failed != "" || status.Fenced:
		return admin.RoleFailed
	case status.Role == raft.Leader:
		return admin.RoleLeader
	case status.Role == raft.Candidate || status.Role == raft.PreCandidate:
		return admin.RoleCandidate
	case !status.Admitted:
		return admin.RoleLearner
	}
	return admin.RoleFollower
}

func (l *Loop) rulesReport() reportResult {
	current := &l.daemon.rules
	if current.set == nil {
		return reportResult{err: ErrNotFound}
	}
	return encodeReport(&admin.Revision{
		Number: current.set.Revision, Author: current.set.Author, Reason: current.set.Reason,
		Hash: hashText(current.hash), Text: string(current.text),
	})
}

// handleQuery replies to a query of a daemon; the reply to QueryInForce may follow later.
func (ls *leaderState) handleQuery(now time.Time, l *Loop, s *session, query *Query) {
	machine := l.voter.machine
	var report any
	switch query.Kind {
	case QueryInForce:
		ls.inForceQueries = append(ls.inForceQueries, inForceQuery{
			session: s, id: query.ID, revision: query.Revision, until: now.Add(min(query.Wait, admin.MaxWait)),
		})
		ls.nextInForceCheck = now
		ls.replyToInForceQueries(now, l)
		return
	case QueryHistory:
		report = l.historyOf(machine, int(query.Limit))
	case QueryRevision:
		if revision := machine.Revision(query.Revision); revision != nil {
			report = l.revisionOf(revision, true)
		}
	case QueryZones:
		report = zonesReport(machine)
	case QueryLeaderDump:
		report = ls.sections(now)
	}
	reply := &QueryReply{ID: query.ID}
	if report != nil {
		reply.Body, _ = json.Marshal(report)
	}
	l.sendToDaemon(s, reply)
}

// replyToInForceQueries replies to the queries whose revision is in effect on all daemons or whose time is
// over, and returns the time of the next check.
func (ls *leaderState) replyToInForceQueries(now time.Time, l *Loop) time.Time {
	if len(ls.inForceQueries) == 0 {
		return now.Add(maxWakeInterval)
	}
	if now.Before(ls.nextInForceCheck) {
		return ls.nextInForceCheck
	}
	newest := l.voter.revision()
	ls.inForceQueries = slices.DeleteFunc(ls.inForceQueries, func(query inForceQuery) bool {
		revision := query.revision
		if revision == 0 {
			revision = newest
		}
		if now.Before(query.until) && (revision == 0 || revision > newest || !ls.registry.AllReached(now, revision)) {
			return false
		}
		body, _ := json.Marshal(ls.inForceReport(now, l, query.revision))
		l.sendToDaemon(query.session, &QueryReply{ID: query.id, Body: body})
		return true
	})
	ls.nextInForceCheck = now.Add(inForceCheckInterval)
	return ls.nextInForceCheck
}

func (ls *leaderState) inForceReport(now time.Time, l *Loop, revision uint64) *admin.InForce {
	newest := l.voter.revision()
	if revision == 0 {
		revision = newest
	}
	behind, daemons := ls.registry.DaemonsBehind(now, revision)
	report := &admin.InForce{
		Revision: revision, Newest: newest, Accepted: revision <= newest && revision > 0,
		Daemons: daemons, Behind: len(behind), List: []admin.DaemonRevision{},
	}
	report.InForce = report.Accepted && report.Behind == 0
	if accepted := l.voter.machine.Revision(revision); accepted != nil {
		report.Author, report.Hash = accepted.Author, hashText(accepted.Hash)
	}
	isBehind := make(map[string]bool, len(behind))
	for _, daemon := range behind {
		isBehind[daemon] = true
	}
	addresses := slices.SortedFunc(maps.Keys(ls.heartbeats), func(a, b string) int {
		if isBehind[a] != isBehind[b] {
			if isBehind[a] {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	for _, address := range addresses[:min(len(addresses), admin.MaxDaemons)] {
		heartbeat := ls.heartbeats[address]
		report.List = append(report.List, admin.DaemonRevision{Name: heartbeat.name, Zone: heartbeat.zone, Region: heartbeat.region, Revision: heartbeat.revision, LastHeartbeat: heartbeat.at})
	}
	for _, refusal := range ls.refusals {
		if refusal.number == revision {
			report.Refusals = append(report.Refusals, admin.ProposalRefusal{
				Author: refusal.author, Time: refusal.at, Cause: refusal.cause, Hash: hashText(refusal.hash),
			})
		}
	}
	return report
}

// hashText formats the hash of a rules text for reports.
func hashText(hash []byte) string { return "sha256:" + hex.EncodeToString(hash) }

func (l *Loop) historyOf(machine *state.Machine, limit int) *admin.History {
	history := &admin.History{Revisions: []admin.Revision{}}
	for i := len(machine.Revisions) - 1; i >= 0; i-- {
		if len(history.Revisions) == limit {
			history.More = true
			break
		}
		history.Revisions = append(history.Revisions, *l.revisionOf(machine.Revisions[i], false))
	}
	return history
}

func (l *Loop) revisionOf(revision *state.Revision, withText bool) *admin.Revision {
	report := &admin.Revision{
		Number: revision.Number, Author: revision.Author, Time: revision.Since.Time(),
		Hash: hashText(revision.Hash),
	}
	if withText {
		report.Text = string(revision.Text)
	}
	if line, _, found := bytes.Cut(revision.Text, []byte("\n")); found {
		if set, err := l.cfg.Parse("rules", revision.Text); err == nil && len(line) > 0 {
			report.Reason = set.Reason
		}
	}
	return report
}

// dump returns the control state as tables. It must not include keys or secrets.
func (l *Loop) dump(now time.Time) []admin.Section {
	d := l.daemon
	sections := []admin.Section{
		{Name: "control", Columns: []string{"field", "value"}, Rows: [][]string{
			{"revision", strconv.FormatUint(d.rules.revision(), 10)},
			{"fresh-for", d.freshUntil.Sub(now).Round(time.Millisecond).String()},
			{"leader-address", leaderAddress(d.session)},
			{"unanswered-beats", strconv.Itoa(len(d.unansweredHeartbeats))},
			{"waiting-for-tokens", strconv.Itoa(len(d.tokenWaiters))},
			{"pending-once", strconv.Itoa(len(d.onceQueue.pending))},
			{"bytes-to-leader", strconv.FormatUint(l.bytesSent, 10)},
			{"bytes-from-leader", strconv.FormatUint(l.bytesReceived.Load(), 10)},
			{"invalid-messages", strconv.FormatUint(l.invalidMessages.Load(), 10)},
			{"draining", strconv.FormatBool(d.draining)},
		}},
	}
	views := admin.Section{Name: "views", Columns: []string{"service", "instance", "zone", "incarnation", "leaving", "region"}}
	for _, service := range slices.Sorted(maps.Keys(d.views.Services)) {
		for _, e := range d.views.Services[service] {
			views.Rows = append(views.Rows, []string{service, e.ID, e.Zone, strconv.FormatUint(e.Incarnation, 10), strconv.FormatBool(e.Leaving), e.Region})
		}
	}
	quarantine := admin.Section{Name: "quarantine", Columns: []string{"fingerprint", "until"}}
	for _, fingerprint := range slices.Sorted(maps.Keys(d.quarantine)) {
		quarantine.Rows = append(quarantine.Rows, []string{fingerprint, d.quarantine[fingerprint].Time().Format(time.RFC3339)})
	}
	sections = append(sections, views, quarantine, zonesSection(&d.zones))
	if l.voter != nil {
		sections = append(sections, l.voter.section())
		if l.voter.leader != nil {
			sections = append(sections, l.voter.leader.sections(now)...)
		}
	}
	return sections
}

func leaderAddress(s *session) string {
	if s == nil {
		return "none"
	}
	return s.remote
}

func (v *voterState) section() admin.Section {
	status := v.node.Status()
	voters := make([]string, 0, len(status.Voters))
	for _, voter := range status.Voters {
		voters = append(voters, voter.Name)
	}
	return admin.Section{Name: "consensus", Columns: []string{"field", "value"}, Rows: [][]string{
		{"role", status.Role.String()},
		{"term", strconv.FormatUint(status.Term, 10)},
		{"leader", status.Leader},
		{"voters", strings.Join(voters, " ")},
		{"commit", strconv.FormatUint(status.Commit, 10)},
		{"applied", strconv.FormatUint(status.Applied, 10)},
		{"last", strconv.FormatUint(status.Last, 10)},
		{"snapshot", strconv.FormatUint(status.Snapshot, 10)},
		{"boot", strconv.FormatUint(status.Boot, 10)},
		{"admitted", strconv.FormatBool(status.Admitted)},
		{"failed", status.Failed},
		{"pending-proposals", strconv.Itoa(len(v.proposals))},
	}}
}

func (ls *leaderState) sections(now time.Time) []admin.Section {
	daemons := admin.Section{Name: "daemons", Columns: []string{"daemon", "name", "zone", "revision", "last-beat", "bytes-sent"}}
	for _, address := range slices.Sorted(maps.Keys(ls.heartbeats)) {
		heartbeat := ls.heartbeats[address]
		sent := "closed"
		if s := ls.sessions[address]; s != nil {
			sent = strconv.FormatUint(s.queuedBytes, 10)
		}
		daemons.Rows = append(daemons.Rows, []string{
			address, heartbeat.name, heartbeat.zone, strconv.FormatUint(heartbeat.revision, 10),
			fmt.Sprint(now.Sub(heartbeat.at).Round(time.Millisecond)), sent,
		})
	}
	leader := admin.Section{Name: "leader", Columns: []string{"field", "value"}, Rows: [][]string{
		{"term", strconv.FormatUint(ls.term, 10)},
		{"grants", strconv.FormatUint(ls.grants, 10)},
		{"recalls", strconv.FormatUint(ls.recalls, 10)},
		{"refused-proposals", strconv.Itoa(len(ls.refusals))},
	}}
	return []admin.Section{leader, daemons}
}
