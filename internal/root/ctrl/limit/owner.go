package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// parkTime bounds the waiting requests of an account that may be parked to the tokens expected in this
	// time, or in the time that the requests wait if it is shorter. Further ones would time out and are refused
	// at once.
	parkTime = 500 * time.Millisecond
	// replyMargin is the part of the waiting time that is left for the messages and for serveInterval.
	replyMargin = 25 * time.Millisecond
	// serveInterval is the least time between two rounds of grants to parked requests. Tokens that are
	// refilled one by one are thus granted in one message.
	serveInterval = 10 * time.Millisecond
	// recallInterval is the least time between two recalls to one holder.
	recallInterval = 100 * time.Millisecond
	// maxRecalls bounds the recalls caused by one request, and maxRecallScan the grants examined for them.
	maxRecalls    = 8
	maxRecallScan = 64
	// minRetryAfter is the shortest time for which a refused holder refuses locally.
	minRetryAfter = 100 * time.Millisecond
	// prefetchDivisor divides the level to give the most that one request may prefetch, so that no holder
	// empties the bucket by prefetching.
	prefetchDivisor = 4
)

type (
	// Owner keeps the token buckets of all accounts on the leader; it belongs to the control loop.
	Owner struct {
		base  time.Time
		epoch uint64
		// lastTime is the latest owner time in nanoseconds since base; skew is added to times after a step back.
		lastTime, skew int64
		lastGrantID    uint64
		buckets        map[string]*bucket
		// parked lists the buckets with parked requests.
		parked []*bucket
	}

	// bucket is the token bucket of one account. It keeps level + outstanding × unitsPerToken <= burst ×
	// unitsPerToken, except after the burst was lowered below the outstanding tokens: the level is then zero.
	bucket struct {
		limit Limit
		// level is in units and was refilled up to the time refilled.
		level, refilled int64
		// outstanding is the number of granted tokens that may still be spent.
		outstanding int64
		grants      map[uint64]*issuedGrant
		// queue holds the grants in order of issue, which is that of expiry; ended grants in it are skipped.
		queue   []*issuedGrant
		holders map[string]*bucketHolder
		// parked holds the holders with parked requests, first come first served; parkedTokens is the number of
		// tokens that they wait for.
		parked       []*bucketHolder
		parkedTokens int64
		lastServed   int64
		withdrawn    bool
	}

	// issuedGrant is a grant that a holder may still spend; prefetched is set if it includes tokens beyond
	// those for waiting requests.
	issuedGrant struct {
		id                uint64
		holder            *bucketHolder
		tokens, spent     int64
		issuedAt          int64
		prefetched, ended bool
	}

	// bucketHolder is a bucket's state of a holder that has grants or a parked request.
	bucketHolder struct {
		name      string
		boot, seq uint64
		grants    int
		// waiting is the number of tokens that the parked request waits for, since parkedAt; share is the part
		// of it that the present round of serve grants.
		waiting, share int64
		parkedAt       int64
		lastRecall     int64
	}
)

// NewOwner returns an owner whose buckets are empty and are not refilled until its predecessor's grants have
// expired. The epoch (the consensus term) must be higher than that of every earlier owner.
func NewOwner(now time.Time, epoch uint64, limits []Limit) *Owner {
	o := &Owner{base: now, epoch: epoch, buckets: make(map[string]*bucket, len(limits))}
	o.setLimits(0, limits)
	return o
}

// RefillAtOnce starts the refilling of a new owner's buckets at its creation. Since they are empty then, the
// grants of both owners together stay within burst and rate over every time longer than the lifetime of a
// grant; only shorter times can exceed them.
func (o *Owner) RefillAtOnce() {
	for _, b := range o.buckets {
		b.refilled = 0
	}
}

// unitsPerToken returns the number of level units per token, the period in nanoseconds. The rate in tokens per
// period is then also the rate in units per nanosecond, so that refilling has no rounding errors.
func (b *bucket) unitsPerToken() int64 { return b.limit.periodNanos() }

// Step applies one event and returns the messages to send.
func (o *Owner) Step(now time.Time, ev OwnerEvent) []OwnerAction {
	at := o.ownerTime(now)
	switch ev := ev.(type) {
	case *TokensRequested:
		return o.handleRequest(at, ev.Holder, ev.Request)
	case *HolderGone:
		for _, b := range slices.Clone(o.parked) {
			if h := b.holders[ev.Holder]; h != nil {
				o.unpark(b, h)
				b.dropIdle(h)
			}
		}
	case *SetLimits:
		return o.setLimits(at, ev.Limits)
	case *Wake:
		var out []OwnerAction
		for _, b := range slices.Clone(o.parked) {
			if o.due(b) <= at {
				o.refill(b, at)
				out = o.serve(b, at, out)
			}
		}
		return out
	}
	return nil
}

