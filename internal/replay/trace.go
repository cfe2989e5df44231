package replay

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
)

var (
	// ErrTrace reports a trace file that cannot be read or has an invalid line.
	ErrTrace     = errors.New("invalid trace")
	errWordCount = errors.New("wrong number of words")
)

type (
	// Trace is a fleet, the demand on it, the faults and the expected outcomes.
	Trace struct {
		Name             string
		Customer         string
		Seed             uint64
		Length           time.Duration
		ZoneLatency      time.Duration // one-way latency between availability zones
		ClientLatency    time.Duration // one-way latency to clients
		Services         []Service
		Accounts         []Account
		Routes           []Route
		Faults           []Fault
		Expectations     []Expectation
		ClientRetries    int           // retries by a client whose request failed
		ClientRetryDelay time.Duration // delay before a client's retry
		RateFactor       float64       // factor on the rates of all accounts
		RunBaselines     bool          // run this trace with the baselines as well
	}

	// Service is a service whose backend servers are all of the same size.
	Service struct {
		Name           string
		Servers        int
		Slots          int
		Connections    int
		Knee           float64 // share of the slots in use above which work slows down in proportion
		ExcessSlowdown float64 // slowdown of all work for each request accepted beyond the slots
	}

	// Account is a client account; Share is its share of the demand.
	Account struct {
		Name  string
		Share float64
		Rate  float64 // tokens per second
		Burst float64 // tokens
	}

	// Route is a route with the chain of services that a request passes through, each calling the next.
	Route struct {
		Name       string
		Importance admit.Importance
		Once       bool
		Deadline   time.Duration
		Retries    uint32
		Demand     float64 // requests per second of all accounts
		Path       []Hop
		StreamTime time.Duration // from the first byte of the response to the end of its body
	}

	// Hop is one service of a route's path; Work is its processing time without the nested call.
	Hop struct {
		Service string
		Work    time.Duration
	}

	// Fault is a fault, or a change of the demand, that lasts from At to Until.
	Fault struct {
		Kind   string  // slow, demand, pin, withdrawn, lost, drain, poison, cut
		Target string  // instance, service, account, route or ACCOUNT/ROUTE, depending on the kind
		Factor float64 // on the work of servers or on the demand
		At     time.Duration
		Until  time.Duration
	}

	// Expectation is an expected outcome: a bound on a measure over the time between From and To.
	Expectation struct {
		Measure string
		AtLeast bool
		Bound   float64
		From    time.Duration
		To      time.Duration
	}
)

// Load reads a trace file and the fleet file that it includes; errors wrap ErrTrace.
func Load(path string) (*Trace, error) {
	t := &Trace{Name: strings.TrimSuffix(filepath.Base(path), ".trace"), Seed: 1, RateFactor: 1}
	if err := t.parseFile(path); err != nil {
		return nil, err
	}
	for i := range t.Accounts {
		a := &t.Accounts[i]
		a.Rate, a.Burst = a.Rate*t.RateFactor, a.Burst*t.RateFactor
	}
	for i := range t.Expectations {
		if e := &t.Expectations[i]; e.To == 0 {
			e.To = t.Length
		}
	}
	for _, f := range t.Faults {
		if err := t.checkTarget(f); err != nil {
			return nil, fmt.Errorf("%w: %s: %w", ErrTrace, path, err)
		}
	}
	return t, nil
}

// checkTarget returns an error if the target of the fault does not exist. A service may be added by an included
// file after the line of the fault, so that targets are checked last.
func (t *Trace) checkTarget(f Fault) error {
	isInstance := slices.ContainsFunc(t.Services, func(s Service) bool {
		number, err := strconv.Atoi(strings.TrimPrefix(f.Target, s.Name+"/"))
		return err == nil && number >= 0 && number < s.Servers && instanceID(s.Name, number) == f.Target
	})
	isService := slices.ContainsFunc(t.Services, func(s Service) bool { return s.Name == f.Target })
	isAccount := func(name string) bool {
		return slices.ContainsFunc(t.Accounts, func(a Account) bool { return a.Name == name })
	}
	isRoute := func(name string) bool {
		return slices.ContainsFunc(t.Routes, func(r Route) bool { return r.Name == name })
	}
	account, route, _ := strings.Cut(f.Target, "/")
	known := false
	switch f.Kind {
	case "lost", "drain", "cut":
		known = isInstance
	case "slow":
		known = isInstance || isService
	case "demand":
		known = isAccount(f.Target) || isRoute(f.Target)
	case "pin", "withdrawn":
		known = isAccount(f.Target)
	case "poison":
		known = isAccount(account) && isRoute(route)
	default:
		return fmt.Errorf("unknown fault %q", f.Kind)
	}
	if !known {
		return fmt.Errorf("target %q of the fault %q does not exist", f.Target, f.Kind)
	}
	return nil
}

