package simul

import (
	"container/heap"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
)

// proposalInterval is the time between two proposals to each leader.
const proposalInterval = 40 * time.Millisecond

// epoch is the virtual time at the start of a schedule.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type (
	// event happens at a virtual time.
	event interface{ event() }

	// delivery is the arrival of a message.
	delivery struct {
		to      string
		message raft.Message
	}

	// writeDone is the end of the first pending write of a process.
	writeDone struct{ process *process }

	// snapshotEncoded is the end of the encoding of a snapshot.
	snapshotEncoded struct {
		process *process
		taken   raft.SnapshotTaken
	}

	// start is the start of a member that is down.
	start struct{ member *member }

	// stopPoll checks whether a process that stops may end.
	stopPoll struct {
		process *process
		until   time.Duration
		restart time.Duration // time from the end to the next start, negative for never
	}

	// stopRequest is the stop of a member that starts again.
	stopRequest struct {
		member  *member
		restart time.Duration
	}

	// arrival is the start of a new member.
	arrival struct{}

	// scheduled is an event and its time; number orders the events of the same time.
	scheduled struct {
		at     time.Duration
		number uint64
		event  event
	}

	// eventQueue is a heap of events by time.
	eventQueue []scheduled
)

func (delivery) event()        {}
func (writeDone) event()       {}
func (snapshotEncoded) event() {}
func (start) event()           {}
func (stopPoll) event()        {}
func (stopRequest) event()     {}
func (arrival) event()         {}

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// schedule lets ev happen after a delay.
func (g *group) schedule(after time.Duration, ev event) {
	g.eventCount++
	heap.Push(&g.queue, scheduled{at: g.now + after, number: g.eventCount, event: ev})
}

// run simulates the group until the given time, or until the acknowledgement that the final fault follows.
func (g *group) run(until time.Duration) {
	for !g.losses.due || g.losses.struck {
		next, due := g.nextTick()
		if g.nextProposal < next {
			next, due = g.nextProposal, nil
		}
		isEvent := len(g.queue) > 0 && g.queue[0].at <= next
		if isEvent {
			next = g.queue[0].at
		}
		if next > until {
			g.now = until
			return
		}
		g.now = max(g.now, next)
		switch {
		case isEvent:
			g.handleEvent(heap.Pop(&g.queue).(scheduled))
		case due != nil:
			g.tick(due)
		default:
			g.nextProposal = g.now + proposalInterval
			g.propose()
		}
	}
}

// nextTick returns the earliest deadline of a member and that member.
func (g *group) nextTick() (time.Duration, *member) {
	earliest, due := time.Duration(1<<62), (*member)(nil)
	for _, m := range g.members {
		if m.process == nil {
			continue
		}
		if at := max(m.process.deadline.Sub(epoch)-m.clockOffset, m.frozenUntil); at < earliest {
			earliest, due = at, m
		}
	}
	return earliest, due
}

// handleEvent delays an event of a frozen member until it runs again.
func (g *group) handleEvent(s scheduled) {
	m := g.recipient(s.event)
	if m != nil && m.frozenUntil > g.now {
		s.at = m.frozenUntil
		heap.Push(&g.queue, s)
		return
	}
	switch ev := s.event.(type) {
	case delivery:
		if m != nil && m.process != nil {
			g.step(m, raft.MessageReceived{Message: ev.message})
		}
	case writeDone:
		g.finishWrite(ev.process)
	case snapshotEncoded:
		if m.process == ev.process {
			g.step(m, ev.taken)
		}
	case start:
		g.start(ev.member)
	case stopPoll:
		g.pollStop(ev)
	case stopRequest:
		g.stopInTurn(ev)
	case arrival:
		g.join()
	}
}

// recipient returns the member that handles an event, or nil.
func (g *group) recipient(ev event) *member {
	switch ev := ev.(type) {
	case delivery:
		return g.member(ev.to)
	case writeDone:
		return ev.process.member
	case snapshotEncoded:
		return ev.process.member
	case start:
		return ev.member
	case stopPoll:
		return ev.process.member
	case stopRequest:
		return ev.member
	case arrival:
	}
	return nil
}
