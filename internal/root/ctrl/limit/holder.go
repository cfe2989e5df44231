package limit

import (
	"math"
	"slices"
	"time"
)

const (
	// checkInterval is the interval at which pools with tokens are checked. All pools share it, so that a
	// daemon wakes up once per interval.
	checkInterval = 100 * time.Millisecond
	// prefetchTime is how long the tokens of a pool last after a prefetch, at the estimated spend rate.
	prefetchTime = 200 * time.Millisecond
	// refillTime is the time that the tokens of a pool must last, at the estimated spend rate, or else it
	// prefetches; it covers one checkInterval and a round trip.
	refillTime = 150 * time.Millisecond
	// spendRateDecay is the time constant of the estimated spend rate.
	spendRateDecay = 400 * time.Millisecond
	// minPrefetchRate is the spend rate in tokens per second below which a pool does not prefetch.
	minPrefetchRate = 1.5
	// returnAge is the age at which the unspent tokens of a grant are returned, so that the owner receives
	// them before the grant expires there and they count as spent.
	returnAge = 700 * time.Millisecond
	// reportDelay is how long the report of a closed grant waits for a request that can carry it.
	reportDelay = 200 * time.Millisecond
	// minRequestInterval is the least time between two requests for one account.
	minRequestInterval = 10 * time.Millisecond
	// replyTimeout is how long a request may stay without a reply before the next one is sent. It is also
	// the time without prefetches after the owner granted no tokens.
	replyTimeout = 300 * time.Millisecond
	// minUpdateInterval is the least time between requests that only raise the number of waiting requests.
	minUpdateInterval = 30 * time.Millisecond
)

type (
	// Holder manages the token pools of a daemon; it belongs to the control loop.
	Holder struct {
		// Pools maps accounts to their pools. It is replaced, never modified, so that it may be published to
		// traffic goroutines.
		Pools map[string]*TokenPool

		base, lastTime time.Time
		boot           uint64
		tokenWait      time.Duration // for which a request waits for a token, zero for MaxWait
		// seq is that of the last request; epoch is the highest of all received grants.
		seq, epoch uint64
		accounts   map[string]*poolState
		// active lists the states whose due time is set.
		active []*poolState
	}

	// poolState is the control loop's state of one pool.
	poolState struct {
		account string
		pool    *TokenPool
		grants  []*heldGrant
		waiting []waiter
		// requests lists the requests of the last HolderLifetime, oldest first; a grant for any other request
		// is ignored.
		requests []sentRequest
		// pending is the seq of the request for which replies are still expected, zero if there is none;
		// pendingWaiting is its number of waiting requests. lastReply is the time of its sending or of its
		// last reply.
		pending        uint64
		pendingWaiting int
		lastReply      time.Time
		lastRequest    time.Time
		// noPrefetchUntil delays prefetches after the owner granted no tokens.
		noPrefetchUntil time.Time
		// spendRate is the estimated number of tokens spent per second, last updated at sampledAt; closedSpent
		// counts the tokens spent since then from grants that are now closed.
		spendRate   float64
		closedSpent int64
		sampledAt   time.Time
		due         time.Time
		active      bool
	}

	// heldGrant is a grant with the control loop's state of it. A closed grant is kept until its report is
	// sent; finalSpent is its number of spent tokens.
	heldGrant struct {
		*poolGrant
		// sampledSpent and reportedSpent are the numbers of spent tokens that the estimated spend rate
		// includes and that were reported to the owner.
		sampledSpent, reportedSpent int64
		finalSpent                  int64
		closed                      bool
	}

	waiter struct {
		id    uint64
		since time.Time
	}

	sentRequest struct {
		seq    uint64
		sentAt time.Time
		grants []uint64
	}
)

// NewHolder returns a holder without accounts; boot differs for each start of the daemon. tokenWait, at most
// MaxWait, is how long requests usually wait for a token, zero for MaxWait; the owner refuses those that would get none
// in it.
func NewHolder(now time.Time, boot uint64, tokenWait time.Duration) *Holder {
	return &Holder{base: now, lastTime: now, boot: boot, tokenWait: min(tokenWait, MaxWait), accounts: make(map[string]*poolState)}
}

