package budget

// queueDivisor divides the memory of a process; the quotient bounds the responses that wait for their callers.
const queueDivisor = 4

type (
	// Queues bounds the bytes that wait in queues of different owners, such as the connections of callers. Beyond the
	// limit the owner of most bytes has to give up its queue, so that one that reads too slowly does not refuse others.
	Queues[K comparable] struct {
		limit  int64
		used   int64
		owners map[K]int64
	}
)

// QueueLimit returns the limit for the responses that wait for their callers, in a process with the given memory in
// bytes.
func QueueLimit(memory int64) int64 { return memory / queueDivisor }

// NewQueues returns a budget of limit bytes.
func NewQueues[K comparable](limit int64) *Queues[K] {
	return &Queues[K]{limit: limit, owners: map[K]int64{}}
}

// Add counts n bytes of an owner. If the limit is exceeded, it returns the owner that has to give up its queue, whose
// bytes are no longer counted.
func (q *Queues[K]) Add(owner K, n int64) (victim K, exceeded bool) {
	q.owners[owner] += n
	q.used += n
	if q.used <= q.limit {
		return victim, false
	}
	most := int64(-1)
	for candidate, held := range q.owners {
		if held > most {
			victim, most = candidate, held
		}
	}
	q.End(victim)
	return victim, true
}

// Remove ends the counting of n bytes of an owner, unless it has given up its queue.
func (q *Queues[K]) Remove(owner K, n int64) {
	held, counted := q.owners[owner]
	if !counted {
		return
	}
	n = min(n, held)
	q.used -= n
	if q.owners[owner] = held - n; held == n {
		delete(q.owners, owner)
	}
}

// End ends the counting of all bytes of an owner.
func (q *Queues[K]) End(owner K) {
	q.used -= q.owners[owner]
	delete(q.owners, owner)
}

// Used returns the number of bytes that are counted.
func (q *Queues[K]) Used() int64 { return q.used }
