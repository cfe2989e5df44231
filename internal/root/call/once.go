package call

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"strconv"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// runOnce runs a non-idempotent request with an Idempotency-Key at most once, even when the caller sends
// it again through another daemon.
func (h *Handler) runOnce(ctx context.Context, w http.ResponseWriter, request *Request, key string) result {
	scope := state.OnceScope{Account: request.Account, Route: rules.ShortName(request.Route.Name, state.MaxRoute), Key: key}
	waitCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	attempt, verdict := h.Control.BeginOnce(waitCtx, scope, requestHash(request))
	cancel()
	switch verdict := verdict.(type) {
	case *state.OnceBegun:
		return h.runRecorded(ctx, w, request, &state.OnceFinish{Scope: scope, Attempt: attempt})
	case *state.OnceReplay:
		h.Meter.Replay()
		replay(w, verdict.Answer)
		return h.finish(w, request, delivered{Status: int32(verdict.Answer.Status)})
	case *state.OnceRunning:
		return h.finish(w, request, failed{Failure: retry.InProgress{}, Final: true})
	case *state.OnceUnknown, *state.OnceStale:
		return h.finish(w, request, failed{Failure: retry.EarlierUnknown{}, Final: true})
	case *state.OnceReuse:
		return h.finish(w, request, failed{Failure: retry.KeyReuse{}, Final: true})
	}
	return h.finish(w, request, failed{Failure: retry.RecordUnavailable{}, Final: true})
}

// runRecorded forwards a request whose idempotency record is durable and stores the outcome.
func (h *Handler) runRecorded(ctx context.Context, w http.ResponseWriter, request *Request, finish *state.OnceFinish) result {
	// The outcome is stored even when the caller has gone, because a retry by the caller reads it.
	storeCtx := context.WithoutCancel(ctx)
	out := &bufferingSink{next: newStreamingSink(w, h.WriteTimeout), store: func(response *state.Answer) {
		if policy := h.Forwarder.reach(request); policy.Restricted || request.restricted {
			response = answerNotKept() // records are replicated to control instances, whose regions may not be allowed
		}
		finish.Outcome, finish.Answer = state.Answered, response
		h.storeOutcome(storeCtx, request, finish)
	}}
	outcome := h.Forwarder.Forward(ctx, request, out)
	if !out.stored {
		finish.Outcome = state.Unknown
		if failure, ok := outcome.(failed); ok && retry.Describe(failure.Failure).Outcome == retry.NotRun {
			finish.Outcome = state.NotRun
		}
		h.storeOutcome(storeCtx, request, finish)
	}
	return h.finish(w, request, outcome)
}

// storeOutcome stores an outcome. When that fails, a retry by the caller finds the outcome unknown.
func (h *Handler) storeOutcome(ctx context.Context, request *Request, finish *state.OnceFinish) {
	waitCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := h.Control.FinishOnce(waitCtx, finish); err != nil {
		h.Log.Warn().Str("request", request.ID).Err(err).Msg("once-finish-failed")
	}
}

// requestHash returns a hash that differs for different requests with the same Idempotency-Key.
func requestHash(r *Request) []byte {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Target), r.Prefix} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		hash.Write(size[:])
		hash.Write(part)
	}
	hash.Write([]byte(strconv.FormatInt(r.ContentLength, 10)))
	return hash.Sum(nil)
}

// recordedResponse returns the response that an idempotency record stores. A response that is too large is
// replaced by one that reports that the request has run.
func recordedResponse(response *ResponseHead, body []byte, complete bool) *state.Answer {
	stored := &state.Answer{Status: uint32(response.Status), Body: body}
	for _, field := range response.Header {
		stored.Headers = append(stored.Headers, state.Header{Name: field.Name, Value: field.Value})
	}
	if complete && stored.Check() == nil {
		return stored
	}
	return answerNotKept()
}

// answerNotKept returns the response to a resend of a request that has run and whose response is not stored.
func answerNotKept() *state.Answer {
	return &state.Answer{
		Status: http.StatusConflict,
		Headers: []state.Header{
			{Name: HeaderOutcome, Value: string(retry.Ran)},
			{Name: HeaderReason, Value: "answer-not-kept"},
		},
	}
}

// replay writes the recorded response of an earlier run.
func replay(w http.ResponseWriter, response *state.Answer) {
	for _, field := range response.Headers {
		w.Header().Add(field.Name, field.Value)
	}
	w.Header().Set(HeaderReplay, "true")
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(int(response.Status))
	_, _ = w.Write(response.Body)
}
