package retry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// Guards against a failure whose reason, status or outcome differs from the table of the design page.
func TestOutcomesRowByRow(t *testing.T) {
	text, err := os.ReadFile("testdata/outcomes.txt")
	assert.NilError(t, err)
	var want []string
	for line := range strings.Lines(string(text)) {
		if !strings.HasPrefix(line, "#") {
			want = append(want, strings.Join(strings.Fields(line), " "))
		}
	}
	assert.Equal(t, len(want), len(All()))
	for i, f := range All() {
		row := Describe(f)
		name := strings.TrimSuffix(strings.TrimPrefix(fmt.Sprintf("%T%+v", f, f), "retry."), "{}")
		resend := [...]string{"never", "if-idempotent", "always"}[row.Resend]
		assert.Equal(t, fmt.Sprintf("%s %d %s %s %s", row.Reason, row.Status, row.Outcome, resend, name), want[i])
		assert.Assert(t, row.Outcome == NotRun || !MayResend(f, false), "%T: a request that may have run is retried", f)
		parsed, err := Parse(row.Reason, row.Outcome)
		assert.NilError(t, err)
		assert.Equal(t, Describe(parsed).Status, row.Status)
	}
	_, err = Parse("no-such-reason", NotRun)
	assert.Assert(t, errors.Is(err, ErrUnknownReason))
}

// Guards against reporting a later refusal as not run when an earlier send had an unknown outcome.
func TestMergeKeepsUnknown(t *testing.T) {
	assert.Equal(t, Merge(BackendLost{}, QueueFull{}), Failure(BackendLost{}))
	assert.Equal(t, Merge(QueueFull{}, BackendLost{}), Failure(BackendLost{}))
	assert.Equal(t, Merge(nil, QueueFull{}), Failure(QueueFull{}))
}

// tree is a call tree in which every hop fails: each service calls the next one and fails because its
// nested calls failed, and the last one fails by itself.
type tree struct {
	planner  *Planner
	random   *rand.Rand
	depth    int
	width    int  // nested calls that each service makes
	lossy    bool // some responses are lost, and with them the retries lent
	sends    int
	retries  int
	services int
}

// call sends a request and its retries until the planner gives up, as the daemon of the caller does.
func (tr *tree) call(hop int, budget *Budget) {
	now := start
	for sent := 1; ; sent++ {
		tr.sends++
		loan := budget.Lend()
		nested := NewBudget(loan.Retries)
		failure := []Failure{QueueFull{}, Unreached{}, BackendLost{}, Draining{}}[tr.random.IntN(4)]
		if hop < tr.depth {
			for range tr.width {
				tr.call(hop+1, nested)
			}
			nested.MarkFinal()
		}
		unspent, final := nested.Remaining(), nested.Final()
		if tr.lossy && tr.random.IntN(4) == 0 {
			failure, unspent = BackendLost{}, 0
		}
		budget.ReturnLoan(loan, unspent)
		verdict := tr.planner.Decide(now, budget, Attempt{
			Service: fmt.Sprint(hop % tr.services), Failure: failure, Idempotent: true, Final: final, Sent: sent, Deadline: start.Add(time.Minute),
		})
		retry, ok := verdict.(Retry)
		if !ok {
			return
		}
		tr.retries++
		now = now.Add(retry.After)
	}
}

// Guards against retries that multiply at each hop (R1).
func TestChainOfTenWhereEveryHopFails(t *testing.T) {
	for retries := range uint32(6) {
		for seed := range uint64(200) {
			tr := &tree{planner: NewPlanner(seed), random: rand.New(rand.NewPCG(seed, 1)), depth: 10, width: 1, lossy: seed%2 == 1, services: 1 + int(seed%10)}
			for hop := range 10 {
				tr.planner.SetShare(fmt.Sprint(hop), 1000)
				tr.planner.Success(start, fmt.Sprint(hop))
			}
			tr.call(1, NewBudget(retries))
			assert.Assert(t, tr.sends <= 10+int(retries), "seed %d: %d sends with %d retries", seed, tr.sends, retries)
			if !tr.lossy {
				assert.Equal(t, tr.sends, 10+int(retries), "the budget has to be usable at the last hop")
			}
		}
	}
}

// Guards against parallel nested calls that each spend the whole budget.
func TestTreeKeepsOneBudget(t *testing.T) {
	for seed := range uint64(100) {
		tr := &tree{planner: NewPlanner(seed), random: rand.New(rand.NewPCG(seed, 2)), depth: 5, width: 3, lossy: true, services: 5}
		for hop := range 5 {
			tr.planner.SetShare(fmt.Sprint(hop), 1000)
			tr.planner.Success(start, fmt.Sprint(hop))
		}
		tr.call(1, NewBudget(3))
		assert.Assert(t, tr.retries <= 3, "seed %d: %d retries", seed, tr.retries)
	}
	budget := NewBudget(2)
	first, second := budget.Lend(), budget.Lend()
	assert.Equal(t, first.Retries, uint32(2))
	assert.Equal(t, second.Retries, uint32(0))
	assert.Assert(t, !budget.Take(), "a lent retry is spent")
	budget.ReturnLoan(second, 2)
	assert.Equal(t, budget.Remaining(), uint32(0))
	budget.ReturnLoan(first, 9)
	assert.Equal(t, budget.Remaining(), uint32(2))
}