// Step applies one event and returns the resulting messages and the decisions about waiting requests.
func (h *Holder) Step(now time.Time, ev HolderEvent) []HolderAction {
	var out []HolderAction
	if now.Before(h.lastTime) {
		h.resetAfterClockStep(now)
	}
	h.lastTime = now
	switch ev := ev.(type) {
	case *AwaitToken:
		return h.awaitToken(now, ev, out)
	case *Cancel:
		if s := h.accounts[ev.Account]; s != nil {
			s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.id == ev.Waiter })
		}
	case *Grant:
		h.epoch = max(h.epoch, ev.Epoch)
		if s := h.accounts[ev.Account]; s != nil {
			return h.update(now, s, h.accept(now, s, ev, out))
		}
	case *Recall:
		if s := h.accounts[ev.Account]; s != nil && ev.Epoch == h.epoch {
			s.closeGrants(func(*heldGrant) bool { return true })
			return h.update(now, s, h.request(now, s, 0, 0, out))
		}
	case *SetLimits:
		return h.setLimits(now, ev.Limits, out)
	case *Connected:
		for _, s := range slices.Clone(h.active) {
			s.pending = 0
			for _, g := range s.grants {
				g.reportedSpent = 0 // reports may be lost with the earlier stream
			}
			out = h.update(now, s, out)
		}
	case *Wake:
		for _, s := range slices.Clone(h.active) {
			if !s.due.After(now) {
				out = h.update(now, s, out)
			}
		}
	}
	return out
}

// Deadline returns when the next Wake is due; false means that none is.
func (h *Holder) Deadline() (time.Time, bool) {
	var next time.Time
	for _, s := range h.active {
		if next.IsZero() || s.due.Before(next) {
			next = s.due
		}
	}
	return next, !next.IsZero()
}

func (h *Holder) awaitToken(now time.Time, ev *AwaitToken, out []HolderAction) []HolderAction {
	s := h.accounts[ev.Account]
	if s == nil {
		return append(out, &Refuse{Waiter: ev.Waiter, RetryAfter: maxRetryAfter})
	}
	if retry := s.pool.RetryAfter(now); retry > 0 && !s.pool.Take(now) {
		return append(out, &Refuse{Waiter: ev.Waiter, RetryAfter: retry})
	} else if retry > 0 {
		return append(out, &Admit{Waiter: ev.Waiter})
	}
	s.waiting = append(s.waiting, waiter{ev.Waiter, now})
	return h.update(now, s, out)
}

// resetAfterClockStep closes all grants and drops all sent requests after the clock stepped back, because
// their age is unknown.
func (h *Holder) resetAfterClockStep(now time.Time) {
	for _, s := range h.active {
		s.closeGrants(func(*heldGrant) bool { return true })
		s.requests, s.pending = nil, 0
		s.lastRequest, s.lastReply, s.sampledAt = now, now, now
		s.noPrefetchUntil, s.due = now, now
		s.pool.refuseUntil.Store(0)
		for i := range s.waiting {
			s.waiting[i].since = now
		}
	}
}

func (h *Holder) setLimits(now time.Time, limits []Limit, out []HolderAction) []HolderAction {
	pools := make(map[string]*TokenPool, len(limits))
	for _, l := range limits {
		s := h.accounts[l.Account]
		if s == nil {
			s = &poolState{account: l.Account, pool: &TokenPool{base: h.base}, sampledAt: now}
			h.accounts[l.Account] = s
		}
		pools[l.Account] = s.pool
	}
	for _, s := range slices.Clone(h.active) {
		if pools[s.account] != nil {
			continue
		}
		s.closeGrants(func(*heldGrant) bool { return true })
		for _, w := range s.waiting {
			out = append(out, &Refuse{Waiter: w.id, RetryAfter: maxRetryAfter})
		}
		if s.hasUnreported() {
			out = h.request(now, s, 0, 0, out)
		}
		h.setDue(s, time.Time{})
	}
	for account := range h.accounts {
		if pools[account] == nil {
			delete(h.accounts, account)
		}
	}
	h.Pools = pools
	return out
}

