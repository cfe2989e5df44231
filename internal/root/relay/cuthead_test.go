package relay

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a response whose head the server has cut short: it was passed on with an empty or short body, framed
// as whole.
func TestHeadCutShort(t *testing.T) {
	f := newTestFleet(t, 1)
	d := f.daemons[0]
	for name, whole := range cutHeads {
		for cut := range len(whole) {
			id := fmt.Sprintf("%s-%d", name, cut)
			response := f.request(d, id, fmt.Sprintf("/once/cut?%s=%d", name, cut), "", "")
			assert.Equal(t, response.StatusCode, http.StatusBadGateway, "%s, cut after %q", name, whole[:cut])
		}
	}
}