// Deadline returns when the next Wake is due; false means that none is.
func (o *Owner) Deadline() (time.Time, bool) {
	if len(o.parked) == 0 {
		return time.Time{}, false
	}
	next := o.due(o.parked[0])
	for _, b := range o.parked[1:] {
		next = min(next, o.due(b))
	}
	return o.base.Add(time.Duration(next - o.skew)), true
}

// ownerTime returns the owner's time, which does not change when the clock steps back.
func (o *Owner) ownerTime(now time.Time) int64 {
	at := int64(now.Sub(o.base)) + o.skew
	if at < o.lastTime {
		o.skew += o.lastTime - at
		at = o.lastTime
	}
	o.lastTime = at
	return at
}

// due returns when a bucket with parked requests can serve them or has to end one.
func (o *Owner) due(b *bucket) int64 {
	next := b.parked[0].parkedAt + int64(MaxWait)
	rate := int64(b.limit.Rate)
	switch {
	case b.level >= b.unitsPerToken():
		next = b.lastServed + int64(serveInterval)
	case b.outstanding < int64(b.limit.Burst):
		next = min(next, b.refilled+(b.unitsPerToken()-b.level+rate-1)/rate)
	case len(b.queue) > 0:
		next = min(next, b.queue[0].issuedAt+int64(OwnerLifetime))
	}
	return max(next, b.lastServed+int64(serveInterval))
}

// refill refills the level up to a time, in steps from one grant's expiry to the next, because each expiry
// raises the bound of the level.
func (o *Owner) refill(b *bucket, at int64) {
	for len(b.queue) > 0 {
		g := b.queue[0]
		if !g.ended && g.issuedAt+int64(OwnerLifetime) > at {
			break
		}
		if !g.ended {
			b.addRefill(g.issuedAt + int64(OwnerLifetime))
			o.endGrant(b, g)
		}
		b.queue[0] = nil
		b.queue = b.queue[1:]
	}
	b.addRefill(at)
}

// addRefill refills the level up to a time between two changes of the outstanding tokens.
func (b *bucket) addRefill(at int64) {
	elapsed := at - b.refilled
	if elapsed <= 0 {
		return
	}
	b.refilled = at
	room := (int64(b.limit.Burst)-b.outstanding)*b.unitsPerToken() - b.level
	if rate := int64(b.limit.Rate); elapsed <= room/rate {
		b.level += elapsed * rate
	} else {
		b.level += max(0, room)
	}
}

// endGrant removes a grant from the outstanding tokens; tokens not reported as spent count as spent.
func (o *Owner) endGrant(b *bucket, g *issuedGrant) {
	g.ended = true
	b.outstanding -= g.tokens - g.spent
	delete(b.grants, g.id)
	g.holder.grants--
	b.dropIdle(g.holder)
}

func (b *bucket) dropIdle(h *bucketHolder) {
	if h.grants == 0 && h.waiting == 0 {
		delete(b.holders, h.name)
	}
}

// report applies the total of a grant; an older total and the total of an ended grant have no effect.
func (o *Owner) report(b *bucket, r GrantReport) {
	g := b.grants[r.ID]
	if g == nil {
		return
	}
	spent := min(max(g.spent, int64(r.Spent)), g.tokens)
	b.outstanding -= spent - g.spent
	g.spent = spent
	if r.Closed {
		returned := g.tokens - spent
		o.endGrant(b, g)
		b.level += min(returned*b.unitsPerToken(), max(0, (int64(b.limit.Burst)-b.outstanding)*b.unitsPerToken()-b.level))
	}
}

func (o *Owner) handleRequest(at int64, holder string, request *TokenRequest) []OwnerAction {
	b := o.buckets[request.Account]
	if b == nil {
		return o.refuse(holder, request)
	}
	o.refill(b, at)
	if request.Epoch == o.epoch {
		for _, r := range request.Reports {
			o.report(b, r)
		}
	}
	if b.withdrawn {
		b.level = 0
	}
	out := o.serve(b, at, nil)
	if request.Waiting == 0 && request.Prefetch == 0 {
		return out
	}
	if b.withdrawn {
		return append(out, o.refuse(holder, request)...)
	}
	h := b.holders[holder]
	if h != nil && h.boot == request.Boot && request.Seq <= h.seq {
		return out // a duplicate or reordered request
	}
	if h == nil {
		h = &bucketHolder{name: holder, lastRecall: -int64(recallInterval)}
		b.holders[holder] = h
	}
	h.boot, h.seq = request.Boot, request.Seq
	out = o.reply(b, h, request, at, out)
	b.dropIdle(h)
	return out
}

