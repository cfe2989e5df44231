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
	// voterState is the part of the control state that control instances have; the loop owns it.
	voterState struct {
		name     string
		peers    map[string]string // peer addresses by name
		node     *raft.Node
		inputs   []raft.Event // for node, in order
		stepping bool         // the actions of a step are being executed
		machine  *state.Machine
		writer   *writer
		links    map[string]*raftLink
		found    chan *raftLink // links of an open group that wait to be run
		sessions map[*session]struct{}

		proposals    map[uint64]proposal
		nextProposal uint64

		encoder chan frozenState // to the goroutine that encodes snapshots

		lead *leaderState // nil while this member does not lead
	}

	// frozenState is a copy of the state machine after the entry at index.
	frozenState struct {
		index  uint64
		frozen *state.FrozenMachine
	}

	// proposal says who waits for the result of a proposed command.
	proposal interface{ proposal() }

	// onceProposal answers an OnceCall.
	onceProposal struct {
		session *session
		id      uint64
	}

	// configProposal answers a Propose.
	configProposal struct {
		session *session
		number  uint64
		hash    []byte
		author  string
	}

	// draftProposal answers a submitted draft.
	draftProposal struct {
		reply chan<- SubmitResult
		draft Draft
	}

	// readProposal answers a read of the accepted revision; committing it proves that no other leader has
	// accepted a newer one.
	readProposal struct{ reply chan<- ReadResult }

	// ownProposal is a command of the leader itself.
	ownProposal struct{}
)

func (onceProposal) proposal()   {}
func (configProposal) proposal() {}
func (draftProposal) proposal()  {}
func (readProposal) proposal()   {}
func (ownProposal) proposal()    {}

func newVoterState(cfg Options, storage disk.Storage, l *Loop, now time.Time) (*voterState, error) {
	restored, err := storage.Load()
	if err != nil {
		return nil, fmt.Errorf("load data folder: %w", err)
	}
	v := &voterState{
		name:      cfg.Name,
		peers:     cfg.Voters,
		found:     make(chan *raftLink, raft.MaxPeers),
		machine:   state.New(acceptText),
		writer:    newWriter(storage, l),
		links:     map[string]*raftLink{},
		sessions:  map[*session]struct{}{},
		proposals: map[uint64]proposal{},
		encoder:   make(chan frozenState, 1), // the member asks for one snapshot at a time
	}
	if cfg.Open {
		v.name = cfg.PeerAddress
	}
	for name, address := range cfg.Voters {
		if name != cfg.Name {
			v.links[name] = newRaftLink(name, address, l)
		}
	}
	v.node = raft.New(v.config(cfg), restored, now)
	return v, nil
}

// config returns the settings of the consensus member.
func (v *voterState) config(cfg Options) raft.Config {
	if cfg.Open {
		return openConfig(cfg)
	}
	return raft.Config{Name: cfg.Name, Peers: slices.Collect(maps.Keys(cfg.Voters)), Seed: cfg.Boot}
}

func (v *voterState) children(l *Loop) []super.Child {
	children := make([]super.Child, 0, len(v.links)+1)
	for name, link := range v.links {
		children = append(children, super.Child{Name: "raft-" + name, Run: link.run})
	}
	if l.cfg.Open {
		children = append(children, super.Child{Name: "raft-links", Run: l.runLinks})
	}
	return append(children,
		super.Child{Name: "encoder", Run: l.runEncoder},
		super.Child{Name: "writer", Run: v.writer.run})
}

// handleVoter handles the events of a control instance.
func (l *Loop) handleVoter(now time.Time, event Event) {
	v := l.voter
	switch event := event.(type) {
	case consensus:
		l.stepRaft(now, event.input)
	case daemonOpened:
		v.sessions[event.session] = struct{}{}
	case daemonClosed:
		delete(v.sessions, event.session)
		if v.lead != nil {
			v.lead.closed(now, l, event.session)
		}
	case daemonSent:
		l.handleUp(now, event.session, event.message)
	case storageReopened:
		l.restartMember(now, event.restored)
	case draftSubmitted:
		l.submitDraft(now, event)
	case configRead:
		l.readConfig(now, event)
	}
}

// restartMember replaces a consensus member whose disk had failed by one that knows what the disk holds.
func (l *Loop) restartMember(now time.Time, restored raft.RecoveredState) {
	v := l.voter
	v.machine = state.New(acceptText)
	v.node = raft.New(v.config(l.cfg), restored, now)
	v.inputs, v.lead = nil, nil
	for id := range v.proposals {
		l.dropped(raft.Dropped{ID: id, Reason: raft.DroppedUnknown})
	}
	for _, address := range *l.controls.Load() {
		if l.cfg.Open {
			l.stepRaft(now, raft.PeerFound{Name: address})
		}
	}
	l.log.Info().Uint64("boot", restored.Boot).Msg("storage-reopened")
}

// stepRaft passes an event to the consensus member and executes its actions in order. An event that an
// action raises waits until all actions of the step are executed, so that no step begins within another.
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
}

// execute carries out one action of the consensus member.
func (l *Loop) execute(now time.Time, action raft.Action) {
	v := l.voter
	switch action := action.(type) {
	case raft.Persist:
		v.writer.submit(saveBatch{batch: action.Batch})
	case raft.PersistSnapshot:
		v.writer.submit(saveSnapshot{snapshot: action.Snapshot})
	case raft.Send:
		if link := l.linkTo(action.To); link != nil {
			link.send(action.Message)
		}
	case raft.Apply:
		l.apply(now, action.Entries)
	case raft.Restore:
		l.restore(action.Snapshot)
	case raft.TakeSnapshot:
		l.takeSnapshot()
	case raft.Dropped:
		l.dropped(action)
	case raft.BecameLeader:
		l.becomeLeader(now, action.Term)
	case raft.SteppedDown:
		l.stepDown(action.Term)
	case raft.Fenced:
		l.log.Error().Str("by", action.By).Str("reason", action.Reason).Msg("disk-refused-by-peer")
	case raft.Stopped:
		l.log.Error().Err(action.Err).Msg("disk-failed")
	}
}

