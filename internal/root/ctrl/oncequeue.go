package ctrl

import (
	"maps"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// maxPendingOnce bounds the idempotency commands that wait for the leader; more are refused at once.
const maxPendingOnce = 4096

type (
	// onceQueue holds the idempotency commands without a verdict; they are sent again on each new control
	// stream. Commands are idempotent by their attempt.
	onceQueue struct {
		daemon  string
		boot    uint64
		next    uint64 // attempt and call numbers
		pending map[uint64]*pendingOnce
	}

	// pendingOnce is one command; reply is nil when nobody waits for its verdict.
	pendingOnce struct {
		message *OnceCall
		attempt state.Attempt
		reply   chan<- onceResult
	}
)

func newOnceQueue(cfg Options) onceQueue {
	return onceQueue{daemon: cfg.PeerAddress, boot: cfg.Boot, pending: map[uint64]*pendingOnce{}}
}

func (l *Loop) beginOnce(now time.Time, event onceBeginRequested) {
	q := &l.daemon.once
	if len(q.pending) >= maxPendingOnce || l.daemon.session == nil {
		event.reply <- onceResult{}
		return
	}
	attempt := state.Attempt{Daemon: q.daemon, Boot: q.boot, Number: q.next + 1}
	begin := &state.OnceBegin{Scope: event.scope, Attempt: attempt, RequestHash: event.hash, At: wire.StampOf(now)}
	q.add(l, &pendingOnce{message: &OnceCall{Begin: begin}, attempt: attempt, reply: event.reply})
}

func (l *Loop) finishOnce(now time.Time, event onceFinishRequested) {
	event.finish.At = wire.StampOf(now)
	l.daemon.once.add(l, &pendingOnce{
		message: &OnceCall{Finish: event.finish}, attempt: event.finish.Attempt, reply: event.reply,
	})
}

// cancelOnce ends a wait. A record that may have been begun is finished as not run, because the request
// was refused; without that its resends would be refused until this daemon is gone.
func (l *Loop) cancelOnce(now time.Time, event onceWaitCanceled) {
	q := &l.daemon.once
	for id, pending := range q.pending {
		if pending.reply != event.reply {
			continue
		}
		delete(q.pending, id)
		if begin := pending.message.Begin; begin != nil {
			finish := &state.OnceFinish{Scope: begin.Scope, Attempt: begin.Attempt, Outcome: state.NotRun, At: wire.StampOf(now)}
			q.add(l, &pendingOnce{message: &OnceCall{Finish: finish}, attempt: begin.Attempt})
		}
		return
	}
	select {
	case result := <-event.reply: // the verdict arrived when nobody waited any more
		if _, begun := result.verdict.(*state.OnceBegun); begun {
			finish := &state.OnceFinish{Scope: event.scope, Attempt: result.attempt, Outcome: state.NotRun, At: wire.StampOf(now)}
			q.add(l, &pendingOnce{message: &OnceCall{Finish: finish}, attempt: result.attempt})
		}
	default:
	}
}

func (q *onceQueue) add(l *Loop, c *pendingOnce) {
	q.next++
	c.message.ID = q.next
	q.pending[c.message.ID] = c
	l.sendToLeader(c.message)
}

// resend repeats the commands without a verdict in their order.
func (q *onceQueue) resend(l *Loop) {
	for _, id := range slices.Sorted(maps.Keys(q.pending)) {
		l.sendToLeader(q.pending[id].message)
	}
}

func (q *onceQueue) handleReply(l *Loop, message *OnceReply) {
	pending, ok := q.pending[message.ID]
	if !ok {
		return
	}
	delete(q.pending, message.ID)
	if pending.reply == nil {
		return
	}
	result := onceResult{attempt: pending.attempt}
	if len(message.Verdict) > 0 {
		verdict, err := state.DecodeVerdict(message.Verdict)
		if err != nil {
			l.log.Error().Err(err).Msg("once-verdict-unreadable")
		}
		result.verdict, _ = verdict.(state.OnceVerdict)
	}
	pending.reply <- result
}
