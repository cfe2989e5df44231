package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/crash"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/gate"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Guards against a request that is changed on its way, a key that reaches the server, and marks that a
// caller can set itself.
func TestRequestReachesServer(t *testing.T) {
	w := newWorld(t, 2)
	for i, d := range w.daemons {
		id := fmt.Sprint("r", i)
		response := w.ask(d, id, "/keyed/echo?x=%2F", "Key: rich-key\r\nAccount: forged\r\nOther: kept\r\n", "some body")
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, bodyOf(t, response), id+" some body")
		assert.Equal(t, response.Header.Get("Seal"), "s")
	}
	for _, d := range w.daemons {
		d.server.mu.Lock()
		for _, r := range d.server.seen {
			assert.Equal(t, r.RequestURI, "/keyed/echo?x=%2F")
			assert.Equal(t, r.Header.Get("Key"), "")
			assert.Equal(t, r.Header.Get("Account"), "rich")
			assert.Equal(t, r.Header.Get("Other"), "kept")
			assert.Equal(t, r.Header.Get("Expect-Instance"), "i-"+d.server.listener.Addr().String())
		}
		d.server.mu.Unlock()
	}
}

// Guards against wrong verdicts before any server is asked.
func TestRefusalsBeforeAnyServer(t *testing.T) {
	w := newWorld(t, 1)
	for _, c := range []struct {
		path, headers string
		status        int
		reason        string
	}{
		{"/nowhere/x", "", 404, "no-route"},
		{"/keyed/echo", "Key: unknown\r\n", 401, "key-unknown"},
		{"/keyed/echo", "", 401, "key-missing"},
		{"/keyed/echo", "Key: poor-key\r\n", 429, "rate"},
		{"/open/echo", "Big: " + strings.Repeat("x", 5<<10) + "\r\n", 431, "header-too-large"},
	} {
		response := w.ask(w.daemons[0], "r", c.path, c.headers, "")
		assert.Equal(t, response.StatusCode, c.status, c.path)
		assert.Equal(t, response.Header.Get("Reason"), c.reason)
	}
	assert.Equal(t, w.ask(w.daemons[0], "r", "/open/echo", "", strings.Repeat("x", 2<<20)).StatusCode, 413)
	assert.Equal(t, w.daemons[0].server.runs("r"), 0)
}

// Guards against final refusals under a configuration that may be out of date: the key may have been
// added and the route changed meanwhile.
func TestStaleDaemonRefusesForNow(t *testing.T) {
	w := newWorld(t, 1)
	w.control.mu.Lock()
	w.control.heard = time.Now().Add(-time.Hour)
	w.control.mu.Unlock()
	for _, path := range []string{"/nowhere/x", "/keyed/echo"} {
		response := w.ask(w.daemons[0], "r", path, "Key: rich-key\r\n", "")
		assert.Equal(t, response.Header.Get("Reason"), "stale-config", path)
	}
	assert.Equal(t, w.ask(w.daemons[0], "r", "/open/echo", "", "").StatusCode, 200)
}

// Replays a client account that asks for much more than its rate while the leader is well. Guards against daemons
// that add their own pace to what the leader grants (hunt-5423-35: 345 requests where 343 were allowed).
func TestNoPaceWhileTheLeaderAnswers(t *testing.T) {
	w := newWorld(t, 1)
	w.daemons[0].relay.Front.Path.Started = time.Now().Add(-startSpan)
	for i := range 60 {
		assert.Equal(t, w.ask(w.daemons[0], fmt.Sprint("a", i), "/keyed/echo", "Key: rich-key\r\n", "").StatusCode, 200)
	}
	w.control.mu.Lock()
	w.control.silent = true
	w.control.mu.Unlock()
	for i := range 8 {
		w.control.mu.Lock()
		w.control.heard = time.Now()
		w.control.mu.Unlock()
		response := w.ask(w.daemons[0], fmt.Sprint("b", i), "/keyed/echo", "Key: rich-key\r\n", "")
		assert.Equal(t, response.Header.Get("Reason"), "rate-unavailable")
	}
}

