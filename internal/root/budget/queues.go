package budget

import "net/netip"

// queueDivisor divides the memory of a process; the quotient bounds the responses that wait for their callers.
const queueDivisor = 8

type (
	// Queues bounds the bytes that wait in queues of different owners, such as the connections of callers. Beyond the
	// limit an owner has to give up its queue: of the client address with the most bytes, the one with the most. So those
	// that read too slowly do not refuse others, however many connections they open.
	Queues[K comparable] struct {
		limit     int64
		memory    *Memory // that all uses draw on
		used      int64
		owners    map[K]queue
		addresses map[netip.Addr]int64 // bytes of all owners at an address
	}

	// queue is the queue of one owner.
	queue struct {
		address netip.Addr // of the client
		bytes   int64
	}
)

// QueueLimit returns the limit for the responses that wait for their callers, in a process with the given memory in
// bytes.
func QueueLimit(memory int64) int64 { return memory / queueDivisor }

// NewQueues returns a budget of limit bytes, which also draws on memory; nil for one that draws on nothing else.
func NewQueues[K comparable](limit int64, memory *Memory) *Queues[K] {
	return &Queues[K]{limit: limit, memory: memory, owners: map[K]queue{}, addresses: map[netip.Addr]int64{}}
}

// Add counts n bytes of an owner, whose client is always at the same address. If the limit is exceeded, it returns the
// owner that has to give up its queue, whose bytes are no longer counted.
func (q *Queues[K]) Add(owner K, address netip.Addr, n int64) (victim K, exceeded bool) {
	q.memory.Add(n)
	q.set(owner, queue{address: address, bytes: q.owners[owner].bytes + n})
	if !q.exceeded() {
		return victim, false
	}
	victim = q.victim()
	q.End(victim)
	return victim, true
}

// set replaces the queue of an owner.
func (q *Queues[K]) set(owner K, changed queue) {
	added := changed.bytes - q.owners[owner].bytes
	q.used += added
	if q.addresses[changed.address] += added; q.addresses[changed.address] == 0 {
		delete(q.addresses, changed.address)
	}
	if q.owners[owner] = changed; changed.bytes == 0 {
		delete(q.owners, owner)
	}
}

// exceeded reports whether an owner has to give up its queue: too many bytes wait, or the memory is used up and the
// queues have a large part of it.
func (q *Queues[K]) exceeded() bool {
	return q.used > q.limit || q.used > q.limit/unsharedDivisor && q.memory.Exceeded()
}

// victim returns the owner that has to give up its queue.
func (q *Queues[K]) victim() (victim K) {
	var most queue
	for owner, candidate := range q.owners {
		held, mostHeld := q.addresses[candidate.address], q.addresses[most.address]
		if held > mostHeld || held == mostHeld && candidate.bytes > most.bytes {
			victim, most = owner, candidate
		}
	}
	return victim
}

// Remove ends the counting of n bytes of an owner, unless it has given up its queue.
func (q *Queues[K]) Remove(owner K, n int64) {
	held, counted := q.owners[owner]
	if !counted {
		return
	}
	n = min(n, held.bytes)
	q.memory.Release(n)
	q.set(owner, queue{address: held.address, bytes: held.bytes - n})
}

// End ends the counting of all bytes of an owner.
func (q *Queues[K]) End(owner K) { q.Remove(owner, q.owners[owner].bytes) }

// Used returns the number of bytes that are counted.
func (q *Queues[K]) Used() int64 { return q.used }
