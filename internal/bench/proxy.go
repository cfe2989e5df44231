package bench

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
)

// countingProxy is a TCP proxy between daemons and a control instance. It counts the bytes in both directions,
// including the yamux headers and the handshake. It needs a single voter: with several, the daemons would be
// redirected to the address of the leader and bypass the proxy.
type countingProxy struct {
	address   string
	upBytes   atomic.Int64
	downBytes atomic.Int64
}

func startProxy(port int, target string) (*countingProxy, error) {
	listener, err := net.Listen("tcp", loopbackAddress(port))
	if err != nil {
		return nil, fmt.Errorf("bind counting proxy: %w", err)
	}
	p := &countingProxy{address: loopbackAddress(port)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn, target)
		}
	}()
	return p, nil
}

func (p *countingProxy) serve(daemon net.Conn, target string) {
	defer func() { _ = daemon.Close() }()
	control, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = control.Close() }()
	go func() {
		_, _ = io.Copy(control, &countingReader{Reader: daemon, counter: &p.upBytes})
		_ = control.Close()
	}()
	_, _ = io.Copy(daemon, &countingReader{Reader: control, counter: &p.downBytes})
}

// countingReader adds the number of bytes read to a counter.
type countingReader struct {
	io.Reader
	counter *atomic.Int64
}

// Read reads from the underlying reader and counts the bytes.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.counter.Add(int64(n))
	return n, err
}
