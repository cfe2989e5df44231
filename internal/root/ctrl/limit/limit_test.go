package limit

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

type (
	// fleet runs one owner and its holders over a network that delays messages. Times are true times; a
	// daemon's clock may differ by an offset and a speed, and ownerAt returns the time of the owner's clock.
	// undelivered holds the messages on the network in order of sending. spent and refused are called for
	// each admitted and each refused request.
	fleet struct {
		now     time.Duration
		owner   *Owner
		epoch   uint64
		limits  []Limit
		holders []*daemon
		ownerAt func(time.Duration) time.Time
		// deliver returns the delays after which copies of a message arrive; none means that it is lost.
		deliver     func() []time.Duration
		undelivered []message
		spent       func(account string, request uint64)
		refused     func(request uint64, retryAfter time.Duration)
		// messages and bytes count what was sent in both directions.
		messages, bytes int
	}

	daemon struct {
		name   string
		holder *Holder
		offset time.Duration
		speed  float64
		// stalled is the time until which the control loop does not run, while traffic goes on.
		stalled time.Duration
		// accounts holds the account of each waiting request.
		accounts  map[uint64]string
		tokenWait time.Duration
	}

	message struct {
		at time.Duration
		to int // index of the holder, -1 for the owner
		// from is the index of the holder that sent a token request.
		from int
		body any
	}

	// referenceBucket is a single token bucket. Spending that never overdraws it stays within burst + rate ×
	// window in every window.
	referenceBucket struct {
		level, rate, burst float64
		at                 time.Duration
	}
)

var epoch = time.Unix(1_800_000_000, 0)

func init() {
	// Every run of the property tests uses the same seed unless a flag names another.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "200")
}

func newFleet(holders int, limits []Limit) *fleet {
	f := &fleet{
		limits: limits, epoch: 1,
		ownerAt: epoch.Add,
		deliver: func() []time.Duration { return []time.Duration{0} },
		spent:   func(string, uint64) {},
		refused: func(uint64, time.Duration) {},
	}
	f.owner = NewOwner(f.ownerAt(0), 1, limits)
	for i := range holders {
		d := &daemon{name: fmt.Sprintf("127.0.%d.%d:7400", i/250, i%250), speed: 1, accounts: make(map[uint64]string), tokenWait: MaxWait}
		f.holders = append(f.holders, d)
		f.start(d, uint64(i+1))
	}
	return f
}

func (f *fleet) start(d *daemon, boot uint64) {
	d.holder = NewHolder(f.clock(d), boot, d.tokenWait)
	d.holder.Step(f.clock(d), &SetLimits{Limits: f.limits})
	clear(d.accounts)
}

func (f *fleet) clock(d *daemon) time.Time {
	return epoch.Add(d.offset + time.Duration(float64(f.now)*d.speed))
}

// request simulates the arrival of one request at the daemon with index i.
func (f *fleet) request(i int, account string, id uint64) {
	d := f.holders[i]
	pool := d.holder.Pools[account]
	switch now := f.clock(d); {
	case pool == nil:
		f.refused(id, 0)
	case pool.Take(now):
		f.spent(account, id)
	case pool.RetryAfter(now) > 0 || d.stalled > f.now:
		f.refused(id, pool.RetryAfter(now))
	default:
		d.accounts[id] = account
		f.stepHolder(i, &AwaitToken{Account: account, Waiter: id})
	}
}

func (f *fleet) stepHolder(i int, ev HolderEvent) {
	d := f.holders[i]
	for _, action := range d.holder.Step(f.clock(d), ev) {
		switch a := action.(type) {
		case *SendRequest:
			f.send(message{to: -1, from: i, body: roundTrip(f, a.Request)})
		case *Admit:
			f.spent(d.accounts[a.Waiter], a.Waiter)
			delete(d.accounts, a.Waiter)
		case *Refuse:
			f.refused(a.Waiter, a.RetryAfter)
			delete(d.accounts, a.Waiter)
		}
	}
}

