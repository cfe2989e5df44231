package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// throttled reads at a limited rate, in small steps without a longer pause.
type throttled struct {
	reader io.Reader
	rate   int // bytes per second
}

// Read implements io.Reader.
func (t *throttled) Read(p []byte) (int, error) {
	const step = 20 * time.Millisecond
	if limit := int(float64(t.rate) * step.Seconds()); len(p) > limit {
		p = p[:limit]
	}
	n, err := t.reader.Read(p)
	time.Sleep(time.Duration(float64(n) / float64(t.rate) * float64(time.Second)))
	return n, err
}

// dialSmall connects with a small receive buffer, so that the kernel does not read ahead of the client.
func dialSmall(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
		})
	}}
	return dialer.Dial("tcp", address)
}

// slowReader lets clients read long answers slowly, but steadily and well within their deadline and the timeout of
// the route. Each client has sent further idempotent requests on its connection. The rule is broken if more than
// three requests that ran get no answer because the daemon closes the connection.
func slowReader(rec *record, trouble bool) (bool, error) {
	const (
		clientCount = 2
		stagger     = 2 * time.Second
		behind      = 3 // requests behind the long one
		size        = 12 << 20
		slow        = 700 << 10 // bytes per second: the answer takes 17.5 s
		deadline    = 60 * time.Second
	)
	f, err := newFleet(rec, "284MiB", "shop", "shop")
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return false, err
	}
	var servers []*server
	for i, m := range f.daemons {
		v, err := startServer(f, m, fmt.Sprintf("i-%d", i+1), 20)
		if err != nil {
			return false, err
		}
		defer v.end()
		v.answer = func(r *http.Request) []byte {
			if strings.HasSuffix(r.URL.Path, "/long") {
				return make([]byte, size)
			}
			return []byte("answer to " + r.Header.Get("X-Attempt-Id"))
		}
		servers = append(servers, v)
	}
	if err := f.putConfig(configuration(1, 60, true, "shop")); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeatInterval)
	rate := 100 << 20
	if trouble {
		rate = slow
	}
	var mu sync.Mutex
	answered := map[string]bool{}
	var clients sync.WaitGroup
	for c := range clientCount {
		clients.Go(func() {
			time.Sleep(time.Duration(c) * stagger)
			conn, err := dialSmall(f.address(f.daemons[0], f.ports.outbound))
			if err != nil {
				rec.logf("client %d: %v", c, err)
				return
			}
			defer func() { _ = conn.Close() }()
			var sent []request
			for n := range 1 + behind {
				q := request{id: fmt.Sprintf("c%d-%d", c, n), method: "GET", host: "shop.example", path: "/shelf/short", deadline: deadline}
				if n == 0 {
					q.path = "/shelf/long"
				}
				if _, err := io.WriteString(conn, q.text()); err != nil {
					rec.logf("client %d: send %s: %v", c, q.id, err)
					return
				}
				sent = append(sent, q)
				rec.logf("client %d sends %s for %s", c, q.id, q.path)
			}
			reader := bufio.NewReader(&throttled{reader: conn, rate: rate})
			for _, q := range sent {
				started := time.Now()
				a := readAnswer(reader, q)
				rec.logf("client %d: %s: status %d, %d bytes after %.1f s, %v", c, q.id, a.status, len(a.body), time.Since(started).Seconds(), a.err)
				if a.status == http.StatusOK && a.seal == sealOf(q.id, a.body) {
					mu.Lock()
					answered[q.id] = true
					mu.Unlock()
				}
			}
		})
	}
	clients.Wait()
	lost := 0
	for _, v := range servers {
		for _, r := range v.list() {
			if r.broken || r.ended.IsZero() {
				return false, fmt.Errorf("server %s did not answer %s", v.id, r.id)
			}
			if !answered[r.id] {
				lost++
				rec.logf("server %s ran %s and answered it in full; the client has no whole answer", v.id, r.id)
			}
		}
	}
	rec.logf("requests that ran and have no whole answer: %d", lost)
	return lost > 3, nil
}
