package ctrl

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/limit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	maxRevisionsBehind = 64 // revisions; a daemon further behind receives the whole text
	maxChangesPerStep  = 512

	// viewInterval is the least time between two passes over the changed views. While many daemons start, each
	// announcement changes the views of all that call its service.
	viewInterval = 100 * time.Millisecond

	expiryCheckInterval = time.Second
	// inForceCheckInterval bounds how often the revisions of all daemons are checked for pending queries: a
	// check takes 0.1 ms at 8,800 daemons, and 17,600 heartbeats arrive per second.
	inForceCheckInterval = 20 * time.Millisecond
	maxRefusalsKept      = 32

	// warmUp is how long a new leader waits for daemons to announce their instances before it replaces the
	// views that daemons have from its predecessor. Until then its registry is incomplete.
	warmUp = 2 * time.Second
)

type (
	// configFrameKey identifies an encoded Config message by its base revision and by whether it is compressed.
	configFrameKey struct {
		base       uint64
		compressed bool
	}

	// leaderState is the state of the leader that is not replicated; it is empty at the start of each term.
	// The loop owns it.
	leaderState struct {
		term             uint64
		tokenOwner       *limit.Owner
		registry         *member.Registry
		crashReports     *crash.Collector
		configFrames     map[configFrameKey]wire.Frame // encoded Config messages for the accepted revision
		sessions         map[string]*session           // of joined daemons, by peer address
		heartbeats       map[string]lastHeartbeat
		inForceQueries   []inForceQuery
		nextInForceCheck time.Time // when pending in-force queries are checked next
		refusals         []proposalRefusal
		nextExpiryCheck  time.Time
		warmUpEnd        time.Time // zero once the registry counts as complete
		nextViews        time.Time // when the views are compared next
		grants           uint64
		recalls          uint64
	}

	// lastHeartbeat is the latest heartbeat of a daemon.
	lastHeartbeat struct {
		name     string
		zone     string
		region   string
		revision uint64
		at       time.Time
	}

	proposalRefusal struct {
		author string
		number uint64
		hash   []byte
		at     time.Time
		cause  string
	}
)

func (l *Loop) becomeLeader(now time.Time, term uint64) {
	v := l.voter
	lead := &leaderState{
		term:            term,
		tokenOwner:      limit.NewOwner(now, term, l.acceptedLimits()),
		registry:        member.NewRegistry(),
		crashReports:    crash.NewCollector(),
		configFrames:    map[configFrameKey]wire.Frame{},
		sessions:        map[string]*session{},
		heartbeats:      map[string]lastHeartbeat{},
		nextExpiryCheck: now.Add(expiryCheckInterval),
		warmUpEnd:       now.Add(warmUp),
	}
	if l.cfg.DynamicMembership {
		lead.tokenOwner.RefillAtOnce()
	}
	for _, running := range v.machine.RunningDaemons() {
		lead.registry.Expect(now, running.Daemon, running.Boot)
	}
	lead.setEvacuations(v.machine)
	v.leader = lead
	l.log.Info().Uint64("term", term).Msg("became-leader")
}

func (l *Loop) stepDown(term uint64) {
	v := l.voter
	v.leader = nil
	l.log.Warn().Uint64("term", term).Msg("stepped-down")
	for s := range v.sessions {
		l.redirect(s)
	}
}

// acceptedLimits returns the rate limits of the accepted configuration.
func (l *Loop) acceptedLimits() []limit.Limit {
	current := l.voter.machine.CurrentRevision()
	if current == nil {
		return nil
	}
	set, err := l.parseRules("rules", current.Text)
	if err != nil {
		l.log.Error().Uint64("revision", current.Number).Err(err).Msg("accepted-rules-unreadable")
		return nil
	}
	return limitsOf(set)
}

// redirect sends a daemon the address of the leader.
func (l *Loop) redirect(s *session) {
	leader := l.voter.node.Status().Leader
	address := ""
	if leader != l.voter.name {
		address = l.voter.address(leader)
	}
	l.sendToDaemon(s, &Redirect{Leader: address})
}

func (l *Loop) sendToDaemon(s *session, message LeaderMessage) {
	frame, err := encodeLeaderMessage(message)
	if report, ok := message.(*QueryReply); ok && errors.Is(err, wire.ErrFrameTooLarge) {
		frame, err = encodeLeaderMessage(&QueryReply{ID: report.ID, TooLong: true})
	}
	if err != nil {
		l.log.Error().Err(err).Msg("control-message-not-sent")
		return
	}
	s.sendCounted(frame)
}

