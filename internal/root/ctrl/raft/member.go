package raft

import (
	"slices"
	"time"
)

// maxLearnerLag is the number of entries that a learner may lack when it becomes a voter; they fit into one
// message.
const maxLearnerLag = 64

// unreachableAfter is the time since the last reply after which another member may replace a voter of an open
// group. A paused or restarted instance usually replies sooner.
const unreachableAfter = 5 * time.Second

// changeMembership appends the next step of a replacement. Voters are added and removed one at a time, each
// step after the previous one is committed, so that any two majorities overlap. A responsive voter is
// removed after its replacement has been added. An unresponsive voter is removed first: in a larger group it
// would not contribute to a majority, and losing the new disk as well would then stop the group.
func (n *Node) changeMembership() {
	current := n.membership()
	if !n.leaderState.ready || current.Index > n.commit {
		return
	}
	if current.Leaving != "" {
		n.appendMembership(func(m *Membership) { removeVoter(m, current.Leaving) })
		return
	}
	for _, p := range n.leaderState.progress {
		if current.HasDisk(p.peer.Disk) || !n.caughtUp(p) {
			continue
		}
		if current.Joining != "" {
			if p.peer.Name == current.Joining {
				n.appendMembership(func(m *Membership) {
					m.Voters = append(m.Voters, p.peer)
					m.Joining = ""
				})
				return
			}
			continue
		}
		replaced := n.voterReplacedBy(p.peer.Name)
		if replaced == nil {
			continue
		}
		if *replaced == n.self || n.isResponsive(n.leaderState.progressOf(replaced.Disk)) {
			n.appendMembership(func(m *Membership) {
				m.Voters = append(m.Voters, p.peer)
				m.Leaving = replaced.Disk
			})
		} else {
			n.appendMembership(func(m *Membership) {
				removeVoter(m, replaced.Disk)
				m.Joining = p.peer.Name
			})
		}
		n.leaderState.requestedReplacement = ReplaceVoter{}
		return
	}
	if current.TargetSize > 0 && current.Joining == "" {
		n.adjustOpenGroup(current)
	}
}

// adjustOpenGroup maintains the target size of an open group. A new member with Extends set increases the
// target size. Any other new member replaces an unreachable voter, or is added as a spare: once another voter
// becomes unreachable, that voter is removed.
func (n *Node) adjustOpenGroup(current *Membership) {
	for _, p := range n.leaderState.progress {
		if current.hasName(p.peer.Name) || !n.caughtUp(p) {
			continue
		}
		boot := n.bootOf(p.peer.Disk)
		extends := boot != nil && boot.Extends
		switch unreachable := n.unreachableVoter(current); {
		case extends && len(current.Voters) < MaxVoters:
			n.appendMembership(func(m *Membership) {
				m.Voters = append(m.Voters, p.peer)
				m.TargetSize++
			})
		case extends:
			continue
		case unreachable != nil:
			n.appendMembership(func(m *Membership) {
				removeVoter(m, unreachable.Disk)
				m.Joining = p.peer.Name
			})
		case uint64(len(current.Voters)) <= current.TargetSize:
			n.appendMembership(func(m *Membership) { m.Voters = append(m.Voters, p.peer) })
		default:
			continue
		}
		return
	}
	if uint64(len(current.Voters)) > current.TargetSize {
		if unreachable := n.unreachableVoter(current); unreachable != nil {
			n.appendMembership(func(m *Membership) { removeVoter(m, unreachable.Disk) })
		}
	}
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

func (n *Node) isResponsive(p *progress) bool {
	return p != nil && p.hasReplied && n.now.Sub(n.leaderState.electedAt)-p.ackedSentAt < n.cfg.ElectionMin
}

func (n *Node) caughtUp(p *progress) bool {
	return n.isResponsive(p) && p.snapshot == nil && p.match+maxLearnerLag >= n.log.lastIndex() && p.match >= n.leaderState.firstIndex
}

func (n *Node) appendMembership(change func(m *Membership)) {
	m := *n.membership()
	m.Voters, m.Removed = slices.Clone(m.Voters), slices.Clone(m.Removed)
	m.Index = n.log.lastIndex() + 1
	change(&m)
	n.appendEntries(Entry{Index: m.Index, Term: n.hardState.Term, Kind: EntryMembership, Membership: &m})
}

func removeVoter(m *Membership, disk string) {
	m.Voters = slices.DeleteFunc(m.Voters, func(v Voter) bool { return v.Disk == disk })
	m.Leaving = ""
	m.Removed = append(m.Removed, disk)
	if len(m.Removed) > MaxRemoved {
		m.Removed = m.Removed[1:]
	}
}
