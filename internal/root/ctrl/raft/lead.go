package raft

import (
	"slices"
	"time"
)

const (
	// maxUncommittedBytes is the largest data size of a leader's uncommitted entries.
	maxUncommittedBytes = 16 << 20

	// chunkRetryHeartbeats is the number of heartbeats after which a leader retries a snapshot chunk that has
	// no reply.
	chunkRetryHeartbeats = 4
)

type (
	// leaderState is the state of a leader in its term.
	leaderState struct {
		electedAt            time.Time
		leaseEnd             time.Time // zero until a majority has replied
		nextHeartbeat        time.Time // when the next heartbeat is due
		firstIndex           uint64    // index of the first entry of the term
		ready                bool      // the entry at firstIndex is applied
		progress             []*progress
		proposalIDs          map[uint64]uint64 // by index
		requestedReplacement ReplaceVoter      // empty if none was requested

		uncommittedBytes int
	}

	// progress is the replication state of a peer on the leader.
	progress struct {
		peer                 Voter
		match                uint64 // index of the last entry that the peer has acknowledged as synced
		next                 uint64 // index of the next entry to send
		probing              bool   // next is uncertain; messages without entries are sent one at a time
		awaitingReply        bool   // a probe or a snapshot chunk has no reply yet
		heartbeatsSinceChunk int    // number of heartbeats since the latest chunk was sent
		inflight             []uint64
		hasReplied           bool
		ackedSentAt          time.Duration // latest SentAt in the peer's replies
		stopping             bool          // the peer is about to stop
		snapshot             *Snapshot     // the snapshot being sent, or nil
		snapshotOffset       uint64
	}
)

func (l *leaderState) progressOf(disk string) *progress {
	for _, p := range l.progress {
		if p.peer.Disk == disk {
			return p
		}
	}
	return nil
}

func (l *leaderState) removeProgress(disk string) {
	l.progress = slices.DeleteFunc(l.progress, func(p *progress) bool { return p.peer.Disk == disk })
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.self, nil
	n.leaderState = &leaderState{electedAt: n.now, nextHeartbeat: n.now, firstIndex: n.log.lastIndex() + 1, proposalIDs: map[uint64]uint64{}}
	for i := range n.log.entries {
		if e := &n.log.entries[i]; e.Index > n.applied {
			n.leaderState.uncommittedBytes += len(e.Data)
		}
	}
	n.updateProgressList()
	n.appendEntries(Entry{Index: n.leaderState.firstIndex, Term: n.hardState.Term, Kind: EntryEmpty})
}

// updateProgressList makes the progress list contain the voters and the learners. Learners are accepted disks
// that are neither voters nor excluded.
func (n *Node) updateProgressList() {
	m := n.membership()
	peers := slices.Clone(m.Voters)
	for _, b := range n.hardState.Boots {
		if v := (Voter{Name: b.Name, Disk: b.Disk}); !m.HasDisk(b.Disk) && !m.excludes(v) {
			peers = append(peers, v)
		}
	}
	list := make([]*progress, 0, len(peers))
	for _, v := range peers {
		if v == n.self {
			continue
		}
		p := n.leaderState.progressOf(v.Disk)
		if p == nil {
			p = &progress{peer: v, next: n.log.lastIndex() + 1, probing: true}
		}
		list = append(list, p)
	}
	n.leaderState.progress = list
}

// appendEntries appends entries to the log; the memberships in them take effect at once.
func (n *Node) appendEntries(entries ...Entry) {
	n.log.append(entries...)
	for i := range entries {
		if entries[i].Kind == EntryMembership {
			n.memberships = append(n.memberships, *entries[i].Membership)
			n.addVotersAsPeers(entries[i].Membership)
			if n.role == Leader {
				n.updateProgressList()
			}
		}
	}
}

