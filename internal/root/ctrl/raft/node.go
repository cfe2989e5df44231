package raft

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxTimeStep is the longest time that one step adds to the time since the last contact with the leader. A
	// clock that jumps forward or a pause of the process then uses up at most this much of the 50 ms between
	// the lease and the shortest election timeout.
	maxTimeStep = 50 * time.Millisecond

	// clockTolerance is the difference between the elapsed wall-clock and monotonic time of one step above
	// which a leader steps down: the monotonic clock stops while a machine is suspended.
	clockTolerance = 25 * time.Millisecond

	idleTickInterval = time.Hour
)

type (
	// Node is one member of the group. It is not safe for concurrent use; the control loop owns it.
	Node struct {
		cfg     Config
		self    Voter
		peers   []string // names of all known members, including this one
		boot    uint64
		start   uint64
		lineage []byte
		random  *rand.Rand

		now                time.Time
		sinceLeaderContact time.Duration // since the last message of a leader, or since the start
		electionElapsed    time.Duration // since the election timer was reset
		electionTimeout    time.Duration // duration of the election timer
		nextHello          time.Time
		helloSentAt        map[string]time.Time // by name of the peer

		role        Role
		leader      Voter
		hardState   HardState
		votes       map[string]bool // by disk
		leaderState *leaderState    // non-nil exactly while role is Leader

		log              entryLog
		memberships      []Membership // by ascending index; the last is in effect, the first is committed
		commit           uint64
		applied          uint64 // index of the last applied entry, at most commit
		verified         uint64 // index of the last entry that equals the entry of this term's leader
		leaderSentAt     int64  // SentAt of the latest message of this term's leader, -1 if none
		incomingSnapshot *incomingSnapshot

		snapshot           *Snapshot // latest one that is synced or was installed
		unsyncedSnapshot   *Snapshot // passed to the disk, not yet synced
		snapshotPending    bool      // a snapshot was requested and is not yet synced
		bytesSinceSnapshot int       // size of the entries applied since the latest request for a snapshot

		writes            writeProgress
		heldSends         []heldSend
		acceptedBy        map[string]string // by name: the disk of each peer that accepted this start
		peersWithoutGroup map[string]Voter  // by name: peers whose latest Hello or reply named no group

		stopping bool // this member is about to stop
		actions  []Action
		failure  string
	}

	heldSend struct {
		seq  uint64 // 0 until the batches of the current step have numbers
		send Send
	}
)

// New returns a member with the state recovered from its disk; cfg.Name must be in cfg.Peers. The first Step
// returns Restore if there is a snapshot.
func New(cfg Config, recovered RecoveredState, now time.Time) *Node {
	n := &Node{
		cfg:               cfg.withDefaults(),
		self:              Voter{Name: cfg.Name, Disk: recovered.Disk},
		peers:             slices.Clone(cfg.Peers),
		boot:              recovered.Boot,
		start:             recovered.Start,
		random:            rand.New(rand.NewPCG(cfg.Seed, recovered.Start)),
		now:               now,
		hardState:         recovered.HardState,
		leaderSentAt:      -1,
		acceptedBy:        map[string]string{},
		peersWithoutGroup: map[string]Voter{},
		helloSentAt:       map[string]time.Time{},
	}
	if n.cfg.BootstrapMembers == nil {
		n.cfg.BootstrapMembers = cfg.Peers
	}
	n.nextHello = now
	lineage := recovered.Lineage
	if len(lineage) > MaxLineage {
		lineage = lineage[len(lineage)-MaxLineage:]
	}
	for _, start := range lineage {
		n.lineage = binary.LittleEndian.AppendUint64(n.lineage, start)
	}
	n.resetElection()
	n.log.restore(recovered.Snapshot, recovered.Entries)
	if recovered.Snapshot != nil {
		n.snapshot = recovered.Snapshot
		n.memberships = []Membership{recovered.Snapshot.Membership}
		n.commit, n.applied = n.snapshot.Index, n.snapshot.Index
		n.actions = append(n.actions, Restore{Snapshot: *n.snapshot})
	}
	for i := range recovered.Entries {
		if e := &recovered.Entries[i]; e.Kind == EntryMembership && e.Index > n.commit {
			n.memberships = append(n.memberships, *e.Membership)
		}
	}
	if n.snapshot == nil && len(n.memberships) > 0 {
		n.commit = n.memberships[0].Index // the bootstrap entry is committed by definition
	}
	n.addVotersAsPeers(n.membership())
	n.writes.submittedIndex, n.writes.durableIndex = n.log.lastIndex(), n.log.lastIndex()
	if n.hardState.Fenced {
		n.actions = append(n.actions, Fenced{Reason: "refused at an earlier start"})
	}
	return n
}

