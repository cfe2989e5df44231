package daemon

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards requirement R6 against a client account that exceeds its rate and burst by sending through every daemon at
// once, and against requests that are neither refused nor run.
func TestRateAcrossDaemons(t *testing.T) {
	const rate, burst = 50, 20
	extra := fmt.Sprintf("account slow rate=%d/s burst=%d # requested by Lou\nkey slow %s # requested by Lou\n", rate, burst, keyHash("slow-key"))
	f := newFleet(t, 3, 3, testRules(1, "Ana", extra))
	library := newBackend(t, f.daemons["d1"], "library", echo)
	f.eventually("a response", func() bool {
		return newCaller().send(f.daemons["d2"], "GET", "/works/1", "", "").status == http.StatusOK
	})
	var mu sync.Mutex
	var admitted []time.Time
	var wg sync.WaitGroup
	var refused atomic.Int64
	for i := range 90 { // far more than the queue for tokens holds
		wg.Go(func() {
			c := newCaller()
			for range 6 {
				result := c.send(f.daemons[fmt.Sprint("d", i%3+1)], "POST", "/kudos/slow", "slow-key", "")
				switch {
				case result.status == http.StatusOK:
					mu.Lock()
					admitted = append(admitted, time.Now())
					mu.Unlock()
				case result.status == http.StatusTooManyRequests:
					refused.Add(1)
					assert.Check(t, result.outcome() == "not-run")
				}
			}
		})
	}
	started := time.Now()
	wg.Wait()
	// The bound uses the elapsed time, so that it holds on a slow machine too.
	allowed := burst + rate*time.Since(started).Seconds()
	assert.Assert(t, float64(len(admitted)) <= allowed, "%d requests admitted, %.0f allowed", len(admitted), allowed)
	assert.Assert(t, len(admitted) > 0 && refused.Load() > 0, "%d admitted, %d refused", len(admitted), refused.Load())
	assert.Equal(t, library.count("POST", "/kudos/slow"), len(admitted))
}

// Guards against a retried request that crashes one backend server after another. It has to be quarantined after
// three crashes, and no other instance may crash.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := newFleet(t, 3, 3, testRules(1, "Ana", ""))
	var crashes atomic.Int64
	for _, name := range []string{"d1", "d2", "d3"} {
		newCrashingBackend(t, f.daemons[name], &crashes)
	}
	c := newCaller()
	f.eventually("three instances", func() bool {
		return c.send(f.daemons["c1"], "GET", "/works/1", "", "").status == http.StatusOK
	})
	f.eventually("the quarantine", func() bool {
		return newCaller().send(f.daemons["c1"], "GET", "/works/crash", "", "").reason() == "quarantined"
	})
	// A daemon that has not received the quarantine yet may forward one more request, which another daemon then
	// refuses.
	for _, name := range []string{"d1", "d2", "d3", "c2", "c3"} {
		f.eventually("the quarantine at "+name, func() bool {
			return newCaller().send(f.daemons[name], "GET", "/works/crash", "", "").reason() == "quarantined"
		})
	}
	before := crashes.Load()
	for _, name := range []string{"d1", "d2", "d3", "c1", "c2", "c3"} {
		result := newCaller().send(f.daemons[name], "GET", "/works/crash", "", "")
		assert.Equal(t, result.status, http.StatusUnprocessableEntity)
		assert.Equal(t, result.outcome(), "not-run")
	}
	assert.Equal(t, crashes.Load(), before)
	f.eventually("other requests", func() bool {
		return c.send(f.daemons["c1"], "GET", "/works/2", "", "").status == http.StatusOK
	})
}

// crashingBackend is a backend server that crashes on /works/crash and restarts after a short time, as under a
// supervisor.
type crashingBackend struct {
	t       *testing.T
	daemon  *process
	address string
	crashes *atomic.Int64

	mu      sync.Mutex
	server  *http.Server
	start   int // number of the current incarnation
	stopped bool
}

func newCrashingBackend(t *testing.T, daemon *process, crashes *atomic.Int64) {
	b := &crashingBackend{t: t, daemon: daemon, address: freePorts(t, 1)[0], crashes: crashes}
	b.run()
	t.Cleanup(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.stopped = true
		if b.server != nil {
			_ = b.server.Close()
		}
	})
}

// run starts an incarnation and announces it until it crashes.
func (b *crashingBackend) run() {
	b.mu.Lock()
	defer b.mu.Unlock()
	listener, err := net.Listen("tcp", b.address)
	if b.stopped || err != nil {
		return
	}
	b.start++
	start, server := b.start, &http.Server{Handler: b}
	b.server = server
	go func() { _ = server.Serve(listener) }()
	go func() {
		announcer := &backend{address: b.address}
		for b.isCurrent(start) {
			_ = post(b.daemon.local, "/buckthorn/announce", announcer.announcement("library", fmt.Sprint(start)))
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

func (b *crashingBackend) isCurrent(start int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.stopped && b.start == start && b.server != nil
}

// ServeHTTP crashes on /works/crash: all connections and the listener are closed at once.
func (b *crashingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/works/crash" {
		echo(w, r)
		return
	}
	b.crashes.Add(1)
	b.mu.Lock()
	server := b.server
	b.server = nil
	b.mu.Unlock()
	if server != nil {
		_ = server.Close()
		time.AfterFunc(100*time.Millisecond, b.run)
	}
	panic(http.ErrAbortHandler)
}

// Guards requirement M1 against an idempotent request that fails because its daemon dies while the request runs:
// another instance has to serve it.
func TestIdempotentRequestSurvivesLostDaemon(t *testing.T) {
	f := newFleet(t, 1, 3, testRules(1, "Ana", ""))
	entered, release := make(chan struct{}, 10), make(chan struct{})
	defer close(release)
	newBackend(t, f.daemons["d2"], "library", blockGets(entered, release))
	f.eventually("the first instance", func() bool {
		return newCaller().send(f.daemons["d1"], "POST", "/kudos/1", "reader-key", "").status == http.StatusOK
	})
	results := make(chan callResult, 1)
	go func() { results <- newCaller().send(f.daemons["d1"], "GET", "/works/1", "", "") }()
	<-entered
	newBackend(t, f.daemons["d3"], "library", echo)
	f.eventually("the second instance", func() bool { return instancesOf(f, "d1") == 2 })
	f.daemons["d2"].kill()
	result := <-results
	assert.NilError(t, result.err)
	assert.Equal(t, result.status, http.StatusOK, result.reason())
}

// instancesOf returns the number of backend server instances in a daemon's view.
func instancesOf(f *fleet, name string) int {
	client := f.daemons[name].client()
	dump, err := client.Dump(f.t.Context(), "views")
	if err != nil || len(dump.Sections) != 1 {
		return 0
	}
	return len(dump.Sections[0].Rows)
}
