package state

import "github.com/buckthornpitch/buckthornpitch/pkg/wire"

type (
	// Machine is the replicated state; the control loop owns it.
	Machine struct {
		// Now is the machine time.
		Now wire.Stamp
		// Index is that of the last applied command.
		Index uint64
	}

	// Validate checks a rules text; it must return the same answer on every machine.
	Validate func(text []byte) error

	// Frozen is an immutable copy of a machine that any goroutine may encode.
	Frozen struct{}
)

// New returns an empty machine.
func New(validate Validate) *Machine { return &Machine{} }

// Restore returns the machine whose snapshot is body.
func Restore(body []byte, validate Validate) (*Machine, error) { return &Machine{}, nil }

// Apply applies the command at a log index. A command at or below the last applied index changes
// nothing and returns nil.
func (m *Machine) Apply(index uint64, c Command) Result { return nil }

// Freeze returns a copy for Frozen.Encode, so that the loop does not wait for the encoding.
func (m *Machine) Freeze() *Frozen { return &Frozen{} }

// Encode returns the snapshot's bytes.
func (f *Frozen) Encode() ([]byte, error) { return nil, nil }

// Snapshot returns the machine's bytes; equal machines return equal bytes.
func (m *Machine) Snapshot() ([]byte, error) { return m.Freeze().Encode() }

// InForce returns the accepted revision with its text, or nil before the first.
func (m *Machine) InForce() *Revision { return nil }

// Revision returns a recorded revision, or nil; its text is nil where only the header is kept.
func (m *Machine) Revision(number uint64) *Revision { return nil }

// Quarantined returns the quarantined fingerprints in order of their expiry.
func (m *Machine) Quarantined() []Quarantine { return nil }

// Running returns the starts of daemons that have running records, ordered by daemon and boot.
func (m *Machine) Running() []DaemonGone { return nil }

// NextExpiry returns the machine time at which the next entry expires; false means that none will.
func (m *Machine) NextExpiry() (wire.Stamp, bool) { return 0, false }
