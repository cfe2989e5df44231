package replay

import (
	"container/heap"
	"time"
)

type (
	// event is a function that runs at a simulated time; events of the same time run in the order in which they
	// were scheduled.
	event struct {
		at    int64 // Unix nanoseconds, which compare faster than time.Time
		order uint64
		run   func()
	}

	// eventHeap implements heap.Interface; the earliest event comes first.
	eventHeap []event

	// eventQueue holds the simulated time of a replay and the scheduled events.
	eventQueue struct {
		now       time.Time
		lastOrder uint64
		events    eventHeap
	}
)

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = event{}
	*h = (*h)[:len(*h)-1]
	return last
}

func (q *eventQueue) scheduleAfter(d time.Duration, run func()) { q.scheduleAt(q.now.Add(d), run) }

func (q *eventQueue) scheduleAt(at time.Time, run func()) {
	q.lastOrder++
	heap.Push(&q.events, event{at: at.UnixNano(), order: q.lastOrder, run: run})
}

// runUntil runs all events up to end and advances the simulated time to it.
func (q *eventQueue) runUntil(end time.Time) {
	for len(q.events) > 0 && q.events[0].at <= end.UnixNano() {
		next := heap.Pop(&q.events).(event)
		q.now = time.Unix(0, next.at)
		next.run()
	}
	q.now = end
}
