package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
)

// awaitLongBodies returns an error unless the peer understands requests with long bodies. It asks once for each stream.
func (p *PeerStreams) awaitLongBodies(ctx context.Context, stream *peerStream) error {
	select {
	case <-stream.pongReceived:
	default:
		frame, err := encodeFrame(kindPing, &Cancel{})
		if err != nil {
			return err
		}
		if !stream.writer.enqueue(cross.KeepAlive, frame) {
			p.remove(stream)
			return fmt.Errorf("%w: %s", errPeerStreamClosed, stream.address)
		}
		p.startChecks(stream)
		select {
		case <-stream.pongReceived:
		case <-stream.writer.closed:
			return fmt.Errorf("%w: %s", errPeerStreamClosed, stream.address)
		case <-stream.detached:
			return fmt.Errorf("ask %s: %w", stream.address, errPeerSilent)
		case <-ctx.Done():
			return fmt.Errorf("ask %s: %w", stream.address, ctx.Err())
		}
	}
	if !stream.longBodies.Load() {
		return fmt.Errorf("%w: %s", errNoLongBodies, stream.address)
	}
	return nil
}

// expectCredit prepares for the credits of a long request body.
func (s *peerStream) expectCredit(pending *pendingReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending.credit, pending.credited, pending.mayCredit = newCreditCounter(), make(chan struct{}), true
}

// sendBody sends a long request body until the exchange ends.
func (s *peerStream) sendBody(number uint64, credit *creditCounter, request *Request) {
	_ = sendParts(s.writer, number, credit, io.MultiReader(bytes.NewReader(request.Body), request.Rest))
}
