package state

import (
	"bytes"
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

type (
	// Machine is the replicated state. It is not safe for concurrent use; the control loop owns it. Other
	// packages only read the exported fields.
	Machine struct {
		// Now is the machine time; it never decreases.
		Now wire.Stamp
		// Index is the log index of the last applied command.
		Index uint64
		// Revisions contains the recorded revisions by ascending number; the last one is current. The
		// revisions themselves are immutable.
		Revisions []*Revision
		// QuarantineVersion increases whenever the set of quarantined fingerprints changes.
		QuarantineVersion uint64
		// Evacuations contains the availability zones under evacuation by name; the slice is immutable.
		Evacuations []snap.Evacuation
		// EvacuationVersion increases with each accepted order.
		EvacuationVersion uint64

		validate Validate
		// textCount is the number of revisions with their text, and textBytes the total size of the texts.
		textCount, textBytes int
		// recordsByChange contains all records (*Record) by the time of their last change, which is also the
		// order of expiry; records indexes them by scope.
		recordsByChange *list.List
		records         map[OnceScope]*list.Element
		// running contains the scopes of the running records of each start of a daemon.
		running map[daemonStart]map[OnceScope]struct{}
		// answerBytes is the total size of the stored responses.
		answerBytes int
		// quarantines is sorted by expiry, then by fingerprint.
		quarantines []Quarantine
	}

	// Validate checks a rules text; it must return the same result on every machine.
	Validate func(text []byte) error

	daemonStart struct {
		daemon string
		boot   uint64
	}
)

// New returns an empty machine.
func New(validate Validate) *Machine {
	return &Machine{
		validate:        validate,
		recordsByChange: list.New(),
		records:         make(map[OnceScope]*list.Element),
		running:         make(map[daemonStart]map[OnceScope]struct{}),
	}
}

// Apply applies the command at a log index. A command at or below the last applied index changes
// nothing and returns nil.
func (m *Machine) Apply(index uint64, c Command) Result {
	if index <= m.Index {
		return nil
	}
	m.Index = index
	switch c := c.(type) {
	case *ProposeConfig:
		m.advanceTime(c.At)
		return m.propose(c)
	case *OnceBegin:
		m.advanceTime(c.At)
		return m.beginAttempt(c)
	case *OnceFinish:
		m.advanceTime(c.At)
		return m.finishAttempt(c)
	case *DaemonGone:
		m.advanceTime(c.At)
		return m.applyDaemonGone(c)
	case *QuarantineAdd:
		m.advanceTime(c.At)
		return m.addQuarantine(c)
	case *Tick:
		m.advanceTime(c.At)
		return &Ticked{Now: m.Now}
	case *OrderZone:
		m.advanceTime(c.At)
		return m.orderZone(c)
	}
	return nil
}

// CommandTime returns the time for a command that a leader proposes at now. A leader whose clock is behind the
// machine time uses the machine time, so that an entry that it adds has its full lifetime.
func (m *Machine) CommandTime(now time.Time) wire.Stamp { return max(m.Now, wire.StampOf(now)) }

// NextExpiry returns the machine time at which the next entry expires, and false if there is no entry.
func (m *Machine) NextExpiry() (wire.Stamp, bool) {
	var next wire.Stamp
	if e := m.recordsByChange.Front(); e != nil {
		next = e.Value.(*Record).Changed.Add(RecordLifetime)
	}
	if len(m.quarantines) > 0 && (next == 0 || m.quarantines[0].Until < next) {
		next = m.quarantines[0].Until
	}
	return next, next != 0
}

// Quarantined returns the quarantined fingerprints in order of their expiry.
func (m *Machine) Quarantined() []Quarantine { return slices.Clone(m.quarantines) }

// advanceTime sets the machine time to at, unless that is earlier, and removes expired entries.
func (m *Machine) advanceTime(at wire.Stamp) {
	m.Now = max(m.Now, at)
	m.expireRecords()
	expired := 0
	for expired < len(m.quarantines) && m.quarantines[expired].Until <= m.Now {
		expired++
	}
	if expired > 0 {
		m.quarantines = slices.Delete(m.quarantines, 0, expired)
		m.QuarantineVersion++
	}
}

// addQuarantine computes the expiry from the command's own time, so that a late command neither restores nor
// extends an entry. Of two commands for a fingerprint, the later expiry applies. When the list is full, the
// entry that expires first is removed, so that requests that began to cause crashes are always quarantined.
func (m *Machine) addQuarantine(c *QuarantineAdd) *Quarantine {
	entry := Quarantine{Fingerprint: c.Fingerprint, Until: c.At.Add(c.For)}
	if entry.Until <= m.Now {
		return &entry
	}
	if i := slices.IndexFunc(m.quarantines, func(q Quarantine) bool { return q.Fingerprint == c.Fingerprint }); i >= 0 {
		if m.quarantines[i].Until >= entry.Until {
			entry = m.quarantines[i]
			return &entry
		}
		m.quarantines = slices.Delete(m.quarantines, i, i+1)
	}
	if len(m.quarantines) >= maxQuarantined {
		m.quarantines = slices.Delete(m.quarantines, 0, 1)
	}
	position, _ := slices.BinarySearchFunc(m.quarantines, entry, compareQuarantines)
	m.quarantines = slices.Insert(m.quarantines, position, entry)
	m.QuarantineVersion++
	return &entry
}

func compareQuarantines(a, b Quarantine) int {
	return cmp.Or(cmp.Compare(a.Until, b.Until), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

// CurrentRevision returns the latest accepted revision with its text, or nil if there is none.
func (m *Machine) CurrentRevision() *Revision {
	if len(m.Revisions) == 0 {
		return nil
	}
	return m.Revisions[len(m.Revisions)-1]
}

// Revision returns the recorded revision with this number, or nil; its Text is nil if it was removed.
func (m *Machine) Revision(number uint64) *Revision {
	position, found := slices.BinarySearchFunc(m.Revisions, number, func(r *Revision, n uint64) int {
		return cmp.Compare(r.Number, n)
	})
	if !found {
		return nil
	}
	return m.Revisions[position]
}

func (m *Machine) propose(c *ProposeConfig) ConfigVerdict {
	refused := ConfigRefused{Number: c.Number, Winner: withoutText(m.CurrentRevision())}
	if refused.Winner != nil {
		refused.InForce = refused.Winner.Number
	}
	if recorded := m.Revision(c.Number); recorded != nil {
		if bytes.Equal(recorded.Hash, c.Hash) {
			return &ConfigAccepted{Revision: *withoutText(recorded)}
		}
		refused.Reason, refused.Winner = NumberTaken, withoutText(recorded)
		return &refused
	}
	switch {
	case c.Based && c.Base != refused.InForce:
		refused.Reason = BaseChanged
		return &refused
	case c.Number <= refused.InForce:
		refused.Reason = NumberForgotten
		return &refused
	case !c.Based && c.Number != refused.InForce+1:
		refused.Reason = NumberTooHigh
		return &refused
	}
	text, err := m.proposedText(c)
	if err != nil {
		refused.Reason, refused.Detail = TextInvalid, truncate(err.Error(), maxDetail)
		return &refused
	}
	accepted := &Revision{
		Number: c.Number, Author: c.Author, Origin: c.Origin,
		Hash: c.Hash, Since: m.Now, Text: text,
	}
	m.Revisions = append(m.Revisions, accepted)
	m.textCount++
	m.textBytes += len(text)
	m.trimRevisions()
	return &ConfigAccepted{Revision: *withoutText(accepted)}
}

// trimRevisions removes the texts and then the revisions that exceed the limits, oldest first; the current
// revision always keeps its text.
func (m *Machine) trimRevisions() {
	for m.textCount > 1 && (m.textCount > maxRevisionTexts || m.textBytes > maxTextBytes) {
		i := len(m.Revisions) - m.textCount
		m.textBytes -= len(m.Revisions[i].Text)
		m.textCount--
		m.Revisions[i] = withoutText(m.Revisions[i])
	}
	if excess := len(m.Revisions) - maxRevisions; excess > 0 {
		clear(m.Revisions[:excess])
		m.Revisions = m.Revisions[excess:]
	}
}

func withoutText(r *Revision) *Revision {
	if r == nil {
		return nil
	}
	short := *r
	short.Text = nil
	return &short
}

func truncate(s string, limit int) string {
	if len(s) > limit {
		return s[:limit]
	}
	return s
}
