package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// pingInterval is how often a peer stream with requests in progress is checked.
	pingInterval = 250 * time.Millisecond

	// peerTimeout is how long a peer stream with requests in progress may receive nothing before it is detached.
	// A connection that was cut without a reset, or a peer without power, is detected in no other way. A lost
	// packet is retransmitted sooner.
	peerTimeout = 900 * time.Millisecond

	// peerDialTimeout bounds connecting to another daemon.
	peerDialTimeout = 500 * time.Millisecond
)

var (
	errPeerStreamClosed = errors.New("the connection to the daemon was lost")
	errPeerSilent       = errors.New("the daemon is silent")
	errGivenUp          = errors.New("the request has ended before its reply")
)

type (
	// PeerStreams holds one peer stream to each daemon that requests are sent to.
	PeerStreams struct {
		Clock  clock.Clock
		Dialer *link.Dialer
		Log    zerolog.Logger
		Meter  *meter.Meter
		Memory *budget.Memory // counts the frames that wait for other daemons; nil to count nothing

		invalid invalidMessages

		mu       sync.Mutex
		streams  map[string]*peerStream
		checking bool                 // the next check of the busy streams is scheduled
		busy     map[*peerStream]bool // streams that may have requests in progress, also detached ones
	}

	// peerStream carries the requests to one daemon over one stream. Only its reader delivers replies. A silent
	// stream is detached: later requests use a new connection, and those in progress may go on waiting, because
	// a daemon that was paused replies when it runs again.
	peerStream struct {
		address      string
		ready        chan struct{} // closed when writer or err is set
		writer       *frameWriter
		err          error
		detached     chan struct{} // closed when the stream is detached
		pongReceived chan struct{} // closed when the peer has replied to a ping

		longBodies atomic.Bool // the peer understands requests with long bodies; valid once pongReceived is closed

		mu           sync.Mutex
		next         uint64
		pending      map[uint64]*pendingReply
		lastReceived time.Time
		closeSession func() // set when the stream is detached
	}
)

// Run waits until ctx ends and then closes the peer streams.
func (p *PeerStreams) Run(ctx context.Context) error {
	<-ctx.Done()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, stream := range p.streams {
		stream.close()
	}
	p.streams = nil
	return nil
}

// Send sends a request to the daemon at address and waits for its reply. sent is false if the request has
// certainly not left this daemon. When the daemon falls silent, Send calls abandon and, if that returns true,
// gives up; otherwise it goes on waiting. cause is that of the bytes if the daemon is in another availability zone.
func (p *PeerStreams) Send(
	ctx context.Context, address string, cause cross.Cause, send *SendRequest, request *Request, abandon func() bool,
) (reply *Reply, sent bool, err error) {
	stream, err := p.stream(ctx, address)
	if err != nil {
		return nil, false, err
	}
	number, pending := stream.register(p.Clock.Now(), cause)
	defer stream.unregister(number)
	send.Number, pending.left, pending.arriving = number, send.Left, request.arriving
	first, rest := splitBody(request.Body)
	send.Body, send.More = first, len(rest) > 0
	if request.Rest != nil {
		if err := p.awaitLongBodies(ctx, stream); err != nil {
			return nil, false, err
		}
		send.Streamed, send.Length = true, request.Rest.length
		send.Body, send.More, rest = nil, false, nil
		stream.expectCredit(pending)
		defer pending.credit.end()
	}
	frames, err := encodeFrames(kindSend, send, number, rest)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", errNotEncoded, err)
	}
	if !stream.writer.enqueue(cause, frames...) {
		p.remove(stream)
		return nil, false, fmt.Errorf("%w: %s", errPeerStreamClosed, address)
	}
	request.markSent(true)
	p.startChecks(stream)
	reply, err = stream.awaitReply(ctx, number, pending, request, abandon)
	if errors.Is(err, errGivenUp) {
		stream.cancelRequest(cause, number)
	}
	return reply, true, err
}

// awaitReply waits for the reply to a request that has been sent. It passes on the bodies of a long request and of a long
// response. The error wraps errGivenUp if the peer may still be sending the reply.
func (s *peerStream) awaitReply(
	ctx context.Context, number uint64, pending *pendingReply, request *Request, abandon func() bool,
) (*Reply, error) {
	passed := false
	credited, detached := pending.credited, s.detached
	for {
		select {
		case result := <-pending.done:
			// A response is whole only if its body is in the reply or has been passed on.
			if result.reply == nil || result.reply.Kind == outcomeCompleted && result.reply.Passed != passed {
				return nil, fmt.Errorf("%w: %s", errPeerStreamClosed, s.address)
			}
			return result.reply, nil
		case longHead := <-pending.head:
			if err := s.passResponse(longHead, pending.body, request); err != nil {
				return nil, s.giveUp(err)
			}
			ctx, detached = request.gone, nil // the response outlasts the deadline
			passed = true
		case <-credited:
			// Only here are bytes of the body taken, so that a request that was refused can be offered elsewhere.
			request.Rest.taken.Store(true)
			go s.sendBody(number, pending.credit, request)
			credited = nil
		case <-detached:
			if abandon() {
				return nil, s.giveUp(errPeerSilent)
			}
			detached = nil
		case <-ctx.Done():
			return nil, s.giveUp(ctx.Err())
		}
	}
}

