package ctrl

import (
	"errors"
	"fmt"
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
	// defaultLease is how long the configuration of a daemon stays fresh after it sent a heartbeat that the
	// leader replied to.
	defaultLease = 3 * time.Second

	// heartbeatInterval is short enough for several attempts to reach a leader before the lease ends.
	heartbeatInterval = 500 * time.Millisecond

	// heartbeatTimeout is the time without a reply to a heartbeat after which a daemon closes its control
	// stream: a control instance behind a network partition neither replies nor closes the connection.
	heartbeatTimeout = 700 * time.Millisecond

	// maxStaleLeases is the number of consecutive leases for a newer revision after which a daemon requests
	// the whole text, because it must have missed the change.
	maxStaleLeases = 3
)

var (
	errDraining       = errors.New("this daemon is draining")
	errUnknownService = errors.New("the rules have no such service")
)

// daemonState is the control state that every daemon has; the loop owns it.
type daemonState struct {
	session *session // control stream to the leader, nil while there is none

	heartbeatSeq         uint64
	unansweredHeartbeats map[uint64]time.Time // send times of heartbeats without a reply, by sequence number
	nextHeartbeat        time.Time
	freshUntil           time.Time
	staleLeases          int // consecutive leases for another revision

	rules activeRules

	tokenHolder  *limit.Holder
	tokenWaiters map[uint64]chan<- call.TokenVerdict

	localInstances   *member.LocalInstances
	views            *member.Views
	endpointVersions map[string]uint64 // of the published endpoint lists, by service
	endpointWaiters  map[string][]chan<- *snap.Endpoints
	subscriptions    map[string]bool

	onceQueue onceQueue
	proposal  *pendingProposal

	queryWaiters map[uint64]chan<- reportResult
	nextQuery    uint64
	orderWaiters map[uint64]orderWaiter
	orderSupport orderSupport // of the leader at the control stream

	quarantine map[string]wire.Stamp
	zones      localZones
	draining   bool
	started    time.Time
}

// activeRules is the configuration that this daemon applies.
type activeRules struct {
	set  *rules.Set // nil before the first configuration
	text []byte
	hash []byte
}

func newDaemonState(cfg Options, now time.Time) *daemonState {
	return &daemonState{
		unansweredHeartbeats: map[uint64]time.Time{},
		nextHeartbeat:        now,
		tokenHolder:          limit.NewHolder(now, cfg.Boot, cfg.TokenWait),
		tokenWaiters:         map[uint64]chan<- call.TokenVerdict{},
		localInstances:       member.NewLocalInstances(cfg.PeerAddress, cfg.Zone, cfg.Region, cfg.Boot),
		views:                member.NewViews(),
		endpointVersions:     map[string]uint64{},
		endpointWaiters:      map[string][]chan<- *snap.Endpoints{},
		subscriptions:        map[string]bool{},
		onceQueue:            newOnceQueue(cfg),
		queryWaiters:         map[uint64]chan<- reportResult{},
		orderWaiters:         map[uint64]orderWaiter{},
		zones:                newLocalZones(),
		started:              now,
	}
}

// revision returns the number of the configuration in effect on this daemon, zero before the first.
func (r *activeRules) revision() uint64 {
	if r.set == nil {
		return 0
	}
	return r.set.Revision
}

// regions returns the regions that the rules name and that the views of this daemon have to hold instances of.
func (r *activeRules) regions() []string {
	if r.set == nil {
		return nil
	}
	names := r.set.RegionNames()
	return names[:min(len(names), member.MaxRegions)]
}

// publish replaces the snapshot that traffic reads.
func (l *Loop) publish() {
	d := l.daemon
	endpoints := make(map[string]*snap.Endpoints, len(d.views.Services))
	for service, instances := range d.views.Services {
		endpoints[service] = &snap.Endpoints{Version: d.endpointVersions[service], Instances: instances}
	}
	snapshot := &snap.Snapshot{
		Rules:       d.rules.set,
		LeaseExpiry: d.freshUntil,
		LastContact: d.freshUntil.Add(-l.cfg.Lease),
		Endpoints:   endpoints,
		Quarantine:  d.quarantine,
	}
	changed := d.zones.publishTo(snapshot)
	l.snapshot.Store(snapshot)
	if changed != nil {
		close(changed)
	}
	if !l.configuredClosed && d.rules.set != nil && !d.freshUntil.IsZero() {
		l.configuredClosed = true
		close(l.configured)
	}
}

