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
	// world offers requests at random times to a limiter and runs what it admits.
	world struct {
		l       *Limiter
		now     time.Time
		random  *rand.Rand
		due     []task // in order of time
		waiting []job
		asked   map[string]int
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

func newWorld(l *Limiter) *world {
	return &world{l: l, now: start, random: rand.New(rand.NewPCG(1, 1)), asked: map[string]int{}, refused: map[string]int{}}
}

func (w *world) after(d time.Duration, run func()) {
	at := w.now.Add(d)
	i, _ := slices.BinarySearchFunc(w.due, at, func(t task, at time.Time) int { return t.at.Compare(at) })
	w.due = slices.Insert(w.due, i, task{at, run})
}

// arrivals offers requests of an account that take the mean work, spread exponentially.
func (w *world) arrivals(account string, perSecond float64, work time.Duration) {
	w.after(time.Duration(w.random.ExpFloat64()/perSecond*1e9), func() {
		w.arrivals(account, perSecond, work)
		j := job{ticket(account, Normal), time.Duration(w.random.ExpFloat64() * float64(work))}
		j.tk.Deadline = w.now.Add(time.Hour)
		w.asked[account]++
		switch d := w.l.Offer(w.now, j.tk).(type) {
		case Admitted:
			w.start(j)
		case Refused:
			w.refused[account]++
		case Queued:
			w.waiting = append(w.waiting, j)
			w.after(d.Until.Sub(w.now), func() { w.poll(j.tk) })
		}
		w.poll(nil)
	})
}

func (w *world) start(j job) {
	w.after(j.work, func() {
		w.l.Done(w.now, j.tk, Completed{Latency: j.work})
		w.poll(nil)
	})
}

// poll takes the verdicts of waiting requests and ends the wait of one.
func (w *world) poll(overdue *Ticket) {
	w.waiting = slices.DeleteFunc(w.waiting, func(j job) bool {
		var verdict Decision
		select {
		case verdict = <-j.tk.verdict:
		default:
			if j.tk != overdue {
				return false
			}
			verdict = w.l.Expire(w.now, j.tk)
		}
		if _, ok := verdict.(Admitted); ok {
			w.start(j)
		} else {
			w.refused[j.tk.Account]++
		}
		return true
	})
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.due[0].at.Before(end); {
		next := w.due[0]
		w.due = w.due[1:]
		w.now = next.at
		next.run()
	}
}

// Guards against requests refused without need at moderate load (M4), where latencies spread widely
// enough that their lowest mean is far below the usual one. The first 5 s are the cold start.
func TestModerateLoadIsNotRefused(t *testing.T) {
	for _, slots := range []int{30, 110} {
		for _, work := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond} {
			for _, used := range []float64{0.5, 0.7} {
				w := newWorld(NewLimiter(start, slots))
				w.arrivals("a", used*float64(slots)/work.Seconds(), work)
				w.run(5 * time.Second)
				clear(w.refused)
				w.run(40 * time.Second)
				// With 30 slots at 70%, more than the 15 places of the queue are needed 0.014% of the time,
				// and of the 3% that wait, a tenth waits for over 100 ms if the work takes 400 ms.
				bound := w.asked["a"] / 1000
				if work > queueWait {
					bound += w.asked["a"] * 3 / 1000
				}
				assert.Assert(t, w.refused["a"] <= bound, "%d slots, %v, %.0f%% used: %d of %d", slots, work, 100*used, w.refused["a"], w.asked["a"])
			}
		}
	}
}

// Guards against an account that fills the queue or takes every free slot of an overloaded server: one
// account offers five times as much as each of the others, which ask for less than their part.
func TestOneAccountAtFiveTimesItsShare(t *testing.T) {
	w := newWorld(warm(20))
	// 20 slots of 40 ms can do 500/s; four accounts ask for 80/s each and one for 400/s.
	for i := range 4 {
		w.arrivals(fmt.Sprint(i), 80, 40*time.Millisecond)
	}
	w.arrivals("big", 400, 40*time.Millisecond)
	w.run(20 * time.Second)
	for i := range 4 {
		asked, refused := w.asked[fmt.Sprint(i)], w.refused[fmt.Sprint(i)]
		assert.Assert(t, refused <= asked/100, "%d of %d refused", refused, asked)
	}
	assert.Assert(t, w.refused["big"] > 1000, "the server has to be overloaded, %d refused", w.refused["big"])
}
