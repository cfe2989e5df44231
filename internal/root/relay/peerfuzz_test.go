package relay

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const fuzzWindow = 10 // bytes granted to a long body

// idleWriter returns a writer that only queues its frames.
func idleWriter() *frameWriter {
	return &frameWriter{wake: make(chan struct{}, 1), closed: make(chan struct{})}
}

// addFrames adds valid and invalid frames of all kinds to the corpus.
func addFrames(f *testing.F) {
	manyFields := sendOf(3, "/x")
	manyFields.Header = fieldsOf(maxFields + 1)
	for number := range uint64(6) {
		for kind, messages := range map[wire.Kind][]any{
			kindSend:        {sendOf(number, "/x"), manyFields, &SendRequest{Number: number}},
			kindPart:        {&BodyPart{Number: number, Body: []byte("x"), More: true}, &BodyPart{Number: number, Body: make([]byte, fuzzWindow+1)}},
			kindCancel:      {&Cancel{Number: number}},
			kindReply:       {&Reply{Number: number, Kind: outcomeCompleted, Status: 200}, &Reply{Number: number, Kind: outcomeCompleted, Status: 200, Streamed: true}, &Reply{Number: number}},
			kindNotice:      {&NoticeRequest{Number: number, Instance: "i", State: StateReady}, &NoticeRequest{Number: number, ColdFor: -1}},
			kindNoticeReply: {&NoticeReply{Number: number}},
			kindCredit:      {&Credit{Number: number, Bytes: 1}, &Credit{Number: number, Bytes: streamWindow + 1}},
			kindPong:        {&Pong{LongBodies: true}},
			kindPing:        {[]byte{}},
		} {
			for _, message := range messages {
				body, ok := message.([]byte)
				if !ok {
					body = marshal(f, message)
				}
				f.Add(uint8(kind), body)
				f.Add(uint8(kind), body[:len(body)/2])
			}
		}
	}
}

// target returns the number of the request that a message concerns, also of an invalid one; ok is false if it concerns
// none.
func target(kind wire.Kind, body []byte) (number uint64, ok bool) {
	switch kind {
	case kindSend:
		if m, err := wire.Decode[SendRequest](body); err == nil {
			return m.Number, true
		}
	case kindPart:
		if m, err := wire.Decode[BodyPart](body); err == nil {
			return m.Number, true
		}
	case kindCancel:
		m, err := wire.Decode[Cancel](body)
		if err != nil {
			return 0, false
		}
		return m.Number, true
	case kindReply:
		if m, err := wire.Decode[Reply](body); err == nil {
			return m.Number, true
		}
	case kindNotice:
		if m, err := wire.Decode[NoticeRequest](body); err == nil {
			return m.Number, true
		}
	case kindNoticeReply:
		if m, err := wire.Decode[NoticeReply](body); err == nil {
			return m.Number, true
		}
	case kindCredit:
		if m, err := wire.Decode[Credit](body); err == nil {
			return m.Number, true
		}
	default:
		return 0, false
	}
	return wire.FirstNumber(body)
}

