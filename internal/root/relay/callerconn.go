package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	// maxInLine bounds the requests of one connection that wait for their answers; what follows is read
	// once there is room.
	maxInLine = 128

	// writeLimit is how long a caller may take no byte of an answer.
	writeLimit = 10 * time.Second

	// headerSlack is what may be read beyond the header limit, because a body may follow in the same read.
	headerSlack = 4 << 10
)

type (
	// callerConn is the connection of one caller. Its own goroutine reads requests, also while earlier ones
	// are served: a caller that sends several in a row must not wait to be read, and one that leaves has to
	// be noticed at once.
	callerConn struct {
		front  *Front
		conn   net.Conn
		limit  *countedReader
		reader *bufio.Reader
		ctx    context.Context // ends when the caller has left or gets no more answers
		leave  context.CancelFunc
		served sync.WaitGroup

		mu     sync.Mutex
		line   []*turn // in the order of the requests
		room   chan struct{}
		broken bool
		idle   time.Time // since when no request is in progress
		last   bool      // no request follows
	}

	// turn is the place of one answer in the line of a connection.
	turn struct {
		ready    bool
		method   string
		response Response
		close    bool // the connection ends after it
	}

	// countedReader fails once more than left bytes have been read.
	countedReader struct {
		from io.Reader
		left int64
	}
)

var (
	errHeaderSize = errors.New("the header exceeds the limit")
	errBodySize   = errors.New("the body exceeds the limit")
)

// Read reads up to the limit.
func (c *countedReader) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errHeaderSize
	}
	if int64(len(p)) > c.left {
		p = p[:c.left]
	}
	n, err := c.from.Read(p)
	c.left -= int64(n)
	return n, err
}

// serve reads requests until the connection ends, and returns when all answers are written.
func (c *callerConn) serve(ctx context.Context) {
	c.ctx, c.leave = context.WithCancel(ctx)
	c.idle = time.Now()
	err := c.read()
	var ended *readingEnded
	if !errors.As(err, &ended) {
		c.leave() // the caller has gone: nobody waits for what is in progress
	}
	c.served.Wait()
	c.leave()
	if ended != nil {
		// Bytes that are still on their way would reset the connection before the last answer has arrived.
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.conn)
	}
	_ = c.conn.Close()
}

// readingEnded ends the reading of a connection whose answers are still awaited.
type readingEnded struct{ why string }

// Error returns why no more is read.
func (r *readingEnded) Error() string { return r.why }

func (c *callerConn) read() error {
	for {
		if err := c.awaitRequest(); err != nil {
			return err
		}
		limits := c.front.limits()
		// The header has to arrive in time; deadlines bound real I/O.
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		c.limit.left = limits.HeaderSize + headerSlack
		parsed, err := http.ReadRequest(c.reader)
		if err != nil {
			return c.unreadable(err)
		}
		c.limit.left = 1 << 62
		if size := headerSize(parsed); size > limits.HeaderSize {
			return c.refuse(parsed, retry.HeaderTooLarge{})
		}
		body, err := c.readBody(parsed, limits)
		if errors.Is(err, errBodySize) {
			return c.refuse(parsed, retry.BodyTooLarge{})
		}
		if err != nil {
			return err
		}
		_ = c.conn.SetReadDeadline(time.Time{})
		last := parsed.Close || !parsed.ProtoAtLeast(1, 1)
		if err := c.begin(parsed, body, last); err != nil {
			return err
		}
	}
}

// awaitRequest waits for the first byte of the next request.
func (c *callerConn) awaitRequest() error {
	for {
		limit := c.front.limits().IdleTimeout
		_ = c.conn.SetReadDeadline(time.Now().Add(limit))
		if _, err := c.reader.Peek(1); err == nil {
			return nil
		} else if timeout := net.Error(nil); !errors.As(err, &timeout) || !timeout.Timeout() {
			return err
		}
		c.mu.Lock()
		quiet := len(c.line) == 0 && time.Since(c.idle) >= limit
		broken := c.broken
		c.mu.Unlock()
		if quiet || broken {
			return &readingEnded{"idle"}
		}
	}
}

func (c *callerConn) readBody(r *http.Request, limits rules.Limits) ([]byte, error) {
	if r.ContentLength > limits.BodySize {
		return nil, errBodySize
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, fmt.Errorf("ask for the body: %w", err)
		}
	}
	var body bytes.Buffer
	for {
		// The limit is on pauses, not on the whole body.
		_ = c.conn.SetReadDeadline(time.Now().Add(c.front.BodyStall))
		n, err := io.CopyN(&body, r.Body, 32<<10)
		switch {
		case int64(body.Len()) > limits.BodySize:
			return nil, errBodySize
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return nil, fmt.Errorf("read body: %w", err)
		case n == 0:
			return body.Bytes(), nil
		}
	}
}