// handleDaemonMessage handles a message of a daemon. A leader without a valid lease does not reply, because
// another leader may already have accepted a change.
func (l *Loop) handleDaemonMessage(now time.Time, s *session, message DaemonMessage) {
	lead := l.voter.leader
	if lead == nil {
		l.redirect(s)
		return
	}
	if !l.voter.node.LeaseHeld(now) {
		return
	}
	if join, ok := message.(*Join); ok {
		lead.handleJoin(now, l, s, join)
		return
	}
	if s.join == nil || lead.sessions[s.join.Daemon] != s {
		// The stream is from an earlier term, or the daemon has opened a later one.
		s.close()
		return
	}
	daemon := s.join.Daemon
	switch message := message.(type) {
	case heartbeatMessage:
		lead.handleHeartbeat(now, l, s, message.Heartbeat)
	case announceMessage:
		if err := lead.registry.Announce(now, daemon, message.Announce); err != nil {
			l.log.Warn().Str("daemon", daemon).Str("instance", message.Announce.Instance.ID).Err(err).Msg("announcement-refused")
		}
	case leaveMessage:
		lead.registry.Leave(now, daemon, message.Leave)
	case subscriptionMessage:
		s.subscription = message.Subscription
		lead.registry.Subscribe(daemon, message.Subscription)
	case tokenRequestMessage:
		lead.stepOwner(now, l, &limit.TokensRequested{Holder: daemon, Request: message.TokenRequest})
	case *OnceCall:
		l.proposeOnce(now, s, message)
	case *CrashReport:
		lead.handleCrashReport(now, l, message)
	case *Propose:
		l.proposeConfig(now, s, message)
	case *OrderCall:
		l.proposeOrder(now, message.Order, remoteZoneProposer{session: s, id: message.ID})
	case *Query:
		lead.handleQuery(now, l, s, message)
	}
}

func (ls *leaderState) handleJoin(now time.Time, l *Loop, s *session, join *Join) {
	if old := ls.sessions[join.Daemon]; old != nil && old != s {
		old.close()
	}
	s.join = join
	ls.sessions[join.Daemon] = s
	ls.registry.Join(now, join.Daemon, join.Zone, join.Boot)
	ls.registry.Hold(join.Daemon, join.Views && !ls.warmUpEnd.IsZero())
	machine := l.voter.machine
	if revision := machine.Revision(join.Revision); revision != nil && bytes.Equal(revision.Hash, join.Hash) {
		s.sentRevision = join.Revision
	}
	ls.sendEvacuations(l, s) // first, so that the daemon applies no configuration without it
	ls.sendConfig(l, s)
	l.sendToDaemon(s, quarantineList(machine))
	l.log.Debug().Str("daemon", join.Daemon).Msg("daemon-joined")
}

func (ls *leaderState) handleHeartbeat(now time.Time, l *Loop, s *session, heartbeat *member.Heartbeat) {
	lease, joined := ls.registry.Heartbeat(now, s.join.Daemon, heartbeat)
	if !joined {
		s.close()
		return
	}
	ls.heartbeats[s.join.Daemon] = lastHeartbeat{name: s.peer, zone: s.join.Zone, region: s.join.Region, revision: heartbeat.Revision, at: now}
	lease.Revision = l.voter.revision()
	l.sendToDaemon(s, leaseMessage{&lease})
	if l.cfg.DynamicMembership && s.sentMembership != l.voter.node.MembershipIndex() {
		s.sentMembership = l.voter.node.MembershipIndex()
		l.sendToDaemon(s, &Members{Addresses: l.memberAddresses()})
	}
}

// handleDisconnect removes the session of a daemon; its instances stay registered until its lease ends.
func (ls *leaderState) handleDisconnect(now time.Time, l *Loop, s *session) {
	if s.join == nil || ls.sessions[s.join.Daemon] != s {
		return
	}
	delete(ls.sessions, s.join.Daemon)
	ls.stepOwner(now, l, &limit.HolderGone{Holder: s.join.Daemon})
}

// stepOwner passes an event to the owner of the token buckets and sends the resulting messages.
func (ls *leaderState) stepOwner(now time.Time, l *Loop, event limit.OwnerEvent) {
	for _, action := range ls.tokenOwner.Step(now, event) {
		switch action := action.(type) {
		case *limit.SendGrant:
			if !l.voter.node.LeaseHeld(now) {
				// Another leader may already grant tokens. The tokens of this grant count as outstanding here.
				continue
			}
			ls.grants++
			if s := ls.sessions[action.Holder]; s != nil {
				l.sendToDaemon(s, grantMessage{action.Grant})
			}
		case *limit.SendRecall:
			ls.recalls++
			if s := ls.sessions[action.Holder]; s != nil {
				l.sendToDaemon(s, recallMessage{action.Recall})
			}
		}
	}
}

