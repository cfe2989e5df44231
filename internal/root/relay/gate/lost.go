package gate

import "time"

// The response of a run counts as lost after lostAfterRuns average run times once lostAfterOvertakes runs of its
// route that started later have completed. The two conditions together distinguish it from a run in a slow
// server. A run younger than minLostAge may only have been delayed by a pause of its machine.
const (
	lostAfterRuns      = 6
	lostAfterOvertakes = 16
	minLostAge         = 100 * time.Millisecond
)

// Started returns the time at which the request got its slot.
func (t *Ticket) Started() time.Time { return t.started }

// ReclaimLost returns the runs whose response counts as lost from now on, and frees their slots. The caller
// must still call Done for them.
func (g *Controller) ReclaimLost(now time.Time) []*Ticket {
	var reclaimed []*Ticket
	for _, r := range g.routes {
		for _, t := range r.running {
			if g.lost >= g.slots/2 || now.Sub(t.started) < max(lostAfterRuns*r.meanRunTime, minLostAge) {
				break
			}
			if t.lost || t.overtaken < lostAfterOvertakes {
				continue
			}
			t.lost = true
			g.lost++
			g.running--
			r.inFlight--
			reclaimed = append(reclaimed, t)
		}
	}
	return reclaimed
}
