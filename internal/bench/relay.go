package bench

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
)

// relay passes connections on to a control instance and counts their bytes, the headers of yamux and the
// handshake included. It stands between daemons and a single voter, which never redirects them.
type relay struct {
	address string
	up      atomic.Int64
	down    atomic.Int64
}

func startRelay(port int, target string) (*relay, error) {
	listener, err := net.Listen("tcp", at(port))
	if err != nil {
		return nil, fmt.Errorf("bind relay: %w", err)
	}
	r := &relay{address: at(port)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn, target)
		}
	}()
	return r, nil
}

func (r *relay) serve(daemon net.Conn, target string) {
	defer func() { _ = daemon.Close() }()
	control, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = control.Close() }()
	go func() {
		_, _ = io.Copy(control, &counted{Reader: daemon, bytes: &r.up})
		_ = control.Close()
	}()
	_, _ = io.Copy(daemon, &counted{Reader: control, bytes: &r.down})
}

// counted adds the bytes read to a counter.
type counted struct {
	io.Reader
	bytes *atomic.Int64
}

// Read counts what it returns.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}
