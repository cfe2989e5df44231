package logs

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// blockedWriter stands for a reader of the log that has stopped.
type blockedWriter struct{ release chan struct{} }

// Write blocks until release is closed.
func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a log volume that grows with the load, and against dropped warnings.
func TestBudgetBoundsLines(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	budget := NewBudget(func() time.Time { return now })
	written := map[zerolog.Level]int{}
	for range 10_000 { // ten seconds
		now = now.Add(time.Millisecond)
		for _, level := range []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel} {
			if budget.Sample(level) {
				written[level]++
			}
		}
	}
	assert.Equal(t, written[zerolog.WarnLevel], 10_000)
	assert.Assert(t, written[zerolog.InfoLevel] <= (10+burstSeconds)*infoLinesPerSecond+1)
	assert.Assert(t, written[zerolog.DebugLevel] <= (10+burstSeconds)*debugLinesPerSecond+1)
	assert.Equal(t, int(budget.dropped.Load()), 20_000-written[zerolog.InfoLevel]-written[zerolog.DebugLevel])
}

// Guards against requests that block when the reader of the log has stopped.
func TestQueueNeverBlocks(t *testing.T) {
	reader := blockedWriter{release: make(chan struct{})}
	queue := NewQueue(reader)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = queue.Run(ctx, zerolog.Nop(), NewBudget(time.Now)) })
	for range 3 * maxQueuedLines {
		_, err := queue.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, queue.dropped.Load() >= maxQueuedLines)
	close(reader.release)
	cancel()
	running.Wait()
}

// Guards against queued lines that are lost at the end of the process, and against dropped lines that are not
// reported.
func TestQueueFlushesAndReportsDroppedLines(t *testing.T) {
	var text bytes.Buffer
	queue := NewQueue(&text)
	budget := NewBudget(time.Now)
	budget.dropped.Store(7)
	log := New(queue, zerolog.InfoLevel)
	log.Info().Msg("last")
	ctx, cancel := context.WithTimeout(context.Background(), reportInterval+reportInterval/2)
	defer cancel()
	assert.NilError(t, queue.Run(ctx, log, budget))
	assert.Assert(t, strings.Contains(text.String(), "event=last"))
	assert.Assert(t, strings.Contains(text.String(), "event=log-lines-left-out over-budget=7"), text.String())
}

// Guards against a line for each event that a client causes, and against events that no line counts.
func TestRepeat(t *testing.T) {
	var r Repeat
	now := time.Unix(1000, 0)
	lines, hidden := 0, 0
	for range 100 {
		if left, ok := r.Allow(now); ok {
			lines++
			hidden += left
		}
		now = now.Add(50 * time.Millisecond)
	}
	assert.Equal(t, lines, 5)
	assert.Equal(t, lines+hidden, 81) // those after the last line are counted by the next one
}
