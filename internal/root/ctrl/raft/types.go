package raft

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Limits of one group; values received from peers are rejected when they exceed them.
const (
	// MaxName is the longest member name in bytes.
	MaxName = 128
	// MaxPeers is the largest number of members: five voters, one of them being replaced, and learners.
	MaxPeers = 32
	// MaxVoters is the number of voters up to which members with Extends set are added to an open group.
	MaxVoters = 9
	// MaxProposal is the largest proposal in bytes: a rules file of 2 MiB and its envelope.
	MaxProposal = 2<<20 + 64<<10
	// MaxAppend is the largest total size of the entries of one message in bytes; a single entry may exceed it.
	// MaxAppend and MaxProposal together stay below wire.MaxFrame.
	MaxAppend = 1 << 20
	// MaxEntries is the largest number of entries in one message or batch.
	MaxEntries = 1024
	// MaxSnapshotChunk is the largest part of a snapshot in one message, in bytes.
	MaxSnapshotChunk = 1 << 20
	// MaxSnapshot is the largest snapshot in bytes.
	MaxSnapshot = 1 << 30
	// MaxLineage is the largest number of earlier starts that a member lists in Hello.
	MaxLineage = 1024
	// MaxRemoved is the largest number of removed disks that a membership lists.
	MaxRemoved = 64
	// MaxPendingWrites is the largest number of Persist and PersistSnapshot actions that are not completed. A
	// queue of this capacity to the disk goroutine never blocks the control loop.
	MaxPendingWrites = 48
	// MaxBoots is the largest number of disks whose latest start a member stores.
	MaxBoots = 64
)

// Kinds of log entries.
const (
	// EntryNormal contains a proposal.
	EntryNormal EntryKind = 0
	// EntryEmpty is the first entry of a leader's term.
	EntryEmpty EntryKind = 1
	// EntryMembership contains the membership that applies from this entry on.
	EntryMembership EntryKind = 2
)

// Roles of a member.
const (
	// Follower accepts entries from a leader; a learner is a follower that is not a voter.
	Follower Role = iota
	// PreCandidate requests pre-votes, which change no durable state.
	PreCandidate
	// Candidate requests votes.
	Candidate
	// Leader appends and replicates the entries of its term.
	Leader
)

// ErrInvalid reports a value that exceeds a limit or violates a rule of this package.
var ErrInvalid = errors.New("invalid consensus value")

