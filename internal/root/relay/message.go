package relay

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/head"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/place"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Frame kinds of a peer stream. The daemon that sends requests writes kindSend, kindPart, kindCancel, kindPing
// and kindNotice; the daemon next to the backend server writes kindReply, kindPart, kindPong and kindNoticeReply.
// The receiver of a long body writes kindCredit, unless its sender is of a version without long bodies.
const (
	kindSend        wire.Kind = 32
	kindPart        wire.Kind = 33
	kindCancel      wire.Kind = 34
	kindReply       wire.Kind = 35
	kindPing        wire.Kind = 36
	kindPong        wire.Kind = 37
	kindNotice      wire.Kind = 38
	kindNoticeReply wire.Kind = 39
	kindCredit      wire.Kind = 40
)

const (
	// maxBodyPart bounds the body bytes in one frame; the rest of a longer body follows in parts.
	maxBodyPart = 256 << 10

	maxPeerFrame = maxBodyPart + 256<<10
	maxFields    = 512
	maxText      = 64 << 10
	maxLabel     = 256
	maxAccount   = 4 << 10

	// maxRequestHead bounds the request line and the header of a request in bytes. In a frame with maxBodyPart bytes of the
	// body it leaves room for the names and for what the encoding adds to maxFields fields.
	maxRequestHead = 240 << 10
)

// errHeaderLimit reports a request or response whose header does not fit into a message.
var errHeaderLimit = errors.New("the header exceeds the limit of the messages between daemons")

// Outcome kinds of a request in a Reply.
const (
	outcomeCompleted outcomeKind = iota + 1
	outcomeNotRun
	outcomeUnknown
)

