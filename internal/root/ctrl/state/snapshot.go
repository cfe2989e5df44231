package state

import (
	"errors"
	"fmt"
	"slices"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// MaxSnapshot is the largest snapshot in bytes. The limits of texts, responses and records together keep a
	// snapshot smaller.
	MaxSnapshot = 512 << 20

	snapshotFormat = 1
)

// ErrSnapshot reports a snapshot that cannot be restored.
var ErrSnapshot = errors.New("invalid state snapshot")

type (
	// FrozenMachine is an immutable copy of a machine, which any goroutine may encode.
	FrozenMachine struct{ Image Image }

	// Image is the decoded content of a snapshot.
	Image struct {
		Format            uint32       `protobuf:"varint,1,opt,name=format"`
		Now               wire.Stamp   `protobuf:"varint,2,opt,name=now"`
		Index             uint64       `protobuf:"varint,3,opt,name=index"`
		QuarantineVersion uint64       `protobuf:"varint,4,opt,name=quarantine_version"`
		Revisions         []*Revision  `protobuf:"bytes,5,rep,name=revisions"`
		Records           []*Record    `protobuf:"bytes,6,rep,name=records"`
		Quarantines       []Quarantine `protobuf:"bytes,7,rep,name=quarantines"`

		Evacuations       []snap.Evacuation `protobuf:"bytes,8,rep,name=evacuations"`
		EvacuationVersion uint64            `protobuf:"varint,9,opt,name=evacuation_version"`
	}
)

// Freeze returns an immutable copy, so that the control loop need not wait for the encoding.
func (m *Machine) Freeze() *FrozenMachine {
	image := Image{
		Format: snapshotFormat, Now: m.Now, Index: m.Index, QuarantineVersion: m.QuarantineVersion,
		Revisions:   slices.Clone(m.Revisions),
		Records:     make([]*Record, 0, m.recordsByChange.Len()),
		Quarantines: slices.Clone(m.quarantines),
		Evacuations: m.Evacuations, EvacuationVersion: m.EvacuationVersion,
	}
	for element := m.recordsByChange.Front(); element != nil; element = element.Next() {
		image.Records = append(image.Records, element.Value.(*Record))
	}
	return &FrozenMachine{Image: image}
}

// Encode returns the bytes of the snapshot.
func (f *FrozenMachine) Encode() ([]byte, error) {
	body, err := wire.Marshal(&f.Image)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	return body, nil
}

// Snapshot returns the encoded state of the machine; machines with equal state return equal bytes.
func (m *Machine) Snapshot() ([]byte, error) { return m.Freeze().Encode() }

// Restore returns the machine that is encoded in body; errors wrap ErrSnapshot.
func Restore(body []byte, validate Validate) (*Machine, error) {
	if len(body) > MaxSnapshot {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrSnapshot, len(body), MaxSnapshot)
	}
	image, err := wire.Decode[Image](body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	m := New(validate)
	m.Now, m.Index, m.QuarantineVersion = image.Now, image.Index, image.QuarantineVersion
	m.Revisions, m.quarantines = image.Revisions, image.Quarantines
	m.Evacuations, m.EvacuationVersion = image.Evacuations, image.EvacuationVersion
	for _, r := range image.Revisions {
		if len(r.Text) > 0 {
			m.textCount++
			m.textBytes += len(r.Text)
		}
	}
	for _, r := range image.Records {
		if m.records[r.Scope] != nil {
			return nil, fmt.Errorf("%w: two records of one scope", ErrSnapshot)
		}
		m.storeRecord(nil, r)
	}
	return m, nil
}

// Check returns an error that describes the first invalid part.
func (i *Image) Check() error {
	switch {
	case i.Format != snapshotFormat:
		return fmt.Errorf("%w: format %d, want %d", ErrSnapshot, i.Format, snapshotFormat)
	case len(i.Revisions) > maxRevisions || len(i.Records) > MaxRecords || len(i.Quarantines) > maxQuarantined:
		return fmt.Errorf("%w: %d revisions, %d records, %d quarantines", ErrSnapshot, len(i.Revisions), len(i.Records), len(i.Quarantines))
	case !slices.IsSortedFunc(i.Quarantines, compareQuarantines):
		return fmt.Errorf("%w: quarantines are not in order", ErrSnapshot)
	}
	if err := checkEvacuations(i.Evacuations); err != nil {
		return err
	}
	for k, r := range i.Revisions {
		if r == nil {
			return fmt.Errorf("%w: empty revision", ErrSnapshot)
		}
		if err := r.Check(); err != nil {
			return err
		}
		if k > 0 && r.Number <= i.Revisions[k-1].Number {
			return fmt.Errorf("%w: revision %d at position %d", ErrSnapshot, r.Number, k)
		}
		if len(r.Text) == 0 && (k == len(i.Revisions)-1 || k > 0 && len(i.Revisions[k-1].Text) > 0) {
			return fmt.Errorf("%w: revision %d has no text", ErrSnapshot, r.Number)
		}
	}
	var last wire.Stamp
	for _, r := range i.Records {
		if r == nil {
			return fmt.Errorf("%w: empty record", ErrSnapshot)
		}
		if err := r.Check(); err != nil {
			return err
		}
		if r.Changed < last || r.Changed > i.Now {
			return fmt.Errorf("%w: records are not in order of their change", ErrSnapshot)
		}
		last = r.Changed
	}
	return nil
}

// Check returns an error that names the first invalid field.
func (r *Record) Check() error {
	if r.Outcome > Unknown || (r.Answer != nil) != (r.Outcome == Answered) || len(r.RequestHash) != hashSize {
		return fmt.Errorf("%w: outcome %d and request hash of %d bytes", ErrSnapshot, r.Outcome, len(r.RequestHash))
	}
	if r.Answer != nil {
		if err := r.Answer.Check(); err != nil {
			return err
		}
	}
	return firstError(r.Scope.Check(), r.Attempt.Check())
}
