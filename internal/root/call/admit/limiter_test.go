package admit

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

var start = time.Unix(1_000_000, 0)

func ticket(account string, importance Importance) *Ticket {
	return &Ticket{Account: account, Weight: 1, Route: "r", Importance: importance, Deadline: start.Add(time.Hour)}
}

// warm returns a limiter whose limit is all of its slots.
func warm(slots int) *Limiter {
	l := NewLimiter(start, slots)
	l.limit.value = float64(slots)
	return l
}

func fill(t *testing.T, l *Limiter, account string, n int) []*Ticket {
	var tickets []*Ticket
	for range n {
		tk := ticket(account, Normal)
		_, ok := l.Offer(start, tk).(Admitted)
		assert.Assert(t, ok)
		tickets = append(tickets, tk)
	}
	return tickets
}

func granted(tk *Ticket) bool {
	select {
	case d := <-tk.verdict:
		_, ok := d.(Admitted)
		return ok
	default:
		return false
	}
}

// Guards against an unbounded queue, and against evicting important requests before less important ones.
func TestQueueEvictsLeastImportant(t *testing.T) {
	l := warm(20)
	held := fill(t, l, "a", 20)
	offer := func(importance Importance) (*Ticket, bool) {
		tk := ticket("a", importance)
		_, ok := l.Offer(start, tk).(Queued)
		return tk, ok
	}
	var bulk []*Ticket
	for range 10 {
		tk, ok := offer(Bulk)
		assert.Assert(t, ok)
		bulk = append(bulk, tk)
	}
	assert.Equal(t, l.Offer(start, ticket("a", Bulk)), Decision(Refused{Failure: retry.QueueFull{}}))
	normal, ok := offer(Normal)
	assert.Assert(t, ok)
	assert.Equal(t, <-bulk[9].verdict, Decision(Refused{Failure: retry.QueueFull{}}))
	assert.Equal(t, l.Expire(start, bulk[9]), Decision(Refused{Failure: retry.QueueFull{}}))
	critical, ok := offer(Critical)
	assert.Assert(t, ok)
	assert.Equal(t, l.Load(start), Load{Limit: 20, InFlight: 20, Waiting: 10})
	l.Done(start, held[0], Completed{})
	assert.Assert(t, granted(critical))
	l.Done(start, held[1], Completed{})
	assert.Assert(t, !granted(normal), "one slot is now reserved for another critical request")
	for i, want := range []*Ticket{normal, bulk[0]} {
		l.Done(start, held[2+i], Completed{})
		assert.Assert(t, granted(want), "grant %d", i)
	}
}

// Guards against a ticket that waits longer than its share of the deadline, and against a slot that is lost
// when it is granted at the same time as the wait ends.
func TestQueueTimeoutAndCancel(t *testing.T) {
	l := warm(10)
	held := fill(t, l, "a", 10)
	late, short, gone := ticket("a", Normal), ticket("a", Normal), ticket("a", Normal)
	short.Deadline = start.Add(60 * time.Millisecond)
	assert.Equal(t, l.Offer(start, late).(Queued).Until, start.Add(100*time.Millisecond))
	assert.Equal(t, l.Offer(start, short).(Queued).Until, start.Add(30*time.Millisecond))
	assert.Assert(t, l.Offer(start, gone).(Queued).Verdict != nil)
	passed := ticket("a", Normal)
	passed.Deadline = start
	assert.Equal(t, l.Offer(start, passed), Decision(Refused{Failure: retry.DeadlineBefore{}}))
	assert.Equal(t, l.Expire(start, short), Decision(Refused{Failure: retry.QueueTimeout{}}))
	l.Done(start, held[0], Completed{})
	assert.Equal(t, l.Expire(start, late), Decision(Admitted{}), "the slot was granted before the wait ended")
	l.Cancel(start, gone)
	l.Cancel(start, late)
	l.Cancel(start, late)
	assert.Equal(t, l.Load(start), Load{Limit: 10, InFlight: 9})
}

// Guards against a deadlock of a service that calls itself and waits for its own slots. Chains of ten calls
// share 24 slots and arrive faster than they can finish; nearly every chain that got its first slot has to
// finish.
func TestChainThroughOneServiceDoesNotBlock(t *testing.T) {
	l := warm(24)
	type chain struct {
		tickets []*Ticket
		waiting *Ticket
	}
	var live []*chain
	finished, failed := 0, 0
	for step := range 4000 {
		now := start.Add(time.Duration(step) * time.Millisecond)
		parent := ticket("a", Normal)
		parent.Deadline = now.Add(time.Hour)
		if _, ok := l.Offer(now, parent).(Admitted); ok {
			live = append(live, &chain{tickets: []*Ticket{parent}})
		} else {
			l.Cancel(now, parent)
		}
		remaining := live[:0]
		for _, c := range live {
			endChain := func(r Result) {
				for i := len(c.tickets) - 1; i >= 0; i-- {
					l.Done(now, c.tickets[i], r)
				}
			}
			if c.waiting != nil {
				if granted(c.waiting) {
					c.tickets, c.waiting = append(c.tickets, c.waiting), nil
				} else if now.Sub(c.waiting.Deadline.Add(-time.Hour)) >= maxQueueWait {
					if _, ok := l.Expire(now, c.waiting).(Admitted); !ok {
						failed++
						endChain(Completed{Latency: time.Millisecond})
						continue
					}
					c.tickets, c.waiting = append(c.tickets, c.waiting), nil
				}
				remaining = append(remaining, c)
				continue
			}
			if len(c.tickets) == 10 {
				finished++
				endChain(Completed{Latency: time.Millisecond})
				continue
			}
			nested := ticket("a", Normal)
			nested.HeldSlots, nested.Deadline = uint8(len(c.tickets)), now.Add(time.Hour)
			switch l.Offer(now, nested).(type) {
			case Admitted:
				c.tickets = append(c.tickets, nested)
			case Queued:
				c.waiting = nested
			case Refused:
				failed++
				endChain(Completed{Latency: time.Millisecond})
				continue
			}
			remaining = append(remaining, c)
		}
		live = remaining
	}
	// 24 slots hold two whole chains of ten calls that take 10 ms each: 4 s are enough for 500 of them.
	assert.Assert(t, finished >= 250, "%d finished, %d failed", finished, failed)
	assert.Assert(t, failed <= finished/10, "%d finished, %d failed", finished, failed)
}