// sendToLeader sends a message to the leader if there is a control stream.
func (l *Loop) sendToLeader(message DaemonMessage) {
	if l.daemon.session == nil {
		return
	}
	frame, err := encodeDaemonMessage(message)
	if err != nil {
		l.log.Error().Err(err).Msg("control-message-not-sent")
		return
	}
	l.bytesSent += uint64(len(frame.Body) + wire.HeaderSize)
	l.daemon.session.send(frame)
}

// openUplink starts using a control stream. It sends all registrations, subscriptions and pending commands: a
// new leader has none of them, and an old one may have missed the last messages of the previous stream.
func (l *Loop) openUplink(now time.Time, s *session) {
	d := l.daemon
	if d.session != nil {
		d.session.close()
		l.closeUplink(d.session)
	}
	d.session, d.staleLeases, d.orderSupport = s, 0, ordersUnknown
	clear(d.unansweredHeartbeats)
	l.sendToLeader(&Join{
		Daemon: l.cfg.PeerAddress, Zone: l.cfg.Zone, Region: l.cfg.Region, Boot: l.boot,
		Revision: d.rules.revision(), Hash: d.rules.hash, Views: len(d.views.Services) > 0, Decompresses: true, Evacuations: true,
	})
	for _, announce := range d.localInstances.AnnounceAll() {
		l.sendToLeader(announceMessage{announce})
	}
	l.sendHeartbeat(now) // after the announcements: a heartbeat may remove instances that were not announced
	l.sendSubscriptions()
	l.stepHolder(now, &limit.Connected{})
	d.onceQueue.resend(l)
	l.sendProposal(now)
}

func (l *Loop) closeUplink(s *session) {
	d := l.daemon
	if d.session != s {
		return
	}
	d.session = nil
	for id, reply := range d.queryWaiters {
		reply <- reportResult{err: errNoLeader}
		delete(d.queryWaiters, id)
	}
	d.failOrders(OrderUnconfirmed{})
}

func (l *Loop) sendHeartbeat(now time.Time) {
	d := l.daemon
	d.heartbeatSeq++
	d.unansweredHeartbeats[d.heartbeatSeq] = now
	d.nextHeartbeat = now.Add(heartbeatInterval)
	l.sendToLeader(heartbeatMessage{&member.Heartbeat{Seq: d.heartbeatSeq, Revision: d.rules.revision()}})
}

// handleLeaderMessage handles a message of the leader.
func (l *Loop) handleLeaderMessage(now time.Time, message LeaderMessage) {
	d := l.daemon
	switch message := message.(type) {
	case leaseMessage:
		l.assumeNoEvacuations()
		l.renewLease(message.Lease)
	case *Config:
		l.applyConfig(now, message)
	case changeMessage:
		l.applyChange(message.Change)
	case grantMessage:
		l.stepHolder(now, message.Grant)
	case recallMessage:
		l.stepHolder(now, message.Recall)
	case *OnceReply:
		d.onceQueue.handleReply(l, message)
	case *QuarantineList:
		d.quarantine = make(map[string]wire.Stamp, len(message.Entries))
		for _, entry := range message.Entries {
			d.quarantine[entry.Fingerprint] = entry.Until
		}
		l.dirty = true
	case *EvacuationList:
		l.applyEvacuations(now, message)
		l.sendUnsentOrders()
	case *OrderReply:
		l.handleOrderReply(message)
	case *ProposeReply:
		l.handleProposeReply(message)
	case *QueryReply:
		if reply, ok := d.queryWaiters[message.ID]; ok {
			delete(d.queryWaiters, message.ID)
			reply <- queryResult(message)
		}
	case *Members:
		l.addControlAddresses(now, message.Addresses)
	case *Redirect: // serveUplink follows redirects
	}
}

