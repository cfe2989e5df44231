package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// lateHeartbeat stops and starts a daemon, as planned, after it has acknowledged that its server is gone; a heartbeat that the server sent
// before arrives late. The rule is broken if requests reach the server later than drainTime after that
// acknowledgement, sent on by daemons that have run for the stable time.
func lateHeartbeat(rec *record, trouble bool) (bool, error) {
	const (
		drainTime  = 2 * time.Second
		stableTime = 3 * time.Second
		graceTime  = 6 * time.Second
		lateness   = 7 * time.Second // of the heartbeat
		linger     = 12 * time.Second
		pause      = 12 * time.Millisecond
	)
	f, err := newFleet(rec, "284MiB", "front", "shop", "shop", "shop")
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return false, err
	}
	var servers []*server
	for i, m := range f.daemons {
		v, err := startServer(f, m, fmt.Sprintf("i-%s-%d", m.service, i+1), 20)
		if err != nil {
			return false, err
		}
		v.work = func(*http.Request) time.Duration { return 500 * time.Millisecond }
		defer v.end()
		servers = append(servers, v)
	}
	if err := f.putConfig(configuration(1, 2, false, "front", "shop")); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeatInterval)

	origin, leaving := f.daemons[0], servers[1]
	calls := f.address(leaving.machine, f.ports.calls)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	statuses := map[int]int{}
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			clients.Go(func() {
				q := request{id: fmt.Sprintf("q-%d", n), method: "POST", host: "shop.example", path: "/shelf/x", deadline: 2 * time.Second}
				a := send(f.address(origin, f.ports.outbound), q)
				rec.logf("client at %s: %s: status %d %v", origin.name, q.id, a.status, a.err)
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(2 * time.Second)

	// A heartbeat is sent and held up on its way; the server then takes itself out of service.
	late := leaving.heartbeat("ready")
	lateSent := time.Now()
	rec.logf("server %s sends a heartbeat that arrives %v late: %s", leaving.id, lateness, late)
	leaving.silent.Store(true)
	time.Sleep(callTimeout)
	leaving.leaving.Store(true) // its health check fails from now on
	status, _ := f.call(calls, "instances.deregister", leaving.id, "")
	acknowledged := time.Now()
	rec.logf("server %s deregisters: response %d", leaving.id, status)
	if status != 200 {
		return false, fmt.Errorf("the deregistration gets %d", status)
	}
	restarted := time.Time{}
	if trouble {
		select {
		case <-f.signal(leaving.machine, syscall.SIGTERM):
		case <-time.After(graceTime):
			<-f.signal(leaving.machine, syscall.SIGKILL)
		}
		rec.logf("%s: process ended", leaving.machine.name)
		if err := f.writeSettings(leaving.machine, false); err != nil {
			return false, err
		}
		if err := f.start(leaving.machine); err != nil {
			return false, err
		}
		restarted = time.Now()
	}
	time.Sleep(time.Until(lateSent.Add(lateness)))
	status, _ = f.call(calls, "instances.heartbeat", leaving.id, late)
	rec.logf("the late heartbeat arrives: response %d", status)
	time.Sleep(time.Until(acknowledged.Add(linger)))
	leaving.end()
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()

	afterDrain, cut := 0, 0
	for _, r := range leaving.list() {
		if r.began.Before(acknowledged.Add(drainTime)) || trouble && r.began.Before(restarted.Add(stableTime)) {
			continue
		}
		afterDrain++
		if r.broken || r.ended.IsZero() {
			cut++
		}
		rec.logf("server %s ran %s %.1f s after its leave was acknowledged, answered: %t", leaving.id, r.id, r.began.Sub(acknowledged).Seconds(), !r.broken && !r.ended.IsZero())
	}
	rec.logf("statuses at the clients: %v; requests that reached the server too late: %d, of these broken off by its end: %d", statuses, afterDrain, cut)
	return afterDrain > 0, nil
}
