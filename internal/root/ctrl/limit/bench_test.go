package limit

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

func filled(lots, tokens int) *TokenPool {
	c, list := &TokenPool{base: epoch}, []*lot{}
	for i := range lots {
		list = append(list, &lot{id: uint64(i + 1), tokens: int64(tokens), until: int64(HolderLife)})
	}
	c.lots.Store(&list)
	return c
}

// Guards against goroutines that together take more than a lot holds, also while it is closed, and
// against a Take that allocates.
func TestTakeConcurrently(t *testing.T) {
	const lots, tokens = 3, 1000
	c, taken := filled(lots, tokens), make([]int64, 8)
	var group sync.WaitGroup
	for g := range taken {
		group.Go(func() {
			for range 2 * lots * tokens {
				if c.Take(epoch.Add(time.Millisecond)) {
					taken[g]++
				}
			}
		})
	}
	left := int64(tokens) - (*c.lots.Load())[1].close()
	group.Wait()
	sum := left
	for _, n := range taken {
		sum += n
	}
	assert.Equal(t, sum, int64(lots*tokens))
	c = filled(1, 1<<30)
	assert.Equal(t, testing.AllocsPerRun(100, func() { c.Take(epoch.Add(time.Millisecond)) }), 0.0)
}

func BenchmarkTake(b *testing.B) {
	for _, procs := range []int{1, 8} {
		b.Run(fmt.Sprintf("goroutines-%d", procs), func(b *testing.B) {
			c := filled(2, 1<<38)
			now := epoch.Add(time.Millisecond)
			b.ReportAllocs()
			b.SetParallelism(1)
			if procs == 1 {
				for b.Loop() {
					c.Take(now)
				}
				return
			}
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					c.Take(now)
				}
			})
		})
	}
}

// BenchmarkAsk measures one ask that reports the holder's previous lot and gets a new one; all holders
// share one account.
func BenchmarkAsk(b *testing.B) {
	for _, holders := range []int{10, 1000, 8800} {
		b.Run(fmt.Sprintf("holders-%d", holders), func(b *testing.B) {
			o := NewOwner(epoch, 1, []Limit{{Account: "a", Rate: MaxRate, Burst: MaxRate}})
			now := epoch.Add(OwnerLife + time.Second)
			asks := make([]*TokensRequested, holders)
			for i := range asks {
				asks[i] = &TokensRequested{Holder: fmt.Sprintf("h%d", i), Request: &TokenRequest{Account: "a", Boot: 1, Epoch: 1, Reports: make([]LotReport, 1)}}
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(200 * time.Millisecond / time.Duration(holders))
				ask := asks[n%holders]
				ask.Request.Seq++
				ask.Request.Need, ask.Request.Demand = 1, 3
				out := o.Step(now, ask)
				ask.Request.Reports[0] = LotReport{Lot: out[len(out)-1].(*SendGrant).Grant.Lot, Spent: 4, Closed: true}
			}
		})
	}
}

// BenchmarkAskSaturated is BenchmarkAsk with an account whose holders want five times its rate.
func BenchmarkAskSaturated(b *testing.B) {
	for _, holders := range []int{10, 1000, 8800} {
		b.Run(fmt.Sprintf("holders-%d", holders), func(b *testing.B) {
			o := NewOwner(epoch, 1, []Limit{{Account: "a", Rate: uint32(2 * holders), Burst: uint32(2 * holders)}})
			now, sent := epoch.Add(OwnerLife+time.Second), 0
			ask := &TokenRequest{Account: "a", Boot: 1, Epoch: 1}
			names := make([]string, holders)
			for i := range names {
				names[i] = fmt.Sprintf("h%d", i)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(200 * time.Millisecond / time.Duration(holders))
				ask.Seq, ask.Need = uint64(n+1), 2
				sent += len(o.Step(now, &TokensRequested{Holder: names[n%holders], Request: ask}))
				if at, ok := o.Deadline(); ok && !at.After(now) {
					sent += len(o.Step(now, &Wake{}))
				}
			}
			b.ReportMetric(float64(sent)/float64(b.N), "msgs/op")
		})
	}
}

// FuzzDecode guards against a panic on bytes that no peer has sent.
func FuzzDecode(f *testing.F) {
	ask, err := wire.Encode(&TokenRequest{Account: "a", Boot: 1, Seq: 1, Need: 1, Epoch: 1, Reports: []LotReport{{Lot: 1, Spent: 2}}})
	assert.NilError(f, err)
	f.Add(ask)
	grant, err := wire.Encode(&Grant{Account: "a", Boot: 7, Seq: 1, Epoch: 1, Lot: 1, Tokens: 2})
	assert.NilError(f, err)
	f.Add(grant)
	f.Fuzz(func(t *testing.T, body []byte) {
		limits := []Limit{{Account: "a", Rate: 10, Burst: 10}}
		o, h := NewOwner(epoch, 1, limits), NewHolder(epoch, 7)
		h.Step(epoch, &SetLimits{Limits: limits})
		h.Step(epoch, &AwaitToken{Account: "a", Waiter: 1})
		if m, err := wire.Decode[TokenRequest](body); err == nil {
			o.Step(epoch.Add(3*time.Second), &TokensRequested{Holder: "h", Request: m})
		}
		if m, err := wire.Decode[Grant](body); err == nil {
			h.Step(epoch, m)
		}
		if m, err := wire.Decode[Recall](body); err == nil {
			h.Step(epoch, m)
		}
		total := o.buckets["a"].level + o.buckets["a"].outstanding*o.buckets["a"].unit()
		assert.Assert(t, total <= 10*o.buckets["a"].unit() && o.buckets["a"].level >= 0, "level and outstanding tokens are %d", total)
	})
}
