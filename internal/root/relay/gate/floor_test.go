package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Replays a service that is asked for twice what it can serve by nested calls, and for little by requests of
// its own callers. Guards against requests that wait in vain behind nested calls, which never end.
func TestNestedCallsStarveNobody(t *testing.T) {
	const asked = 100
	s := newServer(35, func(t *Ticket) (time.Duration, bool) {
		if t.Nested {
			return 20 * time.Millisecond, false
		}
		return 60 * time.Millisecond, false
	})
	for i := range 50 * asked {
		s.step()
		s.offer("inner", true)
		s.offer("inner", true)
		s.offer("inner", true)
		if i%50 == 0 {
			s.offer("outer", false)
		}
	}
	assert.Assert(t, s.served["outer"] > asked*8/10, "%d of %d served", s.served["outer"], asked)
	assert.Assert(t, s.served["inner"] > 50*asked*145/100, "%d nested calls served", s.served["inner"])
}
