package call

import (
	"errors"
	"fmt"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/head"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/admit"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Frame kinds of a call stream. The sending daemon writes a RequestHead, data and a data end. The serving
// daemon writes a Refusal, or a ResponseHead, data and a ResponseEnd. If the head sets WaitAdmitted, it writes
// an admission before it starts the request.
const (
	kindRequestHead  wire.Kind = 16
	kindData         wire.Kind = 17
	kindDataEnd      wire.Kind = 18
	kindAdmitted     wire.Kind = 19
	kindRefusal      wire.Kind = 20
	kindResponseHead wire.Kind = 21
	kindResponseEnd  wire.Kind = 22
)

const (
	maxFrame      = 512 << 10
	dataFrameSize = 32 << 10 // bytes of a body in one frame
	maxCallDepth  = 32       // stops call loops; call graphs are up to 10 deep
	maxHeaders    = 512
	// maxResponseHeader bounds the header of a backend server's response; it fits in one frame.
	maxResponseHeader = 256 << 10
)

var (
	// errHeaderLimit reports a header with more fields than a message holds.
	errHeaderLimit = errors.New("too many header fields")

	// errNotEncoded reports a message that its receiver would not accept.
	errNotEncoded = errors.New("the message exceeds a limit")
)

type (
	// RequestHead starts a call on a stream.
	RequestHead struct {
		RequestID     string        `protobuf:"bytes,1,opt,name=request_id,proto3"`
		Instance      string        `protobuf:"bytes,2,opt,name=instance,proto3"`
		Incarnation   uint64        `protobuf:"varint,3,opt,name=incarnation,proto3"`
		Route         string        `protobuf:"bytes,4,opt,name=route,proto3"` // name of the route's rule
		Account       string        `protobuf:"bytes,6,opt,name=account,proto3"`
		Importance    uint32        `protobuf:"varint,7,opt,name=importance,proto3"` // an admit.Importance
		Method        string        `protobuf:"bytes,9,opt,name=method,proto3"`
		Target        string        `protobuf:"bytes,10,opt,name=target,proto3"` // path and query
		Host          string        `protobuf:"bytes,11,opt,name=host,proto3"`
		Header        []field.Field `protobuf:"bytes,12,rep,name=header,proto3"`
		ContentLength int64         `protobuf:"varint,13,opt,name=content_length,proto3"` // -1 if unknown
		Timeout       time.Duration `protobuf:"varint,14,opt,name=timeout,proto3"`
		Retries       uint32        `protobuf:"varint,15,opt,name=retries,proto3"` // lent to this call
		Chain         []string      `protobuf:"bytes,16,rep,name=chain,proto3"`    // services that the request runs in, outermost first
		Fingerprint   string        `protobuf:"bytes,17,opt,name=fingerprint,proto3"`
		WaitAdmitted  bool          `protobuf:"varint,18,opt,name=wait_admitted,proto3"` // the body is sent only after admission
		Regions       []string      `protobuf:"bytes,19,rep,name=regions,proto3"`        // in which nested calls may be handled, empty for all
	}

	// Report is the state of the call and its instance. It is sent with a Refusal, ResponseHead or ResponseEnd.
	Report struct {
		Unspent    uint32  `protobuf:"varint,1,opt,name=unspent,proto3"`    // lent retries that are returned
		Final      bool    `protobuf:"varint,2,opt,name=final,proto3"`      // a lower layer has decided about retries
		Overloaded bool    `protobuf:"varint,3,opt,name=overloaded,proto3"` // the failure was caused by a refusal for overload
		Load       float64 `protobuf:"fixed64,4,opt,name=load,proto3"`      // part of the instance's limit in use
		// BackendLatency is the time from sending the request to the backend server to the head of its response.
		BackendLatency time.Duration `protobuf:"varint,5,opt,name=served,proto3"`
		// ColdRate is the number of requests per second that the server gets while it is cold, zero for no limit; ColdFor is
		// how long it is still cold, and ColdWait the predicted wait for a start.
		ColdRate float64       `protobuf:"fixed64,6,opt,name=cold_rate,proto3"`
		ColdFor  time.Duration `protobuf:"varint,7,opt,name=cold_for,proto3"`
		ColdWait time.Duration `protobuf:"varint,8,opt,name=cold_wait,proto3"`
	}

	// Refusal is sent when the daemon of the backend server ends the call itself.
	Refusal struct {
		Reason  retry.Reason  `protobuf:"bytes,1,opt,name=reason,proto3"`
		Outcome retry.Outcome `protobuf:"bytes,2,opt,name=outcome,proto3"`
		Report  Report        `protobuf:"bytes,3,opt,name=report,proto3"`
		Crashed bool          `protobuf:"varint,4,opt,name=crashed,proto3"` // the backend server died with the request in flight
	}

	// ResponseHead is the head of the backend server's response.
	ResponseHead struct {
		Status        int32         `protobuf:"varint,1,opt,name=status,proto3"`
		Header        []field.Field `protobuf:"bytes,2,rep,name=header,proto3"`
		ContentLength int64         `protobuf:"varint,3,opt,name=content_length,proto3"`
		Report        Report        `protobuf:"bytes,4,opt,name=report,proto3"`
	}

	// ResponseEnd follows the last byte of a complete response.
	ResponseEnd struct {
		Report  Report        `protobuf:"bytes,1,opt,name=report,proto3"`
		Trailer []field.Field `protobuf:"bytes,2,rep,name=trailer,proto3"`
	}
)

// Check reports the first field with which the call cannot be served.
func (h *RequestHead) Check() error {
	switch {
	case h.RequestID == "" || len(h.RequestID) > 64:
		return fmt.Errorf("request id has %d bytes, expected 1 to 64", len(h.RequestID))
	case h.Instance == "":
		return errors.New("instance is missing")
	case h.Method == "" || h.Target == "" || h.Target[0] != '/':
		return fmt.Errorf("request line %q %q is not valid", h.Method, h.Target)
	case h.Timeout <= 0:
		return fmt.Errorf("timeout %s is not positive", h.Timeout)
	case h.Importance > uint32(admit.Bulk):
		return fmt.Errorf("importance %d is unknown", h.Importance)
	case h.ContentLength < -1:
		return fmt.Errorf("content length %d is not valid", h.ContentLength)
	case len(h.Regions) > rules.MaxRegions:
		return fmt.Errorf("%d allowed regions, limit %d", len(h.Regions), rules.MaxRegions)
	case len(h.Chain) > maxCallDepth:
		return fmt.Errorf("call chain has %d services, limit %d", len(h.Chain), maxCallDepth)
	}
	return checkFields(h.Header)
}

// Check reports a pair of reason and outcome that no failure has.
func (r *Refusal) Check() error {
	_, err := retry.Parse(r.Reason, r.Outcome)
	return err
}

// Check reports a status or header that HTTP does not allow.
func (h *ResponseHead) Check() error {
	if err := head.CheckFinal(int(h.Status)); err != nil {
		return err
	}
	if h.ContentLength < -1 {
		return fmt.Errorf("content length %d is not valid", h.ContentLength)
	}
	return checkFields(h.Header)
}

// Check reports a trailer that HTTP does not allow.
func (e *ResponseEnd) Check() error { return checkFields(e.Trailer) }

// encode returns the body of a message. Errors wrap errNotEncoded.
func encode[T any, M wire.Message[T]](m M) ([]byte, error) {
	body, err := wire.Encode[T](m)
	if err == nil && len(body) > maxFrame {
		err = fmt.Errorf("%w: %d bytes, limit %d", wire.ErrFrameTooLarge, len(body), maxFrame)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotEncoded, err)
	}
	return body, nil
}

// invalidCallFailure returns the failure of a call whose head is not valid.
func invalidCallFailure(cause error) retry.Failure {
	if errors.Is(cause, errHeaderLimit) || errors.Is(cause, wire.ErrFrameTooLarge) {
		return retry.HeaderTooLarge{}
	}
	return retry.BadRequest{}
}

func checkFields(fields []field.Field) error {
	if len(fields) > maxHeaders {
		return fmt.Errorf("%w: %d, limit %d", errHeaderLimit, len(fields), maxHeaders)
	}
	for _, each := range fields {
		if err := head.CheckField(each.Name, each.Value); err != nil {
			return err
		}
	}
	return nil
}
