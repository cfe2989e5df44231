package limit

import (
	"math"
	"slices"
	"time"
)

const (
	// tick is the interval at which cells with tokens are checked; all cells share it, so that a daemon
	// wakes up once per interval.
	tick = 100 * time.Millisecond
	// stockFor is the recent use that the stock of a cell covers after an ask.
	stockFor = 200 * time.Millisecond
	// lowFor is the recent use below which the stock is topped up; it covers one tick and a round trip.
	lowFor = 150 * time.Millisecond
	// useTime is the time constant of the use estimate.
	useTime = 400 * time.Millisecond
	// minUse is the use in tokens per second below which no stock is kept.
	minUse = 1.5
	// returnAfter is the age at which what is left of a lot is returned, in time for the owner to have it
	// back before it would have to count it as spent.
	returnAfter = 700 * time.Millisecond
	// reportAfter is how long spent tokens wait for an ask that can carry their report.
	reportAfter = 200 * time.Millisecond
	// askGap is the least time between two asks for one account.
	askGap = 10 * time.Millisecond
	// askAgain is how long an ask may stay without an answer.
	askAgain = 300 * time.Millisecond
	// updateAfter is the least time between asks that only raise the number of waiting requests.
	updateAfter = 100 * time.Millisecond
)

type (
	// Holder is the control loop's side of a daemon's cells; the control loop owns it.
	Holder struct {
		// Cells is replaced, never modified, so that it may be published to traffic goroutines.
		Pools map[string]*TokenPool

		base, last time.Time
		boot       uint64
		// seq is that of the last ask; epoch is the highest that a grant carried.
		seq, epoch uint64
		accounts   map[string]*stock
		// active lists the accounts whose due time is set.
		active []*stock
	}

	// stock is the loop's side of one cell.
	stock struct {
		account string
		cell    *TokenPool
		lots    []*heldLot
		waiting []waiter
		// asks are those of the last HolderLife, oldest first; a grant for any other ask is ignored.
		asks []sentAsk
		// pending is the seq of the ask that the owner has not answered completely, zero when there is
		// none; pendingNeed is what it asked for, and answered is when it was last heard of.
		pending     uint64
		pendingNeed int
		answered    time.Time
		lastAsk     time.Time
		// noStockUntil holds off asks for stock after the owner had none to give.
		noStockUntil time.Time
		// use is in tokens per second, last sampled at the given time; taken counts the tokens of lots
		// that were closed since.
		use     float64
		taken   int64
		sampled time.Time
		due     time.Time
		active  bool
	}

	// heldLot is a lot with what the loop knows about it. A closed lot stays until its report is sent;
	// used is then final.
	heldLot struct {
		*lot
		// sampled and reported are the spent tokens that the use estimate and the owner know of.
		sampled, reported int64
		final             int64
		closed            bool
	}

	waiter struct {
		id    uint64
		since time.Time
	}

	sentAsk struct {
		seq  uint64
		at   time.Time
		lots []uint64
	}
)

// NewHolder returns a holder without accounts; boot differs for each start of the daemon.
func NewHolder(now time.Time, boot uint64) *Holder {
	return &Holder{base: now, last: now, boot: boot, accounts: make(map[string]*stock)}
}

