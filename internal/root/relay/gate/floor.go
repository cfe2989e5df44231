package gate

import (
	"slices"
	"time"
)

// floorShare is the part of the starts that each class gets while it waits, however busy the more urgent ones
// are.
const floorShare = 0.08

// startOwed starts requests of the classes that have waited for more than their part of the starts.
func (g *Controller) startOwed(now time.Time) (started []*Ticket) {
	for _, c := range g.classes {
		if c.owed < 1 || g.running >= g.slots {
			continue
		}
		for i, t := range c.queue {
			r := g.route(t.Route)
			if t.state == queued && r.open(t) && !now.Add(r.shortest()).After(t.Deadline) {
				c.queue = slices.Delete(c.queue, i, i+1)
				g.waiting--
				g.start(now, t, r)
				started = append(started, t)
				break
			}
		}
		c.owed = 0
	}
	return started
}

// owe counts a start for the less urgent classes that wait.
func (g *Controller) owe(t *Ticket) {
	own := g.class(t)
	own.owed = 0
	for _, c := range slices.Backward(g.classes) {
		if c == own {
			return
		}
		if len(c.queue) > 0 {
			c.owed += floorShare
		}
	}
}

// floorWait returns how long a new request of the class waits at most, because a part of the starts is its own.
func (g *Controller) floorWait(own *class) time.Duration {
	perSecond := float64(g.slots) / max(g.run, time.Microsecond).Seconds()
	return time.Duration(float64(len(own.queue)+1) / (perSecond * floorShare) * float64(time.Second))
}
