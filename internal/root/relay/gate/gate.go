package gate

import (
	"math"
	"slices"
	"time"
)

const (
	// maxWaiting bounds the queue; a longer one could not be served within any objective.
	maxWaiting = 2048

	// reserveShare is the part of a server's slots that is left free, because servers get slower when nearly
	// all of their slots are taken. A server with fewer than minReserved slots keeps none free.
	reserveShare = 0.055
	minReserved  = 16

	// runWeight is the weight of one run in the average run time of a route.
	runWeight = 0.08

	// rateSpan is the time over which arrivals are averaged.
	rateSpan = time.Second

	// nestedShare is the part of its objective for which a nested call may wait: its outer request makes
	// several calls, and has a deadline of its own.
	nestedShare = 0.7

	// marginRun is what is added to the average run time, and spanShare the part of the time of a request
	// that waiting and running may take by prediction, because runs differ.
	marginRun = 1.2
	spanShare = 0.85

	// strainUnit is the least run time that a wait is compared with.
	strainUnit = 20 * time.Millisecond

	// strainRise and strainFall are the times over which the strain that calls have met is averaged, while it
	// grows and while it falls. strainQuiet is how long it stays without any call before it fades.
	strainRise  = 60 * time.Millisecond
	strainFall  = 250 * time.Millisecond
	strainQuiet = 400 * time.Millisecond

	// minAfter and maxAfter bound the advice when to come back.
	minAfter = 100 * time.Millisecond
	maxAfter = 2 * time.Second
)