// Guards against retries that are not allowed by the failure, the final mark, the deadline, the retry
// share or the budget.
func TestDecideGivesUp(t *testing.T) {
	planner := NewPlanner(1)
	allowed := Attempt{Service: "reader", Failure: QueueFull{}, Sent: 1, Deadline: start.Add(time.Second)}
	_, retried := planner.Decide(start, NewBudget(1), allowed).(Retry)
	assert.Assert(t, retried)
	for _, tc := range []struct {
		change func(*Attempt)
		budget uint32
		cause  GiveUpCause
	}{
		{func(a *Attempt) { a.Final = true }, 1, MarkedFinal},
		{func(a *Attempt) { a.Failure = BackendLost{} }, 1, NotAllowed},
		{func(a *Attempt) { a.Failure = Rate{} }, 1, NotAllowed},
		{func(a *Attempt) { a.Deadline = start }, 1, NoTime},
		{func(*Attempt) {}, 0, NoBudget},
	} {
		a := allowed
		tc.change(&a)
		assert.Equal(t, planner.Decide(start, NewBudget(tc.budget), a), Verdict(GiveUp{Cause: tc.cause, Final: true}))
	}
}

// Guards against a service that gets more retries than its share, and against a share that is not restored with
// time.
func TestRetryShare(t *testing.T) {
	planner := NewPlanner(1)
	count := func(now time.Time) (allowed int) {
		for range 1000 {
			if _, ok := planner.Decide(now, NewBudget(1), Attempt{Service: "reader", Failure: QueueFull{}, Sent: 1, Deadline: now.Add(time.Second)}).(Retry); ok {
				allowed++
			}
		}
		return allowed
	}
	for range 500 {
		planner.Success(start, "reader")
	}
	assert.Equal(t, count(start), 50+minShareRetries)
	assert.Equal(t, count(start.Add(time.Second)), 0)
	assert.Equal(t, count(start.Add(10*time.Minute)), minShareRetries)
}

// Guards against synchronized retries and against delays above the limit.
func TestBackoffIsJitteredAndRepeatable(t *testing.T) {
	first, second := NewPlanner(7), NewPlanner(7)
	seen := map[time.Duration]bool{}
	for sent := 1; sent < 40; sent++ {
		delay := first.backoff(sent)
		assert.Equal(t, delay, second.backoff(sent))
		assert.Assert(t, delay >= backoffBase/2 && delay <= backoffLimit, "delay %v", delay)
		seen[delay] = true
	}
	assert.Assert(t, len(seen) > 30)
}

// Guards against losing all retries of an idempotent request with the daemon they were lent to, and against more
// sends than the budget allows.
func TestEntryKeepsOneRetry(t *testing.T) {
	budget := NewEntryBudget(2)
	loan := budget.Lend()
	assert.Equal(t, loan.Retries, uint32(1))
	budget.ReturnLoan(loan, 0) // the response was lost
	assert.Assert(t, budget.Take() && !budget.Take())
	single := NewEntryBudget(1)
	assert.Equal(t, single.Lend().Retries, uint32(1))
	for seed := range uint64(200) {
		tr := &tree{planner: NewPlanner(seed), random: rand.New(rand.NewPCG(seed, 1)), depth: 10, width: 1, lossy: seed%2 == 1, services: 10}
		tr.call(1, NewEntryBudget(3))
		assert.Assert(t, tr.retries <= 3 && tr.sends <= 13, "%d retries and %d sends with seed %d", tr.retries, tr.sends, seed)
	}
}

// Guards against a report of the retry share that counts a retry or differs from the limit that applies.
func TestShareUsage(t *testing.T) {
	p, now := NewPlanner(1), time.Unix(1_000_000, 0)
	p.SetShare("s", 0.5)
	for range 4 {
		p.Success(now, "s")
	}
	budget := NewBudget(100)
	attempt := Attempt{Service: "s", Failure: BackendLost{}, Idempotent: true, Sent: 1, Deadline: now.Add(time.Minute)}
	for sent := range 10 {
		usage := p.Usage(now, "s", 0.5)
		assert.Equal(t, usage, p.Usage(now, "s", 0.5))
		assert.Equal(t, usage, ShareUsage{Successes: 4, Retries: float64(min(sent, 4)), Limit: 4})
		_, retried := p.Decide(now, budget, attempt).(Retry)
		assert.Equal(t, retried, usage.Retries+1 <= usage.Limit)
	}
	assert.Equal(t, p.Usage(now, "unknown", 0.5), ShareUsage{Limit: minShareRetries})
}
