package ctrl

import (
	"bufio"
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft/codec"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	raftQueueSize    = 256 // messages; more are dropped, which consensus tolerates
	raftRedialDelay  = 50 * time.Millisecond
	raftWriteTimeout = 2 * time.Second // a slower write ends the stream

	// minCompressed is the size in bytes from which a consensus message is compressed: entries and snapshots that hold
	// configurations shrink to a tenth, and go to other availability zones. The many short messages are not worth
	// the processor time.
	minCompressed = 4 << 10

	// kindRaftPeer is the kind of the only frame that the receiver of a consensus stream sends.
	kindRaftPeer wire.Kind = 254
)

// raftPeer tells the sender of a consensus stream about its receiver. A receiver of an earlier version sends none.
type raftPeer struct {
	Decompresses bool `protobuf:"varint,1,opt,name=decompresses"`
}

// Check accepts every value.
func (*raftPeer) Check() error { return nil }

// raftLink sends consensus messages to one peer.
type raftLink struct {
	name    string
	address string
	loop    *Loop
	queue   chan raft.Message
}

func newRaftLink(name, address string, loop *Loop) *raftLink {
	return &raftLink{name: name, address: address, loop: loop, queue: make(chan raft.Message, raftQueueSize)}
}

// send queues a message, and drops it when the queue is full.
func (r *raftLink) send(message raft.Message) {
	select {
	case r.queue <- message:
	default:
	}
}

// run keeps a stream to the peer open until ctx ends. Of the attempts that fail in a row, it logs the first.
func (r *raftLink) run(ctx context.Context) error {
	lost := false
	for ctx.Err() == nil {
		opened, err := r.serveStream(ctx)
		if err != nil && ctx.Err() == nil {
			if opened || !lost {
				r.loop.log.Info().Str("peer", r.name).Err(err).Msg("raft-stream-ended")
			}
			lost = true
			r.loop.dialer.Reset(r.address)
			r.loop.sleep(ctx, raftRedialDelay)
		}
	}
	return nil
}

// serveStream sends messages on one stream until it ends, and reports whether it was opened.
func (r *raftLink) serveStream(ctx context.Context) (opened bool, err error) {
	stream, err := r.loop.dialer.Open(ctx, r.address, link.StreamRaft)
	if err != nil {
		return false, fmt.Errorf("open consensus stream: %w", err)
	}
	stream.Cause = cross.Control
	defer func() { _ = stream.Close() }()
	var decompresses atomic.Bool
	go readRaftPeer(stream, &decompresses) // ends with the stream
	writer := bufio.NewWriterSize(stream, 64<<10)
	for {
		select {
		case <-ctx.Done():
			return true, nil
		case message := <-r.queue:
			// The deadline bounds real I/O, so it uses the system clock instead of the clock of the loop.
			_ = stream.SetWriteDeadline(time.Now().Add(raftWriteTimeout))
			frame, err := encodeRaft(message, decompresses.Load())
			if err == nil {
				err = wire.WriteFrame(writer, frame.Kind, frame.Body)
			} else { // consensus tolerates the loss of a message
				r.loop.log.Error().Str("peer", r.name).Err(err).Msg("raft-message-not-sent")
				err = nil
			}
			if err == nil && len(r.queue) == 0 {
				err = writer.Flush()
			}
			if err != nil {
				return true, fmt.Errorf("send consensus message: %w", err)
			}
		}
	}
}

// encodeRaft returns the frame of a consensus message, compressed if it is long and the receiver decompresses.
func encodeRaft(message raft.Message, decompresses bool) (wire.Frame, error) {
	frame, err := codec.Encode(message)
	if err == nil && decompresses && len(frame.Body) >= minCompressed {
		frame = wire.Compress(frame)
	}
	return frame, err
}

// readRaftPeer sets decompresses once the receiver of a stream has said that it decompresses frames.
func readRaftPeer(stream *link.Stream, decompresses *atomic.Bool) {
	frame, err := wire.ReadFrame(stream, maxControlFrame)
	if err != nil || frame.Kind != kindRaftPeer {
		return
	}
	peer, err := wire.Decode[raftPeer](frame.Body)
	if err == nil {
		decompresses.Store(peer.Decompresses)
	}
}

// writeRaftPeer tells the sender of a stream what this instance accepts.
func writeRaftPeer(stream *link.Stream) error {
	frame, err := frameOf(kindRaftPeer, &raftPeer{Decompresses: true})
	if err != nil {
		return err
	}
	_ = stream.SetWriteDeadline(time.Now().Add(raftWriteTimeout))
	return wire.WriteFrame(stream, frame.Kind, frame.Body)
}

// ServeRaft receives the consensus messages of a peer until the stream or ctx ends.
func (l *Loop) ServeRaft(ctx context.Context, stream *link.Stream) {
	stop := context.AfterFunc(ctx, func() { _ = stream.SetReadDeadline(pastDeadline) })
	defer stop()
	defer func() { _ = stream.Close() }()
	if err := writeRaftPeer(stream); err != nil {
		return
	}
	reader := bufio.NewReaderSize(stream, 64<<10)
	for {
		received, err := wire.ReadFrame(reader, wire.MaxFrame)
		if err != nil {
			return
		}
		frame, err := wire.Decompress(received, wire.MaxFrame)
		message := raft.Message(nil)
		if err == nil {
			message, err = codec.Decode(frame)
		}
		if err != nil { // consensus tolerates the loss of a message
			l.ignoreMessage(stream.Peer, err)
			continue
		}
		if !l.post(ctx, raftEvent{input: raft.MessageReceived{Message: message}}) {
			return
		}
	}
}
