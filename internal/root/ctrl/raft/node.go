package raft

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// quietStep bounds how much one step counts towards silence of the leader: a clock that jumps forward
	// or a pause then costs at most this much of the 50 ms between the lease and the shortest election
	// timeout.
	quietStep = 50 * time.Millisecond

	// clockTolerance is the difference between wall and monotonic time in one step that ends a leadership:
	// the monotonic clock stands still while a machine is suspended.
	clockTolerance = 25 * time.Millisecond

	idleDeadline = time.Hour
)

type (
	// Node is one member; the control loop owns it.
	Node struct {
		cfg     Config
		self    Voter
		peers   []string // names of the members that this member speaks to, its own included
		boot    uint64
		start   uint64
		lineage []byte
		random  *rand.Rand

		now       time.Time
		quiet     time.Duration // counted since a leader was heard or the start
		elapsed   time.Duration // counted since the election timer was reset
		timeout   time.Duration // election timer
		nextHello time.Time

		role   Role
		leader Voter
		hard   HardState
		votes  map[string]bool // by disk
		lead   *leadership     // set exactly while role is Leader

		log      entryLog
		members  []Membership // ascending; the last is in force, the first is committed
		commit   uint64
		applied  uint64 // at most commit
		verified uint64 // last entry known to equal the entry of the leader of this term
		sent     int64  // of the latest message of the leader of this term, -1 if none
		incoming *incoming

		snapshot *Snapshot // latest synced or installed
		taken    *Snapshot // handed to the disk, not yet synced
		taking   bool      // a snapshot was asked for and is not yet synced
		grown    int       // size of the entries applied since a snapshot was asked for

		writes   writes
		held     []heldSend
		accepted map[string]string // disk of each peer, by name, that accepted this start
		unformed map[string]Voter  // peers, by name, that belonged to no group when last heard

		out    []Action
		failed string
	}

	heldSend struct {
		seq  uint64 // 0 until the writes of this step have a number
		send Send
	}
)

// New returns a member with the state that its disk held; cfg.Name must be in cfg.Peers. The first Step
// returns Restore if there is a snapshot.
func New(cfg Config, restored RecoveredState, now time.Time) *Node {
	n := &Node{
		cfg:      cfg.withDefaults(),
		self:     Voter{Name: cfg.Name, Disk: restored.Disk},
		peers:    slices.Clone(cfg.Peers),
		boot:     restored.Boot,
		start:    restored.Start,
		random:   rand.New(rand.NewPCG(cfg.Seed, restored.Start)),
		now:      now,
		hard:     restored.HardState,
		sent:     -1,
		accepted: map[string]string{},
		unformed: map[string]Voter{},
	}
	if n.cfg.BootstrapMembers == nil {
		n.cfg.BootstrapMembers = cfg.Peers
	}
	n.nextHello = now
	lineage := restored.Lineage
	if len(lineage) > MaxLineage {
		lineage = lineage[len(lineage)-MaxLineage:]
	}
	for _, start := range lineage {
		n.lineage = binary.LittleEndian.AppendUint64(n.lineage, start)
	}
	n.resetElection()
	n.log.restore(restored.Snapshot, restored.Entries)
	if restored.Snapshot != nil {
		n.snapshot = restored.Snapshot
		n.members = []Membership{restored.Snapshot.Membership}
		n.commit, n.applied = n.snapshot.Index, n.snapshot.Index
		n.out = append(n.out, Restore{Snapshot: *n.snapshot})
	}
	for i := range restored.Entries {
		if e := &restored.Entries[i]; e.Kind == EntryMembership && e.Index > n.commit {
			n.members = append(n.members, *e.Membership)
		}
	}
	if n.snapshot == nil && len(n.members) > 0 {
		n.commit = n.members[0].Index // the entry that formed the group is committed by definition
	}
	n.addPeers(n.membership())
	n.writes.saved, n.writes.durable = n.log.last(), n.log.last()
	if n.hard.Fenced {
		n.out = append(n.out, Fenced{Reason: "refused at an earlier start"})
	}
	return n
}

// Step handles one event and returns the actions to execute in order.
func (n *Node) Step(now time.Time, ev Event) []Action {
	if n.failed != "" {
		return nil
	}
	if failed, ok := ev.(PersistFailed); ok {
		n.stop(failed.Err)
	} else {
		n.advance(now)
		if persisted, ok := ev.(Persisted); ok {
			n.onPersisted(persisted.Seq)
		} else if !n.hard.Fenced {
			n.handle(ev)
		}
		if n.failed == "" {
			n.settle()
		}
	}
	out := n.out
	n.out = nil
	// Writes come first: a loop that calls Step again while it executes another action must not submit a
	// later batch before an earlier one.
	slices.SortStableFunc(out, func(a, b Action) int { return rank(a) - rank(b) })
	return out
}

func rank(a Action) int {
	switch a.(type) {
	case Persist, PersistSnapshot:
		return 0
	}
	return 1
}

func (n *Node) handle(ev Event) {
	switch ev := ev.(type) {
	case Tick:
	case MessageReceived:
		n.receive(ev.Message)
	case Propose:
		n.propose(ev)
	case SnapshotTaken:
		n.onSnapshotTaken(ev)
	case SnapshotPersisted:
		n.onSnapshotPersisted(ev.Index)
	case ReplaceVoter:
		if n.role == Leader {
			n.lead.replace = ev
		}
	case PeerFound:
		n.isPeer(ev.Name)
	}
}

