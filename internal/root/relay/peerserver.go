package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// noticeTimeout bounds the processing of a forwarded notice.
	noticeTimeout = 900 * time.Millisecond
)

// errFramePanic reports a frame that caused a panic.
var errFramePanic = errors.New("panic while a frame was handled")

type (
	// PeerServer serves the peer streams of other daemons.
	PeerServer struct {
		Clock        clock.Clock
		LocalBackend *LocalBackend
		Log          zerolog.Logger
		// MaxBody bounds the body of a request in bytes.
		MaxBody int64
		Memory  *budget.Memory // counts the frames that wait for other daemons; nil to count nothing

		workers super.Workers // serve requests
		invalid invalidMessages
	}

	// incompleteRequest is a request whose body has not arrived whole.
	incompleteRequest struct {
		send *SendRequest
		held *heldBody
	}

	// peerStreamServer is the receiving end of one peer stream.
	peerStreamServer struct {
		server   *PeerServer
		peer     string
		writer   *frameWriter
		requests sync.WaitGroup

		mu         sync.Mutex
		cancels    map[uint64]context.CancelFunc
		incomplete map[uint64]*incompleteRequest // used by the reader only, without mu
		long       map[uint64]*partQueue         // long bodies of requests in progress
		credits    map[uint64]*creditCounter     // of requests in progress whose sender takes long responses
	}
)

// ServeStream serves one peer stream until it ends.
func (s *PeerServer) ServeStream(ctx context.Context, stream *link.Stream) {
	p := &peerStreamServer{
		server: s, peer: stream.Peer, writer: newFrameWriter(stream, s.Memory),
		cancels: map[uint64]context.CancelFunc{}, incomplete: map[uint64]*incompleteRequest{},
		long: map[uint64]*partQueue{}, credits: map[uint64]*creditCounter{},
	}
	go p.writer.run()
	stop := context.AfterFunc(ctx, p.writer.close) // the daemon has drained and stops
	defer stop()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	err := p.read(ctx, bufio.NewReaderSize(stream, peerBufferSize))
	s.Log.Debug().Str("peer", stream.Peer).Err(err).Msg("peer-stream-ended")
	cancel() // the responses can no longer be delivered
	p.writer.close()
	for number := range p.incomplete {
		p.dropIncomplete(number)
	}
	p.requests.Wait()
}

// read handles frames until the stream ends. A panic, which a frame may cause, ends it.
func (p *peerStreamServer) read(ctx context.Context, reader *bufio.Reader) (err error) {
	defer super.Recover(&p.server.Log, "peer-stream", func() { err = errFramePanic })
	for {
		frame, err := wire.ReadFrame(reader, maxPeerFrame)
		if err != nil {
			return err
		}
		if err := p.handleFrame(ctx, frame); err != nil {
			return err
		}
	}
}

// handleFrame handles a frame. An invalid message costs only its own request; after a frame of an unknown kind the stream
// is not read any further.
func (p *peerStreamServer) handleFrame(ctx context.Context, frame wire.Frame) error {
	err := p.handleMessage(ctx, frame)
	if err == nil || errors.Is(err, errFrameKind) {
		return err
	}
	p.handleInvalid(frame, err)
	return nil
}

// handleMessage decodes and handles the message in a frame. The error wraps errFrameKind if the kind is unknown.
func (p *peerStreamServer) handleMessage(ctx context.Context, frame wire.Frame) error {
	switch frame.Kind {
	case kindSend:
		send, err := wire.Decode[SendRequest](frame.Body)
		if err != nil {
			return err
		}
		if p.inUse(send.Number) {
			return errNumberInUse
		}
		p.receiveRequest(ctx, send)
	case kindPart:
		part, err := wire.Decode[BodyPart](frame.Body)
		if err != nil {
			return err
		}
		return p.handleBodyPart(ctx, part)
	case kindCancel:
		cancel, err := wire.Decode[Cancel](frame.Body)
		if err != nil {
			return err
		}
		p.cancel(cancel.Number)
	case kindCredit:
		credit, err := wire.Decode[Credit](frame.Body)
		if err != nil {
			return err
		}
		p.addCredit(credit)
	case kindPing:
		return writeMessage(p, kindPong, &Pong{LongBodies: true})
	case kindNotice:
		request, err := wire.Decode[NoticeRequest](frame.Body)
		if err != nil {
			return err
		}
		p.requests.Go(func() {
			defer super.Recover(&p.server.Log, "peer-notice")
			p.handleNotice(ctx, request)
		})
	default:
		return fmt.Errorf("%w: %d", errFrameKind, frame.Kind)
	}
	return nil
}

