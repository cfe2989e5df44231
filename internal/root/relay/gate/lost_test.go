package gate

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type (
	// server simulates a server that runs the requests that its admission controller starts, in steps of a
	// millisecond.
	server struct {
		controller *Controller
		now        time.Time
		inFlight   []activeRun
		served     map[string]int
		run        func(t *Ticket) (duration time.Duration, lost bool)
	}

	// activeRun is a run that ends at the given time, or whose response is lost.
	activeRun struct {
		ticket *Ticket
		at     time.Time
		lost   bool
	}
)

func newServer(slots int, run func(t *Ticket) (duration time.Duration, lost bool)) *server {
	return &server{controller: New(slots), now: t0, served: map[string]int{}, run: run}
}

func (s *server) begin(t *Ticket) {
	duration, lost := s.run(t)
	s.inFlight = append(s.inFlight, activeRun{ticket: t, at: s.now.Add(duration), lost: lost})
}

// step advances the time, ends the runs that are due and starts queued requests. It returns the number of runs
// whose response counts as lost from now on.
func (s *server) step() (reclaimed int) {
	s.now = s.now.Add(time.Millisecond)
	s.inFlight = slices.DeleteFunc(s.inFlight, func(r activeRun) bool {
		switch {
		case r.lost && s.now.Before(r.ticket.Deadline), s.now.Before(r.at):
			return false
		case r.lost:
			s.controller.Done(s.now, r.ticket, Aborted{})
		default:
			s.served[r.ticket.Route]++
			s.controller.Done(s.now, r.ticket, Completed{})
		}
		return true
	})
	reclaimed = len(s.controller.ReclaimLost(s.now))
	started, _ := s.controller.Dispatch(s.now)
	for _, t := range started {
		s.begin(t)
	}
	return reclaimed
}

func (s *server) offer(route string, nested bool) {
	t := &Ticket{
		Route: route, Nested: nested, Rank: 1, Arrived: s.now,
		Objective: s.now.Add(300 * time.Millisecond), Deadline: s.now.Add(700 * time.Millisecond),
	}
	if _, ok := s.controller.Offer(s.now, t).(Admitted); ok {
		s.begin(t)
	}
}

// Simulates a service whose servers lose 3 of 100 responses without an error: those runs hold their slots until
// the deadline of the request. Guards against a server that is idle because all of its slots wait for lost
// responses, or because the wait for them is counted as its run time.
func TestLostResponsesHoldNoSlots(t *testing.T) {
	const run, offered = 21 * time.Millisecond, 3000
	begun := 0
	s := newServer(35, func(*Ticket) (time.Duration, bool) {
		begun++
		return run, begun%33 == 7
	})
	for range offered {
		s.step()
		s.offer("inner", true)
	}
	assert.Assert(t, s.served["inner"] > offered*94/100, "%d of %d served", s.served["inner"], offered)
	mean := s.controller.route("inner").meanRunTime
	assert.Assert(t, mean < 2*run, "average run time %s", mean)
}

// Guards against counting the responses of a server that has become slow as lost: all of its runs take long.
func TestSlowRunsDoNotCountAsLost(t *testing.T) {
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
	reclaimed := 0
	for range 4000 {
		reclaimed += s.step()
		s.offer("inner", false)
	}
	assert.Assert(t, slow > 300)
	assert.Equal(t, reclaimed, 0)
}
