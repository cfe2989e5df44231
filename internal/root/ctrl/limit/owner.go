package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// parkFor bounds the parked need of an account to the tokens that arrive in this time; what is beyond
	// would wait in vain and is refused at once.
	parkFor = 500 * time.Millisecond
	// serveGap is the least time between two rounds of grants to parked asks, so that tokens that arrive
	// one by one share a message.
	serveGap = 10 * time.Millisecond
	// recallGap is the least time between two recalls to one holder.
	recallGap = 100 * time.Millisecond
	// maxRecalls bounds the recalls that one ask causes, and maxRecallScan the lots looked at for them.
	maxRecalls    = 8
	maxRecallScan = 64
	// minRetryAfter is the shortest time for which a refused holder refuses locally.
	minRetryAfter = 100 * time.Millisecond
	// stockShare is the part of the level that one ask may take as stock, so that no holder empties the
	// bucket for others by demand alone.
	stockShare = 4
)

type (
	// Owner holds the buckets of all accounts on the leader; the control loop owns it.
	Owner struct {
		base  time.Time
		epoch uint64
		// last is the latest time in nanoseconds since base; skew is added to times after a step back.
		last, skew int64
		lastLot    uint64
		buckets    map[string]*bucket
		// parked lists the buckets with parked asks.
		parked []*bucket
	}

	// bucket obeys level + outstanding × unit <= burst × unit, except after the burst was lowered below
	// what is outstanding: the level is then zero.
	bucket struct {
		limit Limit
		// level is in units, refilled up to the given time.
		level, refilled int64
		// outstanding is the number of granted tokens that may still be spent.
		outstanding int64
		lots        map[uint64]*ownedLot
		// queue holds lots in order of granting, which is that of expiry; those that are closed are skipped.
		queue   []*ownedLot
		holders map[string]*asker
		// line holds the holders with a parked need, first come first served; parkedNeed is their sum.
		line       []*asker
		parkedNeed int64
		served     int64
		withdrawn  bool
	}

	// ownedLot is a granted lot; stocked marks one that holds more than what its holder needed at once.
	ownedLot struct {
		id             uint64
		holder         *asker
		tokens, spent  int64
		granted        int64
		stocked, ended bool
	}

	// asker is what a bucket knows about a holder while it has lots or a parked ask.
	asker struct {
		name      string
		boot, seq uint64
		lots      int
		// need is the parked need, since the given time; share is what a round of serve grants of it.
		need, share int64
		parkedAt    int64
		recalled    int64
	}
)

// NewOwner returns an owner whose buckets are empty and stay so until its predecessor's grants have
// expired. The epoch must be higher than that of every earlier owner (the consensus term).
func NewOwner(now time.Time, epoch uint64, limits []Limit) *Owner {
	o := &Owner{base: now, epoch: epoch, buckets: make(map[string]*bucket, len(limits))}
	o.setLimits(0, limits)
	return o
}

// RefillAtOnce makes the buckets of a new owner refill from its start on. They are empty then, so that what
// is granted from now on and what the predecessor granted within burst and rate stay within burst and rate
// over every time longer than the life of a grant; only shorter times can see more.
func (o *Owner) RefillAtOnce() {
	for _, b := range o.buckets {
		b.refilled = 0
	}
}

// unit is one token in the fixed-point numbers of a bucket; with it a rate in tokens per period is also
// a rate in units per nanosecond, so that refilling has no rounding errors.
func (b *bucket) unit() int64 { return b.limit.unit() }

