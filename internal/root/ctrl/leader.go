package ctrl

import (
	"bytes"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/limit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	maxBehind      = 64 // revisions; a daemon further behind gets the whole text
	changesPerStep = 512
	expiryInterval = time.Second
	// waitsInterval bounds how often the daemons are looked at for a pending wait, because that takes
	// 0.1 ms at 8,800 daemons and 17,600 beats arrive in a second.
	waitsInterval   = 20 * time.Millisecond
	maxRefusalsKept = 32

	// warmUp is how long a new leader waits for daemons to announce their instances before it replaces the
	// views that daemons have from its predecessor; until then the registry is incomplete.
	warmUp = 2 * time.Second
)

type (
	// leaderState is the soft state of the leader; it begins empty with each term. The loop owns it.
	leaderState struct {
		term       uint64
		owner      *limit.Owner
		registry   *member.Registry
		docket     *crash.Docket
		configs    map[uint64]wire.Frame // encoded Config to the accepted revision, by base revision
		daemons    map[string]*session   // joined daemons by peer address
		beats      map[string]daemonBeat
		waits      []inForceWait
		nextWaits  time.Time // when the waits are looked at next
		refusals   []proposalRefusal
		nextExpiry time.Time
		warmUntil  time.Time // zero once the registry counts as complete
		grants     uint64
		recalls    uint64
	}

	// daemonBeat is what the leader saw last of a daemon.
	daemonBeat struct {
		name     string
		zone     string
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
		term:       term,
		owner:      limit.NewOwner(now, term, l.acceptedLimits()),
		registry:   member.NewRegistry(),
		docket:     crash.NewDocket(),
		configs:    map[uint64]wire.Frame{},
		daemons:    map[string]*session{},
		beats:      map[string]daemonBeat{},
		nextExpiry: now.Add(expiryInterval),
		warmUntil:  now.Add(warmUp),
	}
	if l.cfg.Open {
		lead.owner.RefillAtOnce()
	}
	for _, running := range v.machine.RunningDaemons() {
		lead.registry.Expect(now, running.Daemon, running.Boot)
	}
	v.lead = lead
	l.log.Info().Uint64("term", term).Msg("became-leader")
}

