package retry

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// NotRun means that the backend server has not executed the request.
	NotRun Outcome = "not-run"
	// Ran means that the backend server has executed the request.
	Ran Outcome = "ran"
	// Unknown means that the backend server may have executed the request.
	Unknown Outcome = "unknown"
)

const (
	// Never forbids a retry: it could not succeed, or the caller has to decide.
	Never Resend = iota
	// IfIdempotent allows a retry of an idempotent request.
	IfIdempotent
	// Always allows a retry because the request has not run.
	Always
)

const (
	// overloadPause is the delay in Retry-After, the shortest that the header can express.
	overloadPause = time.Second

	// EvacuatedRetryAfter is the delay in Retry-After if all servers of a service are in zones under evacuation. The end
	// of an evacuation is not known; an order takes effect within 5 s, so that an earlier return probably meets the same
	// refusal. Callers whose deadline is earlier should not return.
	EvacuatedRetryAfter = 5 * time.Second
)

// ErrUnknownReason is the error for a pair of reason and outcome that no failure has.
var ErrUnknownReason = errors.New("unknown reason")

type (
	// Reason is the value of Buckthorn-Reason.
	Reason string

	// Outcome is the value of Buckthorn-Outcome.
	Outcome string

	// Resend is the condition under which a request may be retried after a failure.
	Resend uint8

	// Failure is a way in which a request can fail; each has its own type.
	Failure interface{ failure() }

	// Row is the response to the caller for a failure, and the condition for a retry.
	Row struct {
		Reason  Reason
		Status  int
		Outcome Outcome
		Resend  Resend
		After   time.Duration // delay in Retry-After, zero for none
		Text    string        // more for the caller, usually empty
	}

	// NoRoute is a request that matches no route.
	NoRoute struct{}
	// BadRequest is a malformed request.
	BadRequest struct{}
	// KeyMissing is a request without a key on a keyed route.
	KeyMissing struct{}
	// KeyUnknown is a request with a key that was never issued.
	KeyUnknown struct{}
	// KeyWithdrawn is a request with a revoked key.
	KeyWithdrawn struct{}
	// AccountNotAllowed is a request of a client account that the route does not list.
	AccountNotAllowed struct{}
	// Rate is a request above the rate of its client account.
	Rate struct{}
	// RateUnavailable is a request for which the owner of the rate tokens did not reply in time.
	RateUnavailable struct{}
	// Quarantined is a request whose fingerprint has crashed backend servers.
	Quarantined struct{}
	// StaleConfig is a request to a daemon without a configuration or whose lease on it has expired.
	StaleConfig struct{}
	// Throttled is a request refused at its first daemon because the service refuses most calls of its route.
	Throttled struct{}
	// Overload is a request refused or shed by an instance without free capacity.
	Overload struct{}
	// QueueFull is a request that found the queue full or was evicted from it.
	QueueFull struct{}
	// QueueTimeout is a request that timed out in the queue.
	QueueTimeout struct{}
	// NoBackend is a request to a service without instances.
	NoBackend struct{}
	// Unreached is a request whose instance refused the connection before the first byte.
	Unreached struct{}
	// RecordUnavailable is a request whose idempotency record could not be made durable.
	RecordUnavailable struct{}
	// InProgress is a retry of a request that is still running.
	InProgress struct{}
	// KeyReuse is a different request under an Idempotency-Key already used.
	KeyReuse struct{}
	// EarlierUnknown is a retry of a request whose first run has an unknown outcome.
	EarlierUnknown struct{}
	// DeadlineBefore is a request whose deadline passed before its first byte was sent.
	DeadlineBefore struct{}
	// DeadlineAfter is a request whose deadline passed after its first byte was sent.
	DeadlineAfter struct{}
	// BackendLost is a request whose connection broke after its first byte was sent.
	BackendLost struct{}
	// Draining is a request to a daemon or backend server that is leaving.
	Draining struct{}
	// RegionNotAllowed is a request that no backend server in its allowed regions can take. Regions names them, separated
	// by commas.
	RegionNotAllowed struct{ Regions string }
	// Evacuated is a request that no backend server received because of an evacuation: the daemon beside the server
	// refused it, or the sending daemon found no server outside the evacuated availability zones.
	Evacuated struct{}
	// BodyTooLarge is a request whose body exceeds its limit.
	BodyTooLarge struct{ Dispatched bool }
	// HeaderTooLarge is a request whose header exceeds its limit.
	HeaderTooLarge struct{}
)

