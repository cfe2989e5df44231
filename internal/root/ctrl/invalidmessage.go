package ctrl

import (
	"errors"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// decodeReceived returns the message in a frame of the leader, which may be compressed.
func decodeReceived(received wire.Frame) (LeaderMessage, error) {
	frame, err := wire.Decompress(received, wire.MaxFrame)
	if err != nil {
		return nil, err
	}
	return decodeLeaderMessage(frame)
}

// ignoreMessage counts and logs an invalid message in an intact frame. The messages behind it are still read. One of a later
// version is not invalid.
func (l *Loop) ignoreMessage(peer string, cause error) {
	if errors.Is(cause, errUnknownKind) {
		l.log.Debug().Str("peer", peer).Err(cause).Msg("control-message-ignored")
		return
	}
	l.invalidMessages.Add(1)
	if others, ok := l.invalidLogged.Allow(time.Now()); ok {
		l.log.Warn().Str("peer", peer).Err(cause).Int("others", others).Msg("control-message-invalid")
	}
}

// refuseInvalid replies to an invalid request of a daemon, if its ID can be read: the request had no effect.
func (s *session) refuseInvalid(received wire.Frame) {
	id, ok := wire.FirstNumber(received.Body)
	if !ok {
		return
	}
	var reply LeaderMessage
	switch received.Kind {
	case kindOnceCall:
		reply = &OnceReply{ID: id}
	case kindOrderCall:
		reply = orderReply(id, OrderRefused{Invalid: true, Detail: "the order is invalid"})
	case kindQuery:
		reply = &QueryReply{ID: id}
	default:
		return
	}
	if frame, err := encodeLeaderMessage(reply); err == nil {
		s.send(frame)
	}
}
