package spread

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// staleWeight and freshWeight are the cost of a server with all slots taken, in run times, relative to an idle
	// one, when nothing and when everything of its last report still holds. How full a server will be is less
	// certain the older its report is, so that free slots are worth more.
	staleWeight = 4
	freshWeight = 0.5

	// maxCostRatio bounds the cost of a server that may be chosen at random, relative to the cheapest one.
	maxCostRatio = 3

	// rateLifetime is the age of a report up to which its rate of arrivals is used unchanged.
	rateLifetime = 700 * time.Millisecond

	// rateHalfLife is the time in which the rate of an older report is halved, so that a server without reports counts
	// as idle in the end and is used again.
	rateHalfLife = 500 * time.Millisecond
)

type (
	// Load is what one daemon knows about the load of one server.
	Load struct {
		Occupancy float64       // requests that ran or waited there at the time of the report
		Arrivals  float64       // requests per second that the server accepted from all daemons, zero if unknown
		Stay      time.Duration // how long a request waits and runs there
		Age       time.Duration // of the report
		Sent      int           // requests of this daemon since the report
		InFlight  int           // requests of this daemon that have not ended
	}

	// Estimate is the number of requests expected at a server.
	Estimate struct {
		Known  float64 // reported and not ended yet, or sent by this daemon
		Others float64 // sent by other daemons since the report and not ended yet
		Stale  float64 // part of the reported requests that have ended, between 0 and 1
	}

	// Candidate is a server that may be chosen.
	Candidate struct {
		Near bool          // in the availability zone of the chooser
		Cost time.Duration // expected cost; decides between availability zones
		// Base orders the servers of one zone: it leaves out the requests that others are expected to have sent since the
		// report, and adds the cost of the known ones.
		Base   time.Duration
		Slope  time.Duration // what each further request adds to Base, at least 1 ns
		Others float64       // expected requests of others since the report
	}

	// Choice is the chosen candidate.
	Choice struct {
		Index    int
		Cheapest bool // no other candidate was expected to cost less
	}

	// Distribution is the pure part of a choice: which candidates may be chosen, and how likely each is.
	Distribution struct {
		Best  int // index of the candidate with the lowest expected cost
		group group
		level float64 // cost up to which the requests fill the servers
		total float64 // of the weights
	}

	// group is the set of candidates among which the choice is random.
	group struct {
		near     bool
		maxCost  time.Duration // exclusive
		maxBase  time.Duration
		requests float64 // to distribute: this one, and those of others since the reports
	}
)

// Expect extrapolates a report to the present: the reported requests end as their stay suggests, and others arrive
// at the reported rate.
func (l *Load) Expect() Estimate {
	own := float64(l.InFlight)
	if l.Stay <= 0 {
		return Estimate{Known: own, Stale: 1}
	}
	remaining := math.Exp(-l.Age.Seconds() / l.Stay.Seconds())
	arrivals := l.Arrivals
	if excess := l.Age - rateLifetime; excess > 0 {
		arrivals *= math.Exp2(-excess.Seconds() / rateHalfLife.Seconds())
	}
	sent := float64(min(l.Sent, l.InFlight))
	return Estimate{
		Known:  max(l.Occupancy*remaining+sent, own),
		Others: max(arrivals*l.Stay.Seconds()*(1-remaining)-sent, 0),
		Stale:  1 - remaining,
	}
}

// RequestCost returns the cost that each request at a server with the given slots and run time adds in the choice
// among servers that are equally near.
func (e *Estimate) RequestCost(slots int, run time.Duration) time.Duration {
	weight := freshWeight + (staleWeight-freshWeight)*e.Stale
	return max(time.Duration(weight/float64(slots)*float64(run)), 1)
}

// Choose chooses one of the candidates, and reports false without any.
//
// The requests that others are expected to have sent since the reports are distributed so that all servers that get
// any are at the same cost. The choice is random among these servers, with a probability in proportion to the
// requests that raise the cost of each by the same amount. With reports that have just arrived few servers remain;
// with old ones the choice is close to one by capacity.
//
// A candidate that is not near is chosen only if it is expected to cost less than all near ones.
func Choose(random *rand.Rand, candidates []Candidate) (Choice, bool) {
	d, ok := Distribute(candidates)
	if !ok {
		return Choice{}, false
	}
	target := random.Float64() * d.total
	for i := range candidates {
		target -= d.group.weight(&candidates[i], d.level)
		if target < 0 {
			return Choice{Index: i, Cheapest: candidates[i].Cost <= candidates[d.Best].Cost}, true
		}
	}
	return Choice{Index: d.Best, Cheapest: true}, true
}

// Distribute returns which of the candidates Choose may choose, and reports false without any.
func Distribute(candidates []Candidate) (Distribution, bool) {
	best := cheapest(candidates)
	if best < 0 {
		return Distribution{}, false
	}
	d := Distribution{Best: best, group: newGroup(candidates, best)}
	d.level = d.group.level(candidates)
	for i := range candidates {
		d.total += d.group.weight(&candidates[i], d.level)
	}
	return d, true
}

// Chance returns the probability with which Choose chooses the candidate at the index.
func (d *Distribution) Chance(candidates []Candidate, index int) float64 {
	switch {
	case d.total > 0:
		return d.group.weight(&candidates[index], d.level) / d.total
	case index == d.Best:
		return 1
	}
	return 0
}

// cheapest returns the index of the lowest expected cost, -1 without candidates.
func cheapest(candidates []Candidate) int {
	best := -1
	for i := range candidates {
		if best < 0 || candidates[i].Cost < candidates[best].Cost {
			best = i
		}
	}
	return best
}

// newGroup returns the candidates that are as near as the best one and not much worse.
func newGroup(candidates []Candidate, best int) group {
	g := group{near: candidates[best].Near, maxCost: math.MaxInt64, maxBase: math.MaxInt64, requests: 1}
	if !g.near {
		for i := range candidates {
			if candidates[i].Near {
				g.maxCost = min(g.maxCost, candidates[i].Cost)
			}
		}
	}
	lowest := candidates[best].Base
	for i := range candidates {
		if g.contains(&candidates[i]) {
			lowest = min(lowest, candidates[i].Base)
		}
	}
	g.maxBase = max(maxCostRatio*lowest, candidates[best].Base)
	for i := range candidates {
		if g.contains(&candidates[i]) {
			g.requests += candidates[i].Others
		}
	}
	return g
}

func (g *group) contains(c *Candidate) bool {
	return c.Near == g.near && c.Cost < g.maxCost && c.Base <= g.maxBase
}

// level returns the cost up to which the requests fill the servers. Each pass leaves out the servers that already
// cost more than the level of the pass before, and the level falls until none is left out.
func (g *group) level(candidates []Candidate) float64 {
	level := math.Inf(1)
	for {
		capacity, filled := 0.0, g.requests
		for i := range candidates {
			c := &candidates[i]
			if g.contains(c) && float64(c.Base) < level {
				capacity += 1 / float64(c.Slope)
				filled += float64(c.Base) / float64(c.Slope)
			}
		}
		next := filled / capacity
		if !(next < level) { // also without any server left, when next is not a number
			return level
		}
		level = next
	}
}

// weight returns the requests that raise the cost of the server by one unit, zero for a server above the level.
func (g *group) weight(c *Candidate, level float64) float64 {
	if !g.contains(c) || float64(c.Base) >= level {
		return 0
	}
	return 1 / float64(c.Slope)
}