// renewLease extends the freshness from the send time of the heartbeat. A lease for another revision does not
// count, because the daemon would serve a configuration that is not in effect.
func (l *Loop) renewLease(lease *member.Lease) {
	d := l.daemon
	sent, ok := d.unansweredHeartbeats[lease.Seq]
	if !ok {
		return
	}
	maps.DeleteFunc(d.unansweredHeartbeats, func(seq uint64, _ time.Time) bool { return seq <= lease.Seq })
	if lease.Revision != d.rules.revision() {
		d.staleLeases++
		if lease.Revision < d.rules.revision() {
			l.log.Error().Uint64("own", d.rules.revision()).Uint64("leader", lease.Revision).Msg("leader-is-behind")
		} else if d.staleLeases >= maxStaleLeases {
			l.log.Warn().Uint64("own", d.rules.revision()).Uint64("leader", lease.Revision).Msg("config-missed")
			l.requestFullConfig()
		}
		return
	}
	d.staleLeases = 0
	if until := sent.Add(l.cfg.Lease); until.After(d.freshUntil) {
		d.freshUntil = until
		l.dirty = true
	}
}

// handleTrafficEvent handles the events of traffic goroutines that need no committed command.
func (l *Loop) handleTrafficEvent(now time.Time, event Event) {
	d := l.daemon
	switch event := event.(type) {
	case tokenRequested:
		d.tokenWaiters[event.waiter] = event.reply
		l.stepHolder(now, &limit.AwaitToken{Account: event.account, Waiter: event.waiter})
	case tokenWaitCanceled:
		delete(d.tokenWaiters, event.waiter)
		l.stepHolder(now, &limit.Cancel{Account: event.account, Waiter: event.waiter})
	case endpointsRequested:
		l.requestEndpoints(event)
	case backendAnnounced:
		l.announceBackend(now, event)
	case backendLeft:
		if leave := d.localInstances.Leave(event.address); leave != nil {
			l.log.Info().Str("instance", leave.ID).Msg("backend-server-left")
			l.sendToLeader(leaveMessage{leave})
		}
		event.reply <- struct{}{}
	case connectionRefused:
		d.localInstances.MarkRefused(event.address)
	case crashReported:
		for fingerprints := range slices.Chunk(event.report.Fingerprints, maxFingerprints) {
			l.sendToLeader(&CrashReport{Incarnation: event.report.Incarnation, Fingerprints: fingerprints, Cleared: event.report.Cleared})
		}
	case drainRequested:
		l.drain()
	}
}

// stepHolder passes an event to the token holder and executes the resulting actions.
func (l *Loop) stepHolder(now time.Time, event limit.HolderEvent) {
	d := l.daemon
	for _, action := range d.tokenHolder.Step(now, event) {
		switch action := action.(type) {
		case *limit.SendRequest:
			l.sendToLeader(tokenRequestMessage{action.Request})
		case *limit.Admit:
			l.replyToTokenWaiter(action.Waiter, call.TokenTaken{})
		case *limit.Refuse:
			l.replyToTokenWaiter(action.Waiter, call.TokenRefused{RetryAfter: action.RetryAfter})
		}
	}
}

func (l *Loop) replyToTokenWaiter(waiter uint64, verdict call.TokenVerdict) {
	if reply, ok := l.daemon.tokenWaiters[waiter]; ok {
		delete(l.daemon.tokenWaiters, waiter)
		reply <- verdict
	}
}

func (l *Loop) announceBackend(now time.Time, event backendAnnounced) {
	d := l.daemon
	if d.draining {
		event.reply <- announceResult{err: errDraining}
		return
	}
	if set := d.rules.set; set != nil && set.Services[event.announcement.Service] == nil {
		// Another writer's announcement must not take the place of the server at its address. A server whose service
		// is added to the rules later announces itself again.
		event.reply <- announceResult{err: fmt.Errorf("%w: %q, revision %d", errUnknownService, event.announcement.Service, set.Revision)}
		return
	}
	message, err := d.localInstances.Announce(now, &event.announcement)
	if err != nil {
		event.reply <- announceResult{err: err}
		return
	}
	if message != nil {
		l.log.Info().Str("instance", message.Instance.ID).Str("service", message.Instance.Service).
			Uint64("incarnation", message.Instance.Incarnation).Msg("backend-server-announced")
		l.sendToLeader(announceMessage{message})
	}
	event.reply <- announceResult{endpoint: d.localInstances.Instances[event.announcement.Address]}
}

// drain ends the registrations of this daemon, so that other daemons choose other instances.
func (l *Loop) drain() {
	d := l.daemon
	if d.draining {
		return
	}
	d.draining = true
	for address := range maps.Clone(d.localInstances.Instances) {
		if leave := d.localInstances.Leave(address); leave != nil {
			l.sendToLeader(leaveMessage{leave})
		}
	}
	l.log.Info().Msg("daemon-draining")
}

