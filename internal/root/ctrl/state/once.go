package state

import (
	"bytes"
	"cmp"
	"container/list"
	"crypto/sha256"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// RecordLifetime is the time for which a record is kept after its last change.
	RecordLifetime = 24 * time.Hour
	// MaxRecords is the largest number of records.
	MaxRecords = 100_000
	// MaxAnswerBytes is the largest total size of the stored responses; it keeps a snapshot below 512 MiB.
	MaxAnswerBytes = 256 << 20
	// reservedAnswerBytes is the part of MaxAnswerBytes that only running requests may use; when it is reached,
	// new requests are refused.
	reservedAnswerBytes = MaxAnswerBytes / 8

	maxRevisionTexts = 1000
	maxTextBytes     = 12 << 20
	// maxRevisions covers a week of 14,000 changes a day; a proposal is not resent after that time.
	maxRevisions   = 100_000
	maxDetail      = 4 << 10
	maxQuarantined = 10_000
)

var errTextHash = errors.New("the hash does not match the text")

// Record is the idempotency record of one request. It is immutable: a change replaces it.
type Record struct {
	Scope       OnceScope `protobuf:"bytes,1,opt,name=scope"`
	RequestHash []byte    `protobuf:"bytes,2,opt,name=request_hash"`
	// Attempt is the latest attempt that began.
	Attempt Attempt `protobuf:"bytes,3,opt,name=attempt"`
	// Outcome is zero while the attempt is running.
	Outcome Outcome `protobuf:"varint,4,opt,name=outcome"`
	Answer  *Answer `protobuf:"bytes,5,opt,name=answer"`
	// Began and Changed are in machine time.
	Began   wire.Stamp `protobuf:"varint,6,opt,name=began"`
	Changed wire.Stamp `protobuf:"varint,7,opt,name=changed"`
}

// RunningDaemons returns the starts of daemons that have running records, ordered by daemon and boot. The
// leader proposes them as DaemonGone when they do not connect, even if they never connected to it.
func (m *Machine) RunningDaemons() []DaemonGone {
	daemons := make([]DaemonGone, 0, len(m.running))
	for start := range m.running {
		daemons = append(daemons, DaemonGone{Daemon: start.daemon, Boot: start.boot})
	}
	slices.SortFunc(daemons, func(a, b DaemonGone) int {
		return cmp.Or(cmp.Compare(a.Daemon, b.Daemon), cmp.Compare(a.Boot, b.Boot))
	})
	return daemons
}

// beginAttempt permits an attempt if no earlier attempt can have run. A retried OnceBegin of the running
// attempt gets the same verdict, because the first reply may have been lost.
func (m *Machine) beginAttempt(c *OnceBegin) OnceVerdict {
	element := m.records[c.Scope]
	if element != nil {
		r := element.Value.(*Record)
		if !bytes.Equal(r.RequestHash, c.RequestHash) {
			return &OnceReuse{Since: r.Began}
		}
		switch r.Outcome {
		case Answered:
			return &OnceReplay{Answer: r.Answer, Since: r.Began}
		case Unknown:
			return &OnceUnknown{Since: r.Changed}
		case NotRun:
			// A delayed copy of an OnceBegin must not start a run, because no daemon would finish it.
			if c.Attempt.sameBoot(r.Attempt) && c.Attempt.Number <= r.Attempt.Number {
				return &OnceStale{Since: r.Changed}
			}
		default:
			if c.Attempt == r.Attempt {
				return &OnceBegun{Since: r.Began}
			}
			return &OnceRunning{Attempt: r.Attempt, Since: r.Began}
		}
	}
	if element == nil && len(m.records) >= MaxRecords || m.answerBytes >= MaxAnswerBytes-reservedAnswerBytes {
		return &OnceFull{Records: uint64(len(m.records))}
	}
	m.storeRecord(element, &Record{
		Scope: c.Scope, RequestHash: c.RequestHash, Attempt: c.Attempt,
		Began: m.Now, Changed: m.Now,
	})
	return &OnceBegun{Since: m.Now}
}

