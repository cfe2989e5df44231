package call

import "sync"

// activity counts calls in progress and wakes goroutines that wait for the count to reach zero.
type activity struct {
	mu    sync.Mutex
	count int
	idle  *sync.Cond
}

func (a *activity) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
}

func (a *activity) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.count == 0 && a.idle != nil {
		a.idle.Broadcast()
	}
}

// inProgress returns the number of calls in progress.
func (a *activity) inProgress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.count
}

// waitIdle returns once no call is in progress.
func (a *activity) waitIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.idle == nil {
		a.idle = sync.NewCond(&a.mu)
	}
	for a.count > 0 {
		a.idle.Wait()
	}
}