// Replays a restart of the whole fleet, in which callers press while the configuration is on its way. Guards
// against refusals that callers use their only repeat for, and against holding requests long after the start.
func TestRequestsWaitForTheFirstConfig(t *testing.T) {
	w := newWorld(t, 1)
	set := w.control.set
	setRules := func(to *rules.Set) {
		w.control.mu.Lock()
		defer w.control.mu.Unlock()
		w.control.set = to
	}
	setRules(nil)
	w.daemons[0].relay.Front.Path.Started = time.Now()
	time.AfterFunc(200*time.Millisecond, func() { setRules(set) })
	assert.Equal(t, w.ask(w.daemons[0], "r1", "/keyed/echo", "Key: rich-key\r\n", "").StatusCode, 200)

	setRules(nil)
	began := time.Now()
	assert.Equal(t, w.ask(w.daemons[0], "r2", "/open/echo", "Left: 100ms\r\n", "").Header.Get("Reason"), "stale-config")
	assert.Assert(t, time.Since(began) < 500*time.Millisecond, "held for %s of 100ms", time.Since(began))

	w.daemons[0].relay.Front.Path.Started = time.Now().Add(-startSpan)
	began = time.Now()
	assert.Equal(t, w.ask(w.daemons[0], "r3", "/open/echo", "", "").Header.Get("Reason"), "stale-config")
	assert.Assert(t, time.Since(began) < 500*time.Millisecond, "held for %s long after the start", time.Since(began))
}

// Replays the moment after a restart of the whole fleet at which the configuration is there and the servers are
// not all announced yet. Guards against refusals for want of a server that come too early.
func TestRequestsWaitForTheFirstServer(t *testing.T) {
	w := newWorld(t, 1)
	w.daemons[0].relay.Front.Path.Started = time.Now()
	w.control.mu.Lock()
	list := w.control.list
	w.control.list, w.control.version = nil, w.control.version+1
	w.control.mu.Unlock()
	time.AfterFunc(200*time.Millisecond, func() {
		w.control.mu.Lock()
		defer w.control.mu.Unlock()
		w.control.list, w.control.version = list, w.control.version+1
	})
	assert.Equal(t, w.ask(w.daemons[0], "r1", "/open/echo", "", "").StatusCode, 200)
}

// Guards against a request that a daemon which has just started holds for longer than its route allows.
func TestStartKeepsToTheTimeOfTheRoute(t *testing.T) {
	w := newWorld(t, 1)
	path := w.daemons[0].relay.Front.Path
	path.Started = time.Now()
	x := &passing{request: &Request{Timeout: time.Minute}, started: time.Now()}
	assert.Assert(t, path.patience(x) <= startWait)
	x.route = &rules.Route{Deadline: 400 * time.Millisecond}
	assert.Assert(t, path.patience(x) > 0 && path.patience(x) <= 200*time.Millisecond, "%s", path.patience(x))
	x.started = x.started.Add(-200 * time.Millisecond)
	assert.Equal(t, path.patience(x), time.Duration(0))
}

