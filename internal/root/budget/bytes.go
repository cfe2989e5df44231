package budget

import (
	"net/netip"
	"sync"
)

const (
	// unsharedDivisor divides a limit; up to the quotient, bytes are granted whatever a client holds.
	unsharedDivisor = 2

	// requestDivisor divides the memory of a process; the quotient bounds the requests in progress without their bodies.
	requestDivisor = 8

	// configDivisor divides the memory of a process; the quotient bounds the configurations that are being received.
	// minConfigs is the number of the largest ones that always find room.
	configDivisor = 8
	minConfigs    = 4
)

type (
	// Bytes bounds the bytes that a process holds for its clients. Once half of the limit is taken, a client address gets
	// no more than its share of the limit, so that a crowd at one address is refused before others.
	Bytes struct {
		limit int64

		mu      sync.Mutex
		used    int64
		holders map[netip.Addr]int64
	}
)

// RequestLimit returns the limit for the requests in progress without their bodies, in a process with the given memory.
func RequestLimit(memory int64) int64 { return memory / requestDivisor }

// ConfigLimit returns the limit for the configurations that are being received, in a process with the given memory, if
// the longest configuration has longest bytes.
func ConfigLimit(memory, longest int64) int64 { return max(memory/configDivisor, minConfigs*longest) }

// NewBytes returns a budget of limit bytes.
func NewBytes(limit int64) *Bytes { return &Bytes{limit: limit, holders: map[netip.Addr]int64{}} }

// Take counts n bytes for a client and reports whether they are granted. Nothing is counted otherwise. A nil
// budget grants all.
func (b *Bytes) Take(client netip.Addr, n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	held, known := b.holders[client]
	if b.used+n > b.limit/unsharedDivisor {
		sharers := int64(len(b.holders)) + 1 // one share stays free for a client that holds nothing yet
		if !known {
			sharers++
		}
		if b.used+n > b.limit || held+n > b.limit/sharers {
			return false
		}
	}
	b.used += n
	b.holders[client] = held + n
	return true
}

// Release ends the counting of n bytes.
func (b *Bytes) Release(client netip.Addr, n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.holders[client] -= n; b.holders[client] <= 0 {
		delete(b.holders, client)
	}
}

// Used returns the number of bytes that are held.
func (b *Bytes) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
