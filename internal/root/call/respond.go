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

// flushBelow is the content length up to which a response is written without intermediate flushes.
const flushBelow = 64 << 10

var errCallerGone = errors.New("caller has gone")

type (
	// sink receives one response: *streamingSink writes it to the caller at once, *bufferingSink keeps it
	// until its idempotency record is stored.
	sink interface{ sink() }

	// streamingSink writes a response to the caller as it arrives.
	streamingSink struct {
		writer       http.ResponseWriter
		control      *http.ResponseController
		stallTimeout time.Duration // aborts the response when the caller accepts no byte for this long
		started      bool
		flush        bool
		deadline     time.Time // write deadline of the connection
	}

	// bufferingSink buffers a response up to state.MaxBody bytes and calls store before it writes to next.
	// A longer response is streamed to next after the call of store.
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

// startResponse passes the head of the response to out.
func startResponse(out sink, response *ResponseHead) error {
	switch out := out.(type) {
	case *streamingSink:
		return out.start(response)
	case *bufferingSink:
		out.response = response
	}
	return nil
}

// writeData passes a part of the body to out.
func writeData(out sink, part []byte) error {
	switch out := out.(type) {
	case *streamingSink:
		return out.write(part)
	case *bufferingSink:
		return out.write(part)
	}
	return nil
}

// endResponse completes the response.
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

// end sends the trailer. It flushes first, because net/http sends trailers only with a chunked response
// whose header has been written. The server writes the end of the response after it.
func (s *streamingSink) end(trailer []field.Field) error {
	s.extend()
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

// extend moves the write deadline, so that slow readers are bounded by progress and not by the length of a
// download. The deadline uses the system clock because it bounds real I/O, and moves in steps of at least
// half the timeout to reset fewer timers.
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

func (s *bufferingSink) write(part []byte) error {
	if s.stored {
		return s.next.write(part)
	}
	s.body.Write(part)
	if s.body.Len() > state.MaxBody {
		return s.release(true)
	}
	return nil
}

// release stores the response and writes the buffered part to next.
func (s *bufferingSink) release(truncated bool) error {
	s.stored = true
	s.store(recordedResponse(s.response, s.body.Bytes(), !truncated))
	if err := s.next.start(s.response); err != nil {
		return err
	}
	if s.body.Len() == 0 {
		return nil
	}
	return s.next.write(s.body.Bytes())
}

// discard drops a buffered response and reports whether no byte has been written to the caller, so that
// another response can be written.
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

// writeRefusal writes the response for a request that the daemon refuses.
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
	if row.Text != "" {
		body += row.Text + "\n"
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(row.Status)
	_, _ = w.Write([]byte(body))
}