func (l *Loop) requestEndpoints(event endpointsRequested) {
	d := l.daemon
	if !member.ValidService(event.service) {
		event.reply <- &snap.Endpoints{} // no server can have announced itself
		return
	}
	if instances := d.views.Services[event.service]; len(instances) > 0 {
		event.reply <- &snap.Endpoints{Version: d.endpointVersions[event.service], Instances: instances}
		return
	}
	d.endpointWaiters[event.service] = append(d.endpointWaiters[event.service], event.reply)
	if !d.subscriptions[event.service] {
		d.subscriptions[event.service] = true
		l.sendSubscriptions()
	}
}

func (l *Loop) sendSubscriptions() {
	if len(l.daemon.subscriptions) > 0 {
		l.sendToLeader(subscriptionMessage{&member.Subscription{
			Services: l.daemon.subscribedServices(), Regions: l.daemon.rules.regions(),
		}})
	}
}

// subscribedServices returns the services that this daemon calls. If they are more than a message holds, those that the
// rules no longer have are left out.
func (d *daemonState) subscribedServices() []string {
	services := slices.Sorted(maps.Keys(d.subscriptions))
	if len(services) > member.MaxServices && d.rules.set != nil {
		services = slices.DeleteFunc(services, func(name string) bool { return d.rules.set.Services[name] == nil })
	}
	return services[:min(len(services), member.MaxServices)]
}

func (l *Loop) applyChange(change *member.Change) {
	d := l.daemon
	if err := change.DropInvalid(); err != nil {
		l.log.Warn().Str("service", change.Service).Err(err).Msg("instance-ignored")
	}
	if !d.views.Apply(change) {
		l.sendSubscriptions()
		return
	}
	d.endpointVersions[change.Service]++
	l.dirty = true
	list := &snap.Endpoints{Version: d.endpointVersions[change.Service], Instances: d.views.Services[change.Service]}
	if len(list.Instances) == 0 {
		return
	}
	for _, reply := range d.endpointWaiters[change.Service] {
		reply <- list
	}
	delete(d.endpointWaiters, change.Service)
}

// runDueDaemon runs timers that are due on this daemon and returns the time of the next one.
func (l *Loop) runDueDaemon(now time.Time) time.Time {
	d := l.daemon
	if due, ok := d.tokenHolder.Deadline(); ok && !due.After(now) {
		l.stepHolder(now, &limit.Wake{})
	}
	if d.session != nil && d.proposal != nil && !d.proposal.retryAt.After(now) {
		l.sendProposal(now)
	}
	if due, ok := d.localInstances.Deadline(); ok && !due.After(now) {
		for _, leave := range d.localInstances.Expire(now) {
			l.log.Warn().Str("instance", leave.ID).Msg("backend-server-lease-ended")
			l.sendToLeader(leaveMessage{leave})
		}
	}
	next := now.Add(maxWakeInterval)
	if d.session != nil {
		next = l.checkHeartbeats(now)
	}
	if due, ok := d.tokenHolder.Deadline(); ok {
		next = earliest(next, due)
	}
	if due, ok := d.localInstances.Deadline(); ok {
		next = earliest(next, due)
	}
	return next
}

// checkHeartbeats sends a heartbeat when it is due, and closes the control stream when a heartbeat has had no
// reply for heartbeatTimeout. It returns the time of the next check.
func (l *Loop) checkHeartbeats(now time.Time) time.Time {
	d := l.daemon
	oldest := now
	for _, sent := range d.unansweredHeartbeats {
		oldest = earliest(oldest, sent)
	}
	if now.Sub(oldest) >= heartbeatTimeout {
		l.log.Warn().Str("address", d.session.remote).Msg("control-instance-silent")
		s := d.session
		s.silent.Store(true)
		s.close()
		l.closeUplink(s)
		l.dialer.Reset(s.remote)
		return now.Add(maxWakeInterval)
	}
	if !d.nextHeartbeat.After(now) {
		l.sendHeartbeat(now)
	}
	next := d.nextHeartbeat
	if len(d.unansweredHeartbeats) > 0 {
		next = earliest(next, oldest.Add(heartbeatTimeout))
	}
	return next
}
