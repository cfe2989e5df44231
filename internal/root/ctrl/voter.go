package ctrl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/disk"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
)

type (
	// voterState is the additional control state of control instances; the loop owns it.
	voterState struct {
		name          string
		peerAddresses map[string]string // peer addresses by name, nil under dynamic membership
		node          *raft.Node
		inputs        []raft.Event // queued events for node
		stepping      bool         // stepRaft is executing the actions of a step
		machine       *state.Machine
		writer        *writer
		links         map[string]*raftLink
		newLinks      chan *raftLink // links of new members, which runNewLinks starts
		sessions      map[*session]struct{}

		proposals    map[uint64]proposer
		nextProposal uint64

		encodeJobs chan encodeJob // queue of the goroutine that encodes snapshots

		membershipIndex uint64             // of the latest membership that was logged
		voterNames      []string           // of the latest membership that was logged
		changeReason    raft.ChangedVoters // of the latest membership that this leader has appended
		refusedPeer     raft.RefusedPeer   // latest one that was logged

		stopReply chan<- struct{} // receives a value once this member may stop, nil before a stop and after it

		leader *leaderState // nil while this member does not lead
	}

	// encodeJob is a copy of the state machine after the entry at index, to be encoded.
	encodeJob struct {
		index  uint64
		frozen *state.FrozenMachine
	}

	// proposer identifies who waits for the result of a proposed command.
	proposer interface{ proposer() }

	// onceProposer is a daemon that sent a OnceCall.
	onceProposer struct {
		session *session
		id      uint64
	}

	// configProposer is a daemon that sent a Propose.
	configProposer struct {
		session *session
		number  uint64
		hash    []byte
		author  string
	}

	// draftProposer is a caller of Submit.
	draftProposer struct {
		reply chan<- SubmitResult
		draft Draft
	}

	// readProposer is a caller of Read. Committing its command proves that no other leader has accepted a
	// newer revision.
	readProposer struct{ reply chan<- ReadResult }

	// zoneProposer is a caller of OrderZone or ForwardOrder on this control instance.
	zoneProposer struct{ reply chan<- OrderResult }

	// remoteZoneProposer is a daemon that sent an OrderCall.
	remoteZoneProposer struct {
		session *session
		id      uint64
	}

	// leaderProposer is the leader itself, which does not wait.
	leaderProposer struct{}
)

func (onceProposer) proposer()       {}
func (configProposer) proposer()     {}
func (draftProposer) proposer()      {}
func (readProposer) proposer()       {}
func (zoneProposer) proposer()       {}
func (remoteZoneProposer) proposer() {}
func (leaderProposer) proposer()     {}

func newVoterState(cfg Options, storage disk.Storage, l *Loop, now time.Time) (*voterState, error) {
	restored, err := storage.Load()
	if err != nil {
		return nil, fmt.Errorf("load data folder: %w", err)
	}
	v := &voterState{
		name:          cfg.Name,
		peerAddresses: cfg.Voters,
		newLinks:      make(chan *raftLink, raft.MaxPeers),
		machine:       state.New(acceptCheckedText),
		writer:        newWriter(storage, l),
		links:         map[string]*raftLink{},
		sessions:      map[*session]struct{}{},
		proposals:     map[uint64]proposer{},
		encodeJobs:    make(chan encodeJob, 1), // the member requests one snapshot at a time
	}
	if cfg.DynamicMembership {
		v.name = cfg.PeerAddress
	}
	for name, address := range cfg.Voters {
		if name != cfg.Name {
			v.links[name] = newRaftLink(name, address, l)
		}
	}
	v.node = raft.New(v.config(cfg), restored, now)
	l.logRecovered(&restored)
	return v, nil
}

// config returns the settings of the consensus member.
func (v *voterState) config(cfg Options) raft.Config {
	if cfg.DynamicMembership {
		return dynamicRaftConfig(cfg)
	}
	return raft.Config{Name: cfg.Name, Peers: slices.Collect(maps.Keys(cfg.Voters)), Seed: cfg.Boot}
}

func (v *voterState) children(l *Loop) []super.Child {
	children := make([]super.Child, 0, len(v.links)+1)
	for name, link := range v.links {
		children = append(children, super.Child{Name: "raft-" + name, Run: link.run})
	}
	if l.cfg.DynamicMembership {
		children = append(children, super.Child{Name: "raft-links", Run: l.runNewLinks})
	}
	return append(children,
		super.Child{Name: "encoder", Run: l.runEncoder},
		super.Child{Name: "writer", Run: v.writer.run})
}

// handleVoterEvent handles the events of a control instance.
func (l *Loop) handleVoterEvent(now time.Time, event Event) {
	v := l.voter
	switch event := event.(type) {
	case raftEvent:
		l.stepRaft(now, event.input)
	case daemonConnected:
		v.sessions[event.session] = struct{}{}
	case daemonDisconnected:
		delete(v.sessions, event.session)
		if v.leader != nil {
			v.leader.handleDisconnect(now, l, event.session)
		}
	case daemonMessageReceived:
		l.handleDaemonMessage(now, event.session, event.message)
	case storageReopened:
		l.restartMember(now, event.restored)
	case stopRequested:
		v.stopReply = event.reply
		l.stepRaft(now, raft.StopRequested{})
	case draftSubmitted:
		l.submitDraft(now, event)
	case configReadRequested:
		l.readConfig(now, event)
	}
}