// giveUp returns the error of a request that no longer waits for its reply.
func (s *peerStream) giveUp(cause error) error {
	return fmt.Errorf("%w: wait for %s: %w", errGivenUp, s.address, cause)
}

// SendNotice sends a notice to the daemon at address; the error reports why it was not accepted.
func (p *PeerStreams) SendNotice(ctx context.Context, address string, n Notice) error {
	stream, err := p.stream(ctx, address)
	if err != nil {
		return err
	}
	number, pending := stream.register(p.Clock.Now(), cross.Control)
	defer stream.unregister(number)
	frame, err := encodeFrame(kindNotice, &NoticeRequest{
		Number: number, Instance: n.Instance, Service: n.Service, Address: n.Address, Slots: n.Slots,
		State: n.State, Sequence: n.Sequence, StartUnixMilli: n.StartUnixMilli, ColdFor: n.ColdFor,
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errNotice, err)
	}
	if !stream.writer.enqueue(cross.Control, frame) {
		p.remove(stream)
		return fmt.Errorf("%w: %s", errPeerStreamClosed, address)
	}
	p.startChecks(stream)
	select {
	case result := <-pending.done:
		switch {
		case result.notice == nil:
			return fmt.Errorf("%w: %s", errPeerStreamClosed, address)
		case result.notice.Problem != "":
			return fmt.Errorf("%w: %s", errNotice, result.notice.Problem)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for %s: %w", address, ctx.Err())
	}
}

// stream returns the peer stream to a daemon, connecting if there is none.
func (p *PeerStreams) stream(ctx context.Context, address string) (*peerStream, error) {
	p.mu.Lock()
	stream := p.streams[address]
	if stream == nil {
		if p.streams == nil {
			p.streams = map[string]*peerStream{}
		}
		stream = &peerStream{
			address: address, ready: make(chan struct{}), detached: make(chan struct{}), pongReceived: make(chan struct{}),
			pending: map[uint64]*pendingReply{},
		}
		p.streams[address] = stream
		go p.connect(stream)
	}
	p.mu.Unlock()
	select {
	case <-stream.ready:
		return stream, stream.err
	case <-ctx.Done():
		return nil, fmt.Errorf("connect to %s: %w", address, ctx.Err())
	}
}

// connect opens the stream. It does not use the context of the request that started it, because other requests
// wait for the same connection.
func (p *PeerStreams) connect(stream *peerStream) {
	ctx, cancel := context.WithTimeout(context.Background(), peerDialTimeout)
	defer cancel()
	conn, err := p.Dialer.Open(ctx, stream.address, link.StreamRelay)
	if err != nil {
		stream.err = err
		p.remove(stream)
		close(stream.ready)
		return
	}
	defer super.Recover(&p.Log, "peer-stream", func() { p.remove(stream) })
	conn.Cause = cross.Home // frames are counted one by one
	stream.writer = newFrameWriter(conn, p.Memory)
	stream.lastReceived = p.Clock.Now()
	close(stream.ready)
	go stream.writer.run()
	err = stream.read(p, bufio.NewReaderSize(conn, peerBufferSize))
	p.Log.Info().Str("daemon", stream.address).Err(err).Msg("peer-stream-closed")
	p.remove(stream)
}

// remove removes a peer stream and fails the requests that wait on it.
func (p *PeerStreams) remove(stream *peerStream) {
	p.forget(stream)
	if stream.writer != nil {
		stream.writer.close()
	}
	stream.mu.Lock()
	closeSession := stream.closeSession
	stream.mu.Unlock()
	if closeSession != nil {
		closeSession()
	}
	stream.failPending()
}

// forget makes later requests use a new peer stream.
func (p *PeerStreams) forget(stream *peerStream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams[stream.address] == stream {
		delete(p.streams, stream.address)
	}
}

// detach detaches a silent peer stream; the requests in progress decide whether they go on waiting.
func (p *PeerStreams) detach(stream *peerStream) {
	p.forget(stream)
	closeSession := p.Dialer.Detach(stream.address)
	stream.mu.Lock()
	stream.closeSession = closeSession
	stream.mu.Unlock()
	close(stream.detached)
}

// startChecks starts the checks of a peer stream, which continue while requests are in progress. One timer serves
// all streams, because each wake-up of a process costs more than the check itself.
func (p *PeerStreams) startChecks(stream *peerStream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy == nil {
		p.busy = map[*peerStream]bool{}
	}
	p.busy[stream] = true
	p.scheduleCheck()
}

// scheduleCheck schedules the next check; p.mu is held.
func (p *PeerStreams) scheduleCheck() {
	if !p.checking {
		p.checking = true
		time.AfterFunc(pingInterval, p.checkAll)
	}
}

// checkAll checks all streams that have requests in progress.
func (p *PeerStreams) checkAll() {
	p.mu.Lock()
	streams := slices.Collect(maps.Keys(p.busy))
	p.mu.Unlock()
	var idle []*peerStream
	for _, stream := range streams {
		if !p.check(stream) {
			idle = append(idle, stream)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checking = false
	for _, stream := range idle {
		if !stream.isWaiting() {
			delete(p.busy, stream)
		}
	}
	if len(p.busy) > 0 {
		p.scheduleCheck()
	}
}

// check pings a stream whose requests wait for a while and detaches it when it is silent. It reports whether the
// stream has to be checked again.
func (p *PeerStreams) check(stream *peerStream) bool {
	now := p.Clock.Now()
	stream.mu.Lock()
	waiting, detached := len(stream.pending), stream.closeSession != nil
	idle := now.Sub(stream.lastReceived)
	stream.mu.Unlock()
	switch {
	case detached && waiting == 0:
		p.remove(stream)
		return false
	case waiting == 0:
		return false
	case idle >= peerTimeout && !detached:
		p.Log.Warn().Str("daemon", stream.address).Dur("silent", idle).Int("waiting", waiting).Msg("peer-stream-silent")
		p.detach(stream)
	}
	if frame, err := encodeFrame(kindPing, &Cancel{}); err != nil || idle >= pingInterval && !stream.writer.enqueue(cross.KeepAlive, frame) {
		p.remove(stream)
		return false
	}
	return true
}

// isWaiting reports whether requests on the stream are in progress.
func (s *peerStream) isWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0
}

// read delivers replies until the stream ends.
func (s *peerStream) read(p *PeerStreams, reader *bufio.Reader) error {
	for {
		frame, err := wire.ReadFrame(reader, maxPeerFrame)
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.lastReceived = p.Clock.Now()
		s.mu.Unlock()
		cause, err := s.handleFrame(p, frame)
		if err != nil {
			return err
		}
		s.writer.bytes.Add(cause, cross.Received, wire.HeaderSize+len(frame.Body))
	}
}

// handleFrame handles a frame and returns the cause that its bytes are counted by. After one of an unknown kind the stream
// is not read any further.
func (s *peerStream) handleFrame(p *PeerStreams, frame wire.Frame) (cross.Cause, error) {
	cause, err := s.handleMessage(frame)
	if err == nil || errors.Is(err, errFrameKind) {
		return cause, err
	}
	return s.handleInvalid(p, frame, err), nil
}

// handleMessage decodes and handles the message in a frame. The error wraps errFrameKind if the kind is unknown.
func (s *peerStream) handleMessage(frame wire.Frame) (cross.Cause, error) {
	switch frame.Kind {
	case kindReply:
		reply, err := wire.Decode[Reply](frame.Body)
		if err != nil {
			return cross.KeepAlive, err
		}
		return cross.CauseOf(reply.Number), s.handleReply(reply)
	case kindPart:
		part, err := wire.Decode[BodyPart](frame.Body)
		if err != nil {
			return cross.KeepAlive, err
		}
		return cross.CauseOf(part.Number), s.handleBodyPart(part)
	case kindNoticeReply:
		notice, err := wire.Decode[NoticeReply](frame.Body)
		if err != nil {
			return cross.KeepAlive, err
		}
		s.deliver(notice.Number, peerReply{notice: notice})
		return cross.Control, nil
	case kindCredit:
		credit, err := wire.Decode[Credit](frame.Body)
		if err != nil {
			return cross.KeepAlive, err
		}
		s.handleCredit(credit)
		return cross.CauseOf(credit.Number), nil
	case kindPong:
		pong, err := wire.Decode[Pong](frame.Body)
		if err != nil {
			return cross.KeepAlive, err
		}
		s.handlePong(pong)
	default:
		return cross.KeepAlive, fmt.Errorf("%w: %d", errFrameKind, frame.Kind)
	}
	return cross.KeepAlive, nil
}

// handlePong records what the peer understands; only the reader calls it.
func (s *peerStream) handlePong(pong *Pong) {
	select {
	case <-s.pongReceived:
	default:
		s.longBodies.Store(pong.LongBodies)
		close(s.pongReceived)
	}
}

// handleCredit lets a long request body be sent further.
func (s *peerStream) handleCredit(credit *Credit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.pending[credit.Number]
	if pending == nil || pending.credit == nil {
		return // the exchange has ended
	}
	pending.credit.add(int(credit.Bytes))
	if pending.mayCredit {
		pending.mayCredit = false
		close(pending.credited)
	}
}

// close closes a peer stream when the daemon stops.
func (s *peerStream) close() {
	select {
	case <-s.ready:
		if s.writer != nil {
			s.writer.close()
		}
	default:
	}
}

// sendFailure returns the outcome of a request whose peer stream failed.
func sendFailure(sent bool) outcome {
	if !sent {
		return notRun{failure: retry.Unreached{}}
	}
	return unknown{failure: retry.BackendLost{}}
}
