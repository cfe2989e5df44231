package logs

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queuedLines bounds the lines that wait for a reader of the log that is slow or has stopped.
	queuedLines = 1024

	// notesPerSecond and routinePerSecond bound the lines of level info and debug. Warnings and errors are
	// bounded by the queue alone.
	notesPerSecond   = 80
	routinePerSecond = 10

	// saved is how many seconds of an unused bound can be used at once.
	saved = 3

	countEvery = time.Second
)

type (
	// Budget bounds the lines of a log by their level; what it leaves out is counted. It implements
	// zerolog.Sampler.
	Budget struct {
		now  func() time.Time
		left atomic.Uint64 // lines left out since the last count

		mu      sync.Mutex
		notes   allowance
		routine allowance
	}

	// Queue writes lines in the background: who logs never waits for the reader of the log.
	Queue struct {
		to    io.Writer
		lines chan []byte
		lost  atomic.Uint64 // lines that found the queue full since the last count
	}

	// allowance refills at a steady rate.
	allowance struct {
		perSecond float64
		credit    float64
		at        time.Time
	}
)

// NewBudget returns a budget with its standard bounds; now is the time source.
func NewBudget(now func() time.Time) *Budget {
	return &Budget{
		now: now, notes: allowance{perSecond: notesPerSecond, credit: saved * notesPerSecond},
		routine: allowance{perSecond: routinePerSecond, credit: saved * routinePerSecond},
	}
}

// Sample reports whether a line of the level is written.
func (b *Budget) Sample(level zerolog.Level) bool {
	if level >= zerolog.WarnLevel {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	bound := &b.routine
	if level == zerolog.InfoLevel {
		bound = &b.notes
	}
	if bound.take(b.now()) {
		return true
	}
	b.left.Add(1)
	return false
}

func (a *allowance) take(now time.Time) bool {
	if !a.at.IsZero() {
		a.credit = min(a.credit+max(now.Sub(a.at).Seconds(), 0)*a.perSecond, saved*a.perSecond)
	}
	a.at = now
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}

// NewQueue returns a queue in front of to.
func NewQueue(to io.Writer) *Queue { return &Queue{to: to, lines: make(chan []byte, queuedLines)} }

// Write queues a line, or counts it as lost when the queue is full. It never waits.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.lost.Add(1)
	}
	return len(line), nil
}

// Run writes the lines until ctx ends, and what is queued then. Once a second it logs how many lines were
// left out.
func (q *Queue) Run(ctx context.Context, log zerolog.Logger, budget *Budget) error {
	timer := time.NewTicker(countEvery)
	defer timer.Stop()
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-timer.C:
			if left, lost := budget.left.Swap(0), q.lost.Swap(0); left+lost > 0 {
				log.Warn().Uint64("over-budget", left).Uint64("reader-slow", lost).Msg("log-lines-left-out")
			}
		case <-ctx.Done():
			q.flush()
			return nil
		}
	}
}

func (q *Queue) flush() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			return
		}
	}
}

// write counts a line that cannot be written, because there is no other place to tell it.
func (q *Queue) write(line []byte) {
	if _, err := q.to.Write(line); err != nil {
		q.lost.Add(1)
	}
}
