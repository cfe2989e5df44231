package state

import (
	"errors"
	"fmt"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// MaxVerdict is the largest encoded verdict in bytes: a stored response with its headers.
const MaxVerdict = MaxBody + 2*maxHeaderBytes

// Reasons for refusing a configuration.
const (
	// NumberTaken means that the number was accepted with a different text.
	NumberTaken RefuseReason = iota + 1
	// NumberTooHigh means that the number is not that of the current revision plus one.
	NumberTooHigh
	// NumberForgotten means that the number is older than the recorded history.
	NumberForgotten
	// TextInvalid means that the text or its hash is not valid.
	TextInvalid
	// BaseChanged means that the current revision is not the base of the proposal.
	BaseChanged
)

// ErrResult reports a result with an invalid field.
var ErrResult = errors.New("invalid result")

type (
	// Result is the result of applying a command.
	Result interface{ result() }

	// ConfigVerdict is the result of ProposeConfig: ConfigAccepted or ConfigRefused.
	ConfigVerdict interface {
		Result
		configVerdict()
	}

	// OnceVerdict is the result of OnceBegin or OnceFinish.
	OnceVerdict interface {
		Result
		onceVerdict()
	}

	// RefuseReason is the reason for refusing a configuration.
	RefuseReason uint32

	// Revision describes an accepted configuration.
	Revision struct {
		Number uint64 `protobuf:"varint,1,opt,name=number"`
		Author string `protobuf:"bytes,2,opt,name=author"`
		Origin string `protobuf:"bytes,3,opt,name=origin"`
		Hash   []byte `protobuf:"bytes,4,opt,name=hash"`
		// Since is when the revision was accepted, in machine time.
		Since wire.Stamp `protobuf:"varint,5,opt,name=since"`
		// Text is nil in verdicts and in old revisions whose text was removed; it is immutable.
		Text []byte `protobuf:"bytes,6,opt,name=text"`
	}

	// ConfigAccepted is the result of each proposal with the number and text of an accepted revision.
	ConfigAccepted struct {
		Revision Revision `protobuf:"bytes,1,opt,name=revision"`
	}

	// ConfigRefused contains the reason for the refusal and the accepted revision that conflicts, if any.
	ConfigRefused struct {
		Reason  RefuseReason `protobuf:"varint,1,opt,name=reason"`
		Number  uint64       `protobuf:"varint,2,opt,name=number"`
		InForce uint64       `protobuf:"varint,3,opt,name=in_force"`
		// Winner is the accepted revision of that number, else the current one; nil if there is none.
		Winner *Revision `protobuf:"bytes,4,opt,name=winner"`
		// Detail is the error of an invalid text.
		Detail string `protobuf:"bytes,5,opt,name=detail"`
	}

	// OnceBegun permits the attempt to dispatch the request. A daemon that does not dispatch it must send
	// OnceFinish with NotRun, otherwise resends are refused until DaemonGone is applied for the daemon.
	OnceBegun struct {
		Since wire.Stamp `protobuf:"varint,1,opt,name=since"`
	}

	// OnceReplay contains the stored response of an earlier run.
	OnceReplay struct {
		Answer *Answer    `protobuf:"bytes,1,opt,name=answer"`
		Since  wire.Stamp `protobuf:"varint,2,opt,name=since"`
	}

	// OnceRunning means that another attempt is running.
	OnceRunning struct {
		Attempt Attempt    `protobuf:"bytes,1,opt,name=attempt"`
		Since   wire.Stamp `protobuf:"varint,2,opt,name=since"`
	}

	// OnceUnknown means that an earlier attempt may have run.
	OnceUnknown struct {
		Since wire.Stamp `protobuf:"varint,1,opt,name=since"`
	}

	// OnceReuse means that the record belongs to a different request.
	OnceReuse struct {
		Since wire.Stamp `protobuf:"varint,1,opt,name=since"`
	}

	// OnceFull means that the limit of records or of stored responses is reached; the request did not run.
	OnceFull struct {
		Records uint64 `protobuf:"varint,1,opt,name=records"`
	}

	// OnceStale means that the OnceBegin arrived after its attempt had finished; the attempt must not dispatch.
	OnceStale struct {
		Since wire.Stamp `protobuf:"varint,1,opt,name=since"`
	}

	// OnceFinished means that the outcome is recorded, now or by an earlier copy of the same OnceFinish.
	OnceFinished struct {
		Outcome Outcome `protobuf:"varint,1,opt,name=outcome"`
	}

	// OnceIgnored means that the OnceFinish changed nothing because the record does not belong to its
	// attempt, has another outcome, or does not exist. Outcome is the outcome of the record, zero while it is
	// running or does not exist.
	OnceIgnored struct {
		Outcome Outcome    `protobuf:"varint,1,opt,name=outcome"`
		At      wire.Stamp `protobuf:"varint,2,opt,name=at"`
	}

	// DaemonLost is the result of DaemonGone; Records is the number of running records that became unknown.
	DaemonLost struct {
		Daemon  string `protobuf:"bytes,1,opt,name=daemon"`
		Records uint64 `protobuf:"varint,2,opt,name=records"`
	}

	// Quarantine is a fingerprint that is refused until its expiry; it is also the result of QuarantineAdd.
	Quarantine struct {
		Fingerprint string     `protobuf:"bytes,1,opt,name=fingerprint"`
		Until       wire.Stamp `protobuf:"varint,2,opt,name=until"`
	}

	// Ticked is the machine time after a Tick.
	Ticked struct {
		Now wire.Stamp `protobuf:"varint,1,opt,name=now"`
	}

	// Verdict is the encoded form of one configuration or idempotency result; exactly one field is set.
	Verdict struct {
		ConfigAccepted *ConfigAccepted `protobuf:"bytes,1,opt,name=config_accepted"`
		ConfigRefused  *ConfigRefused  `protobuf:"bytes,2,opt,name=config_refused"`
		OnceBegun      *OnceBegun      `protobuf:"bytes,3,opt,name=once_begun"`
		OnceReplay     *OnceReplay     `protobuf:"bytes,4,opt,name=once_replay"`
		OnceRunning    *OnceRunning    `protobuf:"bytes,5,opt,name=once_running"`
		OnceUnknown    *OnceUnknown    `protobuf:"bytes,6,opt,name=once_unknown"`
		OnceReuse      *OnceReuse      `protobuf:"bytes,7,opt,name=once_reuse"`
		OnceFull       *OnceFull       `protobuf:"bytes,8,opt,name=once_full"`
		OnceStale      *OnceStale      `protobuf:"bytes,9,opt,name=once_stale"`
		OnceFinished   *OnceFinished   `protobuf:"bytes,10,opt,name=once_finished"`
		OnceIgnored    *OnceIgnored    `protobuf:"bytes,11,opt,name=once_ignored"`
	}
)

func (*ConfigAccepted) result() {}
func (*ConfigRefused) result()  {}
func (*OnceBegun) result()      {}
func (*OnceReplay) result()     {}
func (*OnceRunning) result()    {}
func (*OnceUnknown) result()    {}
func (*OnceReuse) result()      {}
func (*OnceFull) result()       {}
func (*OnceStale) result()      {}
func (*OnceFinished) result()   {}
func (*OnceIgnored) result()    {}
func (*DaemonLost) result()     {}
func (*Quarantine) result()     {}
func (*Ticked) result()         {}

func (*ConfigAccepted) configVerdict() {}
func (*ConfigRefused) configVerdict()  {}

func (*OnceBegun) onceVerdict()    {}
func (*OnceReplay) onceVerdict()   {}
func (*OnceRunning) onceVerdict()  {}
func (*OnceUnknown) onceVerdict()  {}
func (*OnceReuse) onceVerdict()    {}
func (*OnceFull) onceVerdict()     {}
func (*OnceStale) onceVerdict()    {}
func (*OnceFinished) onceVerdict() {}
func (*OnceIgnored) onceVerdict()  {}

// EncodeVerdict returns the encoding of a ConfigVerdict or OnceVerdict, or an error for other results.
func EncodeVerdict(r Result) ([]byte, error) {
	var v Verdict
	switch r := r.(type) {
	case *ConfigAccepted:
		v.ConfigAccepted = r
	case *ConfigRefused:
		v.ConfigRefused = r
	case *OnceBegun:
		v.OnceBegun = r
	case *OnceReplay:
		v.OnceReplay = r
	case *OnceRunning:
		v.OnceRunning = r
	case *OnceUnknown:
		v.OnceUnknown = r
	case *OnceReuse:
		v.OnceReuse = r
	case *OnceFull:
		v.OnceFull = r
	case *OnceStale:
		v.OnceStale = r
	case *OnceFinished:
		v.OnceFinished = r
	case *OnceIgnored:
		v.OnceIgnored = r
	}
	if err := v.Check(); err != nil {
		return nil, err
	}
	return wire.Encode(&v)
}

// DecodeVerdict returns the result encoded in body; errors wrap wire.ErrDecode.
func DecodeVerdict(body []byte) (Result, error) {
	if len(body) > MaxVerdict {
		return nil, fmt.Errorf("%w: verdict of %d bytes, limit %d", wire.ErrDecode, len(body), MaxVerdict)
	}
	v, err := wire.Decode[Verdict](body)
	if err != nil {
		return nil, err
	}
	return v.results()[0], nil
}

// Check returns an error unless exactly one valid result is set.
func (v *Verdict) Check() error {
	results := v.results()
	if len(results) != 1 {
		return fmt.Errorf("%w: %d results in one verdict", ErrResult, len(results))
	}
	switch r := results[0].(type) {
	case *ConfigAccepted:
		return r.Revision.Check()
	case *ConfigRefused:
		if r.Reason < NumberTaken || r.Reason > BaseChanged {
			return fmt.Errorf("%w: reason %d", ErrResult, r.Reason)
		}
		if r.Winner != nil {
			return r.Winner.Check()
		}
	case *OnceReplay:
		if r.Answer == nil {
			return fmt.Errorf("%w: replay without a response", ErrResult)
		}
		return r.Answer.Check()
	case *OnceRunning:
		return r.Attempt.Check()
	case *OnceFinished:
		if r.Outcome < Answered || r.Outcome > Unknown {
			return fmt.Errorf("%w: outcome %d", ErrResult, r.Outcome)
		}
	}
	return nil
}

// Check returns an error that names the first invalid field.
func (r *Revision) Check() error {
	if r.Number == 0 || len(r.Hash) != hashSize || len(r.Text) > MaxText {
		return fmt.Errorf("%w: revision %d with hash of %d and text of %d bytes", ErrResult, r.Number, len(r.Hash), len(r.Text))
	}
	return firstError(checkLength("author", r.Author, 0, maxName), checkLength("origin", r.Origin, 0, maxName))
}

func (v *Verdict) results() []Result {
	var set []Result
	add := func(present bool, r Result) {
		if present {
			set = append(set, r)
		}
	}
	add(v.ConfigAccepted != nil, v.ConfigAccepted)
	add(v.ConfigRefused != nil, v.ConfigRefused)
	add(v.OnceBegun != nil, v.OnceBegun)
	add(v.OnceReplay != nil, v.OnceReplay)
	add(v.OnceRunning != nil, v.OnceRunning)
	add(v.OnceUnknown != nil, v.OnceUnknown)
	add(v.OnceReuse != nil, v.OnceReuse)
	add(v.OnceFull != nil, v.OnceFull)
	add(v.OnceStale != nil, v.OnceStale)
	add(v.OnceFinished != nil, v.OnceFinished)
	add(v.OnceIgnored != nil, v.OnceIgnored)
	return set
}
