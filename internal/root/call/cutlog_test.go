package call

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// Guards against a response that breaks off without a line from which an operator learns who ended it.
func TestCutResponseIsLogged(t *testing.T) {
	for _, test := range []struct {
		cause error
		left  string
	}{
		{errTruncated, `"caller-left":false`}, {fmt.Errorf("%w: reset", errCallerGone), `"caller-left":true`},
	} {
		var log bytes.Buffer
		h := &Handler{Clock: clock.NewFake(time.Unix(1000, 0)), Meter: meter.New(), Log: zerolog.Nop(), cuts: zerolog.New(&log)}
		assert.Assert(t, recovered(func() {
			h.finish(httptest.NewRecorder(), &Request{ID: "r-7", Route: &rules.Route{Rule: rules.Rule{Name: "GET /get"}}, Started: time.Unix(999, 0)}, broken{test.cause})
		}))
		for _, field := range []string{`"message":"response-cut"`, `"request":"r-7"`, test.left, test.cause.Error()} {
			assert.Assert(t, strings.Contains(log.String(), field), "%s: %s", field, log.String())
		}
	}
}

// recovered runs a function and reports whether it panicked.
func recovered(run func()) (panicked bool) {
	defer func() { panicked = recover() != nil }()
	run()
	return false
}
