package super

import (
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against work that is lost, runs twice or waits for other work.
func TestWorkersRunEverything(t *testing.T) {
	var w Workers
	var running sync.WaitGroup
	var done atomic.Int64
	for range 3 {
		release := make(chan struct{})
		for range 2 * maxIdleWorkers {
			running.Add(1)
			w.Go(func() {
				defer running.Done()
				<-release
				done.Add(1)
			})
		}
		close(release) // all of them have started or will
		running.Wait()
	}
	assert.Equal(t, done.Load(), int64(3*2*maxIdleWorkers))
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Assert(t, len(w.idle) <= maxIdleWorkers)
}
