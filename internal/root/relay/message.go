package relay

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/place"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Frames of a lane. The daemon that sends requests writes Send, Part, Cancel, Ping and Tell; the daemon
// beside the server writes Reply, Part, Pong and Told.
const (
	kindSend   wire.Kind = 32
	kindPart   wire.Kind = 33
	kindCancel wire.Kind = 34
	kindReply  wire.Kind = 35
	kindPing   wire.Kind = 36
	kindPong   wire.Kind = 37
	kindTell   wire.Kind = 38
	kindTold   wire.Kind = 39
)

const (
	// maxPart bounds the bytes of a body in one frame; longer bodies follow in parts.
	maxPart = 256 << 10

	maxLaneFrame = maxPart + 256<<10
	maxFields    = 512
	maxText      = 64 << 10
	maxLabel     = 256
)

// The ends of a request in a Reply.
const (
	endAnswered endKind = iota + 1
	endTurned
	endUnknown
)

type (
	endKind uint32

	// Send is a request for the backend server beside the receiver.
	Send struct {
		Number      uint64        `protobuf:"varint,1,opt,name=number,proto3"` // unique on the lane
		ID          string        `protobuf:"bytes,2,opt,name=id,proto3"`
		Service     string        `protobuf:"bytes,3,opt,name=service,proto3"`
		Route       string        `protobuf:"bytes,4,opt,name=route,proto3"`
		Account     string        `protobuf:"bytes,5,opt,name=account,proto3"`
		Caller      string        `protobuf:"bytes,6,opt,name=caller,proto3"` // service beside which the request began
		Nested      bool          `protobuf:"varint,7,opt,name=nested,proto3"`
		Rank        uint32        `protobuf:"varint,8,opt,name=rank,proto3"`
		Age         time.Duration `protobuf:"varint,9,opt,name=age,proto3"`        // since the arrival
		Objective   time.Duration `protobuf:"varint,10,opt,name=objective,proto3"` // since the arrival, zero for none
		Left        time.Duration `protobuf:"varint,11,opt,name=left,proto3"`      // until the deadline
		Method      string        `protobuf:"bytes,12,opt,name=method,proto3"`
		Target      string        `protobuf:"bytes,13,opt,name=target,proto3"`
		Host        string        `protobuf:"bytes,14,opt,name=host,proto3"`
		Header      []field.Field `protobuf:"bytes,15,rep,name=header,proto3"`
		Body        []byte        `protobuf:"bytes,16,opt,name=body,proto3"`
		More        bool          `protobuf:"varint,17,opt,name=more,proto3"` // parts of the body follow
		Fingerprint string        `protobuf:"bytes,18,opt,name=fingerprint,proto3"`
	}

	// Part continues the body of a Send or a Reply.
	Part struct {
		Number uint64 `protobuf:"varint,1,opt,name=number,proto3"`
		Body   []byte `protobuf:"bytes,2,opt,name=body,proto3"`
		More   bool   `protobuf:"varint,3,opt,name=more,proto3"`
	}

	// Cancel says that nobody waits for the answer any more.
	Cancel struct {
		Number uint64 `protobuf:"varint,1,opt,name=number,proto3"`
	}

	// Report describes the backend server beside the sender.
	Report struct {
		Wait    time.Duration `protobuf:"varint,1,opt,name=wait,proto3"`
		Running uint32        `protobuf:"varint,2,opt,name=running,proto3"`
		Slots   uint32        `protobuf:"varint,3,opt,name=slots,proto3"`
		Run     time.Duration `protobuf:"varint,4,opt,name=run,proto3"` // of the request's route
		Leaving bool          `protobuf:"varint,5,opt,name=leaving,proto3"`
		Strain  float64       `protobuf:"fixed64,6,opt,name=strain,proto3"` // how much nested calls are held up
	}

	// Reply ends a request.
	Reply struct {
		Number  uint64        `protobuf:"varint,1,opt,name=number,proto3"`
		End     endKind       `protobuf:"varint,2,opt,name=end,proto3"`
		Report  Report        `protobuf:"bytes,3,opt,name=report,proto3"`
		Status  int32         `protobuf:"varint,4,opt,name=status,proto3"`
		Header  []field.Field `protobuf:"bytes,5,rep,name=header,proto3"`
		Body    []byte        `protobuf:"bytes,6,opt,name=body,proto3"`
		More    bool          `protobuf:"varint,7,opt,name=more,proto3"`
		Reason  retry.Reason  `protobuf:"bytes,8,opt,name=reason,proto3"`
		Outcome retry.Outcome `protobuf:"bytes,9,opt,name=outcome,proto3"`
		After   time.Duration `protobuf:"varint,10,opt,name=after,proto3"`
		Reached bool          `protobuf:"varint,11,opt,name=reached,proto3"`
	}

	// Tell passes on a notice that a backend server gave to a control instance.
	Tell struct {
		Number   uint64      `protobuf:"varint,1,opt,name=number,proto3"`
		Instance string      `protobuf:"bytes,2,opt,name=instance,proto3"`
		Service  string      `protobuf:"bytes,3,opt,name=service,proto3"`
		Address  string      `protobuf:"bytes,4,opt,name=address,proto3"`
		Slots    uint32      `protobuf:"varint,5,opt,name=slots,proto3"`
		State    NoticeState `protobuf:"varint,6,opt,name=state,proto3"`
		Sequence uint64      `protobuf:"varint,7,opt,name=sequence,proto3"`
		Born     int64       `protobuf:"varint,8,opt,name=born,proto3"`
	}

	// Told answers a Tell.
	Told struct {
		Number  uint64 `protobuf:"varint,1,opt,name=number,proto3"`
		Problem string `protobuf:"bytes,2,opt,name=problem,proto3"` // empty when the notice was taken
	}
)