type (
	outcomeKind uint32

	// SendRequest is a request for the local backend server of the receiver.
	SendRequest struct {
		Number      uint64        `protobuf:"varint,1,opt,name=number,proto3"` // unique on the peer stream
		ID          string        `protobuf:"bytes,2,opt,name=id,proto3"`
		Service     string        `protobuf:"bytes,3,opt,name=service,proto3"`
		Route       string        `protobuf:"bytes,4,opt,name=route,proto3"`
		Account     string        `protobuf:"bytes,5,opt,name=account,proto3"`
		Caller      string        `protobuf:"bytes,6,opt,name=caller,proto3"` // service of the daemon that received the request from the caller
		Nested      bool          `protobuf:"varint,7,opt,name=nested,proto3"`
		Rank        uint32        `protobuf:"varint,8,opt,name=rank,proto3"`
		Age         time.Duration `protobuf:"varint,9,opt,name=age,proto3"`        // since the arrival of the request
		Objective   time.Duration `protobuf:"varint,10,opt,name=objective,proto3"` // since the arrival of the request, zero for none
		Left        time.Duration `protobuf:"varint,11,opt,name=left,proto3"`      // until the deadline
		Method      string        `protobuf:"bytes,12,opt,name=method,proto3"`
		Target      string        `protobuf:"bytes,13,opt,name=target,proto3"`
		Host        string        `protobuf:"bytes,14,opt,name=host,proto3"`
		Header      []field.Field `protobuf:"bytes,15,rep,name=header,proto3"`
		Body        []byte        `protobuf:"bytes,16,opt,name=body,proto3"`
		More        bool          `protobuf:"varint,17,opt,name=more,proto3"` // parts of the body follow
		Fingerprint string        `protobuf:"bytes,18,opt,name=fingerprint,proto3"`
		Streamed    bool          `protobuf:"varint,19,opt,name=streamed,proto3"` // the whole body follows in parts, as far as the receiver grants
		Length      int64         `protobuf:"varint,20,opt,name=length,proto3"`   // of a streamed body in bytes, -1 if it is not known
		// LongResponses says that the sender takes a long response in parts, as far as it grants.
		LongResponses bool `protobuf:"varint,21,opt,name=long_responses,proto3"`
		// LongAccount is the name of the client account if Account holds a short form of it.
		LongAccount string `protobuf:"bytes,22,opt,name=long_account,proto3"`
	}

	// BodyPart continues the body of a SendRequest or a Reply.
	BodyPart struct {
		Number uint64 `protobuf:"varint,1,opt,name=number,proto3"`
		Body   []byte `protobuf:"bytes,2,opt,name=body,proto3"`
		More   bool   `protobuf:"varint,3,opt,name=more,proto3"`
		Broken bool   `protobuf:"varint,4,opt,name=broken,proto3"` // the body ends here and is not whole
	}

	// Credit lets the sender of a long body send more of it.
	Credit struct {
		Number uint64 `protobuf:"varint,1,opt,name=number,proto3"`
		Bytes  uint32 `protobuf:"varint,2,opt,name=bytes,proto3"`
	}

	// Pong is the reply to a ping. It is empty from a daemon of a version without long bodies.
	Pong struct {
		LongBodies bool `protobuf:"varint,1,opt,name=long_bodies,proto3"` // requests with Streamed are understood
	}

	// Cancel reports that the sender no longer waits for the response.
	Cancel struct {
		Number uint64 `protobuf:"varint,1,opt,name=number,proto3"`
	}

	// Report describes the load of the sender's local backend server.
	Report struct {
		Wait       time.Duration `protobuf:"varint,1,opt,name=wait,proto3"`
		Running    uint32        `protobuf:"varint,2,opt,name=running,proto3"`
		Slots      uint32        `protobuf:"varint,3,opt,name=slots,proto3"`
		Run        time.Duration `protobuf:"varint,4,opt,name=run,proto3"` // run time of the request's route
		Leaving    bool          `protobuf:"varint,5,opt,name=leaving,proto3"`
		Congestion float64       `protobuf:"fixed64,6,opt,name=strain,proto3"`    // congestion that nested calls meet
		ColdRate   float64       `protobuf:"fixed64,7,opt,name=cold_rate,proto3"` // requests per second while the server is cold, zero for no limit
		ColdFor    time.Duration `protobuf:"varint,8,opt,name=cold_for,proto3"`   // how long the server is still cold, zero for a warm one
		Arrivals   uint32        `protobuf:"varint,9,opt,name=arrivals,proto3"`   // requests per second that the server accepts from all daemons
		MeanRun    time.Duration `protobuf:"varint,10,opt,name=mean_run,proto3"`  // average run time of all routes
	}

	// Reply is the reply to a SendRequest and carries the outcome of the request.
	Reply struct {
		Number  uint64        `protobuf:"varint,1,opt,name=number,proto3"`
		Kind    outcomeKind   `protobuf:"varint,2,opt,name=end,proto3"`
		Report  Report        `protobuf:"bytes,3,opt,name=report,proto3"`
		Status  int32         `protobuf:"varint,4,opt,name=status,proto3"`
		Header  []field.Field `protobuf:"bytes,5,rep,name=header,proto3"`
		Body    []byte        `protobuf:"bytes,6,opt,name=body,proto3"`
		More    bool          `protobuf:"varint,7,opt,name=more,proto3"`
		Reason  retry.Reason  `protobuf:"bytes,8,opt,name=reason,proto3"`
		Outcome retry.Outcome `protobuf:"bytes,9,opt,name=outcome,proto3"`
		After   time.Duration `protobuf:"varint,10,opt,name=after,proto3"`
		Reached bool          `protobuf:"varint,11,opt,name=reached,proto3"`

		// Streamed is set in the head of a long response: its body follows in parts, and then another Reply with Passed,
		// or one that says how the exchange has failed.
		Streamed bool `protobuf:"varint,12,opt,name=streamed,proto3"`
		// Length is that of a body in parts, in bytes; -1 for a streamed one whose length is not known.
		Length int64 `protobuf:"varint,13,opt,name=length,proto3"`
		Passed bool  `protobuf:"varint,14,opt,name=passed,proto3"` // the body was sent before, in parts
	}

	// NoticeRequest forwards a notice that a backend server sent to a control instance.
	NoticeRequest struct {
		Number         uint64        `protobuf:"varint,1,opt,name=number,proto3"`
		Instance       string        `protobuf:"bytes,2,opt,name=instance,proto3"`
		Service        string        `protobuf:"bytes,3,opt,name=service,proto3"`
		Address        string        `protobuf:"bytes,4,opt,name=address,proto3"`
		Slots          uint32        `protobuf:"varint,5,opt,name=slots,proto3"`
		State          NoticeState   `protobuf:"varint,6,opt,name=state,proto3"`
		Sequence       uint64        `protobuf:"varint,7,opt,name=sequence,proto3"`
		StartUnixMilli int64         `protobuf:"varint,8,opt,name=born,proto3"`
		ColdFor        time.Duration `protobuf:"varint,9,opt,name=cold_for,proto3"`
	}

	// NoticeReply is the reply to a NoticeRequest.
	NoticeReply struct {
		Number  uint64 `protobuf:"varint,1,opt,name=number,proto3"`
		Problem string `protobuf:"bytes,2,opt,name=problem,proto3"` // empty if the notice was accepted
	}
)

