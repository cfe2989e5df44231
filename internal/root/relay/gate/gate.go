package gate

import (
	"math"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
)

const (
	// maxQueued bounds the queue; a request in a longer queue could not meet any objective.
	maxQueued = 2048

	// reserveShare is the share of a server's slots that is left free, because servers get slower when nearly
	// all of their slots are taken. A server with fewer than minSlotsForReserve slots keeps none free.
	reserveShare       = 0.055
	minSlotsForReserve = 16

	// runTimeWeight is the weight of one run in the average run time of a route.
	runTimeWeight = 0.08

	// rateWindow is the time constant of the average of arrivals.
	rateWindow = time.Second

	// nestedTimeShare is the share of its objective that a nested call may spend waiting and running: its parent
	// request makes several calls, and has a deadline of its own.
	nestedTimeShare = 0.7

	// runTimeMargin is the factor on the average run time in predictions, and timeShare the share of a
	// request's time that the predicted wait and run may take, because run times vary.
	runTimeMargin = 1.2
	timeShare     = 0.85

	// minCongestionRun is the shortest run time that a wait is divided by to get the congestion.
	minCongestionRun = 20 * time.Millisecond

	// congestionRiseTime and congestionFallTime are the time constants of the average of the congestion that
	// calls report, while it grows and while it falls. After congestionHoldTime without a call it decays.
	congestionRiseTime = 60 * time.Millisecond
	congestionFallTime = 250 * time.Millisecond
	congestionHoldTime = 400 * time.Millisecond

	// minRetryAfter and maxRetryAfter bound the retry delay that a refusal advises.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

type (
	// Ticket is one request at the admission controller. The caller sets the exported fields.
	Ticket struct {
		RequestID string // for the log
		Route     string
		Nested    bool      // a call of another backend server, whose parent request already holds a slot
		Rank      int       // 0 is the most urgent
		Arrived   time.Time // at the first daemon
		Objective time.Time // responses until then count in full
		Deadline  time.Time // later responses are of no use to the caller

		state     state
		started   time.Time
		overtaken int  // runs of its route that started later and have completed
		lost      bool // its response counts as lost
		paced     bool // it started within the rate of a cold server
	}

	// Decision is Admitted, Queued or Refused.
	Decision interface{ decision() }

	// Admitted is the decision to start the request at once.
	Admitted struct{}

	// Queued is the decision to keep the request until Dispatch returns it; Wait is the predicted wait. Cold is set
	// if the request waits because the server is cold.
	Queued struct {
		Wait time.Duration
		Cold bool
	}

	// Refused is the decision not to serve the request; a retry may succeed after RetryAfter. Cold is set if the wait is
	// too long because the server is cold.
	Refused struct {
		RetryAfter time.Duration
		Wait       time.Duration // predicted
		Cold       bool
	}

	// Result is Completed, Streamed, Shed or Aborted.
	Result interface{ result() }

	// Completed is a run that ended with the server's response.
	Completed struct{}

	// Streamed is a run whose response was passed on as its caller read it. The time that this took is no run time.
	Streamed struct{}

	// Shed is a request that the server refused after the controller had admitted it.
	Shed struct{}

	// Aborted is a run whose caller disconnected, whose deadline passed or whose response was lost.
	Aborted struct{}

	// Load is the load of a backend server as reported to the daemons that balance requests among servers.
	Load struct {
		Wait    time.Duration // predicted for another request like the given one
		Run     time.Duration // average run time of its route, zero before the first run
		Running int
		Waiting int
		Slots   int
		// Congestion is the predicted wait of a nested call divided by the run time, or the congestion of the
		// services that this server calls if it is greater. At 1 a call takes twice as long as without load.
		Congestion float64
		// Arrivals is the rate per second of requests that were started or queued.
		Arrivals float64
		MeanRun  time.Duration // average run time of all routes, zero before the first run
		ColdRate float64       // starts per second while the server is cold, zero for no limit
		ColdFor  time.Duration // how long that rate applies, zero for a warm server
	}

	// Controller admits the requests of one incarnation of a backend server. It is not safe for concurrent
	// use.
	Controller struct {
		// Cold limits the starts while the server is cold.
		Cold *warmup.Limiter

		slots    int // usable, without the reserve
		running  int
		lost     int // runs in the server that no longer count in running
		waiting  int
		classes  []*class // the most urgent first
		routes   map[string]*route
		runTime  time.Duration // average over all routes
		accepted rate

		downstream   float64 // average congestion that calls of this server reported
		downstreamAt time.Time
	}

	// class is the queue of the requests that are equally urgent.
	class struct {
		nested   bool
		rank     int
		queue    []*Ticket
		arrivals rate
		deficit  float64 // starts that the class is due for its guaranteed share
	}

	// rate is an average of events per second that decays with time.
	rate struct {
		value   float64
		updated time.Time
	}

	state uint8
)

const (
	idle state = iota
	queued
	running
	done
)

func (Admitted) decision() {}
func (Queued) decision()   {}
func (Refused) decision()  {}

func (Completed) result() {}
func (Streamed) result()  {}
func (Shed) result()      {}
func (Aborted) result()   {}

// New returns the admission controller of a server with the given number of slots.
func New(slots int) *Controller {
	return &Controller{Cold: &warmup.Limiter{}, slots: usableSlots(slots), routes: map[string]*route{}}
}

// SetSlots changes the number of slots of the server.
func (g *Controller) SetSlots(slots int) { g.slots = usableSlots(slots) }

// usableSlots returns the number of slots without the reserve.
func usableSlots(slots int) int {
	if slots < minSlotsForReserve {
		return max(slots, 1)
	}
	return slots - int(math.Ceil(reserveShare*float64(slots)))
}

// Offer decides about a request that has just arrived. A request that cannot be served in time is refused at
// once, so that its caller can retry elsewhere or later without having lost time in the queue.
func (g *Controller) Offer(now time.Time, t *Ticket) Decision {
	c, r := g.class(t), g.route(t.Route)
	c.arrivals.add(now)
	decision := g.decide(now, t, c, r)
	switch decision.(type) {
	case Admitted:
		g.pace(now, t)
		g.accepted.add(now)
		g.start(now, t, r)
	case Queued:
		g.accepted.add(now)
		t.state = queued
		c.queue = append(c.queue, t)
		g.waiting++
	case Refused:
	}
	return decision
}

// Preview returns the decision that Offer would make, and changes nothing.
func (g *Controller) Preview(now time.Time, t *Ticket) Decision {
	c, r := g.peek(t)
	return g.decide(now, t, c, r)
}

// decide makes the decision of Offer and changes nothing. It is the same whether t has been counted as an arrival or not.
func (g *Controller) decide(now time.Time, t *Ticket, c *class, r *route) Decision {
	ahead := g.queuedAhead(c)
	if ahead == 0 && g.canStart(now, t, r) {
		return Admitted{}
	}
	wait := g.predictWait(now, c, r, ahead)
	coldWait := g.coldWait(now, c, ahead)
	cold := coldWait > wait
	wait = max(wait, coldWait)
	run := time.Duration(runTimeMargin * float64(r.expectedRunTime(g.runTime)))
	late := now.Add(wait + run).Sub(latestResponse(t))
	if late > 0 || g.waiting >= maxQueued {
		return Refused{RetryAfter: min(max(late, minRetryAfter), maxRetryAfter), Wait: wait, Cold: cold}
	}
	return Queued{Wait: wait, Cold: cold}
}

// latestResponse returns the latest predicted time of the response at which a request is still queued. Requests
// of rank 0 are queued up to their deadline. Nested calls and other requests are queued up to their objective
// only: after it they would displace requests whose responses count in full.
func latestResponse(t *Ticket) time.Time {
	until := t.Deadline
	if !t.Objective.IsZero() && t.Objective.Before(until) && (t.Nested || t.Rank > 0) {
		until = t.Objective
	}
	share := timeShare
	if t.Nested {
		share = nestedTimeShare
	}
	return t.Arrived.Add(time.Duration(share * float64(until.Sub(t.Arrived))))
}

// Dispatch starts queued requests while slots are free, and drops those that can no longer meet their deadline.
func (g *Controller) Dispatch(now time.Time) (started, dropped []*Ticket) {
	started = g.startStarved(now)
	for _, c := range g.classes {
		kept := c.queue[:0]
		for _, t := range c.queue {
			r := g.route(t.Route)
			switch {
			case t.state != queued:
			case now.Add(r.minRunTime()).After(t.Deadline):
				t.state = done
				g.waiting--
				dropped = append(dropped, t)
			case g.mayStart(now, t, r):
				g.waiting--
				g.start(now, t, r)
				started = append(started, t)
			default:
				kept = append(kept, t)
			}
		}
		clear(c.queue[len(kept):])
		c.queue = kept
	}
	return started, dropped
}

// Cancel removes a request from the queue because its caller disconnected. It reports whether the request was
// queued.
func (g *Controller) Cancel(t *Ticket) bool {
	if t.state != queued {
		return false
	}
	t.state = done
	g.waiting--
	return true
}

// Flush removes all requests from the queue and returns them.
func (g *Controller) Flush() []*Ticket {
	var flushed []*Ticket
	for _, c := range g.classes {
		for _, t := range c.queue {
			if g.Cancel(t) {
				flushed = append(flushed, t)
			}
		}
		c.queue = nil
	}
	return flushed
}

// Done records the end of a run and frees its slot. The caller must call Dispatch afterwards.
func (g *Controller) Done(now time.Time, t *Ticket, result Result) {
	if t.state != running {
		return
	}
	t.state = done
	r := g.route(t.Route)
	if t.lost {
		g.lost--
	} else {
		g.running--
		r.inFlight--
	}
	_, completed := result.(Completed)
	r.remove(t, completed)
	elapsed := now.Sub(t.started)
	switch result.(type) {
	case Completed:
		r.meanRunTime, g.runTime = average(r.meanRunTime, elapsed), average(g.runTime, elapsed)
	case Streamed, Shed:
	case Aborted:
		// The elapsed time is a lower bound of the run time, unless enough runs that started later have completed
		// in less.
		if elapsed >= r.meanRunTime && t.overtaken < lostAfterOvertakes {
			r.meanRunTime, g.runTime = average(r.meanRunTime, elapsed), average(g.runTime, elapsed)
		}
	}
	if !t.Nested {
		r.adjustLimit(now, t.Rank, g.downstreamCongestion(now))
	}
}

// ReportCongestion records the congestion that a call of this server met at the service that it called.
func (g *Controller) ReportCongestion(now time.Time, congestion float64) {
	current := g.downstreamCongestion(now)
	timeConstant := congestionFallTime
	if congestion > current {
		timeConstant = congestionRiseTime
	}
	elapsed := max(now.Sub(g.downstreamAt), time.Millisecond)
	g.downstream = current + (congestion-current)*(1-math.Exp(-elapsed.Seconds()/timeConstant.Seconds()))
	g.downstreamAt = now
}

// downstreamCongestion returns the congestion of the services that this server calls; it decays while no call
// is made.
func (g *Controller) downstreamCongestion(now time.Time) float64 {
	if g.downstreamAt.IsZero() {
		return 0
	}
	idleTime := max(now.Sub(g.downstreamAt)-congestionHoldTime, 0)
	return g.downstream * math.Exp(-idleTime.Seconds()/congestionFallTime.Seconds())
}

// NextDispatch returns the earliest time at which Dispatch is due without another event, because a queued request has
// to be dropped or a cold server may get the next one; it returns false if the queue is empty.
func (g *Controller) NextDispatch(now time.Time) (time.Time, bool) {
	var next time.Time
	if start, delayed := g.Cold.NextStart(now); delayed && g.waiting > 0 && g.running < g.slots {
		next = start
	}
	for _, c := range g.classes {
		for _, t := range c.queue {
			expiry := t.Deadline.Add(-g.route(t.Route).minRunTime())
			if t.state == queued && (next.IsZero() || expiry.Before(next)) {
				next = expiry
			}
		}
	}
	return next, !next.IsZero()
}

// Load returns the load that another request like t would meet. It changes nothing.
func (g *Controller) Load(now time.Time, t *Ticket) Load {
	c, r := g.peek(t)
	ahead := g.queuedAhead(c)
	load := Load{
		Wait: max(g.predictWait(now, c, r, ahead), g.coldWait(now, c, ahead)), Run: r.meanRunTime,
		Running: g.running, Waiting: g.waiting, Slots: g.slots, Congestion: g.congestion(now),
		Arrivals: g.accepted.current(now), MeanRun: g.runTime,
		ColdFor: g.Cold.Remaining(now),
	}
	if load.ColdFor > 0 {
		load.ColdRate = g.Cold.Rate
	}
	return load
}

// ExpectedRun returns the average run time of a route, zero before its first run.
func (g *Controller) ExpectedRun(routeName string) time.Duration {
	return g.route(routeName).meanRunTime
}

// Running returns the number of requests in the server, including those whose response counts as lost.
func (g *Controller) Running() int { return g.running + g.lost }

// Waiting returns the number of requests in the queue.
func (g *Controller) Waiting() int { return g.waiting }

// congestion returns the delay of nested calls at this server or at the services that it calls, in run times.
func (g *Controller) congestion(now time.Time) float64 {
	downstream := g.downstreamCongestion(now)
	if g.running < g.slots || len(g.classes) == 0 || !g.classes[0].nested {
		return downstream
	}
	first := g.classes[0]
	wait := g.drainTime(now, first, g.queuedAhead(first))
	return max(downstream, wait.Seconds()/max(g.runTime, minCongestionRun).Seconds())
}

func (g *Controller) start(now time.Time, t *Ticket, r *route) {
	t.state, t.started = running, now
	g.running++
	r.inFlight++
	r.running = append(r.running, t)
	g.addDeficits(t)
}

// queuedAhead counts the queued requests that precede a new one of the class.
func (g *Controller) queuedAhead(target *class) int {
	n := 0
	for _, c := range g.classes {
		if target.before(c) {
			break
		}
		for _, t := range c.queue {
			if t.state == queued {
				n++
			}
		}
	}
	return n
}

// predictWait returns the predicted wait of a new request of the class for a slot and for the limit of its
// route.
func (g *Controller) predictWait(now time.Time, target *class, r *route, ahead int) time.Duration {
	wait := time.Duration(0)
	if g.running >= g.slots || ahead > 0 {
		wait = min(g.drainTime(now, target, ahead), g.maxClassWait(target))
	}
	return max(wait, r.waitTime(target.queuedFor(r.name)))
}

// drainTime returns the time in which the server starts n queued requests and one more, while requests of
// more urgent classes keep arriving.
func (g *Controller) drainTime(now time.Time, target *class, n int) time.Duration {
	if g.runTime <= 0 {
		return 0
	}
	perSecond := float64(g.slots) / g.runTime.Seconds()
	available := max(perSecond-g.urgentArrivals(now, target), perSecond*minStartShare)
	// The first request gets the slot of the run that ends next.
	return time.Duration((float64(n) + 1) / available * float64(time.Second))
}

func (g *Controller) class(t *Ticket) *class {
	at, found := g.findClass(t)
	if !found {
		g.classes = slices.Insert(g.classes, at, &class{nested: t.Nested, rank: t.Rank})
	}
	return g.classes[at]
}

// findClass returns the index of the class of a request, or where it belongs.
func (g *Controller) findClass(t *Ticket) (index int, found bool) {
	target := class{nested: t.Nested, rank: t.Rank}
	return slices.BinarySearchFunc(g.classes, &target, (*class).compare)
}

// compare orders classes: the most urgent first, nested calls before all others.
func (c *class) compare(other *class) int {
	switch {
	case c.nested != other.nested && c.nested:
		return -1
	case c.nested != other.nested:
		return 1
	}
	return c.rank - other.rank
}

func (c *class) before(other *class) bool { return c.compare(other) < 0 }

// peek returns the class and the route of a request; those that do not exist yet are returned without being added.
func (g *Controller) peek(t *Ticket) (*class, *route) {
	r := g.routes[t.Route]
	if r == nil {
		r = newRoute(t.Route, g.slots)
	}
	if at, found := g.findClass(t); found {
		return g.classes[at], r
	}
	return &class{nested: t.Nested, rank: t.Rank}, r
}

func (g *Controller) route(name string) *route {
	r := g.routes[name]
	if r == nil {
		r = newRoute(name, g.slots)
		g.routes[name] = r
	}
	return r
}

// queuedFor counts the queued requests of a route.
func (c *class) queuedFor(route string) int {
	n := 0
	for _, t := range c.queue {
		if t.state == queued && t.Route == route {
			n++
		}
	}
	return n
}

func (r *rate) add(now time.Time) { r.value = r.current(now) + 1/rateWindow.Seconds(); r.updated = now }

func (r *rate) current(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.value * math.Exp(-max(now.Sub(r.updated), 0).Seconds()/rateWindow.Seconds())
}

func average(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(runTimeWeight*float64(sample-mean))
}
