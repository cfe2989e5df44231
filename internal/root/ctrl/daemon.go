package ctrl

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/limit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// leaseLife is how long a daemon stays fresh after it sent a beat that was answered.
	leaseLife = 3 * time.Second

	// beatInterval leaves a daemon time for several attempts to reach a leader before its lease ends.
	beatInterval = 500 * time.Millisecond

	// answerTimeout ends a control stream on which a beat stays unanswered: a control instance that was
	// silently cut off neither answers nor closes the connection.
	answerTimeout = 700 * time.Millisecond

	// maxBehindLeases is the number of leases for a newer revision after which a daemon asks for a full
	// copy, because it must have missed the change.
	maxBehindLeases = 3
)

var errDraining = errors.New("this daemon is draining")

// daemonState is the part of the control state that every daemon has; the loop owns it.
type daemonState struct {
	session *session // to the leader, nil while there is none
	leader  string   // name of the leader on that stream

	beatSeq    uint64
	beats      map[uint64]time.Time // when unanswered beats were sent
	nextBeat   time.Time
	freshUntil time.Time
	behind     int // leases in a row that were for another revision

	rules rulesInForce

	holder  *limit.Holder
	waiting map[uint64]chan<- call.TokenVerdict

	local    *member.LocalInstances
	views    *member.Views
	versions map[string]uint64 // of the published endpoint lists
	wanted   map[string][]chan<- *snap.Endpoints
	services map[string]bool

	once     onceQueue
	proposal *pendingProposal

	queries   map[uint64]chan<- reportResult
	nextQuery uint64

	quarantine map[string]wire.Stamp
	draining   bool
	started    time.Time
}

// rulesInForce is the configuration that this daemon applies.
type rulesInForce struct {
	set  *rules.Set // nil before the first configuration
	text []byte
	hash []byte
}

func newDaemonState(cfg Options, now time.Time) *daemonState {
	return &daemonState{
		beats:    map[uint64]time.Time{},
		nextBeat: now,
		holder:   limit.NewHolder(now, cfg.Boot),
		waiting:  map[uint64]chan<- call.TokenVerdict{},
		local:    member.NewLocalInstances(cfg.PeerAddress, cfg.Zone, cfg.Boot),
		views:    member.NewViews(),
		versions: map[string]uint64{},
		wanted:   map[string][]chan<- *snap.Endpoints{},
		services: map[string]bool{},
		once:     newOnceQueue(cfg),
		queries:  map[uint64]chan<- reportResult{},
		started:  now,
	}
}

// revision returns the number of the configuration in force on this daemon, zero before the first.
func (r *rulesInForce) revision() uint64 {
	if r.set == nil {
		return 0
	}
	return r.set.Revision
}

// publish makes the present state visible to traffic.
func (l *Loop) publish() {
	d := l.daemon
	endpoints := make(map[string]*snap.Endpoints, len(d.views.Services))
	for service, instances := range d.views.Services {
		endpoints[service] = &snap.Endpoints{Version: d.versions[service], Instances: instances}
	}
	l.snapshot.Store(&snap.Snapshot{
		Rules:      d.rules.set,
		FreshUntil: d.freshUntil,
		HeardAt:    d.freshUntil.Add(-l.cfg.Lease),
		Endpoints:  endpoints,
		Quarantine: d.quarantine,
	})
	if !l.started && d.rules.set != nil && !d.freshUntil.IsZero() {
		l.started = true
		close(l.live)
	}
}

// sendUp sends a message to the leader if there is a control stream.
func (l *Loop) sendUp(message Up) {
	if l.daemon.session == nil {
		return
	}
	frame, err := encodeUp(message)
	if err != nil {
		l.log.Error().Err(err).Msg("control-message-not-sent")
		return
	}
	l.sent += uint64(len(frame.Body) + wire.HeaderSize)
	l.daemon.session.send(frame)
}

// openUplink starts a control stream: everything that the leader must know is sent again, because a new
// leader knows nothing and an old one may have missed the end of the last stream.
func (l *Loop) openUplink(now time.Time, s *session) {
	d := l.daemon
	if d.session != nil {
		d.session.close()
	}
	d.session, d.behind = s, 0
	clear(d.beats)
	l.sendUp(&Join{
		Daemon: l.cfg.PeerAddress, Zone: l.cfg.Zone, Boot: l.boot,
		Revision: d.rules.revision(), Hash: d.rules.hash, Views: len(d.views.Services) > 0,
	})
	for _, announce := range d.local.AnnounceAll() {
		l.sendUp(announceUp{announce})
	}
	l.beat(now) // after the announcements: instances that are not announced by now have left
	l.sendWant()
	l.stepHolder(now, &limit.Connected{})
	d.once.resend(l)
	l.sendProposal(now)
}