// Check reports the first invalid field.
func (s *SendRequest) Check() error {
	switch {
	case s.ID == "" || len(s.ID) > maxLabel || len(s.Service) > maxLabel || len(s.Route) > maxLabel || len(s.Account) > maxLabel || len(s.Caller) > maxLabel:
		return errors.New("request ID is empty or a name in the request is too long")
	case len(s.LongAccount) > maxAccount:
		return fmt.Errorf("name of a client account of %d bytes, limit %d", len(s.LongAccount), maxAccount)
	case s.Method == "" || s.Target == "":
		return fmt.Errorf("request line %q with a target of %d bytes is not valid", s.Method, len(s.Target))
	case len(s.Target) > maxText:
		return fmt.Errorf("%w: target of %d bytes, limit %d", errHeaderLimit, len(s.Target), maxText)
	case s.Left <= 0:
		return fmt.Errorf("time left %s is not positive", s.Left)
	}
	if s.Streamed && (s.Length < -1 || len(s.Body) > 0 || s.More) {
		return fmt.Errorf("streamed body of %d bytes, %d of them in the request", s.Length, len(s.Body))
	}
	return checkSizes(s.Header, s.Body)
}

// Check reports a body part that is too long.
func (p *BodyPart) Check() error { return checkSizes(nil, p.Body) }

// Check accepts every value.
func (c *Cancel) Check() error { return nil }

// Check reports more bytes than any receiver grants.
func (c *Credit) Check() error {
	if c.Bytes > streamWindow {
		return fmt.Errorf("credit of %d bytes, limit %d", c.Bytes, streamWindow)
	}
	return nil
}

// Check accepts every value.
func (p *Pong) Check() error { return nil }

// Check reports a rate that no configuration allows.
func (r *Report) Check() error {
	if !(r.ColdRate >= 0 && r.ColdRate <= rules.MaxColdRate) || r.ColdFor < 0 {
		return fmt.Errorf("cold rate %g for %s is not valid", r.ColdRate, r.ColdFor)
	}
	return nil
}

// Check reports an unknown outcome and invalid fields.
func (r *Reply) Check() error {
	switch r.Kind {
	case outcomeCompleted:
		if r.Status < http.StatusOK || r.Status > 999 {
			return fmt.Errorf("status %d is not a final status", r.Status)
		}
	case outcomeNotRun, outcomeUnknown:
		if _, err := retry.Parse(r.Reason, r.Outcome); err != nil {
			return err
		}
	default:
		return fmt.Errorf("unknown outcome kind %d", r.Kind)
	}
	if r.Streamed && (r.Kind != outcomeCompleted || r.Length < -1 || len(r.Body) > 0 || r.More) {
		return fmt.Errorf("head of a streamed response with %d bytes of its body", len(r.Body))
	}
	if err := r.Report.Check(); err != nil {
		return err
	}
	return checkSizes(r.Header, r.Body)
}

// Check reports a text that is too long, and a server that is cold for a negative time.
func (n *NoticeRequest) Check() error {
	if n.ColdFor < 0 {
		return fmt.Errorf("cold for %s", n.ColdFor)
	}
	if len(n.Instance) > maxLabel || len(n.Service) > maxLabel || len(n.Address) > maxLabel {
		return errors.New("a name in the notice is too long")
	}
	return nil
}

