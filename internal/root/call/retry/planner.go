package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// DefaultShare is the default limit on the ratio of retries to recent successes of a service.
	DefaultShare = 0.10

	shareWindow     = 10 * time.Second
	minShareRetries = 2 // retries per window that a service with few calls may always use
	backoffBase     = 5 * time.Millisecond
	backoffLimit    = 250 * time.Millisecond
)

const (
	// NotAllowed means that the failure does not permit a retry.
	NotAllowed GiveUpCause = iota
	// MarkedFinal means that a lower layer has already decided about this failure.
	MarkedFinal
	// NoBudget means that the retry budget is spent or lent.
	NoBudget
	// NoTime means that the deadline would pass during the backoff.
	NoTime
	// NoShare means that the retry share of the service is used up.
	NoShare
)

type (
	// GiveUpCause is the reason why a request is not retried.
	GiveUpCause uint8

	// Attempt is a failed send of a request.
	Attempt struct {
		Service    string
		Failure    Failure
		Idempotent bool
		Final      bool // the response reports that a lower layer has decided about retries
		Sent       int  // sends of this call so far, at least 1
		FirstOffer bool // the instance had not been offered the call before
		Deadline   time.Time
	}

	// Verdict is Retry or GiveUp.
	Verdict interface{ verdict() }

	// Retry is the verdict that the request is sent another time after a delay.
	Retry struct{ After time.Duration }

	// GiveUp ends the call; Final is passed on to the layer above.
	GiveUp struct {
		Cause GiveUpCause
		Final bool
	}

	// Planner decides about retries and counts the retry share of each service. It is safe for concurrent use.
	Planner struct {
		mu       sync.Mutex
		random   *rand.Rand
		services map[string]*share
	}

	// ShareUsage is the use of the retry share of a service.
	ShareUsage struct {
		Successes float64 // recent, decayed
		Retries   float64
		Limit     float64 // of the retries
	}

	// share is the retry share of one service. The counts decay exponentially.
	share struct {
		ratio     float64
		decayedAt time.Time
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
	s.decay(now)
	s.successes++
}

// Usage returns the use of the retry share of a service under the given ratio, and counts nothing.
func (p *Planner) Usage(now time.Time, service string, ratio float64) ShareUsage {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := share{}
	if known := p.services[service]; known != nil {
		s = *known
	}
	s.ratio = ratio
	s.decay(now)
	return ShareUsage{Successes: s.successes, Retries: s.retries, Limit: s.limit()}
}

// Decide decides whether a failed call is retried, and if so takes the retry from the budget.
func (p *Planner) Decide(now time.Time, budget *Budget, a Attempt) Verdict {
	switch {
	case a.Final || budget.Final():
		return GiveUp{Cause: MarkedFinal, Final: true}
	case !MayResend(a.Failure, a.Idempotent):
		return GiveUp{Cause: NotAllowed, Final: true}
	}
	if _, evacuated := a.Failure.(Evacuated); evacuated && a.FirstOffer && now.Before(a.Deadline) {
		// The server has not received the call. The number of servers bounds these retries.
		return Retry{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delay := p.backoff(a.Sent)
	if !now.Add(delay).Before(a.Deadline) {
		return GiveUp{Cause: NoTime, Final: true}
	}
	s := p.shareOf(a.Service)
	s.decay(now)
	if s.retries+1 > s.limit() {
		return GiveUp{Cause: NoShare, Final: true}
	}
	if !budget.Take() {
		return GiveUp{Cause: NoBudget, Final: true}
	}
	s.retries++
	return Retry{After: delay}
}

func (p *Planner) shareOf(service string) *share {
	s := p.services[service]
	if s == nil {
		s = &share{ratio: DefaultShare}
		p.services[service] = s
	}
	return s
}

// backoff returns a random delay between half and all of the exponential step.
func (p *Planner) backoff(sent int) time.Duration {
	step := backoffLimit
	if sent < 7 {
		step = min(backoffLimit, backoffBase<<max(0, sent-1))
	}
	return step/2 + time.Duration(p.random.Int64N(int64(step/2)+1))
}

// limit returns the largest number of retries.
func (s *share) limit() float64 { return s.ratio*s.successes + minShareRetries }

// decay decays the counts exponentially with the window as time constant.
func (s *share) decay(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(shareWindow))
	s.successes *= factor
	s.retries *= factor
	s.decayedAt = now
}