// Check reports the first field that makes the request impossible to serve.
func (s *Send) Check() error {
	switch {
	case s.ID == "" || len(s.ID) > maxLabel || len(s.Service) > maxLabel || len(s.Route) > maxLabel || len(s.Account) > maxLabel || len(s.Caller) > maxLabel:
		return errors.New("a label of the request is empty or too long")
	case s.Method == "" || s.Target == "" || len(s.Target) > maxText:
		return fmt.Errorf("request line %q with a target of %d bytes is not valid", s.Method, len(s.Target))
	case s.Left <= 0:
		return fmt.Errorf("time left %s is not positive", s.Left)
	}
	return checkPart(s.Header, s.Body)
}

// Check reports a part that is too long.
func (p *Part) Check() error { return checkPart(nil, p.Body) }

// Check accepts every number.
func (c *Cancel) Check() error { return nil }

// Check accepts every load.
func (r *Report) Check() error { return nil }

// Check reports an end that does not exist.
func (r *Reply) Check() error {
	switch r.End {
	case endAnswered:
		if r.Status < http.StatusOK || r.Status > 999 {
			return fmt.Errorf("status %d is not a final status", r.Status)
		}
	case endTurned, endUnknown:
		if _, err := retry.Parse(r.Reason, r.Outcome); err != nil {
			return err
		}
	default:
		return fmt.Errorf("end %d is unknown", r.End)
	}
	return checkPart(r.Header, r.Body)
}

// Check reports a text that is too long.
func (t *Tell) Check() error {
	if len(t.Instance) > maxLabel || len(t.Service) > maxLabel || len(t.Address) > maxLabel {
		return errors.New("a label of the notice is too long")
	}
	return nil
}

// Check reports a text that is too long.
func (t *Told) Check() error {
	if len(t.Problem) > maxText {
		return fmt.Errorf("problem of %d bytes, limit %d", len(t.Problem), maxText)
	}
	return nil
}

func checkPart(header []field.Field, body []byte) error {
	if len(header) > maxFields || len(body) > maxPart {
		return fmt.Errorf("%d header fields and %d bytes, limits %d and %d", len(header), len(body), maxFields, maxPart)
	}
	return nil
}

func headerOf(fields []field.Field) http.Header {
	header := make(http.Header, len(fields))
	field.Add(header, fields)
	return header
}

// notice returns the notice that is passed on.
func (t *Tell) notice() Notice {
	return Notice{
		Instance: t.Instance, Service: t.Service, Address: t.Address, Slots: t.Slots,
		State: t.State, Sequence: t.Sequence, Born: t.Born,
	}
}

// reply encodes an outcome.
func reply(number uint64, ended outcome, report Report) *Reply {
	r := &Reply{Number: number, Report: report}
	var failure retry.Failure
	switch ended := ended.(type) {
	case answered:
		r.End, r.Status, r.Header = endAnswered, int32(ended.response.Status), field.FromHeader(ended.response.Header)
		r.Body = ended.response.Body
		return r
	case turned:
		r.End, r.After, r.Reached = endTurned, ended.after, ended.reached
		failure = ended.failure
	case unknown:
		r.End, failure = endUnknown, ended.failure
	}
	row := retry.Describe(failure)
	r.Reason, r.Outcome = row.Reason, row.Outcome
	return r
}

// ended decodes the outcome of a whole reply.
func (r *Reply) ended() outcome {
	if r.End == endAnswered {
		return answered{response: Response{Status: int(r.Status), Header: headerOf(r.Header), Body: r.Body}}
	}
	failure, err := retry.Parse(r.Reason, r.Outcome)
	if err != nil { // Check has passed it
		return unknown{failure: retry.BackendLost{}}
	}
	if r.End == endTurned {
		return turned{failure: failure, after: r.After, reached: r.Reached}
	}
	return unknown{failure: failure}
}

// forPlace returns the report as the choice of servers takes it.
func (r *Report) forPlace() *place.Report {
	return &place.Report{Wait: r.Wait, Running: int(r.Running), Slots: int(r.Slots), Run: r.Run}
}
