package gate

import "time"

// mayStart reports whether the server can take the request now. If so, the request counts against the rate of a cold
// server, and the caller has to start it.
func (g *Controller) mayStart(now time.Time, t *Ticket, r *route) bool {
	if !g.canStart(now, t, r) {
		return false
	}
	g.pace(now, t)
	return true
}

// pace counts the start of a request that canStart allows against the rate of a cold server.
func (g *Controller) pace(now time.Time, t *Ticket) {
	g.Cold.Take(now)
	t.paced = g.Cold.Cold(now)
}

// canStart is mayStart without the counting.
func (g *Controller) canStart(now time.Time, t *Ticket, r *route) bool {
	_, delayed := g.Cold.NextStart(now)
	return g.running < g.slots && r.hasCapacity(t) && !delayed
}

// Confirm reports whether a request that has started may still be sent to the server. A server that has turned cold
// since the start gets the request only within its rate; otherwise the caller must call Done and offer the
// request again.
func (g *Controller) Confirm(now time.Time, t *Ticket) bool {
	if t.paced || !g.Cold.Cold(now) {
		return true
	}
	t.paced = g.Cold.Take(now)
	return t.paced
}

// coldWait returns the predicted wait of a new request of the class for a start within the rate of a cold server, while
// requests of more urgent classes keep arriving. It is zero for a warm server.
func (g *Controller) coldWait(now time.Time, target *class, ahead int) time.Duration {
	if !g.Cold.Cold(now) {
		return 0
	}
	available := g.Cold.Rate - g.urgentArrivals(now, target)
	return g.Cold.Wait(now, ahead, max(available/g.Cold.Rate, minStartShare))
}

// urgentArrivals returns the requests per second that arrive in the classes before the target.
func (g *Controller) urgentArrivals(now time.Time, target *class) float64 {
	sum := 0.0
	for _, c := range g.classes {
		if !c.before(target) {
			break
		}
		sum += c.arrivals.current(now)
	}
	return sum
}
