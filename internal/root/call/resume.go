package call

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/picker"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

// errRangeLength reports a partial response that is longer or shorter than the missing part.
var errRangeLength = errors.New("partial response of another length than requested")

// resumption is the state of a download that can be continued from another instance: an idempotent GET
// whose response has a strong validator and a known length.
type resumption struct {
	etag   string
	length int64
	sent   int64 // bytes passed to the caller
}

// newResumption returns nil for a response that cannot be resumed.
func newResumption(r *Request, response *ResponseHead) *resumption {
	if r.Method != http.MethodGet || !r.idempotent() || response.Status != http.StatusOK || response.ContentLength <= 0 {
		return nil
	}
	if r.Header.Get("Range") != "" {
		return nil
	}
	etag := fieldValue(response.Header, "Etag")
	if etag == "" || strings.HasPrefix(etag, "W/") || fieldValue(response.Header, "Accept-Ranges") != "bytes" {
		return nil
	}
	return &resumption{etag: etag, length: response.ContentLength}
}

func (s *resumption) addSent(n int) {
	if s != nil {
		s.sent += int64(n)
	}
}

// resume requests the missing part from further instances until the response is complete or no retry is
// allowed.
func (f *Forwarder) resume(ctx context.Context, r *Request, out sink, s *resumption, instances *picker.Picker, tried []string, interrupted broken) result {
	rangeRequest := r.rangeRequest()
	for attempts := 1; s.sent < s.length; attempts++ {
		verdict := f.decide(r, attemptResult{failure: retry.BackendLost{}}, attempts, false)
		retryVerdict, ok := verdict.(retry.Retry)
		if !ok || !f.pause(ctx, retryVerdict.After) {
			return interrupted
		}
		now := f.Clock.Now()
		policy := f.reach(r)
		choice, ok := f.pick(instances, now, r, tried, policy)
		if !ok {
			return interrupted
		}
		tried = append(tried, choice.ID)
		f.Meter.Retry(r.Route.Service)
		rangeRequest.Header.Set("Range", fmt.Sprintf("bytes=%d-", s.sent))
		rangeRequest.Header.Set("If-Range", s.etag)
		loan := r.Budget.Lend()
		attempt := f.send(ctx, rangeRequest, &choice, policy.Regions, loan.Retries)
		r.Budget.ReturnLoan(loan, attempt.report.Unspent)
		if attempt.failure == nil && s.matches(attempt.response) {
			f.Meter.Resume()
			switch outcome := f.relayRange(out, attempt, s).(type) {
			case delivered:
				instances.Done(f.Clock.Now(), choice.ID, attempt.feedback)
				f.Planner.Success(f.Clock.Now(), r.Route.Service)
				return outcome
			case broken:
				if outcome.callerGone() || ctx.Err() != nil {
					instances.Done(f.Clock.Now(), choice.ID, picker.Canceled{})
					return outcome
				}
				interrupted = outcome
			}
			instances.Done(f.Clock.Now(), choice.ID, picker.Failed{})
			continue
		}
		attempt.close()
		instances.Done(f.Clock.Now(), choice.ID, attempt.feedback)
		if attempt.failure == nil {
			return interrupted // the instance has another representation
		}
	}
	return interrupted
}

// rangeRequest returns a copy of a GET request with its own header, for the fields of a range request.
func (r *Request) rangeRequest() *Request {
	return &Request{
		ID: r.ID, Rules: r.Rules, Route: r.Route, Account: r.Account, Importance: r.Importance,
		Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header.Clone(), ContentLength: r.ContentLength,
		Prefix: r.Prefix, Started: r.Started, Deadline: r.Deadline, Budget: r.Budget, Chain: r.Chain, Fingerprint: r.Fingerprint,
		Nested: r.Nested, ParentRegions: r.ParentRegions, restricted: r.restricted,
	}
}

// matches reports whether the response has exactly the missing bytes of the same representation.
func (s *resumption) matches(response *ResponseHead) bool {
	missingRange := fmt.Sprintf("bytes %d-%d/%d", s.sent, s.length-1, s.length)
	return response.Status == http.StatusPartialContent &&
		fieldValue(response.Header, "Etag") == s.etag &&
		fieldValue(response.Header, "Content-Range") == missingRange
}

// relayRange streams the body of a partial response to out. The result is delivered when the download is
// complete.
func (f *Forwarder) relayRange(out sink, attempt attemptResult, s *resumption) result {
	defer attempt.close()
	for {
		message, err := attempt.call.next()
		if err != nil {
			return broken{err}
		}
		switch message := message.(type) {
		case dataMessage:
			if s.sent+int64(len(message.bytes)) > s.length {
				return broken{errRangeLength}
			}
			if err := writeData(out, message.bytes); err != nil {
				return broken{err}
			}
			s.addSent(len(message.bytes))
		case endMessage:
			if s.sent != s.length {
				return broken{errRangeLength}
			}
			if err := endResponse(out, message.Trailer); err != nil {
				return broken{err}
			}
			return delivered{Status: http.StatusOK}
		default:
			return broken{errWrongMessage}
		}
	}
}

func fieldValue(fields []field.Field, name string) string {
	for _, field := range fields {
		if strings.EqualFold(field.Name, name) {
			return field.Value
		}
	}
	return ""
}
