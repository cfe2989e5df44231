package limit

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

func newFilledPool(grants, tokens int) *TokenPool {
	pool, list := &TokenPool{base: epoch}, []*poolGrant{}
	for i := range grants {
		list = append(list, &poolGrant{id: uint64(i + 1), tokens: int64(tokens), until: int64(HolderLifetime)})
	}
	pool.grants.Store(&list)
	return pool
}

// Guards against goroutines that together take more tokens than a grant holds, also while it is closed, and
// against a Take that allocates memory.
func TestTakeConcurrently(t *testing.T) {
	const grants, tokens = 3, 1000
	pool, taken := newFilledPool(grants, tokens), make([]int64, 8)
	var group sync.WaitGroup
	for g := range taken {
		group.Go(func() {
			for range 2 * grants * tokens {
				if pool.Take(epoch.Add(time.Millisecond)) {
					taken[g]++
				}
			}
		})
	}
	unspent := int64(tokens) - (*pool.grants.Load())[1].close()
	group.Wait()
	sum := unspent
	for _, n := range taken {
		sum += n
	}
	assert.Equal(t, sum, int64(grants*tokens))
	pool = newFilledPool(1, 1<<30)
	assert.Equal(t, testing.AllocsPerRun(100, func() { pool.Take(epoch.Add(time.Millisecond)) }), 0.0)
}

func BenchmarkTake(b *testing.B) {
	for _, procs := range []int{1, 8} {
		b.Run(fmt.Sprintf("goroutines-%d", procs), func(b *testing.B) {
			pool := newFilledPool(2, 1<<38)
			now := epoch.Add(time.Millisecond)
			b.ReportAllocs()
			b.SetParallelism(1)
			if procs == 1 {
				for b.Loop() {
					pool.Take(now)
				}
				return
			}
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					pool.Take(now)
				}
			})
		})
	}
}

// BenchmarkTokenRequest measures one token request that reports the holder's previous grant and gets a new
// one; all holders share one account.
func BenchmarkTokenRequest(b *testing.B) {
	for _, holders := range []int{10, 1000, 8800} {
		b.Run(fmt.Sprintf("holders-%d", holders), func(b *testing.B) {
			o := NewOwner(epoch, 1, []Limit{{Account: "a", Rate: MaxRate, Burst: MaxRate}})
			now := epoch.Add(OwnerLifetime + time.Second)
			events := make([]*TokensRequested, holders)
			for i := range events {
				events[i] = &TokensRequested{Holder: fmt.Sprintf("h%d", i), Request: &TokenRequest{Account: "a", Boot: 1, Epoch: 1, Reports: make([]GrantReport, 1)}}
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(200 * time.Millisecond / time.Duration(holders))
				event := events[n%holders]
				event.Request.Seq++
				event.Request.Waiting, event.Request.Prefetch = 1, 3
				out := o.Step(now, event)
				event.Request.Reports[0] = GrantReport{ID: out[len(out)-1].(*SendGrant).Grant.ID, Spent: 4, Closed: true}
			}
		})
	}
}

// BenchmarkTokenRequestSaturated is BenchmarkTokenRequest with an account whose holders request five times its
// rate.
func BenchmarkTokenRequestSaturated(b *testing.B) {
	for _, holders := range []int{10, 1000, 8800} {
		b.Run(fmt.Sprintf("holders-%d", holders), func(b *testing.B) {
			o := NewOwner(epoch, 1, []Limit{{Account: "a", Rate: uint32(2 * holders), Burst: uint32(2 * holders)}})
			now, sent := epoch.Add(OwnerLifetime+time.Second), 0
			request := &TokenRequest{Account: "a", Boot: 1, Epoch: 1}
			names := make([]string, holders)
			for i := range names {
				names[i] = fmt.Sprintf("h%d", i)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(200 * time.Millisecond / time.Duration(holders))
				request.Seq, request.Waiting = uint64(n+1), 2
				sent += len(o.Step(now, &TokensRequested{Holder: names[n%holders], Request: request}))
				if at, ok := o.Deadline(); ok && !at.After(now) {
					sent += len(o.Step(now, &Wake{}))
				}
			}
			b.ReportMetric(float64(sent)/float64(b.N), "msgs/op")
		})
	}
}

// FuzzDecode guards against a panic, or a bucket above its burst, after decoding arbitrary bytes.
func FuzzDecode(f *testing.F) {
	request, err := wire.Encode(&TokenRequest{Account: "a", Boot: 1, Seq: 1, Waiting: 1, Epoch: 1, Reports: []GrantReport{{ID: 1, Spent: 2}}})
	assert.NilError(f, err)
	f.Add(request)
	grant, err := wire.Encode(&Grant{Account: "a", Boot: 7, Seq: 1, Epoch: 1, ID: 1, Tokens: 2})
	assert.NilError(f, err)
	f.Add(grant)
	f.Fuzz(func(t *testing.T, body []byte) {
		limits := []Limit{{Account: "a", Rate: 10, Burst: 10}}
		o, h := NewOwner(epoch, 1, limits), NewHolder(epoch, 7, MaxWait)
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
		total := o.buckets["a"].level + o.buckets["a"].outstanding*o.buckets["a"].unitsPerToken()
		assert.Assert(t, total <= 10*o.buckets["a"].unitsPerToken() && o.buckets["a"].level >= 0, "level and outstanding tokens are %d", total)
	})
}