type (
	// EntryKind is the type of an entry's content.
	EntryKind uint32 // the codec has no 8-bit integers

	// Role is the Raft role of a member in its current term.
	Role uint8

	// Config contains the settings of one member; zero durations and sizes mean the defaults in withDefaults.
	Config struct {
		// Name is this member's name; Peers lists the names of the members configured at the start, including Name.
		Name  string
		Peers []string
		// BootstrapMembers are the names of the initial voters: all of Peers if it is nil, none if it is empty.
		BootstrapMembers []string
		// Open allows members to join whose names are not in Peers.
		Open bool
		// Extends requests that this member is added as one more voter, instead of replacing a voter.
		Extends bool

		Heartbeat   time.Duration
		ElectionMin time.Duration
		ElectionMax time.Duration
		Lease       time.Duration

		// SnapshotEvery is the number of applied entries after which a snapshot is requested.
		SnapshotEvery uint64
		// KeepEntries is the number of entries before a snapshot that are kept for slow followers.
		KeepEntries uint64
		// SnapshotBytes is the size of applied entries after which a snapshot is requested, and the largest
		// size of the entries kept before it. Without it, entries with rules texts of 1 MB would take gigabytes
		// of memory.
		SnapshotBytes int
		// MaxUncommitted is the number of entries, uncommitted or not yet synced to the leader's own disk, at
		// which a leader refuses proposals.
		MaxUncommitted uint64
		// MaxOutstanding is the number of unsynced batches at which a leader submits no further entries.
		MaxOutstanding int
		// MaxInflight is the largest number of messages with entries that wait for a reply of one follower.
		MaxInflight int

		// Seed initializes the random number generator of the election timeouts.
		Seed uint64
	}

	// Voter identifies a member by its name and the id of its disk; a replaced disk makes another voter.
	Voter struct {
		Name string `protobuf:"bytes,1,opt,name=name"`
		Disk string `protobuf:"bytes,2,opt,name=disk"`
	}

	// Membership is the set of voters that applies from the entry at Index on.
	Membership struct {
		// Group identifies the group: the disk id of the member that bootstrapped it.
		Group string `protobuf:"bytes,1,opt,name=group"`
		// Index is the entry that set this membership.
		Index  uint64  `protobuf:"varint,2,opt,name=index"`
		Voters []Voter `protobuf:"bytes,3,rep,name=voters"`
		// Leaving is the disk of the voter that is removed next, empty outside a replacement.
		Leaving string `protobuf:"bytes,4,opt,name=leaving"`
		// Joining is the name of the member that is added next to a group of fixed names, empty outside a
		// replacement.
		Joining string `protobuf:"bytes,6,opt,name=joining"`
		// Removed lists the disks of former voters, the latest last.
		Removed []string `protobuf:"bytes,5,rep,name=removed"`
		// TargetSize is the number of voters that an open group maintains; zero in groups of fixed names.
		TargetSize uint64 `protobuf:"varint,7,opt,name=size"`
	}

	// Entry is one entry of the replicated log.
	Entry struct {
		Index uint64    `protobuf:"varint,1,opt,name=index"`
		Term  uint64    `protobuf:"varint,2,opt,name=term"`
		Kind  EntryKind `protobuf:"varint,3,opt,name=kind"`
		Data  []byte    `protobuf:"bytes,4,opt,name=data"`
		// Membership is set in entries of kind EntryMembership.
		Membership *Membership `protobuf:"bytes,5,opt,name=membership"`
	}

	// Boot is one start of a disk as its peers store it.
	Boot struct {
		Name string `protobuf:"bytes,1,opt,name=name"`
		Disk string `protobuf:"bytes,2,opt,name=disk"`
		// Number increases by one at each start; Start is a random value drawn at that start.
		Number uint64 `protobuf:"varint,3,opt,name=number"`
		Start  uint64 `protobuf:"fixed64,4,opt,name=start"`
		// Extends is copied from the member's Hello.
		Extends bool `protobuf:"varint,5,opt,name=extends"`
	}

	// HardState is the durable state of a member apart from its entries.
	HardState struct {
		Term uint64 `protobuf:"varint,1,opt,name=term"`
		// Vote is the disk that this member voted for in Term.
		Vote string `protobuf:"bytes,2,opt,name=vote"`
		// Boots contains the latest accepted start of each peer's disk, the latest accepted last.
		Boots []Boot `protobuf:"bytes,3,rep,name=boots"`
		// Fenced is set once a peer has refused this disk; a fenced disk never votes again.
		Fenced bool `protobuf:"varint,4,opt,name=fenced"`
	}

	// Snapshot is the state of the replicated state machine after the entry at Index.
	Snapshot struct {
		Index      uint64
		Term       uint64
		Membership Membership
		Data       []byte
	}

	// Batch is written with one write and one sync; batches are written in order of Seq.
	Batch struct {
		Seq uint64
		// HardState replaces the stored hard state unless it is nil.
		HardState *HardState
		// Install replaces all state and all entries before Entries unless it is nil.
		Install *Snapshot
		// Entries replace the stored entries from Entries[0].Index on.
		Entries []Entry
	}

	// RecoveredState is the content of the disk at a start.
	RecoveredState struct {
		Disk string
		// Boot is the number of this start, already durable; Start is the random value drawn for it.
		Boot  uint64
		Start uint64
		// Lineage contains the Start values of the starts before this one, the latest last.
		Lineage   []uint64
		HardState HardState
		Snapshot  *Snapshot
		Entries   []Entry
		// Repairs describes what an interrupted write had left on the disk, and what was done about it.
		Repairs []string
	}

	// Status describes a member for operators and for the control loop.
	Status struct {
		Role   Role
		Term   uint64
		Leader string // name, empty if unknown
		Voters []Voter
		// Replacing is true until the latest change of the voters is committed and complete.
		Replacing bool
		Learners  []Voter // as the leader sees them
		Commit    uint64
		Applied   uint64
		Last      uint64
		Snapshot  uint64
		// LeaseHeld is true on a leader that received replies from a majority within the lease and has applied
		// an entry of its own term; it is valid for the time of the last Step. LeaseUntil is the lease's end.
		LeaseHeld  bool
		LeaseUntil time.Time
		Boot       uint64
		// Admitted is true once a majority of the voters has accepted this member's boot number.
		Admitted bool
		// Fenced is true once a peer has refused this disk; Failed is the disk error that stopped the member.
		Fenced bool
		Failed string
	}
)

