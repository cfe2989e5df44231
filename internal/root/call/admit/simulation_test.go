package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type (
	// simulation offers requests to a limiter at random times and runs those that it admits.
	simulation struct {
		l       *Limiter
		now     time.Time
		random  *rand.Rand
		due     []task // in order of time
		waiting []job
		offered map[string]int
		refused map[string]int
	}

	task struct {
		at  time.Time
		run func()
	}

	job struct {
		tk   *Ticket
		work time.Duration
	}
)

func newSimulation(l *Limiter) *simulation {
	return &simulation{l: l, now: start, random: rand.New(rand.NewPCG(1, 1)), offered: map[string]int{}, refused: map[string]int{}}
}

func (s *simulation) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.due, at, func(t task, at time.Time) int { return t.at.Compare(at) })
	s.due = slices.Insert(s.due, i, task{at, run})
}

// arrivals offers requests of an account; the times between them and their work are exponentially distributed,
// the latter with the mean work.
func (s *simulation) arrivals(account string, perSecond float64, work time.Duration) {
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*1e9), func() {
		s.arrivals(account, perSecond, work)
		j := job{ticket(account, Normal), time.Duration(s.random.ExpFloat64() * float64(work))}
		j.tk.Deadline = s.now.Add(time.Hour)
		s.offered[account]++
		switch d := s.l.Offer(s.now, j.tk).(type) {
		case Admitted:
			s.start(j)
		case Refused:
			s.refused[account]++
		case Queued:
			s.waiting = append(s.waiting, j)
			s.after(d.Until.Sub(s.now), func() { s.poll(j.tk) })
		}
		s.poll(nil)
	})
}

func (s *simulation) start(j job) {
	s.after(j.work, func() {
		s.l.Done(s.now, j.tk, Completed{Latency: j.work})
		s.poll(nil)
	})
}

// poll receives the decisions for waiting requests and ends the wait of the overdue one.
func (s *simulation) poll(overdue *Ticket) {
	s.waiting = slices.DeleteFunc(s.waiting, func(j job) bool {
		var verdict Decision
		select {
		case verdict = <-j.tk.verdict:
		default:
			if j.tk != overdue {
				return false
			}
			verdict = s.l.Expire(s.now, j.tk)
		}
		if _, ok := verdict.(Admitted); ok {
			s.start(j)
		} else {
			s.refused[j.tk.Account]++
		}
		return true
	})
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.due[0].at.Before(end); {
		next := s.due[0]
		s.due = s.due[1:]
		s.now = next.at
		next.run()
	}
}

// Guards against requests refused at moderate load (M4): latencies vary so widely that their lowest mean, the
// reference, is far below the usual mean. The first 5 s are the cold start and are not counted.
func TestModerateLoadIsNotRefused(t *testing.T) {
	for _, slots := range []int{30, 110} {
		for _, work := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond} {
			for _, used := range []float64{0.5, 0.7} {
				s := newSimulation(NewLimiter(start, slots))
				s.arrivals("a", used*float64(slots)/work.Seconds(), work)
				s.run(5 * time.Second)
				clear(s.refused)
				s.run(40 * time.Second)
				// With 30 slots at 70%, more than the 15 places of the queue are needed 0.014% of the time,
				// and of the 3% that wait, a tenth waits for over 100 ms if the work takes 400 ms.
				bound := s.offered["a"] / 1000
				if work > maxQueueWait {
					bound += s.offered["a"] * 3 / 1000
				}
				assert.Assert(t, s.refused["a"] <= bound, "%d slots, %v, %.0f%% used: %d of %d", slots, work, 100*used, s.refused["a"], s.offered["a"])
			}
		}
	}
}

// Guards against an account that fills the queue or takes every free slot of an overloaded server: one
// account offers five times as much as each of the others, which need less than their share.
func TestOneAccountAtFiveTimesItsShare(t *testing.T) {
	s := newSimulation(warm(20))
	// 20 slots serve 500/s at 40 ms each; four accounts offer 80/s each and one offers 400/s.
	for i := range 4 {
		s.arrivals(fmt.Sprint(i), 80, 40*time.Millisecond)
	}
	s.arrivals("big", 400, 40*time.Millisecond)
	s.run(20 * time.Second)
	for i := range 4 {
		offered, refused := s.offered[fmt.Sprint(i)], s.refused[fmt.Sprint(i)]
		assert.Assert(t, refused <= offered/100, "%d of %d refused", refused, offered)
	}
	assert.Assert(t, s.refused["big"] > 1000, "the server has to be overloaded, %d refused", s.refused["big"])
}
