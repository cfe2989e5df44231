package raft

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// spareBoots is the number of disks remembered per name that are not voters: a disk that is catching up
// and the one that took its place.
const spareBoots = 2

// admits reports whether a message comes from a start of a disk that this member has accepted.
func (n *Node) admits(h *Header) bool {
	if h.To != n.self.Disk || (n.group() != "" && h.Group != "" && h.Group != n.group()) {
		return false
	}
	if n.wasRemoved(h.From.Disk) {
		return false
	}
	b := n.bootOf(h.From.Disk)
	return b != nil && b.Number == h.Boot && b.Start == h.Start
}

func (n *Node) wasRemoved(disk string) bool {
	m := n.committedMembership()
	return m != nil && slices.Contains(m.Removed, disk)
}

func (n *Node) bootOf(disk string) *Boot {
	for i := range n.hard.Boots {
		if n.hard.Boots[i].Disk == disk {
			return &n.hard.Boots[i]
		}
	}
	return nil
}

// isAdmittedTo reports whether this member is a voter of m and a majority of its voters, this member
// included, has accepted its boot number. Only then may it vote.
func (n *Node) isAdmittedTo(m *Membership) bool {
	return m != nil && !n.hard.Fenced && m.Has(n.self.Disk) &&
		m.majority(func(v Voter) bool { return v == n.self || n.accepted[v.Name] == v.Disk })
}

// needsHello reports whether a peer has yet to accept this start, or this member looks for its group.
func (n *Node) needsHello() bool {
	for _, name := range n.peers {
		if name != n.self.Name && (n.accepted[name] == "" || n.log.last() == 0) {
			return true
		}
	}
	return false
}

func (n *Node) sendHellos() {
	for _, name := range n.peers {
		if name != n.self.Name && (n.accepted[name] == "" || n.log.last() == 0) {
			to := Voter{Name: name}
			n.send(to, &Hello{Header: n.header(to), Lineage: n.lineage, Extends: n.cfg.Extends})
		}
	}
}

func (n *Node) onHello(m *Hello) {
	from := m.Header.From
	if from.Name == n.self.Name || !n.isPeer(from.Name) {
		return
	}
	if m.Header.Group != "" && n.group() != "" && m.Header.Group != n.group() {
		return // another group; its members are none of ours
	}
	reply := &HelloReply{Header: n.header(from), Boot: m.Header.Boot, Start: m.Header.Start}
	if current := n.membership(); current != nil {
		copied := *current
		reply.Membership = &copied
	}
	if reply.Reason = n.refusal(m); reply.Reason == "" {
		reply.Accepted = true
		n.acceptBoot(m)
	}
	n.sendHeld(from, reply)
}

// refusal returns why the disk must not take part, or an empty string. A disk that was restored to an
// older state presents a number that was used before, or, after more starts, a lineage that lacks the
// start that this member remembers.
func (n *Node) refusal(m *Hello) string {
	if n.wasRemoved(m.Header.From.Disk) {
		return "the disk was removed from the group"
	}
	known := n.bootOf(m.Header.From.Disk)
	switch {
	case known == nil, known.Number == m.Header.Boot && known.Start == m.Header.Start:
		return ""
	case known.Number >= m.Header.Boot:
		return fmt.Sprintf("boot number %d was used before, the latest is %d", m.Header.Boot, known.Number)
	}
	back := m.Header.Boot - known.Number
	if count := uint64(len(m.Lineage) / 8); back > count {
		return fmt.Sprintf("boot number %d is more than %d starts after %d", m.Header.Boot, count, known.Number)
	}
	if at := uint64(len(m.Lineage)) - 8*back; binary.LittleEndian.Uint64(m.Lineage[at:]) != known.Start {
		return fmt.Sprintf("the disk does not remember its start %d", known.Number)
	}
	return ""
}

func (n *Node) acceptBoot(m *Hello) {
	from := m.Header.From
	delete(n.unformed, from.Name)
	if m.Header.Group == "" {
		n.unformed[from.Name] = from
	}
	if n.accepted[from.Name] != from.Disk {
		delete(n.accepted, from.Name) // a new disk has not accepted this start
		n.nextHello = n.now
	}
	if known := n.bootOf(from.Disk); known != nil && known.Number == m.Header.Boot {
		return
	}
	n.hard.Boots = slices.DeleteFunc(n.hard.Boots, func(b Boot) bool { return b.Disk == from.Disk })
	n.hard.Boots = append(n.hard.Boots, Boot{
		Name: from.Name, Disk: from.Disk, Number: m.Header.Boot, Start: m.Header.Start, Extends: m.Extends,
	})
	n.pruneBoots()
	n.writes.hardDirty = true
	if n.role == Leader {
		n.lead.forget(from.Disk) // what the peer held before this start is unknown
		n.trackPeers()
	}
}