// accept adds a grant to the pool; its lifetime began when its request was sent. Waiting requests are
// served before the grant is published. Duplicate grants and grants for an expired request are ignored: the
// owner counts their tokens as spent when the grant expires there.
func (h *Holder) accept(now time.Time, s *poolState, grant *Grant, out []HolderAction) []HolderAction {
	index := slices.IndexFunc(s.requests, func(r sentRequest) bool { return r.seq == grant.Seq })
	if index < 0 || grant.Boot != h.boot || now.Sub(s.requests[index].sentAt) >= HolderLifetime || slices.Contains(s.requests[index].grants, grant.ID) {
		return out
	}
	request := &s.requests[index]
	if grant.Tokens > 0 {
		request.grants = append(request.grants, grant.ID)
		held := &poolGrant{epoch: grant.Epoch, id: grant.ID, tokens: int64(grant.Tokens), from: int64(request.sentAt.Sub(h.base))}
		held.until = held.from + int64(HolderLifetime)
		held.latest.Store(int64(now.Sub(h.base)))
		served := min(len(s.waiting), int(grant.Tokens))
		for _, w := range s.waiting[:served] {
			out = append(out, &Admit{Waiter: w.id})
		}
		s.waiting = s.waiting[served:]
		held.spent.Store(int64(served))
		s.grants = append(s.grants, &heldGrant{poolGrant: held})
		s.publish()
	}
	if grant.Seq != s.pending {
		return out
	}
	s.lastReply = now
	if grant.Parked == 0 {
		s.pending = 0
	}
	if grant.Tokens == 0 && grant.Parked == 0 {
		s.noPrefetchUntil = now.Add(replyTimeout)
	}
	if grant.RetryAfter > 0 {
		s.pool.refuseUntil.Store(int64(now.Sub(h.base) + grant.RetryAfter))
		kept := min(len(s.waiting), int(grant.Parked))
		for _, w := range s.waiting[kept:] {
			out = append(out, &Refuse{Waiter: w.id, RetryAfter: grant.RetryAfter})
		}
		s.waiting = s.waiting[:kept]
	}
	return out
}

// update ends the waits and grants of one account that are over, requests missing tokens and sets the next
// due time.
func (h *Holder) update(now time.Time, s *poolState, out []HolderAction) []HolderAction {
	for len(s.waiting) > 0 && now.Sub(s.waiting[0].since) >= MaxWait {
		out = append(out, &Refuse{Waiter: s.waiting[0].id})
		s.waiting = s.waiting[1:]
	}
	for len(s.waiting) > 0 && s.pool.Take(now) {
		out = append(out, &Admit{Waiter: s.waiting[0].id})
		s.waiting = s.waiting[1:]
	}
	s.sample(now)
	at := int64(now.Sub(h.base))
	s.closeGrants(func(g *heldGrant) bool {
		return !g.valid(at) || g.used() == g.tokens || at-g.from >= int64(returnAge)
	})
	s.requests = slices.DeleteFunc(s.requests, func(r sentRequest) bool { return now.Sub(r.sentAt) >= HolderLifetime })

	waiting, unspent := len(s.waiting), s.unspent()
	if retry := s.pool.RetryAfter(now); retry > 0 && s.pending == 0 {
		for _, w := range s.waiting {
			out = append(out, &Refuse{Waiter: w.id, RetryAfter: retry})
		}
		s.waiting, waiting = nil, 0
	}
	if s.pending != 0 && now.Sub(s.lastReply) >= replyTimeout {
		s.pending = 0
	}
	prefetch := 0
	if s.spendRate >= minPrefetchRate && float64(unspent) < s.spendRate*refillTime.Seconds() && s.pool.RetryAfter(now) == 0 && !now.Before(s.noPrefetchUntil) {
		prefetch = max(0, int(math.Ceil(s.spendRate*prefetchTime.Seconds()))-unspent)
	}
	mustRequest := s.pending == 0 && waiting+prefetch > 0 ||
		s.pending != 0 && waiting > s.pendingWaiting && (s.pendingWaiting == 0 || now.Sub(s.lastRequest) >= minUpdateInterval)
	sinceRequest := now.Sub(s.lastRequest)
	switch {
	case mustRequest && sinceRequest >= minRequestInterval:
		out = h.request(now, s, waiting, prefetch, out)
	case s.hasUnreported() && sinceRequest >= reportDelay:
		out = h.request(now, s, 0, 0, out)
	}
	h.setDue(s, h.nextDue(now, s, mustRequest && sinceRequest < minRequestInterval))
	return out
}

