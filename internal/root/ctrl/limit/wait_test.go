package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests above the rate of their account that wait for a token until their time is over. The
// owner knows that there will be none and refuses at once, with the time at which there is one.
func TestOwnerRefusesInTime(t *testing.T) {
	const (
		holders   = 184
		tokenWait = 200 * time.Millisecond
		length    = 10 * time.Second
		// replyTime is a round trip with the rounds in which the owner serves parked requests.
		replyTime = 4*time.Millisecond + 2*serveInterval
	)
	for _, limit := range []Limit{
		{Account: "large", Rate: 120, Burst: 120}, {Account: "small", Rate: 3, Burst: 3}, {Account: "slow", Rate: 30, Per: time.Minute, Burst: 2},
	} {
		t.Run(limit.Account, func(t *testing.T) {
			r := rand.New(rand.NewPCG(3, 4))
			f := newFleet(holders, []Limit{limit})
			for i, d := range f.holders {
				d.tokenWait = tokenWait
				f.start(d, uint64(i+1))
			}
			f.deliver = func() []time.Duration { return []time.Duration{2 * time.Millisecond} }
			f.advance(5*time.Second, false)
			arrivals := make(map[uint64]time.Duration)
			admitted, timedOut, slow, hasty := 0, 0, 0, 0
			f.spent = func(string, uint64) { admitted++ }
			f.refused = func(id uint64, retryAfter time.Duration) {
				switch {
				case f.now-arrivals[id] >= tokenWait:
					timedOut++
				case f.now-arrivals[id] > replyTime:
					slow++
				case retryAfter < minRetryAfter/2:
					hasty++
				}
			}
			perSecond := 4 * float64(limit.Rate) / max(limit.Per, time.Second).Seconds()
			id := uint64(0)
			for start := f.now; f.now < start+length; {
				f.advance(time.Millisecond, false)
				if r.Float64() < perSecond/1000 {
					id++
					arrivals[id] = f.now
					f.request(r.IntN(holders), limit.Account, id)
				}
			}
			ideal := float64(limit.Burst) + perSecond/4*length.Seconds()
			t.Logf("%d requests, ideally %.0f admitted: %d admitted, %d timed out, %d refused late, %d with a short delay", id, ideal, admitted, timedOut, slow, hasty)
			assert.Equal(t, timedOut, 0)
			assert.Assert(t, float64(slow) <= 0.02*float64(id), "%d of %d requests refused late", slow, id)
			assert.Assert(t, float64(admitted) >= 0.9*ideal-1, "%d of %.0f admitted", admitted, ideal)
		})
	}
}

// Guards against a leader that ends with a division by zero: a configuration removes the limit of an account while
// daemons with the earlier one still request tokens and requests are parked.
func TestLimitIsRemoved(t *testing.T) {
	limit := Limit{Account: "a", Rate: 2, Burst: 2}
	o := NewOwner(epoch, 1, []Limit{limit})
	at := epoch.Add(3 * time.Second)
	request := func(seq uint64) []OwnerAction {
		return o.Step(at, &TokensRequested{Holder: "h", Request: &TokenRequest{Account: "a", Boot: 1, Seq: seq, Waiting: 5}})
	}
	request(1)
	o.Step(at, &SetLimits{Limits: []Limit{{Account: "a"}}})
	at = at.Add(time.Second)
	request(2)
	o.Step(at, &Wake{})
	o.Deadline()
	o.Step(at, &SetLimits{Limits: []Limit{limit}})
	at = at.Add(3 * time.Second)
	assert.Equal(t, request(3)[0].(*SendGrant).Grant.Tokens, uint32(2))
}
