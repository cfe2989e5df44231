package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeatInterval = 1500 * time.Millisecond

type (
	// server is a stand-in for the application server of a machine.
	server struct {
		fleet   *fleet
		machine *machine
		id      string
		slots   int
		born    int64
		// work is how long a request runs; nil means 20 ms.
		work func(r *http.Request) time.Duration
		// answer returns the body of a response; nil means a short text.
		answer func(r *http.Request) []byte

		sequence atomic.Uint64
		leaving  atomic.Bool
		silent   atomic.Bool // sends no more heartbeats
		http     *http.Server
		cancel   context.CancelFunc

		mu   sync.Mutex
		runs []run
	}

	// run is a request that a server began to work on.
	run struct {
		id, caller, expected, path string
		began, ended               time.Time
		broken                     bool // the connection closed before the answer
	}
)

func startServer(f *fleet, m *machine, id string, slots int) (*server, error) {
	v := &server{fleet: f, machine: m, id: id, slots: slots, born: time.Now().UnixMilli()}
	listener, err := net.Listen("tcp", f.address(m, f.ports.server))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.http = &http.Server{Handler: v, IdleTimeout: 10 * time.Second}
	go func() { _ = v.http.Serve(listener) }()
	go v.sendHeartbeats(ctx)
	return v, nil
}

// end ends the server as a process that exits: its connections close at once.
func (v *server) end() {
	v.fleet.rec.logf("server %s beside %s ends", v.id, v.machine.name)
	v.cancel()
	_ = v.http.Close()
}

// ServeHTTP answers a health check or runs a request.
func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", v.id)
		if v.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != v.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		v.fleet.rec.logf("server %s beside %s rejects %s, which is for %s", v.id, v.machine.name, id, expected)
		return
	}
	this := run{id: id, caller: r.Header.Get("X-Caller-Service"), expected: r.Header.Get("X-Expect-Instance"), path: r.URL.Path, began: time.Now()}
	v.mu.Lock()
	index := len(v.runs)
	v.runs = append(v.runs, this)
	v.mu.Unlock()
	work := 20 * time.Millisecond
	if v.work != nil {
		work = v.work(r)
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done(): // the caller has closed the connection
		v.finish(index, true)
		return
	}
	body := []byte("answer to " + id)
	if v.answer != nil {
		body = v.answer(r)
	}
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(id))
	_, _ = sum.Write(body)
	w.Header().Set("X-Server-Seal", fmt.Sprintf("%016x", sum.Sum64()))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := w.Write(body)
	v.finish(index, err != nil)
}

func (v *server) finish(index int, broken bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runs[index].ended, v.runs[index].broken = time.Now(), broken
}

// list returns a copy of the runs so far.
func (v *server) list() []run {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]run{}, v.runs...)
}

// heartbeat returns the body of the next heartbeat.
func (v *server) heartbeat(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_s":0,"sequence":%d,"born":%d}`,
		v.machine.service, v.fleet.address(v.machine, v.fleet.ports.server), v.machine.zone, v.slots, state, v.sequence.Add(1), v.born)
}

// sendHeartbeats reports to the daemon of the machine until ctx ends.
func (v *server) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		if !v.silent.Load() {
			v.fleet.call(v.fleet.address(v.machine, v.fleet.ports.calls), "instances.heartbeat", v.id, v.heartbeat("ready"))
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}
