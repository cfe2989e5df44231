package admit

import (
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

const (
	// Critical requests are shed last.
	Critical Importance = iota
	// Normal requests are shed before critical ones.
	Normal
	// Bulk requests are shed first.
	Bulk

	classes = 3
)

const (
	idle phase = iota
	queued
	running
	refused
)

type (
	// Importance is the class of a request; lower values are more important.
	Importance uint8

	// Ticket is one request at one limiter. The limiter's mutex guards the unexported fields.
	Ticket struct {
		Account    string
		Weight     float64 // share of the account, such as its rate; zero for the mean of the others
		Route      string  // latencies are compared within a route
		Importance Importance
		HeldSlots  uint8 // slots of the same service that the request's call chain already holds
		Deadline   time.Time

		phase    phase
		reported bool // latency of this request is already counted
		account  *account
		verdict  chan Decision
	}

	phase uint8

	// Decision is Admitted, Queued or Refused.
	Decision interface{ decision() }

	// Admitted gives a slot, which Done returns.
	Admitted struct{}

	// Queued asks the caller to receive Verdict, to call Expire at Until, or to call Cancel when its
	// own caller leaves, whichever comes first. Verdict carries Admitted or Refused.
	Queued struct {
		Verdict <-chan Decision
		Until   time.Time
	}

	// Refused ends the request, which has not run.
	Refused struct{ Failure retry.Failure }

	// Result is Completed, Shed, Expired, Lost or Canceled.
	Result interface{ result() }

	// Completed is a response of the backend server; Latency is the time to its first byte without the
	// time spent in nested calls, or zero when Responded has already reported it.
	Completed struct{ Latency time.Duration }

	// Shed is a response by which the backend server refused the request (429 or 503).
	Shed struct{}

	// Expired is a request that its deadline ended; Latency is its age without nested calls.
	Expired struct{ Latency time.Duration }

	// Lost is a request whose connection to the backend server failed.
	Lost struct{}

	// Canceled is a request that its caller abandoned.
	Canceled struct{}
)

func (Admitted) decision() {}
func (Queued) decision()   {}
func (Refused) decision()  {}

func (Completed) result() {}
func (Shed) result()      {}
func (Expired) result()   {}
func (Lost) result()      {}
func (Canceled) result()  {}
