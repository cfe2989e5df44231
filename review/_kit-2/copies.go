package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case. The shares are those at or below those of the site: srv_grey (shed) has x = 0.45 there, garble (extra late) x = 0.03.
const (
	copiesShed    = 0.08
	copiesExtra   = 0.03
	copiesSlots   = 108
	copiesCallers = 6
	copiesRunTime = 20 * time.Millisecond
	copiesPause   = 20 * time.Millisecond // at most
	copiesSpan    = 50 * time.Second
)

// copiesState is what the servers have run and the clients have got.
type copiesState struct {
	record *record

	mu      sync.Mutex
	runs    map[string]int // by id of the attempt
	refused map[string]int // statuses that promise "not run", by id of the attempt
	shed    int
	copies  int
	sent    int
}

// copiesServer serves a connection of a server that refuses a part of its requests, and that writes a part of these
// refusals a second time, late: before the next response on the connection.
func copiesRun(c *copiesState, s *server, extra bool) func(net.Conn, *bufio.Reader, *http.Request, []byte) bool {
	var late sync.Map // connection: copy that is still to be written
	return func(conn net.Conn, _ *bufio.Reader, q *http.Request, _ []byte) bool {
		id := q.Header.Get("X-Attempt-Id")
		if text, found := late.LoadAndDelete(conn); found {
			if _, err := conn.Write(text.([]byte)); err != nil {
				return false
			}
		}
		if rand.Float64() < copiesShed {
			refusal := fmt.Appendf(nil, "HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nfull\n", id)
			c.mu.Lock()
			c.shed++
			again := extra && rand.Float64() < copiesExtra
			if again {
				c.copies++
			}
			c.mu.Unlock()
			if again {
				late.Store(conn, refusal)
			}
			_, err := conn.Write(refusal)
			return err == nil
		}
		c.mu.Lock()
		c.runs[id]++
		c.mu.Unlock()
		c.record.printf("server %s runs %s", s.id, id)
		time.Sleep(copiesRunTime)
		return s.answer(conn, id, "body of "+id)
	}
}

// copiesCase sends unsafe requests to servers that refuse some of them, and that repeat some refusals. No request may run
// twice, and none that was answered as not run may run.
func copiesCase(r *record, trouble bool) bool {
	f := newFleet(r, "front", "orders")
	defer f.stop()
	front := f.daemons()[0]
	c := &copiesState{record: r, runs: map[string]int{}, refused: map[string]int{}}
	for i, n := range f.daemons() {
		s := newServer(n, fmt.Sprintf("i-%s-%d", n.service, i), copiesSlots)
		s.run = copiesRun(c, s, trouble)
		if err := s.listen(); err != nil {
			setupFailed("server: %v", err)
		}
		defer s.stop()
	}
	f.putConfig(configText(1, 0, nil, []route{
		{Name: "order", Kind: "unsafe", Prefix: "/order/", Service: "orders", Timeout: 2, Public: true},
	}, []string{"front", "orders"}))
	f.awaitReady(f.daemons()...)
	time.Sleep(2 * time.Second)
	var stop atomic.Bool
	var callers sync.WaitGroup
	for i := range copiesCallers {
		callers.Go(func() { copiesCaller(c, front, i, &stop) })
	}
	time.Sleep(copiesSpan)
	stop.Store(true)
	callers.Wait()
	time.Sleep(2 * time.Second) // what was sent runs
	return c.check()
}

func copiesCaller(c *copiesState, front *node, index int, stop *atomic.Bool) {
	for i := 0; !stop.Load(); i++ {
		id := fmt.Sprintf("o%d-%d", index, i)
		a := send(front.at(portIngress), request{method: "POST", path: "/order/x", id: id, deadline: 2 * time.Second, body: "order"})
		c.record.printf("client %s: %d", id, a.status)
		c.mu.Lock()
		c.sent++
		switch a.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			c.refused[id] = a.status
		}
		c.mu.Unlock()
		time.Sleep(rand.N(copiesPause))
	}
}

// check applies TWICE and REFUSED.
func (c *copiesState) check() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	twice, false503 := 0, 0
	for id, n := range c.runs {
		if n > 1 {
			twice++
			c.record.printf("TWICE: %s has run %d times", id, n)
		}
		if status, found := c.refused[id]; found {
			false503++
			c.record.printf("REFUSED: %s was answered %d and has run %d times", id, status, n)
		}
	}
	c.record.printf("%d requests, %d refusals by servers, %d of them repeated", c.sent, c.shed, c.copies)
	c.record.printf("%d requests have run more than once, %d were answered as not run and have run", twice, false503)
	return twice == 0 && false503 == 0
}