// Guards against refusing every keyed request while no control instance grants tokens.
func TestGoesOnWithoutGrants(t *testing.T) {
	w := newWorld(t, 1)
	for i := range 60 {
		assert.Equal(t, w.ask(w.daemons[0], fmt.Sprint("a", i), "/keyed/echo", "Key: rich-key\r\n", "").StatusCode, 200)
	}
	w.control.mu.Lock()
	w.control.silent, w.control.heard = true, time.Now().Add(-2*time.Second)
	w.control.mu.Unlock()
	served := 0
	for i := range 20 {
		if w.ask(w.daemons[0], fmt.Sprint("b", i), "/keyed/echo", "Key: rich-key\r\n", "").StatusCode == 200 {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, served >= 10, "%d of 20 served", served)
}

// Guards against an answer that is not the server's whole own answer to this request.
func TestSpoiltAnswers(t *testing.T) {
	for kind, want := range map[string]string{"extra": "mine", "late": "mine", "unframed": "all of it"} {
		w := newWorld(t, 1)
		for i := range 3 {
			response := w.ask(w.daemons[0], fmt.Sprint(kind, i), "/open/"+kind, "", "")
			assert.Equal(t, response.StatusCode, 200, kind)
			assert.Equal(t, bodyOf(t, response), want)
		}
	}
	for _, kind := range []string{"truncate", "unsealed", "garbage", "reset"} {
		w := newWorld(t, 1)
		response := w.ask(w.daemons[0], "r", "/once/"+kind, "", "")
		assert.Equal(t, response.StatusCode, 502, kind)
		assert.Equal(t, response.Header.Get("Outcome"), "unknown", kind)
		assert.Equal(t, w.daemons[0].server.runs("r"), 1, "%s: a request that may run once ran again", kind)
	}
}

// Guards against an idempotent request that is given up after one lost answer, and against more servers
// than its route allows.
func TestIdempotentRequestIsSentAgain(t *testing.T) {
	w := newWorld(t, 2)
	response := w.ask(w.daemons[0], "r", "/open/reset", "", "")
	assert.Equal(t, response.StatusCode, 502)
	runs := 0
	for _, d := range w.daemons {
		runs += d.server.runs("r")
	}
	assert.Equal(t, runs, 2)
}

// Guards against a refusal that says "not run" about a request that a server has run.
func TestShedIsNotRun(t *testing.T) {
	w := newWorld(t, 1)
	response := w.ask(w.daemons[0], "r", "/once/shed", "", "")
	assert.Equal(t, response.StatusCode, 503)
	assert.Equal(t, response.Header.Get("Outcome"), "not-run")
	failed := w.ask(w.daemons[0], "f", "/once/fail", "", "")
	assert.Equal(t, failed.StatusCode, 500)
	assert.Equal(t, bodyOf(t, failed), "bad")
	assert.Equal(t, w.daemons[0].server.runs("f"), 1)
}

// Guards against requests in a row that wait for the answer of the first before they are read, and against
// answers out of order.
func TestPipelinedRequests(t *testing.T) {
	w := newWorld(t, 1)
	conn, err := net.Dial("tcp", w.daemons[0].front)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	began := time.Now()
	for i, pause := range []int{400, 10, 10} {
		_, err := fmt.Fprintf(conn, "GET /open/slow?ms=%d HTTP/1.1\r\nHost: shop.example\r\nId: p%d\r\n\r\n", pause, i)
		assert.NilError(t, err)
	}
	reader := bufio.NewReader(conn)
	for i := range 3 {
		assert.Equal(t, bodyOf(t, readAnswer(t, reader)), fmt.Sprint("slow p", i))
	}
	assert.Assert(t, time.Since(began) < 700*time.Millisecond)
}

// Guards against servers that work on for callers who have left, over one daemon and over two.
func TestCallerThatLeavesCancelsItsRequest(t *testing.T) {
	w := newWorld(t, 2)
	for i, d := range w.daemons {
		for j := range 4 { // some of them go through the other daemon
			conn, err := net.Dial("tcp", d.front)
			assert.NilError(t, err)
			id := fmt.Sprint("g", i, j)
			_, err = fmt.Fprintf(conn, "GET /open/hold HTTP/1.1\r\nHost: shop.example\r\nId: %s\r\n\r\n", id)
			assert.NilError(t, err)
			w.awaitRun(id)
			assert.NilError(t, conn.Close())
			w.awaitGone(id)
		}
	}
}

func (w *world) awaitRun(id string) {
	w.t.Helper()
	for range 200 {
		for _, d := range w.daemons {
			if d.server.runs(id) > 0 {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.t.Fatalf("request %s reached no server", id)
}

func (w *world) awaitGone(id string) {
	w.t.Helper()
	timeout := time.After(500 * time.Millisecond)
	for {
		gone := make(chan string, 1)
		for _, d := range w.daemons {
			select {
			case ended := <-d.server.gone:
				gone <- ended
			default:
			}
			if len(gone) > 0 {
				break
			}
		}
		select {
		case ended := <-gone:
			if ended == id {
				return
			}
		case <-timeout:
			w.t.Fatalf("request %s is still at work", id)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Guards against an answer after the deadline of the route, and a server that is told of more time than is left.
func TestDeadline(t *testing.T) {
	w := newWorld(t, 1)
	began := time.Now()
	response := w.ask(w.daemons[0], "r", "/once/hold", "Left: 300ms\r\n", "")
	took := time.Since(began)
	assert.Equal(t, response.StatusCode, 504)
	assert.Assert(t, took >= 290*time.Millisecond && took < 600*time.Millisecond, "%s", took)
	w.daemons[0].server.mu.Lock()
	defer w.daemons[0].server.mu.Unlock()
	left, err := time.ParseDuration(w.daemons[0].server.seen[0].Header.Get("Left"))
	assert.NilError(t, err)
	assert.Assert(t, left <= 300*time.Millisecond)
}

// Guards against new work for a server that has said that it leaves, and against requests that fail
// although another server has room.
func TestLeavingServerGetsNothingMore(t *testing.T) {
	w := newWorld(t, 2)
	first := w.daemons[0]
	assert.NilError(t, first.relay.LocalBackend.Notice(context.Background(), first.notice(StateLeaving)))
	assert.NilError(t, first.relay.LocalBackend.Notice(context.Background(), first.notice(StateReady))) // one that was on its way
	for i := range 20 {
		id := fmt.Sprint("l", i)
		assert.Equal(t, w.ask(first, id, "/once/echo", "", "").StatusCode, 200)
		assert.Equal(t, first.server.runs(id), 0)
	}
}

// Guards against a full server whose requests are lost instead of being told so, and against tokens that
// are spent for requests which no server got.
func TestFullServersRefuse(t *testing.T) {
	w := newWorld(t, 1)
	for i := range 3 { // run times are known
		assert.Equal(t, w.ask(w.daemons[0], fmt.Sprint("k", i), "/keyed/slow?ms=200", "Key: rich-key\r\n", "").StatusCode, 200)
	}
	answers := make(chan *http.Response, 60)
	for i := range 60 {
		go func() {
			answers <- w.ask(w.daemons[0], fmt.Sprint("f", i), "/keyed/slow?ms=200", "Key: rich-key\r\n", "")
		}()
	}
	refused := 0
	for range 60 {
		response := <-answers
		if response.StatusCode == 503 {
			refused++
			assert.Equal(t, response.Header.Get("Outcome"), "not-run")
			after, err := time.ParseDuration(response.Header.Get("After"))
			assert.NilError(t, err)
			assert.Assert(t, after > 0)
		}
	}
	assert.Assert(t, refused >= 30 && refused < 60, "%d refused", refused)
	w.control.mu.Lock()
	defer w.control.mu.Unlock()
	assert.Equal(t, w.control.returned, refused)
}

// Guards against bodies and answers that do not fit into one frame.
func TestLongBodies(t *testing.T) {
	w := newWorld(t, 2)
	body := strings.Repeat("0123456789", 70_000)
	for i := range 6 { // some of them go through the other daemon
		response := w.ask(w.daemons[i%2], fmt.Sprint("b", i), "/open/echo", "", body)
		assert.Equal(t, response.StatusCode, 200)
		got, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasSuffix(string(got), body), "%d bytes", len(got))
	}
}

// Guards against a request that a leaving daemon takes late and gives up when it has to end.
func TestLeavingDaemonTakesNothingLate(t *testing.T) {
	w := newWorld(t, 2)
	d := w.daemons[0]
	drained := make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		d.relay.drain()
		drained <- time.Since(began)
	}()
	statuses := map[int]int{}
	for i := 0; len(drained) == 0; i++ {
		response := w.ask(d, fmt.Sprint("d", i), "/once/slow?ms=50", "", "")
		assert.Assert(t, response.Close, "the connection stays open")
		statuses[response.StatusCode]++
		if response.StatusCode != 200 {
			assert.Equal(t, response.Header.Get("Outcome"), "not-run")
			assert.Assert(t, time.Since(began) >= leaveNotice)
		}
	}
	took := <-drained
	assert.Assert(t, statuses[200] > 10 && statuses[503] > 0, "%v after %s", statuses, took)
	assert.Assert(t, took < 2900*time.Millisecond)
}

// Guards against a request that ends each server which runs it and is sent to the next one: it has to be
// reported when the server no longer accepts connections, and refused once it is quarantined.
func TestCrashingRequest(t *testing.T) {
	w := newWorld(t, 1)
	assert.Equal(t, w.ask(w.daemons[0], "c", "/open/crash", "", "").StatusCode, 502)
	reported := func() []string {
		w.control.mu.Lock()
		defer w.control.mu.Unlock()
		if len(w.control.crashes) == 0 {
			return nil
		}
		return w.control.crashes[0]
	}
	for range 100 {
		if reported() != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, len(reported()), 1)
	w.control.mu.Lock()
	w.control.blocked = map[string]wire.Stamp{w.control.crashes[0][0]: wire.StampOf(time.Now().Add(time.Minute))}
	w.control.mu.Unlock()
	refused := w.ask(w.daemons[0], "again", "/open/crash", "", "")
	assert.Equal(t, refused.Header.Get("Reason"), "quarantined")
	assert.Equal(t, refused.Header.Get("Outcome"), "not-run")
}

// Guards against a client account whose rate is used up by requests that are refused as quarantined.
func TestQuarantinedRequestTakesNoToken(t *testing.T) {
	w := newWorld(t, 1)
	fingerprint := crash.Fingerprint(http.MethodGet, "/keyed/crash", "rich", 0, nil)
	w.control.mu.Lock()
	w.control.blocked = map[string]wire.Stamp{fingerprint: wire.StampOf(time.Now().Add(time.Minute))}
	w.control.mu.Unlock()
	refused := w.ask(w.daemons[0], "r", "/keyed/crash", "Key: rich-key\r\n", "")
	assert.Equal(t, refused.Header.Get("Reason"), "quarantined")
	w.control.mu.Lock()
	defer w.control.mu.Unlock()
	assert.Equal(t, w.control.taken, 0)
}

// Guards against a server that stays out of use because the one request that was to find out whether it
// answers again was turned away by the gate.
func TestSilentServerIsTriedAgain(t *testing.T) {
	w := newWorld(t, 1)
	b := w.daemons[0].relay.LocalBackend
	assert.Equal(t, w.ask(w.daemons[0], "w", "/once/slow?ms=100", "", "").StatusCode, 200) // run times are known
	now := time.Now()
	late := &job{service: "shop", route: "/once/", arrived: now, deadline: now.Add(time.Millisecond), request: &Request{ID: "late"}}
	b.mu.Lock()
	var running []*gate.Ticket
	for range 2 { // the slots are taken, so that the gate refuses what cannot wait
		ticket := &gate.Ticket{Route: "/once/", Arrived: now, Deadline: now.Add(time.Minute)}
		b.current.gate.Offer(now, ticket)
		running = append(running, ticket)
	}
	b.current.silent = silentLimit
	b.mu.Unlock()
	_, _, refused := b.admit(context.Background(), late)
	assert.Assert(t, refused != nil)
	b.mu.Lock()
	for _, ticket := range running {
		b.current.gate.Done(now, ticket, gate.Aborted{})
	}
	b.mu.Unlock()
	assert.Equal(t, w.ask(w.daemons[0], "t", "/once/echo", "", "").StatusCode, 200)
}

// Replays callers that leave, one after the other. Guards against a server that counts as silent because nobody
// waited for its answers.
func TestCallersThatLeaveDoNotMakeAServerSilent(t *testing.T) {
	w := newWorld(t, 1)
	b := w.daemons[0].relay.LocalBackend
	for i := range silentLimit + 1 {
		now := time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		j := &job{
			service: "shop", route: "/open/", arrived: now, deadline: now.Add(time.Second),
			request: &Request{ID: fmt.Sprint("left", i), Method: http.MethodGet, Target: "/open/slow?ms=300", Host: "shop.example", Header: http.Header{}},
		}
		time.AfterFunc(20*time.Millisecond, cancel)
		b.serve(ctx, j)
		cancel()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Equal(t, b.current.silent, 0)
}
