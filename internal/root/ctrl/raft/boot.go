package raft

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

const (
	// maxNonVoterBoots is the number of disks per name, apart from voters, whose starts are stored: a disk that is
	// catching up, and the one that replaced it in the meantime.
	maxNonVoterBoots = 2

	// maxNonVoters bounds the disks of all names, apart from voters, whose starts are stored. Together with those of
	// the voters they stay below MaxBoots.
	maxNonVoters = MaxBoots / 2

	// lostContactAfter is the time without a leader after which a member announces itself again. A silent member may
	// have been removed, and the leader may not know it.
	lostContactAfter = 2 * time.Second

	// lostHelloInterval is the interval at which such a member announces itself to each peer.
	lostHelloInterval = time.Second
)

// acceptsHeader reports whether a message is for this disk and group, and its sender's start is accepted.
func (n *Node) acceptsHeader(h *Header) bool {
	if h.To != n.self.Disk || (n.Group() != "" && h.Group != "" && h.Group != n.Group()) {
		return false
	}
	if m := n.committedMembership(); m != nil && m.excludes(h.From) {
		return false
	}
	b := n.bootOf(h.From.Disk)
	return b != nil && b.Number == h.Boot && b.Start == h.Start
}

func (n *Node) bootOf(disk string) *Boot {
	for i := range n.hardState.Boots {
		if n.hardState.Boots[i].Disk == disk {
			return &n.hardState.Boots[i]
		}
	}
	return nil
}

// mayVoteIn reports whether this member is a voter of m and a majority of the voters of m, including this
// member, has accepted its boot number.
func (n *Node) mayVoteIn(m *Membership) bool {
	return m != nil && m.HasDisk(n.self.Disk) && n.isAcceptedBy(m)
}

// mayCampaign reports whether this member may start an election. A member whose removal is not committed may: its log
// can be the longest one, so that the voters elect no other member.
func (n *Node) mayCampaign() bool {
	committed := n.committedMembership()
	isVoter := func(m Membership) bool { return m.Index >= committed.Index && m.HasDisk(n.self.Disk) }
	return committed != nil && slices.ContainsFunc(n.memberships, isVoter) && n.isAcceptedBy(n.membership())
}

// isAcceptedBy reports whether a majority of the voters of m has accepted this member's boot number.
func (n *Node) isAcceptedBy(m *Membership) bool {
	return !n.hardState.Fenced && m.majority(func(v Voter) bool { return v == n.self || n.acceptedBy[v.Name] == v.Disk })
}

// needsHello reports whether a peer has not accepted this start yet, or this member belongs to no group yet or has
// lost contact with it.
func (n *Node) needsHello() bool { return slices.ContainsFunc(n.peers, n.needsHelloTo) }

func (n *Node) needsHelloTo(peer string) bool {
	switch {
	case peer == n.self.Name:
		return false
	case n.acceptedBy[peer] == "" || n.log.lastIndex() == 0:
		return true
	}
	return n.role != Leader && n.sinceLeaderContact >= lostContactAfter && n.now.Sub(n.helloSentAt[peer]) >= lostHelloInterval
}

func (n *Node) sendHellos() {
	for _, name := range n.peers {
		if n.needsHelloTo(name) {
			n.sendHello(name)
		}
	}
}

func (n *Node) sendHello(name string) {
	n.helloSentAt[name] = n.now
	to := Voter{Name: name}
	n.send(to, &Hello{Header: n.newHeader(to), Lineage: n.lineage, Extends: n.cfg.Extends})
}

func (n *Node) onHello(m *Hello) {
	from := m.Header.From
	if m.Header.Group != "" && n.Group() != "" && m.Header.Group != n.Group() {
		n.reportRefusal(m, "it belongs to the group "+m.Header.Group)
		return
	}
	if from.Name == n.self.Name {
		return
	}
	if !n.addPeer(from.Name) {
		n.reportRefusal(m, "the group has no place for this name")
		return
	}
	reply := &HelloReply{Header: n.newHeader(from), Boot: m.Header.Boot, Start: m.Header.Start}
	if current := n.membership(); current != nil {
		copied := *current
		reply.Membership = &copied
	}
	if reply.Reason = n.refusalReason(m); reply.Reason == "" {
		reply.Accepted = true
		n.acceptBoot(m)
	} else {
		n.reportRefusal(m, reply.Reason)
	}
	n.sendAfterWrites(from, reply)
}

func (n *Node) reportRefusal(m *Hello, reason string) {
	n.actions = append(n.actions, RefusedPeer{Peer: m.Header.From, Boot: m.Header.Boot, Reason: reason})
}

// refusalReason returns why the sender's disk must not take part, or an empty string. A disk that was
// restored to an older state sends a boot number that was used before, or, after more starts, a lineage
// without the start that this member has stored.
func (n *Node) refusalReason(m *Hello) string {
	if current := n.committedMembership(); current != nil && current.excludes(m.Header.From) {
		return "the disk was removed from the group"
	}
	stored := n.bootOf(m.Header.From.Disk)
	switch {
	case stored == nil, stored.Number == m.Header.Boot && stored.Start == m.Header.Start:
		return ""
	case stored.Number >= m.Header.Boot:
		return fmt.Sprintf("boot number %d was used before, the latest is %d", m.Header.Boot, stored.Number)
	}
	startsAgo := m.Header.Boot - stored.Number
	if lineageLength := uint64(len(m.Lineage) / 8); startsAgo > lineageLength {
		return fmt.Sprintf("boot number %d is more than %d starts after %d", m.Header.Boot, lineageLength, stored.Number)
	}
	if offset := uint64(len(m.Lineage)) - 8*startsAgo; binary.LittleEndian.Uint64(m.Lineage[offset:]) != stored.Start {
		return fmt.Sprintf("the disk does not remember its start %d", stored.Number)
	}
	return ""
}