func (f *fleet) stepOwner(ev OwnerEvent) {
	for _, action := range f.owner.Step(f.ownerAt(f.now), ev) {
		holder, body := "", any(nil)
		switch a := action.(type) {
		case *SendGrant:
			holder, body = a.Holder, roundTrip(f, a.Grant)
		case *SendRecall:
			holder, body = a.Holder, roundTrip(f, a.Recall)
		}
		for i, d := range f.holders {
			if d.name == holder {
				f.send(message{to: i, body: body})
			}
		}
	}
}

// roundTrip encodes and decodes a message and counts its bytes.
func roundTrip[T any, M wire.Message[T]](f *fleet, m M) M {
	body, err := wire.Encode[T](m)
	if err != nil {
		panic(err)
	}
	decoded, err := wire.Decode[T, M](body)
	if err != nil {
		panic(err)
	}
	f.messages++
	f.bytes += len(body)
	return decoded
}

func (f *fleet) send(m message) {
	for _, delay := range f.deliver() {
		m.at = f.now + delay
		f.undelivered = append(f.undelivered, m)
	}
}

// advance moves the time, delivers the due messages in order of sending, and sends Wake to the owner and the
// holders whose deadline has passed. If every is set, all holders with a deadline get Wake, as after a clock
// step that makes timers fire early.
func (f *fleet) advance(by time.Duration, every bool) {
	f.now += by
	due := f.undelivered
	f.undelivered = nil
	for _, m := range due {
		switch body := m.body.(type) {
		case *TokenRequest:
			if m.at <= f.now {
				f.stepOwner(&TokensRequested{Holder: f.holders[m.from].name, Request: body})
				continue
			}
		case HolderEvent:
			if m.at <= f.now && f.holders[m.to].stalled <= f.now {
				f.stepHolder(m.to, body)
				continue
			}
		}
		f.undelivered = append(f.undelivered, m)
	}
	if at, ok := f.owner.Deadline(); ok && !at.After(f.ownerAt(f.now)) {
		f.stepOwner(&Wake{})
	}
	for i, d := range f.holders {
		if at, ok := d.holder.Deadline(); ok && d.stalled <= f.now && (every || !at.After(f.clock(d))) {
			f.stepHolder(i, &Wake{})
		}
	}
}

func (b *referenceBucket) refill(now time.Duration) {
	if b.level < b.burst {
		b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	}
	b.at = now
}

func (b *referenceBucket) take(now time.Duration) bool {
	b.refill(now)
	b.level--
	return b.level > -1e-6
}

// spendable returns the number of tokens in the bucket and in all pools that could be spent now.
func (f *fleet) spendable(account string) float64 {
	total := 0.0
	if b := f.owner.buckets[account]; b != nil {
		if f.now/time.Millisecond%5 == 0 {
			f.owner.refill(b, f.owner.ownerTime(f.ownerAt(f.now)))
		}
		if b.withdrawn {
			b.level = 0
		}
		total = float64(b.level) / float64(b.unitsPerToken())
	}
	for _, d := range f.holders {
		pool := d.holder.Pools[account]
		if pool == nil || pool.grants.Load() == nil {
			continue
		}
		for _, g := range *pool.grants.Load() {
			at := int64(f.clock(d).Sub(pool.base))
			if at >= g.from && at < g.until && at >= g.latest.Load()-int64(clockJitter) {
				total += float64(g.tokens - g.used())
			}
		}
	}
	return total
}

