package head

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/head/cases"
)

// serveRaw starts a server that answers each connection with the text and returns its URL.
func serveRaw(t *testing.T, text string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

func roundTrip(t *testing.T, text string) (body string, err error) {
	transport := Transport{Base: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, serveRaw(t, text), http.NoBody)
	assert.NilError(t, err)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return string(read), err
}

// Guards against a malformed response that a client takes for an answer.
func TestTransportRefusesMalformedResponses(t *testing.T) {
	for _, response := range cases.Responses {
		t.Run(response.Name, func(t *testing.T) {
			_, err := roundTrip(t, response.Text(""))
			assert.Assert(t, err != nil)
		})
	}
}

// Guards against a server that occupies a client with interim responses without an end.
func TestTransportBoundsInterimResponses(t *testing.T) {
	_, err := roundTrip(t, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInterim+1))
	assert.ErrorIs(t, err, ErrMalformed)
}

// Guards against refusing responses that RFC 9110 and RFC 9112 allow.
func TestTransportAcceptsUnusualResponses(t *testing.T) {
	for name, text := range map[string]string{
		"lowest and highest interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"highest status":             "HTTP/1.1 599 Odd\r\nContent-Length: 4\r\n\r\nbody",
		"no reason":                  "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody",
		"all bytes of a token":       "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09AZaz: x\r\nContent-Length: 4\r\n\r\nbody",
		"tab and bytes above ASCII":  "HTTP/1.1 200 OK\r\nOdd: a\tb\xe4\r\nContent-Length: 4\r\n\r\nbody",
		"empty value":                "HTTP/1.1 200 OK\r\nOdd:\r\nContent-Length: 4\r\n\r\nbody",
		"trailer":                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n\r\n",
		"old version":                "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := roundTrip(t, text)
			assert.NilError(t, err)
			assert.Equal(t, body, "body")
		})
	}
}

// Guards against a malformed request that is passed on with another body or header than its sender meant.
func TestCheckRequest(t *testing.T) {
	for name, test := range map[string]struct {
		text  string
		valid bool
	}{
		"plain":               {"GET / HTTP/1.1\r\nHost: a\r\nOdd: x\r\n\r\n", true},
		"old version":         {"GET / HTTP/1.0\r\n\r\n", true},
		"blank in a name":     {"GET / HTTP/1.1\r\nHost: a\r\nOdd name: x\r\n\r\n", false},
		"length with a blank": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\nbody", false},
		"chunks with a blank": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\nContent-Length: 4\r\n\r\nbody", false},
		"version 2.0":         {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(test.text)))
			if err == nil {
				err = CheckRequest(request)
				assert.Assert(t, err == nil || errors.Is(err, ErrMalformed))
			}
			assert.Equal(t, err == nil, test.valid, "%v", err)
		})
	}
}

