package link

import "net"

// yamuxHeaderSize is the size of the header that yamux writes separately from the body.
const yamuxHeaderSize = 12

// coalescedConn writes a yamux header and the body that follows it with one call, because separate writes
// cost a second system call and a second packet for each frame. Only the single send goroutine of yamux
// calls Write, so pending needs no lock; it holds a data header whose body has not been written yet.
type coalescedConn struct {
	net.Conn
	pending []byte
}

// coalesce returns conn with the writes of yamux headers and bodies combined.
func coalesce(conn net.Conn) net.Conn { return &coalescedConn{Conn: conn} }

// Write buffers a data header until its body is written.
func (c *coalescedConn) Write(p []byte) (int, error) {
	if len(c.pending) == 0 {
		if !isDataHeader(p) {
			return c.Conn.Write(p)
		}
		c.pending = append(c.pending, p...)
		return len(p), nil
	}
	buffers := net.Buffers{c.pending, p}
	n, err := buffers.WriteTo(c.Conn)
	written := max(int(n)-yamuxHeaderSize, 0)
	c.pending = c.pending[:0]
	return written, err
}

// isDataHeader reports whether p is the header of a yamux data frame with a body.
func isDataHeader(p []byte) bool {
	return len(p) == yamuxHeaderSize && p[1] == 0 && (p[8]|p[9]|p[10]|p[11]) != 0
}
