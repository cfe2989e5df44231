package raft

import "fmt"

// incoming is a snapshot that is being received.
type incoming struct {
	index, term, total uint64
	data               []byte
}

func (n *Node) onAppend(m *Append) {
	if !n.followSender(&m.Header, m.Sent) {
		return
	}
	if term, held := n.log.termAt(m.Prev); m.Prev > n.log.last() || (held && term != m.PrevTerm) {
		hint := n.log.last()
		if held {
			hint = n.log.firstOfTerm(m.Prev) - 1
		}
		n.sendAfterHard(m.Header.From, &AppendReply{
			Header: n.header(m.Header.From), Sent: m.Sent, Rejected: true, Prev: m.Prev, Hint: max(hint, n.commit),
		})
		return
	}
	// An entry before the log's base is committed, so it equals the leader's.
	last := m.Prev
	for i := range m.Entries {
		e := &m.Entries[i]
		last = e.Index
		if term, held := n.log.termAt(e.Index); e.Index <= n.log.base || (held && term == e.Term) {
			continue
		}
		if e.Index <= n.log.last() {
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
	n.sendMatch(0, 0)
}

// followSender makes the sender of a leader's message the leader, and reports false if its term has passed.
func (n *Node) followSender(h *Header, sent int64) bool {
	if h.Term < n.hard.Term {
		n.sendAfterHard(h.From, &AppendReply{Header: n.header(h.From), Sent: -1, Rejected: true})
		return false
	}
	if n.role == Leader && h.Term == n.hard.Term {
		return false // a second leader of one term cannot exist
	}
	n.follow(h.Term, h.From)
	n.sent = max(n.sent, sent)
	return true
}

// sendMatch tells the leader which entries are synced here. It waits only for the hard state, so that a
// slow disk does not delay the answers that keep the leader's lease.
func (n *Node) sendMatch(snapshot, offset uint64) {
	m := &AppendReply{
		Header: n.header(n.leader), Sent: n.sent, Match: min(n.verified, n.writes.durable), Snapshot: snapshot, Offset: offset,
	}
	n.sendAfterHard(n.leader, m)
}

func (n *Node) onInstallSnapshot(m *InstallSnapshot) {
	if !n.followSender(&m.Header, m.Sent) {
		return
	}
	if term, held := n.log.termAt(m.Index); m.Index <= n.commit || (held && term == m.SnapshotTerm) {
		// The entries up to the snapshot are here already; those after it may be acknowledged and stay.
		n.commit = max(n.commit, m.Index)
		n.verified = max(n.verified, m.Index)
		n.sendMatch(m.Index, m.Total)
		return
	}
	in := n.incoming
	if in == nil || in.index != m.Index || in.term != m.SnapshotTerm || in.total != m.Total {
		in = &incoming{index: m.Index, term: m.SnapshotTerm, total: m.Total}
		n.incoming = in
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) == in.total {
		n.install(&Snapshot{Index: m.Index, Term: m.SnapshotTerm, Membership: *m.Membership, Data: in.data})
	}
	n.sendMatch(m.Index, uint64(len(in.data)))
}

// install replaces the whole state by the snapshot, which is ahead of everything committed here.
func (n *Node) install(s *Snapshot) {
	n.incoming = nil
	n.log.reset(s.Index, s.Term)
	n.lowerWrites(0)
	n.members = []Membership{s.Membership}
	n.addPeers(&s.Membership)
	n.commit, n.applied, n.verified = s.Index, s.Index, s.Index
	n.snapshot, n.writes.install = s, s
	n.writes.saved = s.Index
	n.taken, n.taking = nil, false
	n.out = append(n.out, Restore{Snapshot: *s})
}
