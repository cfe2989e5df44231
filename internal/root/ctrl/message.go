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
	kindBeat
	kindAnnounce
	kindLeave
	kindWant
	kindTokenAsk
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
)

const (
	// maxControlFrame holds a whole rules text.
	maxControlFrame = state.MaxText + 64<<10

	maxName    = 128
	maxReport  = 1024
	maxMembers = 32
)

type (
	// Up is a message from a daemon to the leader.
	Up interface{ up() }

	// Down is a message from the leader to a daemon.
	Down interface{ down() }

	// Join opens a control stream.
	Join struct {
		Daemon   string `protobuf:"bytes,1,opt,name=daemon"` // peer address
		Zone     string `protobuf:"bytes,2,opt,name=zone"`
		Boot     uint64 `protobuf:"fixed64,3,opt,name=boot"` // differs for each start
		Revision uint64 `protobuf:"varint,4,opt,name=revision"`
		Hash     []byte `protobuf:"bytes,5,opt,name=hash"` // of the text of Revision
		// Views tells that the daemon has views of services from an earlier leader.
		Views bool `protobuf:"varint,6,opt,name=views"`
	}

	// OnceCall carries one idempotency command; ID is repeated in the reply.
	OnceCall struct {
		ID     uint64            `protobuf:"varint,1,opt,name=id"`
		Begin  *state.OnceBegin  `protobuf:"bytes,2,opt,name=begin"`
		Finish *state.OnceFinish `protobuf:"bytes,3,opt,name=finish"`
	}

	// OnceReply answers an OnceCall with an encoded verdict, or none when the command had no effect.
	OnceReply struct {
		ID      uint64 `protobuf:"varint,1,opt,name=id"`
		Verdict []byte `protobuf:"bytes,2,opt,name=verdict"`
	}

	// CrashReport names requests that were in flight when a backend server died, or that completed.
	CrashReport struct {
		Incarnation  uint64   `protobuf:"fixed64,1,opt,name=incarnation"`
		Fingerprints []string `protobuf:"bytes,2,rep,name=fingerprints"`
		Cleared      bool     `protobuf:"varint,3,opt,name=cleared"`
	}

	// Propose asks to accept a rules text.
	Propose struct {
		Number uint64 `protobuf:"varint,1,opt,name=number"`
		Text   []byte `protobuf:"bytes,2,opt,name=text"`
		Author string `protobuf:"bytes,3,opt,name=author"`
		Hash   []byte `protobuf:"bytes,4,opt,name=hash"`
	}

	// ProposeReply answers a Propose with an encoded verdict.
	ProposeReply struct {
		Number  uint64 `protobuf:"varint,1,opt,name=number"`
		Hash    []byte `protobuf:"bytes,2,opt,name=hash"`
		Verdict []byte `protobuf:"bytes,3,opt,name=verdict"`
	}

	// Config brings a daemon to a revision: hunks applied to the text of Base, or the whole text when
	// Base is zero.
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

	// Redirect says that the sender does not lead; Leader is a peer address, empty if unknown.
	Redirect struct {
		Leader string `protobuf:"bytes,1,opt,name=leader"`
	}

	// Members lists the peer addresses of the control instances of an open group, the leader first.
	Members struct {
		Addresses []string `protobuf:"bytes,1,rep,name=addresses"`
	}

	// Query asks the leader for a report of the operators' endpoint; ID is repeated in the reply.
	Query struct {
		ID       uint64        `protobuf:"varint,1,opt,name=id"`
		Kind     QueryKind     `protobuf:"varint,2,opt,name=kind"`
		Revision uint64        `protobuf:"varint,3,opt,name=revision"`
		Limit    uint32        `protobuf:"varint,4,opt,name=limit"`
		Wait     time.Duration `protobuf:"varint,5,opt,name=wait"`
	}

	// QueryKind selects a report.
	QueryKind uint32

	// QueryReply answers a Query with the JSON of the report; an empty body means that there is none.
	QueryReply struct {
		ID   uint64 `protobuf:"varint,1,opt,name=id"`
		Body []byte `protobuf:"bytes,2,opt,name=body"`
	}
)

// The reports that a daemon asks the leader for.
const (
	QueryInForce QueryKind = iota + 1
	QueryHistory
	QueryRevision
	QueryLeaderDump
)

// Messages of other packages travel in wrappers, because the marker methods belong to this package.
type (
	beatUp     struct{ *member.Heartbeat }
	announceUp struct{ *member.Announce }
	leaveUp    struct{ *member.Leave }
	wantUp     struct{ *member.Subscription }
	askUp      struct{ *limit.TokenRequest }

	leaseDown  struct{ *member.Lease }
	changeDown struct{ *member.Change }
	grantDown  struct{ *limit.Grant }
	recallDown struct{ *limit.Recall }
)

func (*Join) up()        {}
func (beatUp) up()       {}
func (announceUp) up()   {}
func (leaveUp) up()      {}
func (wantUp) up()       {}
func (askUp) up()        {}
func (*OnceCall) up()    {}
func (*CrashReport) up() {}
func (*Propose) up()     {}
func (*Query) up()       {}

func (leaseDown) down()       {}
func (*Config) down()         {}
func (changeDown) down()      {}
func (grantDown) down()       {}
func (recallDown) down()      {}
func (*OnceReply) down()      {}
func (*QuarantineList) down() {}
func (*ProposeReply) down()   {}
func (*Redirect) down()       {}
func (*QueryReply) down()     {}
func (*Members) down()        {}

// Check reports the first invalid field.
func (j *Join) Check() error {
	switch {
	case j.Daemon == "" || len(j.Daemon) > maxName || len(j.Zone) > maxName:
		return fmt.Errorf("daemon of %d bytes and zone of %d bytes, want 1 to %d", len(j.Daemon), len(j.Zone), maxName)
	case j.Boot == 0:
		return errors.New("boot is missing")
	}
	return nil
}

// Check reports a call without exactly one command.
func (c *OnceCall) Check() error {
	switch {
	case (c.Begin == nil) == (c.Finish == nil):
		return errors.New("want either begin or finish")
	case c.Begin != nil:
		return c.Begin.Check()
	}
	return c.Finish.Check()
}

// Check accepts every reply; its verdict is checked when it is decoded.
func (*OnceReply) Check() error { return nil }

// Check reports an oversized list.
func (c *CrashReport) Check() error {
	if len(c.Fingerprints) > maxReport {
		return fmt.Errorf("%d fingerprints, limit %d", len(c.Fingerprints), maxReport)
	}
	return nil
}

// Check reports a text of the wrong size.
func (p *Propose) Check() error {
	if len(p.Text) == 0 || len(p.Text) > state.MaxText {
		return fmt.Errorf("rules text of %d bytes, want 1 to %d", len(p.Text), state.MaxText)
	}
	return nil
}

// Check accepts every reply; its verdict is checked when it is decoded.
func (*ProposeReply) Check() error { return nil }

// Check reports a configuration with neither text nor base.
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

// Check reports an oversized address.
func (r *Redirect) Check() error {
	if len(r.Leader) > maxName {
		return fmt.Errorf("leader address of %d bytes, limit %d", len(r.Leader), maxName)
	}
	return nil
}

// Check reports an unknown kind.
func (q *Query) Check() error {
	if q.Kind < QueryInForce || q.Kind > QueryLeaderDump {
		return fmt.Errorf("query kind %d is unknown", q.Kind)
	}
	return nil
}

// Check accepts every reply; its body is checked by the reader of the report.
func (*QueryReply) Check() error { return nil }

// Check reports a list or an address that is too long.
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