func (n *Node) propose(ev Propose) {
	switch {
	case n.role != Leader:
		n.actions = append(n.actions, Dropped{ID: ev.ID, Reason: DroppedNotLeader})
		return
	case len(ev.Data) > MaxProposal:
		n.actions = append(n.actions, Dropped{ID: ev.ID, Reason: DroppedTooLarge})
		return
	case n.log.lastIndex()-min(n.commit, n.writes.durableIndex) >= n.cfg.MaxUncommitted, n.leaderState.uncommittedBytes+len(ev.Data) > maxUncommittedBytes:
		n.actions = append(n.actions, Dropped{ID: ev.ID, Reason: DroppedBusy})
		return
	}
	index := n.log.lastIndex() + 1
	n.leaderState.proposalIDs[index] = ev.ID
	n.leaderState.uncommittedBytes += len(ev.Data)
	n.appendEntries(Entry{Index: index, Term: n.hardState.Term, Kind: EntryNormal, Data: ev.Data})
}

// updateLease computes the end of the lease from the latest sending time to which a majority has replied. A
// voter grants no vote to another member until the shortest election timeout after it received a message.
func (n *Node) updateLease() {
	l := n.leaderState
	sinceElection := n.now.Sub(l.electedAt)
	var ackedTimes []time.Duration
	for _, v := range n.membership().Voters {
		if v == n.self {
			ackedTimes = append(ackedTimes, sinceElection)
		} else if p := l.progressOf(v.Disk); p.hasReplied {
			ackedTimes = append(ackedTimes, p.ackedSentAt)
		}
	}
	quorum := len(n.membership().Voters)/2 + 1
	if len(ackedTimes) < quorum {
		return
	}
	slices.Sort(ackedTimes)
	l.leaseEnd = l.electedAt.Add(ackedTimes[len(ackedTimes)-quorum] + n.cfg.Lease)
}

// leadershipEnd returns the time at which this leader steps down unless a majority replies before.
func (n *Node) leadershipEnd() time.Time {
	if initialEnd := n.leaderState.electedAt.Add(n.cfg.Lease); initialEnd.After(n.leaderState.leaseEnd) {
		return initialEnd
	}
	return n.leaderState.leaseEnd
}

// advanceCommit sets the commit index to the last entry that a majority has synced, and reports whether the
// commit index has changed.
func (n *Node) advanceCommit() bool {
	m := n.membership()
	match := make([]uint64, 0, len(m.Voters))
	for _, v := range m.Voters {
		if v == n.self {
			match = append(match, n.writes.durableIndex)
		} else {
			match = append(match, n.leaderState.progressOf(v.Disk).match)
		}
	}
	slices.Sort(match)
	index := match[(len(match)-1)/2]
	// Only an entry of this leader's term is committed by a majority: another leader can still replace an entry
	// of an earlier term that a majority has synced.
	if term, _ := n.log.termAt(index); index <= n.commit || term != n.hardState.Term {
		return false
	}
	n.commit = index
	return true
}

// SyncedBy returns the names of the voters that this leader knows to hold the entry at index on their disks.
func (n *Node) SyncedBy(index uint64) []string {
	if n.role != Leader {
		return nil
	}
	var names []string
	for _, v := range n.membership().Voters {
		if v == n.self && n.writes.durableIndex >= index {
			names = append(names, v.Name)
		} else if p := n.leaderState.progressOf(v.Disk); p != nil && p.match >= index {
			names = append(names, v.Name)
		}
	}
	return names
}

func (n *Node) replicateAll() {
	heartbeatDue := !n.now.Before(n.leaderState.nextHeartbeat)
	if heartbeatDue {
		n.leaderState.nextHeartbeat = n.now.Add(n.cfg.Heartbeat)
	}
	for _, p := range n.leaderState.progress {
		n.replicate(p, heartbeatDue)
	}
}

