package raft

import "fmt"

type (
	// Message is a consensus message between members: a pointer to one of the types of this file.
	Message interface {
		// Check returns an error that names the first invalid field.
		Check() error
		header() *Header
	}

	// Header identifies the sender, the recipient and the term of a message.
	Header struct {
		From Voter `protobuf:"bytes,1,opt,name=from"`
		// Boot and Start identify the start of the sender's disk.
		Boot  uint64 `protobuf:"varint,2,opt,name=boot"`
		Start uint64 `protobuf:"fixed64,3,opt,name=start"`
		// To is the disk of the recipient; empty in Hello.
		To string `protobuf:"bytes,4,opt,name=to"`
		// Group is empty while the sender belongs to no group.
		Group string `protobuf:"bytes,5,opt,name=group"`
		Term  uint64 `protobuf:"varint,6,opt,name=term"`
	}

	// Hello announces a start of the sender's disk.
	Hello struct {
		Header Header `protobuf:"bytes,1,opt,name=header"`
		// Lineage contains the Start values of the previous starts, 8 bytes each, little endian, the latest last.
		Lineage []byte `protobuf:"bytes,2,opt,name=lineage"`
		// Extends requests that the sender is added as one more voter, instead of replacing a voter.
		Extends bool `protobuf:"varint,3,opt,name=extends"`
	}

	// HelloReply is the reply to Hello; it is sent after the boot number is synced.
	HelloReply struct {
		Header Header `protobuf:"bytes,1,opt,name=header"`
		// Boot and Start are copied from the Hello.
		Boot     uint64 `protobuf:"varint,2,opt,name=boot"`
		Start    uint64 `protobuf:"fixed64,3,opt,name=start"`
		Accepted bool   `protobuf:"varint,4,opt,name=accepted"`
		// Reason is set when the disk is refused permanently.
		Reason string `protobuf:"bytes,5,opt,name=reason"`
		// Membership is that of the replying member; nil while it belongs to no group.
		Membership *Membership `protobuf:"bytes,6,opt,name=membership"`
	}

	// VoteRequest requests a vote in the header's term. With PreVote set, it only asks whether the vote would
	// be granted.
	VoteRequest struct {
		Header    Header `protobuf:"bytes,1,opt,name=header"`
		PreVote   bool   `protobuf:"varint,2,opt,name=pre"`
		LastIndex uint64 `protobuf:"varint,3,opt,name=last-index"`
		LastTerm  uint64 `protobuf:"varint,4,opt,name=last-term"`
		// Membership is that of the candidate; a voter that has not received it yet votes according to it.
		Membership *Membership `protobuf:"bytes,5,opt,name=membership"`
	}

	// VoteReply is the reply to VoteRequest; RequestedTerm is the term of the request.
	VoteReply struct {
		Header        Header `protobuf:"bytes,1,opt,name=header"`
		PreVote       bool   `protobuf:"varint,2,opt,name=pre"`
		RequestedTerm uint64 `protobuf:"varint,3,opt,name=for"`
		Granted       bool   `protobuf:"varint,4,opt,name=granted"`
	}

	// Append contains entries that follow the entry at Prev; without entries it is a heartbeat.
	Append struct {
		Header   Header  `protobuf:"bytes,1,opt,name=header"`
		Prev     uint64  `protobuf:"varint,2,opt,name=prev"`
		PrevTerm uint64  `protobuf:"varint,3,opt,name=prev-term"`
		Commit   uint64  `protobuf:"varint,4,opt,name=commit"`
		Entries  []Entry `protobuf:"bytes,5,rep,name=entries"`
		// SentAt is the sending time in nanoseconds since the leader's election; the reply copies it.
		SentAt int64 `protobuf:"varint,6,opt,name=sent"`
	}

	// AppendReply is the reply to Append and InstallSnapshot. SentAt is that of the leader's latest message, or -1
	// if the receiver accepted none in this term.
	AppendReply struct {
		Header Header `protobuf:"bytes,1,opt,name=header"`
		SentAt int64  `protobuf:"varint,2,opt,name=sent"`
		// Match is the index of the last entry that is synced and equals the leader's entry.
		Match uint64 `protobuf:"varint,3,opt,name=match"`
		// Rejected is true if the entry at Prev is missing or differs, or if the leader's term has passed. Hint
		// is the index before Prev at which the leader compares the logs next.
		Rejected bool   `protobuf:"varint,4,opt,name=rejected"`
		Prev     uint64 `protobuf:"varint,5,opt,name=prev"`
		Hint     uint64 `protobuf:"varint,6,opt,name=hint"`
		// Snapshot is the index of the snapshot being received, Offset the number of its bytes received.
		Snapshot uint64 `protobuf:"varint,7,opt,name=snapshot"`
		Offset   uint64 `protobuf:"varint,8,opt,name=offset"`
		// Stopping is true if the sender is about to stop.
		Stopping bool `protobuf:"varint,9,opt,name=stopping"`
	}

	// InstallSnapshot contains one chunk of a snapshot for a follower that needs compacted entries.
	InstallSnapshot struct {
		Header       Header      `protobuf:"bytes,1,opt,name=header"`
		Index        uint64      `protobuf:"varint,2,opt,name=index"`
		SnapshotTerm uint64      `protobuf:"varint,3,opt,name=snapshot-term"`
		Membership   *Membership `protobuf:"bytes,4,opt,name=membership"`
		Offset       uint64      `protobuf:"varint,5,opt,name=offset"`
		Total        uint64      `protobuf:"varint,6,opt,name=total"`
		Data         []byte      `protobuf:"bytes,7,opt,name=data"`
		SentAt       int64       `protobuf:"varint,8,opt,name=sent"`
	}
)

