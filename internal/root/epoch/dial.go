package epoch

import (
	"errors"
	"net"
)

// DialFailed reports whether an exchange failed because no connection was made.
func DialFailed(err error) bool { return dialError(err) != nil }

// Refused reports whether an exchange failed because no process of the server listens. A connection that is not made in
// time does not show that: the server may hang, or this daemon may have had no processor time.
func Refused(err error) bool {
	dial := dialError(err)
	return dial != nil && !dial.Timeout()
}

func dialError(err error) *net.OpError {
	var found *net.OpError
	if errors.As(err, &found) && found.Op == "dial" {
		return found
	}
	return nil
}