func (l *Loop) closeUplink(s *session) {
	d := l.daemon
	if d.session != s {
		return
	}
	d.session, d.leader = nil, ""
	for id, reply := range d.queries {
		reply <- reportResult{err: errNoLeader}
		delete(d.queries, id)
	}
}

func (l *Loop) beat(now time.Time) {
	d := l.daemon
	d.beatSeq++
	d.beats[d.beatSeq] = now
	d.nextBeat = now.Add(beatInterval)
	l.sendUp(beatUp{&member.Heartbeat{Seq: d.beatSeq, Revision: d.rules.revision()}})
}

// handleDown handles a message of the leader.
func (l *Loop) handleDown(now time.Time, message Down) {
	d := l.daemon
	switch message := message.(type) {
	case leaseDown:
		l.renewLease(message.Lease)
	case *Config:
		l.applyConfig(now, message)
	case changeDown:
		l.applyChange(message.Change)
	case grantDown:
		l.stepHolder(now, message.Grant)
	case recallDown:
		l.stepHolder(now, message.Recall)
	case *OnceReply:
		d.once.answer(l, message)
	case *QuarantineList:
		d.quarantine = make(map[string]wire.Stamp, len(message.Entries))
		for _, entry := range message.Entries {
			d.quarantine[entry.Fingerprint] = entry.Until
		}
		l.dirty = true
	case *ProposeReply:
		l.finishProposal(message)
	case *QueryReply:
		if reply, ok := d.queries[message.ID]; ok {
			delete(d.queries, message.ID)
			reply <- queryResult(message)
		}
	case *Members:
		l.learnControls(now, message.Addresses)
	case *Redirect: // handled by the uplink
	}
}

// renewLease extends freshness from the time at which the answered beat was sent. An answer for another
// revision does not count: the daemon would serve a configuration that is not in force.
func (l *Loop) renewLease(lease *member.Lease) {
	d := l.daemon
	sent, ok := d.beats[lease.Seq]
	if !ok {
		return
	}
	maps.DeleteFunc(d.beats, func(seq uint64, _ time.Time) bool { return seq <= lease.Seq })
	if lease.Revision != d.rules.revision() {
		d.behind++
		if lease.Revision < d.rules.revision() {
			l.log.Error().Uint64("own", d.rules.revision()).Uint64("leader", lease.Revision).Msg("leader-is-behind")
		} else if d.behind >= maxBehindLeases {
			l.log.Warn().Uint64("own", d.rules.revision()).Uint64("leader", lease.Revision).Msg("config-missed")
			l.rejoin()
		}
		return
	}
	d.behind = 0
	if until := sent.Add(l.cfg.Lease); until.After(d.freshUntil) {
		d.freshUntil = until
		l.dirty = true
	}
}

// handleTraffic handles the events of traffic goroutines that need no commitment.
func (l *Loop) handleTraffic(now time.Time, event Event) {
	d := l.daemon
	switch event := event.(type) {
	case tokenNeeded:
		d.waiting[event.waiter] = event.reply
		l.stepHolder(now, &limit.AwaitToken{Account: event.account, Waiter: event.waiter})
	case tokenAbandoned:
		delete(d.waiting, event.waiter)
		l.stepHolder(now, &limit.Cancel{Account: event.account, Waiter: event.waiter})
	case serviceWanted:
		l.want(event)
	case announced:
		l.announce(now, event)
	case left:
		if leave := d.local.Leave(event.address); leave != nil {
			l.log.Info().Str("instance", leave.ID).Msg("backend-server-left")
			l.sendUp(leaveUp{leave})
		}
		event.reply <- struct{}{}
	case connectionRefused:
		d.local.MarkRefused(event.address)
	case crashSeen:
		l.sendUp(event.report)
	case drainStarted:
		l.drain()
	}
}

// stepHolder passes an event to the token holder and executes what it asks for.
func (l *Loop) stepHolder(now time.Time, event limit.HolderEvent) {
	d := l.daemon
	for _, action := range d.holder.Step(now, event) {
		switch action := action.(type) {
		case *limit.SendRequest:
			l.sendUp(askUp{action.Request})
		case *limit.Admit:
			l.answerWaiter(action.Waiter, call.TokenTaken{})
		case *limit.Refuse:
			l.answerWaiter(action.Waiter, call.TokenRefused{})
		}
	}
}