// replicate sends the entries that the peer lacks within the limit of MaxInflight messages, and a heartbeat if
// one is due and no entries were sent.
func (n *Node) replicate(p *progress, heartbeatDue bool) {
	if p.snapshot == nil && p.next <= n.log.base {
		p.snapshot, p.snapshotOffset, p.awaitingReply = n.snapshot, 0, false
	}
	if p.snapshot != nil {
		n.replicateSnapshot(p, heartbeatDue)
		return
	}
	if p.probing {
		if heartbeatDue || !p.awaitingReply {
			p.awaitingReply = true
			n.sendAppend(p, nil)
		}
		return
	}
	for len(p.inflight) < n.cfg.MaxInflight {
		entries := n.log.entriesFrom(p.next)
		if len(entries) == 0 {
			break
		}
		n.sendAppend(p, entries)
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
		heartbeatDue = false
	}
	if heartbeatDue {
		n.sendAppend(p, nil)
	}
}

func (n *Node) replicateSnapshot(p *progress, heartbeatDue bool) {
	if heartbeatDue {
		p.heartbeatsSinceChunk++
	}
	// An unresponsive peer gets only heartbeats and no chunks, since its disk may be lost permanently.
	if !n.isResponsive(p) || (p.awaitingReply && p.heartbeatsSinceChunk < chunkRetryHeartbeats) {
		if heartbeatDue {
			m := &Append{Header: n.newHeader(p.peer), Prev: n.log.base, PrevTerm: n.log.baseTerm, SentAt: n.sinceElection()}
			n.send(p.peer, m)
		}
		return
	}
	s := p.snapshot
	p.awaitingReply, p.heartbeatsSinceChunk = true, 0
	end := min(p.snapshotOffset+MaxSnapshotChunk, uint64(len(s.Data)))
	membership := s.Membership
	n.send(p.peer, &InstallSnapshot{
		Header: n.newHeader(p.peer), Index: s.Index, SnapshotTerm: s.Term, Membership: &membership,
		Offset: p.snapshotOffset, Total: uint64(len(s.Data)), Data: s.Data[p.snapshotOffset:end], SentAt: n.sinceElection(),
	})
}

func (n *Node) sinceElection() int64 { return int64(n.now.Sub(n.leaderState.electedAt)) }

func (n *Node) sendAppend(p *progress, entries []Entry) {
	term, _ := n.log.termAt(p.next - 1)
	n.send(p.peer, &Append{
		Header: n.newHeader(p.peer), Prev: p.next - 1, PrevTerm: term, Commit: n.commit, Entries: entries, SentAt: n.sinceElection(),
	})
}

func (n *Node) onAppendReply(m *AppendReply) {
	if m.Header.Term > n.hardState.Term {
		n.becomeFollower(m.Header.Term, Voter{})
		return
	}
	if n.role != Leader || m.Header.Term != n.hardState.Term {
		return
	}
	p := n.leaderState.progressOf(m.Header.From.Disk)
	if p == nil || m.Match > n.log.lastIndex() {
		return
	}
	if m.SentAt >= 0 && m.SentAt <= n.sinceElection() {
		p.ackedSentAt, p.hasReplied = max(p.ackedSentAt, time.Duration(m.SentAt)), true
		n.updateLease()
	}
	p.stopping = p.stopping || m.Stopping
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
			p.next, p.probing, p.awaitingReply = p.match+1, false, false
		}
		return
	}
	if m.Prev <= p.match || m.Prev >= p.next || (p.probing && m.Prev != p.next-1) {
		return // the reply belongs to an outdated message
	}
	p.next = max(min(m.Hint+1, m.Prev), p.match+1)
	p.probing, p.awaitingReply, p.inflight = true, false, nil
}

func (n *Node) onSnapshotProgress(p *progress, m *AppendReply) {
	if p.match >= p.snapshot.Index {
		p.snapshot, p.next = nil, p.match+1
		p.probing, p.awaitingReply, p.inflight = true, false, nil
		return
	}
	total := uint64(len(p.snapshot.Data))
	if m.Snapshot != p.snapshot.Index || m.Offset > total || m.Offset == p.snapshotOffset {
		return
	}
	p.snapshotOffset = m.Offset
	// The peer acknowledges the whole snapshot only after it is synced.
	p.awaitingReply = p.snapshotOffset == total && total > 0
	p.heartbeatsSinceChunk = 0
}
