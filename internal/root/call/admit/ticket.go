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

	importanceCount = 3
)

const (
	idle phase = iota
	queued
	running
	refused
)

type (
	// Importance is the shedding priority of a request; lower values are more important.
	Importance uint8

	// Ticket is the state of one request at one limiter. The limiter's mutex guards the unexported fields.
	Ticket struct {
		Account    string
		Weight     float64 // weight of the account in fair queueing, such as its rate; zero means the mean weight of the other accounts
		Route      string  // latencies are compared only with those of the same route
		Importance Importance
		HeldSlots  uint8 // slots of the same service that the request's call chain already holds
		Deadline   time.Time

		phase           phase
		latencyRecorded bool      // Responded has recorded the latency
		pacedAt         time.Time // when it took its turn at the rate of a cold server, zero at a warm one
		account         *account
		verdict         chan Decision
	}

	phase uint8

	// Decision is Admitted, Queued or Refused.
	Decision interface{ decision() }

	// Admitted means that the request holds a slot until Done is called.
	Admitted struct{}

	// Queued means that the request waits for a slot. The caller receives from Verdict, calls Expire at the
	// time Until, or calls Cancel when its own caller leaves, whichever comes first. Verdict carries
	// Admitted or Refused. Cold is set if a slot is free but the server is cold.
	Queued struct {
		Verdict <-chan Decision
		Until   time.Time
		Cold    bool
	}

	// Refused means that the request is not served; it has not reached the backend server. Cold is set if the server
	// is cold and its rate is the reason.
	Refused struct {
		Failure retry.Failure
		Cold    bool
	}

	// Result is Completed, Shed, Expired, Lost or Canceled.
	Result interface{ result() }

	// Completed is a response of the backend server; Latency is the time to its first byte without the
	// time spent in nested calls, or zero when Responded has already reported it.
	Completed struct{ Latency time.Duration }

	// Shed is a response by which the backend server refused the request (429 or 503).
	Shed struct{}

	// Expired is a request whose deadline passed while it ran; Latency is its age without the time spent in
	// nested calls.
	Expired struct{ Latency time.Duration }

	// Lost is a request whose connection to the backend server failed.
	Lost struct{}

	// Canceled is a request whose caller left before its end.
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