// Check reports a text that is too long.
func (n *NoticeReply) Check() error {
	if len(n.Problem) > maxText {
		return fmt.Errorf("problem of %d bytes, limit %d", len(n.Problem), maxText)
	}
	return nil
}

func checkSizes(header []field.Field, body []byte) error {
	if len(header) > maxFields {
		return fmt.Errorf("%w: %d fields, limit %d", errHeaderLimit, len(header), maxFields)
	}
	if len(body) > maxBodyPart {
		return fmt.Errorf("message has %d body bytes, limit %d", len(body), maxBodyPart)
	}
	return nil
}

// fitsMessage reports whether a message can hold the request line and the header of the request.
func (r *Request) fitsMessage() bool {
	size := len(r.Method) + len(r.Target) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return field.Count(r.Header) <= maxFields && len(r.Target) <= maxText && size <= maxRequestHead
}

// setAccount sets the name of the client account, which may be longer than Account holds.
func (s *SendRequest) setAccount(name string) {
	s.Account = rules.ShortName(name, maxLabel)
	if s.Account != name {
		s.LongAccount = rules.ShortName(name, maxAccount)
	}
}

// accountName returns the name of the client account, empty if it is not known.
func (s *SendRequest) accountName() string { return cmp.Or(s.LongAccount, s.Account) }

// claim says for whom a body of the request is held.
func (s *SendRequest) claim() budget.Claim {
	return budget.Claim{Account: s.accountName(), Urgent: s.Nested || s.Rank == 0}
}

func decodeHeader(fields []field.Field) http.Header {
	header := make(http.Header, len(fields))
	field.Add(header, fields)
	return header
}

// notice returns the forwarded notice.
func (n *NoticeRequest) notice() Notice {
	return Notice{
		Instance: n.Instance, Service: n.Service, Address: n.Address, Slots: n.Slots,
		State: n.State, Sequence: n.Sequence, StartUnixMilli: n.StartUnixMilli, ColdFor: n.ColdFor,
	}
}

// encodeReply encodes an outcome.
func encodeReply(number uint64, result outcome, report Report) *Reply {
	r := &Reply{Number: number, Report: report}
	var failure retry.Failure
	switch result := result.(type) {
	case completed:
		r.Kind, r.Status, r.Header = outcomeCompleted, int32(result.response.Status), field.FromHeader(result.response.Header)
		r.Body, r.Passed = result.response.Body, result.response.Passed
		return r
	case notRun:
		r.Kind, r.After, r.Reached = outcomeNotRun, result.retryAfter, result.reached
		failure = result.failure
	case unknown:
		r.Kind, failure = outcomeUnknown, result.failure
	}
	row := retry.Describe(failure)
	r.Reason, r.Outcome = row.Reason, row.Outcome
	return r
}

// decodeOutcome decodes the outcome of a complete reply.
func (r *Reply) decodeOutcome() outcome {
	if r.Kind == outcomeCompleted {
		return r.decodeResponse()
	}
	failure, err := retry.Parse(r.Reason, r.Outcome)
	if err != nil { // Check has accepted these values
		return unknown{failure: retry.BackendLost{}}
	}
	if r.Kind == outcomeNotRun {
		return notRun{failure: failure, retryAfter: r.After, reached: r.Reached}
	}
	return unknown{failure: failure}
}

// decodeResponse decodes the response of a server. The daemon next to it may be of a version that passes on malformed
// heads.
func (r *Reply) decodeResponse() outcome {
	header := decodeHeader(r.Header)
	if head.CheckFinal(int(r.Status)) != nil || head.CheckHeader(header) != nil {
		return unknown{failure: retry.BackendLost{}}
	}
	return completed{response: Response{Status: int(r.Status), Header: header, Body: r.Body, Passed: r.Passed}}
}

// balancerReport converts the report for the load balancer.
func (r *Report) balancerReport() *place.Report {
	return &place.Report{
		Wait: r.Wait, Running: int(r.Running), Slots: int(r.Slots), Run: r.Run, ColdRate: r.ColdRate, ColdFor: r.ColdFor,
		Arrivals: float64(r.Arrivals), MeanRun: r.MeanRun,
	}
}
