package call

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// evacuate publishes the zones under evacuation to all daemons.
func (f *fleet) evacuate(zones ...string) {
	earlier := f.zonesChanged
	f.zonesChanged = make(chan struct{})
	f.publish(func(s *snap.Snapshot) {
		s.Evacuated = map[string]snap.Evacuation{}
		for _, zone := range zones {
			s.Evacuated[zone] = snap.Evacuation{Zone: zone}
		}
	})
	close(earlier)
}

// Guards against a server in a zone under evacuation that receives requests of a daemon that has not heard of the
// evacuation, and against such a request that fails, although another zone has a server, because it may not be retried.
func TestDaemonEnforcesTheEvacuation(t *testing.T) {
	f := newFleet(t, 3, clock.Real{}, outcomeRules)
	var runs [3]atomic.Int64
	for i := 1; i <= 2; i++ {
		f.serve(i, "reader", 4, func(http.ResponseWriter, *http.Request) { runs[i].Add(1) })
	}
	servers := f.nodes[2].handler.backends
	servers.mu.Lock()
	servers.byID[f.lists["reader"].Instances[1].ID].endpoint.Zone = "y"
	servers.mu.Unlock()
	f.evacuate("z")
	unaware := *f.nodes[0].control.Snapshot()
	unaware.Evacuated = nil
	f.nodes[0].control.snapshot.Store(&unaware)
	const requests = 40
	for i := range requests {
		response := f.request(0, "POST", "/once", fmt.Sprint(i), "Buckthorn-Key: "+goodKey)
		assert.NilError(t, response.err)
		assert.Equal(t, response.StatusCode, http.StatusOK, response.Header.Get(HeaderReason))
	}
	assert.Equal(t, runs[1].Load(), int64(0))
	assert.Equal(t, runs[2].Load(), int64(requests))
}

// Guards against requests that stay queued, or are sent, after an evacuation has begun, and against an evacuation that
// ends running requests.
func TestEvacuationRefusesWaitingRequests(t *testing.T) {
	clk := &timedClock{Fake: clock.NewFake(time.Now()), timers: make(chan time.Duration, 100)}
	s := newOutcomeFixture(t, 1, clk)
	s.blockBackend()
	running, waiting := make(chan testResponse, 1), make(chan testResponse, 3)
	post := func(responses chan testResponse) {
		responses <- s.request(0, "POST", "/once", "", "Buckthorn-Key: "+goodKey)
	}
	go post(running)
	<-s.entered
	for range cap(waiting) {
		go post(waiting)
		<-clk.timers // the request waits for the slot
	}
	s.evacuate("z")
	for range cap(waiting) {
		got := <-waiting
		assert.NilError(t, got.err)
		assert.Equal(t, got.Header.Get(HeaderReason), "evacuated")
		assert.Equal(t, got.Header.Get(HeaderOutcome), "not-run")
		assert.Equal(t, got.Header.Get("Retry-After"), fmt.Sprint(retry.EvacuatedRetryAfter.Seconds()))
	}
	close(s.unblock)
	assert.Equal(t, (<-running).StatusCode, http.StatusOK)
	assert.Equal(t, s.runs.Load(), int64(1))
}

// Guards against a call that is sent to a server of a zone under evacuation because it was admitted before the order and
// has waited for a connection since.
func TestCallThatWaitsForConnectionIsNotSentAfterEvacuation(t *testing.T) {
	f := newFleet(t, 1, clock.Real{}, coldRules)
	var runs atomic.Int64
	unblock := make(chan struct{})
	f.serve(0, "x", 4, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		<-unblock
	})
	server := f.nodes[0].handler.backends.byID[f.lists["x"].Instances[0].ID]
	server.transport.MaxConnsPerHost = 1
	warm := 0.0
	f.nodes[0].handler.backends.reportCold(&server.endpoint, &warm)
	get := func(responses chan testResponse) { responses <- f.request(0, "GET", "/x", "") }
	running, waiting := make(chan testResponse, 1), make(chan testResponse, 1)
	go get(running)
	for runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	go get(waiting)
	for server.limiter.Load(time.Now()).InFlight < 2 {
		time.Sleep(time.Millisecond)
	}
	f.evacuate("z")
	close(unblock)
	assert.Equal(t, (<-running).StatusCode, http.StatusOK)
	got := <-waiting
	assert.NilError(t, got.err)
	assert.Equal(t, got.Header.Get(HeaderReason), "evacuated")
	assert.Equal(t, got.Header.Get(HeaderOutcome), "not-run")
	assert.Equal(t, runs.Load(), int64(1))
}
