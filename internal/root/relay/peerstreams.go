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
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// pingEvery is how often a lane with requests in progress is checked.
	pingEvery = 250 * time.Millisecond

	// silenceLimit is how long a lane with requests in progress may be silent. A connection that was cut
	// without a reset, or a machine without power, shows in no other way; a lost packet is sent again sooner.
	silenceLimit = 900 * time.Millisecond

	// openTimeout bounds the connection to another daemon.
	openTimeout = 500 * time.Millisecond
)

var errLaneClosed = errors.New("the connection to the daemon was lost")

type (
	// Lanes holds one lane to each daemon that requests are sent to.
	PeerStreams struct {
		Clock  clock.Clock
		Dialer *link.Dialer
		Log    zerolog.Logger

		mu    sync.Mutex
		lanes map[string]*lane
	}

	// lane carries the requests to one daemon over one stream. Its reader is the only one that hands out
	// replies.
	lane struct {
		address string
		ready   chan struct{} // closed when box or err is set
		box     *outbox
		err     error

		mu      sync.Mutex
		next    uint64
		pending map[uint64]*pendingSend
		heard   time.Time
		pinging bool
	}

	// pendingSend waits for one reply.
	pendingSend struct {
		done  chan laneReply
		reply *Reply // whose body is not complete
	}

	// laneReply is a whole Reply or a Told; both are nil when the lane was lost.
	laneReply struct {
		reply *Reply
		told  *Told
	}
)

// Run keeps the lanes until ctx ends and then closes them.
func (l *PeerStreams) Run(ctx context.Context) error {
	<-ctx.Done()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, each := range l.lanes {
		each.shut()
	}
	l.lanes = nil
	return nil
}

// Send brings a request to the daemon at address and waits for its end. sent is false when the request
// has provably not left this daemon.
func (l *PeerStreams) Send(ctx context.Context, address string, send *Send, body []byte) (reply *Reply, sent bool, err error) {
	to, err := l.lane(ctx, address)
	if err != nil {
		return nil, false, err
	}
	number, pending := to.register(l.Clock.Now())
	defer to.forget(number)
	send.Number = number
	first, rest := cut(body)
	send.Body, send.More = first, len(rest) > 0
	frames, err := framesOf(kindSend, send, number, rest)
	if err != nil {
		return nil, false, err
	}
	if !to.box.send(frames...) {
		l.drop(to)
		return nil, false, fmt.Errorf("%w: %s", errLaneClosed, address)
	}
	l.watch(to)
	select {
	case got := <-pending.done:
		if got.reply == nil {
			return nil, true, fmt.Errorf("%w: %s", errLaneClosed, address)
		}
		return got.reply, true, nil
	case <-ctx.Done():
		if frame, err := frameOf(kindCancel, &Cancel{Number: number}); err == nil {
			to.box.send(frame)
		}
		return nil, true, fmt.Errorf("wait for %s: %w", address, ctx.Err())
	}
}

// Tell passes a notice to the daemon at address; the error says why it was not taken.
func (l *PeerStreams) Tell(ctx context.Context, address string, n Notice) error {
	to, err := l.lane(ctx, address)
	if err != nil {
		return err
	}
	number, pending := to.register(l.Clock.Now())
	defer to.forget(number)
	frame, err := frameOf(kindTell, &Tell{
		Number: number, Instance: n.Instance, Service: n.Service, Address: n.Address, Slots: n.Slots,
		State: n.State, Sequence: n.Sequence, StartUnixMilli: n.StartUnixMilli,
	})
	if err != nil {
		return err
	}
	if !to.box.send(frame) {
		l.drop(to)
		return fmt.Errorf("%w: %s", errLaneClosed, address)
	}
	l.watch(to)
	select {
	case got := <-pending.done:
		switch {
		case got.told == nil:
			return fmt.Errorf("%w: %s", errLaneClosed, address)
		case got.told.Problem != "":
			return fmt.Errorf("%w: %s", errNotice, got.told.Problem)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for %s: %w", address, ctx.Err())
	}
}

// lane returns the lane to a daemon, connecting if there is none.
func (l *PeerStreams) lane(ctx context.Context, address string) (*lane, error) {
	l.mu.Lock()
	to := l.lanes[address]
	if to == nil {
		if l.lanes == nil {
			l.lanes = map[string]*lane{}
		}
		to = &lane{address: address, ready: make(chan struct{}), pending: map[uint64]*pendingSend{}}
		l.lanes[address] = to
		go l.connect(to)
	}
	l.mu.Unlock()
	select {
	case <-to.ready:
		return to, to.err
	case <-ctx.Done():
		return nil, fmt.Errorf("connect to %s: %w", address, ctx.Err())
	}
}

// connect opens the stream; the dial outlives the request that began it, because others wait for it too.
func (l *PeerStreams) connect(to *lane) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	stream, err := l.Dialer.Open(ctx, to.address, link.StreamRelay)
	if err != nil {
		to.err = err
		l.drop(to)
		close(to.ready)
		return
	}
	to.box = newOutbox(stream)
	to.heard = l.Clock.Now()
	close(to.ready)
	go to.box.run()
	err = to.read(l, bufio.NewReaderSize(stream, laneBuffer))
	l.Log.Info().Str("daemon", to.address).Err(err).Msg("lane-closed")
	l.drop(to)
}