func (l *Loop) stepDown(term uint64) {
	v := l.voter
	v.lead = nil
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

// redirect tells a daemon where the leader is.
func (l *Loop) redirect(s *session) {
	leader := l.voter.node.Status().Leader
	address := ""
	if leader != l.voter.name {
		address = l.voter.address(leader)
	}
	l.sendDown(s, &Redirect{Leader: address})
}

func (l *Loop) sendDown(s *session, message Down) {
	frame, err := encodeDown(message)
	if err != nil {
		l.log.Error().Err(err).Msg("control-message-not-sent")
		return
	}
	s.queueFrame(frame)
}

// handleUp handles a message of a daemon. Without its own lease this member answers nothing: another
// leader may already have accepted a change.
func (l *Loop) handleUp(now time.Time, s *session, message Up) {
	lead := l.voter.lead
	if lead == nil {
		l.redirect(s)
		return
	}
	if !l.voter.node.LeaseHeld(now) {
		return
	}
	if join, ok := message.(*Join); ok {
		lead.join(now, l, s, join)
		return
	}
	if s.join == nil || lead.daemons[s.join.Daemon] != s {
		// The stream belongs to an earlier term or was replaced by a later one of the same daemon.
		s.close()
		return
	}
	daemon := s.join.Daemon
	switch message := message.(type) {
	case beatUp:
		lead.beat(now, l, s, message.Beat)
	case announceUp:
		lead.registry.Announce(now, daemon, message.Announce)
	case leaveUp:
		lead.registry.Leave(now, daemon, message.Leave)
	case wantUp:
		s.want = message.Want
		lead.registry.Want(daemon, message.Want)
	case askUp:
		lead.stepOwner(now, l, &limit.Asked{Holder: daemon, Ask: message.TokenAsk})
	case *OnceCall:
		l.proposeOnce(now, s, message)
	case *CrashReport:
		lead.crashed(now, l, message)
	case *Propose:
		l.proposeConfig(now, s, message)
	case *Query:
		lead.query(now, l, s, message)
	}
}

func (d *leaderState) join(now time.Time, l *Loop, s *session, join *Join) {
	if old := d.daemons[join.Daemon]; old != nil && old != s {
		old.close()
	}
	s.join = join
	d.daemons[join.Daemon] = s
	d.registry.Join(now, join.Daemon, join.Zone, join.Boot)
	machine := l.voter.machine
	if known := machine.Revision(join.Revision); known != nil && bytes.Equal(known.Hash, join.Hash) {
		s.sent = join.Revision
	}
	d.sendConfig(l, s)
	l.sendDown(s, quarantineList(machine))
	l.log.Debug().Str("daemon", join.Daemon).Msg("daemon-joined")
}

func (d *leaderState) beat(now time.Time, l *Loop, s *session, beat *member.Beat) {
	lease, known := d.registry.Beat(now, s.join.Daemon, beat)
	if !known {
		s.close()
		return
	}
	d.beats[s.join.Daemon] = daemonBeat{name: s.peer, zone: s.join.Zone, revision: beat.Revision, at: now}
	lease.Revision = l.voter.revision()
	l.sendDown(s, leaseDown{&lease})
	if l.cfg.Open && s.members != l.voter.node.MembershipIndex() {
		s.members = l.voter.node.MembershipIndex()
		l.sendDown(s, &Members{Addresses: l.memberAddresses()})
	}
}

// closed ends the stream of a daemon; its instances stay until its lease ends.
func (d *leaderState) closed(now time.Time, l *Loop, s *session) {
	if s.join == nil || d.daemons[s.join.Daemon] != s {
		return
	}
	delete(d.daemons, s.join.Daemon)
	d.stepOwner(now, l, &limit.HolderGone{Holder: s.join.Daemon})
}

// stepOwner passes an event to the owner of the token buckets and sends what it asks for.
func (d *leaderState) stepOwner(now time.Time, l *Loop, event limit.OwnerEvent) {
	for _, action := range d.owner.Step(now, event) {
		switch action := action.(type) {
		case *limit.SendGrant:
			if !l.voter.node.LeaseHeld(now) {
				continue // another leader may grant already; the tokens count as outstanding here
			}
			d.grants++
			if s := d.daemons[action.Holder]; s != nil {
				l.sendDown(s, grantDown{action.Grant})
			}
		case *limit.SendRecall:
			d.recalls++
			if s := d.daemons[action.Holder]; s != nil {
				l.sendDown(s, recallDown{action.Recall})
			}
		}
	}
}

func (l *Loop) proposeOnce(now time.Time, s *session, message *OnceCall) {
	waiting := onceProposal{session: s, id: message.ID}
	if begin := message.Begin; begin != nil {
		begin.At = l.voter.machine.CommandTime(now)
		l.propose(now, begin, waiting)
		return
	}
	message.Finish.At = l.voter.machine.CommandTime(now)
	l.propose(now, message.Finish, waiting)
}

// proposeConfig checks a text before it is proposed. The state machine does not check it again, because
// voters that run different versions of the check would then hold different states.
func (l *Loop) proposeConfig(now time.Time, s *session, message *Propose) {
	waiting := configProposal{session: s, number: message.Number, hash: message.Hash, author: message.Author}
	if err := l.validate(message.Text); err != nil {
		l.answerProposal(waiting, &state.ConfigRefused{
			Reason: state.TextInvalid, Number: message.Number, InForce: l.voter.revision(), Detail: err.Error(),
		})
		return
	}
	command := &state.ProposeConfig{
		Number: message.Number, Text: message.Text, Author: message.Author,
		Origin: s.peer, Hash: message.Hash, At: l.voter.machine.CommandTime(now),
	}
	l.shorten(command, message.Number-1)
	l.propose(now, command, waiting)
}

// shorten replaces the text of a proposal by a difference if base is in force, which keeps the log small: at
// thousands of changes a day whole texts would fill gigabytes.
func (l *Loop) shorten(command *state.ProposeConfig, base uint64) {
	current := l.voter.machine.CurrentRevision()
	if current == nil || current.Number != base {
		return
	}
	if hunks, ok := state.Diff(current.Text, command.Text); ok {
		command.Hunks, command.Text = hunks, nil
	}
}

func (d *leaderState) crashed(now time.Time, l *Loop, report *CrashReport) {
	for _, fingerprint := range report.Fingerprints {
		if report.Cleared {
			d.docket.Clear(fingerprint)
			continue
		}
		quarantine, ok := d.docket.Report(now, fingerprint, report.Incarnation)
		if !ok {
			continue
		}
		l.log.Warn().Str("fingerprint", fingerprint).Time("until", quarantine.Until.Time()).Msg("request-quarantined")
		l.propose(now, &state.QuarantineAdd{
			Fingerprint: fingerprint, For: quarantine.Until.Sub(wire.StampOf(now)), At: l.voter.machine.CommandTime(now),
		}, ownProposal{})
	}
}

// configChanged sends the accepted configuration to every joined daemon.
func (d *leaderState) configChanged(now time.Time, l *Loop) {
	d.stepOwner(now, l, &limit.SetLimits{Limits: l.acceptedLimits()})
	clear(d.configs)
	for _, s := range d.daemons {
		d.sendConfig(l, s)
	}
}

// sendConfig brings a daemon from the revision sent last to the accepted one. Daemons on the same revision
// share one frame: when an availability zone returns, 1,467 copies of the rules would wait at once.
func (d *leaderState) sendConfig(l *Loop, s *session) {
	machine := l.voter.machine
	current := machine.CurrentRevision()
	if current == nil || s.sent == current.Number {
		return
	}
	frame, ok := d.configs[s.sent]
	if !ok {
		var err error
		if frame, err = encodeDown(configMessage(machine, s.sent, current)); err != nil {
			l.log.Error().Err(err).Msg("control-message-not-sent")
			return
		}
		d.configs[s.sent] = frame
	}
	s.queueFrame(frame)
	s.sent = current.Number
}

// configMessage returns a difference from base where that is possible, else the whole text.
func configMessage(machine *state.Machine, base uint64, current *state.Revision) *Config {
	message := &Config{Number: current.Number, Hash: current.Hash}
	known := machine.Revision(base)
	if known != nil && known.Text != nil && current.Number-base <= maxBehind {
		if hunks, ok := state.Diff(known.Text, current.Text); ok {
			message.Base, message.Hunks = base, hunks
			return message
		}
	}
	message.Text = current.Text
	return message
}

func (d *leaderState) quarantineChanged(l *Loop) {
	list := quarantineList(l.voter.machine)
	for _, s := range d.daemons {
		l.sendDown(s, list)
	}
}

func quarantineList(machine *state.Machine) *QuarantineList {
	list := &QuarantineList{}
	for _, entry := range machine.Quarantined() {
		list.Entries = append(list.Entries, crash.Quarantine{Fingerprint: entry.Fingerprint, Until: entry.Until})
	}
	return list
}

// noteRefusal keeps a refusal for the operators; a repeated proposal replaces its earlier refusal.
func (d *leaderState) noteRefusal(now time.Time, proposed configProposal, refused *state.ConfigRefused) {
	d.refusals = slices.DeleteFunc(d.refusals, func(known proposalRefusal) bool {
		return known.number == proposed.number && bytes.Equal(known.hash, proposed.hash)
	})
	if len(d.refusals) >= maxRefusalsKept {
		d.refusals = d.refusals[1:]
	}
	d.refusals = append(d.refusals, proposalRefusal{
		author: proposed.author, number: refused.Number, hash: proposed.hash, at: now, cause: refusalText(refused),
	})
}

// settle does what is due on the leader and returns when something is due next.
func (d *leaderState) settle(now time.Time, l *Loop) time.Time {
	if !l.voter.node.LeaseHeld(now) {
		return now.Add(idleWake)
	}
	next := now.Add(idleWake)
	if due, ok := d.owner.Deadline(); ok {
		if !due.After(now) {
			d.stepOwner(now, l, &limit.Wake{})
		}
		if due, ok = d.owner.Deadline(); ok {
			next = earliest(next, due)
		}
	}
	next = earliest(next, d.settleRegistry(now, l))
	if !d.warmUntil.IsZero() {
		next = earliest(next, d.warmUntil)
	}
	d.settleExpiry(now, l)
	next = earliest(next, d.answerWaits(now, l))
	return earliest(next, d.nextExpiry)
}

func (d *leaderState) settleRegistry(now time.Time, l *Loop) time.Time {
	if due, ok := d.registry.Deadline(); ok && !due.After(now) {
		for _, gone := range d.registry.Expire(now) {
			l.log.Warn().Str("daemon", gone.Daemon).Msg("daemon-gone")
			if now.Sub(d.beats[gone.Daemon].at) >= member.GoneAfter { // otherwise a later start has replaced it
				delete(d.beats, gone.Daemon)
			}
			l.propose(now, &state.DaemonGone{Daemon: gone.Daemon, Boot: gone.Boot, At: l.voter.machine.CommandTime(now)}, ownProposal{})
		}
	}
	d.endWarmUp(now)
	sends, more := d.registry.Changes(changesPerStep)
	for i := range sends {
		s := d.daemons[sends[i].Daemon]
		if s == nil || s.join.Views && !d.warmUntil.IsZero() {
			continue // asked for again at the end of the warm-up
		}
		l.sendDown(s, changeDown{&sends[i].Change})
	}
	if more {
		return now
	}
	if due, ok := d.registry.Deadline(); ok {
		return due
	}
	return now.Add(idleWake)
}

// endWarmUp sends full views to the daemons that have waited for them.
func (d *leaderState) endWarmUp(now time.Time) {
	if d.warmUntil.IsZero() || now.Before(d.warmUntil) {
		return
	}
	d.warmUntil = time.Time{}
	for name, s := range d.daemons {
		if s.join.Views && s.want != nil {
			d.registry.Want(name, s.want)
		}
	}
}

// settleExpiry lets entries of the replicated state expire while nothing else is proposed.
func (d *leaderState) settleExpiry(now time.Time, l *Loop) {
	if now.Before(d.nextExpiry) {
		return
	}
	d.nextExpiry = now.Add(expiryInterval)
	if due, ok := l.voter.machine.NextExpiry(); ok && due <= l.voter.machine.CommandTime(now) {
		l.propose(now, &state.Tick{At: l.voter.machine.CommandTime(now)}, ownProposal{})
	}
}
