package picker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
)

// Guards against a cold instance that gets as many calls as a warm one, and against one that gets none after it is warm.
func TestColdInstanceCountsAsSmall(t *testing.T) {
	p := newPicker("a", fleet(4)) // 0 and 3 are in zone a
	report := func(id string) Result {
		result := Responded{Latency: 10 * time.Millisecond, Load: 0.1}
		if id == "0" {
			result.Cold = warmup.Report{Rate: 10, For: 3 * time.Second, Wait: 100 * time.Millisecond}
		}
		return result
	}
	picks := countPicks(p, start, 400, report)
	assert.Assert(t, picks["0"] < 20 && picks["3"] > 300, "%v", picks)
	warm := start.Add(5 * time.Second)
	picks = countPicks(p, warm, 400, success)
	assert.Assert(t, picks["0"] > 100, "%v", picks)
}