// Step processes one event and returns the actions to execute in order.
func (n *Node) Step(now time.Time, ev Event) []Action {
	if n.failure != "" {
		return nil
	}
	if failed, ok := ev.(PersistFailed); ok {
		n.stop(failed.Err)
	} else {
		n.advanceTime(now)
		if persisted, ok := ev.(Persisted); ok {
			n.onPersisted(persisted.Seq)
		} else if !n.hardState.Fenced {
			n.handleEvent(ev)
		}
		if n.failure == "" {
			n.runDueWork()
		}
	}
	actions := n.actions
	n.actions = nil
	// Writes come first: a control loop that calls Step while it executes another action would otherwise
	// submit a later batch before an earlier one.
	slices.SortStableFunc(actions, func(a, b Action) int { return actionOrder(a) - actionOrder(b) })
	return actions
}

func actionOrder(a Action) int {
	switch a.(type) {
	case Persist, PersistSnapshot:
		return 0
	}
	return 1
}

func (n *Node) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case Tick:
	case MessageReceived:
		n.handleMessage(ev.Message)
	case Propose:
		n.propose(ev)
	case SnapshotTaken:
		n.onSnapshotTaken(ev)
	case SnapshotPersisted:
		n.onSnapshotPersisted(ev.Index)
	case ReplaceVoter:
		if n.role == Leader {
			n.leaderState.requestedReplacement = ev
		}
	case PeerFound:
		n.addPeer(ev.Name)
	case StopRequested:
		n.stopping = true
	}
}

func (n *Node) handleMessage(m Message) {
	if n.isDiskStalled() {
		return // the message is dropped; the sender retries as after a lost message
	}
	switch m := m.(type) {
	case *Hello:
		n.onHello(m)
		return
	case *HelloReply:
		n.onHelloReply(m)
		return
	}
	if !n.acceptsHeader(m.header()) {
		return
	}
	switch m := m.(type) {
	case *VoteRequest:
		n.onVoteRequest(m)
	case *VoteReply:
		n.onVoteReply(m)
	case *Append:
		n.onAppend(m)
	case *AppendReply:
		n.onAppendReply(m)
	case *InstallSnapshot:
		n.onInstallSnapshot(m)
	}
}

// runDueWork performs the work that follows from an event: timers, commitment, application, replication and
// writes.
func (n *Node) runDueWork() {
	if !n.hardState.Fenced {
		n.bootstrap()
		n.runTimers()
		n.apply()
		// A membership change can change which entry a majority has synced, so this repeats until nothing new
		// is committed. Otherwise a Propose that the control loop makes while it executes an Apply could commit
		// and apply further entries.
		for n.role == Leader {
			n.changeMembership()
			if !n.advanceCommit() {
				n.replicateAll()
				break
			}
			n.apply()
		}
		n.requestSnapshot()
	}
	n.submitWrites()
	n.releaseHeldSends()
}

// advanceTime sets the current time. A clock step can only delay a vote of this member or shorten its
// leadership: backward steps do not count as time, and each step counts as at most maxTimeStep.
func (n *Node) advanceTime(now time.Time) {
	gap := now.Sub(n.now)
	skew := now.Round(0).Sub(n.now.Round(0)) - gap
	n.now = now
	if gap < 0 {
		gap = 0
		n.nextHello = now
		n.stepDown()
	}
	if skew > clockTolerance || skew < -clockTolerance {
		n.stepDown()
	}
	n.sinceLeaderContact += min(gap, maxTimeStep)
	n.electionElapsed += min(gap, maxTimeStep)
}

// isDiskStalled reports whether too many batches wait for the disk to accept work that adds one. The margin
// of 16 allows for the batches that one step adds.
func (n *Node) isDiskStalled() bool { return len(n.writes.pending) >= MaxPendingWrites-16 }

func (n *Node) runTimers() {
	if n.role == Leader {
		n.updateLease()
		if !n.now.Before(n.leadershipEnd()) {
			n.stepDown()
		}
	}
	if n.role != Leader && !n.isDiskStalled() && n.mayCampaign() {
		if n.isOnlyVoter() {
			if n.role == Follower {
				n.campaign()
			}
		} else if n.electionElapsed >= n.electionTimeout {
			n.preCampaign()
		}
	}
	if !n.now.Before(n.nextHello) && n.needsHello() {
		n.nextHello = n.now.Add(n.cfg.Heartbeat)
		n.sendHellos()
	}
}

