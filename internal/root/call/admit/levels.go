package admit

import "time"

const (
	deepest      = 9 // a call graph is at most 10 deep
	levelMemory  = 60 * time.Second
	levelGrowth  = 1.0 / 16 // part of the limit added to a reserve that was too small
	reserveLimit = 0.75     // part of the limit that all reserves together may take
)

// levels keeps room for calls whose chain already holds slots of the same service. A call at one level
// never takes the reserve of a deeper one, so the deepest calls always run and the chain drains
// instead of waiting for its own slots.
type levels struct {
	inFlight [deepest + 1]int
	reserve  [deepest + 1]float64
	peak     [deepest + 1]int // in flight since the last shrink
	last     [deepest + 1]time.Time
	highest  int // highest level with a reserve
}

func level(held uint8) int { return min(int(held), deepest) }

// seen gives the level of a call and those above it a reserve of at least one slot.
func (v *levels) seen(now time.Time, held uint8) {
	for i := level(held); i > 0; i-- {
		v.reserve[i] = max(1, v.reserve[i])
		v.last[i] = now
	}
	v.highest = max(v.highest, level(held))
}

func (v *levels) admit(held uint8) {
	i := level(held)
	v.inFlight[i]++
	v.peak[i] = max(v.peak[i], v.inFlight[i])
}

// free returns the reserved slots of deeper levels that are not in use.
func (v *levels) free(held uint8) int {
	sum := 0
	for i := level(held) + 1; i <= v.highest; i++ {
		sum += max(0, int(v.reserve[i])-v.inFlight[i])
	}
	return sum
}

// grow enlarges the reserve of a level whose call had to wait.
func (v *levels) grow(held uint8, limit int) {
	i := level(held)
	if i == 0 {
		return
	}
	sum := 0.0
	for _, reserve := range v.reserve {
		sum += reserve
	}
	if step := levelGrowth * float64(limit); sum+step <= reserveLimit*float64(limit) {
		v.reserve[i] += step
	}
}

// shrink lowers reserves that were not used since the last call.
func (v *levels) shrink(now time.Time) {
	for i := 1; i <= v.highest; i++ {
		before := v.reserve[i]
		if now.Sub(v.last[i]) > levelMemory {
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