// Step applies one event and returns what to send and which waiting requests to answer.
func (h *Holder) Step(now time.Time, ev HolderEvent) []HolderAction {
	var out []HolderAction
	if now.Before(h.last) {
		h.stepBack(now)
	}
	h.last = now
	switch ev := ev.(type) {
	case *AwaitToken:
		return h.need(now, ev, out)
	case *Cancel:
		if s := h.accounts[ev.Account]; s != nil {
			s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.id == ev.Waiter })
		}
	case *Grant:
		h.epoch = max(h.epoch, ev.Epoch)
		if s := h.accounts[ev.Account]; s != nil {
			return h.settle(now, s, h.accept(now, s, ev, out))
		}
	case *Recall:
		if s := h.accounts[ev.Account]; s != nil && ev.Epoch == h.epoch {
			s.closeLots(func(*heldLot) bool { return true })
			return h.settle(now, s, h.ask(now, s, 0, 0, out))
		}
	case *SetLimits:
		return h.setLimits(now, ev.Limits, out)
	case *Connected:
		for _, s := range slices.Clone(h.active) {
			s.pending = 0
			for _, l := range s.lots {
				l.reported = 0 // reports may be lost with the old stream
			}
			out = h.settle(now, s, out)
		}
	case *Wake:
		for _, s := range slices.Clone(h.active) {
			if !s.due.After(now) {
				out = h.settle(now, s, out)
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

func (h *Holder) need(now time.Time, ev *AwaitToken, out []HolderAction) []HolderAction {
	s := h.accounts[ev.Account]
	if s == nil {
		return append(out, &Refuse{Waiter: ev.Waiter, RetryAfter: maxRetryAfter})
	}
	if retry := s.cell.RetryAfter(now); retry > 0 && !s.cell.Take(now) {
		return append(out, &Refuse{Waiter: ev.Waiter, RetryAfter: retry})
	} else if retry > 0 {
		return append(out, &Admit{Waiter: ev.Waiter})
	}
	s.waiting = append(s.waiting, waiter{ev.Waiter, now})
	return h.settle(now, s, out)
}

// stepBack gives up everything whose age is no longer known.
func (h *Holder) stepBack(now time.Time) {
	for _, s := range h.active {
		s.closeLots(func(*heldLot) bool { return true })
		s.asks, s.pending = nil, 0
		s.lastAsk, s.answered, s.sampled = now, now, now
		s.noStockUntil, s.due = now, now
		s.cell.refuseUntil.Store(0)
		for i := range s.waiting {
			s.waiting[i].since = now
		}
	}
}

func (h *Holder) setLimits(now time.Time, limits []Limit, out []HolderAction) []HolderAction {
	cells := make(map[string]*TokenPool, len(limits))
	for _, l := range limits {
		s := h.accounts[l.Account]
		if s == nil {
			s = &stock{account: l.Account, cell: &TokenPool{base: h.base}, sampled: now}
			h.accounts[l.Account] = s
		}
		cells[l.Account] = s.cell
	}
	for _, s := range slices.Clone(h.active) {
		if cells[s.account] != nil {
			continue
		}
		s.closeLots(func(*heldLot) bool { return true })
		for _, w := range s.waiting {
			out = append(out, &Refuse{Waiter: w.id, RetryAfter: maxRetryAfter})
		}
		if s.unreported() {
			out = h.ask(now, s, 0, 0, out)
		}
		h.setDue(s, time.Time{})
	}
	for account := range h.accounts {
		if cells[account] == nil {
			delete(h.accounts, account)
		}
	}
	h.Pools = cells
	return out
}

// accept turns a grant into a lot whose life began when its ask was sent. Waiting requests are served
// before the lot is published. A repeated grant and one whose ask is no longer remembered are ignored:
// the owner counts their tokens as spent when the lot expires there.
func (h *Holder) accept(now time.Time, s *stock, g *Grant, out []HolderAction) []HolderAction {
	at := slices.IndexFunc(s.asks, func(a sentAsk) bool { return a.seq == g.Seq })
	if at < 0 || g.Boot != h.boot || now.Sub(s.asks[at].at) >= HolderLife || slices.Contains(s.asks[at].lots, g.Lot) {
		return out
	}
	ask := &s.asks[at]
	if g.Tokens > 0 {
		ask.lots = append(ask.lots, g.Lot)
		l := &lot{epoch: g.Epoch, id: g.Lot, tokens: int64(g.Tokens), from: int64(ask.at.Sub(h.base))}
		l.until = l.from + int64(HolderLife)
		l.latest.Store(int64(now.Sub(h.base)))
		served := min(len(s.waiting), int(g.Tokens))
		for _, w := range s.waiting[:served] {
			out = append(out, &Admit{Waiter: w.id})
		}
		s.waiting = s.waiting[served:]
		l.spent.Store(int64(served))
		s.lots = append(s.lots, &heldLot{lot: l})
		s.publish()
	}
	if g.Seq != s.pending {
		return out
	}
	s.answered = now
	if g.Parked == 0 {
		s.pending = 0
	}
	if g.Tokens == 0 && g.Parked == 0 {
		s.noStockUntil = now.Add(askAgain)
	}
	if g.RetryAfter > 0 {
		s.cell.refuseUntil.Store(int64(now.Sub(h.base) + g.RetryAfter))
		kept := min(len(s.waiting), int(g.Parked))
		for _, w := range s.waiting[kept:] {
			out = append(out, &Refuse{Waiter: w.id, RetryAfter: g.RetryAfter})
		}
		s.waiting = s.waiting[:kept]
	}
	return out
}

// settle brings one account up to date: it ends waits and lots that are over, asks for what is missing
// and sets the next due time.
func (h *Holder) settle(now time.Time, s *stock, out []HolderAction) []HolderAction {
	for len(s.waiting) > 0 && now.Sub(s.waiting[0].since) >= MaxWait {
		out = append(out, &Refuse{Waiter: s.waiting[0].id})
		s.waiting = s.waiting[1:]
	}
	for len(s.waiting) > 0 && s.cell.Take(now) {
		out = append(out, &Admit{Waiter: s.waiting[0].id})
		s.waiting = s.waiting[1:]
	}
	s.sample(now)
	at := int64(now.Sub(h.base))
	s.closeLots(func(l *heldLot) bool {
		return !l.valid(at) || l.used() == l.tokens || at-l.from >= int64(returnAfter)
	})
	s.asks = slices.DeleteFunc(s.asks, func(a sentAsk) bool { return now.Sub(a.at) >= HolderLife })

	need, left := len(s.waiting), s.left()
	if retry := s.cell.RetryAfter(now); retry > 0 && s.pending == 0 {
		for _, w := range s.waiting {
			out = append(out, &Refuse{Waiter: w.id, RetryAfter: retry})
		}
		s.waiting, need = nil, 0
	}
	if s.pending != 0 && now.Sub(s.answered) >= askAgain {
		s.pending = 0
	}
	demand := 0
	if s.use >= minUse && float64(left) < s.use*lowFor.Seconds() && s.cell.RetryAfter(now) == 0 && !now.Before(s.noStockUntil) {
		demand = max(0, int(math.Ceil(s.use*stockFor.Seconds()))-left)
	}
	wants := s.pending == 0 && need+demand > 0 ||
		s.pending != 0 && need > s.pendingNeed && (s.pendingNeed == 0 || now.Sub(s.lastAsk) >= updateAfter)
	since := now.Sub(s.lastAsk)
	switch {
	case wants && since >= askGap:
		out = h.ask(now, s, need, demand, out)
	case s.unreported() && since >= reportAfter:
		out = h.ask(now, s, 0, 0, out)
	}
	h.setDue(s, h.dueAfter(now, s, wants && since < askGap))
	return out
}

// dueAfter returns when the account needs attention without another event; zero when it is idle.
func (h *Holder) dueAfter(now time.Time, s *stock, soon bool) time.Time {
	var due time.Time
	if len(s.lots) > 0 || len(s.waiting) > 0 || s.pending != 0 {
		due = h.base.Add((now.Sub(h.base)/tick + 1) * tick)
	}
	if soon {
		due = s.lastAsk.Add(askGap)
	}
	if len(s.waiting) > 0 {
		if end := s.waiting[0].since.Add(MaxWait); end.Before(due) {
			due = end
		}
	}
	return due
}

func (h *Holder) setDue(s *stock, due time.Time) {
	s.due = due
	switch {
	case due.IsZero() && s.active:
		h.active = slices.DeleteFunc(h.active, func(other *stock) bool { return other == s })
	case !due.IsZero() && !s.active:
		h.active = append(h.active, s)
	}
	s.active = !due.IsZero()
}

// ask sends an ask with the reports that are due; without need and demand it only reports.
func (h *Holder) ask(now time.Time, s *stock, need, demand int, out []HolderAction) []HolderAction {
	h.seq++
	ask := &TokenRequest{
		Account: s.account, Boot: h.boot, Seq: h.seq, Epoch: h.epoch,
		Need: uint32(min(need, maxWanted)), Demand: uint32(min(demand, maxWanted)),
	}
	s.lots = slices.DeleteFunc(s.lots, func(l *heldLot) bool {
		if l.epoch != h.epoch {
			return l.closed // an owner knows only its own lots
		}
		used := l.known()
		if len(ask.Reports) == maxReports || !l.closed && used == l.reported {
			return false
		}
		ask.Reports = append(ask.Reports, LotReport{Lot: l.id, Spent: uint32(used), Closed: l.closed})
		l.reported = used
		return l.closed
	})
	s.lastAsk = now
	if need+demand > 0 {
		s.asks = append(s.asks, sentAsk{seq: h.seq, at: now})
		s.pending, s.pendingNeed, s.answered = h.seq, need, now
	}
	return append(out, &SendRequest{Request: ask})
}

// closeLots closes the lots that match and takes them off the cell.
func (s *stock) closeLots(match func(*heldLot) bool) {
	changed := false
	for _, l := range s.lots {
		if !l.closed && match(l) {
			l.final, l.closed, changed = l.close(), true, true
			s.taken += l.final - l.sampled
		}
	}
	if changed {
		s.publish()
	}
}

// publish replaces the list of lots from which traffic spends.
func (s *stock) publish() {
	open := make([]*lot, 0, len(s.lots))
	for _, l := range s.lots {
		if !l.closed {
			open = append(open, l.lot)
		}
	}
	s.cell.lots.Store(&open)
}

// sample updates the use estimate with the tokens spent since the last sample.
func (s *stock) sample(now time.Time) {
	passed := now.Sub(s.sampled)
	if passed < askGap {
		return
	}
	taken := s.taken
	for _, l := range s.lots {
		if !l.closed {
			used := l.used()
			taken += used - l.sampled
			l.sampled = used
		}
	}
	keep := math.Exp(-passed.Seconds() / useTime.Seconds())
	s.use = s.use*keep + float64(taken)/passed.Seconds()*(1-keep)
	s.sampled, s.taken = now, 0
}

func (s *stock) left() int {
	left := int64(0)
	for _, l := range s.lots {
		if !l.closed {
			left += l.tokens - l.used()
		}
	}
	return int(left)
}

// known returns how many tokens of the lot are spent, for a report.
func (l *heldLot) known() int64 {
	if l.closed {
		return l.final
	}
	return l.used()
}

func (s *stock) unreported() bool {
	return slices.ContainsFunc(s.lots, func(l *heldLot) bool { return l.closed })
}