func (m *Hello) header() *Header           { return &m.Header }
func (m *HelloReply) header() *Header      { return &m.Header }
func (m *VoteRequest) header() *Header     { return &m.Header }
func (m *VoteReply) header() *Header       { return &m.Header }
func (m *Append) header() *Header          { return &m.Header }
func (m *AppendReply) header() *Header     { return &m.Header }
func (m *InstallSnapshot) header() *Header { return &m.Header }

// Check returns an error that names the first invalid field.
func (h *Header) Check() error {
	if err := h.From.Check(); err != nil {
		return fmt.Errorf("sender: %w", err)
	}
	if h.Boot == 0 || h.Start == 0 || len(h.To) > MaxName || len(h.Group) > MaxName {
		return fmt.Errorf("%w: header of %s, boot %d", ErrInvalid, h.From.Name, h.Boot)
	}
	return nil
}

// Check returns an error that names the first invalid field.
func (m *Hello) Check() error {
	if len(m.Lineage)%8 != 0 || len(m.Lineage) > 8*MaxLineage {
		return fmt.Errorf("%w: lineage of %d bytes", ErrInvalid, len(m.Lineage))
	}
	return m.Header.Check()
}

// Check returns an error that names the first invalid field.
func (m *HelloReply) Check() error {
	if m.Membership != nil {
		if err := m.Membership.Check(); err != nil {
			return err
		}
	}
	return m.Header.Check()
}

// Check returns an error that names the first invalid field.
func (m *VoteRequest) Check() error {
	if m.Membership == nil {
		return fmt.Errorf("%w: vote request without a membership", ErrInvalid)
	}
	if err := m.Membership.Check(); err != nil {
		return err
	}
	return m.Header.Check()
}

// Check returns an error that names the first invalid field.
func (m *VoteReply) Check() error { return m.Header.Check() }

// Check returns an error that names the first invalid field.
func (m *Append) Check() error {
	if err := checkEntries(m.Prev, m.PrevTerm, m.Entries); err != nil {
		return err
	}
	return m.Header.Check()
}

// Check returns an error that names the first invalid field.
func (m *AppendReply) Check() error { return m.Header.Check() }

// Check returns an error that names the first invalid field.
func (m *InstallSnapshot) Check() error {
	if m.Index == 0 || m.SnapshotTerm == 0 || m.Membership == nil {
		return fmt.Errorf("%w: snapshot at index %d of term %d", ErrInvalid, m.Index, m.SnapshotTerm)
	}
	if m.Total > MaxSnapshot || len(m.Data) > MaxSnapshotChunk || m.Offset > m.Total || uint64(len(m.Data)) > m.Total-m.Offset {
		return fmt.Errorf("%w: snapshot chunk of %d bytes at %d of %d", ErrInvalid, len(m.Data), m.Offset, m.Total)
	}
	if err := m.Membership.Check(); err != nil {
		return err
	}
	return m.Header.Check()
}
