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

// blocked is a reader of the log that has stopped.
type blocked struct{ release chan struct{} }

// Write waits until it is released.
func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a volume of lines that grows with the load, and against warnings that are left out.
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
	assert.Assert(t, written[zerolog.InfoLevel] <= (10+saved)*notesPerSecond+1)
	assert.Assert(t, written[zerolog.DebugLevel] <= (10+saved)*routinePerSecond+1)
	assert.Equal(t, int(budget.left.Load()), 20_000-written[zerolog.InfoLevel]-written[zerolog.DebugLevel])
}

// Guards against requests that wait for a reader of the log that has stopped.
func TestQueueNeverBlocks(t *testing.T) {
	reader := blocked{release: make(chan struct{})}
	queue := NewQueue(reader)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = queue.Run(ctx, zerolog.Nop(), NewBudget(time.Now)) })
	for range 3 * queuedLines {
		_, err := queue.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, queue.lost.Load() >= queuedLines)
	close(reader.release)
	cancel()
	running.Wait()
}

// Guards against lines that are lost when the process ends, and against a count that nobody sees.
func TestQueueWritesTheRestAndTheCount(t *testing.T) {
	var text bytes.Buffer
	queue := NewQueue(&text)
	budget := NewBudget(time.Now)
	budget.left.Store(7)
	log := New(queue, zerolog.InfoLevel)
	log.Info().Msg("last")
	ctx, cancel := context.WithTimeout(context.Background(), countEvery+countEvery/2)
	defer cancel()
	assert.NilError(t, queue.Run(ctx, log, budget))
	assert.Assert(t, strings.Contains(text.String(), "event=last"))
	assert.Assert(t, strings.Contains(text.String(), "event=log-lines-left-out over-budget=7"), text.String())
}
