package head

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInterim bounds the interim responses before a final one. net/http has no bound where they are looked at.
const maxInterim = 5

type (
	// Transport sends requests through Base and refuses responses whose head, interim heads or trailer is malformed.
	Transport struct{ Base http.RoundTripper }

	// checkedBody checks the trailer when the body has ended.
	checkedBody struct {
		io.ReadCloser
		response *http.Response
	}
)

// RoundTrip implements http.RoundTripper. An error that wraps ErrMalformed means that the server may have run the
// request.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	count := 0
	interim := &httptrace.ClientTrace{Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
		count++
		if count > maxInterim {
			return fmt.Errorf("%w: more than %d interim responses", ErrMalformed, maxInterim)
		}
		if err := CheckStatus(status); err != nil {
			return err
		}
		return CheckHeader(http.Header(header))
	}}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), interim))
	response, err := t.Base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = checkedBody{ReadCloser: response.Body, response: response}
	return response, nil
}

// Read implements io.Reader.
func (b checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := CheckHeader(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