// Guards R6, against a fleet that spends more than burst + rate × window in some window. Each run mixes
// requests with lost, duplicated and reordered messages, lost daemons, changes of the owner, stalled control
// loops, clocks that step or run at different speeds, and changes of the limits.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		limits := []Limit{
			{Account: "a", Rate: uint32(1 + r.IntN(300)), Burst: uint32(1 + r.IntN(200))},
			{Account: "b", Rate: 20, Burst: 5},
		}
		f := newFleet(1+r.IntN(4), limits)
		loss, repeat, slow := r.Float64()*0.1, r.Float64()*0.3, 3+r.IntN(20)
		boot, id, spends, ownerSince := uint64(100), uint64(0), 0, time.Duration(0)
		for _, d := range f.holders {
			d.speed = 0.9 + 0.2*r.Float64()
		}
		ownerOffset := time.Duration(0)
		f.ownerAt = func(now time.Duration) time.Time { return epoch.Add(now + ownerOffset) }
		f.deliver = func() []time.Duration {
			var copies []time.Duration
			for chance := 1 - loss; r.Float64() < chance && len(copies) < 3; chance = repeat {
				copies = append(copies, time.Duration(math.Pow(r.Float64(), float64(slow))*float64(1500*time.Millisecond)))
			}
			return copies
		}
		allowed := map[string]*referenceBucket{}
		for _, l := range limits {
			allowed[l.Account] = &referenceBucket{level: float64(l.Burst), rate: float64(l.Rate), burst: float64(l.Burst)}
		}
		f.spent = func(account string, _ uint64) {
			spends++
			assert.Assert(t, allowed[account].take(f.now), "%s overdrawn at %v", account, f.now)
		}
		configure := func(l Limit) {
			c := allowed[l.Account]
			c.refill(f.now)
			c.rate, c.burst = float64(l.Rate), float64(l.Burst)
			f.limits = []Limit{limits[1]}
			if l.Rate > 0 {
				f.limits = append(f.limits, l)
			}
			f.stepOwner(&SetLimits{Limits: f.limits})
			for i := range f.holders {
				f.stepHolder(i, &SetLimits{Limits: f.limits})
			}
		}
		// Each run has its own set of failures, so that each kind also occurs without the others.
		failures, busy := rapid.IntRange(0, 127).Draw(t, "failures"), 0
		load := 0.2 + 3*math.Pow(r.Float64(), 4)
		for range 100 + r.IntN(800) {
			f.advance(time.Duration(r.IntN(40))*time.Millisecond, true)
			for account, c := range allowed {
				c.refill(f.now)
				assert.Assert(t, f.spendable(account) <= c.level+1e-6, "%s could be overdrawn at %v", account, f.now)
			}
			i := r.IntN(len(f.holders))
			if busy--; busy < -r.IntN(200) {
				busy = r.IntN(120)
			}
			arrivals := 0
			if busy > 0 {
				arrivals = int(load * float64(limits[0].Rate) * 0.02 * 2 * r.Float64())
			}
			if r.IntN(30) == 0 {
				arrivals += r.IntN(100) // takes all tokens of the pools at once
			}
			for range arrivals {
				id++
				f.request((i+r.IntN(2))%len(f.holders), limits[min(1, r.IntN(5)/4)].Account, id)
			}
			kind := r.IntN(7)
			if r.IntN(20) > 0 || failures&(1<<kind) == 0 {
				continue
			}
			switch kind {
			case 0:
				boot++
				f.start(f.holders[i], boot)
				f.stepOwner(&HolderGone{Holder: f.holders[i].name})
			case 1:
				if f.now-ownerSince < 3*time.Second {
					continue
				}
				ownerSince = f.now
				f.epoch++
				f.owner = NewOwner(f.ownerAt(f.now), f.epoch, f.limits)
				for i := range f.holders {
					f.stepHolder(i, &Connected{})
				}
			case 2:
				if f.holders[i].stalled > f.now {
					continue // the bound does not cover a clock step while the loop stalls, because the holder cannot notice it
				}
				step := 100*time.Millisecond + time.Duration(r.IntN(2000))*time.Millisecond
				f.holders[i].offset += step * time.Duration(2*r.IntN(2)-1)
			case 3:
				ownerOffset -= time.Duration(r.IntN(2000)) * time.Millisecond
			case 4:
				configure(Limit{Account: "a", Rate: uint32(1 + r.IntN(300)), Burst: uint32(1 + r.IntN(60))})
			case 5:
				f.holders[i].stalled = f.now + time.Duration(r.IntN(3000))*time.Millisecond
			case 6:
				configure(Limit{Account: "a"}) // withdrawn
				if r.IntN(4) > 0 {
					f.advance(time.Duration(r.IntN(1000))*time.Millisecond, true)
					configure(limits[0])
				}
			}
		}
		t.Logf("%d of %d requests admitted", spends, id)
	})
}