func (l *Loop) proposeOnce(now time.Time, s *session, message *OnceCall) {
	origin := onceProposer{session: s, id: message.ID}
	if begin := message.Begin; begin != nil {
		begin.At = l.voter.machine.CommandTime(now)
		l.propose(now, begin, origin)
		return
	}
	message.Finish.At = l.voter.machine.CommandTime(now)
	l.propose(now, message.Finish, origin)
}

// proposeConfig checks a text before it proposes it. The state machine does not check it, because voters with
// different versions of the check would reach different states.
func (l *Loop) proposeConfig(now time.Time, s *session, message *Propose) {
	origin := configProposer{session: s, number: message.Number, hash: message.Hash, author: message.Author}
	if err := l.validateRules(message.Text); err != nil {
		l.replyToProposer(origin, &state.ConfigRefused{
			Reason: state.TextInvalid, Number: message.Number, InForce: l.voter.revision(), Detail: err.Error(),
		})
		return
	}
	command := &state.ProposeConfig{
		Number: message.Number, Text: message.Text, Author: rules.ShortName(message.Author, state.MaxAuthor),
		Origin: s.peer, Hash: message.Hash, At: l.voter.machine.CommandTime(now),
	}
	l.replaceByDifference(command, message.Number-1)
	l.propose(now, command, origin)
}

// replaceByDifference replaces the text of a proposal by a difference if base is in effect. This keeps the log
// small: at thousands of changes a day whole texts would take gigabytes.
func (l *Loop) replaceByDifference(command *state.ProposeConfig, base uint64) {
	current := l.voter.machine.CurrentRevision()
	if current == nil || current.Number != base {
		return
	}
	if hunks, ok := state.Diff(current.Text, command.Text); ok {
		command.Hunks, command.Text = hunks, nil
	}
}

func (ls *leaderState) handleCrashReport(now time.Time, l *Loop, report *CrashReport) {
	for _, fingerprint := range report.Fingerprints {
		if report.Cleared {
			ls.crashReports.Clear(fingerprint)
			continue
		}
		quarantine, ok := ls.crashReports.Report(now, fingerprint, report.Incarnation)
		if !ok {
			continue
		}
		l.log.Warn().Str("fingerprint", fingerprint).Time("until", quarantine.Until.Time()).Msg("request-quarantined")
		l.propose(now, &state.QuarantineAdd{
			Fingerprint: fingerprint, For: quarantine.Until.Sub(wire.StampOf(now)), At: l.voter.machine.CommandTime(now),
		}, leaderProposer{})
	}
}

// sendConfigToAll sends the accepted configuration to every joined daemon.
func (ls *leaderState) sendConfigToAll(now time.Time, l *Loop) {
	ls.stepOwner(now, l, &limit.SetLimits{Limits: l.acceptedLimits()})
	clear(ls.configFrames)
	for _, s := range ls.sessions {
		ls.sendConfig(l, s)
	}
}

// sendConfig sends a daemon the accepted revision if the last one sent to it differs. Daemons with the same
// last revision share one frame: when an availability zone returns, 1,467 copies of the rules would otherwise
// be queued at once. Only these frames are compressed: views differ from daemon to daemon, and compressing them
// took a new leader of 184 daemons so long that it lost its lease.
func (ls *leaderState) sendConfig(l *Loop, s *session) {
	machine := l.voter.machine
	current := machine.CurrentRevision()
	if current == nil || s.sentRevision == current.Number {
		return
	}
	key := configFrameKey{base: s.sentRevision, compressed: s.join.Decompresses}
	frame, ok := ls.configFrames[key]
	if !ok {
		var err error
		if frame, err = encodeLeaderMessage(configMessage(machine, s.sentRevision, current)); err != nil {
			l.log.Error().Err(err).Msg("control-message-not-sent")
			return
		}
		if key.compressed {
			frame = wire.Compress(frame)
		}
		ls.configFrames[key] = frame
	}
	s.sendCounted(frame)
	s.sentRevision = current.Number
}

// configMessage returns a difference from revision base if it is available and base is recent enough,
// otherwise the whole text.
func configMessage(machine *state.Machine, base uint64, current *state.Revision) *Config {
	message := &Config{Number: current.Number, Hash: current.Hash}
	baseRevision := machine.Revision(base)
	if baseRevision != nil && baseRevision.Text != nil && current.Number-base <= maxRevisionsBehind {
		if hunks, ok := state.Diff(baseRevision.Text, current.Text); ok {
			message.Base, message.Hunks = base, hunks
			return message
		}
	}
	message.Text = current.Text
	return message
}

