package budget

import "net/netip"

// calmShare divides a limit; up to the quotient, bytes are granted without regard to who holds them.
const calmShare = 2

type (
	// Bytes bounds the bytes that a process holds for its clients. Once half of the limit is taken, a client address gets
	// no more than its share of the limit, so that a crowd at one address is refused before others.
	Bytes struct {
		limit   int64
		used    int64
		holders map[netip.Addr]int64
	}
)

// NewBytes returns a budget of limit bytes.
func NewBytes(limit int64) *Bytes { return &Bytes{limit: limit, holders: map[netip.Addr]int64{}} }

// Take counts n bytes for a client and reports whether they are granted. Nothing is counted otherwise.
func (b *Bytes) Take(client netip.Addr, n int64) bool {
	held, known := b.holders[client]
	if b.used+n > b.limit/calmShare {
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
	b.used -= n
	if b.holders[client] -= n; b.holders[client] <= 0 {
		delete(b.holders, client)
	}
}

// Used returns the number of bytes that are held.
func (b *Bytes) Used() int64 { return b.used }
