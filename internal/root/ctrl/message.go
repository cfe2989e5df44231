package ctrl

import (
	"errors"
	"fmt"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/limit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Frame kinds of the control stream.
const (
	kindJoin wire.Kind = iota + 1
	kindHeartbeat
	kindAnnounce
	kindLeave
	kindSubscription
	kindTokenRequest
	kindOnceCall
	kindCrashReport
	kindPropose
	kindQuery

	kindLease
	kindConfig
	kindChange
	kindGrant
	kindRecall
	kindOnceReply
	kindQuarantine
	kindProposeReply
	kindRedirect
	kindQueryReply
	kindMembers

	// Kinds of both directions that were added later; the numbers of the earlier kinds stay.
	kindEvacuations
	kindOrderCall
	kindOrderReply
)

const (
	// maxControlFrame leaves space for a whole rules text.
	maxControlFrame = state.MaxText + 64<<10

	maxName         = 128
	maxFingerprints = 1024
	maxMembers      = 32
)

type (
	// DaemonMessage is a message from a daemon to the leader.
	DaemonMessage interface{ daemonMessage() }

	// LeaderMessage is a message from the leader to a daemon.
	LeaderMessage interface{ leaderMessage() }

	// Join is the first message of a daemon on a control stream.
	Join struct {
		Daemon   string `protobuf:"bytes,1,opt,name=daemon"` // peer address
		Zone     string `protobuf:"bytes,2,opt,name=zone"`
		Boot     uint64 `protobuf:"fixed64,3,opt,name=boot"` // differs for each start of the daemon
		Revision uint64 `protobuf:"varint,4,opt,name=revision"`
		Hash     []byte `protobuf:"bytes,5,opt,name=hash"` // hash of the text of Revision
		// Views is set when the daemon has views of services from an earlier leader.
		Views bool `protobuf:"varint,6,opt,name=views"`
		// Decompresses is set if the daemon accepts compressed frames.
		Decompresses bool `protobuf:"varint,7,opt,name=decompresses"`
		// Region is empty if the daemon is of a version that does not report it.
		Region string `protobuf:"bytes,8,opt,name=region"`
		// Evacuations is set if the daemon accepts an EvacuationList.
		Evacuations bool `protobuf:"varint,9,opt,name=evacuations"`
	}

	// OnceCall carries one idempotency command; the reply has the same ID.
	OnceCall struct {
		ID     uint64            `protobuf:"varint,1,opt,name=id"`
		Begin  *state.OnceBegin  `protobuf:"bytes,2,opt,name=begin"`
		Finish *state.OnceFinish `protobuf:"bytes,3,opt,name=finish"`
	}

	// OnceReply is the reply to a OnceCall: an encoded verdict, or none when the command had no effect.
	OnceReply struct {
		ID      uint64 `protobuf:"varint,1,opt,name=id"`
		Verdict []byte `protobuf:"bytes,2,opt,name=verdict"`
	}

	// CrashReport lists requests that were in flight when a backend server crashed or, with Cleared, requests
	// that completed.
	CrashReport struct {
		Incarnation  uint64   `protobuf:"fixed64,1,opt,name=incarnation"`
		Fingerprints []string `protobuf:"bytes,2,rep,name=fingerprints"`
		Cleared      bool     `protobuf:"varint,3,opt,name=cleared"`
	}

	// Propose requests acceptance of a rules text.
	Propose struct {
		Number uint64 `protobuf:"varint,1,opt,name=number"`
		Text   []byte `protobuf:"bytes,2,opt,name=text"`
		Author string `protobuf:"bytes,3,opt,name=author"`
		Hash   []byte `protobuf:"bytes,4,opt,name=hash"`
	}

	// ProposeReply is the reply to a Propose, with an encoded verdict.
	ProposeReply struct {
		Number  uint64 `protobuf:"varint,1,opt,name=number"`
		Hash    []byte `protobuf:"bytes,2,opt,name=hash"`
		Verdict []byte `protobuf:"bytes,3,opt,name=verdict"`
	}

	// Config carries a revision: hunks to apply to the text of revision Base, or the whole text when Base is
	// zero.
	Config struct {
		Number uint64       `protobuf:"varint,1,opt,name=number"`
		Hash   []byte       `protobuf:"bytes,2,opt,name=hash"`
		Base   uint64       `protobuf:"varint,3,opt,name=base"`
		Hunks  []state.Hunk `protobuf:"bytes,4,rep,name=hunks"`
		Text   []byte       `protobuf:"bytes,5,opt,name=text"`
	}

	// QuarantineList is the complete list of quarantined fingerprints.
	QuarantineList struct {
		Entries []crash.Quarantine `protobuf:"bytes,2,rep,name=entries"`
	}

	// Redirect reports that the sender is not the leader; Leader is a peer address, empty if unknown.
	Redirect struct {
		Leader string `protobuf:"bytes,1,opt,name=leader"`
	}

	// Members lists the peer addresses of the control instances under dynamic membership, the leader first.
	Members struct {
		Addresses []string `protobuf:"bytes,1,rep,name=addresses"`
	}

	// Query requests a report for the operators' endpoint from the leader; the reply has the same ID.
	Query struct {
		ID       uint64        `protobuf:"varint,1,opt,name=id"`
		Kind     QueryKind     `protobuf:"varint,2,opt,name=kind"`
		Revision uint64        `protobuf:"varint,3,opt,name=revision"`
		Limit    uint32        `protobuf:"varint,4,opt,name=limit"`
		Wait     time.Duration `protobuf:"varint,5,opt,name=wait"`
	}

	// QueryKind selects a report.
	QueryKind uint32

	// QueryReply is the reply to a Query: the JSON of the report, or an empty body when there is no such
	// report.
	QueryReply struct {
		ID   uint64 `protobuf:"varint,1,opt,name=id"`
		Body []byte `protobuf:"bytes,2,opt,name=body"`
		// TooLong is set if there is a report that is longer than a frame.
		TooLong bool `protobuf:"varint,3,opt,name=too_long"`
	}
)

// Reports of the leader.
const (
	QueryInForce QueryKind = iota + 1
	QueryHistory
	QueryRevision
	QueryLeaderDump
	QueryZones
)

// Wrappers of messages of other packages, which cannot have the marker methods of this package.
type (
	heartbeatMessage    struct{ *member.Heartbeat }
	announceMessage     struct{ *member.Announce }
	leaveMessage        struct{ *member.Leave }
	subscriptionMessage struct{ *member.Subscription }
	tokenRequestMessage struct{ *limit.TokenRequest }

	leaseMessage  struct{ *member.Lease }
	changeMessage struct{ *member.Change }
	grantMessage  struct{ *limit.Grant }
	recallMessage struct{ *limit.Recall }
)

func (*Join) daemonMessage()               {}
func (heartbeatMessage) daemonMessage()    {}
func (announceMessage) daemonMessage()     {}
func (leaveMessage) daemonMessage()        {}
func (subscriptionMessage) daemonMessage() {}
func (tokenRequestMessage) daemonMessage() {}
func (*OnceCall) daemonMessage()           {}
func (*CrashReport) daemonMessage()        {}
func (*Propose) daemonMessage()            {}
func (*Query) daemonMessage()              {}

func (leaseMessage) leaderMessage()    {}
func (*Config) leaderMessage()         {}
func (changeMessage) leaderMessage()   {}
func (grantMessage) leaderMessage()    {}
func (recallMessage) leaderMessage()   {}
func (*OnceReply) leaderMessage()      {}
func (*QuarantineList) leaderMessage() {}
func (*ProposeReply) leaderMessage()   {}
func (*Redirect) leaderMessage()       {}
func (*QueryReply) leaderMessage()     {}
func (*Members) leaderMessage()        {}

// Check returns an error for the first invalid field.
func (j *Join) Check() error {
	switch {
	case len(j.Region) > maxName:
		return fmt.Errorf("region of %d bytes, want at most %d", len(j.Region), maxName)
	case j.Daemon == "" || len(j.Daemon) > maxName || len(j.Zone) > maxName:
		return fmt.Errorf("daemon address of %[1]d bytes, want 1 to %[3]d, or zone of %[2]d bytes, want at most %[3]d", len(j.Daemon), len(j.Zone), maxName)
	case j.Boot == 0:
		return errors.New("boot is missing")
	}
	return nil
}

// Check returns an error unless exactly one command is set.
func (c *OnceCall) Check() error {
	switch {
	case (c.Begin == nil) == (c.Finish == nil):
		return errors.New("exactly one of begin and finish must be set")
	case c.Begin != nil:
		return c.Begin.Check()
	}
	return c.Finish.Check()
}

// Check accepts every reply; its verdict is checked when it is decoded.
func (*OnceReply) Check() error { return nil }

// Check returns an error for too many fingerprints.
func (c *CrashReport) Check() error {
	if len(c.Fingerprints) > maxFingerprints {
		return fmt.Errorf("%d fingerprints, limit %d", len(c.Fingerprints), maxFingerprints)
	}
	return nil
}

// Check returns an error for an empty or oversized text.
func (p *Propose) Check() error {
	if len(p.Text) == 0 || len(p.Text) > state.MaxText {
		return fmt.Errorf("rules text of %d bytes, want 1 to %d", len(p.Text), state.MaxText)
	}
	return nil
}

// Check accepts every reply; its verdict is checked when it is decoded.
func (*ProposeReply) Check() error { return nil }

// Check returns an error for a missing revision, for a message without base and text, and for too many hunks.
func (c *Config) Check() error {
	switch {
	case c.Number == 0:
		return errors.New("revision is missing")
	case c.Base == 0 && len(c.Text) == 0:
		return errors.New("neither base nor text is present")
	case len(c.Hunks) > state.MaxHunks:
		return fmt.Errorf("%d hunks, limit %d", len(c.Hunks), state.MaxHunks)
	}
	return nil
}

// Check accepts every list that fits in a frame.
func (*QuarantineList) Check() error { return nil }

// Check returns an error for an oversized address.
func (r *Redirect) Check() error {
	if len(r.Leader) > maxName {
		return fmt.Errorf("leader address of %d bytes, limit %d", len(r.Leader), maxName)
	}
	return nil
}

// Check returns an error for an unknown kind.
func (q *Query) Check() error {
	if q.Kind < QueryInForce || q.Kind > QueryZones {
		return fmt.Errorf("query kind %d is unknown", q.Kind)
	}
	return nil
}

// Check accepts every reply; the reader of the report checks its body.
func (*QueryReply) Check() error { return nil }

// Check returns an error for too many addresses and for an empty or oversized address.
func (m *Members) Check() error {
	if len(m.Addresses) > maxMembers {
		return fmt.Errorf("%d control instances, limit %d", len(m.Addresses), maxMembers)
	}
	for _, address := range m.Addresses {
		if address == "" || len(address) > maxName {
			return fmt.Errorf("control address of %d bytes, want 1 to %d", len(address), maxName)
		}
	}
	return nil
}
