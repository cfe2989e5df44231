package call

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
)

// Guards against bytes between zones that are not counted, or by another cause, and against calls of a backend server
// that are not told apart.
func TestBytesBetweenZonesAreCounted(t *testing.T) {
	const size = 50_000
	f := newFleet(t, 2, clock.Real{}, `service reader slots=10 connections=50 retry-share=100%
service back slots=10 connections=50 retry-share=100%
route GET /get service=reader access=open run=idempotent deadline=1m retries=3
route GET /back service=back access=open run=idempotent deadline=1m nested=only
`)
	answer := func(w http.ResponseWriter, size int) { _, _ = w.Write([]byte(strings.Repeat("x", size))) }
	f.serve(0, "reader", 10, func(w http.ResponseWriter, r *http.Request) {
		answer(w, len(sendNested(f.nodes[0], r, "GET", "/back").body))
	})
	f.serve(1, "back", 10, func(w http.ResponseWriter, _ *http.Request) { answer(w, size) })
	f.lists["back"].Instances[0].Zone = "y"
	f.publish()
	assert.Equal(t, len(f.request(0, "GET", "/get", "").body), size)
	bytes := f.nodes[0].forwarder.Sender.Dialer.Bytes
	assert.Assert(t, bytes.Count(cross.NestedCall, cross.Sent) > 0)
	received := bytes.Count(cross.NestedCall, cross.Received)
	assert.Assert(t, received >= size && received < size+1000, "%d bytes", received)
}
