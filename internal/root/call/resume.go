package call

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/picker"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

// resumption is a download whose missing part another instance can send: an idempotent GET with a strong
// validator and a known length.
type resumption struct {
	etag   string
	length int64
	sent   int64 // bytes passed to the caller
}

// newResumption returns nil for an answer that cannot be resumed.
func newResumption(r *Request, answer *Answer) *resumption {
	if r.Method != http.MethodGet || !r.idempotent() || answer.Status != http.StatusOK || answer.ContentLength <= 0 {
		return nil
	}
	if r.Header.Get("Range") != "" {
		return nil
	}
	etag := fieldValue(answer.Header, "Etag")
	if etag == "" || strings.HasPrefix(etag, "W/") || fieldValue(answer.Header, "Accept-Ranges") != "bytes" {
		return nil
	}
	return &resumption{etag: etag, length: answer.ContentLength}
}

func (s *resumption) passed(n int) {
	if s != nil {
		s.sent += int64(n)
	}
}

// resume asks further instances for the missing part until the answer is whole or no retry is left.
func (f *Forwarder) resume(ctx context.Context, r *Request, to sink, s *resumption, instances *picker.Picker, tried []string) result {
	part := r.part()
	for sent := 1; s.sent < s.length; sent++ {
		verdict := f.decide(r, attempt{failure: retry.BackendLost{}}, sent)
		again, ok := verdict.(retry.Retry)
		if !ok || !f.pause(ctx, again.After) {
			return broken{}
		}
		now := f.Clock.Now()
		endpoint, ok := instances.Pick(now, tried)
		if !ok {
			return broken{}
		}
		tried = append(tried, endpoint.ID)
		f.Meter.Retry(r.Route.Service)
		part.Header.Set("Range", fmt.Sprintf("bytes=%d-", s.sent))
		part.Header.Set("If-Range", s.etag)
		loan := r.Budget.Lend()
		got := f.send(ctx, part, &endpoint, loan.Retries)
		r.Budget.ReturnLoan(loan, got.report.Unspent)
		if got.failure == nil && s.continues(got.answer) {
			f.Meter.Resume()
			switch outcome := f.relayPart(to, got, s).(type) {
			case delivered:
				instances.Done(f.Clock.Now(), endpoint.ID, got.pick)
				f.Planner.Success(f.Clock.Now(), r.Route.Service)
				return outcome
			case broken:
				if outcome.caller || ctx.Err() != nil {
					instances.Done(f.Clock.Now(), endpoint.ID, picker.Canceled{})
					return outcome
				}
			}
			instances.Done(f.Clock.Now(), endpoint.ID, picker.Failed{})
			continue
		}
		got.close()
		instances.Done(f.Clock.Now(), endpoint.ID, got.pick)
		if got.failure == nil {
			return broken{} // the instance has other bytes
		}
	}
	return broken{}
}

// part returns a copy of a GET request that may get further header fields.
func (r *Request) part() *Request {
	return &Request{
		ID: r.ID, Rules: r.Rules, Route: r.Route, Account: r.Account, Importance: r.Importance,
		Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header.Clone(), ContentLength: r.ContentLength,
		Prefix: r.Prefix, Started: r.Started, Deadline: r.Deadline, Budget: r.Budget, Chain: r.Chain, Fingerprint: r.Fingerprint,
	}
}

// continues reports whether the answer holds exactly the missing bytes of the same representation.
func (s *resumption) continues(answer *Answer) bool {
	want := fmt.Sprintf("bytes %d-%d/%d", s.sent, s.length-1, s.length)
	return answer.Status == http.StatusPartialContent &&
		fieldValue(answer.Header, "Etag") == s.etag &&
		fieldValue(answer.Header, "Content-Range") == want
}

// relayPart passes on the body of a partial answer; the result is delivered once the download is whole.
func (f *Forwarder) relayPart(to sink, got attempt, s *resumption) result {
	defer got.close()
	for {
		message, err := got.exchange.next()
		if err != nil {
			return broken{}
		}
		switch message := message.(type) {
		case data:
			if s.sent+int64(len(message.bytes)) > s.length {
				return broken{}
			}
			if writeData(to, message.bytes) != nil {
				return broken{caller: true}
			}
			s.passed(len(message.bytes))
		case ended:
			if s.sent != s.length {
				return broken{}
			}
			if writeEnd(to, message.Trailer) != nil {
				return broken{caller: true}
			}
			return delivered{Status: http.StatusOK}
		default:
			return broken{}
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
