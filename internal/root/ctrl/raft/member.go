package raft

import (
	"slices"
	"time"
)

// catchUpLag is how many entries a learner may lack when it becomes a voter; they fit into one message.
const maxLearnerLag = 64

// silentAfter is how long a voter of an open group must not have answered before another may take its
// place: a frozen or restarted instance is back sooner as a rule.
const unreachableAfter = 5 * time.Second

// changeMembership takes the next step of a replacement. Voters are added and removed one at a time, each
// step after the previous one is committed, so that any two majorities overlap. A voter that answers is
// removed after its replacement has been added. A voter that is gone is removed first: it could not help
// a larger group to a majority, and the loss of the new disk would then stop the group.
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

// balanceOpen keeps the size of an open group. A member that extends the group adds to its size. Any
// other new member takes the place of a silent voter, or is added in advance of the one that it replaces,
// which is removed once it falls silent.
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

// silentVoter returns a voter that has not answered this leader for silentAfter, or nil.
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

// replacedBy returns the voter that the learner named name replaces: the one of that name, or the one
// that an operator named.
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
