package gate

import (
	"slices"
	"time"
)

// minStartShare is the share of the starts that each class with queued requests gets, regardless of the load of
// the more urgent classes.
const minStartShare = 0.08

// startStarved starts one request of each class that has received less than its share of the starts.
func (g *Controller) startStarved(now time.Time) (started []*Ticket) {
	for _, c := range g.classes {
		if _, delayed := g.Cold.NextStart(now); delayed || c.deficit < 1 || g.running >= g.slots {
			continue
		}
		for i, t := range c.queue {
			r := g.route(t.Route)
			if t.state == queued && !now.Add(r.minRunTime()).After(t.Deadline) && g.mayStart(now, t, r) {
				c.queue = slices.Delete(c.queue, i, i+1)
				g.waiting--
				g.start(now, t, r)
				started = append(started, t)
				break
			}
		}
		c.deficit = 0
	}
	return started
}

// addDeficits adds the share of one start to each less urgent class with queued requests.
func (g *Controller) addDeficits(t *Ticket) {
	startedClass := g.class(t)
	startedClass.deficit = 0
	for _, c := range slices.Backward(g.classes) {
		if c == startedClass {
			return
		}
		if len(c.queue) > 0 {
			c.deficit += minStartShare
		}
	}
}

// maxClassWait returns the longest wait of a new request of the class, which follows from its guaranteed share
// of the starts.
func (g *Controller) maxClassWait(target *class) time.Duration {
	perSecond := float64(g.slots) / max(g.runTime, time.Microsecond).Seconds()
	return time.Duration(float64(len(target.queue)+1) / (perSecond * minStartShare) * float64(time.Second))
}
