package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/head"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
)

const (
	// responseStall is how long a server may pause within a long response after the deadline of its request. The caller
	// decides how long it reads.
	responseStall = 10 * time.Second

	// heldResponseSpare divides the budget for bodies; the quotient is left free by responses that are held. One that
	// finds no more room passes through from there on.
	heldResponseSpare = 4
)

// errNotTaken reports that the receiver of a long response has not taken all of it.
var errNotTaken = errors.New("the receiver of the response has not taken all of it")

// longResponse reads the body of a long response from the connection to the server. It ends only if the body is whole.
type longResponse struct {
	conn  *backendConn
	ex    *exchange
	head  *head.Response
	held  *bodyBuffer // its beginning
	read  int         // bytes of held that have been read
	ended error
}

// passLong passes on a response that is too long to be held.
func (p *pool) passLong(conn *backendConn, ex *exchange, first *head.Response, got *received, held *bodyBuffer) error {
	if got.metadata.ID != ex.requestMeta.ID || got.metadata.NotRun {
		return errInvalidResponse
	}
	if !ex.outlast() {
		return errRequestEnded
	}
	overdue := make(chan struct{})
	timer := time.AfterFunc(time.Until(ex.deadline), func() {
		defer close(overdue)
		ex.overdue()
	})
	defer func() {
		if !timer.Stop() {
			<-overdue
		}
	}()
	ex.responding()
	got.response.Body, got.response.Passed = nil, true
	body := &longResponse{conn: conn, ex: ex, head: first, held: held}
	err := ex.request.pass(got.response, first.Length, body)
	switch {
	case err != nil && ex.request.gone.Err() != nil: // the end of the receiver also ends a read in progress
		return fmt.Errorf("%w: %w", errNotTaken, ex.request.gone.Err())
	case body.ended != nil && !errors.Is(body.ended, io.EOF):
		return fmt.Errorf("read response: %w", body.ended)
	case err != nil:
		return fmt.Errorf("%w: %w", errNotTaken, err)
	}
	return nil
}

// Read implements io.Reader.
func (r *longResponse) Read(p []byte) (int, error) {
	if r.ended != nil {
		return 0, r.ended
	}
	if n := copy(p, r.held.data[r.read:]); n > 0 {
		if r.read += n; r.read == len(r.held.data) {
			r.held.release()
			r.held.data, r.read = nil, 0
		}
		return n, nil
	}
	// The deadline is set before gone is checked: the end of gone sets a deadline in the past, which must not be replaced.
	now := time.Now()
	_ = r.conn.SetReadDeadline(now.Add(max(r.ex.deadline.Sub(now), responseStall)))
	if r.ended = r.ex.request.gone.Err(); r.ended != nil {
		return 0, r.ended
	}
	n, err := r.head.Body.Read(p)
	if errors.Is(err, io.EOF) && r.head.Unframed && !r.ex.sent.completes(uploadGrace) {
		err = errUploadBroken
	}
	r.ended = err
	return n, err
}

// passResponse returns the function that writes a long response in its turn.
func (c *callerConn) passResponse(slot *responseSlot, request *Request, last bool) passFunc {
	return func(response Response, length int64, body io.Reader) error {
		request.passing = true
		claim := c.claim(request)
		if !c.frontend.Bodies.Take(claim, streamReserve) {
			return errBodyBudget
		}
		defer c.frontend.Bodies.Release(claim, streamReserve)
		if err := c.awaitTurn(slot); err != nil {
			return err
		}
		slot.started, slot.close = true, last
		if err := c.writeLongResponse(response, length, body, last); err != nil {
			return err
		}
		slot.passed = true
		return nil
	}
}

// awaitTurn waits until the responses before the slot are written. Only this slot writes to the connection then.
func (c *callerConn) awaitTurn(slot *responseSlot) error {
	c.mu.Lock()
	turn := make(chan struct{})
	if c.writing == nil && len(c.pipeline) > 0 && c.pipeline[0] == slot {
		close(turn)
	} else {
		slot.turn = turn
	}
	c.mu.Unlock()
	select {
	case <-turn:
		return c.ctx.Err()
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// writeLongResponse writes a long response. Without a length it is written in chunks, whose end says that it is whole.
func (c *callerConn) writeLongResponse(response Response, length int64, body io.Reader, last bool) error {
	const chunkMargin = 16 // for the size of a chunk and its line ends
	if err := c.writeOrCancel(encodeHead(response, length, last)); err != nil {
		return err
	}
	buf := make([]byte, streamPart)
	var chunk bytes.Buffer
	chunk.Grow(streamPart + chunkMargin)
	for written := int64(0); ; {
		n, err := body.Read(buf)
		ended := errors.Is(err, io.EOF)
		written += int64(n)
		if err := checkLength(written, length, ended); err != nil {
			return err
		}
		if err != nil && !ended {
			return err
		}
		text := buf[:n]
		if length < 0 {
			chunk.Reset()
			if n > 0 {
				fmt.Fprintf(&chunk, "%x\r\n%s\r\n", n, text)
			}
			if ended {
				chunk.WriteString("0\r\n\r\n")
			}
			text = chunk.Bytes()
		}
		if err := c.writeOrCancel(text); err != nil || ended {
			return err
		}
	}
}

// writeOrCancel writes to the caller, and ends the connection's requests if the caller does not take the bytes.
func (c *callerConn) writeOrCancel(text []byte) error {
	err := c.write(text)
	if err != nil {
		c.cancel()
	}
	return err
}

// encodeHead encodes the head of a long response.
func encodeHead(r Response, length int64, last bool) []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "HTTP/1.1 %d %s\r\n", r.Status, statusText(r.Status))
	writeHeader(&buf, r.Header)
	if length < 0 {
		buf.WriteString("Transfer-Encoding: chunked\r\n")
	} else {
		buf.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	}
	if last {
		buf.WriteString("Connection: close\r\n")
	}
	buf.WriteString("\r\n")
	return buf.Bytes()
}

// takesLong reports whether the caller can be told that a response in parts is not whole.
func takesLong(r *http.Request) bool { return r.ProtoAtLeast(1, 1) }

// passResponse returns the function that sends a long response to the daemon of the caller.
func (p *peerStreamServer) passResponse(ctx context.Context, number uint64, claim budget.Claim, credit *creditCounter) passFunc {
	return func(response Response, length int64, body io.Reader) error {
		bodies := p.server.LocalBackend.Bodies
		if !bodies.Take(claim, streamReserve) {
			return errBodyBudget
		}
		defer bodies.Release(claim, streamReserve)
		stop := context.AfterFunc(ctx, credit.end)
		defer stop()
		message := encodeReply(number, completed{response: response}, Report{})
		message.Streamed, message.Length, message.Passed = true, length, false
		if err := writeMessage(p, kindReply, message); err != nil {
			return err
		}
		return sendParts(p.writer, number, credit, body)
	}
}

// passResponse passes on a long response that arrives from another daemon.
func (s *peerStream) passResponse(reply *Reply, body *partQueue, request *Request) error {
	decoded, ok := reply.decodeResponse().(completed)
	if !ok || request.pass == nil { // the peer was not asked for a response in parts
		return head.ErrMalformed
	}
	stop := context.AfterFunc(request.gone, func() { body.fail(errNotTaken) })
	defer stop()
	defer func() { _ = body.Close() }()
	return request.pass(decoded.response, reply.Length, body)
}
