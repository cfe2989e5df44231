package call

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// flushBelow is the content length up to which an answer is written without intermediate flushes.
const flushBelow = 64 << 10

var errCallerGone = errors.New("caller has gone")

type (
	// sink receives one answer: *stream passes it on at once, *holder keeps it until the record of the
	// request is durable.
	sink interface{ sink() }

	// stream writes an answer to the caller as it arrives.
	streamingSink struct {
		writer       http.ResponseWriter
		control      *http.ResponseController
		stallTimeout time.Duration // ends the answer when the caller accepts no byte for this long
		started      bool
		flush        bool
		deadline     time.Time // when the present write deadline passes
	}

	// holder keeps an answer up to state.MaxBody; a longer one is passed on to next after store has been
	// called.
	bufferingSink struct {
		next     *streamingSink
		store    func(response *state.Answer)
		response *ResponseHead
		body     bytes.Buffer
		stored   bool
	}
)

func (*streamingSink) sink() {}
func (*bufferingSink) sink() {}

func newStreamingSink(w http.ResponseWriter, stallTimeout time.Duration) *streamingSink {
	return &streamingSink{writer: w, control: http.NewResponseController(w), stallTimeout: stallTimeout}
}

// writeAnswer starts the answer.
func startResponse(out sink, response *ResponseHead) error {
	switch out := out.(type) {
	case *streamingSink:
		return out.start(response)
	case *bufferingSink:
		out.response = response
	}
	return nil
}

// writeData passes on a part of the body.
func writeData(out sink, part []byte) error {
	switch out := out.(type) {
	case *streamingSink:
		return out.write(part)
	case *bufferingSink:
		return out.write(part)
	}
	return nil
}

// writeEnd completes the answer.
func endResponse(out sink, trailer []field.Field) error {
	switch out := out.(type) {
	case *streamingSink:
		return out.end(trailer)
	case *bufferingSink:
		if !out.stored {
			if err := out.release(false); err != nil {
				return err
			}
		}
		return out.next.end(trailer)
	}
	return nil
}

func (s *streamingSink) start(response *ResponseHead) error {
	s.started = true
	header := s.writer.Header()
	field.Add(header, response.Header)
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	s.flush = response.ContentLength < 0 || response.ContentLength > flushBelow
	s.extend()
	s.writer.WriteHeader(int(response.Status))
	return nil
}

// end sends the trailer, for which the answer has to be chunked and its header sent.
func (s *streamingSink) end(trailer []field.Field) error {
	if len(trailer) == 0 {
		return nil
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	for _, field := range trailer {
		s.writer.Header().Add(http.TrailerPrefix+field.Name, field.Value)
	}
	return nil
}

// extend moves the write deadline. Slow readers are bounded by progress, not by the length of a download.
// The deadline is on the machine's clock because it bounds real I/O, and moves in steps to save timers.
func (s *streamingSink) extend() {
	if now := time.Now(); s.deadline.Sub(now) < s.stallTimeout/2 {
		s.deadline = now.Add(s.stallTimeout)
		_ = s.control.SetWriteDeadline(s.deadline)
	}
}

func (s *streamingSink) write(part []byte) error {
	s.extend()
	if _, err := s.writer.Write(part); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	if s.flush {
		if err := s.control.Flush(); err != nil {
			return fmt.Errorf("%w: %w", errCallerGone, err)
		}
	}
	return nil
}

func (h *bufferingSink) write(part []byte) error {
	if h.stored {
		return h.next.write(part)
	}
	h.body.Write(part)
	if h.body.Len() > state.MaxBody {
		return h.release(true)
	}
	return nil
}

// release stores the answer and passes on what was held.
func (h *bufferingSink) release(truncated bool) error {
	h.stored = true
	h.store(recordedResponse(h.response, h.body.Bytes(), !truncated))
	if err := h.next.start(h.response); err != nil {
		return err
	}
	if h.body.Len() == 0 {
		return nil
	}
	return h.next.write(h.body.Bytes())
}

// discard drops a held answer so that another attempt can start; it reports false once bytes have been
// passed to the caller.
func discard(out sink) bool {
	switch out := out.(type) {
	case *streamingSink:
		return !out.started
	case *bufferingSink:
		if out.stored {
			return false
		}
		out.response = nil
		out.body.Reset()
	}
	return true
}

// refuseCall writes an answer that the daemon makes itself.
func writeRefusal(w http.ResponseWriter, requestID string, failure retry.Failure, rule *rules.Rule) {
	row := retry.Describe(failure)
	header := w.Header()
	header.Set(HeaderOutcome, string(row.Outcome))
	header.Set(HeaderReason, string(row.Reason))
	header.Set(HeaderRequest, requestID)
	if rule != nil {
		header.Set(HeaderRule, rule.Identity())
	}
	if row.After > 0 {
		header.Set("Retry-After", strconv.Itoa(int(row.After.Seconds())))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := fmt.Sprintf("%s: %s (request %s)\n", row.Reason, row.Outcome, requestID)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(row.Status)
	_, _ = w.Write([]byte(body))
}