func (NoRoute) failure()           {}
func (BadRequest) failure()        {}
func (KeyMissing) failure()        {}
func (KeyUnknown) failure()        {}
func (KeyWithdrawn) failure()      {}
func (AccountNotAllowed) failure() {}
func (Rate) failure()              {}
func (RateUnavailable) failure()   {}
func (Quarantined) failure()       {}
func (StaleConfig) failure()       {}
func (Throttled) failure()         {}
func (Overload) failure()          {}
func (QueueFull) failure()         {}
func (QueueTimeout) failure()      {}
func (NoBackend) failure()         {}
func (Unreached) failure()         {}
func (RecordUnavailable) failure() {}
func (InProgress) failure()        {}
func (KeyReuse) failure()          {}
func (EarlierUnknown) failure()    {}
func (DeadlineBefore) failure()    {}
func (DeadlineAfter) failure()     {}
func (BackendLost) failure()       {}
func (Draining) failure()          {}
func (RegionNotAllowed) failure()  {}
func (Evacuated) failure()         {}
func (BodyTooLarge) failure()      {}
func (HeaderTooLarge) failure()    {}

// Describe returns the row of f in the table of outcomes.
func Describe(f Failure) Row {
	switch f := f.(type) {
	case NoRoute:
		return Row{Reason: "no-route", Status: http.StatusNotFound, Outcome: NotRun}
	case BadRequest:
		return Row{Reason: "bad-request", Status: http.StatusBadRequest, Outcome: NotRun}
	case KeyMissing:
		return Row{Reason: "key-missing", Status: http.StatusUnauthorized, Outcome: NotRun}
	case KeyUnknown:
		return Row{Reason: "key-unknown", Status: http.StatusUnauthorized, Outcome: NotRun}
	case KeyWithdrawn:
		return Row{Reason: "key-withdrawn", Status: http.StatusUnauthorized, Outcome: NotRun}
	case AccountNotAllowed:
		return Row{Reason: "account-not-allowed", Status: http.StatusForbidden, Outcome: NotRun}
	case Rate:
		return Row{Reason: "rate", Status: http.StatusTooManyRequests, Outcome: NotRun, After: overloadPause}
	case RateUnavailable:
		return Row{Reason: "rate-unavailable", Status: http.StatusServiceUnavailable, Outcome: NotRun, After: overloadPause}
	case Quarantined:
		return Row{Reason: "quarantined", Status: http.StatusUnprocessableEntity, Outcome: NotRun}
	case StaleConfig:
		return Row{Reason: "stale-config", Status: http.StatusServiceUnavailable, Outcome: NotRun, After: overloadPause}
	case Throttled:
		return Row{Reason: "throttled", Status: http.StatusServiceUnavailable, Outcome: NotRun, After: overloadPause}
	case Overload:
		return Row{Reason: "overload", Status: http.StatusServiceUnavailable, Outcome: NotRun, Resend: Always, After: overloadPause}
	case QueueFull:
		return Row{Reason: "queue-full", Status: http.StatusServiceUnavailable, Outcome: NotRun, Resend: Always, After: overloadPause}
	case QueueTimeout:
		return Row{Reason: "queue-timeout", Status: http.StatusServiceUnavailable, Outcome: NotRun, Resend: Always, After: overloadPause}
	case NoBackend:
		return Row{Reason: "no-backend", Status: http.StatusServiceUnavailable, Outcome: NotRun, After: overloadPause}
	case Unreached:
		return Row{Reason: "no-backend", Status: http.StatusServiceUnavailable, Outcome: NotRun, Resend: Always, After: overloadPause}
	case RecordUnavailable:
		return Row{Reason: "record-unavailable", Status: http.StatusServiceUnavailable, Outcome: NotRun, After: overloadPause}
	case InProgress:
		return Row{Reason: "in-progress", Status: http.StatusConflict, Outcome: Unknown, After: overloadPause}
	case KeyReuse:
		return Row{Reason: "key-reuse", Status: http.StatusUnprocessableEntity, Outcome: NotRun}
	case EarlierUnknown:
		return Row{Reason: "earlier-unknown", Status: http.StatusConflict, Outcome: Unknown}
	case DeadlineBefore:
		return Row{Reason: "deadline", Status: http.StatusGatewayTimeout, Outcome: NotRun}
	case DeadlineAfter:
		return Row{Reason: "deadline", Status: http.StatusGatewayTimeout, Outcome: Unknown}
	case BackendLost:
		return Row{Reason: "backend-lost", Status: http.StatusBadGateway, Outcome: Unknown, Resend: IfIdempotent}
	case Draining:
		return Row{Reason: "draining", Status: http.StatusServiceUnavailable, Outcome: NotRun, Resend: Always, After: overloadPause}
	case RegionNotAllowed:
		text := "no backend server is available in the allowed regions " + f.Regions
		if f.Regions == "" {
			text = "no region is allowed"
		}
		return Row{Reason: "region-not-allowed", Status: http.StatusServiceUnavailable, Outcome: NotRun, After: overloadPause, Text: text}
	case Evacuated:
		return Row{Reason: "evacuated", Status: http.StatusServiceUnavailable, Outcome: NotRun, Resend: Always, After: EvacuatedRetryAfter}
	case BodyTooLarge:
		row := Row{Reason: "body-too-large", Status: http.StatusRequestEntityTooLarge, Outcome: NotRun}
		if f.Dispatched {
			row.Outcome = Unknown
		}
		return row
	case HeaderTooLarge:
		return Row{Reason: "header-too-large", Status: http.StatusRequestHeaderFieldsTooLarge, Outcome: NotRun}
	}
	// A failure without a row must not claim that the request has not run.
	return Row{Reason: "internal", Status: http.StatusInternalServerError, Outcome: Unknown}
}

