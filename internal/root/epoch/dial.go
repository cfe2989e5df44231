package epoch

import (
	"errors"
	"net"
)

// Refused reports whether a failed exchange shows that no process of the server listens. A connection that is not made in
// time does not: the server may hang, or this daemon may have had no processor time.
func Refused(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial" && !dial.Timeout()
}
