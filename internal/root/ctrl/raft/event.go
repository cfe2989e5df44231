package raft

// Reasons for a dropped proposal.
const (
	// DroppedNotLeader: the proposal was not appended.
	DroppedNotLeader DropReason = iota
	// DroppedBusy: too many entries are uncommitted or not on the leader's own disk; the proposal was not appended.
	DroppedBusy
	// DroppedTooLarge: the proposal exceeds MaxProposal; it was not appended.
	DroppedTooLarge
	// DroppedUnknown: this member stopped leading before it saw the outcome; the entry may yet commit.
	DroppedUnknown
)

type (
	// DropReason tells why a proposal was dropped.
	DropReason uint8

	// Event is an input of Step.
	Event interface{ event() }

	// Tick tells that Deadline has passed.
	Tick struct{}

	// MessageReceived is a decoded and checked message from a peer.
	MessageReceived struct{ Message Message }

	// Propose asks the leader to append Data, which must not change afterwards; ID is not zero and comes
	// back in Apply or Dropped.
	Propose struct {
		ID   uint64
		Data []byte
	}

	// Persisted tells that the batch Seq and all before it are synced.
	Persisted struct{ Seq uint64 }

	// PersistFailed tells that a write or sync failed; the member stops for good.
	PersistFailed struct{ Err error }

	// SnapshotTaken answers TakeSnapshot with the state after the entry at Index.
	SnapshotTaken struct {
		Index uint64
		Data  []byte
	}

	// SnapshotPersisted tells that the snapshot at Index is synced.
	SnapshotPersisted struct{ Index uint64 }

	// ReplaceVoter asks the leader to replace the voter named Old by the member named New once New has
	// caught up. A new disk under the name of a voter is replaced without being asked.
	ReplaceVoter struct{ Old, New string }

	// PeerFound tells an open group's member the name of another one.
	PeerFound struct{ Name string }

	// Action is an output of Step; the control loop executes actions in order.
	Action interface{ action() }

	// Persist asks for Storage.Save, answered by Persisted or PersistFailed.
	Persist struct{ Batch Batch }

	// PersistSnapshot asks for Storage.SaveSnapshot, answered by SnapshotPersisted or PersistFailed.
	PersistSnapshot struct{ Snapshot Snapshot }

	// Send asks the transport to deliver Message to the peer named To, if it is connected.
	Send struct {
		To      string
		Message Message
	}

	// Apply carries committed proposals in order; indexes of other kinds of entries are left out.
	Apply struct{ Entries []Committed }

	// Committed is one committed proposal; Proposal is the ID given to Propose on this member, or zero.
	Committed struct {
		Index    uint64
		Term     uint64
		Data     []byte
		Proposal uint64
	}

	// Restore replaces the state machine by the snapshot's Data.
	Restore struct{ Snapshot Snapshot }

	// TakeSnapshot asks for the state after the latest Apply, answered by SnapshotTaken.
	TakeSnapshot struct{}

	// Dropped ends the proposal ID without an outcome or without having run.
	Dropped struct {
		ID     uint64
		Reason DropReason
	}

	// BecameLeader tells that this member leads Term and has applied all earlier committed entries.
	BecameLeader struct{ Term uint64 }

	// SteppedDown tells that this member no longer leads Term; it follows only a BecameLeader.
	SteppedDown struct{ Term uint64 }

	// Fenced tells that the peer named By refused this disk; the member stops for good.
	Fenced struct{ By, Reason string }

	// Stopped tells that the disk failed; the member stops for good.
	Stopped struct{ Err error }
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
