package relay

import (
	"fmt"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// maxExpectedBody bounds the buffer in bytes that is made for a response before its parts have arrived.
const maxExpectedBody = 16 << 20

type (
	// pendingReply waits for one reply.
	pendingReply struct {
		done   chan peerReply
		reply  *Reply         // its body is incomplete
		credit *creditCounter // of a long request body, nil for others
		// credited is closed with the first credit: the server reads the body.
		credited  chan struct{}
		mayCredit bool // credited is open

		head chan *Reply   // the head of a long response
		body *partQueue    // the body of a long response, nil before its head has arrived
		left time.Duration // until the deadline when the request was sent

		arriving func(bytes int64) // counts what is held of a response, nil to count nothing
	}

	// peerReply is a complete Reply or a NoticeReply; both are nil if the peer stream was lost.
	peerReply struct {
		reply  *Reply
		notice *NoticeReply
	}
)

// handleReply delivers a complete reply. For one whose body follows it prepares to receive the parts.
func (s *peerStream) handleReply(reply *Reply) error {
	if !reply.More && !reply.Streamed {
		s.deliver(reply.Number, peerReply{reply: reply})
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending := s.pending[reply.Number]; pending != nil && reply.Streamed {
		if pending.body != nil {
			return fmt.Errorf("%w: two heads of one response", wire.ErrDecode)
		}
		pending.body = s.newResponseBody(reply.Number)
		pending.body.stall = max(pending.left, responseStall) + peerTimeout // the other daemon allows its server as much
		pending.head <- reply
		return nil
	}
	if pending := s.pending[reply.Number]; pending != nil {
		pending.expect(reply)
	}
	return nil
}

// expect prepares for the parts of a response that follow its reply. A peer of an earlier version does not tell its length.
func (p *pendingReply) expect(reply *Reply) {
	p.reply = reply
	if length := min(reply.Length, maxExpectedBody); length > int64(len(reply.Body)) {
		reply.Body = append(make([]byte, 0, length), reply.Body...)
	}
	p.hold(cap(reply.Body))
}

// add adds a part of the response.
func (p *pendingReply) add(part *BodyPart) {
	before := cap(p.reply.Body)
	p.reply.Body = append(p.reply.Body, part.Body...)
	p.hold(cap(p.reply.Body) - before)
}

// hold counts bytes of the response.
func (p *pendingReply) hold(bytes int) {
	if p.arriving != nil && bytes > 0 {
		p.arriving(int64(bytes))
	}
}

// newResponseBody returns the queue for the body of a long response.
func (s *peerStream) newResponseBody(number uint64) *partQueue {
	return newPartQueue(func(bytes int) {
		if frame, err := encodeFrame(kindCredit, &Credit{Number: number, Bytes: uint32(bytes)}); err == nil {
			s.writer.enqueue(cross.CauseOf(number), frame)
		}
	})
}

// handleBodyPart adds a part to a response, and delivers the reply once it is complete.
func (s *peerStream) handleBodyPart(part *BodyPart) error {
	s.mu.Lock()
	pending := s.pending[part.Number]
	if pending != nil && pending.body != nil {
		s.mu.Unlock()
		return pending.body.push(part)
	}
	if pending == nil || pending.reply == nil {
		s.mu.Unlock()
		return nil
	}
	pending.add(part)
	reply := pending.reply
	s.mu.Unlock()
	if !part.More {
		s.deliver(part.Number, peerReply{reply: reply})
	}
	return nil
}

// deliver ends the wait for a reply; it does nothing if nobody waits.
func (s *peerStream) deliver(number uint64, result peerReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending := s.pending[number]; pending != nil {
		delete(s.pending, number)
		pending.done <- result
	}
}

// register returns the number of a new request, which carries its cause.
func (s *peerStream) register(now time.Time, cause cross.Cause) (uint64, *pendingReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		s.lastReceived = now // the idle time counts from the first request
	}
	s.next++
	pending := &pendingReply{done: make(chan peerReply, 1), head: make(chan *Reply, 1)}
	number := cross.Number(s.next, cause)
	s.pending[number] = pending
	return number, pending
}

// unregister ends the wait for a reply; one that still arrives is dropped.
func (s *peerStream) unregister(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, number)
}

// failPending fails all requests that wait for a reply, because the stream is lost.
func (s *peerStream) failPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, pending := range s.pending {
		delete(s.pending, number)
		pending.done <- peerReply{}
		if pending.body != nil {
			pending.body.fail(errPeerStreamClosed)
		}
	}
}