// Guards against a grant that is spent after its lifetime, which begins with its request; against a grant or
// report that is accepted by another start of the daemon or another owner; and against refilling for tokens
// that were outstanding until their expiry.
func TestGrantLifetimes(t *testing.T) {
	h := NewHolder(epoch, 7, MaxWait)
	h.Step(epoch, &SetLimits{Limits: []Limit{{Account: "a", Rate: 10, Burst: 10}}})
	out := h.Step(epoch, &AwaitToken{Account: "a", Waiter: 1})
	assert.Equal(t, len(out), 1)
	pool, grant := h.Pools["a"], Grant{Account: "a", Boot: 7, Seq: 1, Epoch: 3, ID: 1, Tokens: 3}
	foreign := grant
	foreign.Boot = 8
	assert.Equal(t, len(h.Step(epoch.Add(time.Millisecond), &foreign)), 0)
	assert.DeepEqual(t, h.Step(epoch.Add(500*time.Millisecond), &grant), []HolderAction{&Admit{Waiter: 1}})
	assert.Assert(t, pool.Take(epoch.Add(HolderLifetime-1)))
	assert.Assert(t, !pool.Take(epoch.Add(HolderLifetime)))
	late := grant
	late.ID = 2
	assert.Equal(t, len(h.Step(epoch.Add(HolderLifetime), &late)), 1) // only the report of the first grant
	assert.Assert(t, !pool.Take(epoch.Add(HolderLifetime-1)))

	granted := func(at time.Duration, o *Owner, request TokenRequest) (tokens uint32) {
		for _, a := range o.Step(epoch.Add(at), &TokensRequested{Holder: "h", Request: &request}) {
			tokens += a.(*SendGrant).Grant.Tokens
		}
		return tokens
	}
	o := NewOwner(epoch, 3, []Limit{{Account: "a", Rate: 10, Burst: 10}})
	assert.Equal(t, granted(OwnerLifetime+99*time.Millisecond, o, TokenRequest{Account: "a", Boot: 1, Seq: 1, Waiting: 1}), uint32(0))
	assert.Equal(t, granted(OwnerLifetime+time.Second, o, TokenRequest{Account: "a", Boot: 1, Seq: 2, Waiting: 10}), uint32(10))
	returned := []GrantReport{{ID: 1, Closed: true}}
	at := 2*OwnerLifetime + time.Second
	assert.Equal(t, granted(at-500*time.Millisecond, o, TokenRequest{Account: "a", Boot: 1, Seq: 3, Waiting: 1, Epoch: 2, Reports: returned}), uint32(0))
	assert.Equal(t, granted(at+300*time.Millisecond, o, TokenRequest{Account: "a", Boot: 1, Seq: 4, Waiting: 10}), uint32(3))
}

// Guards against rounding up a rate below one token per second, and against extra tokens when the period of an
// account changes.
func TestRatePerMinute(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	limits := []Limit{{Account: "a", Rate: 30, Per: time.Minute, Burst: 3}}
	o := NewOwner(now, 1, limits)
	granted := func(seq uint64) uint32 {
		total := uint32(0)
		for _, action := range o.Step(now, &TokensRequested{Holder: "h", Request: &TokenRequest{Account: "a", Boot: 1, Seq: seq, Waiting: 5}}) {
			if grant, ok := action.(*SendGrant); ok {
				total += grant.Grant.Tokens
			}
		}
		o.Step(now, &HolderGone{Holder: "h"})
		return total
	}
	now = now.Add(OwnerLifetime + 4*time.Second)
	assert.Equal(t, granted(1), uint32(2), "4 s at 30 a minute")
	now = now.Add(time.Minute)
	assert.Equal(t, granted(2), uint32(3), "the burst")
	now = now.Add(OwnerLifetime + 3*time.Second)
	limits[0].Per = time.Hour
	o.Step(now, &SetLimits{Limits: limits})
	now = now.Add(3 * time.Second)
	assert.Equal(t, granted(3), uint32(1), "the token of the seconds before the change")
}