// Guards against a frame of another daemon that makes the reader panic, and against a message that changes another request
// than the one that it names.
func FuzzPeerServerFrame(f *testing.F) {
	addFrames(f)
	shared := meter.New()
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		server := &PeerServer{
			Clock: clock.Real{}, Log: zerolog.Nop(), MaxBody: 1 << 20,
			LocalBackend: &LocalBackend{
				Clock: clock.Real{}, Control: &fakeControl{}, Meter: shared, Log: zerolog.Nop(), Requests: zerolog.Nop(),
				Bodies: budget.NewBytes(1<<30, nil), draining: true,
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		long, credit := newPartQueue(func(int) {}), newCreditCounter()
		long.granted = fuzzWindow
		p := &peerStreamServer{
			server: server, writer: idleWriter(), cancels: map[uint64]context.CancelFunc{1: cancel},
			incomplete: map[uint64]*incompleteRequest{2: {send: &SendRequest{Number: 2, Body: []byte("body")}, held: &heldBody{}}},
			long:       map[uint64]*partQueue{1: long}, credits: map[uint64]*creditCounter{1: credit},
		}
		frame := wire.Frame{Kind: wire.Kind(kind), Body: body}
		err := p.handleFrame(t.Context(), frame)
		known := slices.Contains([]wire.Kind{kindSend, kindPart, kindCancel, kindCredit, kindPing, kindNotice}, frame.Kind)
		assert.Equal(t, err == nil, known)
		p.requests.Wait()
		number, ok := target(frame.Kind, body)
		unreadablePart := frame.Kind == kindPart && !ok
		if !ok || number != 1 {
			assert.NilError(t, ctx.Err())
			assert.Assert(t, !credit.ended && credit.bytes == 0)
			assert.Equal(t, long.err != nil, unreadablePart)
			assert.Equal(t, long.data.Len(), 0)
		}
		if !ok || number != 2 {
			assert.Equal(t, p.incomplete[2] == nil, unreadablePart)
			assert.Assert(t, unreadablePart || string(p.incomplete[2].send.Body) == "body")
		}
		for _, queued := range p.writer.frames {
			if queued.Kind == kindReply {
				reply, err := wire.Decode[Reply](queued.Body)
				assert.NilError(t, err)
				assert.Assert(t, reply.Number != 1 && (reply.Number == number || unreadablePart), "a reply to %d", reply.Number)
			}
		}
	})
}

// Guards against a frame of another daemon that makes the reader panic, and against a message that changes another request
// than the one that it names.
func FuzzPeerClientFrame(f *testing.F) {
	addFrames(f)
	shared := meter.New()
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		streams := &PeerStreams{Clock: clock.Real{}, Log: zerolog.Nop(), Meter: shared}
		s := &peerStream{writer: idleWriter(), pongReceived: make(chan struct{}), pending: map[uint64]*pendingReply{}}
		for number := range uint64(4) {
			s.pending[number+1] = &pendingReply{done: make(chan peerReply, 1), head: make(chan *Reply, 1), left: time.Second}
		}
		long, incomplete, credited := s.pending[2], s.pending[3], s.pending[4]
		long.body = newPartQueue(func(int) {})
		long.body.granted = fuzzWindow
		incomplete.reply = &Reply{Number: 3, Kind: outcomeCompleted, Status: 200, More: true, Body: []byte("body")}
		s.expectCredit(credited)
		frame := wire.Frame{Kind: wire.Kind(kind), Body: body}
		_, err := s.handleFrame(streams, frame)
		known := slices.Contains([]wire.Kind{kindReply, kindPart, kindNoticeReply, kindCredit, kindPong}, frame.Kind)
		assert.Equal(t, err == nil, known)
		number, ok := target(frame.Kind, body)
		unreadablePart := known && frame.Kind == kindPart && !ok
		for other := range uint64(4) {
			if other++; !ok || number != other {
				lost := unreadablePart && (other == 2 || other == 3)
				assert.Equal(t, s.pending[other] == nil, lost, "request %d", other)
			}
		}
		if !ok || number != 2 {
			assert.Equal(t, long.body.err != nil && long.body.err != io.EOF, unreadablePart)
			assert.Equal(t, long.body.data.Len(), 0)
		}
		if !ok || number != 3 {
			assert.Equal(t, string(incomplete.reply.Body), "body")
		}
		if !ok || number != 4 {
			assert.Equal(t, credited.credit.bytes, 0)
		}
		for _, queued := range s.writer.frames {
			assert.Equal(t, queued.Kind, kindCancel)
			cancel, err := wire.Decode[Cancel](queued.Body)
			assert.NilError(t, err)
			assert.Assert(t, cancel.Number == number || unreadablePart)
		}
	})
}
