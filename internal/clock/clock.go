package clock

import "time"

type (
	// Clock is a source of the current time and of timers.
	Clock interface {
		// Now returns the current time, with a monotonic reading on the real clock.
		Now() time.Time
		// NewTimer returns a timer that fires once after d.
		NewTimer(d time.Duration) Timer
	}

	// Timer fires once on C unless it is stopped first.
	Timer interface {
		// C returns the channel that receives the time at which the timer fired.
		C() <-chan time.Time
		// Stop prevents the timer from firing and reports whether it was still pending.
		Stop() bool
		// Reset schedules the timer again after d.
		Reset(d time.Duration)
	}

	// Real is the system clock.
	Real struct{}

	realTimer struct{ timer *time.Timer }
)

// Now returns the current system time.
func (Real) Now() time.Time { return time.Now() }

// NewTimer returns a timer of the system clock.
func (Real) NewTimer(d time.Duration) Timer { return realTimer{timer: time.NewTimer(d)} }

func (t realTimer) C() <-chan time.Time   { return t.timer.C }
func (t realTimer) Stop() bool            { return t.timer.Stop() }
func (t realTimer) Reset(d time.Duration) { t.timer.Reset(d) }