// reply grants the available tokens, parks the request for the tokens expected within parkTime, and refuses
// the rest.
func (o *Owner) reply(b *bucket, h *bucketHolder, request *TokenRequest, at int64, out []OwnerAction) []OwnerAction {
	waiting, prefetch, level := int64(request.Waiting), int64(0), b.level/b.unitsPerToken()
	granted := int64(0)
	if others := b.parkedTokens - h.waiting; others == 0 {
		granted = min(waiting, level)
	}
	if granted == waiting {
		prefetch = min(int64(request.Prefetch), (level-granted)/prefetchDivisor)
	}
	rest := waiting - granted
	if rest == 0 {
		o.unpark(b, h)
		return append(out, o.grant(b, h, granted+prefetch, prefetch > 0, 0, at))
	}
	expected := b.expectedTokens(cmp.Or(request.TokenWait, MaxWait) - replyMargin)
	others := int64(len(b.parked))
	if h.waiting == 0 {
		others++
	}
	share := max(0, min(expected-(b.parkedTokens-h.waiting), max(1, expected/others)))
	retryAfter := time.Duration(0)
	if rest > share {
		rest = share
		missing := (b.parkedTokens-h.waiting+rest+1)*b.unitsPerToken() - b.level
		retryAfter = min(maxRetryAfter, max(minRetryAfter, time.Duration(missing/int64(b.limit.Rate))))
	}
	if rest == 0 {
		o.unpark(b, h)
	} else {
		o.park(b, h, rest, at)
	}
	out = append(out, o.grant(b, h, granted, false, retryAfter, at))
	return o.recall(b, h, at, out)
}

// expectedTokens returns the number of tokens that are refilled for waiting requests within a time. Outstanding
// tokens are not expected back: those of waiting requests are spent on arrival, and there are prefetched ones
// only while the bucket is not empty.
func (b *bucket) expectedTokens(within time.Duration) int64 {
	rate := int64(b.limit.Rate)
	refilled := (b.level + rate*int64(min(within, parkTime))) / b.unitsPerToken()
	if refilled == 0 {
		refilled = min(1, (b.level+rate*int64(within))/b.unitsPerToken())
	}
	return refilled
}

// grant debits the bucket and returns the reply to the holder; it may grant no tokens.
func (o *Owner) grant(b *bucket, h *bucketHolder, tokens int64, prefetched bool, retryAfter time.Duration, at int64) *SendGrant {
	message := &Grant{
		Account: b.limit.Account, Boot: h.boot, Seq: h.seq, Epoch: o.epoch,
		Tokens: uint32(tokens), Parked: uint32(h.waiting), RetryAfter: retryAfter,
	}
	if tokens > 0 {
		o.lastGrantID++
		message.ID = o.lastGrantID
		issued := &issuedGrant{id: message.ID, holder: h, tokens: tokens, issuedAt: at, prefetched: prefetched}
		b.level -= tokens * b.unitsPerToken()
		b.outstanding += tokens
		b.grants[issued.id] = issued
		b.queue = append(b.queue, issued)
		h.grants++
	}
	return &SendGrant{Holder: h.name, Grant: message}
}

func (o *Owner) park(b *bucket, h *bucketHolder, waiting, at int64) {
	if h.waiting == 0 {
		if len(b.parked) == 0 {
			o.parked = append(o.parked, b)
		}
		b.parked = append(b.parked, h)
		h.parkedAt = at
	}
	b.parkedTokens += waiting - h.waiting
	h.waiting = waiting
}

func (o *Owner) unpark(b *bucket, h *bucketHolder) {
	if h.waiting == 0 {
		return
	}
	b.parkedTokens -= h.waiting
	h.waiting = 0
	b.parked = slices.DeleteFunc(b.parked, func(other *bucketHolder) bool { return other == h })
	if len(b.parked) == 0 {
		o.parked = slices.DeleteFunc(o.parked, func(other *bucket) bool { return other == b })
	}
}