// finishAttempt records the outcome if the record belongs to the attempt; otherwise it changes nothing. The
// first outcome stays, with one exception: an unknown record accepts the response of its attempt, because no
// other attempt can have run. It does not accept NotRun, because a resend must not be permitted by a daemon
// that was already reported as gone.
func (m *Machine) finishAttempt(c *OnceFinish) OnceVerdict {
	element := m.records[c.Scope]
	if element == nil {
		return &OnceIgnored{At: m.Now}
	}
	r := element.Value.(*Record)
	switch {
	case r.Attempt != c.Attempt:
		return &OnceIgnored{Outcome: r.Outcome, At: m.Now}
	case r.Outcome == 0, r.Outcome == Unknown && c.Outcome == Answered:
	case r.Outcome == c.Outcome:
		return &OnceFinished{Outcome: r.Outcome}
	default:
		return &OnceIgnored{Outcome: r.Outcome, At: m.Now}
	}
	changed := *r
	changed.Outcome, changed.Answer, changed.Changed = c.Outcome, c.Answer, m.Now
	if m.answerBytes+answerSize(c.Answer) > MaxAnswerBytes {
		// A record without its response cannot be replayed, so a resend gets the verdict unknown.
		changed.Outcome, changed.Answer = Unknown, nil
	}
	m.storeRecord(element, &changed)
	return &OnceFinished{Outcome: changed.Outcome}
}

func (m *Machine) applyDaemonGone(c *DaemonGone) *DaemonLost {
	var scopes []OnceScope
	for start, running := range m.running {
		if start.daemon == c.Daemon && (c.Boot == 0 || start.boot == c.Boot) {
			scopes = slices.AppendSeq(scopes, maps.Keys(running))
		}
	}
	// The order of the records is part of the snapshot, so it must not depend on the iteration order of a map.
	slices.SortFunc(scopes, func(a, b OnceScope) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Key, b.Key))
	})
	for _, scope := range scopes {
		m.markUnknown(m.records[scope])
	}
	return &DaemonLost{Daemon: c.Daemon, Records: uint64(len(scopes))}
}

// markUnknown changes a running record to the outcome Unknown.
func (m *Machine) markUnknown(element *list.Element) {
	changed := *element.Value.(*Record)
	changed.Outcome, changed.Changed = Unknown, m.Now
	m.storeRecord(element, &changed)
}

// expireRecords removes the records whose lifetime has passed. A record that is still running becomes unknown
// instead, so that no resend runs at the same time.
func (m *Machine) expireRecords() {
	for element := m.recordsByChange.Front(); element != nil; element = m.recordsByChange.Front() {
		r := element.Value.(*Record)
		if m.Now.Sub(r.Changed) < RecordLifetime {
			return
		}
		if r.Outcome == 0 {
			m.markUnknown(element)
			continue
		}
		m.answerBytes -= answerSize(r.Answer)
		delete(m.records, r.Scope)
		m.recordsByChange.Remove(element)
	}
}

// storeRecord stores r as the record with the latest change; element contains its earlier version or is nil.
func (m *Machine) storeRecord(element *list.Element, r *Record) {
	if element == nil {
		m.records[r.Scope] = m.recordsByChange.PushBack(r)
	} else {
		old := element.Value.(*Record)
		m.answerBytes -= answerSize(old.Answer)
		if old.Outcome == 0 {
			m.removeRunning(old)
		}
		element.Value = r
		m.recordsByChange.MoveToBack(element)
	}
	m.answerBytes += answerSize(r.Answer)
	if r.Outcome == 0 {
		start := daemonStart{r.Attempt.Daemon, r.Attempt.Boot}
		if m.running[start] == nil {
			m.running[start] = make(map[OnceScope]struct{})
		}
		m.running[start][r.Scope] = struct{}{}
	}
}

func (m *Machine) removeRunning(r *Record) {
	start := daemonStart{r.Attempt.Daemon, r.Attempt.Boot}
	delete(m.running[start], r.Scope)
	if len(m.running[start]) == 0 {
		delete(m.running, start)
	}
}

// proposedText returns the whole text of a proposal, or an error if its hash or content is invalid.
func (m *Machine) proposedText(c *ProposeConfig) ([]byte, error) {
	text := c.Text
	if len(c.Hunks) > 0 {
		base := m.CurrentRevision()
		if base == nil {
			return nil, ErrPatch
		}
		patched, err := Patch(base.Text, c.Hunks, c.Hash)
		if err != nil {
			return nil, err
		}
		text = patched
	}
	if sum := sha256.Sum256(text); !bytes.Equal(sum[:], c.Hash) {
		return nil, errTextHash
	}
	return text, m.validate(text)
}

func (a Attempt) sameBoot(b Attempt) bool { return a.Daemon == b.Daemon && a.Boot == b.Boot }

func answerSize(a *Answer) int {
	if a == nil {
		return 0
	}
	size := len(a.Body)
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}
