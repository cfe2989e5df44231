package codec

import (
	"fmt"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Frame kinds of consensus messages.
const (
	KindHello wire.Kind = iota + 1
	KindHelloReply
	KindVoteRequest
	KindVoteReply
	KindAppend
	KindAppendReply
	KindInstallSnapshot
)

// Encode returns the frame that carries m; its body is at most wire.MaxFrame bytes.
func Encode(m raft.Message) (wire.Frame, error) {
	switch m := m.(type) {
	case *raft.Hello:
		return frame(KindHello, m)
	case *raft.HelloReply:
		return frame(KindHelloReply, m)
	case *raft.VoteRequest:
		return frame(KindVoteRequest, m)
	case *raft.VoteReply:
		return frame(KindVoteReply, m)
	case *raft.Append:
		return frame(KindAppend, m)
	case *raft.AppendReply:
		return frame(KindAppendReply, m)
	case *raft.InstallSnapshot:
		return frame(KindInstallSnapshot, m)
	}
	return wire.Frame{}, fmt.Errorf("encode consensus message: unknown type %T", m)
}

// Decode returns the checked message in f; errors wrap wire.ErrDecode.
func Decode(f wire.Frame) (raft.Message, error) {
	switch f.Kind {
	case KindHello:
		return message[raft.Hello](f.Body)
	case KindHelloReply:
		return message[raft.HelloReply](f.Body)
	case KindVoteRequest:
		return message[raft.VoteRequest](f.Body)
	case KindVoteReply:
		return message[raft.VoteReply](f.Body)
	case KindAppend:
		return message[raft.Append](f.Body)
	case KindAppendReply:
		return message[raft.AppendReply](f.Body)
	case KindInstallSnapshot:
		return message[raft.InstallSnapshot](f.Body)
	}
	return nil, fmt.Errorf("%w: unknown consensus message kind %d", wire.ErrDecode, f.Kind)
}

func frame[T any, M wire.Message[T]](kind wire.Kind, m M) (wire.Frame, error) {
	body, err := wire.Encode[T](m)
	if err != nil {
		return wire.Frame{}, fmt.Errorf("encode consensus message: %w", err)
	}
	return wire.Frame{Kind: kind, Body: body}, nil
}

func message[T any, M interface {
	wire.Message[T]
	raft.Message
}](body []byte) (raft.Message, error) {
	m, err := wire.Decode[T, M](body)
	if err != nil {
		return nil, fmt.Errorf("decode consensus message: %w", err)
	}
	return m, nil
}
