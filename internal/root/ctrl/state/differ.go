package state

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
)

const (
	// resyncLines bounds how far ahead a difference looks for a common line; a larger change is sent whole.
	resyncLines = 256

	// MaxHunks is the largest number of hunks in one difference.
	MaxHunks = 4096
)

// ErrPatch reports a difference that does not fit the text it is applied to.
var ErrPatch = errors.New("difference does not fit the base text")

// Hunk keeps, then drops bytes of a base text, then inserts bytes.
type Hunk struct {
	Keep   uint64 `protobuf:"varint,1,opt,name=keep"`
	Drop   uint64 `protobuf:"varint,2,opt,name=drop"`
	Insert []byte `protobuf:"bytes,3,opt,name=insert"`
}

// Diff returns the hunks that turn old into new, and false when sending the whole text is simpler.
func Diff(old, new []byte) ([]Hunk, bool) {
	a, b := bytes.SplitAfter(old, []byte("\n")), bytes.SplitAfter(new, []byte("\n"))
	var hunks []Hunk
	var current Hunk
	for len(a) > 0 || len(b) > 0 {
		if len(a) > 0 && len(b) > 0 && bytes.Equal(a[0], b[0]) {
			if current.Drop > 0 || len(current.Insert) > 0 {
				hunks = append(hunks, current)
				current = Hunk{}
			}
			current.Keep += uint64(len(a[0]))
			a, b = a[1:], b[1:]
			continue
		}
		drop, insert, ok := resync(a, b)
		if !ok || len(hunks) >= MaxHunks {
			return nil, false
		}
		for _, line := range a[:drop] {
			current.Drop += uint64(len(line))
		}
		for _, line := range b[:insert] {
			current.Insert = append(current.Insert, line...)
		}
		a, b = a[drop:], b[insert:]
	}
	return append(hunks, current), true
}

// resync returns how many lines to drop from a and insert from b until both continue with a common line.
func resync(a, b [][]byte) (drop, insert int, ok bool) {
	for distance := 1; distance <= 2*resyncLines; distance++ {
		for drop := max(0, distance-resyncLines); drop <= min(distance, resyncLines); drop++ {
			insert := distance - drop
			if drop > len(a) || insert > len(b) {
				continue
			}
			endOfBoth := drop == len(a) && insert == len(b)
			if endOfBoth || drop < len(a) && insert < len(b) && bytes.Equal(a[drop], b[insert]) {
				return drop, insert, true
			}
		}
	}
	return 0, 0, false
}

// Patch applies hunks to old and verifies the result by its hash; errors wrap ErrPatch.
func Patch(old []byte, hunks []Hunk, hash []byte) ([]byte, error) {
	var out []byte
	rest := old
	for _, hunk := range hunks {
		if hunk.Keep > uint64(len(rest)) || hunk.Drop > uint64(len(rest))-hunk.Keep {
			return nil, fmt.Errorf("%w: hunk beyond its end", ErrPatch)
		}
		out = append(out, rest[:hunk.Keep]...)
		out = append(out, hunk.Insert...)
		rest = rest[hunk.Keep+hunk.Drop:]
	}
	out = append(out, rest...)
	if sum := sha256.Sum256(out); !bytes.Equal(sum[:], hash) {
		return nil, fmt.Errorf("%w: hash differs", ErrPatch)
	}
	return out, nil
}
