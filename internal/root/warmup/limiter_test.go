package warmup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var t0 = time.Unix(1_000_000, 0)

// maxInSecond returns the highest number of starts in any window of one second.
func maxInSecond(starts []time.Time) int {
	highest, first := 0, 0
	for i, start := range starts {
		for start.Sub(starts[first]) >= time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// Guards against more requests in one second than a cold server tolerates: while a full queue presses, across restarts
// of the daemon, and after a pause of the daemon in which no request started. Guards also against a limit that
// gives the server far less than its rate.
func TestColdServerGetsAtMostItsRate(t *testing.T) {
	for _, rate := range []float64{0.5, 13, 900, 50_000} {
		l := &Limiter{Rate: rate, Period: time.Minute}
		l.Report(t0, time.Minute, true)
		var starts []time.Time
		step := min(time.Millisecond, time.Duration(float64(time.Second)/rate/4))
		for now := t0; now.Sub(t0) < 10*time.Second; now = now.Add(step) {
			switch now.Sub(t0).Truncate(step) {
			case (2 * time.Second).Truncate(step), (2500 * time.Millisecond).Truncate(step):
				l = &Limiter{Rate: rate, Period: time.Minute} // a restarted daemon
				l.Report(now, time.Minute, true)
			case (4 * time.Second).Truncate(step):
				now = now.Add(2 * time.Second) // a pause of the daemon
			}
			for l.Take(now) {
				starts = append(starts, now)
			}
		}
		assert.Assert(t, float64(maxInSecond(starts)) <= 1.5*rate+8, "%d starts in one second at the rate %g", maxInSecond(starts), rate)
		assert.Assert(t, float64(len(starts)) >= 0.9*rate*8-3, "%d starts in 8 s at the rate %g", len(starts), rate)
	}
}

// Guards against a server that is limited although it reported itself warm, and against one that is not limited
// although it turned cold again.
func TestLatestReportDecides(t *testing.T) {
	l := &Limiter{Rate: 10, Period: 3 * time.Second}
	l.Report(t0, 2*time.Second, true)
	assert.Assert(t, !l.Take(t0)) // the bucket is empty
	assert.Assert(t, l.Cold(t0.Add(1999*time.Millisecond)) && !l.Cold(t0.Add(2*time.Second)))
	l.Report(t0.Add(100*time.Millisecond), 0, false)
	for range 100 {
		assert.Assert(t, l.Take(t0.Add(100*time.Millisecond)))
	}
	l.Report(t0.Add(200*time.Millisecond), time.Second, false)
	assert.Assert(t, !l.Take(t0.Add(200*time.Millisecond)))
	next, ok := l.NextStart(t0.Add(200 * time.Millisecond))
	assert.Assert(t, ok && next.Equal(t0.Add(300*time.Millisecond)))
	unlimited := &Limiter{Period: 3 * time.Second}
	unlimited.Report(t0, time.Minute, true)
	for range 100 {
		assert.Assert(t, unlimited.Take(t0))
	}
	assert.Equal(t, unlimited.Wait(t0, 100, 1), time.Duration(0))
}

// Guards against a report of the old process, sent before its end, that lifts the limit of the new one, and against a
// wrong suspicion that lasts although the server reports itself warm.
func TestReportAfterSuspectedRestart(t *testing.T) {
	l := &Limiter{Rate: 10, Period: 3 * time.Second}
	l.Report(t0, 0, true)
	l.SuspectRestart(t0.Add(time.Second))
	l.Report(t0.Add(1100*time.Millisecond), 0, false)
	assert.Assert(t, l.Cold(t0.Add(1100*time.Millisecond)))
	other := *l
	other.Report(t0.Add(1200*time.Millisecond), 0, true) // the new process itself
	assert.Assert(t, !other.Cold(t0.Add(1200*time.Millisecond)))
	l.ReportOutdated(t0.Add(1300*time.Millisecond), 10*time.Second)
	assert.Equal(t, l.Remaining(t0.Add(1300*time.Millisecond)), 10*time.Second)
	l.Report(t0.Add(2*time.Second), 0, false)
	assert.Assert(t, !l.Cold(t0.Add(2*time.Second)))
	l.ReportOutdated(t0.Add(2*time.Second), 10*time.Second)
	assert.Assert(t, !l.Cold(t0.Add(2*time.Second)))
}

// Guards against a zone that returns from an evacuation and gets its full load at once although its servers may have
// become cold, and against a server that stays limited although it has said since that it is warm.
func TestRestoredZoneCountsAsCold(t *testing.T) {
	l := &Limiter{Rate: 10, Period: 3 * time.Second}
	l.Report(t0, 0, true)
	ended := t0.Add(time.Second)
	l.Restore(ended, ended)
	assert.Equal(t, l.Remaining(ended), 3*time.Second)
	l.Restore(ended.Add(2*time.Second), ended)
	assert.Equal(t, l.Remaining(ended.Add(2*time.Second)), time.Second)
	l.Report(ended.Add(2*time.Second), 0, false)
	l.Restore(ended.Add(2*time.Second), ended)
	assert.Assert(t, !l.Cold(ended.Add(2*time.Second)))
	l.Restore(ended.Add(2*time.Second), time.Time{})
	assert.Assert(t, !l.Cold(ended.Add(2*time.Second)))
}

// Guards against a report that was sent before the end of an evacuation, arrives after it and lifts the limit of a server
// that has become cold meanwhile.
func TestReportFromBeforeTheEndOfAnEvacuation(t *testing.T) {
	for _, newProcess := range []bool{false, true} {
		l := &Limiter{Rate: 10, Period: 3 * time.Second}
		l.Report(t0, 0, true)
		l.Restore(t0.Add(time.Second), t0.Add(time.Second))
		l.Report(t0.Add(1050*time.Millisecond), 0, newProcess)
		l.Restore(t0.Add(1100*time.Millisecond), t0.Add(time.Second))
		starts := 0
		for l.Take(t0.Add(1100 * time.Millisecond)) {
			starts++
			assert.Assert(t, starts < 2)
		}
		assert.Equal(t, l.Remaining(t0.Add(1100*time.Millisecond)), 2900*time.Millisecond)
		l.Report(t0.Add(2*time.Second), 0, newProcess)
		l.Restore(t0.Add(2*time.Second), t0.Add(time.Second))
		assert.Assert(t, !l.Cold(t0.Add(2*time.Second)))
	}
}

// Guards against a predicted wait beyond the end of the cold period, after which the queue drains at once.
func TestWaitEndsWithTheColdPeriod(t *testing.T) {
	l := &Limiter{Rate: 10, Period: 3 * time.Second}
	l.Report(t0, 2*time.Second, true)
	assert.Equal(t, l.Wait(t0, 0, 1).Round(time.Millisecond), 100*time.Millisecond)
	assert.Equal(t, l.Wait(t0, 5, 1).Round(time.Millisecond), 600*time.Millisecond)
	assert.Equal(t, l.Wait(t0, 5, 0.5).Round(time.Millisecond), 1100*time.Millisecond)
	assert.Equal(t, l.Wait(t0, 500, 1), 2*time.Second)
}

// Guards against a sender that sends a cold server all its requests between two reports, and against one that avoids
// the server when its queue has drained or the server is warm.
func TestExpectedWaitAtColdServer(t *testing.T) {
	report := Report{Rate: 10, For: 3 * time.Second, Wait: 200 * time.Millisecond}
	assert.Equal(t, report.ExpectedWait(0, 0), 200*time.Millisecond)
	assert.Equal(t, report.ExpectedWait(100*time.Millisecond, 4).Round(time.Millisecond), 500*time.Millisecond)
	assert.Equal(t, report.ExpectedWait(time.Second, 4), time.Duration(0))
	assert.Equal(t, report.ExpectedWait(time.Second, 1000), 2*time.Second)
	assert.Equal(t, report.ExpectedWait(3*time.Second, 1000), time.Duration(0))
	warm := Report{Wait: time.Second}
	assert.Equal(t, warm.ExpectedWait(0, 10), time.Duration(0))
}

// Guards against a first request that waits although the process that may have restarted has received none, and against
// starts that a series of suspicions adds while the server is cold.
func TestSuspectedRestartDoesNotDelayFirstStart(t *testing.T) {
	l := &Limiter{Rate: 10, Period: 3 * time.Second}
	l.Report(t0, 0, true)
	l.SuspectRestart(t0)
	assert.Assert(t, l.Cold(t0) && l.Take(t0))
	l.SuspectRestart(t0)
	assert.Assert(t, !l.Take(t0))
	assert.Assert(t, l.Take(t0.Add(100*time.Millisecond)))
}
