package replay

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

const (
	recoveredShare = 0.9 // of the goodput before the first fault
	recoveredFor   = 3   // seconds in a row
	warmUp         = 2   // seconds that are not measured
	violationsKept = 5
)

type (
	// Result is what a replay measured.
	Result struct {
		Mechanism   string
		Crashes     int
		Interrupted int // downloads cut off
		Sends       int
		Violations  int
		Examples    []string

		trace   *Trace
		seconds []second
		reasons map[retry.Reason]int
	}

	// second counts requests by the second in which they arrive, and answers and refusals by their own.
	second struct {
		offered   int
		answered  int
		kept      int            // offered in this second and answered at any time
		failed    int            // neither answered in time nor refused
		entitled  map[string]int // originals within the rate of their account
		served    map[string]int // and answered
		asked     [3]int         // attempts within the rate, by importance
		refused   [3]int         // and refused
		others    int            // refused, of accounts whose demand stays as it was
		withdrawn int            // offered by accounts whose key is withdrawn in the trace, and answered
	}
)

func newResult(trace *Trace) *Result {
	r := &Result{trace: trace, seconds: make([]second, int(trace.Length/time.Second)+1), reasons: map[retry.Reason]int{}}
	for i := range r.seconds {
		r.seconds[i] = second{entitled: map[string]int{}, served: map[string]int{}}
	}
	return r
}

func (r *Result) in(at time.Duration) *second {
	return &r.seconds[min(int(at/time.Second), len(r.seconds)-1)]
}

// counted reports whether the answers to an account are part of the measures.
func (r *Result) counted(a *Account) bool {
	for _, f := range r.trace.Faults {
		if f.Kind == "withdrawn" && f.Target == a.Name {
			return false
		}
	}
	return true
}

// offender reports whether the demand of this account rises in the trace.
func (r *Result) offender(a *Account) bool {
	for _, f := range r.trace.Faults {
		if f.Kind == "demand" && f.Target == a.Name {
			return true
		}
	}
	return false
}

func (r *Result) offer(at time.Duration, a *Account) {
	if r.counted(a) {
		r.in(at).offered++
	}
}

func (r *Result) entitle(at time.Duration, a *attempt) {
	if a.within && !a.poison && r.counted(a.account) {
		r.in(at).entitled[a.account.Name]++
	}
}

func (r *Result) ask(at time.Duration, a *attempt) {
	if a.within && !a.poison && r.counted(a.account) {
		r.in(at).asked[a.route.Importance]++
	}
}

func (r *Result) answer(at time.Duration, a *attempt, f retry.Failure, refused bool) {
	switch {
	case a.poison:
		return
	case !r.counted(a.account):
		if f == nil {
			r.in(a.at.Sub(a.s.start)).withdrawn++
		}
		return
	}
	if f == nil {
		r.in(at).answered++
		r.in(a.at.Sub(a.s.start)).kept++
		if a.original.within {
			r.in(a.at.Sub(a.s.start)).served[a.account.Name]++
		}
		return
	}
	row := retry.Describe(f)
	r.reasons[row.Reason]++
	switch {
	case !refused:
		r.in(at).failed++
	case a.within:
		r.in(at).refused[a.route.Importance]++
		if !r.offender(a.account) {
			r.in(at).others++
		}
	}
}

