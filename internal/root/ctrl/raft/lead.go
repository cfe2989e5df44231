package raft

import (
	"slices"
	"time"
)

const (
	// maxUncommittedBytes bounds the data of a leader's uncommitted entries.
	maxUncommittedBytes = 16 << 20

	// chunkRetries is the number of heartbeats after which a snapshot chunk without an answer is sent again.
	chunkRetries = 4
)

type (
	// leadership is the state of a leader in its term.
	leadership struct {
		elected   time.Time
		leaseEnd  time.Time // zero until a majority has answered
		heartbeat time.Time // when the next is due
		first     uint64    // the first entry of the term
		ready     bool      // first is applied
		progress  []*progress
		proposals map[uint64]uint64 // proposal IDs by index
		replace   ReplaceVoter      // requested replacement

		uncommittedBytes int
	}

	// progress is what a leader knows about a peer.
	progress struct {
		peer     Voter
		match    uint64 // synced at the peer
		next     uint64 // next entry to send
		probing  bool   // next is a guess; one message without entries at a time
		waiting  bool   // a probe or a snapshot chunk has no answer yet
		waits    int    // heartbeats since the chunk was sent
		inflight []uint64
		heard    bool
		acked    time.Duration // latest sending time, since the election, that the peer has answered
		snapshot *Snapshot     // being sent
		offset   uint64
	}
)

func (l *leadership) find(disk string) *progress {
	for _, p := range l.progress {
		if p.peer.Disk == disk {
			return p
		}
	}
	return nil
}

func (l *leadership) forget(disk string) {
	l.progress = slices.DeleteFunc(l.progress, func(p *progress) bool { return p.peer.Disk == disk })
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.self, nil
	n.lead = &leadership{elected: n.now, heartbeat: n.now, first: n.log.last() + 1, proposals: map[uint64]uint64{}}
	for i := range n.log.entries {
		if e := &n.log.entries[i]; e.Index > n.applied {
			n.lead.uncommittedBytes += len(e.Data)
		}
	}
	n.trackPeers()
	n.appendEntries(Entry{Index: n.lead.first, Term: n.hard.Term, Kind: EntryEmpty})
}

// trackPeers makes the leader's progress list equal the voters and the learners: accepted disks that are
// neither voters nor removed.
func (n *Node) trackPeers() {
	m := n.membership()
	peers := slices.Clone(m.Voters)
	for _, b := range n.hard.Boots {
		if !m.Has(b.Disk) && !slices.Contains(m.Removed, b.Disk) {
			peers = append(peers, Voter{Name: b.Name, Disk: b.Disk})
		}
	}
	list := make([]*progress, 0, len(peers))
	for _, v := range peers {
		if v == n.self {
			continue
		}
		p := n.lead.find(v.Disk)
		if p == nil {
			p = &progress{peer: v, next: n.log.last() + 1, probing: true}
		}
		list = append(list, p)
	}
	n.lead.progress = list
}

// appendEntries adds entries to the log and puts their memberships in force.
func (n *Node) appendEntries(entries ...Entry) {
	n.log.append(entries...)
	for i := range entries {
		if entries[i].Kind == EntryMembership {
			n.members = append(n.members, *entries[i].Membership)
			n.addPeers(entries[i].Membership)
			if n.role == Leader {
				n.trackPeers()
			}
		}
	}
}

func (n *Node) propose(ev Propose) {
	switch {
	case n.role != Leader:
		n.out = append(n.out, Dropped{ID: ev.ID, Reason: DroppedNotLeader})
		return
	case len(ev.Data) > MaxProposal:
		n.out = append(n.out, Dropped{ID: ev.ID, Reason: DroppedTooLarge})
		return
	case n.log.last()-min(n.commit, n.writes.durable) >= n.cfg.MaxUncommitted, n.lead.uncommittedBytes+len(ev.Data) > maxUncommittedBytes:
		n.out = append(n.out, Dropped{ID: ev.ID, Reason: DroppedBusy})
		return
	}
	index := n.log.last() + 1
	n.lead.proposals[index] = ev.ID
	n.lead.uncommittedBytes += len(ev.Data)
	n.appendEntries(Entry{Index: index, Term: n.hard.Term, Kind: EntryNormal, Data: ev.Data})
}

// updateLease computes the lease from the sending times that a majority has answered: each of them votes
// for no other leader until the shortest election timeout after it received the message.
func (n *Node) updateLease() {
	l := n.lead
	since := n.now.Sub(l.elected)
	var acked []time.Duration
	for _, v := range n.membership().Voters {
		if v == n.self {
			acked = append(acked, since)
		} else if p := l.find(v.Disk); p.heard {
			acked = append(acked, p.acked)
		}
	}
	need := len(n.membership().Voters)/2 + 1
	if len(acked) < need {
		return
	}
	slices.Sort(acked)
	l.leaseEnd = l.elected.Add(acked[len(acked)-need] + n.cfg.Lease)
}

// leadershipEnd returns when this leader steps down unless a majority answers before.
func (n *Node) leadershipEnd() time.Time {
	if first := n.lead.elected.Add(n.cfg.Lease); first.After(n.lead.leaseEnd) {
		return first
	}
	return n.lead.leaseEnd
}

