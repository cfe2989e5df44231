package state

import (
	"crypto/sha256"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Guards against hunks that do not produce the new text, and against hunks that are applied beyond the base text.
func TestDifferenceRoundTrip(t *testing.T) {
	line := rapid.SampledFrom([]string{"a\n", "b\n", "c\n", "d\n", "e", ""})
	rapid.Check(t, func(t *rapid.T) {
		before := []byte(strings.Join(rapid.SliceOf(line).Draw(t, "before"), ""))
		after := []byte(strings.Join(rapid.SliceOf(line).Draw(t, "after"), ""))
		hunks, ok := Diff(before, after)
		if !ok {
			return
		}
		hash := sha256.Sum256(after)
		got, err := Patch(before, hunks, hash[:])
		assert.NilError(t, err)
		assert.Equal(t, string(got), string(after))
	})
	_, err := Patch([]byte("abc"), []Hunk{{Keep: 4}}, nil)
	assert.Assert(t, errors.Is(err, ErrPatch))
	_, err = Patch([]byte("abc"), []Hunk{{Keep: 2, Drop: 1 << 63}}, nil)
	assert.Assert(t, errors.Is(err, ErrPatch))
}

// Guards against accepting a proposal with hunks that were computed from another text than the current one.
func TestProposeByDifference(t *testing.T) {
	m := New(func([]byte) error { return nil })
	text := func(number, body string) []byte { return []byte("revision " + number + "\n" + body) }
	propose := func(index, number uint64, base, next []byte) Result {
		hash := sha256.Sum256(next)
		hunks, ok := Diff(base, next)
		assert.Assert(t, ok)
		at := wire.StampOf(time.Unix(1_000_000, 0))
		return m.Apply(index, &ProposeConfig{Number: number, Hunks: hunks, Hash: hash[:], At: at})
	}
	first, second, other := text("1", "a\nb\n"), text("2", "a\nc\n"), text("2", "x\ny\n")
	hash := sha256.Sum256(first)
	_, ok := m.Apply(1, &ProposeConfig{Number: 1, Text: first, Hash: hash[:], At: 1}).(*ConfigAccepted)
	assert.Assert(t, ok)
	_, ok = propose(2, 2, first, second).(*ConfigAccepted)
	assert.Assert(t, ok)
	assert.Equal(t, string(m.CurrentRevision().Text), string(second))
	_, ok = propose(3, 2, first, second).(*ConfigAccepted)
	assert.Assert(t, ok, "the same change again")
	refused, ok := propose(4, 2, first, other).(*ConfigRefused)
	assert.Assert(t, ok && refused.Reason == NumberTaken)
	refused, ok = propose(5, 3, first, text("3", "a\nb\nz\n")).(*ConfigRefused)
	assert.Assert(t, ok && refused.Reason == TextInvalid, "a difference for revision 1 on revision 2")
	assert.Equal(t, m.CurrentRevision().Number, uint64(2))
}
