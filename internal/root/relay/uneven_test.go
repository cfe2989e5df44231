package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Guards against counting a refusal as uneven load when no other server answered, or for another reason than a full
// server.
func TestUnevenRefusals(t *testing.T) {
	f := &Forwarder{Meter: meter.New()}
	for _, results := range [][]outcome{
		{completed{}},
		{notRun{failure: retry.QueueFull{}}, notRun{failure: retry.QueueFull{}}},
		{notRun{failure: retry.Unreached{}}, completed{}},
		{notRun{failure: retry.QueueFull{}}, unknown{failure: retry.BackendLost{}}},
		{notRun{failure: retry.QueueFull{}}, completed{}}, // the only one that counts
	} {
		state := &forwardState{service: "reader"}
		for _, result := range results {
			f.countUneven(state, result)
		}
	}
	families, err := f.Meter.Registry.Gather()
	assert.NilError(t, err)
	total := 0.0
	for _, family := range families {
		if family.GetName() == "buckthorn_uneven_refusals_total" {
			total += family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	assert.Equal(t, total, 1.0)
}

// Guards against reports of a daemon of an earlier version that are refused or taken for arrivals.
func TestReportWithoutArrivals(t *testing.T) {
	for _, arrivals := range []uint32{0, 250} {
		body, err := wire.Encode(&Report{Running: 3, Slots: 10, Arrivals: arrivals})
		assert.NilError(t, err)
		report, err := wire.Decode[Report](body)
		assert.NilError(t, err)
		assert.Equal(t, report.balancerReport().Arrivals, float64(arrivals))
	}
}
