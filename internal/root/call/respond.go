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
	stream struct {
		writer   http.ResponseWriter
		control  *http.ResponseController
		stall    time.Duration // ends the answer when the caller accepts no byte for this long
		started  bool
		flush    bool
		deadline time.Time // when the present write deadline passes
	}

	// holder keeps an answer up to state.MaxBody; a longer one is passed on to next after store has been
	// called.
	holder struct {
		next   *stream
		store  func(answer *state.Answer)
		answer *Answer
		body   bytes.Buffer
		stored bool
	}
)

func (*stream) sink() {}
func (*holder) sink() {}

func newStream(w http.ResponseWriter, stall time.Duration) *stream {
	return &stream{writer: w, control: http.NewResponseController(w), stall: stall}
}

// writeAnswer starts the answer.
func writeAnswer(to sink, answer *Answer) error {
	switch to := to.(type) {
	case *stream:
		return to.start(answer)
	case *holder:
		to.answer = answer
	}
	return nil
}

// writeData passes on a part of the body.
func writeData(to sink, part []byte) error {
	switch to := to.(type) {
	case *stream:
		return to.write(part)
	case *holder:
		return to.write(part)
	}
	return nil
}

// writeEnd completes the answer.
func writeEnd(to sink, trailer []field.Field) error {
	switch to := to.(type) {
	case *stream:
		return to.end(trailer)
	case *holder:
		if !to.stored {
			if err := to.release(false); err != nil {
				return err
			}
		}
		return to.next.end(trailer)
	}
	return nil
}

func (s *stream) start(answer *Answer) error {
	s.started = true
	header := s.writer.Header()
	field.Add(header, answer.Header)
	if answer.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	s.flush = answer.ContentLength < 0 || answer.ContentLength > flushBelow
	s.extend()
	s.writer.WriteHeader(int(answer.Status))
	return nil
}

// end sends the trailer, for which the answer has to be chunked and its header sent.
func (s *stream) end(trailer []field.Field) error {
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
func (s *stream) extend() {
	if now := time.Now(); s.deadline.Sub(now) < s.stall/2 {
		s.deadline = now.Add(s.stall)
		_ = s.control.SetWriteDeadline(s.deadline)
	}
}

func (s *stream) write(part []byte) error {
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

func (h *holder) write(part []byte) error {
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
func (h *holder) release(truncated bool) error {
	h.stored = true
	h.store(storedAnswer(h.answer, h.body.Bytes(), !truncated))
	if err := h.next.start(h.answer); err != nil {
		return err
	}
	if h.body.Len() == 0 {
		return nil
	}
	return h.next.write(h.body.Bytes())
}

// discard drops a held answer so that another attempt can start; it reports false once bytes have been
// passed to the caller.
func discard(to sink) bool {
	switch to := to.(type) {
	case *stream:
		return !to.started
	case *holder:
		if to.stored {
			return false
		}
		to.answer = nil
		to.body.Reset()
	}
	return true
}

// refuseCall writes an answer that the daemon makes itself.
func refuseCall(w http.ResponseWriter, requestID string, failure retry.Failure, rule *rules.Rule) {
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
