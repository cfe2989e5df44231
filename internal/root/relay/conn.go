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
	"syscall"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/field"
)

const (
	// dialTimeout bounds a connection to the server on the same machine; one that has gone dark does not answer.
	dialTimeout = 400 * time.Millisecond

	// idleLimit is how long a connection is kept when its server does not say; common servers close after more.
	idleLimit = 8 * time.Second

	// idleMargin is taken off the time for which the server says that it keeps an idle connection.
	idleMargin = time.Second

	// maxSkipped bounds the answers to other requests that are passed over on one connection.
	maxSkipped = 4

	// writeAtOnce is the size in bytes up to which a request fits into the buffers of a connection.
	writeAtOnce = 16 << 10

	// answerSlack is how long past the deadline the server's own failure is awaited.
	answerSlack = 60 * time.Millisecond
)

var (
	errGarbled   = errors.New("the answer is not the server's whole answer")
	errTooLarge  = errors.New("the answer exceeds the limit")
	errUnwritten = errors.New("the request was not sent in full")
)

type (
	// pool keeps the connections to one start of a backend server.
	pool struct {
		address string
		dialect Dialect
		maxBody int64 // bytes of an answer

		mu     sync.Mutex
		idle   []*serverConn // the one used last is at the end
		closed bool
	}

	serverConn struct {
		net.Conn
		reader *bufio.Reader
		until  time.Time // by which an idle connection is used or closed
	}

	// exchange is one request on its way to the server.
	exchange struct {
		request  *Request
		marks    Marks
		deadline time.Time
	}
)

// do sends a request on one connection and returns the whole answer. Errors wrap errUnwritten when the
// server cannot have run the request.
func (p *pool) do(ctx context.Context, x *exchange) (Response, Notes, error) {
	conn, err := p.get(ctx)
	if err != nil {
		return Response{}, Notes{}, fmt.Errorf("%w: %w", errUnwritten, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	response, notes, keep, err := p.roundTrip(conn, x)
	if !stop() || !keep || err != nil {
		_ = conn.Close()
	} else {
		p.put(conn)
	}
	return response, notes, err
}

func (p *pool) roundTrip(conn *serverConn, x *exchange) (response Response, notes Notes, keep bool, err error) {
	// Deadlines bound real I/O, so they are on the machine's clock.
	if err := conn.SetDeadline(time.Now().Add(max(time.Until(x.deadline), 0) + answerSlack)); err != nil {
		return response, notes, false, fmt.Errorf("%w: %w", errUnwritten, err)
	}
	written, err := send(conn, x, p.dialect)
	if err != nil {
		return response, notes, false, err
	}
	for range maxSkipped {
		response, notes, keep, err = p.readAnswer(conn, x)
		if err != nil {
			return response, notes, false, err
		}
		if notes.ID == x.marks.ID || notes.ID == "" {
			break
		}
		if !keep {
			return response, notes, false, errGarbled // the answer of an earlier request ended the connection
		}
	}
	if notes.ID != x.marks.ID && !notes.NotRun {
		return response, notes, false, errGarbled
	}
	if conn.reader.Buffered() > 0 || !written() {
		keep = false // bytes that belong to no request, or a body whose rest the server has not taken
	}
	return response, notes, keep, nil
}

// send writes the request, a long one while the answer is awaited: a server may answer before it reads
// the whole body. The function it returns tells whether all of it has been written by now.
func send(conn *serverConn, x *exchange, dialect Dialect) (written func() bool, err error) {
	text := encodeRequest(x, dialect)
	if len(text) <= writeAtOnce {
		if n, err := conn.Write(text); err != nil {
			if n < len(text)-len(x.request.Body) {
				err = fmt.Errorf("%w: %w", errUnwritten, err)
			}
			return nil, err
		}
		return func() bool { return true }, nil
	}
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Write(text) // ends with the connection's deadline at the latest
		ended <- err
	}()
	return func() bool {
		select {
		case err := <-ended:
			return err == nil
		default:
			return false
		}
	}, nil
}

// readAnswer reads one whole answer; keep tells whether the connection can be used again.
func (p *pool) readAnswer(conn *serverConn, x *exchange) (response Response, notes Notes, keep bool, err error) {
	var answer *http.Response
	for {
		answer, err = http.ReadResponse(conn.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return response, notes, false, fmt.Errorf("read answer: %w", err)
		}
		if answer.StatusCode >= http.StatusOK {
			break
		}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, p.maxBody+1))
	if err != nil {
		return response, notes, false, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(body)) > p.maxBody {
		return response, notes, false, errTooLarge
	}
	notes = p.dialect.Read(answer.StatusCode, answer.Header)
	if answer.Header.Get("Content-Encoding") != "" || notes.Signed && notes.ID == "" ||
		answer.StatusCode < http.StatusMultipleChoices && !notes.Signed {
		return response, notes, false, errGarbled
	}
	conn.until = time.Now().Add(idleTime(answer.Header))
	response = Response{Status: answer.StatusCode, Header: answer.Header, Body: body}
	field.RemoveHopByHop(response.Header)
	response.Header.Del("Content-Length") // it is set anew
	return response, notes, !answer.Close, nil
}

// idleTime returns how long the connection may stay idle, as the server says in Keep-Alive.
func idleTime(header http.Header) time.Duration {
	for _, word := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(word), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return idleLimit
}

func encodeRequest(x *exchange, dialect Dialect) []byte {
	header := x.request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	dialect.Mark(header, x.marks)
	var text bytes.Buffer
	text.Grow(512 + len(x.request.Body))
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", x.request.Method, x.request.Target, x.request.Host)
	_ = header.Write(&text) // a buffer takes everything
	if len(x.request.Body) > 0 || x.request.Method == http.MethodPost || x.request.Method == http.MethodPut || x.request.Method == http.MethodPatch {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(x.request.Body))
	}
	text.WriteString("\r\n")
	text.Write(x.request.Body)
	return text.Bytes()
}

// get returns an idle connection or a new one. The connection used last comes first, because a server may
// have dropped the others.
func (p *pool) get(ctx context.Context) (*serverConn, error) {
	now := time.Now()
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, net.ErrClosed
		}
		last := len(p.idle) - 1
		if last < 0 {
			p.mu.Unlock()
			break
		}
		conn := p.idle[last]
		p.idle = p.idle[:last]
		p.mu.Unlock()
		if now.Before(conn.until) && conn.quiet() {
			return conn, nil
		}
		_ = conn.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: conn, reader: bufio.NewReaderSize(conn, 4<<10)}, nil
}

func (p *pool) put(conn *serverConn) {
	now := time.Now()
	var expired []*serverConn
	p.mu.Lock()
	if p.closed {
		expired = append(expired, conn)
	} else {
		p.idle = append(p.idle, conn)
	}
	for len(p.idle) > 0 && !now.Before(p.idle[0].until) {
		expired = append(expired, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, old := range expired {
		_ = old.Close()
	}
}

// close closes the idle connections and those that come back later.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

// quiet reports whether nothing has arrived on an idle connection: neither an end nor bytes that belong to
// no request.
func (c *serverConn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
