package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

// fakeOrders records the latest order and replies with a fixed result.
type fakeOrders struct {
	result ctrl.OrderResult
	latest state.OrderZone
}

func (f *fakeOrders) ForwardOrder(_ context.Context, order state.OrderZone) ctrl.OrderResult {
	f.latest = order
	return f.result
}

// Guards against a result of an order that the client takes for another one, and against an order with the wrong
// direction.
func TestOrderResults(t *testing.T) {
	for _, test := range []struct {
		result ctrl.OrderResult
		status int
		reason string
	}{
		{ctrl.OrderAccepted{Index: 9, Warning: "none left"}, http.StatusOK, ""},
		{ctrl.OrderRefused{Invalid: true, Detail: "zone of 0 bytes"}, http.StatusBadRequest, admin.ReasonBadRequest},
		{ctrl.OrderRefused{Detail: "limit"}, http.StatusConflict, admin.ReasonRefused},
		{ctrl.OrderNotLeader{Leader: "10.0.0.2:7402"}, http.StatusServiceUnavailable, admin.ReasonNoLeader},
		{ctrl.OrderUnconfirmed{}, http.StatusServiceUnavailable, admin.ReasonUnconfirmed},
	} {
		orders := &fakeOrders{result: test.result}
		server := &Server{Orders: orders}
		mux := http.NewServeMux()
		mux.HandleFunc(admin.PathEvacuateZone, server.handleOrder(true))
		mux.HandleFunc(admin.PathRestoreZone, server.handleOrder(false))
		listening := httptest.NewServer(mux)
		client := &admin.Client{Address: listening.Listener.Addr().String()}
		ordered, err := client.EvacuateZone(context.Background(), admin.ZoneOrder{Zone: "a", Requester: "Ana", Reason: "flood"})
		assert.DeepEqual(t, orders.latest, state.OrderZone{Zone: "a", Requester: "Ana", Reason: "flood", Evacuate: true})
		if test.status == http.StatusOK {
			assert.NilError(t, err)
			assert.DeepEqual(t, ordered, &admin.ZoneOrdered{Zone: "a", Evacuated: true, Index: 9, Warning: "none left"})
			restored, err := client.RestoreZone(context.Background(), admin.ZoneOrder{Zone: "a", Requester: "Lou"})
			assert.NilError(t, err)
			assert.Assert(t, !restored.Evacuated)
			assert.DeepEqual(t, orders.latest, state.OrderZone{Zone: "a", Requester: "Lou"})
		} else {
			var refusal *admin.Error
			assert.Assert(t, err != nil)
			assert.ErrorType(t, err, refusal)
			assert.Equal(t, err.(*admin.Error).Code, test.status)
			assert.Equal(t, err.(*admin.Error).Reason, test.reason)
		}
		listening.Close()
	}
}

// Guards against an order that a link or a web page gives through the browser of an operator, and against a body that
// is not an order.
func TestRefusedOrderRequests(t *testing.T) {
	for _, test := range []struct {
		method, contentType, body string
		status                    int
	}{
		{http.MethodGet, admin.ContentType, `{"zone":"a"}`, http.StatusMethodNotAllowed},
		{http.MethodPost, "text/plain", `{"zone":"a"}`, http.StatusUnsupportedMediaType},
		{http.MethodPost, "application/x-www-form-urlencoded", `zone=a`, http.StatusUnsupportedMediaType},
		{http.MethodPost, admin.ContentType, `zone=a`, http.StatusBadRequest},
		{http.MethodPost, admin.ContentType, `{"zone":"` + strings.Repeat("a", maxOrderSize) + `"}`, http.StatusBadRequest},
	} {
		orders := &fakeOrders{result: ctrl.OrderAccepted{Index: 1}}
		request := httptest.NewRequest(test.method, admin.PathEvacuateZone, strings.NewReader(test.body))
		request.Header.Set("Content-Type", test.contentType)
		response := httptest.NewRecorder()
		(&Server{Orders: orders}).handleOrder(true)(response, request)
		assert.Equal(t, response.Code, test.status)
		assert.Equal(t, orders.latest, state.OrderZone{})
		var refusal admin.Error
		assert.NilError(t, json.Unmarshal(response.Body.Bytes(), &refusal))
		assert.NilError(t, refusal.Check())
	}
}
