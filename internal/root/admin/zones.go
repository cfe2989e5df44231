package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

const (
	// orderTimeout is shorter than the default limit of buckthornctl, so that the operator receives a reason.
	orderTimeout = 4 * time.Second
	// maxOrderSize is the largest body of an order in bytes.
	maxOrderSize = 4 << 10
)

var errInvalidOrder = errors.New("the body is not an order in JSON")

// Orders accepts operators' orders for availability zones; the control loop implements it.
type Orders interface {
	// ForwardOrder passes an order to the leader and waits until it is committed.
	ForwardOrder(ctx context.Context, order state.OrderZone) ctrl.OrderResult
}

// zones returns the availability zones under evacuation.
func (s *Server) zones(r *http.Request) ([]byte, error) {
	return s.requestReport(r, ctrl.ZonesRequest{}, 0)
}

// handleOrder returns a handler of orders that begin or end an evacuation. It requires the content type of JSON, so
// that no web page can send an order through the browser of an operator.
func (s *Server) handleOrder(evacuate bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			writeError(w, http.StatusMethodNotAllowed, admin.ReasonBadRequest, "only POST is supported for orders")
			return
		}
		if mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || mediaType != admin.ContentType {
			writeError(w, http.StatusUnsupportedMediaType, admin.ReasonBadRequest, "an order has the content type "+admin.ContentType)
			return
		}
		requested, err := decodeOrder(r.Body)
		if err != nil {
			writeError(w, http.StatusBadRequest, admin.ReasonBadRequest, err.Error())
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
		defer cancel()
		order := state.OrderZone{Zone: requested.Zone, Requester: requested.Requester, Reason: requested.Reason, Evacuate: evacuate}
		writeOrderResult(w, &order, s.Orders.ForwardOrder(ctx, order))
	}
}

func decodeOrder(body io.Reader) (*admin.ZoneOrder, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxOrderSize+1))
	if err != nil || len(text) > maxOrderSize {
		return nil, errInvalidOrder
	}
	order := &admin.ZoneOrder{}
	if err := json.Unmarshal(text, order); err != nil {
		return nil, errInvalidOrder
	}
	return order, nil
}

func writeOrderResult(w http.ResponseWriter, order *state.OrderZone, result ctrl.OrderResult) {
	switch result := result.(type) {
	case ctrl.OrderAccepted:
		w.Header().Set("Content-Type", admin.ContentType)
		_ = json.NewEncoder(w).Encode(&admin.ZoneOrdered{
			Zone: order.Zone, Evacuated: order.Evacuate, Index: result.Index, Warning: result.Warning,
		})
	case ctrl.OrderRefused:
		if result.Invalid {
			writeError(w, http.StatusBadRequest, admin.ReasonBadRequest, result.Detail)
			return
		}
		writeError(w, http.StatusConflict, admin.ReasonRefused, result.Detail)
	case ctrl.OrderNotLeader:
		writeError(w, http.StatusServiceUnavailable, admin.ReasonNoLeader, "this control instance does not lead; send the order to "+result.Leader+" or to a daemon")
	case ctrl.OrderUnconfirmed:
		writeError(w, http.StatusServiceUnavailable, admin.ReasonUnconfirmed, "the control group has not confirmed the order; it may be repeated")
	}
}