type (
	// Ticket is one request at the gate; the gate owns the fields without a comment on their source.
	Ticket struct {
		RequestID string // id for the log; set by the caller, as are the fields up to Deadline
		Route     string
		Nested    bool      // a call of another backend server, whose own request holds a slot already
		Rank      int       // 0 is the most urgent
		Arrived   time.Time // at the first daemon
		Objective time.Time // answers until then count in full
		Deadline  time.Time // answers after it are worthless

		state     state
		started   time.Time
		overtaken int  // runs of its route that started later and have ended
		overdue   bool // its answer is taken for lost
	}

	// Decision is Admitted, Queued or Refused.
	Decision interface{ decision() }

	// Admitted lets the request run now.
	Admitted struct{}

	// Queued keeps the request until Next returns it.
	Queued struct{ Wait time.Duration }

	// Refused turns the request away; there will be room for it after After.
	Refused struct {
		RetryAfter time.Duration
		Wait       time.Duration // what was predicted
	}

	// Result is Ran, Shed or Aborted.
	Result interface{ result() }

	// Ran is a run that ended with the server's answer.
	Completed struct{}

	// Shed is a request that the server turned away although the gate had admitted it.
	Shed struct{}

	// Aborted is a run whose caller left, whose deadline passed or whose answer was lost.
	Aborted struct{}

	// Load describes the gate to the daemons that choose among servers.
	Load struct {
		Wait    time.Duration // predicted for another request like the one that is asked for
		Run     time.Duration // average run time of its route, zero before the first run
		Running int
		Waiting int
		Slots   int
		// Strain is the predicted wait of a nested call in run times, or that of the services behind if it is
		// greater. At 1 a call takes twice as long as it would without load.
		Congestion float64
	}

	// Gate holds the state of one start of a backend server; its user serializes the calls.
	Controller struct {
		slots   int // that are used
		running int
		overdue int // runs that are not counted in running any more
		waiting int
		classes []*class // the most urgent first
		routes  map[string]*route
		run     time.Duration // average over all routes

		behind   float64 // strain that calls of this server have met
		behindAt time.Time
	}

	// class is the queue of the requests of one urgency.
	class struct {
		nested   bool
		rank     int
		queue    []*Ticket
		arrivals rate
		owed     float64 // starts that are due to it
	}

	// rate is an average of events per second that decays with time.
	rate struct {
		value float64
		at    time.Time
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
func (Shed) result()      {}
func (Aborted) result()   {}

// New returns the gate of a server with the given number of slots.
func New(slots int) *Controller {
	return &Controller{slots: usable(slots), routes: map[string]*route{}}
}

// SetSlots changes the number of slots.
func (g *Controller) SetSlots(slots int) { g.slots = usable(slots) }

// usable returns how many of a server's slots are used.
func usable(slots int) int {
	if slots < minReserved {
		return max(slots, 1)
	}
	return slots - int(math.Ceil(reserveShare*float64(slots)))
}

// Offer decides about a request that has just arrived. It is answered at once: what cannot be served in
// time is better off elsewhere or later, and costs its caller the more the longer it is held.
func (g *Controller) Offer(now time.Time, t *Ticket) Decision {
	own := g.class(t)
	own.arrivals.add(now)
	r := g.route(t.Route)
	ahead := g.ahead(own)
	if ahead == 0 && g.running < g.slots && r.open(t) {
		g.start(now, t, r)
		return Admitted{}
	}
	wait := g.predict(now, own, r, ahead)
	run := time.Duration(marginRun * float64(r.expected(g.run)))
	late := now.Add(wait + run).Sub(latest(t))
	if late > 0 || g.waiting >= maxWaiting {
		return Refused{RetryAfter: min(max(late, minAfter), maxAfter), Wait: wait}
	}
	t.state = queued
	own.queue = append(own.queue, t)
	g.waiting++
	return Queued{Wait: wait}
}

// latest returns until when an answer has to be predicted for a request to get a place in the queue. The
// most urgent requests may be late; the others would displace answers that count in full.
func latest(t *Ticket) time.Time {
	until := t.Deadline
	if !t.Objective.IsZero() && t.Objective.Before(until) && (t.Nested || t.Rank > 0) {
		until = t.Objective
	}
	share := spanShare
	if t.Nested {
		share = nestedShare
	}
	return t.Arrived.Add(time.Duration(share * float64(until.Sub(t.Arrived))))
}

// Next starts what there is room for and returns it, and drops what can no longer be served in time.
func (g *Controller) Dispatch(now time.Time) (started, dropped []*Ticket) {
	started = g.startOwed(now)
	for _, c := range g.classes {
		kept := c.queue[:0]
		for _, t := range c.queue {
			r := g.route(t.Route)
			switch {
			case t.state != queued:
			case now.Add(r.shortest()).After(t.Deadline):
				t.state = done
				g.waiting--
				dropped = append(dropped, t)
			case g.running < g.slots && r.open(t):
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

// Withdraw ends the wait of a request whose caller has gone; it reports false when it no longer waits.
func (g *Controller) Cancel(t *Ticket) bool {
	if t.state != queued {
		return false
	}
	t.state = done
	g.waiting--
	return true
}

// Flush ends the wait of all requests and returns them.
func (g *Controller) Flush() []*Ticket {
	var all []*Ticket
	for _, c := range g.classes {
		for _, t := range c.queue {
			if g.Cancel(t) {
				all = append(all, t)
			}
		}
		c.queue = nil
	}
	return all
}

// Done ends a run. Next has to be called afterwards.
func (g *Controller) Done(now time.Time, t *Ticket, result Result) {
	if t.state != running {
		return
	}
	t.state = done
	r := g.route(t.Route)
	if t.overdue {
		g.overdue--
	} else {
		g.running--
		r.inFlight--
	}
	_, ran := result.(Completed)
	r.remove(t, ran)
	took := now.Sub(t.started)
	switch result.(type) {
	case Completed:
		r.mean, g.run = average(r.mean, took), average(g.run, took)
	case Shed:
	case Aborted:
		// Tells that a run takes at least this long, unless others have shown that it does not.
		if took >= r.mean && t.overtaken < overtakenBy {
			r.mean, g.run = average(r.mean, took), average(g.run, took)
		}
	}
	if !t.Nested {
		r.adjust(now, t.Rank, g.strainBehind(now))
	}
}

// Called reports the strain that a call of this server has met at the service it went to.
func (g *Controller) ReportCongestion(now time.Time, strain float64) {
	known := g.strainBehind(now)
	span := strainFall
	if strain > known {
		span = strainRise
	}
	elapsed := max(now.Sub(g.behindAt), time.Millisecond)
	g.behind = known + (strain-known)*(1-math.Exp(-elapsed.Seconds()/span.Seconds()))
	g.behindAt = now
}

// strainBehind returns the strain of the services behind, which fades while no call is made.
func (g *Controller) strainBehind(now time.Time) float64 {
	if g.behindAt.IsZero() {
		return 0
	}
	quiet := max(now.Sub(g.behindAt)-strainQuiet, 0)
	return g.behind * math.Exp(-quiet.Seconds()/strainFall.Seconds())
}

// Deadline returns when a waiting request has to be dropped, and false when none waits.
func (g *Controller) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, c := range g.classes {
		for _, t := range c.queue {
			due := t.Deadline.Add(-g.route(t.Route).shortest())
			if t.state == queued && (next.IsZero() || due.Before(next)) {
				next = due
			}
		}
	}
	return next, !next.IsZero()
}

// Load returns the state of the gate as it is for another request like t.
func (g *Controller) Load(now time.Time, t *Ticket) Load {
	own, r := g.class(t), g.route(t.Route)
	return Load{
		Wait: g.predict(now, own, r, g.ahead(own)), Run: r.mean,
		Running: g.running, Waiting: g.waiting, Slots: g.slots, Congestion: g.strain(now),
	}
}

// Running returns the number of requests in the server, with those whose answer is taken for lost.
func (g *Controller) Running() int { return g.running + g.overdue }

// Waiting returns the number of requests in the queue.
func (g *Controller) Waiting() int { return g.waiting }

// strain returns how much a nested call is held up here or at the services behind.
func (g *Controller) strain(now time.Time) float64 {
	behind := g.strainBehind(now)
	if g.running < g.slots || len(g.classes) == 0 || !g.classes[0].nested {
		return behind
	}
	first := g.classes[0]
	wait := g.drain(now, first, g.ahead(first))
	return max(behind, wait.Seconds()/max(g.run, strainUnit).Seconds())
}

func (g *Controller) start(now time.Time, t *Ticket, r *route) {
	t.state, t.started = running, now
	g.running++
	r.inFlight++
	r.running = append(r.running, t)
	g.owe(t)
}

// ahead counts the waiting requests that go before a new one of the class.
func (g *Controller) ahead(own *class) int {
	n := 0
	for _, c := range g.classes {
		for _, t := range c.queue {
			if t.state == queued {
				n++
			}
		}
		if c == own {
			break
		}
	}
	return n
}

// predict returns how long a new request of the class will wait for a slot, and for its route's own limit.
func (g *Controller) predict(now time.Time, own *class, r *route, ahead int) time.Duration {
	wait := time.Duration(0)
	if g.running >= g.slots || ahead > 0 {
		wait = min(g.drain(now, own, ahead), g.floorWait(own))
	}
	return max(wait, r.wait(own.waitingOf(r.name)))
}

// drain returns the time in which the server takes n requests and one more, while requests of more urgent
// classes keep arriving.
func (g *Controller) drain(now time.Time, own *class, n int) time.Duration {
	if g.run <= 0 {
		return 0
	}
	perSecond := float64(g.slots) / g.run.Seconds()
	left := perSecond
	for _, c := range g.classes {
		if c == own {
			break
		}
		left -= c.arrivals.now(now)
	}
	left = max(left, perSecond*floorShare)
	// The first of them gets the place of the run that ends next.
	return time.Duration((float64(n) + 1) / left * float64(time.Second))
}

func (g *Controller) class(t *Ticket) *class {
	at, found := slices.BinarySearchFunc(g.classes, t, func(c *class, t *Ticket) int {
		switch {
		case c.nested != t.Nested && c.nested:
			return -1
		case c.nested != t.Nested:
			return 1
		}
		return c.rank - t.Rank
	})
	if !found {
		g.classes = slices.Insert(g.classes, at, &class{nested: t.Nested, rank: t.Rank})
	}
	return g.classes[at]
}

func (g *Controller) route(name string) *route {
	r := g.routes[name]
	if r == nil {
		r = newRoute(name, g.slots)
		g.routes[name] = r
	}
	return r
}

func (c *class) waitingOf(route string) int {
	n := 0
	for _, t := range c.queue {
		if t.state == queued && t.Route == route {
			n++
		}
	}
	return n
}

func (r *rate) add(now time.Time) { r.value = r.now(now) + 1/rateSpan.Seconds(); r.at = now }

func (r *rate) now(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-max(now.Sub(r.at), 0).Seconds()/rateSpan.Seconds())
}

func average(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(runWeight*float64(sample-mean))
}
