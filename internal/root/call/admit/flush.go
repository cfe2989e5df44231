package admit

import "github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"

// Flush refuses all waiting tickets with the given failure.
func (l *Limiter) Flush(failure retry.Failure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.queue {
		t.account.waiting--
		t.phase = refused
		t.verdict <- Refused{Failure: failure}
	}
	clear(l.queue)
	l.queue = l.queue[:0]
}