// Guards against a new owner that refuses requests within the rate until its predecessor's grants have
// expired, and against more than burst and rate during a change of owners.
func TestRefillAtOnce(t *testing.T) {
	limits := []Limit{{Account: "a", Rate: 100, Burst: 100}}
	take := func(o *Owner, now time.Time, seq uint64) int {
		total := 0
		for _, action := range o.Step(now, &TokensRequested{Holder: "h", Request: &TokenRequest{Account: "a", Boot: 1, Seq: seq, Waiting: 1000}}) {
			if grant, ok := action.(*SendGrant); ok {
				total += int(grant.Grant.Tokens)
			}
		}
		o.Step(now, &HolderGone{Holder: "h"})
		return total
	}
	previous := NewOwner(epoch, 1, limits)
	handover := epoch.Add(10 * time.Second)
	before := take(previous, handover.Add(-time.Millisecond), 1)
	assert.Equal(t, before, 100, "the burst")
	next := NewOwner(handover, 2, limits)
	next.RefillAtOnce()
	after := take(next, handover.Add(500*time.Millisecond), 1)
	assert.Equal(t, after, 50, "half a second of the rate")
	after += take(next, handover.Add(time.Second), 2)
	assert.Assert(t, before+after <= 100+100, "%d tokens in one second", before+after)
}

// Guards against losing the tokens of requests that reached no backend server, and against returning more
// tokens than were granted.
func TestReturnedToken(t *testing.T) {
	h := NewHolder(epoch, 7, MaxWait)
	h.Step(epoch, &SetLimits{Limits: []Limit{{Account: "a", Rate: 10, Burst: 10}}})
	h.Step(epoch, &AwaitToken{Account: "a", Waiter: 1})
	h.Step(epoch, &Grant{Account: "a", Boot: 7, Seq: 1, Epoch: 3, ID: 1, Tokens: 2})
	pool := h.Pools["a"]
	assert.Assert(t, pool.Take(epoch))
	assert.Assert(t, !pool.Take(epoch))
	pool.Return()
	assert.Assert(t, pool.Take(epoch))
	for range 5 {
		pool.Return()
	}
	taken := 0
	for pool.Take(epoch) {
		taken++
	}
	assert.Assert(t, taken <= 2, "%d taken of 2 granted", taken)
}

// Guards against a report of the tokens of a pool that spends one, or that counts expired ones.
func TestUnspentTokens(t *testing.T) {
	pool := &TokenPool{base: epoch}
	assert.Equal(t, pool.Unspent(epoch), 0)
	grant := &poolGrant{tokens: 3, until: int64(time.Second)}
	pool.grants.Store(&[]*poolGrant{grant, {tokens: 5, from: int64(time.Second), until: int64(2 * time.Second)}})
	now := epoch.Add(100 * time.Millisecond)
	for want := 3; want > 0; want-- {
		assert.Equal(t, pool.Unspent(now), want)
		assert.Equal(t, pool.Unspent(now), want)
		assert.Assert(t, pool.Take(now))
	}
	assert.Assert(t, !pool.Take(now))
	assert.Equal(t, pool.Unspent(now), 0)
	assert.Equal(t, pool.Unspent(epoch.Add(time.Second)), 5)
	assert.Equal(t, pool.Unspent(epoch.Add(2*time.Second)), 0)
}
