package raft

import "slices"

type (
	// writeProgress records what was passed to the disk and what is synced.
	writeProgress struct {
		lastSeq         uint64 // number of the latest batch
		syncedSeq       uint64 // number of the latest batch that is synced
		hardStateSeq    uint64 // number of the latest batch with a hard state
		hardStateDirty  bool
		installSnapshot *Snapshot // to be installed by the next batch, or nil
		submittedIndex  uint64    // index of the last entry passed to the disk
		durableIndex    uint64    // index of the last entry that is synced and still in the log
		pending         []pendingBatch
	}

	pendingBatch struct {
		seq       uint64
		lastIndex uint64 // durableIndex once this batch is synced; truncations lower it
	}
)

// truncateLog removes the entries from index on, which are not committed.
func (n *Node) truncateLog(index uint64) {
	n.log.truncate(index)
	n.limitWrittenIndexes(index - 1)
	for len(n.memberships) > 0 && n.memberships[len(n.memberships)-1].Index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

func (n *Node) limitWrittenIndexes(last uint64) {
	n.writes.submittedIndex = min(n.writes.submittedIndex, last)
	n.writes.durableIndex = min(n.writes.durableIndex, last)
	for i := range n.writes.pending {
		n.writes.pending[i].lastIndex = min(n.writes.pending[i].lastIndex, last)
	}
}

// submitWrites passes everything that was not submitted yet to the disk. A leader collects proposals while
// earlier batches are being written, so that batches grow with the load.
func (n *Node) submitWrites() {
	w := &n.writes
	for {
		var entries []Entry
		if n.role != Leader || len(w.pending) < n.cfg.MaxOutstanding {
			entries = n.log.entriesFrom(w.submittedIndex + 1)
		}
		if !w.hardStateDirty && w.installSnapshot == nil && len(entries) == 0 {
			return
		}
		w.lastSeq++
		batch := Batch{Seq: w.lastSeq, Install: w.installSnapshot, Entries: entries}
		if w.hardStateDirty {
			hard := n.hardState
			hard.Boots = slices.Clone(hard.Boots)
			batch.HardState = &hard
			w.hardStateSeq, w.hardStateDirty = w.lastSeq, false
		}
		w.installSnapshot = nil
		w.submittedIndex += uint64(len(entries))
		w.pending = append(w.pending, pendingBatch{seq: w.lastSeq, lastIndex: w.submittedIndex})
		n.actions = append(n.actions, Persist{Batch: batch})
	}
}

// releaseHeldSends sends the held messages whose batches are synced.
func (n *Node) releaseHeldSends() {
	kept := n.heldSends[:0]
	for _, h := range n.heldSends {
		if h.seq == 0 {
			h.seq = n.writes.lastSeq
		}
		if h.seq <= n.writes.syncedSeq {
			n.actions = append(n.actions, h.send)
		} else {
			kept = append(kept, h)
		}
	}
	n.heldSends = kept
}

func (n *Node) onPersisted(seq uint64) {
	w := &n.writes
	before := w.durableIndex
	w.syncedSeq = max(w.syncedSeq, seq)
	for len(w.pending) > 0 && w.pending[0].seq <= seq {
		w.durableIndex = max(w.durableIndex, w.pending[0].lastIndex)
		w.pending = w.pending[1:]
	}
	switch n.role {
	case Candidate:
		n.countOwnVote()
	case Follower:
		if w.durableIndex > before && n.leader.Disk != "" {
			n.sendAppendReply(0, 0)
		}
	case PreCandidate, Leader:
	}
}

// apply returns the committed entries to the control loop in order.
func (n *Node) apply() {
	for n.applied < n.commit {
		batch := n.log.entriesFrom(n.applied + 1)
		if rest := n.commit - n.applied; uint64(len(batch)) > rest {
			batch = batch[:rest]
		}
		committed := make([]Committed, 0, len(batch))
		for i := range batch {
			e := &batch[i]
			n.bytesSinceSnapshot += len(e.Data)
			if n.role == Leader {
				n.leaderState.uncommittedBytes -= len(e.Data)
			}
			if e.Kind != EntryNormal {
				continue
			}
			c := Committed{Index: e.Index, Term: e.Term, Data: e.Data}
			if n.role == Leader {
				c.Proposal = n.leaderState.proposalIDs[e.Index]
				delete(n.leaderState.proposalIDs, e.Index)
			}
			committed = append(committed, c)
		}
		n.applied += uint64(len(batch))
		if len(committed) > 0 {
			n.actions = append(n.actions, Apply{Entries: committed})
		}
	}
	for len(n.memberships) > 1 && n.snapshot != nil && n.memberships[1].Index <= n.snapshot.Index {
		n.memberships = n.memberships[1:]
	}
	if n.role == Leader && !n.leaderState.ready && n.applied >= n.leaderState.firstIndex {
		n.leaderState.ready = true
		n.actions = append(n.actions, BecameLeader{Term: n.hardState.Term})
	}
	if n.role == Leader && !n.membership().HasDisk(n.self.Disk) && n.membership().Index <= n.commit {
		n.stepDown() // the committed membership no longer contains this member
	}
}

// requestSnapshot requests a snapshot when one is due. It comes after the last Apply of a step, because the control
// loop takes the state and the applied index when it executes the request.
func (n *Node) requestSnapshot() {
	snapshotIndex := uint64(0)
	if n.snapshot != nil {
		snapshotIndex = n.snapshot.Index
	}
	snapshotDue := n.applied-snapshotIndex >= n.cfg.SnapshotEvery || n.applied > snapshotIndex && n.bytesSinceSnapshot >= n.cfg.SnapshotBytes
	if !n.snapshotPending && snapshotDue {
		n.snapshotPending, n.bytesSinceSnapshot = true, 0
		n.actions = append(n.actions, TakeSnapshot{})
	}
}

func (n *Node) onSnapshotTaken(ev SnapshotTaken) {
	term, found := n.log.termAt(ev.Index)
	if !n.snapshotPending || n.unsyncedSnapshot != nil || !found || ev.Index > n.applied || (n.snapshot != nil && ev.Index <= n.snapshot.Index) {
		return
	}
	n.unsyncedSnapshot = &Snapshot{Index: ev.Index, Term: term, Data: ev.Data}
	for _, m := range n.memberships {
		if m.Index <= ev.Index {
			n.unsyncedSnapshot.Membership = m
		}
	}
	n.actions = append(n.actions, PersistSnapshot{Snapshot: *n.unsyncedSnapshot})
}

func (n *Node) onSnapshotPersisted(index uint64) {
	if n.unsyncedSnapshot == nil || n.unsyncedSnapshot.Index != index {
		return
	}
	if n.snapshot == nil || n.snapshot.Index < index {
		n.snapshot = n.unsyncedSnapshot
		compactTo := n.log.compactionPoint(index, n.cfg.SnapshotBytes)
		if index > n.cfg.KeepEntries {
			compactTo = max(compactTo, index-n.cfg.KeepEntries)
		}
		// A majority can commit without this disk, so entries that were not submitted to it yet must be kept.
		n.log.compact(min(compactTo, n.writes.submittedIndex))
	}
	n.unsyncedSnapshot, n.snapshotPending = nil, false
}
