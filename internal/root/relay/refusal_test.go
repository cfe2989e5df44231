package relay

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against the copy of an earlier refusal that a faulty server writes once more on a kept connection: it was
// taken for the refusal of the next request, so that its caller was told "not run" although the server ran it, or
// another server ran it as well.
func TestRepeatedRefusal(t *testing.T) {
	for _, kind := range []string{"shed-again", "shed-again-with-id", "shed-often-with-id"} {
		for _, daemons := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d servers", kind, daemons), func(t *testing.T) {
				f := newTestFleet(t, daemons)
				for i := range 20 {
					refused, next := fmt.Sprint("refused", i), fmt.Sprint("next", i)
					f.request(f.daemons[0], refused, "/once/"+kind, "", "")
					response := f.request(f.daemons[0], next, "/once/echo", "", "")
					runs := 0
					for _, d := range f.daemons {
						runs += d.server.runs(next)
					}
					assert.Assert(t, runs <= 1, "request %s ran %d times", next, runs)
					assert.Assert(t, runs == 0 || response.Header.Get("Outcome") != "not-run", "request %s ran, its caller got %d", next, response.StatusCode)
					if kind != "shed-often-with-id" { // with so many copies the response is given up
						assert.Equal(t, response.StatusCode, http.StatusOK)
					}
				}
			})
		}
	}
}
