package picker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// Guards against a cause that blames the choice where no instance at home had room, and the reverse.
func TestCauseOfChoice(t *testing.T) {
	slow := Responded{Latency: time.Second}
	for want, test := range map[cross.Cause]struct {
		home    Result
		request Request
	}{
		cross.Home:       {Responded{Latency: time.Millisecond}, Request{}},
		cross.NoRoom:     {Refused{Load: 1}, Request{}},
		cross.Choice:     {slow, Request{}},
		cross.Retry:      {slow, Request{Tried: []string{"0"}, Nested: true}},
		cross.NestedCall: {slow, Request{Nested: true}},
	} {
		seen := map[cross.Cause]int{}
		p := New("a", 1)
		p.Update(start, []snap.Endpoint{{ID: "0", Zone: "a", Incarnation: 1}, {ID: "1", Zone: "b", Incarnation: 2}})
		for range 100 {
			p.Done(start, "0", test.home)
			p.Done(start, "1", Responded{Latency: time.Millisecond})
			choice, _ := p.Pick(start, test.request)
			p.Done(start, choice.ID, Canceled{})
			seen[choice.Cause]++
		}
		assert.Assert(t, seen[want] > 10 && seen[want]+seen[cross.Home] >= 98, "%s: %v", want, seen)
	}
}