// MayResend reports whether a request that failed with f may be retried.
func MayResend(f Failure, idempotent bool) bool {
	switch Describe(f).Resend {
	case Always:
		return true
	case IfIdempotent:
		return idempotent
	}
	return false
}

// All returns one failure of each row of the table.
func All() []Failure {
	return []Failure{
		NoRoute{},
		BadRequest{},
		KeyMissing{},
		KeyUnknown{},
		KeyWithdrawn{},
		AccountNotAllowed{},
		Rate{},
		RateUnavailable{},
		Quarantined{},
		StaleConfig{},
		Throttled{},
		Overload{},
		QueueFull{},
		QueueTimeout{},
		Unreached{},
		NoBackend{},
		RecordUnavailable{},
		InProgress{},
		KeyReuse{},
		EarlierUnknown{},
		DeadlineBefore{},
		DeadlineAfter{},
		BackendLost{},
		Draining{},
		RegionNotAllowed{},
		Evacuated{},
		BodyTooLarge{},
		BodyTooLarge{Dispatched: true},
		HeaderTooLarge{},
	}
}

// Parse returns the failure that another daemon reported; errors wrap ErrUnknownReason. The reason
// no-backend becomes Unreached, which may be retried.
func Parse(reason Reason, outcome Outcome) (Failure, error) {
	for _, f := range All() {
		if row := Describe(f); row.Reason == reason && row.Outcome == outcome {
			return f, nil
		}
	}
	return nil, fmt.Errorf("%w %q with outcome %q", ErrUnknownReason, reason, outcome)
}

// ByFullServer reports whether a server refused the request for want of room, before it ran.
func ByFullServer(failure Failure) bool {
	switch failure.(type) {
	case QueueFull, QueueTimeout:
		return true
	}
	return false
}

// Merge returns the failure to report for a request that failed with earlier and, when retried, with last: after a
// send with unknown outcome, a later refusal does not prove that the request has not run. An evacuation is reported
// only if it is the only cause.
func Merge(earlier, last Failure) Failure {
	if _, evacuated := last.(Evacuated); evacuated && earlier != nil {
		return earlier
	}
	if earlier != nil && Describe(earlier).Outcome != NotRun && Describe(last).Outcome == NotRun {
		return earlier
	}
	return last
}
