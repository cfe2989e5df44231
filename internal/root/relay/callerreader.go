package relay

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/peek"
)

// arrivedReadTime bounds a read of bytes that have arrived before a deadline which passed before the read.
const arrivedReadTime = time.Second

// callerReader reads from the connection of a caller and records when bytes arrived. A deadline ends a read only if no
// bytes wait: a process that was paused sees that the time is over before it sees the bytes.
type callerReader struct {
	net.Conn
	setDeadline func(time.Time) bool // returns false if the deadline must stay
	opened      time.Time
	last        atomic.Int64 // time.Duration from opened to the last read that returned bytes
}

func newCallerReader(conn net.Conn) *callerReader {
	return &callerReader{Conn: conn, opened: time.Now()}
}

// Read implements io.Reader.
func (r *callerReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if n == 0 && isTimeout(err) && peek.StateOf(r.Conn) == peek.Waiting && r.setDeadline(time.Now().Add(arrivedReadTime)) {
		n, err = r.Conn.Read(p)
	}
	if n > 0 {
		r.last.Store(int64(time.Since(r.opened)))
	}
	return n, err
}

// sinceRead returns how long ago bytes were read.
func (r *callerReader) sinceRead() time.Duration {
	return time.Since(r.opened) - time.Duration(r.last.Load())
}
