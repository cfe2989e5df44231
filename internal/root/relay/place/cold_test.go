package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// coldReport is the report of a server that gets ten requests per second for the next three seconds.
func coldReport() *Report {
	return &Report{Slots: 10, Run: 100 * time.Millisecond, ColdRate: 10, ColdFor: 3 * time.Second}
}

// Guards against a cold server that gets as many requests as a warm one because it has free slots, also after its report
// has become too old for its other figures, and against one that gets none after it is warm.
func TestColdServerCountsAsSmall(t *testing.T) {
	for _, at := range []time.Duration{0, 2 * time.Second} {
		b := newBalancer()
		b.Done(t0, "s0", "r", coldReport(), Served{})
		chosen := map[string]int{}
		for range 20 {
			chosen[choose(t, b, t0.Add(at))]++
		}
		// Two requests at the rate of ten per second cost more than the way to another availability zone. The time since
		// the report has room for more.
		limit := 2 + int(at.Seconds()*10)
		assert.Assert(t, chosen["s0"] >= 1 && chosen["s0"] <= limit, "%v after %s", chosen, at)
	}
	b := newBalancer()
	b.Done(t0, "s0", "r", coldReport(), Served{})
	for range 8 {
		assert.Equal(t, choose(t, b, t0.Add(3*time.Second)), "s0")
	}
}

// Guards against many cold servers at the same time that divert all requests to the few warm ones beyond their
// capacity: the predicted wait of a warm server decides.
func TestManyColdServersLeaveWarmOneItsCapacity(t *testing.T) {
	b := newBalancer()
	b.Done(t0, "s0", "r", coldReport(), Served{})
	b.Done(t0, "s1", "r", coldReport(), Served{})
	b.Done(t0, "s2", "r", &Report{Slots: 10, Running: 10, Wait: 400 * time.Millisecond, Run: 100 * time.Millisecond}, Served{})
	chosen := map[string]int{}
	for range 6 {
		chosen[choose(t, b, t0)]++
	}
	assert.Assert(t, chosen["s0"] >= 2 && chosen["s1"] >= 2, "%v", chosen)
}