// pruneBoots keeps the disks of voters and the latest others of each name.
func (n *Node) pruneBoots() {
	spare := map[string]int{}
	committed := n.committedMembership()
	kept := make([]Boot, 0, len(n.hard.Boots))
	for _, b := range slices.Backward(n.hard.Boots) {
		voter := slices.ContainsFunc(n.members, func(m Membership) bool {
			return (committed == nil || m.Index >= committed.Index) && m.Has(b.Disk)
		})
		if !voter {
			spare[b.Name]++
		}
		if voter || spare[b.Name] <= spareBoots {
			kept = append(kept, b)
		}
	}
	slices.Reverse(kept)
	n.hard.Boots = kept
}

func (n *Node) onHelloReply(m *HelloReply) {
	from := m.Header.From
	if m.Header.To != n.self.Disk || m.Boot != n.boot || m.Start != n.start || !slices.Contains(n.peers, from.Name) {
		return
	}
	if !m.Accepted {
		n.fence(from.Name, m.Reason)
		return
	}
	n.addPeers(m.Membership)
	n.accepted[from.Name] = from.Disk
	if m.Header.Group == "" {
		n.unformed[from.Name] = from
		return
	}
	delete(n.unformed, from.Name)
	if n.log.last() == 0 && m.Membership != nil && m.Membership.Index == 1 && m.Membership.Has(n.self.Disk) {
		n.adopt(*m.Membership)
	}
}

// fence ends this disk's part in the group for good.
func (n *Node) fence(by, reason string) {
	n.stepDown()
	n.role, n.leader, n.held = Follower, Voter{}, nil
	n.hard.Fenced = true
	n.writes.hardDirty = true
	n.out = append(n.out, Fenced{By: by, Reason: reason})
}

// form founds the group once every configured peer has presented itself without one. Only the member
// with the first name does so, so that a group is formed once.
func (n *Node) form() {
	founders := n.cfg.BootstrapMembers
	if n.log.last() != 0 || len(founders) == 0 || n.self.Name != slices.Min(founders) {
		return
	}
	voters := []Voter{n.self}
	for _, name := range founders {
		if name == n.self.Name {
			continue
		}
		v, found := n.unformed[name]
		if !found || n.bootOf(v.Disk) == nil {
			return
		}
		voters = append(voters, v)
	}
	slices.SortFunc(voters, func(a, b Voter) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	founded := Membership{Group: n.self.Disk, Index: 1, Voters: voters}
	if n.cfg.Open {
		founded.Size = uint64(len(voters))
	}
	n.adopt(founded)
}

// isPeer reports whether a member of this name may take part; an open group remembers a new name.
func (n *Node) isPeer(name string) bool {
	if slices.Contains(n.peers, name) {
		return true
	}
	if !n.cfg.Open || len(n.peers) >= MaxPeers && !n.forgetPeer() {
		return false
	}
	n.peers = append(n.peers, name)
	return true
}

// forgetPeer makes room for a new name by dropping one that is neither a voter nor known at the start.
func (n *Node) forgetPeer() bool {
	for i, name := range n.peers {
		voter := slices.ContainsFunc(n.members, func(m Membership) bool { return m.hasName(name) })
		if !voter && !slices.Contains(n.cfg.Peers, name) {
			n.peers = slices.Delete(n.peers, i, i+1)
			delete(n.accepted, name)
			return true
		}
	}
	return false
}

// addPeers remembers the voters of an open group by their names.
func (n *Node) addPeers(m *Membership) {
	if m == nil || !n.cfg.Open {
		return
	}
	for _, v := range m.Voters {
		n.isPeer(v.Name)
	}
}

// adopt starts the log with the entry that formed the group; it is the same on every member.
func (n *Node) adopt(m Membership) {
	n.hard.Term = max(n.hard.Term, 1)
	n.writes.hardDirty = true
	n.appendEntries(Entry{Index: 1, Term: 1, Kind: EntryMembership, Membership: &m})
	n.commit = 1
	n.resetElection()
}
