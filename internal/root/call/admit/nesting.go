package admit

import "time"

const (
	maxLevel        = 9 // call graphs are at most 10 calls deep
	reserveLifetime = 60 * time.Second
	reserveGrowth   = 1.0 / 16 // fraction of the limit added to a reserve that was too small
	maxReserveShare = 0.75     // fraction of the limit that all reserves together may take
)

// nestingReserves reserves slots for calls whose chain already holds slots of the same service. A call at
// one level never takes the reserve of a deeper level. The deepest calls therefore always run, and a chain
// cannot deadlock by waiting for its own slots.
type nestingReserves struct {
	inFlight [maxLevel + 1]int
	reserve  [maxLevel + 1]float64
	peak     [maxLevel + 1]int // in flight since the last shrink
	lastSeen [maxLevel + 1]time.Time
	highest  int // highest level with a reserve
}

func nestingLevel(held uint8) int { return min(int(held), maxLevel) }

// ensureReserve gives the level of a call and all lower levels a reserve of at least one slot.
func (r *nestingReserves) ensureReserve(now time.Time, held uint8) {
	for i := nestingLevel(held); i > 0; i-- {
		r.reserve[i] = max(1, r.reserve[i])
		r.lastSeen[i] = now
	}
	r.highest = max(r.highest, nestingLevel(held))
}

func (r *nestingReserves) admit(held uint8) {
	i := nestingLevel(held)
	r.inFlight[i]++
	r.peak[i] = max(r.peak[i], r.inFlight[i])
}

// freeReserve returns the reserved slots of deeper levels that are not in use.
func (r *nestingReserves) freeReserve(held uint8) int {
	sum := 0
	for i := nestingLevel(held) + 1; i <= r.highest; i++ {
		sum += max(0, int(r.reserve[i])-r.inFlight[i])
	}
	return sum
}

// grow enlarges the reserve of a level whose call had to wait.
func (r *nestingReserves) grow(held uint8, limit int) {
	i := nestingLevel(held)
	if i == 0 {
		return
	}
	sum := 0.0
	for _, reserve := range r.reserve {
		sum += reserve
	}
	if step := reserveGrowth * float64(limit); sum+step <= maxReserveShare*float64(limit) {
		r.reserve[i] += step
	}
}

// shrink lowers reserves that were not fully used since its last call.
func (r *nestingReserves) shrink(now time.Time) {
	for i := 1; i <= r.highest; i++ {
		before := r.reserve[i]
		if now.Sub(r.lastSeen[i]) > reserveLifetime {
			r.reserve[i] = 0
		} else {
			r.reserve[i] = max(1, float64(r.peak[i]), r.reserve[i]*0.9)
			r.reserve[i] = min(before, r.reserve[i])
		}
		r.peak[i] = r.inFlight[i]
	}
	for r.highest > 0 && r.reserve[r.highest] == 0 {
		r.highest--
	}
}
