package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reconnectPause is the time after which a client whose connection has ended opens another one.
	reconnectPause = 20 * time.Millisecond

	// bytePause is the time between two bytes of a client that sends or reads slowly.
	bytePause = 20 * time.Millisecond

	// smallPiece is the size in bytes of the pieces and chunks in which a body is sent, and largePiece that of the writes
	// of a body without end.
	smallPiece = 1 << 10
	largePiece = 64 << 10

	// endlessLength is the length in bytes that a body without end claims to have.
	endlessLength = 1 << 40

	// readBuffer is the size in bytes of the receive buffer of a client that reads slowly or not at all.
	readBuffer = 4 << 10

	// headEndReserve is the number of bytes that a head of legal size leaves for its end.
	headEndReserve = 128

	// pipelined is the number of requests in one write of a client that sends requests ahead.
	pipelined = 64
)

type (
	// Target is what the clients of a crowd connect to.
	Target struct {
		Address string
		// Upload and Download are the beginnings of the heads of a request with a body and of one with a long response,
		// up to the last field that every request needs.
		Upload, Download string
		BodySize         int // of the largest legal body in bytes
		HeaderSize       int // of the largest legal head in bytes
	}

	// Crowd is a number of clients of one kind.
	Crowd struct {
		Kind    Kind
		Target  Target
		Clients int

		opened, failed atomic.Int64
	}
)

// Run opens the clients and returns when ctx has ended and all connections are closed. A client whose connection ends
// opens another one.
func (c *Crowd) Run(ctx context.Context) {
	var clients sync.WaitGroup
	for i := range c.Clients {
		clients.Go(func() {
			for ctx.Err() == nil {
				c.connect(ctx, i)
				pause(ctx, reconnectPause)
			}
		})
	}
	clients.Wait()
}

// Connections returns the number of connections that were opened and of those that could not be opened.
func (c *Crowd) Connections() (opened, failed int64) { return c.opened.Load(), c.failed.Load() }

// connect opens one connection and uses it until it or ctx ends.
func (c *Crowd) connect(ctx context.Context, index int) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.Target.Address)
	if err != nil {
		if ctx.Err() == nil {
			c.failed.Add(1)
		}
		return
	}
	c.opened.Add(1)
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	cl := &client{ctx: ctx, conn: conn, target: &c.Target, variant: index}
	// An error is the expected end: the process has closed the connection, or ctx has ended.
	_ = cl.behave(c.Kind)
}

// client is one connection of a crowd. Clients of one kind differ by variant.
type client struct {
	ctx     context.Context
	conn    net.Conn
	target  *Target
	variant int
}

// behave acts as a client of the given kind until the connection ends.
func (c *client) behave(k Kind) error {
	switch k.(type) {
	case HeldBodies:
		return c.holdBody()
	case LongBodies:
		return c.sendEndlessBody()
	case ManyFields:
		return c.sendManyFields()
	case UnreadAnswers:
		return c.sendAhead()
	case SlowSenders:
		return c.sendSlowly()
	case SlowReaders:
		return c.readSlowly()
	case HalfClosed:
		return c.halfClose()
	case Mixed:
		kind := basicKinds[c.variant%len(basicKinds)]
		c.variant /= len(basicKinds)
		return c.behave(kind)
	}
	return fmt.Errorf("kind %T is unknown", k)
}

func (c *client) holdBody() error {
	var err error
	switch size := c.target.BodySize - 1; c.variant % 3 {
	case 0:
		if err = c.send(c.uploadHead()); err == nil {
			err = c.sendBody(size, largePiece, false)
		}
	case 1:
		if err = c.send(c.uploadHead()); err == nil {
			err = c.sendBody(size, smallPiece, false)
		}
	case 2:
		if err = c.send(c.target.Upload, "Transfer-Encoding: chunked\r\n\r\n"); err == nil {
			err = c.sendBody(size, smallPiece, true)
		}
	}
	if err != nil {
		return err
	}
	return c.awaitEnd()
}

// sendBody sends size bytes in pieces, each as a chunk if chunked is set.
func (c *client) sendBody(size, piece int, chunked bool) error {
	text := strings.Repeat("x", piece)
	for sent := 0; sent < size; sent += piece {
		part := text[:min(piece, size-sent)]
		if chunked {
			part = chunk(part)
		}
		if err := c.send(part); err != nil {
			return err
		}
	}
	return nil
}

func (c *client) sendEndlessBody() error {
	piece := strings.Repeat("x", largePiece)
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(endlessLength))
	if c.variant%2 == 1 {
		piece, framing = chunk(piece), "Transfer-Encoding: chunked\r\n\r\n"
	}
	err := c.send(c.target.Upload, framing)
	for err == nil {
		err = c.send(piece)
	}
	return err
}

func (c *client) sendManyFields() error {
	var head strings.Builder
	head.WriteString(c.target.Download)
	for i := 0; ; i++ {
		field := fmt.Sprintf("%x:\r\n", i)
		if head.Len()+len(field) > c.target.HeaderSize-headEndReserve {
			break
		}
		head.WriteString(field)
	}
	if c.variant%2 == 0 {
		if err := c.send(head.String()); err != nil {
			return err
		}
		return c.awaitEnd()
	}
	head.WriteString("\r\n")
	reading := make(chan error, 1)
	go func() { reading <- c.awaitEnd() }() // ends with the connection
	err := c.send(head.String())
	for err == nil {
		err = c.send(head.String())
	}
	_ = c.conn.Close()
	<-reading
	return err
}

func (c *client) sendAhead() error {
	c.shrinkReadBuffer()
	requests := strings.Repeat(c.target.Download+"\r\n", pipelined)
	err := c.send(requests)
	for err == nil {
		err = c.send(requests)
	}
	return err
}

func (c *client) sendSlowly() error {
	text := c.target.Download + "\r\n"
	if c.variant%2 == 1 {
		if err := c.send(c.uploadHead()); err != nil {
			return err
		}
		text = strings.Repeat("x", min(c.target.BodySize, largePiece))
	}
	for i := range len(text) {
		if err := c.send(text[i : i+1]); err != nil {
			return err
		}
		pause(c.ctx, bytePause)
	}
	return c.awaitEnd()
}

func (c *client) readSlowly() error {
	c.shrinkReadBuffer()
	if err := c.send(strings.Repeat(c.target.Download+"\r\n", 1+c.variant%2)); err != nil {
		return err
	}
	var one [1]byte
	for {
		if _, err := c.conn.Read(one[:]); err != nil {
			return err
		}
		pause(c.ctx, bytePause)
	}
}

func (c *client) halfClose() error {
	text := ""
	switch c.variant % 3 {
	case 0:
		text = c.target.Download
	case 1:
		text = c.target.Download + "\r\n"
	case 2:
		text = c.uploadHead() + strings.Repeat("x", min(c.target.BodySize/2, largePiece))
	}
	if err := c.send(text); err != nil {
		return err
	}
	if err := c.conn.(*net.TCPConn).CloseWrite(); err != nil {
		return err
	}
	return c.awaitEnd()
}

func (c *client) uploadHead() string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", c.target.Upload, c.target.BodySize)
}

func (c *client) send(parts ...string) error {
	_, err := io.WriteString(c.conn, strings.Join(parts, ""))
	return err
}

// awaitEnd reads until the connection ends.
func (c *client) awaitEnd() error {
	_, err := io.Copy(io.Discard, c.conn)
	return err
}

func (c *client) shrinkReadBuffer() { _ = c.conn.(*net.TCPConn).SetReadBuffer(readBuffer) }

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
