package state

import (
	"bytes"
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

type (
	// Machine is the replicated state; the control loop owns it. Exported fields are read-only outside
	// of the package.
	Machine struct {
		// Now is the machine time; it never steps back.
		Now wire.Stamp
		// Index is that of the last applied command.
		Index uint64
		// Revisions holds the recorded revisions with ascending numbers; the last one is in force.
		// The revisions themselves are immutable.
		Revisions []*Revision
		// QuarantineVersion increases whenever the set of quarantined fingerprints changes.
		QuarantineVersion uint64

		validate Validate
		// texts is the number of revisions that keep their text, and textBytes their total size.
		texts, textBytes int
		// order holds all records (*Record) by the time of their last change, which is also the order
		// of expiry; records finds them by scope.
		order   *list.List
		records map[OnceScope]*list.Element
		// running holds the scopes of the running records of each start of a daemon.
		running map[daemonBoot]map[OnceScope]struct{}
		// answerBytes is the total size of the stored answers.
		answerBytes int
		// quarantines is sorted by expiry, then by fingerprint.
		quarantines []Quarantine
	}

	// Validate checks a rules text; it must return the same answer on every machine.
	Validate func(text []byte) error

	daemonBoot struct {
		daemon string
		boot   uint64
	}
)

// New returns an empty machine.
func New(validate Validate) *Machine {
	return &Machine{
		validate: validate,
		order:    list.New(),
		records:  make(map[OnceScope]*list.Element),
		running:  make(map[daemonBoot]map[OnceScope]struct{}),
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
		m.advance(c.At)
		return m.propose(c)
	case *OnceBegin:
		m.advance(c.At)
		return m.begin(c)
	case *OnceFinish:
		m.advance(c.At)
		return m.finish(c)
	case *DaemonGone:
		m.advance(c.At)
		return m.daemonGone(c)
	case *QuarantineAdd:
		m.advance(c.At)
		return m.quarantine(c)
	case *Tick:
		m.advance(c.At)
		return &Ticked{Now: m.Now}
	}
	return nil
}

// CommandTime returns the time for a command that a leader proposes at now. A leader whose clock is behind the
// machine time uses the machine time, so that what it adds has its full life.
func (m *Machine) CommandTime(now time.Time) wire.Stamp { return max(m.Now, wire.StampOf(now)) }

// NextExpiry returns the machine time at which the next entry expires; false means that none will.
func (m *Machine) NextExpiry() (wire.Stamp, bool) {
	var next wire.Stamp
	if e := m.order.Front(); e != nil {
		next = e.Value.(*Record).Changed.Add(RecordLife)
	}
	if len(m.quarantines) > 0 && (next == 0 || m.quarantines[0].Until < next) {
		next = m.quarantines[0].Until
	}
	return next, next != 0
}

// Quarantined returns the quarantined fingerprints in order of their expiry.
func (m *Machine) Quarantined() []Quarantine { return slices.Clone(m.quarantines) }

// advance moves the machine time and removes what has expired.
func (m *Machine) advance(at wire.Stamp) {
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

// quarantine counts from the command's own time, so that a command that arrives late neither revives nor
// extends an entry; the later expiry of two commands holds. When there is no room, the entry that expires
// first makes way, so that new crashes are always contained.
func (m *Machine) quarantine(c *QuarantineAdd) *Quarantine {
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
	at, _ := slices.BinarySearchFunc(m.quarantines, entry, compareQuarantines)
	m.quarantines = slices.Insert(m.quarantines, at, entry)
	m.QuarantineVersion++
	return &entry
}

func compareQuarantines(a, b Quarantine) int {
	return cmp.Or(cmp.Compare(a.Until, b.Until), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

// CurrentRevision returns the accepted revision with its text, or nil before the first.
func (m *Machine) CurrentRevision() *Revision {
	if len(m.Revisions) == 0 {
		return nil
	}
	return m.Revisions[len(m.Revisions)-1]
}

// Revision returns a recorded revision, or nil; its text is nil where only the header is kept.
func (m *Machine) Revision(number uint64) *Revision {
	at, found := slices.BinarySearchFunc(m.Revisions, number, func(r *Revision, n uint64) int {
		return cmp.Compare(r.Number, n)
	})
	if !found {
		return nil
	}
	return m.Revisions[at]
}

func (m *Machine) propose(c *ProposeConfig) ConfigVerdict {
	refused := ConfigRefused{Number: c.Number, Winner: header(m.CurrentRevision())}
	if refused.Winner != nil {
		refused.InForce = refused.Winner.Number
	}
	if recorded := m.Revision(c.Number); recorded != nil {
		if bytes.Equal(recorded.Hash, c.Hash) {
			return &ConfigAccepted{Revision: *header(recorded)}
		}
		refused.Reason, refused.Winner = NumberTaken, header(recorded)
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
		refused.Reason, refused.Detail = TextInvalid, clip(err.Error(), maxDetail)
		return &refused
	}
	accepted := &Revision{
		Number: c.Number, Author: c.Author, Origin: c.Origin,
		Hash: c.Hash, Since: m.Now, Text: text,
	}
	m.Revisions = append(m.Revisions, accepted)
	m.texts++
	m.textBytes += len(text)
	m.trimRevisions()
	return &ConfigAccepted{Revision: *header(accepted)}
}

// trimRevisions drops the texts and then the headers that exceed the bounds, oldest first; the revision
// in force always keeps its text.
func (m *Machine) trimRevisions() {
	for m.texts > 1 && (m.texts > maxTexts || m.textBytes > maxTextBytes) {
		i := len(m.Revisions) - m.texts
		m.textBytes -= len(m.Revisions[i].Text)
		m.texts--
		m.Revisions[i] = header(m.Revisions[i])
	}
	if excess := len(m.Revisions) - maxHeadersKept; excess > 0 {
		clear(m.Revisions[:excess])
		m.Revisions = m.Revisions[excess:]
	}
}

func header(r *Revision) *Revision {
	if r == nil {
		return nil
	}
	short := *r
	short.Text = nil
	return &short
}

func clip(s string, most int) string {
	if len(s) > most {
		return s[:most]
	}
	return s
}
