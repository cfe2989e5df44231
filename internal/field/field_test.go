package field

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against forwarding hop-by-hop fields, including those that only the Connection field names.
func TestRemoveHopByHop(t *testing.T) {
	header := http.Header{"Connection": {"close, X-Once"}, "X-Once": {"1"}, "Transfer-Encoding": {"chunked"}, "Kept": {"1", "2"}}
	RemoveHopByHop(header)
	assert.DeepEqual(t, header, http.Header{"Kept": {"1", "2"}})
	restored := http.Header{}
	Add(restored, FromHeader(header))
	assert.DeepEqual(t, restored, header)
}
