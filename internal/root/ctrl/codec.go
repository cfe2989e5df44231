package ctrl

import (
	"fmt"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/limit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// encodeUp returns the frame of a daemon's message.
func encodeUp(m Up) (wire.Frame, error) {
	switch m := m.(type) {
	case *Join:
		return frameOf(kindJoin, m)
	case beatUp:
		return frameOf(kindBeat, m.Heartbeat)
	case announceUp:
		return frameOf(kindAnnounce, m.Announce)
	case leaveUp:
		return frameOf(kindLeave, m.Leave)
	case wantUp:
		return frameOf(kindWant, m.Subscription)
	case askUp:
		return frameOf(kindTokenAsk, m.TokenRequest)
	case *OnceCall:
		return frameOf(kindOnceCall, m)
	case *CrashReport:
		return frameOf(kindCrashReport, m)
	case *Propose:
		return frameOf(kindPropose, m)
	case *Query:
		return frameOf(kindQuery, m)
	}
	return wire.Frame{}, fmt.Errorf("encode control message: unknown type %T", m)
}

// decodeUp returns a daemon's message; errors wrap wire.ErrDecode.
func decodeUp(f wire.Frame) (Up, error) {
	switch f.Kind {
	case kindJoin:
		return decodeAs(f.Body, func(m *Join) Up { return m })
	case kindBeat:
		return decodeAs(f.Body, func(m *member.Heartbeat) Up { return beatUp{m} })
	case kindAnnounce:
		return decodeAs(f.Body, func(m *member.Announce) Up { return announceUp{m} })
	case kindLeave:
		return decodeAs(f.Body, func(m *member.Leave) Up { return leaveUp{m} })
	case kindWant:
		return decodeAs(f.Body, func(m *member.Subscription) Up { return wantUp{m} })
	case kindTokenAsk:
		return decodeAs(f.Body, func(m *limit.TokenRequest) Up { return askUp{m} })
	case kindOnceCall:
		return decodeAs(f.Body, func(m *OnceCall) Up { return m })
	case kindCrashReport:
		return decodeAs(f.Body, func(m *CrashReport) Up { return m })
	case kindPropose:
		return decodeAs(f.Body, func(m *Propose) Up { return m })
	case kindQuery:
		return decodeAs(f.Body, func(m *Query) Up { return m })
	}
	return nil, fmt.Errorf("%w: unknown control message kind %d", wire.ErrDecode, f.Kind)
}

// encodeDown returns the frame of a message of the leader.
func encodeDown(m Down) (wire.Frame, error) {
	switch m := m.(type) {
	case leaseDown:
		return frameOf(kindLease, m.Lease)
	case *Config:
		return frameOf(kindConfig, m)
	case changeDown:
		return frameOf(kindChange, m.Change)
	case grantDown:
		return frameOf(kindGrant, m.Grant)
	case recallDown:
		return frameOf(kindRecall, m.Recall)
	case *OnceReply:
		return frameOf(kindOnceReply, m)
	case *QuarantineList:
		return frameOf(kindQuarantine, m)
	case *ProposeReply:
		return frameOf(kindProposeReply, m)
	case *Redirect:
		return frameOf(kindRedirect, m)
	case *QueryReply:
		return frameOf(kindQueryReply, m)
	case *Members:
		return frameOf(kindMembers, m)
	}
	return wire.Frame{}, fmt.Errorf("encode control message: unknown type %T", m)
}

// decodeDown returns a message of the leader; errors wrap wire.ErrDecode.
func decodeDown(f wire.Frame) (Down, error) {
	switch f.Kind {
	case kindLease:
		return decodeAs(f.Body, func(m *member.Lease) Down { return leaseDown{m} })
	case kindConfig:
		return decodeAs(f.Body, func(m *Config) Down { return m })
	case kindChange:
		return decodeAs(f.Body, func(m *member.Change) Down { return changeDown{m} })
	case kindGrant:
		return decodeAs(f.Body, func(m *limit.Grant) Down { return grantDown{m} })
	case kindRecall:
		return decodeAs(f.Body, func(m *limit.Recall) Down { return recallDown{m} })
	case kindOnceReply:
		return decodeAs(f.Body, func(m *OnceReply) Down { return m })
	case kindQuarantine:
		return decodeAs(f.Body, func(m *QuarantineList) Down { return m })
	case kindProposeReply:
		return decodeAs(f.Body, func(m *ProposeReply) Down { return m })
	case kindRedirect:
		return decodeAs(f.Body, func(m *Redirect) Down { return m })
	case kindQueryReply:
		return decodeAs(f.Body, func(m *QueryReply) Down { return m })
	case kindMembers:
		return decodeAs(f.Body, func(m *Members) Down { return m })
	}
	return nil, fmt.Errorf("%w: unknown control message kind %d", wire.ErrDecode, f.Kind)
}

func frameOf[T any, M wire.Message[T]](kind wire.Kind, m M) (wire.Frame, error) {
	body, err := wire.Encode[T](m)
	if err != nil {
		return wire.Frame{}, err
	}
	return wire.Frame{Kind: kind, Body: body}, nil
}

func decodeAs[T, V any, M wire.Message[T]](body []byte, wrap func(M) V) (V, error) {
	message, err := wire.Decode[T, M](body)
	if err != nil {
		var none V
		return none, err
	}
	return wrap(message), nil
}
