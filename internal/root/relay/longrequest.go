package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
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

// askForBody tells a caller that waits for it to send the body, once the responses to earlier requests are written. It does
// nothing if the body has begun to arrive.
func (c *callerConn) askForBody() error {
	for c.reader.Buffered() == 0 {
		freed, err := c.tryAskForBody()
		if freed == nil {
			return err
		}
		select {
		case <-freed:
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
	}
	return nil
}

// tryAskForBody returns a channel that is closed when a response has been written if the caller cannot be asked yet.
func (c *callerConn) tryAskForBody() (chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.broken:
		return nil, net.ErrClosed
	case c.isIdle():
		return nil, c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.slotFreed = make(chan struct{})
	return c.slotFreed, nil
}

// bodyRead records that the rest of a long body has been read.
func (c *callerConn) bodyRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frontend.idle.requestRead(c)
	if c.isIdle() && !c.broken {
		c.frontend.idle.add(c, time.Now())
	}
}

// startLongRequest serves a request whose body is not held whole, and passes the rest of it on.
func (c *callerConn) startLongRequest(in *incoming, body *bodyBuffer, limit int64) error {
	if !body.reserve(streamReserve) {
		body.release()
		c.frontend.Forwarder.Meter.BudgetRefused("bodies")
		return c.refuse(in, retry.Overload{})
	}
	reader, writer := io.Pipe()
	passed := int64(len(body.data))
	rest := &bodyStream{ReadCloser: reader, length: in.parsed.ContentLength}
	stopped := (*readStopped)(nil)
	if err := c.startRequest(in, body, rest); err != nil && !errors.As(err, &stopped) {
		return err
	}
	c.frontend.idle.requestArrives(c) // also once the response is written
	if err := c.passBody(in.parsed.Body, writer, limit-passed); err != nil {
		return err
	}
	c.bodyRead()
	if stopped != nil {
		return stopped
	}
	return nil
}

// passBody passes on what is left of a body as fast as the server reads it. Once the request has ended, it is discarded,
// so that the caller reads the response and can send the next request.
func (c *callerConn) passBody(body io.Reader, rest *io.PipeWriter, left int64) error {
	buf := make([]byte, streamPart)
	for {
		c.mu.Lock()
		stall := c.frontend.BodyStall
		if c.broken { // the last response is written
			stall = lingerTime
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(stall))
		c.mu.Unlock()
		n, err := body.Read(buf)
		if left -= int64(n); left < 0 {
			_ = rest.CloseWithError(errBodySize)
			return &readStopped{"the body exceeds the size limit"}
		}
		_, _ = rest.Write(buf[:n]) // fails once the request has ended
		if errors.Is(err, io.EOF) {
			c.setReadDeadline(time.Time{})
			return rest.Close()
		}
		if err != nil {
			_ = rest.CloseWithError(errBodyBroken)
			return c.endAfterBody(err)
		}
	}
}
