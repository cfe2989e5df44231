package call

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
)

// Guards against a request that ends with neither a response nor a refusal because of a fault in its handler, and against
// one that promises that the request has not run.
func TestPanickedCallIsRefused(t *testing.T) {
	f := newFleet(t, 1, clock.Real{}, readerRules)
	f.nodes[0].control.snapshot.Store(nil) // a nil pointer for the handler
	response := f.request(0, http.MethodPost, "/get/1", "body", "Buckthorn-Key: "+goodKey)
	assert.NilError(t, response.err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, response.Header.Get(HeaderOutcome), "unknown")
	f.publish()
}

// Guards against a response that looks complete although its handler has panicked after a part of it.
func TestPanickedResponseIsCut(t *testing.T) {
	traffic := &Traffic{Log: zerolog.Nop()}
	server := httptest.NewServer(traffic.refusePanicked(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic("a fault")
	}))
	defer server.Close()
	response := send(server.Listener.Addr().String(), http.MethodGet, "/", "")
	assert.ErrorIs(t, response.err, io.ErrUnexpectedEOF)
}
