package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case.
const (
	oddSequence  = 1 << 53         // of the odd heartbeat
	oddDrain     = 2 * time.Second // drain_s
	oddServes    = 7 * time.Second // how long the server goes on serving after its draining was acknowledged
	oddSlots     = 108
	oddCallers   = 24
	oddRunTime   = 40 * time.Millisecond
	oddCallPause = 40 * time.Millisecond // at most
)

// oddCase lets another writer leave one heartbeat with a sequence number that is too large. The server that it names then
// drains, and may get no request later than drain_s after that was acknowledged.
func oddCase(r *record, trouble bool) bool {
	f := newFleet(r, "front", "books", "books", "books")
	defer f.stop()
	front, drained := f.daemons()[0], f.daemons()[3]
	var mu sync.Mutex
	var arrivals []arrival
	var servers []*server
	for i, n := range f.daemons() {
		s := newServer(n, fmt.Sprintf("i-%d", i), oddSlots)
		s.run = func(conn net.Conn, _ *bufio.Reader, q *http.Request, _ []byte) bool {
			id := q.Header.Get("X-Attempt-Id")
			if n == drained {
				mu.Lock()
				arrivals = append(arrivals, arrival{id, time.Now()})
				mu.Unlock()
			}
			time.Sleep(oddRunTime)
			return s.answer(conn, id, "body of "+id)
		}
		if err := s.listen(); err != nil {
			setupFailed("server: %v", err)
		}
		defer s.stop()
		servers = append(servers, s)
	}
	f.putConfig(configText(1, 0, nil, []route{
		{Name: "read", Kind: "safe", Prefix: "/read/", Service: "books", Timeout: 2, Public: true},
		{Name: "post", Kind: "unsafe", Prefix: "/post/", Service: "books", Timeout: 2, Public: true},
	}, []string{"front", "books"}))
	f.awaitReady(f.daemons()...)
	time.Sleep(2 * time.Second)
	var stop atomic.Bool
	var callers sync.WaitGroup
	for i := range oddCallers {
		callers.Go(func() { oddCaller(f, front, i, &stop) })
	}
	time.Sleep(2 * time.Second)

	leaver := servers[3]
	if trouble {
		writer := newServer(drained, leaver.id, oddSlots)
		writer.born, writer.admin = leaver.born, f.controls()[0].at(portAdmin)
		r.printf("another writer sends a heartbeat of %s with the sequence number %d to %s: %d",
			leaver.id, oddSequence, f.controls()[0].name, writer.heartbeat("ready", oddSequence, time.Second))
	}
	time.Sleep(2 * time.Second)
	leaver.leaving.Store(true)
	leaver.stopBeat()
	sequence := leaver.sequence.Add(1)
	status := leaver.heartbeat("draining", sequence, time.Second)
	acked := time.Now()
	r.printf("heartbeat %d (draining) of %s: %d", sequence, leaver.id, status)
	if status != http.StatusOK {
		setupFailed("the draining was not acknowledged")
	}
	time.Sleep(oddServes)
	stop.Store(true)
	callers.Wait()

	mu.Lock()
	defer mu.Unlock()
	wrong := 0
	for _, a := range arrivals {
		if a.at.Sub(acked) > oddDrain {
			wrong++
			if wrong <= 10 {
				r.printf("request %s reached %s %.2f s after the acknowledgement", a.id, leaver.id, a.at.Sub(acked).Seconds())
			}
		}
	}
	r.printf("%d requests reached %s later than %s after it was acknowledged as draining", wrong, leaver.id, oddDrain)
	return wrong == 0
}

// oddCaller sends requests one after the other.
func oddCaller(f *fleet, front *node, index int, stop *atomic.Bool) {
	for i := 0; !stop.Load(); i++ {
		q := request{method: "GET", path: "/read/x", id: fmt.Sprintf("c%d-%d", index, i), deadline: 2 * time.Second}
		if i%2 == 1 {
			q.method, q.path = "POST", "/post/x"
		}
		a := send(front.at(portIngress), q)
		f.record.printf("client %s: %d", strings.Join([]string{q.id, q.method}, " "), a.status)
		time.Sleep(rand.N(oddCallPause))
	}
}
