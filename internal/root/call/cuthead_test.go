package call

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
)

// Guards against a response whose head the backend server has cut short, and that is passed on with an empty or short
// body, framed as whole.
func TestHeadCutShort(t *testing.T) {
	for name, whole := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nOther: x\r\n\r\n",
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"unframed": "HTTP/1.1 200 OK\r\nConnection: close\r\nOther: x\r\n\r\n",
		"empty":    "HTTP/1.1 204 No Content\r\nOther: x\r\n\r\n",
		"interim":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n",
		"newlines": "HTTP/1.1 200 OK\nContent-Length: 1\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, clock.Real{}, readerRules)
			rawBackend(t, f, 1, func(conn net.Conn, request *http.Request) {
				request.Close = true
				cut, err := strconv.Atoi(strings.TrimPrefix(request.URL.RawQuery, "cut="))
				assert.Check(t, err)
				_, _ = io.WriteString(conn, whole[:cut])
			})
			for cut := range len(whole) {
				got := f.request(0, "POST", fmt.Sprintf("/once?cut=%d", cut), "", "Buckthorn-Key: "+goodKey)
				assert.NilError(t, got.err)
				assert.Equal(t, got.StatusCode, http.StatusBadGateway, "cut after %q: %v", whole[:cut], got.Header)
				assert.Equal(t, got.Header.Get(HeaderOutcome), "unknown")
			}
		})
	}
}
