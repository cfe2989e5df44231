package field

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against fields of one connection that are passed on, also those that only Connection names.
func TestStripHop(t *testing.T) {
	header := http.Header{"Connection": {"close, X-Once"}, "X-Once": {"1"}, "Transfer-Encoding": {"chunked"}, "Kept": {"1", "2"}}
	RemoveHopByHop(header)
	assert.DeepEqual(t, header, http.Header{"Kept": {"1", "2"}})
	again := http.Header{}
	Add(again, FromHeader(header))
	assert.DeepEqual(t, again, header)
}
