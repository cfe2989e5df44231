package admit

import (
	"math"
	"time"
)

const (
	fairWindow  = 2 * time.Second // time constant of the slot time that fair queueing remembers
	forgotten   = 0.001           // slot seconds below which an idle account is dropped
	plainWeight = 1
	usedWeight  = 4 // of slots used recently against places in the queue; with 1, bursts cost light accounts 1.2% beside one of five times their demand, with 4 under 1%
)

type (
	// account is what one client account has recently received from this backend server.
	account struct {
		weight   float64
		inFlight int
		waiting  int
		used     float64 // slot seconds, decaying with fairWindow
		updated  time.Time
	}

	accounts map[string]*account
)

func (a accounts) of(now time.Time, t *Ticket) *account {
	c := a[t.Account]
	if c == nil {
		c = &account{updated: now, weight: t.Weight}
		if t.Weight <= 0 {
			c.weight = a.meanWeight()
		}
		a[t.Account] = c
	} else if t.Weight > 0 {
		c.weight = t.Weight
	}
	return c
}

func (a accounts) meanWeight() float64 {
	if len(a) == 0 {
		return plainWeight
	}
	sum := 0.0
	for _, c := range a {
		sum += c.weight
	}
	return sum / float64(len(a))
}

// sweep drops the accounts that are idle and have no service to remember.
func (a accounts) sweep(now time.Time) {
	for name, c := range a {
		c.update(now)
		if c.inFlight == 0 && c.waiting == 0 && c.used < forgotten {
			delete(a, name)
		}
	}
}

// update integrates the slots in use since the last change.
func (c *account) update(now time.Time) {
	passed := now.Sub(c.updated)
	if passed <= 0 {
		return
	}
	keep := math.Exp(-float64(passed) / float64(fairWindow))
	c.used = c.used*keep + float64(c.inFlight)*fairWindow.Seconds()*(1-keep)
	c.updated = now
}

// service returns the slot time received recently for the weight of the account; slots just granted
// count at once, so that one account cannot take a whole burst of free slots.
func (c *account) service(now time.Time) float64 {
	c.update(now)
	return (c.used + float64(c.inFlight)*0.01) / c.weight
}

// claim returns what an account has of the server for its weight: the slots in use now and their recent
// mean, so that a burst of a light account does not lose against a heavy one, and its places in the
// queue. extra counts places that it asks for.
func (c *account) claim(now time.Time, extra float64) float64 {
	c.update(now)
	return (usedWeight*c.used/fairWindow.Seconds() + float64(c.inFlight+c.waiting) + extra) / c.weight
}
