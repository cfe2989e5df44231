package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/accept"
	"github.com/buckthornpitch/buckthornpitch/internal/logs"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

type (
	// Handler serves one accepted stream and closes it.
	Handler func(ctx context.Context, stream *Stream)

	// Server accepts connections of other daemons and passes each stream to the handler of its type.
	Server struct {
		Listener net.Listener
		Name     string // of the local daemon
		Zone     string // availability zone of the local daemon
		Secret   []byte // shared by all daemons
		Log      zerolog.Logger
		// Handlers must not change after the call of Run.
		Handlers map[StreamType]Handler
		// MaxConnections bounds the open accepted connections, including those not authenticated yet.
		MaxConnections int
		// Handshakes bounds the connections that are not authenticated yet.
		Handshakes *accept.Guard

		sessions atomic.Int64
		refused  logs.Repeat // lines about peers that are not authenticated
		failed   logs.Repeat // lines about failures to accept
	}
)

// Sessions returns the number of accepted and authenticated connections that are open.
func (s *Server) Sessions() int { return int(s.sessions.Load()) }

// Run accepts connections until ctx ends. It returns when all streams have ended and their connections are
// closed.
func (s *Server) Run(ctx context.Context) error {
	var conns sync.WaitGroup
	defer conns.Wait()
	stop := context.AfterFunc(ctx, func() { _ = s.Listener.Close() })
	defer stop()
	slots := make(chan struct{}, s.MaxConnections)
	for {
		conn, err := accept.Next(ctx, s.Listener, s.reportAccept)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept peer connection: %w", err)
		}
		select {
		case slots <- struct{}{}:
		default:
			s.Log.Warn().Str("remote", conn.RemoteAddr().String()).Msg("peer-connection-limit")
			_ = conn.Close()
			continue
		}
		handshake := s.Handshakes.Add("peer", conn) // here, so that no more are open than the guard allows
		conns.Go(func() {
			defer func() { <-slots }()
			s.serveConn(ctx, conn, handshake)
		})
	}
}

// reportAccept logs that a connection could not be accepted.
func (s *Server) reportAccept(err error) {
	if others, ok := s.failed.Allow(time.Now()); ok {
		s.Log.Warn().Err(err).Int("others", others).Msg("peer-not-accepted")
	}
}

// serveConn authenticates the peer and serves the streams of its session. When ctx ends it accepts no more
// streams and waits for the running ones.
func (s *Server) serveConn(ctx context.Context, conn net.Conn, handshake *accept.Slot) {
	defer func() { _ = conn.Close() }()
	hello, err := authenticate(conn, s.Secret, s.Name, s.Zone, false)
	handshake.Remove()
	if err != nil {
		if others, ok := s.refused.Allow(time.Now()); ok {
			s.Log.Warn().Str("remote", conn.RemoteAddr().String()).Err(err).Int("others", others).Msg("peer-refused")
		}
		return
	}
	peer := hello.Name
	s.sessions.Add(1)
	defer s.sessions.Add(-1)
	session, err := yamux.Server(coalesce(conn, nil), sessionConfig(0))
	if err != nil {
		s.Log.Error().Str("peer", peer).Err(err).Msg("peer-session-failed")
		return
	}
	var streams sync.WaitGroup
	for {
		yamuxStream, err := session.AcceptStreamWithContext(ctx)
		if err != nil {
			if ctx.Err() != nil {
				_ = session.GoAway()
				streams.Wait()
			}
			_ = session.Close()
			if !errors.Is(err, yamux.ErrSessionShutdown) && ctx.Err() == nil {
				s.Log.Debug().Str("peer", peer).Err(err).Msg("peer-session-ended")
			}
			streams.Wait()
			return
		}
		streams.Go(func() { s.serveStream(ctx, &Stream{Conn: yamuxStream, Peer: peer}) })
	}
}

// serveStream reads the Open message of a stream and calls the handler of its type.
func (s *Server) serveStream(ctx context.Context, stream *Stream) {
	frame, err := wire.ReadFrame(stream, maxOpenSize)
	if err == nil && frame.Kind != kindOpen {
		err = fmt.Errorf("%w: first frame has kind %d", wire.ErrDecode, frame.Kind)
	}
	var open *Open
	if err == nil {
		open, err = wire.Decode[Open](frame.Body)
	}
	if err != nil {
		s.Log.Warn().Str("peer", stream.Peer).Err(err).Msg("peer-stream-refused")
		_ = stream.Close()
		return
	}
	handler, ok := s.Handlers[open.Type]
	if !ok {
		s.Log.Warn().Str("peer", stream.Peer).Uint32("type", uint32(open.Type)).Msg("peer-stream-not-served")
		_ = stream.Close()
		return
	}
	handler(ctx, stream)
}
