package raft

import "fmt"

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	index, term, total uint64
	data               []byte
}

func (n *Node) onAppend(m *Append) {
	if !n.acceptLeader(&m.Header, m.SentAt) {
		return
	}
	if term, found := n.log.termAt(m.Prev); m.Prev > n.log.lastIndex() || (found && term != m.PrevTerm) {
		hint := n.log.lastIndex()
		if found {
			hint = n.log.firstOfTerm(m.Prev) - 1
		}
		n.sendAfterHardState(m.Header.From, &AppendReply{
			Header: n.newHeader(m.Header.From), SentAt: m.SentAt, Rejected: true, Prev: m.Prev, Hint: max(hint, n.commit),
		})
		return
	}
	// Entries up to the log's base are committed, so they equal the leader's entries.
	last := m.Prev
	for i := range m.Entries {
		e := &m.Entries[i]
		last = e.Index
		if term, found := n.log.termAt(e.Index); e.Index <= n.log.base || (found && term == e.Term) {
			continue
		}
		if e.Index <= n.log.lastIndex() {
			if e.Index <= n.commit {
				n.stop(fmt.Errorf("entry %d of term %d from %s conflicts with a committed entry", e.Index, e.Term, m.Header.From.Name))
				return
			}
			n.truncateLog(e.Index)
		}
		n.appendEntries(m.Entries[i:]...)
		last = m.Entries[len(m.Entries)-1].Index
		break
	}
	n.verified = max(n.verified, last)
	n.commit = max(n.commit, min(m.Commit, n.verified))
	n.sendAppendReply(0, 0)
}

// acceptLeader makes the sender of an Append or InstallSnapshot the leader. It returns false if the sender's
// term has passed.
func (n *Node) acceptLeader(h *Header, sentAt int64) bool {
	if h.Term < n.hardState.Term {
		n.sendAfterHardState(h.From, &AppendReply{Header: n.newHeader(h.From), SentAt: -1, Rejected: true})
		return false
	}
	if n.role == Leader && h.Term == n.hardState.Term {
		return false // a term has only one leader, so the message is invalid
	}
	n.becomeFollower(h.Term, h.From)
	n.leaderSentAt = max(n.leaderSentAt, sentAt)
	return true
}

// sendAppendReply reports the last synced entry to the leader. The reply waits only for the hard state, not
// for entries, so that a slow disk does not delay the replies that extend the leader's lease.
func (n *Node) sendAppendReply(snapshot, offset uint64) {
	m := &AppendReply{
		Header: n.newHeader(n.leader), SentAt: n.leaderSentAt, Match: min(n.verified, n.writes.durableIndex),
		Snapshot: snapshot, Offset: offset, Stopping: n.stopping,
	}
	n.sendAfterHardState(n.leader, m)
}

func (n *Node) onInstallSnapshot(m *InstallSnapshot) {
	if !n.acceptLeader(&m.Header, m.SentAt) {
		return
	}
	if term, found := n.log.termAt(m.Index); m.Index <= n.commit || (found && term == m.SnapshotTerm) {
		// The log already contains the entries up to the snapshot. The entries after it may be acknowledged,
		// so they are kept.
		n.commit = max(n.commit, m.Index)
		n.verified = max(n.verified, m.Index)
		n.sendAppendReply(m.Index, m.Total)
		return
	}
	incoming := n.incomingSnapshot
	if incoming == nil || incoming.index != m.Index || incoming.term != m.SnapshotTerm || incoming.total != m.Total {
		incoming = &incomingSnapshot{index: m.Index, term: m.SnapshotTerm, total: m.Total}
		n.incomingSnapshot = incoming
	}
	if m.Offset == uint64(len(incoming.data)) {
		incoming.data = append(incoming.data, m.Data...)
	}
	if uint64(len(incoming.data)) == incoming.total {
		n.installSnapshot(&Snapshot{Index: m.Index, Term: m.SnapshotTerm, Membership: *m.Membership, Data: incoming.data})
	}
	n.sendAppendReply(m.Index, uint64(len(incoming.data)))
}

// installSnapshot replaces the whole state with the snapshot, whose index is above the commit index.
func (n *Node) installSnapshot(s *Snapshot) {
	n.incomingSnapshot = nil
	n.log.reset(s.Index, s.Term)
	n.limitWrittenIndexes(0)
	n.memberships = []Membership{s.Membership}
	n.addVotersAsPeers(&s.Membership)
	n.commit, n.applied, n.verified = s.Index, s.Index, s.Index
	n.snapshot, n.writes.installSnapshot = s, s
	n.writes.submittedIndex = s.Index
	n.unsyncedSnapshot, n.snapshotPending = nil, false
	n.actions = append(n.actions, Restore{Snapshot: *s})
}