// drop forgets a lane and ends what waits on it.
func (l *PeerStreams) drop(to *lane) {
	l.mu.Lock()
	if l.lanes[to.address] == to {
		delete(l.lanes, to.address)
	}
	l.mu.Unlock()
	if to.box != nil {
		to.box.close()
	}
	to.failAll()
}

// watch pings the lane while requests are in progress, and drops it when nothing comes back.
func (l *PeerStreams) watch(to *lane) {
	to.mu.Lock()
	begin := !to.pinging
	to.pinging = true
	to.mu.Unlock()
	if begin {
		time.AfterFunc(pingEvery, func() { l.check(to) })
	}
}

func (l *PeerStreams) check(to *lane) {
	now := l.Clock.Now()
	to.mu.Lock()
	if len(to.pending) == 0 {
		to.pinging = false
		to.mu.Unlock()
		return
	}
	silent := now.Sub(to.heard)
	to.mu.Unlock()
	if silent >= silenceLimit {
		l.Log.Warn().Str("daemon", to.address).Dur("silent", silent).Msg("lane-silent")
		l.Dialer.Reset(to.address)
		l.drop(to)
		return
	}
	if frame, err := frameOf(kindPing, &Cancel{}); err != nil || silent >= pingEvery && !to.box.send(frame) {
		l.drop(to)
		return
	}
	time.AfterFunc(pingEvery, func() { l.check(to) })
}

// read hands out replies until the stream ends.
func (t *lane) read(l *PeerStreams, reader *bufio.Reader) error {
	for {
		frame, err := wire.ReadFrame(reader, maxLaneFrame)
		if err != nil {
			return err
		}
		t.mu.Lock()
		t.heard = l.Clock.Now()
		t.mu.Unlock()
		if err := t.receive(frame); err != nil {
			return err
		}
	}
}

func (t *lane) receive(frame wire.Frame) error {
	switch frame.Kind {
	case kindReply:
		reply, err := wire.Decode[Reply](frame.Body)
		if err != nil {
			return err
		}
		t.replied(reply)
	case kindPart:
		part, err := wire.Decode[Part](frame.Body)
		if err != nil {
			return err
		}
		t.continued(part)
	case kindTold:
		told, err := wire.Decode[Told](frame.Body)
		if err != nil {
			return err
		}
		t.deliver(told.Number, laneReply{told: told})
	case kindPong:
	default:
		return fmt.Errorf("%w: frame kind %d on a lane", wire.ErrDecode, frame.Kind)
	}
	return nil
}

func (t *lane) replied(reply *Reply) {
	if !reply.More {
		t.deliver(reply.Number, laneReply{reply: reply})
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if pending := t.pending[reply.Number]; pending != nil {
		pending.reply = reply
	}
}

func (t *lane) continued(part *Part) {
	t.mu.Lock()
	pending := t.pending[part.Number]
	if pending == nil || pending.reply == nil {
		t.mu.Unlock()
		return
	}
	whole := pending.reply
	whole.Body = append(whole.Body, part.Body...)
	t.mu.Unlock()
	if !part.More {
		t.deliver(part.Number, laneReply{reply: whole})
	}
}

func (t *lane) deliver(number uint64, got laneReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if pending := t.pending[number]; pending != nil {
		delete(t.pending, number)
		pending.done <- got
	}
}

func (t *lane) register(now time.Time) (uint64, *pendingSend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) == 0 {
		t.heard = now // silence counts from the first request
	}
	t.next++
	pending := &pendingSend{done: make(chan laneReply, 1)}
	t.pending[t.next] = pending
	return t.next, pending
}

func (t *lane) forget(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, number)
}

func (t *lane) failAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for number, pending := range t.pending {
		delete(t.pending, number)
		pending.done <- laneReply{}
	}
}

// shut ends a lane when the daemon stops.
func (t *lane) shut() {
	select {
	case <-t.ready:
		if t.box != nil {
			t.box.close()
		}
	default:
	}
}

// lost returns the outcome of a request whose lane failed.
func lost(sent bool) outcome {
	if !sent {
		return turned{failure: retry.Unreached{}}
	}
	return unknown{failure: retry.BackendLost{}}
}