// serve grants the level to the parked requests in equal shares and ends those that have waited for MaxWait.
// A holder that is served only in part goes to the end of the queue.
func (o *Owner) serve(b *bucket, at int64, out []OwnerAction) []OwnerAction {
	for len(b.parked) > 0 && (b.withdrawn || b.parked[0].parkedAt+int64(MaxWait) <= at) {
		h := b.parked[0]
		o.unpark(b, h)
		out = append(out, o.grant(b, h, 0, false, minRetryAfter, at))
		b.dropIdle(h)
	}
	if len(b.parked) == 0 || b.level < b.unitsPerToken() || at < b.lastServed+int64(serveInterval) {
		return out
	}
	b.lastServed = at
	var served []*bucketHolder
	for level := b.level / b.unitsPerToken(); level > 0 && b.parkedTokens > 0; {
		share := max(1, level/int64(len(b.parked)))
		for _, h := range b.parked {
			n := min(share, level, h.waiting)
			if n == 0 {
				continue
			}
			if h.share == 0 {
				served = append(served, h)
			}
			h.share += n
			h.waiting -= n
			b.parkedTokens -= n
			level -= n
		}
	}
	b.parked = slices.DeleteFunc(b.parked, func(h *bucketHolder) bool { return h.share > 0 })
	for _, h := range served {
		if h.waiting > 0 {
			b.parked = append(b.parked, h)
		}
		out = append(out, o.grant(b, h, h.share, false, 0, at))
		h.share = 0
	}
	if len(b.parked) == 0 {
		o.parked = slices.DeleteFunc(o.parked, func(other *bucket) bool { return other == b })
	}
	return out
}

// recall requests unspent prefetched tokens from other holders, oldest grants first.
func (o *Owner) recall(b *bucket, h *bucketHolder, at int64, out []OwnerAction) []OwnerAction {
	sent := 0
	for _, g := range b.queue[:min(len(b.queue), maxRecallScan)] {
		if g.ended || !g.prefetched || g.spent == g.tokens || g.holder == h || at-g.holder.lastRecall < int64(recallInterval) {
			continue
		}
		g.holder.lastRecall = at
		out = append(out, &SendRecall{Holder: g.holder.name, Recall: &Recall{Account: b.limit.Account, Epoch: o.epoch}})
		if sent++; sent == maxRecalls {
			break
		}
	}
	return out
}

func (o *Owner) refuse(holder string, request *TokenRequest) []OwnerAction {
	if request.Waiting == 0 && request.Prefetch == 0 {
		return nil
	}
	return []OwnerAction{&SendGrant{Holder: holder, Grant: &Grant{
		Account: request.Account, Boot: request.Boot, Seq: request.Seq, Epoch: o.epoch, RetryAfter: maxRetryAfter,
	}}}
}

// setLimits replaces the limits. A limit without a rate or burst counts as withdrawn. A new account starts with an
// empty bucket, because its limit may have been withdrawn a moment ago under this owner or its predecessor, whose
// grants may still be spent.
func (o *Owner) setLimits(at int64, limits []Limit) []OwnerAction {
	var out []OwnerAction
	kept := make(map[string]bool, len(limits))
	for _, l := range limits {
		if l.Check() != nil {
			continue
		}
		kept[l.Account] = true
		b := o.buckets[l.Account]
		if b == nil {
			b = &bucket{grants: make(map[uint64]*issuedGrant), holders: make(map[string]*bucketHolder), lastServed: -int64(serveInterval)}
			b.refilled = max(at, int64(OwnerLifetime))
			o.buckets[l.Account] = b
		}
		if b.limit.Rate > 0 {
			o.refill(b, at)
			b.level = b.level / b.unitsPerToken() * l.periodNanos() // the number of units per token changes with the period
		}
		if b.withdrawn {
			b.withdrawn, b.level = false, 0
		}
		b.limit = l
		b.level = min(b.level, max(0, (int64(l.Burst)-b.outstanding)*b.unitsPerToken()))
	}
	for _, account := range slices.Sorted(maps.Keys(o.buckets)) {
		b := o.buckets[account]
		if kept[account] {
			continue
		}
		o.refill(b, at)
		if b.level = 0; len(b.grants) == 0 && len(b.parked) == 0 {
			delete(o.buckets, account)
			continue
		}
		b.withdrawn = true
		out = o.serve(b, at, out)
		for _, h := range slices.SortedFunc(maps.Values(b.holders), func(a, b *bucketHolder) int { return cmp.Compare(a.name, b.name) }) {
			out = append(out, &SendRecall{Holder: h.name, Recall: &Recall{Account: account, Epoch: o.epoch}})
		}
	}
	return out
}