func (n *Node) acceptBoot(m *Hello) {
	from := m.Header.From
	delete(n.peersWithoutGroup, from.Name)
	if m.Header.Group == "" {
		n.peersWithoutGroup[from.Name] = from
	}
	if n.acceptedBy[from.Name] != from.Disk {
		delete(n.acceptedBy, from.Name) // the peer's new disk has not accepted this start yet
		// The peer may have started after the last hello to it. The hello is not repeated within an interval,
		// because the peer answers it in the same way.
		if n.now.Sub(n.helloSentAt[from.Name]) >= n.cfg.Heartbeat {
			n.sendHello(from.Name)
		}
	}
	if stored := n.bootOf(from.Disk); stored != nil && stored.Number == m.Header.Boot {
		return
	}
	n.hardState.Boots = slices.DeleteFunc(n.hardState.Boots, func(b Boot) bool { return b.Disk == from.Disk })
	n.hardState.Boots = append(n.hardState.Boots, Boot{
		Name: from.Name, Disk: from.Disk, Number: m.Header.Boot, Start: m.Header.Start, Extends: m.Extends,
	})
	n.pruneBoots()
	n.writes.hardStateDirty = true
	if n.role == Leader {
		n.leaderState.removeProgress(from.Disk) // the progress from before this start may be outdated
		n.updateProgressList()
	}
}

// pruneBoots removes all boots except those of voters, the latest maxNonVoterBoots others of each name and the latest
// maxNonVoters others of all names.
func (n *Node) pruneBoots() {
	nonVoterBoots, nonVoters := map[string]int{}, 0
	committed := n.committedMembership()
	kept := make([]Boot, 0, len(n.hardState.Boots))
	for _, b := range slices.Backward(n.hardState.Boots) {
		isVoter := slices.ContainsFunc(n.memberships, func(m Membership) bool {
			return (committed == nil || m.Index >= committed.Index) && m.HasDisk(b.Disk)
		})
		if !isVoter {
			nonVoterBoots[b.Name]++
			if nonVoterBoots[b.Name] > maxNonVoterBoots || nonVoters >= maxNonVoters {
				continue
			}
			nonVoters++
		}
		kept = append(kept, b)
	}
	slices.Reverse(kept)
	n.hardState.Boots = kept
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
	n.addVotersAsPeers(m.Membership)
	n.acceptedBy[from.Name] = from.Disk
	if m.Header.Group == "" {
		n.peersWithoutGroup[from.Name] = from
		return
	}
	delete(n.peersWithoutGroup, from.Name)
	if n.log.lastIndex() == 0 && m.Membership != nil && m.Membership.Index == 1 && m.Membership.HasDisk(n.self.Disk) {
		n.startLog(*m.Membership)
	}
}

// fence permanently excludes this disk from the group.
func (n *Node) fence(by, reason string) {
	n.stepDown()
	n.role, n.leader, n.heldSends = Follower, Voter{}, nil
	n.hardState.Fenced = true
	n.writes.hardStateDirty = true
	n.actions = append(n.actions, Fenced{By: by, Reason: reason})
}

// bootstrap forms the group once every bootstrap member has announced itself without a group. Only the member
// with the first name does this, so that the group is formed once.
func (n *Node) bootstrap() {
	bootstrapMembers := n.cfg.BootstrapMembers
	if n.log.lastIndex() != 0 || len(bootstrapMembers) == 0 || n.self.Name != slices.Min(bootstrapMembers) {
		return
	}
	voters := []Voter{n.self}
	for _, name := range bootstrapMembers {
		if name == n.self.Name {
			continue
		}
		v, found := n.peersWithoutGroup[name]
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
	membership := Membership{Group: n.self.Disk, Index: 1, Voters: voters}
	if n.cfg.Open {
		membership.TargetSize = uint64(len(voters))
	}
	n.startLog(membership)
}

// addPeer reports whether a member of this name may take part. In an open group it adds an unknown name.
func (n *Node) addPeer(name string) bool {
	if slices.Contains(n.peers, name) {
		return true
	}
	if !n.cfg.Open || len(n.peers) >= MaxPeers && !n.evictPeer() {
		return false
	}
	n.peers = append(n.peers, name)
	return true
}

// evictPeer removes a name that is neither a voter's nor in Config.Peers, and reports whether there was one.
func (n *Node) evictPeer() bool {
	for i, name := range n.peers {
		isVoter := slices.ContainsFunc(n.memberships, func(m Membership) bool { return m.hasName(name) })
		if !isVoter && !slices.Contains(n.cfg.Peers, name) {
			n.peers = slices.Delete(n.peers, i, i+1)
			delete(n.acceptedBy, name)
			delete(n.peersWithoutGroup, name)
			delete(n.helloSentAt, name)
			return true
		}
	}
	return false
}

// addVotersAsPeers adds the names of the voters of an open group to the peers.
func (n *Node) addVotersAsPeers(m *Membership) {
	if m == nil || !n.cfg.Open {
		return
	}
	for _, v := range m.Voters {
		n.addPeer(v.Name)
	}
}

// startLog appends the bootstrap entry, which is the same on every member, to the empty log.
func (n *Node) startLog(m Membership) {
	n.hardState.Term = max(n.hardState.Term, 1)
	n.writes.hardStateDirty = true
	n.appendEntries(Entry{Index: 1, Term: 1, Kind: EntryMembership, Membership: &m})
	n.commit = 1
	n.resetElection()
}