// apply passes committed commands to the state machine and answers those who proposed them.
func (l *Loop) apply(now time.Time, entries []raft.Committed) {
	v := l.voter
	revision, quarantine := v.revision(), v.machine.QuarantineVersion
	for _, entry := range entries {
		command, err := state.DecodeCommand(entry.Data)
		if err != nil {
			// Every member holds the same bytes, so that all of them skip the entry.
			l.log.Error().Uint64("index", entry.Index).Err(err).Msg("command-unreadable")
			continue
		}
		result := v.machine.Apply(entry.Index, command)
		if waiting, ok := v.proposals[entry.Proposal]; ok && entry.Proposal != 0 {
			delete(v.proposals, entry.Proposal)
			l.answerProposal(waiting, result)
		}
	}
	if v.lead == nil {
		return
	}
	if v.revision() != revision {
		v.lead.configChanged(now, l)
	}
	if v.machine.QuarantineVersion != quarantine {
		v.lead.quarantineChanged(l)
	}
}

func (l *Loop) answerProposal(waiting proposal, result state.Result) {
	switch waiting := waiting.(type) {
	case onceProposal:
		l.replyOnce(waiting, result)
	case configProposal:
		verdict, err := state.EncodeVerdict(result)
		if err != nil {
			l.log.Error().Err(err).Msg("config-verdict-not-encoded")
			return
		}
		l.log.Info().Uint64("revision", waiting.number).Str("author", waiting.author).
			Str("verdict", verdictText(result)).Msg("config-decided")
		if refused, ok := result.(*state.ConfigRefused); ok && l.voter.lead != nil {
			l.voter.lead.noteRefusal(l.clock.Now(), waiting, refused)
		}
		l.sendDown(waiting.session, &ProposeReply{Number: waiting.number, Hash: waiting.hash, Verdict: verdict})
	case draftProposal:
		l.answerDraft(waiting, result)
	case readProposal:
		l.answerRead(waiting)
	case ownProposal:
	}
}

func (l *Loop) replyOnce(waiting onceProposal, result state.Result) {
	reply := &OnceReply{ID: waiting.id}
	if result != nil {
		verdict, err := state.EncodeVerdict(result)
		if err != nil {
			l.log.Error().Err(err).Msg("once-verdict-not-encoded")
			return
		}
		reply.Verdict = verdict
	}
	l.sendDown(waiting.session, reply)
}

// dropped ends a proposal. When its outcome is unknown, nothing is answered: the daemon repeats the
// command on its next control stream.
func (l *Loop) dropped(action raft.Dropped) {
	waiting, ok := l.voter.proposals[action.ID]
	if !ok {
		return
	}
	delete(l.voter.proposals, action.ID)
	switch waiting := waiting.(type) {
	case draftProposal:
		waiting.reply <- SubmitUnconfirmed{}
	case readProposal:
		waiting.reply <- ReadUnconfirmed{}
	}
	if once, ok := waiting.(onceProposal); ok && action.Reason != raft.DroppedUnknown && action.Reason != raft.DroppedNotLeader {
		l.replyOnce(once, nil)
	}
}

// propose asks the group to commit a command.
func (l *Loop) propose(now time.Time, command state.Command, waiting proposal) {
	v := l.voter
	body, err := state.EncodeCommand(command)
	if err != nil {
		l.log.Warn().Err(err).Msg("command-refused")
		if once, ok := waiting.(onceProposal); ok {
			l.replyOnce(once, nil)
		}
		return
	}
	v.nextProposal++
	v.proposals[v.nextProposal] = waiting
	l.stepRaft(now, raft.Propose{ID: v.nextProposal, Data: body})
}

func (l *Loop) restore(snapshot raft.Snapshot) {
	machine, err := state.Restore(snapshot.Data, acceptText)
	if err != nil {
		// A snapshot that passed its checksum and cannot be read leaves this member without a state.
		panic(fmt.Sprintf("restore snapshot at index %d: %v", snapshot.Index, err))
	}
	l.voter.machine = machine
}

// takeSnapshot copies the state for the encoder: encoding 100,000 records takes longer than the leader's
// lease, so that the loop must not wait for it.
func (l *Loop) takeSnapshot() {
	v := l.voter
	v.encoder <- frozenState{index: v.node.Status().Applied, frozen: v.machine.Freeze()}
}

// runEncoder encodes snapshots until ctx ends.
func (l *Loop) runEncoder(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case copied := <-l.voter.encoder:
			data, err := copied.frozen.Encode()
			if err != nil {
				l.log.Error().Err(err).Msg("snapshot-failed")
				continue
			}
			l.post(ctx, consensus{input: raft.SnapshotTaken{Index: copied.index, Data: data}})
		}
	}
}

// revision returns the accepted revision, zero before the first.
func (v *voterState) revision() uint64 {
	if current := v.machine.CurrentRevision(); current != nil {
		return current.Number
	}
	return 0
}

// settleVoter runs what is due on a control instance and returns when something is due next.
func (l *Loop) settleVoter(now time.Time) time.Time {
	v := l.voter
	if !v.node.Deadline().After(now) {
		l.stepRaft(now, raft.Tick{})
	}
	next := v.node.Deadline()
	if v.lead != nil {
		next = earliest(next, v.lead.settle(now, l))
	}
	return next
}
