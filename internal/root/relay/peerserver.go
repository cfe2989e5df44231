package relay

import (
	"bufio"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// noticeTimeout bounds the time in which a notice of a backend server is taken.
	noticeTimeout = 900 * time.Millisecond
)

type (
	// Server serves the lanes of other daemons.
	Server struct {
		Clock        clock.Clock
		LocalBackend *LocalBackend
		Log          zerolog.Logger
		// MaxBody bounds the body of a request in bytes.
		MaxBody int64
	}

	// laneServer is the far end of one lane.
	laneServer struct {
		server *Server
		box    *outbox
		calls  sync.WaitGroup

		mu      sync.Mutex
		cancels map[uint64]context.CancelFunc
		partial map[uint64]*Send // requests whose bodies are not complete; only the reader touches it
	}
)

// ServeStream serves one lane until it ends.
func (s *Server) ServeStream(ctx context.Context, stream *link.Stream) {
	l := &laneServer{
		server: s, box: newOutbox(stream),
		cancels: map[uint64]context.CancelFunc{}, partial: map[uint64]*Send{},
	}
	go l.box.run()
	stop := context.AfterFunc(ctx, l.box.close) // the daemon has drained and ends
	defer stop()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	err := l.read(ctx, bufio.NewReaderSize(stream, laneBuffer))
	s.Log.Debug().Str("peer", stream.Peer).Err(err).Msg("lane-ended")
	cancel() // nobody waits for the answers any more
	l.box.close()
	l.calls.Wait()
}

func (l *laneServer) read(ctx context.Context, reader *bufio.Reader) error {
	for {
		frame, err := wire.ReadFrame(reader, maxLaneFrame)
		if err != nil {
			return err
		}
		if err := l.receive(ctx, frame); err != nil {
			return err
		}
	}
}

func (l *laneServer) receive(ctx context.Context, frame wire.Frame) error {
	switch frame.Kind {
	case kindSend:
		send, err := wire.Decode[Send](frame.Body)
		if err != nil {
			return err
		}
		if send.More {
			l.partial[send.Number] = send
			return nil
		}
		l.begin(ctx, send)
	case kindPart:
		part, err := wire.Decode[Part](frame.Body)
		if err != nil {
			return err
		}
		return l.part(ctx, part)
	case kindCancel:
		cancel, err := wire.Decode[Cancel](frame.Body)
		if err != nil {
			return err
		}
		l.cancel(cancel.Number)
	case kindPing:
		l.write(kindPong)
	case kindTell:
		tell, err := wire.Decode[Tell](frame.Body)
		if err != nil {
			return err
		}
		l.calls.Go(func() { l.tell(ctx, tell) })
	default:
		return fmt.Errorf("%w: frame kind %d on a lane", wire.ErrDecode, frame.Kind)
	}
	return nil
}

func (l *laneServer) part(ctx context.Context, part *Part) error {
	send := l.partial[part.Number]
	if send == nil {
		return nil // cancelled
	}
	if int64(len(send.Body)+len(part.Body)) > l.server.MaxBody {
		return fmt.Errorf("request body exceeds %d bytes", l.server.MaxBody)
	}
	send.Body = append(send.Body, part.Body...)
	if !part.More {
		delete(l.partial, part.Number)
		l.begin(ctx, send)
	}
	return nil
}

// begin serves a whole request in a goroutine of its own.
func (l *laneServer) begin(ctx context.Context, send *Send) {
	ctx, cancel := context.WithCancel(ctx)
	l.mu.Lock()
	l.cancels[send.Number] = cancel
	l.mu.Unlock()
	l.calls.Go(func() {
		defer cancel()
		ended, report := l.server.LocalBackend.serve(ctx, jobOf(l.server.Clock.Now(), send))
		l.mu.Lock()
		delete(l.cancels, send.Number)
		l.mu.Unlock()
		l.reply(send.Number, ended, report)
	})
}

func (l *laneServer) cancel(number uint64) {
	delete(l.partial, number)
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel := l.cancels[number]; cancel != nil {
		cancel()
	}
}

func (l *laneServer) reply(number uint64, ended outcome, report Report) {
	message := reply(number, ended, report)
	first, rest := cut(message.Body)
	message.Body, message.More = first, len(rest) > 0
	frames, err := framesOf(kindReply, message, number, rest)
	if err != nil {
		l.server.Log.Error().Err(err).Msg("reply-not-encoded")
		l.box.close()
		return
	}
	l.box.send(frames...)
}

func (l *laneServer) tell(ctx context.Context, tell *Tell) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	told := &Told{Number: tell.Number}
	if err := l.server.LocalBackend.Notice(ctx, tell.notice()); err != nil {
		told.Problem = err.Error()
	}
	if frame, err := frameOf(kindTold, told); err == nil {
		l.box.send(frame)
	}
}

func (l *laneServer) write(kind wire.Kind) { l.box.send(wire.Frame{Kind: kind}) }

// jobOf decodes a request that has arrived at now.
func jobOf(now time.Time, send *Send) *job {
	arrived := now.Add(-send.Age)
	j := &job{
		service: send.Service, route: send.Route, caller: send.Caller, account: send.Account,
		fingerprint: send.Fingerprint, nested: send.Nested, rank: int(send.Rank),
		arrived: arrived, deadline: now.Add(send.Left),
		request: &Request{
			ID: send.ID, Method: send.Method, Target: send.Target, Host: send.Host,
			Header: headerOf(send.Header), Body: send.Body,
		},
	}
	if send.Objective > 0 {
		j.objective = arrived.Add(send.Objective)
	}
	return j
}
