package ctrl

import (
	"fmt"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/limit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// errUnknownKind reports a message of a later version, which is ignored: versions are mixed during a rolling update.
var errUnknownKind = fmt.Errorf("%w: unknown control message kind", wire.ErrDecode)

// encodeDaemonMessage returns the frame of a message to the leader.
func encodeDaemonMessage(m DaemonMessage) (wire.Frame, error) {
	switch m := m.(type) {
	case *Join:
		return frameOf(kindJoin, m)
	case heartbeatMessage:
		return frameOf(kindHeartbeat, m.Heartbeat)
	case announceMessage:
		return frameOf(kindAnnounce, m.Announce)
	case leaveMessage:
		return frameOf(kindLeave, m.Leave)
	case subscriptionMessage:
		return frameOf(kindSubscription, m.Subscription)
	case tokenRequestMessage:
		return frameOf(kindTokenRequest, m.TokenRequest)
	case *OnceCall:
		return frameOf(kindOnceCall, m)
	case *CrashReport:
		return frameOf(kindCrashReport, m)
	case *Propose:
		return frameOf(kindPropose, m)
	case *Query:
		return frameOf(kindQuery, m)
	case *OrderCall:
		return frameOf(kindOrderCall, m)
	}
	return wire.Frame{}, fmt.Errorf("encode control message: unknown type %T", m)
}

// decodeDaemonMessage returns the message of a daemon; errors wrap wire.ErrDecode.
func decodeDaemonMessage(f wire.Frame) (DaemonMessage, error) {
	switch f.Kind {
	case kindJoin:
		return decodeAs(f.Body, func(m *Join) DaemonMessage { return m })
	case kindHeartbeat:
		return decodeAs(f.Body, func(m *member.Heartbeat) DaemonMessage { return heartbeatMessage{m} })
	case kindAnnounce:
		return decodeAs(f.Body, func(m *member.Announce) DaemonMessage { return announceMessage{m} })
	case kindLeave:
		return decodeAs(f.Body, func(m *member.Leave) DaemonMessage { return leaveMessage{m} })
	case kindSubscription:
		return decodeAs(f.Body, func(m *member.Subscription) DaemonMessage { return subscriptionMessage{m} })
	case kindTokenRequest:
		return decodeAs(f.Body, func(m *limit.TokenRequest) DaemonMessage { return tokenRequestMessage{m} })
	case kindOnceCall:
		return decodeAs(f.Body, func(m *OnceCall) DaemonMessage { return m })
	case kindCrashReport:
		return decodeAs(f.Body, func(m *CrashReport) DaemonMessage { return m })
	case kindPropose:
		return decodeAs(f.Body, func(m *Propose) DaemonMessage { return m })
	case kindQuery:
		return decodeAs(f.Body, func(m *Query) DaemonMessage { return m })
	case kindOrderCall:
		return decodeAs(f.Body, func(m *OrderCall) DaemonMessage { return m })
	}
	return nil, fmt.Errorf("%w %d", errUnknownKind, f.Kind)
}

// encodeLeaderMessage returns the frame of a message to a daemon.
func encodeLeaderMessage(m LeaderMessage) (wire.Frame, error) {
	switch m := m.(type) {
	case leaseMessage:
		return frameOf(kindLease, m.Lease)
	case *Config:
		return frameOf(kindConfig, m)
	case changeMessage:
		return frameOf(kindChange, m.Change)
	case grantMessage:
		return frameOf(kindGrant, m.Grant)
	case recallMessage:
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
	case *EvacuationList:
		return frameOf(kindEvacuations, m)
	case *OrderReply:
		return frameOf(kindOrderReply, m)
	}
	return wire.Frame{}, fmt.Errorf("encode control message: unknown type %T", m)
}

// decodeLeaderMessage returns the message of the leader; errors wrap wire.ErrDecode.
func decodeLeaderMessage(f wire.Frame) (LeaderMessage, error) {
	switch f.Kind {
	case kindLease:
		return decodeAs(f.Body, func(m *member.Lease) LeaderMessage { return leaseMessage{m} })
	case kindConfig:
		return decodeAs(f.Body, func(m *Config) LeaderMessage { return m })
	case kindChange:
		return decodeAs(f.Body, func(m *member.Change) LeaderMessage { return changeMessage{m} })
	case kindGrant:
		return decodeAs(f.Body, func(m *limit.Grant) LeaderMessage { return grantMessage{m} })
	case kindRecall:
		return decodeAs(f.Body, func(m *limit.Recall) LeaderMessage { return recallMessage{m} })
	case kindOnceReply:
		return decodeAs(f.Body, func(m *OnceReply) LeaderMessage { return m })
	case kindQuarantine:
		return decodeAs(f.Body, func(m *QuarantineList) LeaderMessage { return m })
	case kindProposeReply:
		return decodeAs(f.Body, func(m *ProposeReply) LeaderMessage { return m })
	case kindRedirect:
		return decodeAs(f.Body, func(m *Redirect) LeaderMessage { return m })
	case kindQueryReply:
		return decodeAs(f.Body, func(m *QueryReply) LeaderMessage { return m })
	case kindMembers:
		return decodeAs(f.Body, func(m *Members) LeaderMessage { return m })
	case kindEvacuations:
		return decodeAs(f.Body, func(m *EvacuationList) LeaderMessage { return m })
	case kindOrderReply:
		return decodeAs(f.Body, func(m *OrderReply) LeaderMessage { return m })
	}
	return nil, fmt.Errorf("%w %d", errUnknownKind, f.Kind)
}

func frameOf[T any, M wire.Message[T]](kind wire.Kind, m M) (wire.Frame, error) {
	body, err := wire.Encode[T](m)
	if err != nil {
		return wire.Frame{}, err
	}
	if len(body) > maxControlFrame {
		return wire.Frame{}, fmt.Errorf("%w: %d bytes of %T, limit %d", wire.ErrFrameTooLarge, len(body), m, maxControlFrame)
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