// Guards against normal requests that take the slots reserved for critical ones, and against a reserve that
// stays unused in a service without critical requests.
func TestCriticalReserve(t *testing.T) {
	l := warm(100)
	fill(t, l, "a", 100)
	l = warm(100)
	l.Done(start, func() *Ticket { tk := ticket("a", Critical); l.Offer(start, tk); return tk }(), Completed{})
	for range 10 {
		tk := ticket("a", Critical)
		l.Offer(start, tk)
		defer l.Done(start, tk, Completed{})
	}
	fill(t, l, "a", 90)
	_, ok := l.Offer(start, ticket("a", Normal)).(Queued)
	assert.Assert(t, ok)
	assert.Equal(t, l.criticalReserve(), 10)
}

// Guards against slots that are lost or freed twice: after any sequence of operations the limiter counts each
// running request once and no waiting ticket fits, and after the end of all requests no slot is in use.
func TestRandomOperations(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 3))
		l := NewLimiter(start, 1+random.IntN(40))
		now := start
		var open []*Ticket
		for range 3000 {
			now = now.Add(time.Duration(random.IntN(3_000_000)))
			if random.IntN(2) == 0 {
				tk := ticket(fmt.Sprint(random.IntN(5)), Importance(random.IntN(importanceCount)))
				tk.HeldSlots, tk.Deadline = uint8(max(0, random.IntN(12)-8)), now.Add(time.Duration(random.IntN(400))*time.Millisecond)
				if _, ok := l.Offer(now, tk).(Refused); !ok {
					open = append(open, tk)
				}
			} else if len(open) > 0 {
				i := random.IntN(len(open))
				tk := open[i]
				switch {
				case tk.phase == queued && random.IntN(2) == 0:
					l.Expire(now, tk)
				case random.IntN(9) == 0:
					l.Cancel(now, tk)
				default:
					l.Done(now, tk, []Result{Completed{Latency: time.Duration(random.IntN(1e8))}, Shed{}, Expired{Latency: time.Second}, Lost{}}[random.IntN(4)])
				}
				if tk.phase != running {
					open = append(open[:i], open[i+1:]...)
				}
			}
			inFlight := 0
			for _, tk := range open {
				if tk.phase == running {
					inFlight++
				}
			}
			assert.Equal(t, l.inFlight, inFlight, "seed %d", seed)
			assert.Assert(t, inFlight <= l.limit.slots && l.limit.wholeSlots() >= 1)
			for _, tk := range l.queue {
				assert.Assert(t, tk.phase == queued && !l.fits(tk), "seed %d: a waiting ticket fits", seed)
			}
		}
		for _, tk := range open {
			l.Cancel(now, tk)
		}
		assert.Equal(t, l.Load(start), Load{Limit: l.limit.wholeSlots()})
	}
}

// Guards against data races, and against waiting requests that never receive a decision.
func TestConcurrentCallers(t *testing.T) {
	l := warm(3)
	var callers sync.WaitGroup
	for i := range 10 {
		callers.Go(func() {
			for range 200 {
				tk := ticket(fmt.Sprint(i), Importance(i%importanceCount))
				d := l.Offer(start, tk)
				if q, ok := d.(Queued); ok {
					d = <-q.Verdict
				}
				if _, ok := d.(Admitted); ok {
					l.Done(start, tk, Completed{Latency: time.Millisecond})
				}
			}
		})
	}
	callers.Wait()
	assert.Equal(t, l.Load(start), Load{Limit: 3})
}

func BenchmarkOfferDone(b *testing.B) {
	for _, waiting := range []int{0, 50} {
		b.Run(fmt.Sprint(waiting, "-waiting"), func(b *testing.B) {
			l := warm(110)
			now := start
			if waiting > 0 {
				for i := range 110 + waiting {
					l.Offer(now, ticket(fmt.Sprint("a", i%8), Normal))
				}
			}
			tk := Ticket{Account: "a1", Weight: 1, Route: "r", Deadline: start.Add(time.Hour)}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				l.Offer(now, &tk)
				l.Done(now, &tk, Completed{Latency: time.Millisecond})
			}
		})
	}
}