// advanceCommit commits what a majority has synced and reports whether that is new.
func (n *Node) advanceCommit() bool {
	m := n.membership()
	match := make([]uint64, 0, len(m.Voters))
	for _, v := range m.Voters {
		if v == n.self {
			match = append(match, n.writes.durable)
		} else {
			match = append(match, n.lead.find(v.Disk).match)
		}
	}
	slices.Sort(match)
	index := match[(len(match)-1)/2]
	// Only entries of the own term are committed by counting: an older entry on a majority can still be replaced.
	if term, _ := n.log.termAt(index); index <= n.commit || term != n.hard.Term {
		return false
	}
	n.commit = index
	return true
}

func (n *Node) replicateAll() {
	beat := !n.now.Before(n.lead.heartbeat)
	if beat {
		n.lead.heartbeat = n.now.Add(n.cfg.Heartbeat)
	}
	for _, p := range n.lead.progress {
		n.replicate(p, beat)
	}
}

// replicate sends what the peer lacks within the flow control bounds, and a heartbeat if beat is set.
func (n *Node) replicate(p *progress, beat bool) {
	if p.snapshot == nil && p.next <= n.log.base {
		p.snapshot, p.offset, p.waiting = n.snapshot, 0, false
	}
	if p.snapshot != nil {
		n.replicateSnapshot(p, beat)
		return
	}
	if p.probing {
		if beat || !p.waiting {
			p.waiting = true
			n.sendAppend(p, nil)
		}
		return
	}
	for len(p.inflight) < n.cfg.MaxInflight {
		entries := n.log.from(p.next)
		if len(entries) == 0 {
			break
		}
		n.sendAppend(p, entries)
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
		beat = false
	}
	if beat {
		n.sendAppend(p, nil)
	}
}

func (n *Node) replicateSnapshot(p *progress, beat bool) {
	if beat {
		p.waits++
	}
	// A peer that does not answer gets no chunks, only heartbeats: its disk may be gone for good.
	if !n.answers(p) || (p.waiting && p.waits < chunkRetries) {
		if beat {
			m := &Append{Header: n.header(p.peer), Prev: n.log.base, PrevTerm: n.log.baseTerm, Sent: n.sentNow()}
			n.send(p.peer, m)
		}
		return
	}
	s := p.snapshot
	p.waiting, p.waits = true, 0
	end := min(p.offset+MaxSnapshotChunk, uint64(len(s.Data)))
	membership := s.Membership
	n.send(p.peer, &InstallSnapshot{
		Header: n.header(p.peer), Index: s.Index, SnapshotTerm: s.Term, Membership: &membership,
		Offset: p.offset, Total: uint64(len(s.Data)), Data: s.Data[p.offset:end], Sent: n.sentNow(),
	})
}

func (n *Node) sentNow() int64 { return int64(n.now.Sub(n.lead.elected)) }

func (n *Node) sendAppend(p *progress, entries []Entry) {
	term, _ := n.log.termAt(p.next - 1)
	n.send(p.peer, &Append{
		Header: n.header(p.peer), Prev: p.next - 1, PrevTerm: term, Commit: n.commit, Entries: entries, Sent: n.sentNow(),
	})
}

func (n *Node) onAppendReply(m *AppendReply) {
	if m.Header.Term > n.hard.Term {
		n.follow(m.Header.Term, Voter{})
		return
	}
	if n.role != Leader || m.Header.Term != n.hard.Term {
		return
	}
	p := n.lead.find(m.Header.From.Disk)
	if p == nil || m.Match > n.log.last() {
		return
	}
	if m.Sent >= 0 && m.Sent <= n.sentNow() {
		p.acked, p.heard = max(p.acked, time.Duration(m.Sent)), true
		n.updateLease()
	}
	if m.Match > p.match {
		p.match = m.Match
		p.next = max(p.next, p.match+1)
		for len(p.inflight) > 0 && p.inflight[0] <= p.match {
			p.inflight = p.inflight[1:]
		}
	}
	if p.snapshot != nil {
		n.onSnapshotProgress(p, m)
		return
	}
	if !m.Rejected {
		if p.probing {
			p.next, p.probing, p.waiting = p.match+1, false, false
		}
		return
	}
	if m.Prev <= p.match || m.Prev >= p.next || (p.probing && m.Prev != p.next-1) {
		return // answers a message that later ones have overtaken
	}
	p.next = max(min(m.Hint+1, m.Prev), p.match+1)
	p.probing, p.waiting, p.inflight = true, false, nil
}

func (n *Node) onSnapshotProgress(p *progress, m *AppendReply) {
	if p.match >= p.snapshot.Index {
		p.snapshot, p.next = nil, p.match+1
		p.probing, p.waiting, p.inflight = true, false, nil
		return
	}
	total := uint64(len(p.snapshot.Data))
	if m.Snapshot != p.snapshot.Index || m.Offset > total || m.Offset == p.offset {
		return
	}
	p.offset = m.Offset
	// Once the whole snapshot has arrived, the answer comes after its sync.
	p.waiting = p.offset == total && total > 0
	p.waits = 0
}
