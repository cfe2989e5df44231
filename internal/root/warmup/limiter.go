package warmup

import (
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	// MaxCold bounds how long a server counts as cold after one report or observation.
	MaxCold = rules.MaxColdPeriod

	// timerLateness is how late a timer may fire without loss of rate. In any second a cold server receives at most
	// 1 + rate × (1 s + timerLateness) requests, which is below the bound of the package.
	timerLateness = 2 * time.Millisecond

	// maxReportDelay bounds the time in which a report arrives; a control instance that forwards one gives up
	// before.
	maxReportDelay = time.Second
)

// Limiter is what a daemon knows of the cold state of its local backend server. It belongs to the address of the
// server and not to one process, because a restarted server is not known to be another process before its first
// report. The zero value limits nothing. It is not safe for concurrent use.
type Limiter struct {
	// Rate is the number of requests per second that the cold server tolerates; zero sets no limit.
	Rate float64
	// Period is how long the server counts as cold after a start that it has not reported itself.
	Period time.Duration

	until     time.Time // the server counts as cold until then
	next      time.Time // no request starts before, while the server is cold
	reported  time.Time // when the latest report arrived
	suspected time.Time // when a restart was suspected, zero once a report has ended the suspicion
	restored  time.Time // when the latest evacuation of the server's availability zone ended
}

// Report records that the server is cold for the given time, or warm if the time is zero. A report of the process that
// was known before a suspected restart may have been sent before the restart, and any report before the end of an
// evacuation; until maxReportDelay has passed it does not shorten the cold period.
func (l *Limiter) Report(now time.Time, coldFor time.Duration, newProcess bool) {
	until := now.Add(min(max(coldFor, 0), MaxCold))
	mayBeLate := now.Sub(l.restored) < maxReportDelay || !newProcess && now.Sub(l.suspected) < maxReportDelay
	if mayBeLate && until.Before(l.until) {
		return
	}
	l.delayFirstStart(now, until)
	l.until, l.reported = until, now
	if !mayBeLate {
		l.suspected = time.Time{}
	}
}

// SuspectRestart records that the server may have restarted. It counts as cold for the cold period or until its next
// report. A process that has just started has received nothing, so that the first request need not wait. Each restart
// thus adds one start, which the limit of 8 + 1.5 × rate allows for.
func (l *Limiter) SuspectRestart(now time.Time) {
	l.next = later(l.next, now)
	l.until = later(l.until, now.Add(min(l.Period, MaxCold)))
	l.suspected = now
}

// ReportOutdated records a report that seems to be older than the latest one. After a suspected restart it may come
// from a new process that counts its reports from the start again, so that it can lengthen the cold period.
func (l *Limiter) ReportOutdated(now time.Time, coldFor time.Duration) {
	if !l.suspected.IsZero() {
		l.extend(now, now.Add(min(max(coldFor, 0), MaxCold)))
	}
}

// Restore records when the evacuation of the server's availability zone ended, by the clock of this daemon; the zero
// time stands for never. The server counts as cold from then on for the cold period, or until a report that
// was sent later.
func (l *Limiter) Restore(now, ended time.Time) {
	l.restored = later(l.restored, ended)
	if ended.IsZero() || l.reported.Sub(ended) >= maxReportDelay {
		return
	}
	l.extend(now, ended.Add(min(l.Period, MaxCold)))
}

// Cold reports whether the limit applies.
func (l *Limiter) Cold(now time.Time) bool { return l.Rate > 0 && now.Before(l.until) }

// Remaining returns how long the server still counts as cold, zero if the limit does not apply.
func (l *Limiter) Remaining(now time.Time) time.Duration {
	if !l.Cold(now) {
		return 0
	}
	return l.until.Sub(now)
}

// Take reports whether a request may start, and counts its start.
func (l *Limiter) Take(now time.Time) bool {
	if !l.Cold(now) {
		return true
	}
	if now.Before(l.next) {
		return false
	}
	// Time in which no request started is not saved up for later ones.
	l.next = later(l.next, now.Add(-timerLateness)).Add(l.interval())
	return true
}

// NextStart returns when the next request may start; false means that one may start now.
func (l *Limiter) NextStart(now time.Time) (time.Time, bool) {
	if !l.Cold(now) || !now.Before(l.next) {
		return time.Time{}, false
	}
	if l.until.Before(l.next) {
		return l.until, true
	}
	return l.next, true
}

// Wait returns the predicted wait of a request that starts after n others, at the given share of the rate.
func (l *Limiter) Wait(now time.Time, n int, share float64) time.Duration {
	if !l.Cold(now) {
		return 0
	}
	wait := max(l.next.Sub(now), 0).Seconds() + float64(n)/(l.Rate*share)
	return time.Duration(min(wait, l.until.Sub(now).Seconds()) * float64(time.Second))
}

// interval returns the time between two starts.
func (l *Limiter) interval() time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(min(1/l.Rate, MaxCold.Seconds()) * float64(time.Second))
}

// extend lengthens the cold period.
func (l *Limiter) extend(now, until time.Time) {
	l.delayFirstStart(now, until)
	l.until = later(l.until, until)
}

// delayFirstStart delays the next start by one interval if the server is warm now and counts as cold until the given time.
// A daemon that restarts next to a cold server thus does not exceed the rate together with its previous process.
func (l *Limiter) delayFirstStart(now, until time.Time) {
	if !now.Before(l.until) && now.Before(until) {
		l.next = later(l.next, now.Add(l.interval()))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
