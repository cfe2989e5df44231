package state

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
)

const (
	// maxLookaheadLines is the largest number of lines that Diff skips on each side to find a common line. A
	// text with a larger change is sent as a whole.
	maxLookaheadLines = 256

	// MaxHunks is the largest number of hunks in one proposal.
	MaxHunks = 4096
)

// ErrPatch reports hunks that do not match the base text, or a result with another hash.
var ErrPatch = errors.New("difference does not fit the base text")

// Hunk keeps Keep bytes of a base text, then drops Drop bytes, then inserts Insert.
type Hunk struct {
	Keep   uint64 `protobuf:"varint,1,opt,name=keep"`
	Drop   uint64 `protobuf:"varint,2,opt,name=drop"`
	Insert []byte `protobuf:"bytes,3,opt,name=insert"`
}

// Diff returns the hunks that change old into new, and false if the change exceeds the limits of a difference.
func Diff(old, new []byte) ([]Hunk, bool) {
	oldLines, newLines := bytes.SplitAfter(old, []byte("\n")), bytes.SplitAfter(new, []byte("\n"))
	var hunks []Hunk
	var current Hunk
	for len(oldLines) > 0 || len(newLines) > 0 {
		if len(oldLines) > 0 && len(newLines) > 0 && bytes.Equal(oldLines[0], newLines[0]) {
			if current.Drop > 0 || len(current.Insert) > 0 {
				hunks = append(hunks, current)
				current = Hunk{}
			}
			current.Keep += uint64(len(oldLines[0]))
			oldLines, newLines = oldLines[1:], newLines[1:]
			continue
		}
		drop, insert, ok := nextCommonLine(oldLines, newLines)
		if !ok || len(hunks) >= MaxHunks {
			return nil, false
		}
		for _, line := range oldLines[:drop] {
			current.Drop += uint64(len(line))
		}
		for _, line := range newLines[:insert] {
			current.Insert = append(current.Insert, line...)
		}
		oldLines, newLines = oldLines[drop:], newLines[insert:]
	}
	return append(hunks, current), true
}

// nextCommonLine returns how many lines to drop from oldLines and to insert from newLines until both continue
// with a common line or end.
func nextCommonLine(oldLines, newLines [][]byte) (drop, insert int, ok bool) {
	for distance := 1; distance <= 2*maxLookaheadLines; distance++ {
		for drop := max(0, distance-maxLookaheadLines); drop <= min(distance, maxLookaheadLines); drop++ {
			insert := distance - drop
			if drop > len(oldLines) || insert > len(newLines) {
				continue
			}
			endOfBoth := drop == len(oldLines) && insert == len(newLines)
			if endOfBoth || drop < len(oldLines) && insert < len(newLines) && bytes.Equal(oldLines[drop], newLines[insert]) {
				return drop, insert, true
			}
		}
	}
	return 0, 0, false
}

// Patch applies hunks to old and verifies the result by its hash; errors wrap ErrPatch.
func Patch(old []byte, hunks []Hunk, hash []byte) ([]byte, error) {
	var patched []byte
	rest := old
	for _, hunk := range hunks {
		if hunk.Keep > uint64(len(rest)) || hunk.Drop > uint64(len(rest))-hunk.Keep {
			return nil, fmt.Errorf("%w: hunk beyond its end", ErrPatch)
		}
		patched = append(patched, rest[:hunk.Keep]...)
		patched = append(patched, hunk.Insert...)
		rest = rest[hunk.Keep+hunk.Drop:]
	}
	patched = append(patched, rest...)
	if sum := sha256.Sum256(patched); !bytes.Equal(sum[:], hash) {
		return nil, fmt.Errorf("%w: hash differs", ErrPatch)
	}
	return patched, nil
}
