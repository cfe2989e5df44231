package ctrl

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	backoffMin = 20 * time.Millisecond
	backoffMax = 500 * time.Millisecond
)

// pastDeadline is a deadline that unblocks pending reads at once.
var pastDeadline = time.Unix(1, 0)

var (
	errRedirected = errors.New("redirected to another control instance")
	errSilent     = errors.New("control instance is silent")
)

// runUplink keeps one control stream to the leader: it tries the addresses of control instances in turn and
// follows redirects.
func (l *Loop) runUplink(ctx context.Context) error {
	random := rand.New(rand.NewPCG(l.boot, l.boot))
	choice := controlChoice{next: random.IntN(len(*l.controlAddresses.Load()))}
	backoff := backoffMin
	for ctx.Err() == nil {
		address := choice.choose(l.clock.Now(), *l.controlAddresses.Load())
		leaderHint := ""
		gotReply, err := l.serveUplink(ctx, address, &leaderHint)
		if ctx.Err() != nil {
			return nil
		}
		l.log.Debug().Str("address", address).Err(err).Msg("control-stream-ended")
		if gotReply {
			backoff = backoffMin
		}
		switch now := l.clock.Now(); {
		case wasSilent(err):
			choice.failed(now, address)
		case choice.redirected(now, address, leaderHint):
			continue
		}
		pause := backoff/2 + time.Duration(random.Int64N(int64(backoff)))
		backoff = min(2*backoff, backoffMax)
		l.sleep(ctx, pause)
	}
	return nil
}

// serveUplink serves one control stream; gotReply reports whether the leader sent a message on it.
func (l *Loop) serveUplink(ctx context.Context, address string, leaderHint *string) (gotReply bool, err error) {
	stream, err := l.dialer.Open(ctx, address, link.StreamControl)
	if err != nil {
		return false, err
	}
	stream.Cause = cross.Control
	s := newSession(stream, address)
	if !l.post(ctx, uplinkOpened{session: s}) {
		s.close()
		return false, ctx.Err()
	}
	err = s.serve(ctx, func(received wire.Frame) error {
		message, err := decodeReceived(received)
		if err != nil {
			l.ignoreMessage(address, err)
			return nil
		}
		if redirect, ok := message.(*Redirect); ok {
			*leaderHint = redirect.Leader
			return errRedirected
		}
		gotReply = true
		l.bytesReceived.Add(uint64(len(received.Body) + wire.HeaderSize))
		l.notify(leaderMessageReceived{session: s, message: message})
		return nil
	})
	l.notify(uplinkClosed{session: s})
	if s.silent.Load() {
		err = errSilent
	}
	return gotReply, err
}

// ServeControl serves the control stream of a daemon on a control instance.
func (l *Loop) ServeControl(ctx context.Context, stream *link.Stream) {
	s := newSession(stream, "")
	if !l.post(ctx, daemonConnected{session: s}) {
		s.close()
		return
	}
	err := s.serve(ctx, func(frame wire.Frame) error {
		message, err := decodeDaemonMessage(frame)
		if err != nil && frame.Kind == kindJoin {
			return err // the leader cannot use the stream without it
		}
		if err != nil {
			l.ignoreMessage(stream.Peer, err)
			s.refuseInvalid(frame)
			return nil
		}
		l.notify(daemonMessageReceived{session: s, message: message})
		return nil
	})
	l.log.Debug().Str("peer", stream.Peer).Err(err).Msg("daemon-stream-ended")
	l.notify(daemonDisconnected{session: s})
}

func (l *Loop) sleep(ctx context.Context, d time.Duration) {
	timer := l.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}
