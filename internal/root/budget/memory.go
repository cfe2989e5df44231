package budget

import "sync"

const (
	// memoryDivisor divides the memory of a process; the quotient bounds all bytes that it holds for its clients. The
	// rest is for the program and for its own state.
	memoryDivisor = 4

	// reserveDivisor divides a limit; the quotient is left to urgent requests and to the control of the system.
	reserveDivisor = 8

	// garbageDivisor divides the limit; a collection is worth its time if it frees at least the quotient.
	garbageDivisor = 64
)

// Memory bounds the bytes that a process holds for its clients, whatever for. Each use has a limit of its own below it.
// Bytes that were released go on counting until the garbage collector has freed them: clients that make a process
// allocate faster than it collects would exceed its memory otherwise. A nil Memory has no bound.
type Memory struct {
	limit   int64
	collect func() // frees all that was released before the call; nil without a garbage collector

	collecting sync.Mutex // one collection at a time

	mu          sync.Mutex
	held        int64
	recent      int64 // bytes released since the last collection was reported
	older       int64 // bytes released before that, perhaps too late for that collection
	released    int64 // bytes released since the start
	collections int   // number of collections that collectGarbage has begun
}

// MemoryLimit returns the limit for all that a process with the given memory in bytes holds for its clients.
func MemoryLimit(memory int64) int64 { return memory / memoryDivisor }

// NewMemory returns a budget of limit bytes. collect runs the garbage collector; without it, released bytes are free at
// once.
func NewMemory(limit int64, collect func()) *Memory { return &Memory{limit: limit, collect: collect} }

// take counts n bytes if there is room for them now.
func (m *Memory) take(c Claim, n int64) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held+m.recent+m.older+n > c.available(m.limit) {
		return false
	}
	m.held += n
	return true
}

// Add counts n bytes that the process already holds, also beyond the limit. They leave less to the claims that follow.
func (m *Memory) Add(n int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held += n
}

// Release ends the holding of n bytes.
func (m *Memory) Release(n int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= n
	if m.collect != nil {
		m.recent += n
		m.released += n
	}
}

// Collected is called after each collection by the garbage collector. It frees what was released before that collection
// had begun.
func (m *Memory) Collected() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.older, m.recent = m.recent, 0
}

// collectGarbage frees what was released before the call, and reports whether it may be worth asking for bytes once more.
// It does not run the garbage collector if another call has begun a collection since, or if little would be freed.
// The caller holds no lock that others need in order to take or release bytes.
func (m *Memory) collectGarbage() bool {
	m.mu.Lock()
	begunBefore := m.collections
	m.mu.Unlock()
	m.collecting.Lock()
	defer m.collecting.Unlock()
	m.mu.Lock()
	releasedBefore, garbage, done := m.released, m.recent+m.older, m.collections != begunBefore
	worthwhile := !done && garbage >= m.limit/garbageDivisor
	if worthwhile {
		m.collections++
	}
	m.mu.Unlock()
	if !worthwhile {
		return done // another collection has begun since the call, and has ended
	}
	m.collect()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.older, m.recent = 0, m.released-releasedBefore
	return true
}

// Exceeded reports whether more bytes are held than the limit allows.
func (m *Memory) Exceeded() bool { return m != nil && m.Used() > m.limit }

// Used returns the number of bytes that are held.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}
