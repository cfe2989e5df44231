package relay

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/place"
)

// Guards against a rule that the forwarder does not apply, against sizes of answers that do not reach the choice, and against
// a request that stays in its zone without the rule.
func TestLongAnswersStay(t *testing.T) {
	for _, stay := range []bool{false, true} {
		f := newTestFleet(t, 2)
		f.control.mu.Lock()
		f.control.set.Services["shop"].LongAnswersStay = stay
		f.control.list[1].Zone = "b"
		f.control.version++
		home, far := f.control.list[0].ID, f.control.list[1].ID
		f.control.mu.Unlock()
		body := strings.Repeat("x", 6000)
		assert.Assert(t, strings.HasSuffix(bodyOf(t, f.request(f.daemons[0], "r", "/open/x", "", body)), body))
		forwarder := f.daemons[0].relay.Frontend.Forwarder
		svc := forwarder.service("shop")
		for id, run := range map[string]time.Duration{home: 100 * time.Millisecond, far: time.Millisecond} {
			for range 20 {
				svc.balancer.Done(time.Now(), id, "/open/", &place.Report{Slots: 2, Run: run}, place.Refused{})
			}
		}
		request := &Request{Host: "shop.example", Path: "/open/x", Timeout: time.Second}
		state, refused := forwarder.classify(context.Background(), request, time.Now())
		assert.Assert(t, refused == nil)
		choice, ok := forwarder.choose(state, svc, forwarder.reach(state))
		assert.Assert(t, ok)
		assert.Equal(t, choice.ID == home, stay)
	}
}
