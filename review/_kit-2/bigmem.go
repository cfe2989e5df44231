package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["bigmem"] = bigmem }

func hwm(n *node) string {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	for _, l := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(l, "VmHWM") {
			return strings.TrimSpace(strings.TrimPrefix(l, "VmHWM:"))
		}
	}
	return "gone"
}

func bigmem(r *record, trouble bool) bool {
	c := &chaosState{r: r, runs: map[string]int{}, notes: map[string]int{}, other: map[string]int{}, kinds: map[string]chaosReq{}}
	f := newFleet(r, "front", "books", "books", "books")
	defer f.stop()
	for i, n := range f.daemons() {
		s := newServer(n, fmt.Sprintf("i-%d", i), 100)
		l, _ := net.Listen("tcp", s.address)
		s.born = time.Now().UnixMilli()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go c.serveConn(s, conn)
			}
		}()
		go func() {
			for {
				s.heartbeat("ready", s.sequence.Add(1), time.Second)
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}
	tenants := []map[string]any{{"name": "t", "api_keys": []string{"the-key"}, "rate_per_s": 5000, "burst": 5000}}
	f.putConfig(configText(1, 0, tenants, []route{
		{Name: "s", Kind: "safe", Prefix: "/safe/", Service: "books", Timeout: 10},
		{Name: "o", Kind: "unsafe", Prefix: "/once/", Service: "books", Timeout: 10},
	}, []string{"front", "books"}))
	f.awaitReady(f.daemons()...)
	time.Sleep(time.Second)
	front := f.daemons()[0]
	var wg sync.WaitGroup
	var st [600]atomic.Int64
	until := time.Now().Add(25 * time.Second)
	for w := range 150 {
		wg.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				conn, err := net.DialTimeout("tcp", front.at(portIngress), time.Second)
				if err != nil {
					continue
				}
				conn.SetDeadline(time.Now().Add(14 * time.Second))
				id := fmt.Sprintf("b%d-%d", w, i)
				q := chaosReq{id: id, method: "GET", timeout: 9 * time.Second, mode: "ok", frame: "chunk", size: 5_900_000}
				kind := "safe"
				if w%2 == 0 {
					q.method, q.up, q.chunked, q.size, kind = "POST", 6_000_000, w%4 == 0, 100, "once"
				}
				q.path = fmt.Sprintf("/%s/x?id=%s&m=%s&up=%d&size=%d&ms=%d&mode=%s&frame=%s", kind, id, q.method, q.up, q.size, 5, q.mode, q.frame)
				if q.write(conn) == nil {
					if w%2 == 1 {
						time.Sleep(1500 * time.Millisecond) // reads late
					}
					response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
					if err == nil {
						io.Copy(io.Discard, response.Body)
						st[response.StatusCode].Add(1)
					} else {
						st[0].Add(1)
					}
				}
				conn.Close()
			}
		})
	}
	wg.Wait()
	for i := range st {
		if v := st[i].Load(); v > 0 {
			r.printf("status %d: %d", i, v)
		}
	}
	for _, n := range f.nodes {
		r.printf("%s running %t peak %s", n.name, n.running(), hwm(n))
	}
	return true
}
