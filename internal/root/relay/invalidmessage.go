package relay

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/logs"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

var (
	errNotEncoded     = errors.New("the request does not fit into a message")
	errInvalidMessage = errors.New("a message about the request is invalid")
	errFrameKind      = errors.New("unexpected frame kind on a peer stream")
	errNumberInUse    = errors.New("another request has the number")
)

// invalidMessages counts and logs the invalid messages that a daemon receives on its peer streams.
type invalidMessages struct{ logged logs.Repeat }

// record counts an invalid message and logs it, unless another one was logged a moment ago.
func (i *invalidMessages) record(m *meter.Meter, log *zerolog.Logger, peer string, kind wire.Kind, cause error) {
	m.InvalidMessage("relay")
	if others, ok := i.logged.Allow(time.Now()); ok {
		log.Warn().Str("peer", peer).Uint8("kind", uint8(kind)).Err(cause).Int("others", others).Msg("peer-message-invalid")
	}
}

// invalidRequestFailure returns the failure of a request that does not fit into a message.
func invalidRequestFailure(cause error) retry.Failure {
	if errors.Is(cause, errHeaderLimit) || errors.Is(cause, wire.ErrFrameTooLarge) {
		return retry.HeaderTooLarge{}
	}
	return retry.BadRequest{}
}

// isInvalidRequest reports whether every daemon would refuse the request.
func isInvalidRequest(failure retry.Failure) bool {
	switch failure.(type) {
	case retry.HeaderTooLarge, retry.BodyTooLarge, retry.BadRequest:
		return true
	}
	return false
}

// handleInvalid handles an invalid message in an intact frame. It costs only the request whose number it carries.
func (p *peerStreamServer) handleInvalid(frame wire.Frame, cause error) {
	p.server.invalid.record(p.server.LocalBackend.Meter, &p.server.Log, p.peer, frame.Kind, cause)
	number, ok := wire.FirstNumber(frame.Body)
	switch frame.Kind {
	case kindSend:
		if ok && !p.inUse(number) {
			p.reply(number, notRun{failure: invalidRequestFailure(cause)}, Report{})
		}
	case kindPart:
		p.failBodies(func(n uint64) bool { return !ok || n == number })
	case kindCredit:
		p.mu.Lock()
		defer p.mu.Unlock()
		if credit := p.credits[number]; ok && credit != nil {
			credit.end()
		}
	case kindNotice:
		if ok && !p.inUse(number) {
			_ = writeMessage(p, kindNoticeReply, &NoticeReply{Number: number, Problem: "the notice is invalid"})
		}
	}
}

// inUse reports whether a request with the number is in progress.
func (p *peerStreamServer) inUse(number uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cancels[number] != nil || p.incomplete[number] != nil
}

// failBodies ends the requests whose body lacks a part. The part may belong to any of them if its number is unreadable.
func (p *peerStreamServer) failBodies(lost func(number uint64) bool) {
	for number := range p.incomplete {
		if lost(number) {
			p.dropIncomplete(number)
			p.reply(number, notRun{failure: retry.BadRequest{}}, Report{})
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for number, body := range p.long {
		if lost(number) {
			body.fail(errBodyBroken)
		}
	}
}

// handleInvalid handles an invalid message in an intact frame, and returns the cause that its bytes are counted by. It
// costs only the request whose number it carries.
func (s *peerStream) handleInvalid(p *PeerStreams, frame wire.Frame, cause error) cross.Cause {
	p.invalid.record(p.Meter, &p.Log, s.address, frame.Kind, cause)
	number, ok := wire.FirstNumber(frame.Body)
	switch {
	case frame.Kind == kindPart && !ok:
		for _, incomplete := range s.incompleteBodies() {
			s.failRequest(incomplete)
		}
		return cross.KeepAlive
	case !ok || frame.Kind == kindPong:
		return cross.KeepAlive
	}
	s.failRequest(number)
	return cross.CauseOf(number)
}

// incompleteBodies returns the numbers of the requests whose response has arrived in part.
func (s *peerStream) incompleteBodies() (numbers []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, pending := range s.pending {
		if pending.reply != nil || pending.body != nil {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// failRequest ends the wait for a reply. The request may have run.
func (s *peerStream) failRequest(number uint64) {
	s.mu.Lock()
	pending := s.pending[number]
	delete(s.pending, number)
	if pending != nil {
		pending.done <- peerReply{}
		if pending.body != nil {
			pending.body.fail(errInvalidMessage)
		}
	}
	s.mu.Unlock()
	if pending != nil {
		s.cancelRequest(cross.CauseOf(number), number)
	}
}

// cancelRequest tells the peer that nobody waits for the response.
func (s *peerStream) cancelRequest(cause cross.Cause, number uint64) {
	if frame, err := encodeFrame(kindCancel, &Cancel{Number: number}); err == nil {
		s.writer.enqueue(cause, frame)
	}
}
