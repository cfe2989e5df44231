package call

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/picker"
)

// Guards against a rule that the forwarder does not apply, and against sizes of answers that do not reach the choice: the
// instance at home is slower than one in another zone by less than the gain that a long answer needs.
func TestLongAnswersStay(t *testing.T) {
	const requests = 20
	for _, test := range []struct {
		word  string
		size  int
		stays bool
	}{
		{"", 6000, false},
		{"long-answers=stay", 6000, true},
		{"long-answers=stay", 400, false},
	} {
		f := newFleet(t, 2, clock.Real{}, "service reader slots=10 connections=50 "+test.word+"\nroute GET /get service=reader access=open run=idempotent deadline=1m\n")
		var atHome atomic.Int64
		for i, pause := range []time.Duration{100 * time.Millisecond, 0} {
			f.serve(i, "reader", 10, func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(pause)
				if i == 0 {
					atHome.Add(1)
				}
				_, _ = w.Write([]byte(strings.Repeat("x", test.size)))
			})
		}
		f.lists["reader"].Instances[1].Zone = "y"
		f.publish()
		// Without a sample of the other zone, its instance is expected to be as slow as the one at home.
		assert.Equal(t, f.request(0, "GET", "/get", "").StatusCode, http.StatusOK)
		instances := f.nodes[0].forwarder.pickerOf("reader").picker
		instances.Done(time.Now(), f.lists["reader"].Instances[1].ID, picker.Responded{Latency: time.Millisecond})
		for range requests {
			assert.Equal(t, len(f.request(0, "GET", "/get", "").body), test.size)
		}
		assert.Equal(t, atHome.Load() >= requests-2, test.stays, "%+v: %d of %d at home", test, atHome.Load(), requests)
	}
}