// Guards against a malformed response that a daemon takes for an answer.
func TestReadResponseRefusesMalformedResponses(t *testing.T) {
	for _, malformed := range cases.Responses {
		t.Run(malformed.Name, func(t *testing.T) {
			reader := bufio.NewReader(strings.NewReader(malformed.Text("")))
			response, err := ReadResponse(reader, http.MethodGet)
			for err == nil && response.Interim() {
				response, err = ReadResponse(reader, http.MethodGet)
			}
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			assert.Assert(t, errors.Is(err, ErrMalformed) || errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
		})
	}
}

// Guards against a body that is not the server's, and against a wrong belief about where a response ends.
func TestReadResponseFraming(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	type want struct {
		body            string
		failed          bool
		close, unframed bool
	}
	for name, test := range map[string]struct {
		method, text string
		want         want
	}{
		"length":                {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody" + next, want{body: "body"}},
		"same length twice":     {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody" + next, want{body: "body"}},
		"same length in a list": {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\nbody" + next, want{body: "body"}},
		"length cut":            {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbod", want{body: "bod", failed: true}},
		"chunks":                {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + next, want{body: "body"}},
		"chunks and trailer":    {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n\r\n" + next, want{body: "body"}},
		"chunks cut":            {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", want{body: "body", failed: true}},
		"chunks without end":    {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", want{body: "body", failed: true}},
		"trailer cut":           {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n", want{body: "body", failed: true}},
		"chunks and length":     {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n", want{failed: true}},
		"chunks in version 1.0": {"GET", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", want{failed: true}},
		"no length":             {"GET", "HTTP/1.1 200 OK\r\n\r\nbody", want{body: "body", close: true, unframed: true}},
		"close":                 {"GET", "HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 4\r\n\r\nbody", want{body: "body", close: true}},
		"version 1.0":           {"GET", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", want{body: "body", close: true}},
		"version 1.0, kept":     {"GET", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nbody" + next, want{body: "body"}},
		"no content":            {"GET", "HTTP/1.1 204 No Content\r\n\r\n" + next, want{}},
		"not modified":          {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n" + next, want{}},
		"HEAD":                  {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + next, want{}},
		"head cut":              {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", want{failed: true}},
	} {
		t.Run(name, func(t *testing.T) {
			reader := bufio.NewReader(strings.NewReader(test.text))
			response, err := ReadResponse(reader, test.method)
			got := want{}
			if err == nil {
				var body []byte
				body, err = io.ReadAll(response.Body)
				got = want{body: string(body), close: response.Close, unframed: response.Unframed}
			}
			got.failed = err != nil
			assert.Equal(t, got, test.want, "%v", err)
			if strings.HasSuffix(test.text, next) && err == nil {
				following, err := ReadResponse(reader, http.MethodGet)
				assert.NilError(t, err)
				assert.Equal(t, following.Status, http.StatusOK)
			}
		})
	}
}

// Guards against bytes of a response in the text of an error, which is logged.
func TestErrorsQuoteNoResponse(t *testing.T) {
	for _, text := range []string{
		"secret", "HTTP/1.1 secret Bad\r\n\r\n", "HTTP/1.1 200 OK\r\nsecret\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: secret\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: secret\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nsecret\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nsecret\r\n\r\n", "HTTP/1.1 200 OK\r\na secret: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nOdd: secret\x01\r\n\r\n", "secret/1.1 200 OK\r\n\r\n",
	} {
		response, err := ReadResponse(bufio.NewReader(strings.NewReader(text)), http.MethodGet)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		assert.Assert(t, err != nil, text)
		assert.Assert(t, !strings.Contains(err.Error(), "secret"), "%v", err)
	}
}

// Guards against a trailer without an end that occupies memory.
func TestReadResponseLongTrailer(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("Odd: x\r\n", 1<<20)
	response, err := ReadResponse(bufio.NewReader(strings.NewReader(text)), http.MethodGet)
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.ErrorIs(t, err, ErrMalformed)
}

// Guards against a panic on any bytes, and against a response that is accepted with a field that could not be written
// again or with other bytes than those of its body.
func FuzzReadResponse(f *testing.F) {
	for _, response := range cases.Responses {
		f.Add([]byte(response.Text("")))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nSum: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\r\n\r\nbody"))
	f.Fuzz(func(t *testing.T, text []byte) {
		response, err := ReadResponse(bufio.NewReader(strings.NewReader(string(text))), http.MethodGet)
		if err != nil {
			return
		}
		assert.Assert(t, response.Status >= minStatus && response.Status <= maxStatus)
		for name, values := range response.Header {
			assert.Assert(t, name != "" && !strings.ContainsAny(name, " \t\r\n:\x00"), "%q", name)
			for _, value := range values {
				assert.Assert(t, !strings.ContainsAny(value, "\r\n\x00"), "%q", value)
			}
		}
		body, err := io.ReadAll(response.Body)
		assert.Assert(t, len(body) <= len(text))
		if length := response.Header.Get("Content-Length"); err == nil && length != "" && len(body) > 0 {
			assert.Assert(t, strings.Contains(string(text), string(body)))
		}
	})
}
