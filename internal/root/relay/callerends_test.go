package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type (
	// witness records what a daemon reads from its callers, and lets its reads begin and end late.
	witness struct {
		mu     sync.Mutex
		random *rand.Rand
		conns  []*witnessedConn
	}

	witnessedConn struct {
		*net.TCPConn
		witness *witness
		read    bytes.Buffer // guarded by witness.mu
	}

	// witnessedCaller sends requests and records the answers on one connection.
	witnessedCaller struct {
		random   *rand.Rand
		conn     net.Conn
		answered map[string]bool
		closing  bool // a response has announced the end
	}
)

// late returns for how long a goroutine has no processor time: seldom, and then longer than all timeouts of the test.
func (w *witness) late() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch n := w.random.IntN(100); {
	case n < 3:
		return time.Duration(150+w.random.IntN(150)) * time.Millisecond
	case n < 20:
		return time.Duration(w.random.IntN(20)) * time.Millisecond
	}
	return 0
}

func (c *witnessedConn) Read(p []byte) (int, error) {
	time.Sleep(c.witness.late())
	n, err := c.TCPConn.Read(p)
	c.witness.mu.Lock()
	c.read.Write(p[:n])
	c.witness.mu.Unlock()
	time.Sleep(c.witness.late())
	return n, err
}

// wholeRequests returns the ids of the requests that were read whole on the connection.
func (c *witnessedConn) wholeRequests() (ids []string) {
	c.witness.mu.Lock()
	defer c.witness.mu.Unlock()
	reader := bufio.NewReader(bytes.NewReader(c.read.Bytes()))
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return ids
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return ids
		}
		ids = append(ids, r.Header.Get("Id"))
	}
}

// run sends requests and reads until the daemon has ended the connection.
func (c *witnessedCaller) run(name string) {
	reader := bufio.NewReader(c.conn)
	sent := 0
	for sent < 12 {
		batch := 1 + c.random.IntN(3)
		var text strings.Builder
		for range batch {
			text.WriteString(c.request(fmt.Sprintf("%s-%d", name, sent)))
			sent++
		}
		if !c.send(text.String()) {
			break
		}
		for range batch {
			if !c.receive(reader) {
				return
			}
		}
		time.Sleep(time.Duration(c.random.IntN(260)) * time.Millisecond) // the idle timeout is 100 ms or 200 ms
	}
	for c.receive(reader) {
	}
}

// request returns one request.
func (c *witnessedCaller) request(id string) string {
	path := []string{"/open/echo", "/once/echo", fmt.Sprintf("/open/slow?ms=%d", c.random.IntN(120)), "/once/slow?ms=60"}[c.random.IntN(4)]
	head := fmt.Sprintf("%s HTTP/1.1\r\nHost: shop.example\r\nId: %s\r\n", path, id)
	switch c.random.IntN(6) {
	case 0:
		return "POST " + head + "Content-Length: 5\r\n\r\nhello"
	case 1:
		return "POST " + head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	case 2:
		if c.random.IntN(4) == 0 {
			return "GET " + head + "Connection: close\r\n\r\n"
		}
	}
	return "GET " + head + "\r\n"
}

// send sends the text at once or in two parts, the second of which may come too late.
func (c *witnessedCaller) send(text string) bool {
	cut := len(text)
	if c.random.IntN(4) == 0 {
		cut = c.random.IntN(len(text))
	}
	if _, err := io.WriteString(c.conn, text[:cut]); err != nil {
		return false
	}
	if cut < len(text) {
		time.Sleep(time.Duration(c.random.IntN(150)) * time.Millisecond)
		_, _ = io.WriteString(c.conn, text[cut:])
	}
	return true
}

// receive reads one response.
func (c *witnessedCaller) receive(reader *bufio.Reader) bool {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false
	}
	c.answered[response.Header.Get("Id")] = true
	c.closing = c.closing || response.Close
	return true
}

// Guards against requests that a daemon has read whole and that get neither an answer nor a refusal, while timeouts pass,
// connections are closed to make room, the configuration changes, goroutines run late and the daemon stops.
func TestNoRequestThatWasReadEndsWithoutAnAnswer(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { testCallerEnds(t, seed) })
	}
}

func testCallerEnds(t *testing.T, seed uint64) {
	const callers, connections = 30, 24
	f := newTestFleet(t, 2)
	for _, route := range f.control.set.Routes {
		route.Deadline = 30 * time.Second
	}
	f.setLimits(100*time.Millisecond, 100*time.Millisecond)
	w := &witness{random: rand.New(rand.NewPCG(seed, 1))}
	frontend, address := f.serveBehind(connections, func(conn *net.TCPConn) net.Conn {
		wrapped := &witnessedConn{TCPConn: conn, witness: w}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.conns = append(w.conns, wrapped)
		return wrapped
	})
	frontend.BodyStall = 100 * time.Millisecond
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var mu sync.Mutex
	ended := map[string]*witnessedCaller{} // by the beginning of its requests' ids
	for i := range callers {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i+2)))
			for n := 0; ctx.Err() == nil; n++ {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				c := &witnessedCaller{random: random, conn: conn, answered: map[string]bool{}}
				name := fmt.Sprintf("%d-%d", i, n)
				c.run(name)
				_ = conn.Close()
				mu.Lock()
				ended[name] = c
				mu.Unlock()
			}
		})
	}
	for i := range 15 {
		time.Sleep(100 * time.Millisecond)
		f.setLimits(100*time.Millisecond, time.Duration(100+100*(i%2))*time.Millisecond)
	}
	frontend.StartDraining()
	time.Sleep(300 * time.Millisecond)
	frontend.RefuseRequests()
	stop()
	running.Wait()
	f.waitUntil("the connections have ended", func() bool { return frontend.Connections() == 0 })
	read, unanswered := 0, 0
	for _, conn := range w.conns {
		for _, id := range conn.wholeRequests() {
			read++
			caller := ended[id[:strings.LastIndex(id, "-")]]
			runs := f.daemons[0].server.runs(id) + f.daemons[1].server.runs(id)
			if !caller.answered[id] {
				unanswered++
				assert.Check(t, caller.closing && runs == 0, "%s was read, ran %d times and has no answer", id, runs)
			}
		}
	}
	t.Logf("%d connections, %d requests read whole, %d without an answer behind a response that announced the end", len(w.conns), read, unanswered)
}
