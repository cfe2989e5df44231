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
	recoveredShare   = 0.9 // a second with this share of the goodput before the first fault counts as recovered
	recoveredSeconds = 3   // consecutive recovered seconds after which the recovery is complete
	warmUpSeconds    = 2   // excluded from the table and the recovery baseline, because daemons first learn the normal latencies
	maxExamples      = 5   // violations that are listed
)

type (
	// Result holds the measures of a replay.
	Result struct {
		Mechanism   string
		Crashes     int
		Interrupted int      // downloads that ended before their last byte
		Sends       int      // call attempts of all hops
		Violations  int      // of the invariants that every replay checks
		Examples    []string // the first maxExamples violations

		trace   *Trace
		seconds []secondCounts
		reasons map[retry.Reason]int
	}

	// secondCounts holds the counts of one second. Client requests count in the second in which they are sent,
	// ingress requests in that of their arrival at the ingress, responses and refusals in that of their arrival at
	// the client, unless a field says otherwise. A request is served if the client received a complete response.
	secondCounts struct {
		offered           int            // client requests
		responses         int            // complete responses
		served            int            // client requests sent in this second and served at any time
		failed            int            // ingress requests neither served within the deadline nor refused
		eligible          map[string]int // client requests within the rate, by account; counted on arrival at the ingress
		eligibleServed    map[string]int // eligible requests sent in this second and served at any time
		ingressWithinRate [3]int         // ingress requests within the rate, by importance
		refusedWithinRate [3]int         // refused ingress requests within the rate, by importance
		refusedOthers     int            // refused ingress requests within the rate, of accounts whose demand does not rise
		withdrawnServed   int            // requests sent in this second and served at any time, of accounts whose key is withdrawn in the trace
	}
)

func newResult(trace *Trace) *Result {
	r := &Result{trace: trace, seconds: make([]secondCounts, int(trace.Length/time.Second)+1), reasons: map[retry.Reason]int{}}
	for i := range r.seconds {
		r.seconds[i] = secondCounts{eligible: map[string]int{}, eligibleServed: map[string]int{}}
	}
	return r
}

// secondAt returns the counts of the second at a time of the trace; later times count in the last second.
func (r *Result) secondAt(at time.Duration) *secondCounts {
	return &r.seconds[min(int(at/time.Second), len(r.seconds)-1)]
}

// measured reports whether the requests of an account are part of the measures: those of an account whose key
// is withdrawn in the trace are not.
func (r *Result) measured(a *Account) bool {
	for _, f := range r.trace.Faults {
		if f.Kind == "withdrawn" && f.Target == a.Name {
			return false
		}
	}
	return true
}

// demandRises reports whether the trace raises the demand of an account.
func (r *Result) demandRises(a *Account) bool {
	for _, f := range r.trace.Faults {
		if f.Kind == "demand" && f.Target == a.Name {
			return true
		}
	}
	return false
}

func (r *Result) recordArrival(at time.Duration, a *Account) {
	if r.measured(a) {
		r.secondAt(at).offered++
	}
}

func (r *Result) recordEligible(at time.Duration, req *ingressRequest) {
	if req.withinRate && !req.poison && r.measured(req.account) {
		r.secondAt(at).eligible[req.account.Name]++
	}
}

func (r *Result) recordIngress(at time.Duration, req *ingressRequest) {
	if req.withinRate && !req.poison && r.measured(req.account) {
		r.secondAt(at).ingressWithinRate[req.route.Importance]++
	}
}

// recordCompletion counts the response or refusal of an ingress request that reaches the client at a time of
// the trace; f is nil for a complete response.
func (r *Result) recordCompletion(at time.Duration, req *ingressRequest, f retry.Failure, refused bool) {
	switch {
	case req.poison:
		return
	case !r.measured(req.account):
		if f == nil {
			r.secondAt(req.sentAt.Sub(req.sim.start)).withdrawnServed++
		}
		return
	}
	if f == nil {
		r.secondAt(at).responses++
		r.secondAt(req.sentAt.Sub(req.sim.start)).served++
		if req.clientRequest.firstWithinRate {
			r.secondAt(req.sentAt.Sub(req.sim.start)).eligibleServed[req.account.Name]++
		}
		return
	}
	row := retry.Describe(f)
	r.reasons[row.Reason]++
	switch {
	case !refused:
		r.secondAt(at).failed++
	case req.withinRate:
		r.secondAt(at).refusedWithinRate[req.route.Importance]++
		if !r.demandRises(req.account) {
			r.secondAt(at).refusedOthers++
		}
	}
}

func (r *Result) recordViolation(format string, args ...any) {
	r.Violations++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}

