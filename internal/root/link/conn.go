package link

import (
	"encoding/binary"
	"net"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
)

// yamuxHeaderSize is the size of the header that yamux writes separately from the body.
const yamuxHeaderSize = 12

type (
	// coalescedConn writes a yamux header and the body that follows it with one call, because separate writes
	// cost a second system call and a second packet for each frame. Only the single send goroutine of yamux
	// calls Write, so pending needs no lock; it holds a data header whose body has not been written yet.
	// It counts the headers in both directions as keep-alive; the bodies of data frames are counted by the streams.
	coalescedConn struct {
		net.Conn
		pending []byte
		bytes   *cross.Bytes // nil to count nothing
		headers headerReader
	}

	// headerReader finds the yamux headers in the bytes that are received.
	headerReader struct {
		header [yamuxHeaderSize]byte
		filled int
		body   int // bytes left of the body of a data frame
	}

	// countedConn counts the bytes of a handshake.
	countedConn struct {
		net.Conn
		sent, received int
	}
)

// coalesce returns conn with the writes of yamux headers and bodies combined.
func coalesce(conn net.Conn, bytes *cross.Bytes) net.Conn {
	return &coalescedConn{Conn: conn, bytes: bytes}
}

// Write buffers a data header until its body is written.
func (c *coalescedConn) Write(p []byte) (int, error) {
	if len(c.pending) == 0 {
		if !isDataHeader(p) {
			n, err := c.Conn.Write(p)
			c.bytes.Add(cross.KeepAlive, cross.Sent, n)
			return n, err
		}
		c.pending = append(c.pending, p...)
		return len(p), nil
	}
	buffers := net.Buffers{c.pending, p}
	n, err := buffers.WriteTo(c.Conn)
	written := max(int(n)-yamuxHeaderSize, 0)
	c.bytes.Add(cross.KeepAlive, cross.Sent, int(n)-written)
	c.pending = c.pending[:0]
	return written, err
}

// Read reads from the connection.
func (c *coalescedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.bytes != nil {
		c.bytes.Add(cross.KeepAlive, cross.Received, c.headers.read(p[:n]))
	}
	return n, err
}

// read returns how many of the received bytes belong to headers.
func (h *headerReader) read(p []byte) int {
	count := 0
	for len(p) > 0 {
		if skipped := min(h.body, len(p)); skipped > 0 {
			h.body, p = h.body-skipped, p[skipped:]
			continue
		}
		n := copy(h.header[h.filled:], p)
		h.filled, count, p = h.filled+n, count+n, p[n:]
		if h.filled == yamuxHeaderSize {
			h.filled = 0
			if isDataHeader(h.header[:]) {
				h.body = int(binary.BigEndian.Uint32(h.header[8:]))
			}
		}
	}
	return count
}

// isDataHeader reports whether p is the header of a yamux data frame with a body.
func isDataHeader(p []byte) bool {
	return len(p) == yamuxHeaderSize && p[1] == 0 && (p[8]|p[9]|p[10]|p[11]) != 0
}

// Read reads from the connection.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += n
	return n, err
}

// Write writes to the connection.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += n
	return n, err
}
