package gate

import "time"

// A run is overdue, and its answer taken for lost, after overdueRuns average runs once overtakenBy runs of its
// route that started later have ended. Both tell it from a server that is slow. Before minOverdue a run may only
// have met a pause of its machine.
const (
	overdueRuns = 6
	overtakenBy = 16
	minOverdue  = 100 * time.Millisecond
)

// Started returns when the request got its slot.
func (t *Ticket) Started() time.Time { return t.started }

// Overdue returns the runs whose answer is taken for lost from now on, and gives their slots to others.
// Done has to be called for them nevertheless.
func (g *Controller) ReclaimLost(now time.Time) []*Ticket {
	var all []*Ticket
	for _, r := range g.routes {
		for _, t := range r.running {
			if g.overdue >= g.slots/2 || now.Sub(t.started) < max(overdueRuns*r.mean, minOverdue) {
				break
			}
			if t.overdue || t.overtaken < overtakenBy {
				continue
			}
			t.overdue = true
			g.overdue++
			g.running--
			r.inFlight--
			all = append(all, t)
		}
	}
	return all
}