func (p *peerStreamServer) handleBodyPart(ctx context.Context, part *BodyPart) error {
	p.mu.Lock()
	long := p.long[part.Number]
	p.mu.Unlock()
	if long != nil {
		return long.push(part)
	}
	unfinished := p.incomplete[part.Number]
	if unfinished == nil {
		return nil // cancelled or refused
	}
	send := unfinished.send
	if int64(len(send.Body)+len(part.Body)) > p.server.MaxBody {
		p.dropIncomplete(part.Number)
		p.reply(part.Number, notRun{failure: retry.BodyTooLarge{}}, Report{})
		return nil
	}
	before := cap(send.Body)
	send.Body = append(send.Body, part.Body...)
	if !unfinished.held.reserve(int64(cap(send.Body) - before)) {
		delete(p.incomplete, part.Number)
		p.refuse(send.Number, unfinished.held)
		return nil
	}
	if !part.More {
		delete(p.incomplete, part.Number)
		p.startRequest(ctx, send, unfinished.held)
	}
	return nil
}

// receiveRequest starts a request, or waits for the rest of its body.
func (p *peerStreamServer) receiveRequest(ctx context.Context, send *SendRequest) {
	held := &heldBody{budget: p.server.LocalBackend.Bodies, claim: send.claim()}
	size := cap(send.Body)
	if send.Streamed {
		size = streamReserve
	}
	switch {
	case !held.reserve(int64(size)):
		p.refuse(send.Number, held)
	case send.More:
		p.incomplete[send.Number] = &incompleteRequest{send: send, held: held}
	default:
		p.startRequest(ctx, send, held)
	}
}

// refuse refuses a request whose body finds no room.
func (p *peerStreamServer) refuse(number uint64, held *heldBody) {
	held.release()
	p.server.LocalBackend.Meter.BudgetRefused("bodies")
	p.reply(number, notRun{failure: retry.Overload{}, retryAfter: noServerRetryAfter}, Report{})
}

// startRequest serves a request in its own goroutine. It is complete, or its long body follows as it is read.
func (p *peerStreamServer) startRequest(ctx context.Context, send *SendRequest, held *heldBody) {
	started := false
	defer func() {
		if !started { // after a panic
			held.release()
		}
	}()
	j := decodeJob(p.server.Clock.Now(), send)
	var long *partQueue
	if send.Streamed {
		long = newPartQueue(func(bytes int) {
			_ = writeMessage(p, kindCredit, &Credit{Number: send.Number, Bytes: uint32(bytes)})
		})
		j.request.Rest = &bodyStream{ReadCloser: long, length: send.Length}
	}
	ctx, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	p.cancels[send.Number] = cancel
	if long != nil {
		p.long[send.Number] = long
	}
	j.request.gone = ctx
	if send.LongResponses {
		credit := newCreditCounter()
		p.credits[send.Number] = credit
		j.request.pass = p.passResponse(ctx, send.Number, j.claim(), credit)
	}
	p.mu.Unlock()
	started = true
	p.requests.Add(1)
	p.server.workers.Go(func() {
		defer p.requests.Done()
		defer func() {
			p.endRequest(send.Number, cancel, long)
			held.release()
		}()
		p.serveRequest(ctx, send.Number, j)
	})
}

