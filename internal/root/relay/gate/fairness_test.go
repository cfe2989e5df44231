package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Simulates a service that receives twice as many nested calls as it can serve, and a few other requests. Guards
// against starvation of the other requests, which are less urgent than nested calls.
func TestNestedCallsDoNotStarveOtherRequests(t *testing.T) {
	const offered = 100
	s := newServer(35, func(t *Ticket) (time.Duration, bool) {
		if t.Nested {
			return 20 * time.Millisecond, false
		}
		return 60 * time.Millisecond, false
	})
	for i := range 50 * offered {
		s.step()
		s.offer("inner", true)
		s.offer("inner", true)
		s.offer("inner", true)
		if i%50 == 0 {
			s.offer("direct", false)
		}
	}
	assert.Assert(t, s.served["direct"] > offered*8/10, "%d of %d served", s.served["direct"], offered)
	assert.Assert(t, s.served["inner"] > 50*offered*145/100, "%d nested calls served", s.served["inner"])
}
