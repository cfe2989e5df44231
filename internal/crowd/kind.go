package crowd

import (
	"fmt"
	"strings"
)

type (
	// Kind is the behaviour of the clients of a crowd.
	Kind interface{ kind() }

	// HeldBodies sends a request body of legal size in one piece, in small pieces or in chunks, and stops one byte short
	// of its end.
	HeldBodies struct{}

	// LongBodies sends a request body that never ends, with or without a length.
	LongBodies struct{}

	// ManyFields sends request heads of legal size that consist of very short fields. Half of the clients leave out the
	// end of the head.
	ManyFields struct{}

	// UnreadAnswers sends requests ahead and never reads.
	UnreadAnswers struct{}

	// SlowSenders sends a head or a body byte by byte with pauses.
	SlowSenders struct{}

	// SlowReaders reads long responses byte by byte with pauses.
	SlowReaders struct{}

	// HalfClosed closes the sending direction within a head, after a request or within a body.
	HalfClosed struct{}

	// Mixed consists of clients of all other kinds.
	Mixed struct{}
)

// basicKinds lists all kinds except Mixed.
var basicKinds = []Kind{
	HeldBodies{}, LongBodies{}, ManyFields{}, UnreadAnswers{}, SlowSenders{}, SlowReaders{}, HalfClosed{},
}

func (HeldBodies) kind()    {}
func (LongBodies) kind()    {}
func (ManyFields) kind()    {}
func (UnreadAnswers) kind() {}
func (SlowSenders) kind()   {}
func (SlowReaders) kind()   {}
func (HalfClosed) kind()    {}
func (Mixed) kind()         {}

// Kinds returns all kinds.
func Kinds() []Kind { return append(basicKinds[:len(basicKinds):len(basicKinds)], Mixed{}) }

// Name returns the name of a kind on command lines and in reports.
func Name(k Kind) string {
	switch k.(type) {
	case HeldBodies:
		return "held-bodies"
	case LongBodies:
		return "long-bodies"
	case ManyFields:
		return "many-fields"
	case UnreadAnswers:
		return "unread-answers"
	case SlowSenders:
		return "slow-senders"
	case SlowReaders:
		return "slow-readers"
	case HalfClosed:
		return "half-closed"
	case Mixed:
		return "mixed"
	}
	return "unknown"
}

// Parse returns the kind with the given name.
func Parse(name string) (Kind, error) {
	var names []string
	for _, k := range Kinds() {
		if Name(k) == name {
			return k, nil
		}
		names = append(names, Name(k))
	}
	return nil, fmt.Errorf("kind %q is unknown, the kinds are %s", name, strings.Join(names, ", "))
}
