package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["chaos"] = chaos }

func gen(id string, n int) []byte {
	h := fnv.New64a()
	h.Write([]byte(id))
	seed := h.Sum64()
	out := make([]byte, n)
	pat := []byte(fmt.Sprintf("[%s:%x]", id, seed))
	for i := 0; i < n; i += len(pat) {
		copy(out[i:], pat)
	}
	return out
}

type chaosState struct {
	r     *record
	mu    sync.Mutex
	runs  map[string]int
	notes map[string]int
	probs int
	ok    atomic.Int64
	other map[string]int
	kinds map[string]chaosReq
}

func (c *chaosState) problem(format string, args ...any) {
	c.mu.Lock()
	c.probs++
	n := c.probs
	c.mu.Unlock()
	if n < 80 {
		c.r.printf("PROBLEM "+format, args...)
	}
}

func (c *chaosState) count(what string) {
	c.mu.Lock()
	c.other[what]++
	c.mu.Unlock()
}

func chaosServer(c *chaosState, n *node, id string) *server {
	s := newServer(n, id, 100)
	return s
}

// serveChaos replaces server.serve with a reader that may answer early.
func (c *chaosState) serveConn(s *server, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var lateCopy []byte
	var lateAt time.Time
	var writing sync.Mutex // a copy comes between two answers
	for {
		if lateCopy != nil {
			// write the copy late, maybe while idle, maybe when next request is expected
			go func(b []byte, at time.Time) {
				time.Sleep(time.Until(at))
				writing.Lock()
				conn.Write(b)
				writing.Unlock()
			}(lateCopy, lateAt)
			lateCopy = nil
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			if err != io.EOF && !strings.Contains(err.Error(), "reset") && !strings.Contains(err.Error(), "closed") && !strings.Contains(err.Error(), "unexpected EOF") {
				c.problem("server %s: unreadable request %v", s.id, err)
			}
			return
		}
		aid := r.Header.Get("X-Attempt-Id")
		if r.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		if e := r.Header.Get("X-Expect-Instance"); e != "" && e != s.id {
			io.Copy(io.Discard, r.Body)
			fmt.Fprintf(conn, "HTTP/1.1 421 X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", aid)
			continue
		}
		q := r.URL.Query()
		up, _ := strconv.Atoi(q.Get("up"))
		size, _ := strconv.Atoi(q.Get("size"))
		ms, _ := strconv.Atoi(q.Get("ms"))
		mode, frame := q.Get("mode"), q.Get("frame")
		if q.Get("id") != aid {
			c.problem("server: request %s has the target of %s", aid, q.Get("id"))
		}
		if !strings.HasPrefix(q.Get("m"), r.Method) {
			c.problem("server: request %s method %s", aid, r.Method)
		}
		if r.Header.Get("X-Caller-Service") != "front" {
			c.problem("server: request %s caller %q", aid, r.Header.Get("X-Caller-Service"))
		}
		head := func(status string, extra string) string {
			return fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\n%s", status, aid, aid, extra)
		}
		if mode == "refuse" || mode == "refuse2" || mode == "earlyrefuse" {
			if mode != "earlyrefuse" {
				io.Copy(io.Discard, r.Body)
			}
			msg := []byte(fmt.Sprintf("HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull", aid))
			writing.Lock()
			_, err := conn.Write(msg)
			writing.Unlock()
			if err != nil {
				return
			}
			if mode == "earlyrefuse" {
				time.Sleep(30 * time.Millisecond)
				io.Copy(io.Discard, r.Body)
			}
			if mode == "refuse2" {
				lateCopy, lateAt = msg, time.Now().Add(time.Duration(rand.IntN(60))*time.Millisecond)
			}
			continue
		}
		c.mu.Lock()
		c.runs[aid]++
		c.mu.Unlock()
		if mode == "early" {
			io.CopyN(io.Discard, r.Body, 100)
		} else {
			got, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			if !bytes.Equal(got, gen("req"+aid, up)) {
				c.problem("server: request %s body of %d bytes, want %d, equal prefix? %t", aid, len(got), up, bytes.HasPrefix(gen("req"+aid, up), got))
			}
		}
		time.Sleep(time.Duration(ms) * time.Millisecond)
		if mode == "hang" {
			io.Copy(io.Discard, conn)
			return
		}
		if mode == "fail" {
			writing.Lock()
			fmt.Fprintf(conn, "%s", head("500 Failed", "Content-Length: 3\r\n\r\nbad"))
			writing.Unlock()
			continue
		}
		body := gen("resp"+aid, size)
		var out bytes.Buffer
		switch frame {
		case "chunk":
			out.WriteString(head("200 OK", "Transfer-Encoding: chunked\r\n\r\n"))
			for rest := body; len(rest) > 0; {
				k := min(len(rest), 1+rand.IntN(30000))
				fmt.Fprintf(&out, "%x\r\n%s\r\n", k, rest[:k])
				rest = rest[k:]
			}
			out.WriteString("0\r\n\r\n")
		case "end":
			out.WriteString(head("200 OK", "Connection: close\r\n\r\n"))
			out.Write(body)
		default:
			out.WriteString(head("200 OK", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))))
			out.Write(body)
		}
		text := out.Bytes()
		writing.Lock()
		switch mode {
		case "trunc":
			conn.Write(text[:len(text)-1-rand.IntN(len(text)/2)])
			return
		case "reset":
			conn.Write(text[:len(text)-1-rand.IntN(len(text)/2)])
			time.Sleep(5 * time.Millisecond)
			conn.(*net.TCPConn).SetLinger(0)
			return
		case "slow":
			for k := 0; k < len(text); {
				e := min(len(text), k+1+len(text)/5)
				if _, err := conn.Write(text[k:e]); err != nil {
					writing.Unlock()
					return
				}
				k = e
				time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
			}
		default:
			if _, err := conn.Write(text); err != nil {
				writing.Unlock()
				return
			}
		}
		writing.Unlock()
		if frame == "end" {
			return
		}
		switch mode {
		case "extra":
			conn.Write(text)
		case "late":
			lateCopy, lateAt = text, time.Now().Add(time.Duration(rand.IntN(150))*time.Millisecond)
		case "early":
			time.Sleep(20 * time.Millisecond)
			got, err := io.ReadAll(r.Body)
			want := gen("req"+aid, up)
			if err == nil && !bytes.Equal(got, want[min(100, len(want)):]) {
				c.problem("server: rest of request %s body has other bytes (%d of %d)", aid, len(got), len(want)-100)
			}
			if err != nil {
				return
			}
		}
	}
}