// Deadline returns when the next Tick is due.
func (n *Node) Deadline() time.Time {
	if n.failure != "" || n.hardState.Fenced {
		return n.now.Add(idleTickInterval)
	}
	var due time.Time
	if n.role == Leader {
		due = n.leaderState.nextHeartbeat
		if end := n.leadershipEnd(); end.Before(due) {
			due = end
		}
	} else {
		due = n.now.Add(min(maxTimeStep, max(n.electionTimeout-n.electionElapsed, 0)))
		if n.isDiskStalled() || !n.mayCampaign() || n.isOnlyVoter() {
			due = n.now.Add(maxTimeStep)
		}
	}
	if n.needsHello() && n.nextHello.Before(due) {
		due = n.nextHello
	}
	return due
}

// MembershipIndex returns the index of the latest membership, or zero if there is none.
func (n *Node) MembershipIndex() uint64 {
	if m := n.membership(); m != nil {
		return m.Index
	}
	return 0
}

// Status returns a copy of the member's state as of the last Step.
func (n *Node) Status() Status {
	s := Status{
		Role: n.role, Term: n.hardState.Term, Leader: n.leader.Name, Commit: n.commit, Applied: n.applied, Last: n.log.lastIndex(),
		Boot: n.boot, Admitted: n.mayVoteIn(n.membership()), Fenced: n.hardState.Fenced, Failed: n.failure, LeaseHeld: n.LeaseHeld(n.now),
	}
	if n.snapshot != nil {
		s.Snapshot = n.snapshot.Index
	}
	if m := n.membership(); m != nil {
		s.Voters = slices.Clone(m.Voters)
		s.Replacing = m.Index > n.commit || m.Leaving != "" || m.Joining != ""
	}
	if n.role == Leader {
		s.LeaseUntil = n.leaderState.leaseEnd
		for _, p := range n.leaderState.progress {
			if !n.membership().HasDisk(p.peer.Disk) {
				s.Learners = append(s.Learners, p.peer)
			}
		}
	}
	return s
}

// LeaseHeld reports whether this member leads, has applied an entry of its own term, and its lease covers now.
func (n *Node) LeaseHeld(now time.Time) bool {
	return n.role == Leader && n.leaderState.ready && !now.Before(n.now) && now.Before(n.leaderState.leaseEnd)
}

// stop ends all activity after a failed write, because the content of the disk is then uncertain.
func (n *Node) stop(err error) {
	n.stepDown()
	n.failure = err.Error()
	n.heldSends = nil
	n.actions = append(n.actions, Stopped{Err: err})
}

func (n *Node) membership() *Membership {
	if len(n.memberships) == 0 {
		return nil
	}
	return &n.memberships[len(n.memberships)-1]
}

// committedMembership returns the latest committed membership, or nil.
func (n *Node) committedMembership() *Membership {
	for i := len(n.memberships) - 1; i >= 0; i-- {
		if n.memberships[i].Index <= n.commit {
			return &n.memberships[i]
		}
	}
	return nil
}

// Group identifies the group of this member, empty while it belongs to none.
func (n *Node) Group() string {
	if m := n.membership(); m != nil {
		return m.Group
	}
	return ""
}

// isOnlyVoter reports whether this member is the only voter.
func (n *Node) isOnlyVoter() bool {
	m := n.membership()
	return m != nil && len(m.Voters) == 1 && m.Voters[0] == n.self
}

func (n *Node) newHeader(to Voter) Header {
	return Header{From: n.self, Boot: n.boot, Start: n.start, To: to.Disk, Group: n.Group(), Term: n.hardState.Term}
}

func (n *Node) send(to Voter, m Message) {
	n.actions = append(n.actions, Send{To: to.Name, Message: m})
}

// sendAfterHardState sends m once the hard state is synced; entries may still be unsynced.
func (n *Node) sendAfterHardState(to Voter, m Message) {
	switch {
	case n.writes.hardStateDirty:
		n.sendAfterWrites(to, m)
	case n.writes.hardStateSeq <= n.writes.syncedSeq:
		n.send(to, m)
	default:
		n.heldSends = append(n.heldSends, heldSend{seq: n.writes.hardStateSeq, send: Send{To: to.Name, Message: m}})
	}
}

// sendAfterWrites sends m once all writes up to the end of this step are synced.
func (n *Node) sendAfterWrites(to Voter, m Message) {
	n.heldSends = append(n.heldSends, heldSend{send: Send{To: to.Name, Message: m}})
}