// instanceID returns the name of an instance of a service.
func instanceID(service string, number int) string { return fmt.Sprintf("%s/%d", service, number) }

// parseFile adds the lines of a file, and of the files that it includes, to the trace.
func (t *Trace) parseFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTrace, err)
	}
	defer file.Close() //nolint:errcheck // read only
	scanner := bufio.NewScanner(file)
	for number := 1; scanner.Scan(); number++ {
		line, _, _ := strings.Cut(scanner.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		p := &lineParser{words: words[1:]}
		if words[0] == "include" {
			if err := t.parseFile(filepath.Join(filepath.Dir(path), p.word())); err != nil {
				return err
			}
			continue
		}
		t.parseLine(words[0], p)
		if p.err != nil || len(p.words) > 0 {
			return fmt.Errorf("%w: %s:%d: %q: %d unread words: %w", ErrTrace, path, number, line, len(p.words), errors.Join(p.err, errWordCount))
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrTrace, err)
	}
	return nil
}

// parseLine adds a line that starts with the word kind to the trace; errors are recorded in p.err.
func (t *Trace) parseLine(kind string, p *lineParser) {
	switch kind {
	case "customer":
		t.Customer = p.word()
	case "seed":
		t.Seed = uint64(p.number())
	case "length":
		t.Length = p.duration()
	case "latency":
		t.ZoneLatency, t.ClientLatency = p.duration(), p.duration()
	case "callers":
		t.ClientRetries, t.ClientRetryDelay = int(p.number()), p.duration()
	case "baselines":
		t.RunBaselines = true
	case "rates":
		t.RateFactor = p.number()
	case "service":
		t.Services = append(t.Services, Service{
			Name: p.word(), Servers: int(p.number()), Slots: int(p.number()), Connections: int(p.number()), Knee: p.number(),
			ExcessSlowdown: p.number(),
		})
	case "account":
		t.Accounts = append(t.Accounts, Account{Name: p.word(), Share: p.number(), Rate: p.number(), Burst: p.number()})
	case "route":
		r := Route{Name: p.word(), Importance: p.importance(), Once: p.word() == "once", Deadline: p.duration()}
		r.Retries, r.Demand = uint32(p.number()), p.number()
		for step := range strings.SplitSeq(p.word(), ">") {
			service, work, _ := strings.Cut(step, ":")
			workParser := &lineParser{words: []string{work}}
			r.Path = append(r.Path, Hop{Service: service, Work: workParser.duration()})
			p.err = errors.Join(p.err, workParser.err)
		}
		if len(p.words) > 0 {
			r.StreamTime = p.duration()
		}
		t.Routes = append(t.Routes, r)
	case "at":
		f := Fault{At: p.duration(), Kind: p.word()}
		targets, factor, until := p.word(), p.number(), p.duration()
		for target := range strings.SplitSeq(targets, ",") {
			f.Target, f.Factor, f.Until = target, factor, until
			t.Faults = append(t.Faults, f)
		}
	case "expect":
		e := Expectation{Measure: p.word(), AtLeast: p.word() == ">=", Bound: p.number()}
		if len(p.words) > 0 {
			e.From, e.To = p.duration(), p.duration()
		}
		t.Expectations = append(t.Expectations, e)
	default:
		p.err = fmt.Errorf("unknown word %q", kind)
	}
}

// lineParser parses the words of one line from left to right and collects the errors.
type lineParser struct {
	words []string
	err   error
}

func (p *lineParser) word() string {
	if len(p.words) == 0 {
		p.err = errors.Join(p.err, errors.New("line has too few words"))
		return ""
	}
	word := p.words[0]
	p.words = p.words[1:]
	return word
}

func (p *lineParser) number() float64 {
	text := strings.TrimPrefix(p.word(), "x")
	value, err := strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
	if strings.HasSuffix(text, "%") {
		value /= 100
	}
	p.err = errors.Join(p.err, err)
	return value
}

func (p *lineParser) duration() time.Duration {
	d, err := time.ParseDuration(p.word())
	p.err = errors.Join(p.err, err)
	return d
}

func (p *lineParser) importance() admit.Importance {
	switch word := p.word(); word {
	case "critical":
		return admit.Critical
	case "normal":
		return admit.Normal
	case "bulk":
		return admit.Bulk
	default:
		p.err = errors.Join(p.err, fmt.Errorf("unknown importance %q", word))
		return admit.Bulk
	}
}