type chaosReq struct {
	id, method, path string
	up, size         int
	chunked          bool
	mode, frame      string
	timeout          time.Duration
	leave            bool
}

func newChaosReq(rnd *rand.Rand, id string, pipelined bool) chaosReq {
	pick := func(s ...string) string { return s[rnd.IntN(len(s))] }
	q := chaosReq{id: id, method: "GET", timeout: 3 * time.Second}
	kind := "safe"
	if !pipelined && rnd.IntN(2) == 0 {
		q.method, kind = "POST", "once"
		q.up = []int{0, 10, 5000, 40000, 300000, 12 << 20}[rnd.IntN(6)]
		if q.up == 12<<20 && rnd.IntN(3) > 0 {
			q.up = 100
		}
		q.chunked = rnd.IntN(3) == 0
	}
	q.mode = pick("ok", "ok", "ok", "ok", "ok", "ok", "extra", "late", "trunc", "reset", "refuse", "refuse2", "slow", "fail", "early", "earlyrefuse")
	if rnd.IntN(100) == 0 {
		q.mode = "hang"
	}
	q.frame = pick("len", "len", "chunk", "end")
	if (q.mode == "trunc" || q.mode == "reset") && q.frame == "end" {
		q.frame = "chunk"
	}
	q.size = []int{1, 200, 6000, 70000, 600000, 10 << 20}[rnd.IntN(6)]
	if q.size == 10<<20 && rnd.IntN(3) > 0 {
		q.size = 3000
	}
	ms := rnd.IntN(60)
	q.path = fmt.Sprintf("/%s/x?id=%s&m=%s&up=%d&size=%d&ms=%d&mode=%s&frame=%s", kind, url.QueryEscape(id), q.method, q.up, q.size, ms, q.mode, q.frame)
	q.leave = rnd.IntN(40) == 0
	return q
}

func (q chaosReq) write(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: the-key\r\n", q.method, q.path, q.id, q.timeout.Milliseconds())
	body := gen("req"+q.id, q.up)
	if q.chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			k := min(len(body), 50000)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", k, body[:k])
			body = body[k:]
		}
		b.WriteString("0\r\n\r\n")
	} else {
		if q.method == "POST" {
			fmt.Fprintf(&b, "Content-Length: %d\r\n", q.up)
		}
		b.WriteString("\r\n")
		b.Write(body)
	}
	_, err := w.Write(b.Bytes())
	return err
}

func (c *chaosState) check(q chaosReq, a answer, started time.Time, fault *atomic.Int64) {
	took := time.Since(started)
	c.mu.Lock()
	c.kinds[q.id] = q
	c.mu.Unlock()
	if q.mode == "ok" && a.status != 200 && a.status != 503 {
		c.r.printf("note %s ok-mode got %d %v %+v", q.id, a.status, a.err, q)
	}
	if took > q.timeout+900*time.Millisecond && q.mode != "slow" {
		c.count(fmt.Sprintf("late mode=%s", q.mode))
	}
	switch {
	case a.status == 200:
		if !a.whole {
			c.count("200 cut " + q.mode)
			return
		}
		if a.id != q.id || a.seal != "seal-"+q.id || a.body != string(gen("resp"+q.id, q.size)) {
			c.problem("client %s mode %s frame %s: 200 id %s seal %s body %d of %d", q.id, q.mode, q.frame, a.id, a.seal, len(a.body), q.size)
			return
		}
		c.ok.Add(1)
	case a.status == 0:
		c.count(fmt.Sprintf("none mode=%s: %.60v", q.mode, a.err))
	case a.seal != "":
		if a.status != 500 || a.seal != "seal-"+q.id {
			c.problem("client %s: status %d seal %s", q.id, a.status, a.seal)
		}
	case a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421:
		c.mu.Lock()
		c.notes[q.id] = a.status
		c.mu.Unlock()
		c.count(fmt.Sprint("refused ", a.status))
	default:
		c.count(fmt.Sprintf("status %d mode=%s", a.status, q.mode))
	}
}

