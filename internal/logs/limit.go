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
	// maxQueuedLines bounds the lines that wait while the reader of the log is slow or has stopped.
	maxQueuedLines = 1024

	// infoLinesPerSecond and debugLinesPerSecond bound the lines of level info and debug. Warnings and errors
	// are bounded only by the queue.
	infoLinesPerSecond  = 80
	debugLinesPerSecond = 10

	// burstSeconds is the capacity of a token bucket, in seconds of its rate.
	burstSeconds = 3

	reportInterval = time.Second
)

type (
	// Budget limits the rate of log lines by level and counts the lines that it drops. It implements
	// zerolog.Sampler.
	Budget struct {
		now     func() time.Time
		dropped atomic.Uint64 // lines dropped since the last report

		mu         sync.Mutex
		infoLines  tokenBucket
		debugLines tokenBucket
	}

	// Queue writes lines in the background, so that logging never waits for the reader of the log.
	Queue struct {
		out     io.Writer
		lines   chan []byte
		dropped atomic.Uint64 // lines dropped since the last report, because the queue was full or a write failed
	}

	// tokenBucket holds one token per line that may be written.
	tokenBucket struct {
		perSecond float64
		tokens    float64
		refilled  time.Time // zero until the first line
	}
)

// NewBudget returns a budget with the default rates; now is the time source.
func NewBudget(now func() time.Time) *Budget {
	return &Budget{
		now: now, infoLines: tokenBucket{perSecond: infoLinesPerSecond, tokens: burstSeconds * infoLinesPerSecond},
		debugLines: tokenBucket{perSecond: debugLinesPerSecond, tokens: burstSeconds * debugLinesPerSecond},
	}
}

// Sample reports whether a line of the given level is written.
func (b *Budget) Sample(level zerolog.Level) bool {
	if level >= zerolog.WarnLevel {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := &b.debugLines
	if level == zerolog.InfoLevel {
		bucket = &b.infoLines
	}
	if bucket.take(b.now()) {
		return true
	}
	b.dropped.Add(1)
	return false
}

func (b *tokenBucket) take(now time.Time) bool {
	if !b.refilled.IsZero() {
		b.tokens = min(b.tokens+max(now.Sub(b.refilled).Seconds(), 0)*b.perSecond, burstSeconds*b.perSecond)
	}
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewQueue returns a queue whose lines are written to w.
func NewQueue(w io.Writer) *Queue { return &Queue{out: w, lines: make(chan []byte, maxQueuedLines)} }

// Write queues a line, or drops and counts it when the queue is full. It never waits.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes the queued lines until ctx ends, and then those that are still queued. Once a second it logs how
// many lines were dropped.
func (q *Queue) Run(ctx context.Context, log zerolog.Logger, budget *Budget) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-ticker.C:
			if overBudget, readerSlow := budget.dropped.Swap(0), q.dropped.Swap(0); overBudget+readerSlow > 0 {
				log.Warn().Uint64("over-budget", overBudget).Uint64("reader-slow", readerSlow).Msg("log-lines-left-out")
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

// write writes a line. It only counts a failure, because there is no other place to report it.
func (q *Queue) write(line []byte) {
	if _, err := q.out.Write(line); err != nil {
		q.dropped.Add(1)
	}
}