// restartMember replaces a consensus member whose disk failed by a new one with the state that the disk
// contains.
func (l *Loop) restartMember(now time.Time, restored raft.RecoveredState) {
	v := l.voter
	v.writer.member++
	v.machine = state.New(acceptCheckedText)
	v.node = raft.New(v.config(l.cfg), restored, now)
	v.inputs, v.leader = nil, nil
	for id := range v.proposals {
		l.handleDropped(raft.Dropped{ID: id, Reason: raft.DroppedUnknown})
	}
	for _, address := range *l.controlAddresses.Load() {
		if l.cfg.DynamicMembership {
			l.stepRaft(now, raft.PeerFound{Name: address})
		}
	}
	if v.stopReply != nil {
		l.stepRaft(now, raft.StopRequested{})
	}
	l.log.Info().Uint64("boot", restored.Boot).Msg("storage-reopened")
	l.logRecovered(&restored)
}

// stepRaft passes an event to the consensus member and executes its actions in order. Events that result from
// an action are queued until all actions of the step are executed, so that steps do not nest.
func (l *Loop) stepRaft(now time.Time, event raft.Event) {
	v := l.voter
	v.inputs = append(v.inputs, event)
	if v.stepping {
		return
	}
	v.stepping = true
	for len(v.inputs) > 0 {
		next := v.inputs[0]
		v.inputs = v.inputs[1:]
		for _, action := range v.node.Step(now, next) {
			l.execute(now, action)
		}
	}
	v.stepping = false
	l.logMembership()
}

// execute performs one action of the consensus member.
func (l *Loop) execute(now time.Time, action raft.Action) {
	v := l.voter
	switch action := action.(type) {
	case raft.Persist:
		v.writer.submit(batchWrite{batch: action.Batch})
	case raft.PersistSnapshot:
		v.writer.submit(snapshotWrite{snapshot: action.Snapshot})
	case raft.Send:
		if link := l.raftLinkTo(action.To); link != nil {
			link.send(action.Message)
		}
	case raft.Apply:
		l.applyEntries(now, action.Entries)
	case raft.Restore:
		l.restoreSnapshot(action.Snapshot)
	case raft.TakeSnapshot:
		l.takeSnapshot()
	case raft.Dropped:
		l.handleDropped(action)
	case raft.BecameLeader:
		l.becomeLeader(now, action.Term)
	case raft.SteppedDown:
		l.stepDown(action.Term)
	case raft.Fenced:
		l.log.Error().Str("by", action.By).Str("reason", action.Reason).Msg("disk-refused-by-peer")
	case raft.Stopped:
		l.log.Error().Err(action.Err).Msg("disk-failed")
	case raft.ChangedVoters:
		v.changeReason = action
	case raft.RefusedPeer:
		l.logRefusedPeer(action)
	}
}

// applyEntries passes committed commands to the state machine and replies to their proposers.
func (l *Loop) applyEntries(now time.Time, entries []raft.Committed) {
	v := l.voter
	revision, quarantine, evacuations := v.revision(), v.machine.QuarantineVersion, v.machine.EvacuationVersion
	for _, entry := range entries {
		command, err := state.DecodeCommand(entry.Data)
		if err != nil {
			// All members have the same bytes, so all of them skip the entry.
			l.log.Error().Uint64("index", entry.Index).Err(err).Msg("command-unreadable")
			continue
		}
		result := v.machine.Apply(entry.Index, command)
		l.logOrder(entry.Index, result)
		if origin, ok := v.proposals[entry.Proposal]; ok && entry.Proposal != 0 {
			delete(v.proposals, entry.Proposal)
			l.logAcknowledged(entry, origin, result)
			l.replyToProposer(origin, result)
		}
	}
	if v.revision() != revision {
		last := entries[len(entries)-1]
		l.log.Info().Uint64("revision", v.revision()).Uint64("index", last.Index).Uint64("term", last.Term).Msg("revision-committed")
	}
	if v.leader == nil {
		return
	}
	if v.machine.EvacuationVersion != evacuations {
		v.leader.setEvacuations(v.machine)
		v.leader.sendEvacuationsToAll(l)
	}
	if v.revision() != revision {
		v.leader.sendConfigToAll(now, l)
	}
	if v.machine.QuarantineVersion != quarantine {
		v.leader.sendQuarantineToAll(l)
	}
}

