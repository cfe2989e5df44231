package cross

import "sync/atomic"

// Directions of bytes, as the daemon sees them that has opened the connection.
const (
	Sent Direction = iota
	Received
	directions
)

type (
	// Direction is Sent or Received.
	Direction uint8

	// Bytes counts bytes between availability zones. It is safe for concurrent use; a nil Bytes counts nothing.
	Bytes struct {
		counts [causes][directions]atomic.Uint64
	}
)

// Add counts n bytes; those of the cause Home are not counted.
func (b *Bytes) Add(c Cause, d Direction, n int) {
	if b != nil && c != Home && c < causes {
		b.counts[c][d].Add(uint64(n))
	}
}

// Count returns the bytes of one cause and direction.
func (b *Bytes) Count(c Cause, d Direction) uint64 { return b.counts[c][d].Load() }
