package replay

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
)

var (
	// ErrTrace reports a line of a trace that cannot be understood.
	ErrTrace = errors.New("invalid trace")
	errWords = errors.New("wrong number of words")
)

type (
	// Trace is a fleet, the demand on it, the faults and the stated outcomes.
	Trace struct {
		Name     string
		Customer string
		Seed     uint64
		Length   time.Duration
		Zone     time.Duration // one-way latency between availability zones
		Client   time.Duration // one-way latency to clients
		Services []Service
		Accounts []Account
		Routes   []Route
		Faults   []Fault
		Expect   []Expect
		Resends  int           // of a caller whose request failed
		Pause    time.Duration // of a caller before a resend
		Rates    float64       // factor on the rates of all accounts
		Baseline bool          // the baselines run this trace as well
	}

	// Service is a set of equal backend servers.
	Service struct {
		Name        string
		Servers     int
		Slots       int
		Connections int
		Knee        float64 // part of the slots above which concurrent work slows down in proportion
		Strain      float64 // slowdown of all work by each request accepted beyond the slots
	}

	// Account is a client account; Share is its part of the demand.
	Account struct {
		Name  string
		Share float64
		Rate  float64 // tokens per second
		Burst float64 // tokens
	}

	// Route is a chain of services that call each other one after another.
	Route struct {
		Name       string
		Importance admit.Importance
		Once       bool
		Deadline   time.Duration
		Retries    uint32
		Demand     float64 // requests per second of all accounts
		Path       []Hop
		Stream     time.Duration // time to stream the body after the first byte
	}

	// Hop is the work of one service for a route, without its nested call.
	Hop struct {
		Service string
		Work    time.Duration
	}

	// Fault is an event of the trace that lasts from At to Until.
	Fault struct {
		Kind   string // slow, demand, pin, withdrawn, lost, drain, poison, cut
		Target string
		Factor float64
		At     time.Duration
		Until  time.Duration
	}

	// Expect is a stated outcome: a bound on a measure between From and To.
	Expect struct {
		Measure string
		AtLeast bool
		Bound   float64
		From    time.Duration
		To      time.Duration
	}
)

// Load reads a trace file and the fleet file that it includes; errors wrap ErrTrace.
func Load(path string) (*Trace, error) {
	t := &Trace{Name: strings.TrimSuffix(filepath.Base(path), ".trace"), Seed: 1, Rates: 1}
	if err := t.read(path); err != nil {
		return nil, err
	}
	for i := range t.Accounts {
		a := &t.Accounts[i]
		a.Rate, a.Burst = a.Rate*t.Rates, a.Burst*t.Rates
	}
	for i := range t.Expect {
		if e := &t.Expect[i]; e.To == 0 {
			e.To = t.Length
		}
	}
	return t, nil
}

func (t *Trace) read(path string) error {
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
		l := &reader{words: words[1:]}
		if words[0] == "include" {
			if err := t.read(filepath.Join(filepath.Dir(path), l.word())); err != nil {
				return err
			}
			continue
		}
		t.rule(words[0], l)
		if l.err != nil || len(l.words) > 0 {
			return fmt.Errorf("%w: %s:%d: %q: %d words left: %w", ErrTrace, path, number, line, len(l.words), errors.Join(l.err, errWords))
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrTrace, err)
	}
	return nil
}

func (t *Trace) rule(kind string, l *reader) {
	switch kind {
	case "customer":
		t.Customer = l.word()
	case "seed":
		t.Seed = uint64(l.number())
	case "length":
		t.Length = l.duration()
	case "latency":
		t.Zone, t.Client = l.duration(), l.duration()
	case "callers":
		t.Resends, t.Pause = int(l.number()), l.duration()
	case "baselines":
		t.Baseline = true
	case "rates":
		t.Rates = l.number()
	case "service":
		t.Services = append(t.Services, Service{
			Name: l.word(), Servers: int(l.number()), Slots: int(l.number()), Connections: int(l.number()), Knee: l.number(),
			Strain: l.number(),
		})
	case "account":
		t.Accounts = append(t.Accounts, Account{Name: l.word(), Share: l.number(), Rate: l.number(), Burst: l.number()})
	case "route":
		r := Route{Name: l.word(), Importance: l.importance(), Once: l.word() == "once", Deadline: l.duration()}
		r.Retries, r.Demand = uint32(l.number()), l.number()
		for step := range strings.SplitSeq(l.word(), ">") {
			service, work, _ := strings.Cut(step, ":")
			hop := &reader{words: []string{work}}
			r.Path = append(r.Path, Hop{Service: service, Work: hop.duration()})
			l.err = errors.Join(l.err, hop.err)
		}
		if len(l.words) > 0 {
			r.Stream = l.duration()
		}
		t.Routes = append(t.Routes, r)
	case "at":
		f := Fault{At: l.duration(), Kind: l.word()}
		targets, factor, until := l.word(), l.number(), l.duration()
		for target := range strings.SplitSeq(targets, ",") {
			f.Target, f.Factor, f.Until = target, factor, until
			t.Faults = append(t.Faults, f)
		}
	case "expect":
		e := Expect{Measure: l.word(), AtLeast: l.word() == ">=", Bound: l.number()}
		if len(l.words) > 0 {
			e.From, e.To = l.duration(), l.duration()
		}
		t.Expect = append(t.Expect, e)
	default:
		l.err = fmt.Errorf("unknown word %q", kind)
	}
}

// reader takes the words of one line from left to right and keeps the first error.
type reader struct {
	words []string
	err   error
}

func (l *reader) word() string {
	if len(l.words) == 0 {
		l.err = errors.Join(l.err, errors.New("line too short"))
		return ""
	}
	word := l.words[0]
	l.words = l.words[1:]
	return word
}

func (l *reader) number() float64 {
	text := strings.TrimPrefix(l.word(), "x")
	value, err := strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
	if strings.HasSuffix(text, "%") {
		value /= 100
	}
	l.err = errors.Join(l.err, err)
	return value
}

func (l *reader) duration() time.Duration {
	d, err := time.ParseDuration(l.word())
	l.err = errors.Join(l.err, err)
	return d
}

func (l *reader) importance() admit.Importance {
	switch word := l.word(); word {
	case "critical":
		return admit.Critical
	case "normal":
		return admit.Normal
	case "bulk":
		return admit.Bulk
	default:
		l.err = errors.Join(l.err, fmt.Errorf("unknown importance %q", word))
		return admit.Bulk
	}
}