func (l *Loop) replyToProposer(origin proposer, result state.Result) {
	switch origin := origin.(type) {
	case onceProposer:
		l.replyOnce(origin, result)
	case configProposer:
		verdict, err := state.EncodeVerdict(result)
		if err != nil {
			l.log.Error().Err(err).Msg("config-verdict-not-encoded")
			return
		}
		l.log.Info().Uint64("revision", origin.number).Str("author", origin.author).
			Str("verdict", verdictText(result)).Msg("config-decided")
		if refused, ok := result.(*state.ConfigRefused); ok && l.voter.leader != nil {
			l.voter.leader.recordRefusal(l.clock.Now(), origin, refused)
		}
		l.sendToDaemon(origin.session, &ProposeReply{Number: origin.number, Hash: origin.hash, Verdict: verdict})
	case draftProposer:
		l.replyToDraft(origin, result)
	case readProposer:
		l.replyToRead(origin)
	case zoneProposer:
		origin.reply <- l.replyToOrder(result)
	case remoteZoneProposer:
		l.sendToDaemon(origin.session, orderReply(origin.id, l.replyToOrder(result)))
	case leaderProposer:
	}
}

func (l *Loop) replyOnce(origin onceProposer, result state.Result) {
	reply := &OnceReply{ID: origin.id}
	if result != nil {
		verdict, err := state.EncodeVerdict(result)
		if err != nil {
			l.log.Error().Err(err).Msg("once-verdict-not-encoded")
			return
		}
		reply.Verdict = verdict
	}
	l.sendToDaemon(origin.session, reply)
}

// handleDropped ends a proposal without a result. When this member does not lead, or when it is unknown
// whether the command was committed, a daemon receives no reply and sends the command again on its next
// control stream.
func (l *Loop) handleDropped(action raft.Dropped) {
	if origin, ok := l.voter.proposals[action.ID]; ok {
		delete(l.voter.proposals, action.ID)
		l.replyDropped(origin, action.Reason)
	}
}

func (l *Loop) replyDropped(origin proposer, reason raft.DropReason) {
	switch origin := origin.(type) {
	case draftProposer:
		origin.reply <- SubmitUnconfirmed{}
	case readProposer:
		origin.reply <- ReadUnconfirmed{}
	case zoneProposer:
		origin.reply <- OrderUnconfirmed{}
	case remoteZoneProposer:
		l.sendToDaemon(origin.session, orderReply(origin.id, OrderUnconfirmed{}))
	}
	if once, ok := origin.(onceProposer); ok && reason != raft.DroppedUnknown && reason != raft.DroppedNotLeader {
		l.replyOnce(once, nil)
	}
}

// propose proposes a command to the consensus group.
func (l *Loop) propose(now time.Time, command state.Command, origin proposer) {
	v := l.voter
	body, err := state.EncodeCommand(command)
	if err != nil {
		l.log.Warn().Err(err).Msg("command-refused")
		l.replyDropped(origin, raft.DroppedTooLarge)
		return
	}
	v.nextProposal++
	v.proposals[v.nextProposal] = origin
	l.stepRaft(now, raft.Propose{ID: v.nextProposal, Data: body})
}

func (l *Loop) restoreSnapshot(snapshot raft.Snapshot) {
	machine, err := state.Restore(snapshot.Data, acceptCheckedText)
	if err != nil {
		// The snapshot passed its checksum; if it cannot be decoded, this member has no state.
		panic(fmt.Sprintf("restore snapshot at index %d: %v", snapshot.Index, err))
	}
	l.voter.machine = machine
	l.log.Info().Uint64("index", snapshot.Index).Uint64("term", snapshot.Term).Uint64("revision", l.voter.revision()).Msg("snapshot-restored")
}

// takeSnapshot copies the state for the encoder, so that the loop does not wait: encoding 100,000 records
// takes longer than the leader's lease.
func (l *Loop) takeSnapshot() {
	v := l.voter
	v.encodeJobs <- encodeJob{index: v.node.Status().Applied, frozen: v.machine.Freeze()}
}

// runEncoder encodes snapshots until ctx ends.
func (l *Loop) runEncoder(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case job := <-l.voter.encodeJobs:
			data, err := job.frozen.Encode()
			if err != nil {
				l.log.Error().Err(err).Msg("snapshot-failed")
				continue
			}
			l.post(ctx, raftEvent{input: raft.SnapshotTaken{Index: job.index, Data: data}})
		}
	}
}

// revision returns the number of the accepted revision, zero before the first.
func (v *voterState) revision() uint64 {
	if current := v.machine.CurrentRevision(); current != nil {
		return current.Number
	}
	return 0
}

// runDueVoter runs timers that are due on a control instance and returns the time of the next one.
func (l *Loop) runDueVoter(now time.Time) time.Time {
	v := l.voter
	if !v.node.Deadline().After(now) {
		l.stepRaft(now, raft.Tick{})
	}
	if v.stopReply != nil && !v.node.AwaitsRemoval() {
		v.stopReply <- struct{}{}
		v.stopReply = nil
	}
	next := v.node.Deadline()
	if v.leader != nil {
		next = earliest(next, v.leader.runDue(now, l))
	}
	return next
}
