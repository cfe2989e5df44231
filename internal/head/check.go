package head

import (
	"errors"
	"fmt"
	"net/http"
)

const (
	minStatus = 100
	maxStatus = 599
)

var (
	// ErrMalformed reports a message whose head is malformed, so that neither its body nor its end can be trusted.
	ErrMalformed = errors.New("malformed head of an HTTP message")

	tokenBytes = tokenTable()
)

// CheckStatus returns an error for a status that no response has.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}
	return nil
}

// CheckFinal returns an error for a status that no final response has.
func CheckFinal(status int) error {
	if status < http.StatusOK {
		return fmt.Errorf("%w: status %03d is not final", ErrMalformed, status)
	}
	return CheckStatus(status)
}

// CheckField returns an error for a field whose name is not a token, or whose value has control bytes.
func CheckField(name, value string) error {
	if name == "" {
		return fmt.Errorf("%w: empty field name", ErrMalformed)
	}
	for i := range len(name) {
		if !tokenBytes[name[i]] {
			return fmt.Errorf("%w: field name with the byte %#02x", ErrMalformed, name[i])
		}
	}
	for i := range len(value) {
		if isControlByte(value[i]) {
			return fmt.Errorf("%w: field value with the byte %#02x", ErrMalformed, value[i])
		}
	}
	return nil
}

// CheckHeader returns an error for a field that CheckField refuses.
func CheckHeader(header http.Header) error {
	for name, values := range header {
		for _, value := range values {
			if err := CheckField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// CheckResponse returns an error for a response, interim or final, whose head is malformed. A response that switches
// protocols is malformed too, because no request asks for it.
func CheckResponse(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return fmt.Errorf("%w: version %d", ErrMalformed, response.ProtoMajor)
	case response.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %d without an upgrade", ErrMalformed, response.StatusCode)
	}
	if err := CheckStatus(response.StatusCode); err != nil {
		return err
	}
	return CheckHeader(response.Header)
}

// CheckRequest returns an error for a request whose head is malformed.
func CheckRequest(request *http.Request) error {
	if request.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %d", ErrMalformed, request.ProtoMajor)
	}
	return CheckHeader(request.Header)
}

// tokenTable returns which bytes a token may contain (RFC 9110, section 5.6.2).
func tokenTable() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		table[c] = true
	}
	return table
}

// isControlByte reports whether a field value must not contain the byte; a horizontal tab is allowed.
func isControlByte(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f }
