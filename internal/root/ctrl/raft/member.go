package raft

import (
	"slices"
	"time"
)

// catchUpLag is how many entries a learner may lack when it becomes a voter; they fit into one message.
const catchUpLag = 64

// silentAfter is how long a voter of an open group must not have answered before another may take its
// place: a frozen or restarted instance is back sooner as a rule.
const silentAfter = 5 * time.Second

// changeMembership takes the next step of a replacement. Voters are added and removed one at a time, each
// step after the previous one is committed, so that any two majorities overlap. A voter that answers is
// removed after its replacement has been added. A voter that is gone is removed first: it could not help
// a larger group to a majority, and the loss of the new disk would then stop the group.
func (n *Node) changeMembership() {
	current := n.membership()
	if !n.lead.ready || current.Index > n.commit {
		return
	}
	if current.Leaving != "" {
		n.setMembership(func(m *Membership) { removeVoter(m, current.Leaving) })
		return
	}
	for _, p := range n.lead.progress {
		if current.Has(p.peer.Disk) || !n.caughtUp(p) {
			continue
		}
		if current.Joining != "" {
			if p.peer.Name == current.Joining {
				n.setMembership(func(m *Membership) {
					m.Voters = append(m.Voters, p.peer)
					m.Joining = ""
				})
				return
			}
			continue
		}
		old := n.replacedBy(p.peer.Name)
		if old == nil {
			continue
		}
		if *old == n.self || n.answers(n.lead.find(old.Disk)) {
			n.setMembership(func(m *Membership) {
				m.Voters = append(m.Voters, p.peer)
				m.Leaving = old.Disk
			})
		} else {
			n.setMembership(func(m *Membership) {
				removeVoter(m, old.Disk)
				m.Joining = p.peer.Name
			})
		}
		n.lead.replace = ReplaceVoter{}
		return
	}
	if current.Size > 0 && current.Joining == "" {
		n.balanceOpen(current)
	}
}

// balanceOpen keeps the size of an open group. A member that extends the group adds to its size. Any
// other new member takes the place of a silent voter, or is added in advance of the one that it replaces,
// which is removed once it falls silent.
func (n *Node) balanceOpen(current *Membership) {
	for _, p := range n.lead.progress {
		if current.hasName(p.peer.Name) || !n.caughtUp(p) {
			continue
		}
		boot := n.bootOf(p.peer.Disk)
		extends := boot != nil && boot.Extends
		switch gone := n.silentVoter(current); {
		case extends && len(current.Voters) < MaxVoters:
			n.setMembership(func(m *Membership) {
				m.Voters = append(m.Voters, p.peer)
				m.Size++
			})
		case extends:
			continue
		case gone != nil:
			n.setMembership(func(m *Membership) {
				removeVoter(m, gone.Disk)
				m.Joining = p.peer.Name
			})
		case uint64(len(current.Voters)) <= current.Size:
			n.setMembership(func(m *Membership) { m.Voters = append(m.Voters, p.peer) })
		default:
			continue
		}
		return
	}
	if uint64(len(current.Voters)) > current.Size {
		if gone := n.silentVoter(current); gone != nil {
			n.setMembership(func(m *Membership) { removeVoter(m, gone.Disk) })
		}
	}
}

// silentVoter returns a voter that has not answered this leader for silentAfter, or nil.
func (n *Node) silentVoter(m *Membership) *Voter {
	since := n.now.Sub(n.lead.elected)
	for i, v := range m.Voters {
		if v == n.self {
			continue
		}
		p := n.lead.find(v.Disk)
		if since >= silentAfter && (p == nil || !p.heard || since-p.acked >= silentAfter) {
			return &m.Voters[i]
		}
	}
	return nil
}

// replacedBy returns the voter that the learner named name replaces: the one of that name, or the one
// that an operator named.
func (n *Node) replacedBy(name string) *Voter {
	for i, v := range n.membership().Voters {
		if v.Name == name || (n.lead.replace.New == name && n.lead.replace.Old == v.Name) {
			return &n.membership().Voters[i]
		}
	}
	return nil
}

func (n *Node) answers(p *progress) bool {
	return p != nil && p.heard && n.now.Sub(n.lead.elected)-p.acked < n.cfg.ElectionMin
}

func (n *Node) caughtUp(p *progress) bool {
	return n.answers(p) && p.snapshot == nil && p.match+catchUpLag >= n.log.last() && p.match >= n.lead.first
}

func (n *Node) setMembership(change func(m *Membership)) {
	m := *n.membership()
	m.Voters, m.Removed = slices.Clone(m.Voters), slices.Clone(m.Removed)
	m.Index = n.log.last() + 1
	change(&m)
	n.appendEntries(Entry{Index: m.Index, Term: n.hard.Term, Kind: EntryMembership, Membership: &m})
}

func removeVoter(m *Membership, disk string) {
	m.Voters = slices.DeleteFunc(m.Voters, func(v Voter) bool { return v.Disk == disk })
	m.Leaving = ""
	m.Removed = append(m.Removed, disk)
	if len(m.Removed) > MaxRemoved {
		m.Removed = m.Removed[1:]
	}
}
