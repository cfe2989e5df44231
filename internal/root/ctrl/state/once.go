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
	// RecordLife is how long a record is kept after its last change.
	RecordLife = 24 * time.Hour
	// MaxRecords is the largest number of records.
	MaxRecords = 100_000
	// MaxAnswerBytes is the largest total size of the stored answers; it keeps a snapshot below 512 MiB.
	MaxAnswerBytes = 256 << 20
	// answerReserve is left to requests that are already running when new ones are refused.
	answerReserve = MaxAnswerBytes / 8

	maxTexts     = 1000
	maxTextBytes = 64 << 20
	// maxHeadersKept is a week of changes at 14,000 a day; a proposal is not resent after that long.
	maxHeadersKept = 100_000
	maxDetail      = 4 << 10
	maxQuarantined = 10_000
)

var errHash = errors.New("the hash does not match the text")

// Record is the durable entry of one request; it is replaced, never modified.
type Record struct {
	Scope       OnceScope `protobuf:"bytes,1,opt,name=scope"`
	RequestHash []byte    `protobuf:"bytes,2,opt,name=request_hash"`
	// Attempt is the last attempt that began.
	Attempt Attempt `protobuf:"bytes,3,opt,name=attempt"`
	// Outcome is zero while the attempt is running.
	Outcome Outcome `protobuf:"varint,4,opt,name=outcome"`
	Answer  *Answer `protobuf:"bytes,5,opt,name=answer"`
	// Began and Changed are in machine time.
	Began   wire.Stamp `protobuf:"varint,6,opt,name=began"`
	Changed wire.Stamp `protobuf:"varint,7,opt,name=changed"`
}

// RunningDaemons returns the starts of daemons that have running records, ordered by daemon and boot. The
// leader reports each one that stays away as DaemonGone, also when it has never seen it.
func (m *Machine) RunningDaemons() []DaemonGone {
	gone := make([]DaemonGone, 0, len(m.running))
	for run := range m.running {
		gone = append(gone, DaemonGone{Daemon: run.daemon, Boot: run.boot})
	}
	slices.SortFunc(gone, func(a, b DaemonGone) int {
		return cmp.Or(cmp.Compare(a.Daemon, b.Daemon), cmp.Compare(a.Boot, b.Boot))
	})
	return gone
}

// begin lets an attempt run when no earlier attempt may have run. A repeated OnceBegin of the running
// attempt gets the same answer, because its first answer may have been lost.
func (m *Machine) begin(c *OnceBegin) OnceVerdict {
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
			// A late copy of an OnceBegin must not start a run that nobody will finish.
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
	if element == nil && len(m.records) >= MaxRecords || m.answerBytes >= MaxAnswerBytes-answerReserve {
		return &OnceFull{Records: uint64(len(m.records))}
	}
	m.put(element, &Record{
		Scope: c.Scope, RequestHash: c.RequestHash, Attempt: c.Attempt,
		Began: m.Now, Changed: m.Now,
	})
	return &OnceBegun{Since: m.Now}
}

// finish records the outcome of the attempt that the record belongs to. A finish of any other attempt
// changes nothing. After the record became unknown, the attempt may still add its answer, since nothing
// else can have run; it may not make the record not-run, because a resend that runs must never rest on
// a daemon that was already given up. Otherwise the first outcome stays.
func (m *Machine) finish(c *OnceFinish) OnceVerdict {
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
		// Without its answer a record cannot be replayed, so a resend has to be told that it is unknown.
		changed.Outcome, changed.Answer = Unknown, nil
	}
	m.put(element, &changed)
	return &OnceFinished{Outcome: changed.Outcome}
}

func (m *Machine) daemonGone(c *DaemonGone) *DaemonLost {
	var scopes []OnceScope
	for run, running := range m.running {
		if run.daemon == c.Daemon && (c.Boot == 0 || run.boot == c.Boot) {
			scopes = slices.AppendSeq(scopes, maps.Keys(running))
		}
	}
	// The order of the records is part of the snapshot, so it must not depend on the map.
	slices.SortFunc(scopes, func(a, b OnceScope) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Key, b.Key))
	})
	for _, scope := range scopes {
		m.lose(m.records[scope])
	}
	return &DaemonLost{Daemon: c.Daemon, Records: uint64(len(scopes))}
}

// lose turns a running record into an unknown one.
func (m *Machine) lose(element *list.Element) {
	changed := *element.Value.(*Record)
	changed.Outcome, changed.Changed = Unknown, m.Now
	m.put(element, &changed)
}

// expireRecords removes the records whose life is over. A record that is still running then becomes
// unknown instead, so that no resend runs beside it.
func (m *Machine) expireRecords() {
	for element := m.order.Front(); element != nil; element = m.order.Front() {
		r := element.Value.(*Record)
		if m.Now.Sub(r.Changed) < RecordLife {
			return
		}
		if r.Outcome == 0 {
			m.lose(element)
			continue
		}
		m.answerBytes -= answerSize(r.Answer)
		delete(m.records, r.Scope)
		m.order.Remove(element)
	}
}

// put stores a record as the latest changed one; element is its earlier version or nil.
func (m *Machine) put(element *list.Element, r *Record) {
	if element == nil {
		m.records[r.Scope] = m.order.PushBack(r)
	} else {
		old := element.Value.(*Record)
		m.answerBytes -= answerSize(old.Answer)
		if old.Outcome == 0 {
			m.stopRunning(old)
		}
		element.Value = r
		m.order.MoveToBack(element)
	}
	m.answerBytes += answerSize(r.Answer)
	if r.Outcome == 0 {
		run := daemonBoot{r.Attempt.Daemon, r.Attempt.Boot}
		if m.running[run] == nil {
			m.running[run] = make(map[OnceScope]struct{})
		}
		m.running[run][r.Scope] = struct{}{}
	}
}

func (m *Machine) stopRunning(r *Record) {
	run := daemonBoot{r.Attempt.Daemon, r.Attempt.Boot}
	delete(m.running[run], r.Scope)
	if len(m.running[run]) == 0 {
		delete(m.running, run)
	}
}

// proposedText returns the whole text of a proposal for the next revision.
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
		return nil, errHash
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