func (r *Result) violate(format string, args ...any) {
	r.Violations++
	if len(r.Examples) < violationsKept {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}

// Measure returns a measure of the seconds from one time of the trace to another.
func (r *Result) Measure(name string, from, to time.Duration) (float64, error) {
	part := r.seconds[int(from/time.Second):int(to/time.Second)]
	var offered, answered, kept, failed, others float64
	var asked, refused [3]float64
	for _, s := range part {
		offered += float64(s.offered)
		answered += float64(s.answered)
		kept += float64(s.kept)
		failed += float64(s.failed)
		others += float64(s.others)
		for i := range s.asked {
			asked[i] += float64(s.asked[i])
			refused[i] += float64(s.refused[i])
		}
	}
	all := refused[0] + refused[1] + refused[2]
	switch name {
	case "goodput": // answers per second
		return answered / (to - from).Seconds(), nil
	case "goodput-share": // answered part of the demand
		return kept / offered, nil
	case "recovery": // seconds
		return r.recovery(), nil
	case "worst-account": // answered part of the requests within the rate
		return r.worst(part, true), nil
	case "worst-other": // the same without the accounts whose demand rises
		return r.worst(part, false), nil
	case "others-refused": // requests within the rate of accounts whose demand does not rise
		return others, nil
	case "failed":
		return failed, nil
	case "wrongful": // refused part of the requests within the rate
		return all / max(1, asked[0]+asked[1]+asked[2]), nil
	case "wrongful-count":
		return all, nil
	case "critical-count":
		return refused[admit.Critical], nil
	case "critical-refused":
		return refused[admit.Critical] / max(1, asked[admit.Critical]), nil
	case "interrupted":
		return float64(r.Interrupted), nil
	case "crashes":
		return float64(r.Crashes), nil
	case "withdrawn-answers":
		count := 0
		for _, s := range part {
			count += s.withdrawn
		}
		return float64(count), nil
	}
	return 0, fmt.Errorf("%w: unknown measure %q", ErrTrace, name)
}

func (r *Result) worst(part []second, offenders bool) float64 {
	worst := 1.0
	for _, a := range r.trace.Accounts {
		entitled, served := 0, 0
		for _, s := range part {
			entitled += s.entitled[a.Name]
			served += s.served[a.Name]
		}
		if entitled > 0 && (offenders || !r.offender(&a)) {
			worst = min(worst, float64(served)/float64(entitled))
		}
	}
	return worst
}

// recovery returns the seconds from the end of the last fault until the goodput is back for good.
func (r *Result) recovery() float64 {
	first, last := r.trace.Length, time.Duration(0)
	for _, f := range r.trace.Faults {
		first, last = min(first, f.At), max(last, f.Until)
	}
	before := 0.0
	for _, s := range r.seconds[warmUp:int(first/time.Second)] {
		before += float64(s.answered) / float64(int(first/time.Second)-warmUp)
	}
	good := 0
	for i := int(last / time.Second); i < int(r.trace.Length/time.Second); i++ {
		if float64(r.seconds[i].answered) < recoveredShare*before {
			good = 0
			continue
		}
		if good++; good == recoveredFor {
			return float64(i-recoveredFor+1) - last.Seconds()
		}
	}
	return math.Inf(1)
}

// Check compares a result with the stated outcomes and returns one line for each that is not met.
func (r *Result) Check() []string {
	var failed []string
	for _, e := range r.trace.Expect {
		value, err := r.Measure(e.Measure, e.From, e.To)
		sign, met := "<=", value <= e.Bound
		if e.AtLeast {
			sign, met = ">=", value >= e.Bound
		}
		if err != nil || !met {
			failed = append(failed, fmt.Sprintf("%s %v-%v: got %.4g, want %s %.4g (%v)", e.Measure, e.From, e.To, value, sign, e.Bound, err))
		}
	}
	if r.Violations > 0 {
		failed = append(failed, fmt.Sprintf("%d violations: %v", r.Violations, r.Examples))
	}
	return failed
}

// Mechanisms returns the system and its baselines.
func Mechanisms() []Mechanism {
	return []Mechanism{
		{Name: "buckthornpitch"},
		{Name: "no-admission", NoAdmission: true},
		{Name: "retries-per-hop", RetriesPerHop: true},
		{Name: "round-robin", RoundRobin: true},
		{Name: "static-rates", StaticRates: true},
	}
}

// WriteTable writes one row for each result, with the measures M1 to M4 without the first seconds, in
// which the daemons learn what normal latencies are.
func WriteTable(w io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "trace\tmechanism\tM1 goodput\tM2 recovery\tM3 worst account\tM4 refused within rate\tof these critical\tlate or lost\tsends\tviolations") //nolint:errcheck // Flush reports it
	for _, r := range results {
		var values [5]float64
		for i, name := range [...]string{"goodput-share", "worst-account", "wrongful-count", "critical-count", "failed"} {
			values[i], _ = r.Measure(name, warmUp*time.Second, r.trace.Length)
		}
		recovery := "none"
		if seconds := r.recovery(); !math.IsInf(seconds, 1) {
			recovery = fmt.Sprintf("%.0f s", seconds)
		}
		fmt.Fprintf(table, "%s\t%s\t%.1f%%\t%s\t%.1f%%\t%.0f\t%.0f\t%.0f\t%d\t%d\n", //nolint:errcheck // Flush reports it
			r.trace.Name, r.Mechanism, 100*values[0], recovery, 100*values[1], values[2], values[3], values[4], r.Sends, r.Violations)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
