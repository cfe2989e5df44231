package call

import (
	"bufio"
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// resetConn is a stream that the daemon of the server resets after it has sent some bytes.
type resetConn struct {
	net.Conn
	sent []byte
}

func (c *resetConn) Read(p []byte) (int, error) {
	if len(c.sent) == 0 {
		return 0, link.ErrReset
	}
	n := copy(p, c.sent)
	c.sent = c.sent[n:]
	return n, nil
}

// Guards against a request whose outcome is reported as unknown, and that is not sent to another server, although the
// daemon of the server has reset its stream without accepting it, as at a stop; and against the contrary for a stream that
// was accepted.
func TestRequestOfAResetStream(t *testing.T) {
	admitted := make([]byte, wire.HeaderSize)
	wire.PutHeader(admitted, kindAdmitted, 0)
	for _, test := range []struct {
		sent []byte
		want retry.Failure
	}{
		{nil, retry.Unreached{}}, {admitted, retry.BackendLost{}},
	} {
		stream := &link.Stream{Conn: &resetConn{sent: test.sent}}
		call := &outgoingCall{stream: stream, reader: bufio.NewReader(stream), lent: 2}
		attempt := (&Forwarder{}).receiveHead(context.Background(), &Request{}, call, &snap.Endpoint{})
		assert.DeepEqual(t, attempt.failure, test.want)
	}
}
