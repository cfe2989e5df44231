package share

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

var t0 = time.Unix(1_000_000, 0)

// Guards against retries above the fleet's ratio in any window, also after a pause in traffic and across its end.
func TestRetriesStayWithinTheRatio(t *testing.T) {
	r := &RetryBudget{Ratio: 0.2, Window: 10 * time.Second}
	var sent []time.Time
	for step := range 4000 {
		now := t0.Add(time.Duration(step) * 10 * time.Millisecond)
		if step/1000 != 1 { // no requests during ten seconds
			r.RecordRequest(now)
		}
		for _, cause := range []Cause{Shed, Lost, Failed} {
			if r.AllowRetry(now, cause) {
				sent = append(sent, now)
			}
		}
	}
	for i, from := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < 10*time.Second {
				count++
			}
		}
		// 100 requests a second, and one retry for each cause that is always allowed.
		assert.Assert(t, count <= 200*85/100+6, "%d retries in a window", count)
	}
	assert.Assert(t, len(sent) > 200)
}

// Guards against an unlimited budget after the clock is set back.
func TestRetriesAfterClockIsSetBack(t *testing.T) {
	r := &RetryBudget{Ratio: 0.2, Window: 10 * time.Second}
	for range 100 {
		r.RecordRequest(t0)
	}
	assert.Assert(t, r.AllowRetry(t0.Add(-time.Hour), Lost))
	assert.Assert(t, !r.AllowRetry(t0.Add(-time.Hour), Lost))
}

// Guards against parts that get more or fewer requests than their weight over any sequence of requests.
func TestSplitFollowsTheWeights(t *testing.T) {
	parts := []rules.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none"}}
	s := &Split{}
	s.Skip(parts, 33)
	counts := map[string]int{}
	for i := range 1000 {
		counts[s.Next(parts)]++
		if i%10 == 9 {
			want := (i + 1) / 10
			assert.Assert(t, counts["b"] >= want-1 && counts["b"] <= want+1, "%d of %d", counts["b"], i+1)
		}
	}
	assert.Equal(t, counts["none"], 0)
}

// Guards against refusing all requests while no tokens are granted, and against a rate above the previous one.
func TestRateIsKeptWithoutGrants(t *testing.T) {
	limiter := &FallbackLimiter{}
	now := t0
	for range 400 { // 100 a second
		now = now.Add(10 * time.Millisecond)
		limiter.RecordGrant(now)
	}
	allowed := 0
	for range 300 { // three seconds
		now = now.Add(10 * time.Millisecond)
		if limiter.Allow(now, 1000) {
			allowed++
		}
	}
	assert.Assert(t, allowed >= 230 && allowed <= 270, "%d allowed in 3 s at a rate of 100 a second", allowed)
	limited := 0
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		if limiter.Allow(now, 20) {
			limited++
		}
	}
	assert.Assert(t, limited <= 20*3+maxCredit, "%d allowed at a rate of 20 a second", limited)
}

// Guards against allowing requests of client accounts that never got a grant.
func TestNothingIsAllowedBeforeAGrant(t *testing.T) {
	limiter := &FallbackLimiter{}
	assert.Assert(t, !limiter.Allow(t0, 1000))
}

// Guards against many daemons with few requests of a client account each, all of which they refuse without
// grants.
func TestLowRatesAddUp(t *testing.T) {
	allowed := 0
	for daemon := range 400 {
		limiter := &FallbackLimiter{}
		now := t0.Add(time.Duration(daemon) * time.Millisecond)
		for range 4 { // one request every two seconds
			now = now.Add(2 * time.Second)
			limiter.RecordGrant(now)
		}
		if limiter.Allow(now.Add(2*time.Second), 1000) {
			allowed++
		}
	}
	assert.Assert(t, allowed >= 250 && allowed <= 400, "%d of 400 requests at their usual rate", allowed)
}

// Guards against a report of a budget, a split or a fallback limiter that differs from the decision or changes it.
func TestReportsChangeNothing(t *testing.T) {
	budget := RetryBudget{Ratio: 0.2, Window: 10 * time.Second}
	limiter, split := FallbackLimiter{}, Split{}
	parts := []rules.WeightedService{{Service: "a", Weight: 3}, {Service: "b", Weight: 2}}
	assert.Equal(t, limiter.Credit(t0, 1000), Credit{})
	for i := range 2000 {
		now := t0.Add(time.Duration(i) * 37 * time.Millisecond)
		if i%7 > 0 {
			budget.RecordRequest(now)
		}
		copied := budget
		usage := budget.Usage(now, Lost)
		assert.Equal(t, budget, copied)
		assert.Equal(t, budget.AllowRetry(now, Lost), usage.Allows())

		assert.Equal(t, split.Peek(parts), split.Peek(parts))
		next := split.Peek(parts)
		assert.Equal(t, split.Next(parts), next)

		if i%50 < 20 {
			limiter.RecordGrant(now)
		}
		credit := limiter.Credit(now, 1000)
		before := limiter
		assert.Equal(t, limiter.Credit(now, 1000), credit)
		assert.Equal(t, limiter, before)
		if allowed := limiter.Allow(now, 1000); credit.Known {
			assert.Equal(t, allowed, credit.Amount >= 1)
		}
	}
}
