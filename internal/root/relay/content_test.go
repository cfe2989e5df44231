package relay

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bytes of a response in the text of an error, which is logged.
func TestErrorsQuoteNoResponse(t *testing.T) {
	for _, response := range []string{
		"secret", "HTTP/1.1 secret Bad\r\n\r\n", "HTTP/1.1 200 OK\r\nsecret\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: secret\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: secret\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nsecret\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nsecret\r\n\r\n",
	} {
		parsed, err := http.ReadResponse(bufio.NewReader(strings.NewReader(response)), nil)
		if err == nil {
			_, err = io.ReadAll(parsed.Body)
		}
		assert.Assert(t, err != nil, response)
		assert.Assert(t, !strings.Contains(withoutContent(err).Error(), "secret"), "%v", err)
	}
}
