package budget

import (
	"net/netip"
	"sync"
)

const (
	// unsharedDivisor divides a limit; up to the quotient, bytes are granted whatever a holder has.
	unsharedDivisor = 2

	// requestDivisor divides the memory of a process; the quotient bounds the requests in progress with their small
	// bodies.
	requestDivisor = 8

	// configDivisor divides the memory of a process; the quotient bounds the configurations that are being received.
	// minConfigs is the number of the largest ones that always find room.
	configDivisor = 8
	minConfigs    = 4
)

type (
	// Bytes bounds the bytes that a process holds for one use. Once half of the limit is taken, a holder gets no more than
	// its share of the limit, so that a crowd of one client account, or at one address, is refused before others.
	Bytes struct {
		limit  int64
		memory *Memory // that all uses draw on

		mu      sync.Mutex
		used    int64
		holders map[holder]int64
	}

	// Claim says for whom bytes are taken, and what is left to others.
	Claim struct {
		Account string     // client account, empty if it is not known
		Address netip.Addr // of the client, used if the account is not known
		Urgent  bool       // may use the part of the limit that is reserved for urgent requests
		Spare   int64      // bytes of each limit that are left to others
	}

	// holder is a client account, or the address of a client without one.
	holder struct {
		account string
		address netip.Addr
	}
)

// RequestLimit returns the limit for the requests in progress with their small bodies, in a process with the given
// memory in bytes.
func RequestLimit(memory int64) int64 { return memory / requestDivisor }

// ConfigLimit returns the limit for the configurations that are being received, in a process with the given memory, if
// the longest configuration has longest bytes.
func ConfigLimit(memory, longest int64) int64 { return max(memory/configDivisor, minConfigs*longest) }

// NewBytes returns a budget of limit bytes, which also draws on memory; nil for a use that draws on nothing else.
func NewBytes(limit int64, memory *Memory) *Bytes {
	return &Bytes{limit: limit, memory: memory, holders: map[holder]int64{}}
}

// Take counts n bytes and reports whether they are granted. Nothing is counted otherwise. If released bytes stand in the
// way, it waits for the garbage collector. A nil budget grants all.
func (b *Bytes) Take(c Claim, n int64) bool {
	if b == nil || n == 0 { // a holder of no bytes would lower the shares of others
		return true
	}
	granted, memoryFull := b.take(c, n)
	if memoryFull && b.memory.collectGarbage() {
		granted, _ = b.take(c, n)
	}
	return granted
}

// take counts n bytes if they are granted. memoryFull reports that only the memory has no room for them.
func (b *Bytes) take(c Claim, n int64) (granted, memoryFull bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	by := c.holder()
	if !b.mayTake(c, by, n) {
		return false, false
	}
	if !b.memory.take(c, n) {
		return false, true
	}
	b.used += n
	b.holders[by] += n
	return true, false
}

// mayTake reports whether the limit and the share of the holder leave room for n bytes; b.mu is held.
func (b *Bytes) mayTake(c Claim, by holder, n int64) bool {
	if b.used+n > c.available(b.limit) {
		return false
	}
	if b.used+n <= b.limit/unsharedDivisor {
		return true
	}
	held, known := b.holders[by]
	sharers := int64(len(b.holders)) + 1 // one share stays free for a holder that has nothing yet
	if !known {
		sharers++
	}
	return held+n <= b.limit/sharers
}

// Release ends the counting of n bytes.
func (b *Bytes) Release(c Claim, n int64) {
	if b == nil || n == 0 {
		return
	}
	b.memory.Release(n)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	by := c.holder()
	if b.holders[by] -= n; b.holders[by] <= 0 {
		delete(b.holders, by)
	}
}

// Limit returns the largest number of bytes that are held.
func (b *Bytes) Limit() int64 { return b.limit }

// Used returns the number of bytes that are held.
func (b *Bytes) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// available returns how much of a limit may be taken.
func (c Claim) available(limit int64) int64 {
	if !c.Urgent {
		limit -= limit / reserveDivisor
	}
	return limit - c.Spare
}

// holder returns the holder that the bytes are counted for.
func (c Claim) holder() holder {
	if c.Account != "" {
		return holder{account: c.Account}
	}
	return holder{address: c.Address}
}