func (l *Loop) answerWaiter(waiter uint64, verdict call.TokenVerdict) {
	if reply, ok := l.daemon.waiting[waiter]; ok {
		delete(l.daemon.waiting, waiter)
		reply <- verdict
	}
}

func (l *Loop) announce(now time.Time, event announced) {
	d := l.daemon
	if d.draining {
		event.reply <- announceResult{err: errDraining}
		return
	}
	message, err := d.local.Announce(now, &event.announcement)
	if err != nil {
		event.reply <- announceResult{err: err}
		return
	}
	if message != nil {
		l.log.Info().Str("instance", message.Instance.ID).Str("service", message.Instance.Service).
			Uint64("incarnation", message.Instance.Incarnation).Msg("backend-server-announced")
		l.sendUp(announceUp{message})
	}
	event.reply <- announceResult{endpoint: d.local.Instances[event.announcement.Address]}
}

// drain ends the registrations of this daemon, so that other daemons choose other instances.
func (l *Loop) drain() {
	d := l.daemon
	if d.draining {
		return
	}
	d.draining = true
	for address := range maps.Clone(d.local.Instances) {
		if leave := d.local.Leave(address); leave != nil {
			l.sendUp(leaveUp{leave})
		}
	}
	l.log.Info().Msg("daemon-draining")
}

func (l *Loop) want(event serviceWanted) {
	d := l.daemon
	if instances := d.views.Services[event.service]; len(instances) > 0 {
		event.reply <- &snap.Endpoints{Version: d.versions[event.service], Instances: instances}
		return
	}
	d.wanted[event.service] = append(d.wanted[event.service], event.reply)
	if !d.services[event.service] {
		d.services[event.service] = true
		l.sendWant()
	}
}

func (l *Loop) sendWant() {
	if len(l.daemon.services) > 0 {
		l.sendUp(wantUp{&member.Subscription{Services: slices.Sorted(maps.Keys(l.daemon.services))}})
	}
}

func (l *Loop) applyChange(change *member.Change) {
	d := l.daemon
	if !d.views.Apply(change) {
		l.sendWant()
		return
	}
	d.versions[change.Service]++
	l.dirty = true
	list := &snap.Endpoints{Version: d.versions[change.Service], Instances: d.views.Services[change.Service]}
	if len(list.Instances) == 0 {
		return
	}
	for _, reply := range d.wanted[change.Service] {
		reply <- list
	}
	delete(d.wanted, change.Service)
}

// settleDaemon does what is due on this daemon and returns when something is due next.
func (l *Loop) settleDaemon(now time.Time) time.Time {
	d := l.daemon
	if due, ok := d.holder.Deadline(); ok && !due.After(now) {
		l.stepHolder(now, &limit.Wake{})
	}
	if d.session != nil && d.proposal != nil && !d.proposal.again.After(now) {
		l.sendProposal(now)
	}
	if due, ok := d.local.Deadline(); ok && !due.After(now) {
		for _, leave := range d.local.Expire(now) {
			l.log.Warn().Str("instance", leave.ID).Msg("backend-server-lease-ended")
			l.sendUp(leaveUp{leave})
		}
	}
	next := now.Add(idleWake)
	if d.session != nil {
		next = l.settleBeats(now)
	}
	if due, ok := d.holder.Deadline(); ok {
		next = earliest(next, due)
	}
	if due, ok := d.local.Deadline(); ok {
		next = earliest(next, due)
	}
	return next
}

// settleBeats sends the next beat, and leaves a leader that has not answered an earlier one.
func (l *Loop) settleBeats(now time.Time) time.Time {
	d := l.daemon
	oldest := now
	for _, sent := range d.beats {
		oldest = earliest(oldest, sent)
	}
	if now.Sub(oldest) >= answerTimeout {
		l.log.Warn().Str("address", d.session.remote).Msg("control-instance-silent")
		silent := d.session
		silent.close()
		l.closeUplink(silent)
		l.dialer.Reset(silent.remote)
		return now.Add(idleWake)
	}
	if !d.nextBeat.After(now) {
		l.beat(now)
	}
	next := d.nextBeat
	if len(d.beats) > 0 {
		next = earliest(next, oldest.Add(answerTimeout))
	}
	return next
}
