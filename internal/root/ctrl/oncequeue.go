package ctrl

import (
	"maps"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// maxPendingOnce bounds the idempotency commands that wait for the leader; a request for another record is
// refused at once.
const maxPendingOnce = 4096

type (
	// onceQueue holds the idempotency commands without a verdict and sends them on each new control stream. A
	// command that is sent twice has no second effect, because it names its attempt.
	onceQueue struct {
		daemon     string
		boot       uint64
		lastNumber uint64 // number of the latest command; an attempt has the number of its OnceBegin
		pending    map[uint64]*pendingOnce
	}

	// pendingOnce is one command; reply is nil when no request waits for its verdict.
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
	q := &l.daemon.onceQueue
	if len(q.pending) >= maxPendingOnce || l.daemon.session == nil {
		event.reply <- onceResult{}
		return
	}
	attempt := state.Attempt{Daemon: q.daemon, Boot: q.boot, Number: q.lastNumber + 1}
	begin := &state.OnceBegin{Scope: event.scope, Attempt: attempt, RequestHash: event.hash, At: wire.StampOf(now)}
	q.add(l, &pendingOnce{message: &OnceCall{Begin: begin}, attempt: attempt, reply: event.reply})
}

func (l *Loop) finishOnce(now time.Time, event onceFinishRequested) {
	event.finish.At = wire.StampOf(now)
	l.daemon.onceQueue.add(l, &pendingOnce{
		message: &OnceCall{Finish: event.finish}, attempt: event.finish.Attempt, reply: event.reply,
	})
}

// cancelOnce ends the wait of a request for its record. The request was refused, so the record is finished as
// not run if it may exist; otherwise retries would be refused until the leader considers this daemon gone.
func (l *Loop) cancelOnce(now time.Time, event onceWaitCanceled) {
	q := &l.daemon.onceQueue
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
	case result := <-event.reply: // the verdict arrived after the wait had ended
		if _, begun := result.verdict.(*state.OnceBegun); begun {
			finish := &state.OnceFinish{Scope: event.scope, Attempt: result.attempt, Outcome: state.NotRun, At: wire.StampOf(now)}
			q.add(l, &pendingOnce{message: &OnceCall{Finish: finish}, attempt: result.attempt})
		}
	default:
	}
}

// add sends a command until it has a verdict. One that no leader accepts has no effect.
func (q *onceQueue) add(l *Loop, c *pendingOnce) {
	if err := c.message.Check(); err != nil {
		l.log.Warn().Err(err).Msg("once-command-invalid")
		if c.reply != nil {
			c.reply <- onceResult{attempt: c.attempt}
		}
		return
	}
	q.lastNumber++
	c.message.ID = q.lastNumber
	q.pending[c.message.ID] = c
	l.sendToLeader(c.message)
}

// resend sends the commands without a verdict in their order.
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
