package raft

import (
	"slices"
	"time"
)

// maxLearnerLag is the number of entries that a learner may lack when it becomes a voter; they fit into one
// message.
const maxLearnerLag = 64

// unreachableAfter is the time since the last reply after which another member may replace a voter of an open
// group. It leaves a new member enough of its catch-up time to take the place of a lost one after an election. A
// voter that was only silent is added again when it replies.
const unreachableAfter = time.Second

// changeMembership appends the next step of a replacement. Voters are added and removed one at a time, each
// step after the previous one is committed, so that any two majorities overlap. A responsive voter is
// removed after its replacement has been added. An unresponsive voter whose name has a new disk is removed first: in a
// larger group it would not contribute to a majority, and losing the new disk as well would then stop the group. In an
// open group a name is an address, so that a new disk under it proves that the earlier one is gone, even if it has
// replied just before. An unresponsive voter that may still have its disk is removed after a spare has been added: without it, a smaller group
// would stop when another disk is lost.
func (n *Node) changeMembership() {
	current := n.membership()
	switch {
	case !n.leaderState.ready || current.Index > n.commit:
	case current.Leaving != "":
		n.appendMembership("its successor votes", func(m *Membership) { removeVoter(m, current.Leaving) })
	case current.TargetSize > 0:
		n.changeOpenGroup(current)
	default:
		n.changeFixedGroup(current)
	}
}

// changeFixedGroup replaces a voter of a group with fixed names. Between the steps, Joining keeps the place of the
// new member.
func (n *Node) changeFixedGroup(current *Membership) {
	for _, p := range n.leaderState.progress {
		if current.HasDisk(p.peer.Disk) || !n.caughtUp(p) {
			continue
		}
		if current.Joining != "" {
			if p.peer.Name == current.Joining {
				n.appendMembership("it takes the place of a removed voter", func(m *Membership) { addVoter(m, p.peer) })
				return
			}
			continue
		}
		replaced := n.voterReplacedBy(p.peer.Name)
		if replaced == nil {
			continue
		}
		if n.isResponsiveVoter(*replaced) {
			n.appendMembership("it replaces a voter that replies", func(m *Membership) {
				addVoter(m, p.peer)
				m.Leaving = replaced.Disk
			})
		} else {
			n.appendMembership("its successor has caught up", func(m *Membership) {
				removeVoter(m, replaced.Disk)
				m.Joining = p.peer.Name
			})
		}
		n.leaderState.requestedReplacement = ReplaceVoter{}
		return
	}
}

// changeOpenGroup maintains the target size of an open group. Any member that has caught up may take a free place,
// so that none is kept for a member that is lost in the meantime.
func (n *Node) changeOpenGroup(current *Membership) {
	isOverTarget := uint64(len(current.Voters)) > current.TargetSize
	if stopping := n.stoppingVoter(current); isOverTarget && stopping != nil {
		n.appendMembership("it stops and there is a spare", func(m *Membership) { removeVoter(m, stopping.Disk) })
		return
	}
	for _, p := range n.leaderState.progress {
		if !current.HasDisk(p.peer.Disk) && !p.stopping && n.caughtUp(p) && n.admit(current, p.peer) {
			return
		}
	}
	if !isOverTarget {
		return
	}
	if unreachable := n.unreachableVoter(current); unreachable != nil {
		n.appendMembership("it is silent and there is a spare", func(m *Membership) { removeVoter(m, unreachable.Disk) })
	}
}

// admit appends the next step towards making a learner of an open group a voter, and reports false if there is no
// place for it. A member replaces the voter of the same name or takes a free place. A new member with Extends set
// increases the target size up to MaxVoters. Any other member is added as a spare: once another voter stops or is
// unreachable, that voter is removed.
func (n *Node) admit(current *Membership, learner Voter) bool {
	size := uint64(len(current.Voters))
	replaced, unreachable := n.voterReplacedBy(learner.Name), n.unreachableVoter(current)
	extends := n.extends(current, learner)
	switch {
	case replaced != nil && replaced.Name == learner.Name:
		n.appendMembership("its name has a new disk", func(m *Membership) { removeVoter(m, replaced.Disk) })
	case replaced != nil && n.isResponsiveVoter(*replaced):
		n.appendMembership("it replaces a voter that replies", func(m *Membership) {
			addVoter(m, learner)
			m.Leaving = replaced.Disk
		})
	case replaced != nil:
		n.appendMembership("its successor has caught up", func(m *Membership) { removeVoter(m, replaced.Disk) })
	case extends && size < MaxVoters:
		n.appendMembership("it extends the group", func(m *Membership) {
			addVoter(m, learner)
			m.TargetSize++
		})
	case unreachable != nil && (size > current.TargetSize || size == current.TargetSize && extends):
		n.appendMembership("it is silent and a learner waits", func(m *Membership) { removeVoter(m, unreachable.Disk) })
	case size < current.TargetSize || size == current.TargetSize && !extends:
		n.appendMembership("it takes a free place or becomes the spare", func(m *Membership) { addVoter(m, learner) })
	default:
		return false
	}
	return true
}

