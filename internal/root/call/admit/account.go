package admit

import (
	"math"
	"time"
)

const (
	slotTimeDecay        = 2 * time.Second // time constant of the decay of an account's recent slot time
	negligibleSlotSecond = 0.001           // slot seconds below which an idle account is dropped
	defaultWeight        = 1
	recentUseFactor      = 4 // weight of recent slot use against places in the queue, see weightedUse
)

type (
	// account is the recent use of this backend server by one client account.
	account struct {
		weight      float64
		inFlight    int
		waiting     int
		slotSeconds float64 // slot seconds, decaying with slotTimeDecay
		updated     time.Time
	}

	accounts map[string]*account
)

func (a accounts) forTicket(now time.Time, t *Ticket) *account {
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
		return defaultWeight
	}
	sum := 0.0
	for _, c := range a {
		sum += c.weight
	}
	return sum / float64(len(a))
}

// sweep drops the accounts that are idle and whose recent slot time has decayed.
func (a accounts) sweep(now time.Time) {
	for name, c := range a {
		c.update(now)
		if c.inFlight == 0 && c.waiting == 0 && c.slotSeconds < negligibleSlotSecond {
			delete(a, name)
		}
	}
}

// update adds the slot time since the last update and decays the earlier slot time.
func (c *account) update(now time.Time) {
	elapsed := now.Sub(c.updated)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(slotTimeDecay))
	c.slotSeconds = c.slotSeconds*decay + float64(c.inFlight)*slotTimeDecay.Seconds()*(1-decay)
	c.updated = now
}

// weightedSlotTime returns the recent slot time of the account divided by its weight. Slots count as soon
// as they are granted, so that one account cannot take all slots that become free together.
func (c *account) weightedSlotTime(now time.Time) float64 {
	c.update(now)
	return (c.slotSeconds + float64(c.inFlight)*0.01) / c.weight
}

// weightedUse returns the account's use of the server divided by its weight: the slots in use, their
// recent mean, and the places in the queue. The recent mean keeps a burst of a light account from being
// evicted in favor of an account with steady heavy use: next to an account with five times their demand, light
// accounts lost 1.2% of their requests in bursts with a recentUseFactor of 1, and less than 1% with 4. extra
// counts further places that the account requests.
func (c *account) weightedUse(now time.Time, extra float64) float64 {
	c.update(now)
	return (recentUseFactor*c.slotSeconds/slotTimeDecay.Seconds() + float64(c.inFlight+c.waiting) + extra) / c.weight
}