// Step applies one event and returns the messages to send.
func (o *Owner) Step(now time.Time, ev OwnerEvent) []OwnerAction {
	at := o.at(now)
	switch ev := ev.(type) {
	case *TokensRequested:
		return o.asked(at, ev.Holder, ev.Request)
	case *HolderGone:
		for _, b := range slices.Clone(o.parked) {
			if h := b.holders[ev.Holder]; h != nil {
				o.unpark(b, h)
				b.forget(h)
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

// at returns the owner's time, which stands still while the clock makes up for a step back.
func (o *Owner) at(now time.Time) int64 {
	at := int64(now.Sub(o.base)) + o.skew
	if at < o.last {
		o.skew += o.last - at
		at = o.last
	}
	o.last = at
	return at
}

// due returns when a bucket with parked asks has something to do.
func (o *Owner) due(b *bucket) int64 {
	next := b.line[0].parkedAt + int64(MaxWait)
	rate := int64(b.limit.Rate)
	switch {
	case b.level >= b.unit():
		next = b.served + int64(serveGap)
	case b.outstanding < int64(b.limit.Burst):
		next = min(next, b.refilled+(b.unit()-b.level+rate-1)/rate)
	case len(b.queue) > 0:
		next = min(next, b.queue[0].granted+int64(OwnerLife))
	}
	return max(next, b.served+int64(serveGap))
}

// refill brings the level up to a time, lot expiry by lot expiry, because the room for the level changes
// with each.
func (o *Owner) refill(b *bucket, at int64) {
	for len(b.queue) > 0 {
		l := b.queue[0]
		if !l.ended && l.granted+int64(OwnerLife) > at {
			break
		}
		if !l.ended {
			b.add(l.granted + int64(OwnerLife))
			o.end(b, l)
		}
		b.queue[0] = nil
		b.queue = b.queue[1:]
	}
	b.add(at)
}

// add refills the level without any change of what is outstanding.
func (b *bucket) add(at int64) {
	passed := at - b.refilled
	if passed <= 0 {
		return
	}
	b.refilled = at
	room := (int64(b.limit.Burst)-b.outstanding)*b.unit() - b.level
	if rate := int64(b.limit.Rate); passed <= room/rate {
		b.level += passed * rate
	} else {
		b.level += max(0, room)
	}
}

// end stops counting a lot; what is not reported as spent by now counts as spent.
func (o *Owner) end(b *bucket, l *ownedLot) {
	l.ended = true
	b.outstanding -= l.tokens - l.spent
	delete(b.lots, l.id)
	l.holder.lots--
	b.forget(l.holder)
}

func (b *bucket) forget(h *asker) {
	if h.lots == 0 && h.need == 0 {
		delete(b.holders, h.name)
	}
}

// report applies the total of a lot; an older total and a lot that has ended change nothing.
func (o *Owner) report(b *bucket, r LotReport) {
	l := b.lots[r.Lot]
	if l == nil {
		return
	}
	spent := min(max(l.spent, int64(r.Spent)), l.tokens)
	b.outstanding -= spent - l.spent
	l.spent = spent
	if r.Closed {
		returned := l.tokens - spent
		o.end(b, l)
		b.level += min(returned*b.unit(), max(0, (int64(b.limit.Burst)-b.outstanding)*b.unit()-b.level))
	}
}

func (o *Owner) asked(at int64, holder string, ask *TokenRequest) []OwnerAction {
	b := o.buckets[ask.Account]
	if b == nil {
		return o.refuse(holder, ask)
	}
	o.refill(b, at)
	if ask.Epoch == o.epoch {
		for _, r := range ask.Reports {
			o.report(b, r)
		}
	}
	if b.withdrawn {
		b.level = 0
	}
	out := o.serve(b, at, nil)
	if ask.Need == 0 && ask.Demand == 0 {
		return out
	}
	if b.withdrawn {
		return append(out, o.refuse(holder, ask)...)
	}
	h := b.holders[holder]
	if h != nil && h.boot == ask.Boot && ask.Seq <= h.seq {
		return out // a repeated or overtaken ask
	}
	if h == nil {
		h = &asker{name: holder, recalled: -int64(recallGap)}
		b.holders[holder] = h
	}
	h.boot, h.seq = ask.Boot, ask.Seq
	out = o.answer(b, h, ask, at, out)
	b.forget(h)
	return out
}

// answer grants what it can, parks what can be expected soon, and refuses the rest for a while.
func (o *Owner) answer(b *bucket, h *asker, ask *TokenRequest, at int64, out []OwnerAction) []OwnerAction {
	need, stock, level := int64(ask.Need), int64(0), b.level/b.unit()
	granted := int64(0)
	if others := b.parkedNeed - h.need; others == 0 {
		granted = min(need, level)
	}
	if granted == need {
		stock = min(int64(ask.Demand), (level-granted)/stockShare)
	}
	rest := need - granted
	if rest == 0 {
		o.unpark(b, h)
		return append(out, o.grant(b, h, granted+stock, stock > 0, 0, at))
	}
	rate := int64(b.limit.Rate)
	expected := max(1, rate*int64(parkFor)/b.unit()) + b.outstanding
	others := int64(len(b.line))
	if h.need == 0 {
		others++
	}
	share := max(1, min(expected-(b.parkedNeed-h.need), expected/others))
	retry := time.Duration(0)
	if rest > share {
		rest = share
		retry = min(maxRetryAfter, max(minRetryAfter, time.Duration(b.parkedNeed*b.unit()/rate)))
	}
	o.park(b, h, rest, at)
	out = append(out, o.grant(b, h, granted, false, retry, at))
	return o.recall(b, h, at, out)
}

// grant debits the bucket and returns the message.
func (o *Owner) grant(b *bucket, h *asker, tokens int64, stocked bool, retry time.Duration, at int64) *SendGrant {
	g := &Grant{
		Account: b.limit.Account, Boot: h.boot, Seq: h.seq, Epoch: o.epoch,
		Tokens: uint32(tokens), Parked: uint32(h.need), RetryAfter: retry,
	}
	if tokens > 0 {
		o.lastLot++
		g.Lot = o.lastLot
		l := &ownedLot{id: g.Lot, holder: h, tokens: tokens, granted: at, stocked: stocked}
		b.level -= tokens * b.unit()
		b.outstanding += tokens
		b.lots[l.id] = l
		b.queue = append(b.queue, l)
		h.lots++
	}
	return &SendGrant{Holder: h.name, Grant: g}
}

func (o *Owner) park(b *bucket, h *asker, need, at int64) {
	if h.need == 0 {
		if len(b.line) == 0 {
			o.parked = append(o.parked, b)
		}
		b.line = append(b.line, h)
		h.parkedAt = at
	}
	b.parkedNeed += need - h.need
	h.need = need
}

func (o *Owner) unpark(b *bucket, h *asker) {
	if h.need == 0 {
		return
	}
	b.parkedNeed -= h.need
	h.need = 0
	b.line = slices.DeleteFunc(b.line, func(other *asker) bool { return other == h })
	if len(b.line) == 0 {
		o.parked = slices.DeleteFunc(o.parked, func(other *bucket) bool { return other == b })
	}
}

// serve grants the level to the parked asks in equal shares and ends those that waited too long. A holder
// that is served only in part goes to the end of the line.
func (o *Owner) serve(b *bucket, at int64, out []OwnerAction) []OwnerAction {
	for len(b.line) > 0 && (b.withdrawn || b.line[0].parkedAt+int64(MaxWait) <= at) {
		h := b.line[0]
		o.unpark(b, h)
		out = append(out, o.grant(b, h, 0, false, minRetryAfter, at))
		b.forget(h)
	}
	if len(b.line) == 0 || b.level < b.unit() || at < b.served+int64(serveGap) {
		return out
	}
	b.served = at
	var served []*asker
	for level := b.level / b.unit(); level > 0 && b.parkedNeed > 0; {
		share := max(1, level/int64(len(b.line)))
		for _, h := range b.line {
			n := min(share, level, h.need)
			if n == 0 {
				continue
			}
			if h.share == 0 {
				served = append(served, h)
			}
			h.share += n
			h.need -= n
			b.parkedNeed -= n
			level -= n
		}
	}
	b.line = slices.DeleteFunc(b.line, func(h *asker) bool { return h.share > 0 })
	for _, h := range served {
		if h.need > 0 {
			b.line = append(b.line, h)
		}
		out = append(out, o.grant(b, h, h.share, false, 0, at))
		h.share = 0
	}
	if len(b.line) == 0 {
		o.parked = slices.DeleteFunc(o.parked, func(other *bucket) bool { return other == b })
	}
	return out
}

// recall asks other holders for stock that they have not spent, oldest first.
func (o *Owner) recall(b *bucket, h *asker, at int64, out []OwnerAction) []OwnerAction {
	sent := 0
	for _, l := range b.queue[:min(len(b.queue), maxRecallScan)] {
		if l.ended || !l.stocked || l.spent == l.tokens || l.holder == h || at-l.holder.recalled < int64(recallGap) {
			continue
		}
		l.holder.recalled = at
		out = append(out, &SendRecall{Holder: l.holder.name, Recall: &Recall{Account: b.limit.Account, Epoch: o.epoch}})
		if sent++; sent == maxRecalls {
			break
		}
	}
	return out
}

func (o *Owner) refuse(holder string, ask *TokenRequest) []OwnerAction {
	if ask.Need == 0 && ask.Demand == 0 {
		return nil
	}
	return []OwnerAction{&SendGrant{Holder: holder, Grant: &Grant{
		Account: ask.Account, Boot: ask.Boot, Seq: ask.Seq, Epoch: o.epoch, RetryAfter: maxRetryAfter,
	}}}
}

// setLimits changes the accounts. A new account starts with an empty bucket, because it may be one that
// was withdrawn a moment ago under this owner or its predecessor.
func (o *Owner) setLimits(at int64, limits []Limit) []OwnerAction {
	var out []OwnerAction
	kept := make(map[string]bool, len(limits))
	for _, l := range limits {
		kept[l.Account] = true
		b := o.buckets[l.Account]
		if b == nil {
			b = &bucket{lots: make(map[uint64]*ownedLot), holders: make(map[string]*asker), served: -int64(serveGap)}
			b.refilled = max(at, int64(OwnerLife))
			o.buckets[l.Account] = b
		}
		if b.limit.Rate > 0 {
			o.refill(b, at)
			b.level = b.level / b.unit() * l.unit() // the units of a token change with the period
		}
		if b.withdrawn {
			b.withdrawn, b.level = false, 0
		}
		b.limit = l
		b.level = min(b.level, max(0, (int64(l.Burst)-b.outstanding)*b.unit()))
	}
	for _, account := range slices.Sorted(maps.Keys(o.buckets)) {
		b := o.buckets[account]
		if kept[account] {
			continue
		}
		o.refill(b, at)
		if b.level = 0; len(b.lots) == 0 && len(b.line) == 0 {
			delete(o.buckets, account)
			continue
		}
		b.withdrawn = true
		out = o.serve(b, at, out)
		for _, h := range slices.SortedFunc(maps.Values(b.holders), func(a, b *asker) int { return cmp.Compare(a.name, b.name) }) {
			out = append(out, &SendRecall{Holder: h.name, Recall: &Recall{Account: account, Epoch: o.epoch}})
		}
	}
	return out
}
