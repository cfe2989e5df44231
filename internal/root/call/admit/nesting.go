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
func (v *nestingReserves) ensureReserve(now time.Time, held uint8) {
	for i := nestingLevel(held); i > 0; i-- {
		v.reserve[i] = max(1, v.reserve[i])
		v.lastSeen[i] = now
	}
	v.highest = max(v.highest, nestingLevel(held))
}

func (v *nestingReserves) admit(held uint8) {
	i := nestingLevel(held)
	v.inFlight[i]++
	v.peak[i] = max(v.peak[i], v.inFlight[i])
}

// freeReserve returns the reserved slots of deeper levels that are not in use.
func (v *nestingReserves) freeReserve(held uint8) int {
	sum := 0
	for i := nestingLevel(held) + 1; i <= v.highest; i++ {
		sum += max(0, int(v.reserve[i])-v.inFlight[i])
	}
	return sum
}

// grow enlarges the reserve of a level whose call had to wait.
func (v *nestingReserves) grow(held uint8, limit int) {
	i := nestingLevel(held)
	if i == 0 {
		return
	}
	sum := 0.0
	for _, reserve := range v.reserve {
		sum += reserve
	}
	if step := reserveGrowth * float64(limit); sum+step <= maxReserveShare*float64(limit) {
		v.reserve[i] += step
	}
}

// shrink lowers reserves that were not fully used since its last call.
func (v *nestingReserves) shrink(now time.Time) {
	for i := 1; i <= v.highest; i++ {
		before := v.reserve[i]
		if now.Sub(v.lastSeen[i]) > reserveLifetime {
			v.reserve[i] = 0
		} else {
			v.reserve[i] = max(1, float64(v.peak[i]), v.reserve[i]*0.9)
			v.reserve[i] = min(before, v.reserve[i])
		}
		v.peak[i] = v.inFlight[i]
	}
	for v.highest > 0 && v.reserve[v.highest] == 0 {
		v.highest--
	}
}