func (ls *leaderState) sendQuarantineToAll(l *Loop) {
	list := quarantineList(l.voter.machine)
	for _, s := range ls.sessions {
		l.sendToDaemon(s, list)
	}
}

func quarantineList(machine *state.Machine) *QuarantineList {
	list := &QuarantineList{}
	for _, entry := range machine.Quarantined() {
		list.Entries = append(list.Entries, crash.Quarantine{Fingerprint: entry.Fingerprint, Until: entry.Until})
	}
	return list
}

// recordRefusal stores a refusal for reports to operators. A refusal of the same text under the same number
// replaces the earlier one.
func (ls *leaderState) recordRefusal(now time.Time, proposed configProposer, refused *state.ConfigRefused) {
	ls.refusals = slices.DeleteFunc(ls.refusals, func(refusal proposalRefusal) bool {
		return refusal.number == proposed.number && bytes.Equal(refusal.hash, proposed.hash)
	})
	if len(ls.refusals) >= maxRefusalsKept {
		ls.refusals = ls.refusals[1:]
	}
	ls.refusals = append(ls.refusals, proposalRefusal{
		author: proposed.author, number: refused.Number, hash: proposed.hash, at: now, cause: refusalText(refused),
	})
}

// runDue runs timers that are due on the leader and returns the time of the next one.
func (ls *leaderState) runDue(now time.Time, l *Loop) time.Time {
	if !l.voter.node.LeaseHeld(now) {
		return now.Add(maxWakeInterval)
	}
	next := now.Add(maxWakeInterval)
	if due, ok := ls.tokenOwner.Deadline(); ok {
		if !due.After(now) {
			ls.stepOwner(now, l, &limit.Wake{})
		}
		if due, ok = ls.tokenOwner.Deadline(); ok {
			next = earliest(next, due)
		}
	}
	next = earliest(next, ls.updateRegistry(now, l))
	if !ls.warmUpEnd.IsZero() {
		next = earliest(next, ls.warmUpEnd)
	}
	ls.proposeExpiry(now, l)
	next = earliest(next, ls.replyToInForceQueries(now, l))
	return earliest(next, ls.nextExpiryCheck)
}

func (ls *leaderState) updateRegistry(now time.Time, l *Loop) time.Time {
	if due, ok := ls.registry.Deadline(); ok && !due.After(now) {
		for _, gone := range ls.registry.Expire(now) {
			l.log.Warn().Str("daemon", gone.Daemon).Msg("daemon-gone")
			if now.Sub(ls.heartbeats[gone.Daemon].at) >= member.GoneAfter { // otherwise a later start sent this heartbeat
				delete(ls.heartbeats, gone.Daemon)
			}
			l.propose(now, &state.DaemonGone{Daemon: gone.Daemon, Boot: gone.Boot, At: l.voter.machine.CommandTime(now)}, leaderProposer{})
		}
	}
	ls.endWarmUp(now)
	next := now.Add(maxWakeInterval)
	if due, ok := ls.registry.Deadline(); ok {
		next = due
	}
	switch {
	case !ls.registry.HasChanges():
		return next
	case now.Before(ls.nextViews):
		return earliest(next, ls.nextViews)
	}
	if ls.sendChanges(l) {
		return now
	}
	ls.nextViews = now.Add(viewInterval)
	return next
}

// sendChanges sends the changes of some views and reports whether more may have changed.
func (ls *leaderState) sendChanges(l *Loop) (more bool) {
	changes, more := ls.registry.Changes(maxChangesPerStep)
	for i := range changes {
		if s := ls.sessions[changes[i].Daemon]; s != nil {
			l.sendToDaemon(s, changeMessage{&changes[i].Change})
		}
	}
	return more
}

// endWarmUp queues full views for the daemons whose changes were held back during the warm-up.
func (ls *leaderState) endWarmUp(now time.Time) {
	if ls.warmUpEnd.IsZero() || now.Before(ls.warmUpEnd) {
		return
	}
	ls.warmUpEnd = time.Time{}
	for name, s := range ls.sessions {
		ls.registry.Hold(name, false)
		if s.join.Views && s.subscription != nil {
			ls.registry.Subscribe(name, s.subscription)
		}
	}
}

// proposeExpiry proposes a Tick when entries of the replicated state are due to expire and no other command
// has advanced its time.
func (ls *leaderState) proposeExpiry(now time.Time, l *Loop) {
	if now.Before(ls.nextExpiryCheck) {
		return
	}
	ls.nextExpiryCheck = now.Add(expiryCheckInterval)
	if due, ok := l.voter.machine.NextExpiry(); ok && due <= l.voter.machine.CommandTime(now) {
		l.propose(now, &state.Tick{At: l.voter.machine.CommandTime(now)}, leaderProposer{})
	}
}
