package clock

import (
	"sync"
	"time"
)

type (
	// Fake is a clock that moves only when Advance is called.
	Fake struct {
		mu     sync.Mutex
		now    time.Time
		timers []*fakeTimer
	}

	// fakeTimer is pending while deadline is not zero; the clock's mutex guards its fields.
	fakeTimer struct {
		clock    *Fake
		deadline time.Time
		fired    chan time.Time
	}
)

// NewFake returns a fake clock that starts at now.
func NewFake(now time.Time) *Fake { return &Fake{now: now} }

// Now returns the current time of the fake clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// NewTimer returns a timer that fires when the clock has advanced by d.
func (f *Fake) NewTimer(d time.Duration) Timer {
	timer := &fakeTimer{clock: f, fired: make(chan time.Time, 1)}
	f.mu.Lock()
	f.timers = append(f.timers, timer)
	f.mu.Unlock()
	timer.Reset(d)
	return timer
}

// Advance moves the clock forward by d and fires the timers that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	for _, timer := range f.timers {
		timer.fireLocked()
	}
}

func (t *fakeTimer) C() <-chan time.Time { return t.fired }

func (t *fakeTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	pending := !t.deadline.IsZero()
	t.deadline = time.Time{}
	return pending
}

func (t *fakeTimer) Reset(d time.Duration) {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	t.deadline = t.clock.now.Add(d)
	t.fireLocked()
}

func (t *fakeTimer) fireLocked() {
	if t.deadline.IsZero() || t.deadline.After(t.clock.now) {
		return
	}
	t.deadline = time.Time{}
	select {
	case t.fired <- t.clock.now:
	default:
	}
}
