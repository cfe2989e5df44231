package call

import (
	"context"
	"net/http"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

// runOnce runs a non-idempotent request that carries an Idempotency-Key at most once, over all resends
// through any daemon.
func (h *Handler) runOnce(ctx context.Context, w http.ResponseWriter, request *Request, key string) result {
	record := OnceKey{Account: request.Account, Route: request.Route.Name, Key: key}
	waiting, cancel := context.WithTimeout(ctx, onceWait)
	verdict := h.Control.BeginOnce(waiting, OnceBegin{OnceKey: record, RequestID: request.ID, Fingerprint: request.Fingerprint})
	cancel()
	switch verdict := verdict.(type) {
	case OnceStarted:
		return h.runRecorded(ctx, w, request, record)
	case OnceReplay:
		if verdict.Answer.Truncated {
			return h.finish(w, request, failed{Failure: retry.AnswerNotKept{}, Final: true})
		}
		h.Meter.Replay()
		replay(w, &verdict.Answer)
		return delivered{Status: verdict.Answer.Status}
	case OnceRunning:
		return h.finish(w, request, failed{Failure: retry.InProgress{}, Final: true})
	case OnceUnknown:
		return h.finish(w, request, failed{Failure: retry.EarlierUnknown{}, Final: true})
	case OnceMismatch:
		return h.finish(w, request, failed{Failure: retry.KeyReuse{}, Final: true})
	}
	return h.finish(w, request, failed{Failure: retry.RecordUnavailable{}, Final: true})
}

// runRecorded forwards a request whose record is durable and stores its outcome.
func (h *Handler) runRecorded(ctx context.Context, w http.ResponseWriter, request *Request, record OnceKey) result {
	// The outcome is stored even when the caller has gone, because its resend will ask for it.
	storing := context.WithoutCancel(ctx)
	store := func(answer *StoredAnswer) error {
		return h.storeOnce(storing, OnceFinish{OnceKey: record, RequestID: request.ID, Answer: answer})
	}
	to := &holder{next: newStream(w), store: store}
	outcome := h.Forwarder.Forward(ctx, request, to)
	if end, ok := outcome.(failed); ok {
		notRun := retry.Describe(end.Failure).Outcome == retry.NotRun
		_ = h.storeOnce(storing, OnceFinish{OnceKey: record, RequestID: request.ID, NotRun: notRun})
	} else if _, ok := outcome.(broken); ok && !to.stored {
		_ = h.storeOnce(storing, OnceFinish{OnceKey: record, RequestID: request.ID})
	}
	return h.finish(w, request, outcome)
}

func (h *Handler) storeOnce(ctx context.Context, finish OnceFinish) error {
	waiting, cancel := context.WithTimeout(ctx, onceWait)
	defer cancel()
	err := h.Control.FinishOnce(waiting, finish)
	if err != nil {
		h.Log.Warn().Str("request", finish.RequestID).Err(err).Msg("once-finish-failed")
	}
	return err
}