func (c Config) withDefaults() Config {
	c.Heartbeat = orDefault(c.Heartbeat, 100*time.Millisecond)
	c.ElectionMin = orDefault(c.ElectionMin, 400*time.Millisecond)
	c.ElectionMax = orDefault(c.ElectionMax, 800*time.Millisecond)
	c.Lease = orDefault(c.Lease, 350*time.Millisecond)
	c.SnapshotEvery = orDefault(c.SnapshotEvery, 4096)
	c.KeepEntries = orDefault(c.KeepEntries, 4096)
	c.SnapshotBytes = orDefault(c.SnapshotBytes, 64<<20)
	c.MaxUncommitted = orDefault(c.MaxUncommitted, 4096)
	c.MaxOutstanding = orDefault(c.MaxOutstanding, 2)
	c.MaxInflight = orDefault(c.MaxInflight, 8)
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// String returns the role in lower case.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "unknown"
}

// majority reports whether the voters for which counts returns true are a majority.
func (m *Membership) majority(counts func(Voter) bool) bool {
	count := 0
	for _, v := range m.Voters {
		if counts(v) {
			count++
		}
	}
	return count > len(m.Voters)/2
}

// HasDisk reports whether a voter has this disk.
func (m *Membership) HasDisk(disk string) bool {
	for _, v := range m.Voters {
		if v.Disk == disk {
			return true
		}
	}
	return false
}

// hasName reports whether a voter has this name.
func (m *Membership) hasName(name string) bool {
	return slices.ContainsFunc(m.Voters, func(v Voter) bool { return v.Name == name })
}

// excludes reports whether a disk must not take part any more. In a group of fixed names a removed voter has been
// replaced for good. An open group also removes voters that stop or are silent, which may return; it excludes a
// disk only while its member votes with another one.
func (m *Membership) excludes(v Voter) bool {
	if !slices.Contains(m.Removed, v.Disk) {
		return false
	}
	return m.TargetSize == 0 || m.hasName(v.Name)
}

// Check returns an error that names the first invalid field.
func (v *Voter) Check() error {
	if v.Name == "" || len(v.Name) > MaxName {
		return fmt.Errorf("%w: member name of %d bytes", ErrInvalid, len(v.Name))
	}
	if v.Disk == "" || len(v.Disk) > MaxName {
		return fmt.Errorf("%w: disk id of %d bytes", ErrInvalid, len(v.Disk))
	}
	return nil
}

// Check returns an error that names the first invalid field.
func (m *Membership) Check() error {
	if len(m.Voters) == 0 || len(m.Voters) > MaxPeers || len(m.Removed) > MaxRemoved {
		return fmt.Errorf("%w: membership with %d voters and %d removed disks", ErrInvalid, len(m.Voters), len(m.Removed))
	}
	if m.Group == "" || len(m.Group) > MaxName || m.Index == 0 || len(m.Leaving) > MaxName || len(m.Joining) > MaxName {
		return fmt.Errorf("%w: membership of group %q at index %d", ErrInvalid, m.Group, m.Index)
	}
	for i := range m.Voters {
		if err := m.Voters[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Check returns an error that names the first invalid field.
func (e *Entry) Check() error {
	if e.Index == 0 || e.Term == 0 {
		return fmt.Errorf("%w: entry at index %d of term %d", ErrInvalid, e.Index, e.Term)
	}
	if len(e.Data) > MaxProposal {
		return fmt.Errorf("%w: entry %d of %d bytes, limit %d", ErrInvalid, e.Index, len(e.Data), MaxProposal)
	}
	switch {
	case e.Kind > EntryMembership:
		return fmt.Errorf("%w: entry %d has unknown kind %d", ErrInvalid, e.Index, e.Kind)
	case e.Kind != EntryMembership && e.Membership != nil, e.Kind == EntryMembership && e.Membership == nil:
		return fmt.Errorf("%w: entry %d of kind %d does not match its membership", ErrInvalid, e.Index, e.Kind)
	case e.Membership != nil:
		return e.Membership.Check()
	}
	return nil
}

// Check returns an error that names the first invalid field.
func (h *HardState) Check() error {
	if len(h.Vote) > MaxName || len(h.Boots) > MaxBoots {
		return fmt.Errorf("%w: hard state with %d boots", ErrInvalid, len(h.Boots))
	}
	return nil
}

// checkEntries verifies that entries follow prev without a gap, with terms that never decrease.
func checkEntries(prev, prevTerm uint64, entries []Entry) error {
	if len(entries) > MaxEntries {
		return fmt.Errorf("%w: %d entries, limit %d", ErrInvalid, len(entries), MaxEntries)
	}
	for i := range entries {
		e := &entries[i]
		if err := e.Check(); err != nil {
			return err
		}
		if e.Index != prev+1 || e.Term < prevTerm {
			return fmt.Errorf("%w: entry %d of term %d follows entry %d of term %d", ErrInvalid, e.Index, e.Term, prev, prevTerm)
		}
		prev, prevTerm = e.Index, e.Term
	}
	return nil
}
