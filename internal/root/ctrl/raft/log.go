package raft

// entryLog contains the entries after the index base. Its methods return slices without a copy: entries are
// never changed in place, and the next append after a truncation allocates a new array.
type entryLog struct {
	base     uint64 // index of the entry before the first
	baseTerm uint64
	entries  []Entry
}

// restore sets the log to the recovered snapshot and entries; the entries may begin before the snapshot.
func (l *entryLog) restore(snapshot *Snapshot, entries []Entry) {
	if snapshot != nil {
		l.base, l.baseTerm = snapshot.Index, snapshot.Term
	}
	if len(entries) == 0 {
		return
	}
	if first := entries[0].Index; first != l.base+1 {
		// The term before the first entry is unknown, so the first entry becomes the base.
		l.base, l.baseTerm, entries = first, entries[0].Term, entries[1:]
	}
	l.entries = entries[:len(entries):len(entries)]
}

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// termAt returns the term of the entry at index, and false if the log does not contain it.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// firstOfTerm returns the first index after base whose entry has the term of the entry at index.
func (l *entryLog) firstOfTerm(index uint64) uint64 {
	term, _ := l.termAt(index)
	for index > l.base+1 && l.entries[index-l.base-2].Term == term {
		index--
	}
	return index
}

// entriesFrom returns the entries from index on within MaxAppend and MaxEntries, but at least one if the log
// contains it.
func (l *entryLog) entriesFrom(index uint64) []Entry {
	if index <= l.base || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.base-1:]
	count, size := 0, 0
	for count < len(rest) && count < MaxEntries {
		size += len(rest[count].Data)
		if count > 0 && size > MaxAppend {
			break
		}
		count++
	}
	return rest[:count:count]
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	kept := index - l.base - 1
	l.entries = l.entries[:kept:kept]
}

// compactionPoint returns the lowest index such that the entries after it, up to and including index, have
// at most size bytes; the log must contain index.
func (l *entryLog) compactionPoint(index uint64, size int) uint64 {
	for index > l.base {
		size -= len(l.entries[index-l.base-1].Data)
		if size < 0 {
			break
		}
		index--
	}
	return index
}

// compact removes the entries up to and including index, which the log must contain.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	l.baseTerm, _ = l.termAt(index)
	l.entries = l.entries[index-l.base:]
	l.base = index
}

func (l *entryLog) reset(index, term uint64) { *l = entryLog{base: index, baseTerm: term} }
