package gate

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type (
	// server runs what its gate admits, in steps of a millisecond.
	server struct {
		gate   *Controller
		now    time.Time
		open   []ending
		served map[string]int
		run    func(t *Ticket) (took time.Duration, lost bool)
	}

	// ending is a run that ends at a time, or whose answer never comes.
	ending struct {
		ticket *Ticket
		at     time.Time
		lost   bool
	}
)

func newServer(slots int, run func(t *Ticket) (took time.Duration, lost bool)) *server {
	return &server{gate: New(slots), now: t0, served: map[string]int{}, run: run}
}

func (s *server) begin(t *Ticket) {
	took, lost := s.run(t)
	s.open = append(s.open, ending{ticket: t, at: s.now.Add(took), lost: lost})
}

// step ends what is due and starts what waits; it returns the runs that are overdue.
func (s *server) step() (overdue int) {
	s.now = s.now.Add(time.Millisecond)
	s.open = slices.DeleteFunc(s.open, func(e ending) bool {
		switch {
		case e.lost && s.now.Before(e.ticket.Deadline), s.now.Before(e.at):
			return false
		case e.lost:
			s.gate.Done(s.now, e.ticket, Aborted{})
		default:
			s.served[e.ticket.Route]++
			s.gate.Done(s.now, e.ticket, Completed{})
		}
		return true
	})
	overdue = len(s.gate.ReclaimLost(s.now))
	started, _ := s.gate.Dispatch(s.now)
	for _, t := range started {
		s.begin(t)
	}
	return overdue
}

func (s *server) offer(route string, nested bool) {
	t := &Ticket{
		Route: route, Nested: nested, Rank: 1, Arrived: s.now,
		Objective: s.now.Add(300 * time.Millisecond), Deadline: s.now.Add(700 * time.Millisecond),
	}
	if _, ok := s.gate.Offer(s.now, t).(Admitted); ok {
		s.begin(t)
	}
}

// Replays a service whose servers lose 3 of 100 answers without a word: those runs hold their slots until
// the deadline of the request. Guards against a server that stands idle because all of its slots wait for lost
// answers, or because the wait for them counts as its run time.
func TestLostAnswersHoldNoSlots(t *testing.T) {
	const run, asked = 21 * time.Millisecond, 3000
	begun := 0
	s := newServer(35, func(*Ticket) (time.Duration, bool) {
		begun++
		return run, begun%33 == 7
	})
	for range asked {
		s.step()
		s.offer("inner", true)
	}
	assert.Assert(t, s.served["inner"] > asked*94/100, "%d of %d served", s.served["inner"], asked)
	mean := s.gate.route("inner").mean
	assert.Assert(t, mean < 2*run, "average run time %s", mean)
}

// Guards against answers of a server that has become slow being taken for lost: all of its runs last long.
func TestSlowRunsAreNotTakenForLost(t *testing.T) {
	slow := 0
	s := newServer(35, nil)
	s.run = func(*Ticket) (time.Duration, bool) {
		run := 20 * time.Millisecond
		if s.now.Sub(t0) > time.Second {
			run *= 12
			slow++
		}
		return run * time.Duration(80+slow*7%40) / 100, false
	}
	overdue := 0
	for range 4000 {
		overdue += s.step()
		s.offer("inner", false)
	}
	assert.Assert(t, slow > 300)
	assert.Equal(t, overdue, 0)
}
