package replay

import (
	"container/heap"
	"time"
)

type (
	// event is a function to run at a time; events at the same time run in the order they were added.
	event struct {
		at    int64 // Unix nanoseconds, which compare faster than time.Time
		order uint64
		run   func()
	}

	events []event

	// queue is the explicit time of a replay and what is due in it.
	queue struct {
		now    time.Time
		added  uint64
		events events
	}
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

func (q *queue) after(d time.Duration, run func()) { q.at(q.now.Add(d), run) }

func (q *queue) at(at time.Time, run func()) {
	q.added++
	heap.Push(&q.events, event{at: at.UnixNano(), order: q.added, run: run})
}

// runUntil runs all events up to a time.
func (q *queue) runUntil(end time.Time) {
	for len(q.events) > 0 && q.events[0].at <= end.UnixNano() {
		next := heap.Pop(&q.events).(event)
		q.now = time.Unix(0, next.at)
		next.run()
	}
	q.now = end
}
