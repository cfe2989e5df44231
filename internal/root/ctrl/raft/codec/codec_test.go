package codec

import (
	"reflect"
	"testing"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
	"gotest.tools/v3/assert"
)

// fullAppend contains the largest number of entries of one message.
var fullAppend = messages()[4]

func messages() []raft.Message {
	head := raft.Header{From: raft.Voter{Name: "a", Disk: "d1"}, Boot: 3, Start: 9, To: "d2", Group: "d1", Term: 4}
	m := &raft.Membership{Group: "d1", Index: 1, Voters: []raft.Voter{{Name: "a", Disk: "d1"}, {Name: "b", Disk: "d2"}}, Removed: []string{"d0"}}
	var entries []raft.Entry
	for i := range uint64(raft.MaxEntries) {
		entries = append(entries, raft.Entry{Index: 8 + i, Term: 4, Data: make([]byte, raft.MaxAppend/raft.MaxEntries)})
	}
	entries[5] = raft.Entry{Index: 13, Term: 4, Kind: raft.EntryMembership, Membership: m}
	return []raft.Message{
		&raft.Hello{Header: head, Lineage: make([]byte, 8*raft.MaxLineage)},
		&raft.HelloReply{Header: head, Boot: 1, Start: 2, Accepted: true, Reason: "r", Membership: m},
		&raft.VoteRequest{Header: head, PreVote: true, LastIndex: 5, LastTerm: 4, Membership: m},
		&raft.VoteReply{Header: head, PreVote: true, RequestedTerm: 5, Granted: true},
		&raft.Append{Header: head, Prev: 7, PrevTerm: 4, Commit: 6, Entries: entries, SentAt: 77},
		&raft.Append{Header: head, Entries: []raft.Entry{{Index: 1, Term: 1, Data: make([]byte, raft.MaxProposal)}}},
		&raft.AppendReply{Header: head, SentAt: -1, Match: 3, Rejected: true, Prev: 7, Hint: 2, Snapshot: 9, Offset: 8},
		&raft.InstallSnapshot{Header: head, Index: 9, SnapshotTerm: 4, Membership: m, Total: raft.MaxSnapshotChunk, Data: make([]byte, raft.MaxSnapshotChunk)},
	}
}

// Guards against a field that is missing from the encoding, and against a valid message that exceeds the largest
// frame.
func TestRoundTrip(t *testing.T) {
	for _, m := range messages() {
		frame, err := Encode(m)
		assert.NilError(t, err)
		assert.Assert(t, len(frame.Body) <= wire.MaxFrame, "%T has %d bytes", m, len(frame.Body))
		got, err := Decode(frame)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(got, m), "%T differs", m)
	}
}

// Guards against a panic on bytes from the network, and against messages that are returned without their checks.
func FuzzDecode(f *testing.F) {
	for _, m := range messages() {
		if frame, err := Encode(m); err == nil && len(frame.Body) < 10_000 {
			f.Add(uint8(frame.Kind), frame.Body)
		}
	}
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		if m, err := Decode(wire.Frame{Kind: wire.Kind(kind), Body: body}); err == nil {
			assert.NilError(t, m.Check())
			_, err := Encode(m)
			assert.NilError(t, err)
		}
	})
}

// BenchmarkAppend measures encoding and decoding one Append message with 1,024 entries of 1 KiB.
func BenchmarkAppend(b *testing.B) {
	for b.Loop() {
		frame, err := Encode(fullAppend)
		if err == nil {
			_, err = Decode(frame)
		}
		assert.NilError(b, err)
	}
}
