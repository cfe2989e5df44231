package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
)

const (
	// keptBodyDivisor divides the memory limit; the quotient is the size up to which a request body is held whole.
	keptBodyDivisor = 32

	// minPassedBody is the least size in bytes of a body that is not held: the kept size at the least memory limit.
	minPassedBody = 1 << 20

	// streamPart bounds the bytes of a long body that are passed on at once.
	streamPart = 32 << 10

	// streamWindow bounds the bytes of a long body that the receiver has granted and its consumer has not read yet.
	streamWindow = 128 << 10

	// streamReserve is what a long body counts in the budget: its window, its buffers and its queued frames.
	streamReserve = 2*streamWindow + 4*streamPart
)

var (
	errBodyBroken     = errors.New("the body ended before it was whole")
	errNoLongBodies   = errors.New("the daemon is of a version without long bodies")
	errCreditExceeded = errors.New("the peer has sent more of a body than was granted")
)

type (
	// bodyStream is the part of a long request body that is not held. It is passed on once, so that the request cannot
	// be sent again after that.
	bodyStream struct {
		io.ReadCloser
		length int64 // of the whole body in bytes, -1 if it is not known
		// taken is set before the first byte is read. A request may be offered to another server only before that.
		taken atomic.Bool
		// tooLong is set once the body has exceeded the size limit.
		tooLong atomic.Bool
	}

	// partQueue holds the parts of a long body that have arrived from another daemon. The sender sends no more than the
	// queue has granted.
	partQueue struct {
		grant func(bytes int) // tells the sender that it may send more
		stall time.Duration   // how long the sender may pause, zero for no limit

		mu      sync.Mutex
		arrived sync.Cond
		data    bytes.Buffer // one buffer, because a body may arrive in very many small parts
		granted int          // bytes that the sender may still send
		err     error
	}

	// creditCounter holds the bytes that the receiver of a long body has granted and that are not sent yet.
	creditCounter struct {
		mu     sync.Mutex
		bytes  int
		ended  bool
		change sync.Cond
	}
)

// Read implements io.Reader.
func (b *bodyStream) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, errBodySize) {
		b.tooLong.Store(true)
	}
	return n, err
}

// size returns the size of the request's body in bytes, -1 if it is not known.
func (r *Request) size() int64 {
	if r.Rest != nil {
		return r.Rest.length
	}
	return int64(len(r.Body))
}

func newPartQueue(grant func(bytes int)) *partQueue {
	q := &partQueue{grant: grant}
	q.arrived.L = &q.mu
	return q
}

// push adds a part; more reports whether others follow. The error reports a sender that ignores the window.
func (q *partQueue) push(part *BodyPart) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil {
		return nil // nobody reads the body any more
	}
	if len(part.Body) > q.granted {
		return errCreditExceeded
	}
	q.granted -= len(part.Body)
	_, _ = q.data.Write(part.Body)
	switch {
	case part.Broken:
		q.err = errBodyBroken
	case !part.More:
		q.err = io.EOF
	}
	q.arrived.Broadcast()
	return nil
}

// fail ends the body with an error. What has arrived is dropped.
func (q *partQueue) fail(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err == nil || q.data.Len() > 0 {
		q.err = err
	}
	q.data = bytes.Buffer{}
	q.arrived.Broadcast()
}

// Close implements io.Closer.
func (q *partQueue) Close() error {
	q.fail(errBodyBroken)
	return nil
}

// Read implements io.Reader. It grants the sender what there is room for.
func (q *partQueue) Read(p []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if room := streamWindow - q.granted - q.data.Len(); q.err == nil && room >= streamWindow/2 {
		q.granted += room
		q.mu.Unlock()
		q.grant(room)
		q.mu.Lock()
	}
	if q.stall > 0 && q.data.Len() == 0 && q.err == nil {
		defer time.AfterFunc(q.stall, q.expire).Stop()
	}
	for q.data.Len() == 0 && q.err == nil {
		q.arrived.Wait()
	}
	if q.data.Len() == 0 {
		return 0, q.err
	}
	return q.data.Read(p)
}

// expire ends a body whose sender has paused for too long.
func (q *partQueue) expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.data.Len() == 0 && q.err == nil {
		q.err = errPeerSilent
		q.arrived.Broadcast()
	}
}

func newCreditCounter() *creditCounter {
	c := &creditCounter{}
	c.change.L = &c.mu
	return c
}

// add adds granted bytes.
func (c *creditCounter) add(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes = min(c.bytes+bytes, streamWindow)
	c.change.Broadcast()
}

// end makes take return zero.
func (c *creditCounter) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.change.Broadcast()
}

// take waits for granted bytes and takes up to limit of them. It returns zero once the exchange has ended.
func (c *creditCounter) take(limit int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.bytes == 0 && !c.ended {
		c.change.Wait()
	}
	if c.ended {
		return 0
	}
	n := min(c.bytes, limit)
	c.bytes -= n
	return n
}

// sendParts sends a long body in parts as far as the receiver grants. The error reports that it was not sent whole.
func sendParts(writer *frameWriter, number uint64, credit *creditCounter, body io.Reader) error {
	buf := make([]byte, streamPart)
	for {
		room := credit.take(len(buf))
		if room == 0 {
			return errBodyBroken
		}
		n, err := body.Read(buf[:room]) // what has arrived goes on at once, however slowly it arrives
		credit.add(room - n)
		if n == 0 && err == nil {
			continue
		}
		part := &BodyPart{Number: number, Body: buf[:n], More: err == nil, Broken: err != nil && !errors.Is(err, io.EOF)}
		frame, encodeErr := encodeFrame(kindPart, part)
		if encodeErr != nil {
			return encodeErr
		}
		if !writer.enqueue(cross.CauseOf(number), frame) {
			return errPeerStreamClosed
		}
		switch {
		case part.Broken:
			return err
		case err != nil:
			return nil
		}
	}
}

// checkLength returns an error if a body is longer than its length or has ended before it; a length of -1 is not known.
func checkLength(written, length int64, ended bool) error {
	if length >= 0 && (written > length || ended && written < length) {
		return fmt.Errorf("%w: %d of %d bytes", errBodyBroken, written, length)
	}
	return nil
}

// writeLongRequest writes the head of a request and a body that is not held whole. The error wraps errBodyBroken if the body
// could not be read to its end.
func writeLongRequest(conn io.Writer, head []byte, request *Request) error {
	if _, err := conn.Write(head); err != nil {
		return err
	}
	length, to := request.Rest.length, conn
	var chunks io.WriteCloser
	if length < 0 {
		chunks = httputil.NewChunkedWriter(conn)
		to = chunks
	}
	if _, err := to.Write(request.Body); err != nil {
		return err
	}
	buf := make([]byte, streamPart)
	for written := int64(len(request.Body)); ; {
		n, err := request.Rest.Read(buf)
		ended := errors.Is(err, io.EOF)
		written += int64(n)
		if err := checkLength(written, length, ended); err != nil {
			return err
		}
		if err != nil && !ended {
			return fmt.Errorf("%w: %w", errBodyBroken, err)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return err
		}
		if !ended {
			continue
		}
		if chunks == nil {
			return nil
		}
		if err := chunks.Close(); err != nil {
			return err
		}
		_, err = io.WriteString(conn, "\r\n") // no trailer
		return err
	}
}

// explain returns the error of an exchange that ended because its request could not be read to its end.
func (u *upload) explain(err error) error {
	select {
	case <-u.done:
		if errors.Is(u.err, errBodyBroken) {
			return fmt.Errorf("%w: %w", u.err, err)
		}
	default:
	}
	return err
}
