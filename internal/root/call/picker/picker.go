package picker

import (
	"sync"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

type (
	// Picker chooses among the instances of one service.
	Picker struct {
		mu        sync.Mutex
		endpoints []snap.Endpoint
	}

	// Result is Answered, Refused, Failed or Canceled.
	Result interface{ result() }

	// Answered is a response of the instance: time to its first byte, and the part of its limit in use
	// that the daemon beside it reported (1 for a full limit, 0 if unknown).
	Answered struct {
		Latency time.Duration
		Load    float64
	}

	// Refused is a refusal by admission control, by the backend server (429, 503), or by an instance
	// that is draining.
	Refused struct {
		Load     float64
		Draining bool
	}

	// Failed is a connection that was refused or broke, or a deadline that passed without a response
	// after the given latency.
	Failed struct{ Latency time.Duration }

	// Canceled is a call that its caller abandoned.
	Canceled struct{}
)

func (Answered) result() {}
func (Refused) result()  {}
func (Failed) result()   {}
func (Canceled) result() {}

// New returns a picker for a daemon in that availability zone; seed makes its choices repeatable.
func New(zone string, seed uint64) *Picker { return &Picker{} }

// Update replaces the set of instances; what is known of the remaining incarnations is kept.
func (p *Picker) Update(now time.Time, endpoints []snap.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints = endpoints
}

// Pick chooses an instance that is not excluded and counts the call as in flight there until Done.
// Instances in exclude were already tried; if no other is left, they are chosen among again.
func (p *Picker) Pick(now time.Time, exclude []string) (snap.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.endpoints) == 0 {
		return snap.Endpoint{}, false
	}
	return p.endpoints[0], true
}

// Done counts the result of a call to the instance with that id.
func (p *Picker) Done(now time.Time, id string, r Result) {}