// extends reports whether a learner increases the target size of the group. It does so once: a former voter has
// already increased it.
func (n *Node) extends(m *Membership, learner Voter) bool {
	boot := n.bootOf(learner.Disk)
	return boot != nil && boot.Extends && !slices.Contains(m.Removed, learner.Disk)
}

// stoppingVoter returns a voter that is about to stop, or nil.
func (n *Node) stoppingVoter(m *Membership) *Voter {
	for i, v := range m.Voters {
		p := n.leaderState.progressOf(v.Disk)
		if v == n.self && n.stopping || p != nil && p.stopping {
			return &m.Voters[i]
		}
	}
	return nil
}

// AwaitsRemoval reports whether this member is about to stop and an open group is about to remove it, because the
// group has more voters than its target size.
func (n *Node) AwaitsRemoval() bool {
	m := n.membership()
	switch {
	case !n.stopping || n.failure != "" || n.hardState.Fenced || m == nil || m.TargetSize == 0:
		return false
	case m.HasDisk(n.self.Disk):
		return uint64(len(m.Voters)) > m.TargetSize
	}
	return m.Index > n.commit
}

// unreachableVoter returns a voter that has not replied to this leader for unreachableAfter, or nil.
func (n *Node) unreachableVoter(m *Membership) *Voter {
	sinceElection := n.now.Sub(n.leaderState.electedAt)
	for i, v := range m.Voters {
		if v == n.self {
			continue
		}
		p := n.leaderState.progressOf(v.Disk)
		if sinceElection >= unreachableAfter && (p == nil || !p.hasReplied || sinceElection-p.ackedSentAt >= unreachableAfter) {
			return &m.Voters[i]
		}
	}
	return nil
}

// voterReplacedBy returns the voter that the learner with this name replaces: the voter of the same name, or
// the one in the requested ReplaceVoter.
func (n *Node) voterReplacedBy(name string) *Voter {
	for i, v := range n.membership().Voters {
		if v.Name == name || (n.leaderState.requestedReplacement.New == name && n.leaderState.requestedReplacement.Old == v.Name) {
			return &n.membership().Voters[i]
		}
	}
	return nil
}

// isResponsiveVoter reports whether a voter is this leader or has replied to it recently.
func (n *Node) isResponsiveVoter(v Voter) bool {
	return v == n.self || n.isResponsive(n.leaderState.progressOf(v.Disk))
}

func (n *Node) isResponsive(p *progress) bool {
	return p != nil && p.hasReplied && n.now.Sub(n.leaderState.electedAt)-p.ackedSentAt < n.cfg.ElectionMin
}

func (n *Node) caughtUp(p *progress) bool {
	return n.isResponsive(p) && p.snapshot == nil && p.match+maxLearnerLag >= n.log.lastIndex() && p.match >= n.leaderState.firstIndex
}

// appendMembership appends a changed copy of the membership; reason is for the log.
func (n *Node) appendMembership(reason string, change func(m *Membership)) {
	m := *n.membership()
	m.Voters, m.Removed = slices.Clone(m.Voters), slices.Clone(m.Removed)
	m.Index = n.log.lastIndex() + 1
	change(&m)
	n.actions = append(n.actions, ChangedVoters{Index: m.Index, Reason: reason})
	n.appendEntries(Entry{Index: m.Index, Term: n.hardState.Term, Kind: EntryMembership, Membership: &m})
}

func addVoter(m *Membership, v Voter) {
	m.Voters = append(m.Voters, v)
	m.Joining = ""
	m.Removed = slices.DeleteFunc(m.Removed, func(disk string) bool { return disk == v.Disk })
}

func removeVoter(m *Membership, disk string) {
	m.Voters = slices.DeleteFunc(m.Voters, func(v Voter) bool { return v.Disk == disk })
	m.Leaving = ""
	m.Removed = append(m.Removed, disk)
	if len(m.Removed) > MaxRemoved {
		m.Removed = m.Removed[1:]
	}
}