func (n *Node) receive(m Message) {
	if n.isDiskStalled() {
		return // as if it were lost
	}
	switch m := m.(type) {
	case *Hello:
		n.onHello(m)
		return
	case *HelloReply:
		n.onHelloReply(m)
		return
	}
	if !n.admits(m.head()) {
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

// settle does what an event made due: timers, commitment, application, replication and writes.
func (n *Node) settle() {
	if !n.hard.Fenced {
		n.form()
		n.runTimers()
		n.apply()
		// A change of the voters can change what a majority holds, so the step goes on until nothing does:
		// a proposal made while the loop executes an Apply must not find more to apply.
		for n.role == Leader {
			n.changeMembership()
			if !n.advanceCommit() {
				n.replicateAll()
				break
			}
			n.apply()
		}
	}
	n.flush()
	n.release()
}

// advance moves the time. Silence of the leader is counted conservatively, so that a clock step makes
// this member vote later and lead shorter, never the other way round.
func (n *Node) advance(now time.Time) {
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
	n.quiet += min(gap, quietStep)
	n.elapsed += min(gap, quietStep)
}

// isDiskStalled reports whether so many batches wait for the disk that nothing may add to them. One step
// issues a few batches at most, hence the margin.
func (n *Node) isDiskStalled() bool { return len(n.writes.waiting) >= MaxPendingWrites-16 }

func (n *Node) runTimers() {
	if n.role == Leader {
		n.updateLease()
		if !n.now.Before(n.leadershipEnd()) {
			n.stepDown()
		}
	}
	if n.role != Leader && !n.isDiskStalled() && n.isAdmittedTo(n.membership()) {
		if n.sole() {
			if n.role == Follower {
				n.campaign()
			}
		} else if n.elapsed >= n.timeout {
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
	if n.failed != "" || n.hard.Fenced {
		return n.now.Add(idleDeadline)
	}
	var due time.Time
	if n.role == Leader {
		due = n.lead.heartbeat
		if end := n.leadershipEnd(); end.Before(due) {
			due = end
		}
	} else {
		due = n.now.Add(min(quietStep, max(n.timeout-n.elapsed, 0)))
		if !n.isAdmittedTo(n.membership()) || n.sole() {
			due = n.now.Add(quietStep)
		}
	}
	if n.needsHello() && n.nextHello.Before(due) {
		due = n.nextHello
	}
	return due
}

// MembershipIndex returns the index of the latest membership, zero before the first.
func (n *Node) MembershipIndex() uint64 {
	if m := n.membership(); m != nil {
		return m.Index
	}
	return 0
}

// Status returns a copy of the member's state as of the last Step.
func (n *Node) Status() Status {
	s := Status{
		Role: n.role, Term: n.hard.Term, Leader: n.leader.Name, Commit: n.commit, Applied: n.applied, Last: n.log.last(),
		Boot: n.boot, Admitted: n.isAdmittedTo(n.membership()), Fenced: n.hard.Fenced, Failed: n.failed, LeaseHeld: n.LeaseHeld(n.now),
	}
	if n.snapshot != nil {
		s.Snapshot = n.snapshot.Index
	}
	if m := n.membership(); m != nil {
		s.Voters = slices.Clone(m.Voters)
		s.Replacing = m.Index > n.commit || m.Leaving != "" || m.Joining != ""
	}
	if n.role == Leader {
		s.LeaseUntil = n.lead.leaseEnd
		for _, p := range n.lead.progress {
			if !n.membership().Has(p.peer.Disk) {
				s.Learners = append(s.Learners, p.peer)
			}
		}
	}
	return s
}

// LeaseHeld reports whether this member leads, has applied an entry of its own term, and its lease covers now.
func (n *Node) LeaseHeld(now time.Time) bool {
	return n.role == Leader && n.lead.ready && !now.Before(n.now) && now.Before(n.lead.leaseEnd)
}

// stop ends all activity after a failed write: what the disk holds is no longer known.
func (n *Node) stop(err error) {
	n.stepDown()
	n.failed = err.Error()
	n.held = nil
	n.out = append(n.out, Stopped{Err: err})
}

func (n *Node) membership() *Membership {
	if len(n.members) == 0 {
		return nil
	}
	return &n.members[len(n.members)-1]
}

// committedMembership returns the latest membership that cannot change any more, or nil.
func (n *Node) committedMembership() *Membership {
	for i := len(n.members) - 1; i >= 0; i-- {
		if n.members[i].Index <= n.commit {
			return &n.members[i]
		}
	}
	return nil
}

func (n *Node) group() string {
	if m := n.membership(); m != nil {
		return m.Group
	}
	return ""
}

// sole reports whether this member is the only voter.
func (n *Node) sole() bool {
	m := n.membership()
	return m != nil && len(m.Voters) == 1 && m.Voters[0] == n.self
}

func (n *Node) header(to Voter) Header {
	return Header{From: n.self, Boot: n.boot, Start: n.start, To: to.Disk, Group: n.group(), Term: n.hard.Term}
}

func (n *Node) send(to Voter, m Message) { n.out = append(n.out, Send{To: to.Name, Message: m}) }

// sendAfterHard sends m once the hard state is synced; entries may still be unsynced.
func (n *Node) sendAfterHard(to Voter, m Message) {
	switch {
	case n.writes.hardDirty:
		n.sendHeld(to, m)
	case n.writes.hardSeq <= n.writes.synced:
		n.send(to, m)
	default:
		n.held = append(n.held, heldSend{seq: n.writes.hardSeq, send: Send{To: to.Name, Message: m}})
	}
}

// sendHeld sends m once all writes up to the end of this step are synced.
func (n *Node) sendHeld(to Voter, m Message) {
	n.held = append(n.held, heldSend{send: Send{To: to.Name, Message: m}})
}
