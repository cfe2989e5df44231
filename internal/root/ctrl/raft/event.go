package raft

// Reasons for a dropped proposal.
const (
	// DroppedNotLeader means that this member does not lead; the proposal was not appended.
	DroppedNotLeader DropReason = iota
	// DroppedBusy means that too many entries are uncommitted or not synced to the leader's own disk; the
	// proposal was not appended.
	DroppedBusy
	// DroppedTooLarge means that the proposal exceeds MaxProposal; it was not appended.
	DroppedTooLarge
	// DroppedUnknown means that this member lost its leadership before the outcome was certain; the entry may
	// still be committed.
	DroppedUnknown
)

type (
	// DropReason is the reason for which a proposal was dropped.
	DropReason uint8

	// Event is an input of Step.
	Event interface{ event() }

	// Tick reports that Deadline has passed.
	Tick struct{}

	// MessageReceived contains a decoded and checked message from a peer.
	MessageReceived struct{ Message Message }

	// Propose requests that the leader appends Data, which must not change afterwards; ID is not zero and
	// identifies the proposal in Apply or Dropped.
	Propose struct {
		ID   uint64
		Data []byte
	}

	// Persisted reports that the batch with number Seq and all batches before it are synced.
	Persisted struct{ Seq uint64 }

	// PersistFailed reports that a write or sync failed; the member stops permanently.
	PersistFailed struct{ Err error }

	// SnapshotTaken completes TakeSnapshot with the encoded state after the entry at Index.
	SnapshotTaken struct {
		Index uint64
		Data  []byte
	}

	// SnapshotPersisted reports that the snapshot at Index is synced.
	SnapshotPersisted struct{ Index uint64 }

	// ReplaceVoter requests that the leader replaces the voter named Old by the member named New once New has
	// caught up. A voter whose name appears with a new disk is replaced without this event.
	ReplaceVoter struct{ Old, New string }

	// PeerFound reports the name of another member to a member of an open group.
	PeerFound struct{ Name string }

	// StopRequested reports that this member is about to stop. An open group with more voters than its target size
	// removes it.
	StopRequested struct{}

	// Action is an output of Step; the control loop executes actions in order.
	Action interface{ action() }

	// Persist requests Storage.Save; Persisted or PersistFailed reports its result.
	Persist struct{ Batch Batch }

	// PersistSnapshot requests Storage.SaveSnapshot; SnapshotPersisted or PersistFailed reports its result.
	PersistSnapshot struct{ Snapshot Snapshot }

	// Send requests that the transport delivers Message to the peer named To, if it is connected.
	Send struct {
		To      string
		Message Message
	}

	// Apply contains committed proposals in the order of their indexes; other kinds of entries are omitted.
	Apply struct{ Entries []Committed }

	// Committed is one committed proposal; Proposal is the ID of the Propose event on this member, or zero.
	Committed struct {
		Index    uint64
		Term     uint64
		Data     []byte
		Proposal uint64
	}

	// Restore replaces the state machine by the snapshot's Data.
	Restore struct{ Snapshot Snapshot }

	// TakeSnapshot requests the state after the latest Apply; SnapshotTaken returns it. No Apply of the same step
	// follows it.
	TakeSnapshot struct{}

	// Dropped reports that the proposal ID was not appended, or that its outcome is unknown.
	Dropped struct {
		ID     uint64
		Reason DropReason
	}

	// BecameLeader reports that this member leads Term and has applied all earlier committed entries.
	BecameLeader struct{ Term uint64 }

	// SteppedDown reports that this member no longer leads Term; it is returned only after BecameLeader.
	SteppedDown struct{ Term uint64 }

	// Fenced reports that the peer named By refused this disk; the member stops permanently.
	Fenced struct{ By, Reason string }

	// Stopped reports that the disk failed; the member stops permanently.
	Stopped struct{ Err error }

	// ChangedVoters reports why this leader has appended the membership at Index.
	ChangedVoters struct {
		Index  uint64
		Reason string
	}

	// RefusedPeer reports that this member has refused a Hello of a start of Peer.
	RefusedPeer struct {
		Peer   Voter
		Boot   uint64
		Reason string
	}
)

func (Tick) event()              {}
func (MessageReceived) event()   {}
func (Propose) event()           {}
func (Persisted) event()         {}
func (PersistFailed) event()     {}
func (SnapshotTaken) event()     {}
func (SnapshotPersisted) event() {}
func (ReplaceVoter) event()      {}
func (PeerFound) event()         {}
func (StopRequested) event()     {}

func (Persist) action()         {}
func (PersistSnapshot) action() {}
func (Send) action()            {}
func (Apply) action()           {}
func (Restore) action()         {}
func (TakeSnapshot) action()    {}
func (Dropped) action()         {}
func (BecameLeader) action()    {}
func (SteppedDown) action()     {}
func (Fenced) action()          {}
func (Stopped) action()         {}
func (ChangedVoters) action()   {}
func (RefusedPeer) action()     {}