// nextDue returns the time of the account's next update if no event comes first; zero if it is idle. soon is
// set if a request waits for minRequestInterval to pass.
func (h *Holder) nextDue(now time.Time, s *poolState, soon bool) time.Time {
	var due time.Time
	if len(s.grants) > 0 || len(s.waiting) > 0 || s.pending != 0 {
		due = h.base.Add((now.Sub(h.base)/checkInterval + 1) * checkInterval)
	}
	if soon {
		due = s.lastRequest.Add(minRequestInterval)
	}
	if len(s.waiting) > 0 {
		if end := s.waiting[0].since.Add(MaxWait); end.Before(due) {
			due = end
		}
	}
	return due
}

func (h *Holder) setDue(s *poolState, due time.Time) {
	s.due = due
	switch {
	case due.IsZero() && s.active:
		h.active = slices.DeleteFunc(h.active, func(other *poolState) bool { return other == s })
	case !due.IsZero() && !s.active:
		h.active = append(h.active, s)
	}
	s.active = !due.IsZero()
}

// request sends a token request with the reports that are due; without waiting and prefetch it only reports.
func (h *Holder) request(now time.Time, s *poolState, waiting, prefetch int, out []HolderAction) []HolderAction {
	h.seq++
	request := &TokenRequest{
		Account: s.account, Boot: h.boot, Seq: h.seq, Epoch: h.epoch,
		Waiting: uint32(min(waiting, maxRequestTokens)), Prefetch: uint32(min(prefetch, maxRequestTokens)),
		TokenWait: h.tokenWait,
	}
	s.grants = slices.DeleteFunc(s.grants, func(g *heldGrant) bool {
		if g.epoch != h.epoch {
			return g.closed // an owner accepts reports of its own grants only
		}
		spent := g.totalSpent()
		if len(request.Reports) == maxReports || !g.closed && spent == g.reportedSpent {
			return false
		}
		request.Reports = append(request.Reports, GrantReport{ID: g.id, Spent: uint32(spent), Closed: g.closed})
		g.reportedSpent = spent
		return g.closed
	})
	s.lastRequest = now
	if waiting+prefetch > 0 {
		s.requests = append(s.requests, sentRequest{seq: h.seq, sentAt: now})
		s.pending, s.pendingWaiting, s.lastReply = h.seq, waiting, now
	}
	return append(out, &SendRequest{Request: request})
}

// closeGrants closes the grants that match and removes them from the pool.
func (s *poolState) closeGrants(match func(*heldGrant) bool) {
	changed := false
	for _, g := range s.grants {
		if !g.closed && match(g) {
			g.finalSpent, g.closed, changed = g.close(), true, true
			s.closedSpent += g.finalSpent - g.sampledSpent
		}
	}
	if changed {
		s.publish()
	}
}

// publish replaces the pool's list of grants.
func (s *poolState) publish() {
	open := make([]*poolGrant, 0, len(s.grants))
	for _, g := range s.grants {
		if !g.closed {
			open = append(open, g.poolGrant)
		}
	}
	s.pool.grants.Store(&open)
}

// sample updates the estimated spend rate with the tokens spent since the last sample.
func (s *poolState) sample(now time.Time) {
	elapsed := now.Sub(s.sampledAt)
	if elapsed < minRequestInterval {
		return
	}
	spent := s.closedSpent
	for _, g := range s.grants {
		if !g.closed {
			used := g.used()
			spent += used - g.sampledSpent
			g.sampledSpent = used
		}
	}
	decay := math.Exp(-elapsed.Seconds() / spendRateDecay.Seconds())
	s.spendRate = s.spendRate*decay + float64(spent)/elapsed.Seconds()*(1-decay)
	s.sampledAt, s.closedSpent = now, 0
}

func (s *poolState) unspent() int {
	unspent := int64(0)
	for _, g := range s.grants {
		if !g.closed {
			unspent += g.tokens - g.used()
		}
	}
	return int(unspent)
}

// totalSpent returns the number of spent tokens, also of a closed grant.
func (g *heldGrant) totalSpent() int64 {
	if g.closed {
		return g.finalSpent
	}
	return g.used()
}

func (s *poolState) hasUnreported() bool {
	return slices.ContainsFunc(s.grants, func(g *heldGrant) bool { return g.closed })
}
