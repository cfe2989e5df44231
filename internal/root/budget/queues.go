package budget

// queueDivisor divides the memory of a process; the quotient bounds the responses that wait for their callers.
const queueDivisor = 8

// Queues bounds the bytes that wait in queues of different owners, such as the connections of callers. Beyond the
// limit the owner of most bytes has to give up its queue, so that one that reads too slowly does not refuse others.
type Queues[K comparable] struct {
	limit  int64
	memory *Memory // that all uses draw on
	used   int64
	owners map[K]int64
}

// QueueLimit returns the limit for the responses that wait for their callers, in a process with the given memory in
// bytes.
func QueueLimit(memory int64) int64 { return memory / queueDivisor }

// NewQueues returns a budget of limit bytes, which also draws on memory; nil for one that draws on nothing else.
func NewQueues[K comparable](limit int64, memory *Memory) *Queues[K] {
	return &Queues[K]{limit: limit, memory: memory, owners: map[K]int64{}}
}

// Add counts n bytes of an owner. If the limit is exceeded, it returns the owner that has to give up its queue, whose
// bytes are no longer counted.
func (q *Queues[K]) Add(owner K, n int64) (victim K, exceeded bool) {
	q.owners[owner] += n
	q.used += n
	q.memory.Add(n)
	if !q.exceeded() {
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

// exceeded reports whether an owner has to give up its queue: too many bytes wait, or the memory is used up and the
// queues have a large part of it.
func (q *Queues[K]) exceeded() bool {
	return q.used > q.limit || q.used > q.limit/unsharedDivisor && q.memory.Exceeded()
}

// Remove ends the counting of n bytes of an owner, unless it has given up its queue.
func (q *Queues[K]) Remove(owner K, n int64) {
	held, counted := q.owners[owner]
	if !counted {
		return
	}
	n = min(n, held)
	q.used -= n
	q.memory.Release(n)
	if q.owners[owner] = held - n; held == n {
		delete(q.owners, owner)
	}
}

// End ends the counting of all bytes of an owner.
func (q *Queues[K]) End(owner K) {
	q.used -= q.owners[owner]
	q.memory.Release(q.owners[owner])
	delete(q.owners, owner)
}

// Used returns the number of bytes that are counted.
func (q *Queues[K]) Used() int64 { return q.used }