// begin serves a request in a goroutine of its own.
func (c *callerConn) begin(parsed *http.Request, body []byte, last bool) error {
	place, err := c.queue(last)
	if err != nil {
		return err
	}
	request, err := c.front.Dialect.DecodeRequest(parsed)
	if err != nil {
		c.front.Log.Info().Str("request", request.ID).Err(err).Msg("request-unreadable")
		c.finish(place, parsed.Method, c.front.Dialect.EncodeRefusal(request.ID, retry.BadRequest{}, 0), last)
		return endAfter(last)
	}
	if c.front.refuse.Load() {
		c.front.Log.Info().Str("request", request.ID).Str("reason", string(retry.Describe(retry.Draining{}).Reason)).Msg("request-refused")
		c.finish(place, parsed.Method, c.front.Dialect.EncodeRefusal(request.ID, retry.Draining{}, noServerAfter), true)
		return endAfter(true)
	}
	request.Body = body
	c.served.Go(func() {
		c.front.active.Add(1)
		defer c.front.active.Add(-1)
		response := c.front.Path.Serve(c.ctx, &request)
		c.finish(place, request.Method, response, last)
	})
	return endAfter(last)
}

func endAfter(last bool) error {
	if last {
		return &readingEnded{"the caller asked to close the connection"}
	}
	return nil
}

// queue takes a place in the line, waiting while the line is long.
func (c *callerConn) queue(last bool) (*turn, error) {
	for {
		c.mu.Lock()
		if c.broken {
			c.mu.Unlock()
			return nil, net.ErrClosed
		}
		if c.last {
			c.mu.Unlock()
			return nil, &readingEnded{"an answer has announced the end of the connection"}
		}
		if len(c.line) < maxInLine {
			place := &turn{}
			c.line = append(c.line, place)
			c.last = last
			c.mu.Unlock()
			return place, nil
		}
		room := make(chan struct{})
		c.room = room
		c.mu.Unlock()
		select {
		case <-room:
		case <-c.ctx.Done():
			return nil, c.ctx.Err()
		}
	}
}

// finish hands over an answer and writes all that are ready at the head of the line.
func (c *callerConn) finish(place *turn, method string, response Response, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	place.ready, place.method, place.response, place.close = true, method, response, last
	for len(c.line) > 0 && c.line[0].ready && !c.broken {
		head := c.line[0]
		c.line = c.line[1:]
		c.write(head, head.close || len(c.line) == 0 && c.front.stopping())
	}
	if len(c.line) == 0 {
		c.idle = time.Now()
	}
	if c.room != nil {
		close(c.room)
		c.room = nil
	}
}

// write sends an answer; the lock is held, so that answers keep their order.
func (c *callerConn) write(head *turn, last bool) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeLimit))
	if _, err := c.conn.Write(encodeResponse(head.method, head.response, last)); err != nil {
		c.broken = true
		c.leave()
		_ = c.conn.Close()
		return
	}
	if last {
		c.broken = true
		if len(c.line) > 0 {
			c.leave() // what was sent behind a last answer counts as not read
		}
		c.shut()
	}
}

// shut ends the connection after the last answer without resetting it.
func (c *callerConn) shut() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
}

// refuse answers a request that cannot be served, and ends the connection.
func (c *callerConn) refuse(parsed *http.Request, failure retry.Failure) error {
	place, err := c.queue(true)
	if err != nil {
		return err
	}
	request, _ := c.front.Dialect.DecodeRequest(parsed) // only its id is used
	c.front.Log.Info().Str("request", request.ID).Str("reason", string(retry.Describe(failure).Reason)).Msg("request-refused")
	c.finish(place, parsed.Method, c.front.Dialect.EncodeRefusal(request.ID, failure, 0), true)
	return &readingEnded{"the request was refused"}
}

// unreadable ends a connection on which no request could be read.
func (c *callerConn) unreadable(err error) error {
	timeout := net.Error(nil)
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.As(err, &timeout) && timeout.Timeout():
		return err
	case errors.Is(err, errHeaderSize):
		return c.refuse(&http.Request{Header: http.Header{}}, retry.HeaderTooLarge{})
	}
	return c.refuse(&http.Request{Header: http.Header{}}, retry.BadRequest{})
}

// headerSize returns the size of a request's line and header in bytes.
func headerSize(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + 20
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return int64(size)
}

// encodeResponse writes a whole answer. The header of an answer is the server's own but for what concerns
// the connection.
func encodeResponse(method string, r Response, last bool) []byte {
	var text bytes.Buffer
	text.Grow(512 + len(r.Body))
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", r.Status, statusText(r.Status))
	_ = r.Header.Write(&text) // a buffer takes everything
	bodiless := r.Status == http.StatusNoContent || r.Status == http.StatusNotModified
	if !bodiless && (method != http.MethodHead || len(r.Body) > 0) {
		text.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if last {
		text.WriteString("Connection: close\r\n")
	}
	text.WriteString("\r\n")
	if !bodiless && method != http.MethodHead {
		text.Write(r.Body)
	}
	return text.Bytes()
}

func statusText(status int) string {
	if text := http.StatusText(status); text != "" {
		return text
	}
	return "Status"
}
