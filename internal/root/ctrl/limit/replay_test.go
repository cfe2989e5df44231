package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type (
	// demand describes the arrivals of one account: a rate in requests per second, at some of the holders.
	demand struct {
		limit Limit
		rate  float64
		// spread is the number of holders that share the demand at any time.
		spread int
		// moves is how often the demand moves to other holders; zero means never.
		moves time.Duration
		// surge adds this many requests at one holder every two seconds.
		surge int
	}

	accountResult struct {
		arrived, ideal, admitted, wrongful int
		bucket                             referenceBucket
		allowed                            map[uint64]bool
		holders                            []int
	}
)

// Guards M4, against refusing requests that a single bucket would have admitted, when the demand of an account
// is uneven, surges or moves between 60 holders while another account sends five times its rate. That account
// must still get its rate, and the control messages stay bounded.
func TestWrongfulRefusals(t *testing.T) {
	demands := []demand{
		{Limit{Account: "even", Rate: 600, Burst: 600}, 500, 60, 0, 0},
		{Limit{Account: "uneven", Rate: 400, Burst: 400}, 350, 3, 0, 0},
		{Limit{Account: "moving", Rate: 300, Burst: 300}, 270, 5, 500 * time.Millisecond, 0},
		{Limit{Account: "jumping", Rate: 200, Burst: 200}, 150, 1, 200 * time.Millisecond, 0},
		{Limit{Account: "surging", Rate: 200, Burst: 400}, 60, 60, 0, 200},
		{Limit{Account: "small", Rate: 5, Burst: 10}, 3, 60, time.Second, 0},
		{Limit{Account: "tight", Rate: 300, Burst: 60}, 200, 20, time.Second, 0},
		{Limit{Account: "greedy", Rate: 200, Burst: 400}, 1000, 60, time.Second, 0},
	}
	replay(t, demands, 60, 2*time.Millisecond, func(d demand, result *accountResult) {
		assert.Assert(t, float64(result.admitted) >= 0.99*float64(result.ideal), "%s was admitted %d times, ideally %d", d.limit.Account, result.admitted, result.ideal)
		if d.limit.Account != "greedy" {
			assert.Equal(t, result.wrongful, 0, d.limit.Account)
		}
	})
}

// replay runs 20 s of demand after the buckets have filled; delay is the network's delay each way.
func replay(t testing.TB, demands []demand, holders int, delay time.Duration, check func(demand, *accountResult)) {
	const length, step = 20 * time.Second, time.Millisecond
	r := rand.New(rand.NewPCG(1, 2))
	limits := make([]Limit, len(demands))
	results := make(map[string]*accountResult)
	for i, d := range demands {
		limits[i] = d.limit
		results[d.limit.Account] = &accountResult{
			bucket:  referenceBucket{level: float64(d.limit.Burst), rate: float64(d.limit.Rate), burst: float64(d.limit.Burst)},
			allowed: make(map[uint64]bool), holders: r.Perm(holders),
		}
	}
	f, id, accountOf := newFleet(holders, limits), uint64(0), make(map[uint64]string)
	f.deliver = func() []time.Duration { return []time.Duration{delay} }
	f.spent = func(account string, request uint64) { results[account].admitted++; delete(accountOf, request) }
	f.refused = func(request uint64, _ time.Duration) {
		if result := results[accountOf[request]]; result.allowed[request] {
			result.wrongful++
		}
		delete(accountOf, request)
	}
	f.advance(10*time.Second, false)
	start, sent, bytes := f.now, f.messages, f.bytes
	for f.now < start+length {
		f.advance(step, false)
		for _, d := range demands {
			result, elapsed := results[d.limit.Account], f.now-start
			if d.moves > 0 && elapsed%d.moves == 0 {
				result.holders = r.Perm(holders)
			}
			arrive := func(holder int) {
				id++
				result.arrived++
				accountOf[id] = d.limit.Account
				if result.bucket.refill(f.now); result.bucket.level >= 1 {
					result.bucket.level--
					result.ideal++
					result.allowed[id] = true
				}
				f.request(holder, d.limit.Account, id)
			}
			for rest := d.rate * step.Seconds(); rest > 0; rest-- {
				if r.Float64() < rest {
					arrive(result.holders[int(float64(d.spread)*r.Float64()*r.Float64())])
				}
			}
			if d.surge > 0 && elapsed%(2*time.Second) == time.Second {
				for range d.surge {
					arrive(result.holders[0])
				}
			}
		}
	}
	for f.now < start+length+4*time.Second { // until the estimated spend rates have decayed and all grants are returned
		f.advance(step, false)
	}
	for _, d := range demands {
		result := results[d.limit.Account]
		t.Logf("%-8s arrived %6d, ideal %6d, admitted %6d, wrongfully refused %4d", d.limit.Account, result.arrived, result.ideal, result.admitted, result.wrongful)
	}
	perSecond := length.Seconds() * float64(holders)
	t.Logf("%.1f messages and %.0f bytes per holder and second in both directions", float64(f.messages-sent)/perSecond, float64(f.bytes-bytes)/perSecond)
	assert.Assert(t, float64(f.bytes-bytes)/perSecond <= 8<<10, "control costs more than 8 KB/s per daemon")
	sent = f.messages
	f.advance(time.Second, false)
	f.advance(time.Second, false)
	assert.Equal(t, f.messages, sent, "holders without traffic send messages")
	for _, d := range demands {
		check(d, results[d.limit.Account])
	}
}