// Measure returns the measure with the given name over the seconds between two times of the trace.
func (r *Result) Measure(name string, from, to time.Duration) (float64, error) {
	seconds := r.seconds[int(from/time.Second):int(to/time.Second)]
	var offered, responses, served, failed, refusedOthers float64
	var ingressWithinRate, refusedWithinRate [3]float64
	for _, s := range seconds {
		offered += float64(s.offered)
		responses += float64(s.responses)
		served += float64(s.served)
		failed += float64(s.failed)
		refusedOthers += float64(s.refusedOthers)
		for i := range s.ingressWithinRate {
			ingressWithinRate[i] += float64(s.ingressWithinRate[i])
			refusedWithinRate[i] += float64(s.refusedWithinRate[i])
		}
	}
	total := refusedWithinRate[0] + refusedWithinRate[1] + refusedWithinRate[2]
	switch name {
	case "goodput": // complete responses per second
		return responses / (to - from).Seconds(), nil
	case "goodput-share": // served share of the demand
		return served / offered, nil
	case "recovery": // seconds
		return r.recoverySeconds(), nil
	case "worst-account": // lowest served share of the requests within the rate over the accounts
		return r.worstAccount(seconds, true), nil
	case "worst-other": // the same over the accounts whose demand does not rise
		return r.worstAccount(seconds, false), nil
	case "others-refused": // refused requests within the rate, of accounts whose demand does not rise
		return refusedOthers, nil
	case "failed":
		return failed, nil
	case "wrongful": // refused share of the requests within the rate
		return total / max(1, ingressWithinRate[0]+ingressWithinRate[1]+ingressWithinRate[2]), nil
	case "wrongful-count":
		return total, nil
	case "critical-count":
		return refusedWithinRate[admit.Critical], nil
	case "critical-refused":
		return refusedWithinRate[admit.Critical] / max(1, ingressWithinRate[admit.Critical]), nil
	case "interrupted":
		return float64(r.Interrupted), nil
	case "crashes":
		return float64(r.Crashes), nil
	case "withdrawn-answers":
		count := 0
		for _, s := range seconds {
			count += s.withdrawnServed
		}
		return float64(count), nil
	}
	return 0, fmt.Errorf("%w: unknown measure %q", ErrTrace, name)
}

// worstAccount returns the lowest served share of the requests within the rate over the accounts. Accounts whose
// demand rises are included only with includeRising.
func (r *Result) worstAccount(seconds []secondCounts, includeRising bool) float64 {
	worst := 1.0
	for _, a := range r.trace.Accounts {
		eligible, served := 0, 0
		for _, s := range seconds {
			eligible += s.eligible[a.Name]
			served += s.eligibleServed[a.Name]
		}
		if eligible > 0 && (includeRising || !r.demandRises(&a)) {
			worst = min(worst, float64(served)/float64(eligible))
		}
	}
	return worst
}

// recoverySeconds returns the time from the end of the last fault to the start of the first recoveredSeconds
// consecutive seconds with recoveredShare of the goodput before the first fault, or +Inf if there are none.
func (r *Result) recoverySeconds() float64 {
	firstFault, lastFaultEnd := r.trace.Length, time.Duration(0)
	for _, f := range r.trace.Faults {
		firstFault, lastFaultEnd = min(firstFault, f.At), max(lastFaultEnd, f.Until)
	}
	goodputBefore := 0.0
	for _, s := range r.seconds[warmUpSeconds:int(firstFault/time.Second)] {
		goodputBefore += float64(s.responses) / float64(int(firstFault/time.Second)-warmUpSeconds)
	}
	goodSeconds := 0
	for i := int(lastFaultEnd / time.Second); i < int(r.trace.Length/time.Second); i++ {
		if float64(r.seconds[i].responses) < recoveredShare*goodputBefore {
			goodSeconds = 0
			continue
		}
		if goodSeconds++; goodSeconds == recoveredSeconds {
			return float64(i-recoveredSeconds+1) - lastFaultEnd.Seconds()
		}
	}
	return math.Inf(1)
}

// Check compares a result with the expected outcomes of its trace and returns one line for each that is not
// met.
func (r *Result) Check() []string {
	var problems []string
	for _, e := range r.trace.Expectations {
		value, err := r.Measure(e.Measure, e.From, e.To)
		sign, met := "<=", value <= e.Bound
		if e.AtLeast {
			sign, met = ">=", value >= e.Bound
		}
		if err != nil || !met {
			problems = append(problems, fmt.Sprintf("%s %v-%v: got %.4g, want %s %.4g (%v)", e.Measure, e.From, e.To, value, sign, e.Bound, err))
		}
	}
	if r.Violations > 0 {
		problems = append(problems, fmt.Sprintf("%d violations: %v", r.Violations, r.Examples))
	}
	return problems
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

// WriteTable writes one row for each result, with the measures M1 to M4 without the first warmUpSeconds.
func WriteTable(w io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "trace\tmechanism\tM1 goodput\tM2 recovery\tM3 worst account\tM4 refused within rate\tof these critical\tlate or lost\tsends\tviolations") //nolint:errcheck // Flush reports it
	for _, r := range results {
		var values [5]float64
		for i, name := range [...]string{"goodput-share", "worst-account", "wrongful-count", "critical-count", "failed"} {
			values[i], _ = r.Measure(name, warmUpSeconds*time.Second, r.trace.Length)
		}
		recovery := "none"
		if seconds := r.recoverySeconds(); !math.IsInf(seconds, 1) {
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
