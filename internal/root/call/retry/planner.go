package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// DefaultShare is the largest ratio of retries to recent successes of a service.
	DefaultShare = 0.10

	shareWindow  = 10 * time.Second
	shareMinimum = 2 // retries per window that a service with few calls may always use
	backoffBase  = 5 * time.Millisecond
	backoffLimit = 250 * time.Millisecond
)

const (
	// NotAllowed says that the failure does not permit another send.
	NotAllowed GiveUpCause = iota
	// MarkedFinal says that a lower layer has already decided about this failure.
	MarkedFinal
	// NoBudget says that the attempt budget is spent or lent.
	NoBudget
	// NoTime says that the deadline would pass during the backoff.
	NoTime
	// NoShare says that the service's retry share is used up.
	NoShare
)

type (
	// Why tells why a request is not sent again.
	GiveUpCause uint8

	// Attempt is a failed send and what is known about its request.
	Attempt struct {
		Service    string
		Failure    Failure
		Idempotent bool
		Final      bool // the response carried the final mark
		Sent       int  // sends of this call so far, at least 1
		Deadline   time.Time
	}

	// Verdict is Again or GiveUp.
	Verdict interface{ verdict() }

	// Again asks for another send after a pause.
	Retry struct{ After time.Duration }

	// GiveUp ends the call; Final is passed on to the layer above.
	GiveUp struct {
		Cause GiveUpCause
		Final bool
	}

	// Planner decides about retries and keeps the retry share of each service.
	Planner struct {
		mu       sync.Mutex
		random   *rand.Rand
		services map[string]*share
	}

	share struct {
		ratio     float64
		rolled    time.Time
		successes float64
		retries   float64
	}
)

func (Retry) verdict()  {}
func (GiveUp) verdict() {}

// NewPlanner returns a planner whose jitter is drawn from a source with the given seed.
func NewPlanner(seed uint64) *Planner {
	return &Planner{random: rand.New(rand.NewPCG(seed, seed)), services: map[string]*share{}}
}

// SetShare sets the retry share of a service, for example 0.10.
func (p *Planner) SetShare(service string, ratio float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shareOf(service).ratio = ratio
}

// Success counts a successful call to a service.
func (p *Planner) Success(now time.Time, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.shareOf(service)
	s.roll(now)
	s.successes++
}

// Decide says whether a failed call is sent again and takes the retry from its budget.
func (p *Planner) Decide(now time.Time, budget *Budget, a Attempt) Verdict {
	switch {
	case a.Final || budget.Final():
		return GiveUp{Cause: MarkedFinal, Final: true}
	case !MayResend(a.Failure, a.Idempotent):
		return GiveUp{Cause: NotAllowed, Final: true}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pause := p.backoff(a.Sent)
	if !now.Add(pause).Before(a.Deadline) {
		return GiveUp{Cause: NoTime, Final: true}
	}
	s := p.shareOf(a.Service)
	s.roll(now)
	if s.retries+1 > s.ratio*s.successes+shareMinimum {
		return GiveUp{Cause: NoShare, Final: true}
	}
	if !budget.Take() {
		return GiveUp{Cause: NoBudget, Final: true}
	}
	s.retries++
	return Retry{After: pause}
}

func (p *Planner) shareOf(service string) *share {
	s := p.services[service]
	if s == nil {
		s = &share{ratio: DefaultShare}
		p.services[service] = s
	}
	return s
}

// backoff returns a pause between half and all of the exponential step.
func (p *Planner) backoff(sent int) time.Duration {
	step := backoffLimit
	if sent < 7 {
		step = min(backoffLimit, backoffBase<<max(0, sent-1))
	}
	return step/2 + time.Duration(p.random.Int64N(int64(step/2)+1))
}

// roll lets the counts decay exponentially with the window as time constant.
func (s *share) roll(now time.Time) {
	passed := now.Sub(s.rolled)
	if passed <= 0 {
		return
	}
	keep := math.Exp(-float64(passed) / float64(shareWindow))
	s.successes *= keep
	s.retries *= keep
	s.rolled = now
}