func chaos(r *record, trouble bool) bool {
	c := &chaosState{r: r, runs: map[string]int{}, notes: map[string]int{}, other: map[string]int{}, kinds: map[string]chaosReq{}}
	f := newFleet(r, "front", "books", "books", "books")
	defer f.stop()
	for i, n := range f.daemons() {
		s := newServer(n, fmt.Sprintf("i-%d", i), 100)
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			setupFailed("%v", err)
		}
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
		{Name: "s", Kind: "safe", Prefix: "/safe/", Service: "books", Timeout: 3},
		{Name: "o", Kind: "unsafe", Prefix: "/once/", Service: "books", Timeout: 3},
	}, []string{"front", "books"}))
	f.awaitReady(f.daemons()...)
	time.Sleep(time.Second)
	front := f.daemons()[0]
	seconds := 40
	if v, err := strconv.Atoi(os.Getenv("CHAOS_SECONDS")); err == nil {
		seconds = v
	}
	until := time.Now().Add(time.Duration(seconds) * time.Second)
	var wg sync.WaitGroup
	var fault atomic.Int64
	for w := range 24 {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(w)))
			for i := 0; time.Now().Before(until); {
				conn, err := net.DialTimeout("tcp", front.at(portIngress), time.Second)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				reader := bufio.NewReaderSize(conn, 64<<10)
				for k := 0; k < 20 && time.Now().Before(until); k++ {
					var batch []chaosReq
					n := 1
					if w%3 == 0 {
						n = 1 + rnd.IntN(6)
					}
					for range n {
						i++
						batch = append(batch, newChaosReq(rnd, fmt.Sprintf("w%d-%d", w, i), n > 1))
					}
					_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
					started := time.Now()
					go func() {
						for _, q := range batch {
							if q.write(conn) != nil {
								return
							}
						}
					}()
					broken := false
					if batch[0].leave {
						time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
						c.count("left")
						break
					}
					for _, q := range batch {
						var a answer
						response, err := http.ReadResponse(reader, &http.Request{Method: q.method})
						if err != nil {
							a.err = err
							c.check(q, a, started, &fault)
							broken = true
							break
						}
						body, err := io.ReadAll(response.Body)
						a = answer{status: response.StatusCode, seal: response.Header.Get("X-Server-Seal"), id: response.Header.Get("X-Attempt-Id"), body: string(body), whole: err == nil, err: err}
						c.check(q, a, started, &fault)
						if response.Close || err != nil {
							broken = true
							break
						}
					}
					if broken {
						break
					}
					if reader.Buffered() > 0 {
						c.problem("bytes with no request waiting")
					}
				}
				_ = conn.Close()
			}
		})
	}
	if trouble {
		for time.Now().Before(until) {
			time.Sleep(time.Duration(200+rand.IntN(900)) * time.Millisecond)
			n := f.nodes[rand.IntN(len(f.nodes))]
			switch rand.IntN(3) {
			case 0:
				n.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(100+rand.IntN(1500)) * time.Millisecond)
				n.signal(syscall.SIGCONT)
			case 1:
				n.signal(syscall.SIGKILL)
				n.awaitExit(time.Second)
				time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
				n.start()
			case 2:
				n.signal(syscall.SIGTERM)
				if !n.awaitExit(6500 * time.Millisecond) {
					c.problem("%s did not exit", n.name)
					n.signal(syscall.SIGKILL)
					n.awaitExit(time.Second)
				}
				n.start()
			}
		}
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	c.mu.Lock()
	for id, n := range c.runs {
		if n > 1 && c.kinds[id].method == "POST" {
			r.printf("TWICE %s %d %+v", id, n, c.kinds[id])
			c.probs++
		}
		if st, ok := c.notes[id]; ok && n > 0 {
			c.other[fmt.Sprintf("answered %d and has run", st)]++
			if c.kinds[id].method == "POST" {
				r.printf("REFUSED %s %d runs %d %+v", id, st, n, c.kinds[id])
			}
		}
	}
	for k, v := range c.other {
		r.printf("%6d %s", v, k)
	}
	c.mu.Unlock()
	r.printf("ok %d problems %d", c.ok.Load(), c.probs)
	return c.probs == 0
}