// serveRequest serves a request and replies to it.
func (p *peerStreamServer) serveRequest(ctx context.Context, number uint64, j *job) {
	defer super.Recover(&p.server.Log, "peer-request", func() {
		p.reply(number, unknown{failure: retry.BackendLost{}}, Report{})
	})
	result, report := p.server.LocalBackend.serve(ctx, j)
	if ctx.Err() == nil { // otherwise nobody waits for the reply
		p.reply(number, result, report)
	}
}

// endRequest forgets a request that has ended. Its long body is nil if it had none.
func (p *peerStreamServer) endRequest(number uint64, cancel context.CancelFunc, long *partQueue) {
	p.mu.Lock()
	delete(p.cancels, number)
	delete(p.long, number)
	delete(p.credits, number)
	p.mu.Unlock()
	cancel()
	if long != nil {
		_ = long.Close()
	}
}

// cancel ends a request for whose response nobody waits.
func (p *peerStreamServer) cancel(number uint64) {
	p.dropIncomplete(number)
	p.mu.Lock()
	defer p.mu.Unlock()
	if cancel := p.cancels[number]; cancel != nil {
		cancel()
	}
}

// dropIncomplete forgets a request whose body has not arrived whole.
func (p *peerStreamServer) dropIncomplete(number uint64) {
	if unfinished := p.incomplete[number]; unfinished != nil {
		unfinished.held.release()
		delete(p.incomplete, number)
	}
}

func (p *peerStreamServer) addCredit(credit *Credit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if counter := p.credits[credit.Number]; counter != nil {
		counter.add(int(credit.Bytes))
	}
}

// reply sends the outcome of a request. One that no message can hold is replaced by a refusal of this request.
func (p *peerStreamServer) reply(number uint64, result outcome, report Report) {
	message := encodeReply(number, result, report)
	first, rest := splitBody(message.Body)
	message.Body, message.More = first, len(rest) > 0
	if message.More {
		message.Length = int64(len(first) + len(rest))
	}
	frames, err := encodeFrames(kindReply, message, number, rest)
	if err != nil {
		p.server.Log.Error().Err(err).Msg("reply-not-encoded")
		refusal := encodeReply(number, unknown{failure: retry.BackendLost{}}, Report{})
		if frames, err = encodeFrames(kindReply, refusal, number, nil); err != nil {
			return // this refusal is valid
		}
	}
	p.writer.enqueue(cross.Home, frames...)
}

func (p *peerStreamServer) handleNotice(ctx context.Context, request *NoticeRequest) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	noticeReply := &NoticeReply{Number: request.Number}
	if err := p.server.LocalBackend.Notice(ctx, request.notice()); err != nil {
		noticeReply.Problem = err.Error()
	}
	noticeReply.Problem = noticeReply.Problem[:min(len(noticeReply.Problem), maxText)]
	_ = writeMessage(p, kindNoticeReply, noticeReply)
}

// writeMessage queues a message.
func writeMessage[T any, M wire.Message[T]](p *peerStreamServer, kind wire.Kind, m M) error {
	frame, err := encodeFrame[T](kind, m)
	if err == nil {
		p.writer.enqueue(cross.Home, frame)
	}
	return err
}

// decodeJob decodes a request that was received at now.
func decodeJob(now time.Time, send *SendRequest) *job {
	arrived := now.Add(-send.Age)
	j := &job{
		service: send.Service, route: send.Route, caller: send.Caller, account: send.accountName(),
		fingerprint: send.Fingerprint, nested: send.Nested, rank: int(send.Rank),
		arrived: arrived, deadline: now.Add(send.Left),
		request: &Request{
			ID: send.ID, Method: send.Method, Target: send.Target, Host: send.Host,
			Header: decodeHeader(send.Header), Body: send.Body,
		},
	}
	if send.Objective > 0 {
		j.objective = arrived.Add(send.Objective)
	}
	return j
}
