package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of the case, from the deregistration of a server.
const (
	leftDrain     = 2 * time.Second         // drain_s
	leftKill      = 300 * time.Millisecond  // all processes are killed
	leftRestart   = 1000 * time.Millisecond // and are back
	leftLate      = 1300 * time.Millisecond // a heartbeat arrives that was sent before
	leftInTouch   = 6 * time.Second         // twice stable_window_s, from the restart
	leftExit      = 9 * time.Second         // the server exits
	leftEnd       = 11 * time.Second
	leftSlots     = 108
	leftCallers   = 24
	leftRunTime   = 40 * time.Millisecond
	leftCallPause = 40 * time.Millisecond // at most
)

// arrival is a request that a server has run.
type arrival struct {
	id string
	at time.Time
}

// leftCase deregisters a server, kills all processes and lets a heartbeat arrive late. The server may get no request
// later than drain_s after its deregistration was acknowledged.
func leftCase(r *record, trouble bool) bool {
	f := newFleet(r, "front", "books", "books", "books")
	defer f.stop()
	front, victim := f.daemons()[0], f.daemons()[3]
	var mu sync.Mutex
	var arrivals []arrival
	var lost atomic.Int64 // requests that may not be repeated and that may have run
	var servers []*server
	for i, n := range f.daemons() {
		s := newServer(n, fmt.Sprintf("i-%d", i), leftSlots)
		s.run = func(conn net.Conn, _ *bufio.Reader, q *http.Request, _ []byte) bool {
			id := q.Header.Get("X-Attempt-Id")
			if n == victim {
				mu.Lock()
				arrivals = append(arrivals, arrival{id, time.Now()})
				mu.Unlock()
			}
			time.Sleep(leftRunTime)
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
	for i := range leftCallers {
		callers.Go(func() { leftCaller(f, front, i, &stop, &lost) })
	}
	time.Sleep(2 * time.Second)
	leaver := servers[3]
	late := leaver.sequence.Add(1) // sent now, arrives later
	leaver.leaving.Store(true)
	leaver.stopBeat()
	status := leaver.post("instances.deregister", "", time.Second)
	acked := time.Now()
	r.printf("server %s deregisters: %d; its heartbeat %d is on its way", leaver.id, status, late)
	if status != http.StatusOK {
		setupFailed("the deregistration was not acknowledged")
	}
	counted := acked.Add(leftDrain)
	if trouble {
		time.Sleep(time.Until(acked.Add(leftKill)))
		for _, n := range f.nodes {
			n.signal(syscall.SIGKILL)
		}
		r.printf("all processes are killed")
		for _, n := range f.nodes {
			n.awaitExit(time.Second)
		}
		time.Sleep(time.Until(acked.Add(leftRestart)))
		for _, n := range f.nodes {
			n.start()
		}
		r.printf("all processes are started again")
		counted = time.Now().Add(leftInTouch)
	}
	time.Sleep(time.Until(acked.Add(leftLate)))
	r.printf("heartbeat %d (ready) of %s arrives late: %d", late, leaver.id, leaver.heartbeat("ready", late, time.Second))
	time.Sleep(time.Until(acked.Add(leftExit)))
	before := lost.Load()
	r.printf("server %s exits", leaver.id)
	leaver.stop()
	time.Sleep(time.Until(acked.Add(leftEnd)))
	stop.Store(true)
	callers.Wait()

	r.printf("%d POST requests ended with 502 or 504 after the exit", lost.Load()-before)

	mu.Lock()
	defer mu.Unlock()
	wrong := 0
	for _, a := range arrivals {
		if a.at.After(counted) {
			wrong++
			if wrong <= 10 {
				r.printf("request %s reached %s %.2f s after the acknowledgement", a.id, leaver.id, a.at.Sub(acked).Seconds())
			}
		}
	}
	r.printf("%d requests reached server %s later than %.2f s after the acknowledgement", wrong, leaver.id, counted.Sub(acked).Seconds())
	return wrong == 0
}

// leftCaller sends requests one after the other.
func leftCaller(f *fleet, front *node, index int, stop *atomic.Bool, lost *atomic.Int64) {
	for i := 0; !stop.Load(); i++ {
		q := request{method: "GET", path: "/read/x", id: fmt.Sprintf("c%d-%d", index, i), deadline: 2 * time.Second}
		if i%2 == 1 {
			q.method, q.path = "POST", "/post/x"
		}
		a := send(front.at(portIngress), q)
		f.record.printf("client %s %s: %d", q.id, q.method, a.status)
		if q.method == "POST" && (a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout) {
			lost.Add(1)
		}
		time.Sleep(rand.N(leftCallPause))
	}
}
