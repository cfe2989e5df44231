package ctrl

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft/codec"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Guards against configurations that go uncompressed to the control instances of other availability zones, and against
// compressed frames to an instance of an earlier version.
func TestLongConsensusMessagesAreCompressed(t *testing.T) {
	text := bytes.Repeat([]byte("route GET /get/{id} service=reader access=open run=idempotent\n"), 1000)
	voter := raft.Voter{Name: "c1", Disk: "disk-c1"}
	message := &raft.InstallSnapshot{
		Header: raft.Header{From: voter, To: "disk", Boot: 1, Start: 1}, Index: 7, SnapshotTerm: 1,
		Membership: &raft.Membership{Group: "group", Index: 1, Voters: []raft.Voter{voter}}, Total: uint64(len(text)), Data: text,
	}
	plain, err := encodeRaft(message, false)
	assert.NilError(t, err)
	assert.Equal(t, plain.Kind, codec.KindInstallSnapshot)
	compressed, err := encodeRaft(message, true)
	assert.NilError(t, err)
	assert.Assert(t, len(compressed.Body) < len(plain.Body)/10, "%d of %d bytes", len(compressed.Body), len(plain.Body))
	restored, err := wire.Decompress(compressed, wire.MaxFrame)
	assert.NilError(t, err)
	assert.DeepEqual(t, restored, plain)

	message.Data, message.Total = text[:100], 100
	short, err := encodeRaft(message, true)
	assert.NilError(t, err)
	assert.Equal(t, short.Kind, codec.KindInstallSnapshot)
}

// Guards against a receiver that does not say that it decompresses, or is not heard.
func TestRaftPeerIsHeard(t *testing.T) {
	sender, receiver := net.Pipe()
	defer func() { _, _ = sender.Close(), receiver.Close() }()
	written := make(chan error, 1)
	go func() { written <- writeRaftPeer(&link.Stream{Conn: receiver}) }()
	var decompresses atomic.Bool
	readRaftPeer(&link.Stream{Conn: sender}, &decompresses)
	assert.NilError(t, <-written)
	assert.Assert(t, decompresses.Load())
}
