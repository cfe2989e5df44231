package raft

import "slices"

type (
	// writes tracks what was handed to the disk and what is synced.
	writes struct {
		seq       uint64 // of the latest batch
		synced    uint64 // batches up to this one are synced
		hardSeq   uint64 // the latest batch with a hard state
		hardDirty bool
		install   *Snapshot // goes into the next batch
		saved     uint64    // last entry handed out
		durable   uint64    // last entry that is synced and still in the log
		waiting   []batchMark
	}

	batchMark struct {
		seq  uint64
		last uint64 // last entry of the log once this batch is synced, lowered by truncations
	}
)

// truncateLog removes the entries from index on, which are not committed.
func (n *Node) truncateLog(index uint64) {
	n.log.truncate(index)
	n.lowerWrites(index - 1)
	for len(n.members) > 0 && n.members[len(n.members)-1].Index >= index {
		n.members = n.members[:len(n.members)-1]
	}
}

func (n *Node) lowerWrites(last uint64) {
	n.writes.saved = min(n.writes.saved, last)
	n.writes.durable = min(n.writes.durable, last)
	for i := range n.writes.waiting {
		n.writes.waiting[i].last = min(n.writes.waiting[i].last, last)
	}
}

// flush hands everything unsaved to the disk. A leader collects proposals while earlier batches are being
// written, so that batches grow with the load.
func (n *Node) flush() {
	w := &n.writes
	for {
		var entries []Entry
		if n.role != Leader || len(w.waiting) < n.cfg.MaxOutstanding {
			entries = n.log.from(w.saved + 1)
		}
		if !w.hardDirty && w.install == nil && len(entries) == 0 {
			return
		}
		w.seq++
		batch := Batch{Seq: w.seq, Install: w.install, Entries: entries}
		if w.hardDirty {
			hard := n.hard
			hard.Boots = slices.Clone(hard.Boots)
			batch.HardState = &hard
			w.hardSeq, w.hardDirty = w.seq, false
		}
		w.install = nil
		w.saved += uint64(len(entries))
		w.waiting = append(w.waiting, batchMark{seq: w.seq, last: w.saved})
		n.out = append(n.out, Persist{Batch: batch})
	}
}

// release sends the held messages whose writes are synced.
func (n *Node) release() {
	kept := n.held[:0]
	for _, h := range n.held {
		if h.seq == 0 {
			h.seq = n.writes.seq
		}
		if h.seq <= n.writes.synced {
			n.out = append(n.out, h.send)
		} else {
			kept = append(kept, h)
		}
	}
	n.held = kept
}

func (n *Node) onPersisted(seq uint64) {
	w := &n.writes
	before := w.durable
	w.synced = max(w.synced, seq)
	for len(w.waiting) > 0 && w.waiting[0].seq <= seq {
		w.durable = max(w.durable, w.waiting[0].last)
		w.waiting = w.waiting[1:]
	}
	switch n.role {
	case Candidate:
		n.countOwnVote()
	case Follower:
		if w.durable > before && n.leader.Disk != "" {
			n.sendMatch(0, 0)
		}
	case PreCandidate, Leader:
	}
}

// apply hands out committed entries in order.
func (n *Node) apply() {
	for n.applied < n.commit {
		batch := n.log.from(n.applied + 1)
		if rest := n.commit - n.applied; uint64(len(batch)) > rest {
			batch = batch[:rest]
		}
		committed := make([]Committed, 0, len(batch))
		for i := range batch {
			e := &batch[i]
			n.grown += len(e.Data)
			if n.role == Leader {
				n.lead.uncommittedBytes -= len(e.Data)
			}
			if e.Kind != EntryNormal {
				continue
			}
			c := Committed{Index: e.Index, Term: e.Term, Data: e.Data}
			if n.role == Leader {
				c.Proposal = n.lead.proposals[e.Index]
				delete(n.lead.proposals, e.Index)
			}
			committed = append(committed, c)
		}
		n.applied += uint64(len(batch))
		if len(committed) > 0 {
			n.out = append(n.out, Apply{Entries: committed})
		}
	}
	for len(n.members) > 1 && n.snapshot != nil && n.members[1].Index <= n.snapshot.Index {
		n.members = n.members[1:]
	}
	if n.role == Leader && !n.lead.ready && n.applied >= n.lead.first {
		n.lead.ready = true
		n.out = append(n.out, BecameLeader{Term: n.hard.Term})
	}
	if n.role == Leader && !n.membership().Has(n.self.Disk) && n.membership().Index <= n.commit {
		n.stepDown() // the group has replaced this member
	}
	from := uint64(0)
	if n.snapshot != nil {
		from = n.snapshot.Index
	}
	due := n.applied-from >= n.cfg.SnapshotEvery || n.applied > from && n.grown >= n.cfg.SnapshotBytes
	if !n.taking && due {
		n.taking, n.grown = true, 0
		n.out = append(n.out, TakeSnapshot{})
	}
}

func (n *Node) onSnapshotTaken(ev SnapshotTaken) {
	term, held := n.log.termAt(ev.Index)
	if !n.taking || n.taken != nil || !held || ev.Index > n.applied || (n.snapshot != nil && ev.Index <= n.snapshot.Index) {
		return
	}
	n.taken = &Snapshot{Index: ev.Index, Term: term, Data: ev.Data}
	for _, m := range n.members {
		if m.Index <= ev.Index {
			n.taken.Membership = m
		}
	}
	n.out = append(n.out, PersistSnapshot{Snapshot: *n.taken})
}

func (n *Node) onSnapshotPersisted(index uint64) {
	if n.taken == nil || n.taken.Index != index {
		return
	}
	if n.snapshot == nil || n.snapshot.Index < index {
		n.snapshot = n.taken
		unkept := n.log.before(index, n.cfg.SnapshotBytes)
		if index > n.cfg.KeepEntries {
			unkept = max(unkept, index-n.cfg.KeepEntries)
		}
		// The majority can commit without this disk; what it has not been given yet must stay.
		n.log.compact(min(unkept, n.writes.saved))
	}
	n.taken, n.taking = nil, false
}
