package super

import "sync"

// maxIdleWorkers bounds the goroutines that wait for work.
const maxIdleWorkers = 64

// Workers runs functions in goroutines that are used again, because the stack of a new goroutine grows several
// times while a request is served, by copying.
type Workers struct {
	mu   sync.Mutex
	idle []chan func() // most recently used last
}

// Go runs work in a goroutine.
func (w *Workers) Go(work func()) {
	w.mu.Lock()
	last := len(w.idle) - 1
	if last < 0 {
		w.mu.Unlock()
		go w.loop(work)
		return
	}
	next := w.idle[last]
	w.idle[last] = nil
	w.idle = w.idle[:last]
	w.mu.Unlock()
	next <- work
}

// loop runs work and then what later calls of Go hand over, unless enough goroutines are idle.
func (w *Workers) loop(work func()) {
	next := make(chan func(), 1)
	for {
		work()
		w.mu.Lock()
		if len(w.idle) >= maxIdleWorkers {
			w.mu.Unlock()
			return
		}
		w.idle = append(w.idle, next)
		w.mu.Unlock()
		work = <-next
	}
}
