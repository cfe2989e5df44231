package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
)

// Guards against a cause that blames the choice where no server at home had room, and the reverse.
func TestCauseOfChoice(t *testing.T) {
	full := &Report{Slots: 10, Running: 10, Wait: 300 * time.Millisecond, Run: 100 * time.Millisecond}
	slow := &Report{Slots: 10, Run: 900 * time.Millisecond}
	for want, test := range map[cross.Cause]struct {
		report  *Report // of the server at home
		request Request
	}{
		cross.Home:       {&Report{Slots: 10, Run: 100 * time.Millisecond}, Request{Again: true}},
		cross.NoRoom:     {full, Request{}},
		cross.Choice:     {slow, Request{}},
		cross.Retry:      {slow, Request{Again: true, Nested: true}},
		cross.NestedCall: {full, Request{Nested: true}},
	} {
		b := newBalancer()
		b.Done(t0, "s0", "r", test.report, Served{})
		test.request.Route, test.request.Zone, test.request.Urgent = "r", "a", true
		choice, _ := b.Choose(t0, test.request)
		assert.Equal(t, choice.Cause, want)
	}
}
