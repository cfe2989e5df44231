package state

import (
	"errors"
	"fmt"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// MaxText is the largest rules text in bytes.
	MaxText = rules.MaxFile
	// MaxBody is the largest stored response body in bytes.
	MaxBody = 64 << 10
	// MaxCommand is the largest encoded command in bytes.
	MaxCommand = MaxText + 4<<10
	// MaxQuarantine is the longest quarantine of a fingerprint by one command.
	MaxQuarantine = 24 * time.Hour

	// MaxAuthor is the longest name of the author of a configuration in bytes, and MaxRoute that of a route in an
	// OnceScope.
	MaxAuthor = maxName
	MaxRoute  = 512

	hashSize       = 32
	maxName        = 128
	maxKey         = 256
	maxFingerprint = 64
	maxHeaders     = 64
	maxHeaderName  = 256
	maxHeaderValue = 8 << 10
	maxHeaderBytes = 16 << 10
)

// Outcomes that a daemon reports for an attempt that it began.
const (
	// Answered means that the request ran and the command contains its response.
	Answered Outcome = iota + 1
	// NotRun means that the request certainly did not run, so that a resend may run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// ErrCommand reports a command with an invalid field.
var ErrCommand = errors.New("invalid command")

type (
	// Command is a change of the replicated state.
	Command interface{ command() }

	// Outcome is the result of an attempt to run a request.
	Outcome uint32

	// ProposeConfig proposes Text as revision Number.
	ProposeConfig struct {
		Number uint64 `protobuf:"varint,1,opt,name=number"`
		// Text is the whole text. It is empty when Hunks are set, which apply to the current revision's text.
		Text   []byte `protobuf:"bytes,2,opt,name=text"`
		Author string `protobuf:"bytes,3,opt,name=author"`
		// Origin is the daemon that sent the proposal.
		Origin string `protobuf:"bytes,4,opt,name=origin"`
		// Hash is the SHA-256 of the whole text.
		Hash []byte     `protobuf:"bytes,5,opt,name=hash"`
		At   wire.Stamp `protobuf:"varint,6,opt,name=at"`
		// Hunks are set instead of Text.
		Hunks []Hunk `protobuf:"bytes,7,rep,name=hunks"`
		// Based means that the proposal requires Base to be the number of the current revision, or zero if
		// there is none. The numbers of such proposals need not be consecutive.
		Based bool   `protobuf:"varint,8,opt,name=based"`
		Base  uint64 `protobuf:"varint,9,opt,name=base"`
	}

	// OnceScope identifies an idempotency record.
	OnceScope struct {
		Account string `protobuf:"bytes,1,opt,name=account"`
		Route   string `protobuf:"bytes,2,opt,name=route"`
		Key     string `protobuf:"bytes,3,opt,name=key"`
	}

	// Attempt identifies one run of a request. A daemon that retries an OnceBegin after a lost reply uses the
	// same Attempt; a resend by the caller is a new Attempt.
	Attempt struct {
		// Daemon is the peer address of the daemon that runs the request.
		Daemon string `protobuf:"bytes,1,opt,name=daemon"`
		// Boot identifies the start of the daemon; each start has another value.
		Boot uint64 `protobuf:"fixed64,2,opt,name=boot"`
		// Number increases with each attempt since the start of the daemon, from 1; it may skip values.
		Number uint64 `protobuf:"varint,3,opt,name=number"`
	}

	// OnceBegin requests permission to run a request; it must be committed before dispatch.
	OnceBegin struct {
		Scope       OnceScope `protobuf:"bytes,1,opt,name=scope"`
		Attempt     Attempt   `protobuf:"bytes,2,opt,name=attempt"`
		RequestHash []byte    `protobuf:"bytes,3,opt,name=request_hash"`
		// At is set by the leader when it proposes the command.
		At wire.Stamp `protobuf:"varint,4,opt,name=at"`
	}

	// Header is one header field of a stored response.
	Header struct {
		Name  string `protobuf:"bytes,1,opt,name=name"`
		Value string `protobuf:"bytes,2,opt,name=value"`
	}

	// Answer is a stored response; it is immutable once it is part of a command.
	Answer struct {
		Status  uint32   `protobuf:"varint,1,opt,name=status"`
		Headers []Header `protobuf:"bytes,2,rep,name=headers"`
		Body    []byte   `protobuf:"bytes,3,opt,name=body"`
	}

	// OnceFinish reports the outcome of an attempt; it must be committed before the response is delivered.
	OnceFinish struct {
		Scope   OnceScope `protobuf:"bytes,1,opt,name=scope"`
		Attempt Attempt   `protobuf:"bytes,2,opt,name=attempt"`
		Outcome Outcome   `protobuf:"varint,3,opt,name=outcome"`
		// Answer is non-nil exactly when Outcome is Answered.
		Answer *Answer `protobuf:"bytes,4,opt,name=answer"`
		// At is set by the leader when it proposes the command.
		At wire.Stamp `protobuf:"varint,5,opt,name=at"`
	}

	// DaemonGone reports that a start of a daemon has been disconnected for 10 s, or that a later start
	// replaced it.
	DaemonGone struct {
		Daemon string `protobuf:"bytes,1,opt,name=daemon"`
		// Boot identifies the start; zero means every start of the daemon.
		Boot uint64     `protobuf:"fixed64,2,opt,name=boot"`
		At   wire.Stamp `protobuf:"varint,3,opt,name=at"`
	}

	// QuarantineAdd quarantines a request fingerprint for the duration For in the whole fleet.
	QuarantineAdd struct {
		Fingerprint string        `protobuf:"bytes,1,opt,name=fingerprint"`
		For         time.Duration `protobuf:"varint,2,opt,name=for"`
		At          wire.Stamp    `protobuf:"varint,3,opt,name=at"`
	}

	// Tick advances the machine time, so that entries expire while nothing else is proposed.
	Tick struct {
		At wire.Stamp `protobuf:"varint,1,opt,name=at"`
	}

	// Envelope is the encoded form of one command; exactly one field is set.
	Envelope struct {
		ProposeConfig *ProposeConfig `protobuf:"bytes,1,opt,name=propose_config"`
		OnceBegin     *OnceBegin     `protobuf:"bytes,2,opt,name=once_begin"`
		OnceFinish    *OnceFinish    `protobuf:"bytes,3,opt,name=once_finish"`
		DaemonGone    *DaemonGone    `protobuf:"bytes,4,opt,name=daemon_gone"`
		QuarantineAdd *QuarantineAdd `protobuf:"bytes,5,opt,name=quarantine_add"`
		Tick          *Tick          `protobuf:"bytes,6,opt,name=tick"`
		OrderZone     *OrderZone     `protobuf:"bytes,7,opt,name=order_zone"`
	}
)

func (*ProposeConfig) command() {}
func (*OnceBegin) command()     {}
func (*OnceFinish) command()    {}
func (*DaemonGone) command()    {}
func (*QuarantineAdd) command() {}
func (*Tick) command()          {}

// EncodeCommand returns the encoding of c for the log, or an error if c is invalid.
func EncodeCommand(c Command) ([]byte, error) {
	var e Envelope
	switch c := c.(type) {
	case *ProposeConfig:
		e.ProposeConfig = c
	case *OnceBegin:
		e.OnceBegin = c
	case *OnceFinish:
		e.OnceFinish = c
	case *DaemonGone:
		e.DaemonGone = c
	case *QuarantineAdd:
		e.QuarantineAdd = c
	case *Tick:
		e.Tick = c
	case *OrderZone:
		e.OrderZone = c
	}
	if err := e.Check(); err != nil {
		return nil, err
	}
	return wire.Encode(&e)
}

// DecodeCommand returns the command encoded in body; errors wrap wire.ErrDecode.
func DecodeCommand(body []byte) (Command, error) {
	if len(body) > MaxCommand {
		return nil, fmt.Errorf("%w: command of %d bytes, limit %d", wire.ErrDecode, len(body), MaxCommand)
	}
	e, err := wire.Decode[Envelope](body)
	if err != nil {
		return nil, err
	}
	return e.Command(), nil
}

// Command returns the command in the envelope, or nil.
func (e *Envelope) Command() Command {
	switch {
	case e.ProposeConfig != nil:
		return e.ProposeConfig
	case e.OnceBegin != nil:
		return e.OnceBegin
	case e.OnceFinish != nil:
		return e.OnceFinish
	case e.DaemonGone != nil:
		return e.DaemonGone
	case e.QuarantineAdd != nil:
		return e.QuarantineAdd
	case e.Tick != nil:
		return e.Tick
	case e.OrderZone != nil:
		return e.OrderZone
	}
	return nil
}

// Check returns an error unless exactly one valid command is set.
func (e *Envelope) Check() error {
	count := 0
	for _, set := range []bool{
		e.ProposeConfig != nil, e.OnceBegin != nil, e.OnceFinish != nil,
		e.DaemonGone != nil, e.QuarantineAdd != nil, e.Tick != nil, e.OrderZone != nil,
	} {
		if set {
			count++
		}
	}
	if count != 1 {
		return fmt.Errorf("%w: %d commands in one envelope", ErrCommand, count)
	}
	return e.Command().(interface{ Check() error }).Check()
}

// Check returns an error that names the first invalid field.
func (c *ProposeConfig) Check() error {
	switch {
	case c.Number == 0:
		return fmt.Errorf("%w: revision 0", ErrCommand)
	case (len(c.Text) == 0) == (len(c.Hunks) == 0):
		return fmt.Errorf("%w: exactly one of text and hunks must be set", ErrCommand)
	case len(c.Hunks) > MaxHunks:
		return fmt.Errorf("%w: %d hunks, want at most %d", ErrCommand, len(c.Hunks), MaxHunks)
	case len(c.Text) > MaxText:
		return fmt.Errorf("%w: text of %d bytes, want 1 to %d", ErrCommand, len(c.Text), MaxText)
	case len(c.Hash) != hashSize:
		return fmt.Errorf("%w: hash of %d bytes, want %d", ErrCommand, len(c.Hash), hashSize)
	}
	return firstError(checkLength("author", c.Author, 0, maxName), checkLength("origin", c.Origin, 0, maxName), checkTime(c.At))
}

// Check returns an error that names the first invalid field.
func (s *OnceScope) Check() error {
	return firstError(checkLength("account", s.Account, 0, maxName), checkLength("route", s.Route, 1, MaxRoute), checkLength("key", s.Key, 1, maxKey))
}

// Check returns an error that names the first invalid field.
func (a *Attempt) Check() error {
	if a.Boot == 0 || a.Number == 0 {
		return fmt.Errorf("%w: attempt without boot or number", ErrCommand)
	}
	return checkLength("daemon", a.Daemon, 1, maxName)
}

// Check returns an error that names the first invalid field.
func (c *OnceBegin) Check() error {
	if len(c.RequestHash) != hashSize {
		return fmt.Errorf("%w: request hash of %d bytes, want %d", ErrCommand, len(c.RequestHash), hashSize)
	}
	return firstError(c.Scope.Check(), c.Attempt.Check(), checkTime(c.At))
}

// Check returns an error that names the first invalid field.
func (a *Answer) Check() error {
	if a.Status < 100 || a.Status > 999 {
		return fmt.Errorf("%w: status %d", ErrCommand, a.Status)
	}
	if len(a.Body) > MaxBody {
		return fmt.Errorf("%w: body of %d bytes, limit %d", ErrCommand, len(a.Body), MaxBody)
	}
	if len(a.Headers) > maxHeaders {
		return fmt.Errorf("%w: %d headers, limit %d", ErrCommand, len(a.Headers), maxHeaders)
	}
	headersSize := 0
	for _, h := range a.Headers {
		if err := firstError(checkLength("header name", h.Name, 1, maxHeaderName), checkLength("header value", h.Value, 0, maxHeaderValue)); err != nil {
			return err
		}
		headersSize += len(h.Name) + len(h.Value)
	}
	if headersSize > maxHeaderBytes {
		return fmt.Errorf("%w: headers of %d bytes, limit %d", ErrCommand, headersSize, maxHeaderBytes)
	}
	return nil
}

// Check returns an error that names the first invalid field.
func (c *OnceFinish) Check() error {
	if c.Outcome < Answered || c.Outcome > Unknown {
		return fmt.Errorf("%w: outcome %d", ErrCommand, c.Outcome)
	}
	if (c.Answer != nil) != (c.Outcome == Answered) {
		return fmt.Errorf("%w: response does not match outcome %d", ErrCommand, c.Outcome)
	}
	if c.Answer != nil {
		if err := c.Answer.Check(); err != nil {
			return err
		}
	}
	return firstError(c.Scope.Check(), c.Attempt.Check(), checkTime(c.At))
}

// Check returns an error that names the first invalid field.
func (c *DaemonGone) Check() error {
	return firstError(checkLength("daemon", c.Daemon, 1, maxName), checkTime(c.At))
}

// Check returns an error that names the first invalid field.
func (c *QuarantineAdd) Check() error {
	if c.For <= 0 || c.For > MaxQuarantine {
		return fmt.Errorf("%w: quarantine for %v, want up to %v", ErrCommand, c.For, MaxQuarantine)
	}
	return firstError(checkLength("fingerprint", c.Fingerprint, 1, maxFingerprint), checkTime(c.At))
}

// Check returns an error that names the first invalid field.
func (c *Tick) Check() error { return checkTime(c.At) }

func checkLength(field, value string, minimum, maximum int) error {
	if len(value) < minimum || len(value) > maximum {
		return fmt.Errorf("%w: %s of %d bytes, want %d to %d", ErrCommand, field, len(value), minimum, maximum)
	}
	return nil
}

// checkTime returns an error if the time is not set. A daemon sets its own time, which the leader replaces.
func checkTime(at wire.Stamp) error {
	if at <= 0 {
		return fmt.Errorf("%w: time is not set", ErrCommand)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
