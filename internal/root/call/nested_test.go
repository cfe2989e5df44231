package call

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
)

// sendNested sends a nested call of the parent request r to the local address of a daemon.
func sendNested(n *node, r *http.Request, method, target string, header ...string) testResponse {
	return send(n.Local.Addr().String(), method, target, "", append(header, HeaderCall+": "+r.Header.Get(HeaderCall))...)
}

// Guards against retries that multiply from layer to layer of a deep call graph.
func TestDeepRetries(t *testing.T) {
	const depth = 10
	lines := ""
	for i := range depth {
		nested := " nested=only"
		if i == 0 {
			nested = ""
		}
		lines += fmt.Sprintf("service s%d slots=100 connections=100 retry-share=100%%\nroute GET /s%d service=s%d access=open run=idempotent importance=normal deadline=1m retries=2%s\n", i, i, i, nested)
	}
	for _, fail := range []string{"every hop", "last hop", "no response"} {
		t.Run(fail, func(t *testing.T) {
			f := newFleet(t, 2, clock.Real{}, lines)
			var sends atomic.Int64
			for i := range depth {
				for d := range 2 {
					n := f.nodes[d]
					f.serve(d, fmt.Sprintf("s%d", i), 100, func(w http.ResponseWriter, r *http.Request) {
						sends.Add(1)
						status := 200
						if i < depth-1 {
							if got := sendNested(n, r, "GET", fmt.Sprintf("/s%d", i+1)); got.err == nil {
								status = got.StatusCode
							}
						} else {
							status = 503
						}
						if fail == "every hop" {
							status = 503
						}
						if fail == "no response" {
							panic(http.ErrAbortHandler)
						}
						w.WriteHeader(status)
					})
				}
			}
			got := f.request(0, "GET", "/s0", "")
			assert.NilError(t, got.err)
			assert.Assert(t, got.StatusCode >= 500, got.StatusCode)
			assert.Assert(t, sends.Load() <= depth+2, "%d sends", sends.Load())
			assert.Assert(t, sends.Load() > depth, "%d sends", sends.Load()) // the budget is used
		})
	}
}

// Guards against parallel nested calls that spend the same retries, and against a call token that is valid
// after its request has ended, at another daemon, or at ingress.
func TestNestedCalls(t *testing.T) {
	f := newFleet(t, 2, clock.Real{}, `service front slots=10 connections=50
service back slots=100 connections=100 retry-share=100%
route GET /front service=front access=keyed run=idempotent importance=bulk deadline=1m retries=2
route GET /back service=back access=keyed run=idempotent importance=critical deadline=1m retries=2 nested=only
`)
	var sends atomic.Int64
	var token string
	f.serve(0, "front", 10, func(w http.ResponseWriter, r *http.Request) {
		token = r.Header.Get(HeaderCall)
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() { sendNested(f.nodes[0], r, "GET", "/back") })
		}
		group.Wait()
		got := sendNested(f.nodes[1], r, "GET", "/back")
		assert.Check(t, got.err == nil && got.StatusCode == 401)
	})
	f.serve(1, "back", 100, func(w http.ResponseWriter, r *http.Request) {
		sends.Add(1)
		assert.Check(t, r.Header.Get(HeaderAccount) == "quill")
		w.WriteHeader(503)
	})
	got := f.request(0, "GET", "/front", "", "Buckthorn-Key: "+goodKey)
	assert.NilError(t, got.err)
	assert.Assert(t, sends.Load() >= 8 && sends.Load() <= 8+2, "%d sends", sends.Load())
	late := send(f.nodes[0].Local.Addr().String(), "GET", "/back", "", HeaderCall+": "+token)
	assert.NilError(t, late.err)
	assert.Equal(t, late.StatusCode, 401)
	forged := f.request(0, "GET", "/back", "", HeaderCall+": "+token)
	assert.Equal(t, forged.StatusCode, 404)
}

// Guards against a key or a forged header field that reaches a backend server. The golden file has all headers
// of one session.
func TestSession(t *testing.T) {
	f := newFleet(t, 2, clock.Real{}, `service front slots=10 connections=50
service back slots=10 connections=50
route POST /front service=front access=keyed run=idempotent importance=normal deadline=1m
route GET /back service=back access=keyed run=idempotent importance=normal deadline=1m nested=only
`)
	var mu sync.Mutex
	var text strings.Builder
	record := func(who, line string, header http.Header) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(&text, "%s %s\n", who, line)
		for _, name := range slices.Sorted(maps.Keys(header)) {
			value := strings.Join(header[name], " | ")
			if slices.Contains([]string{"Date", HeaderCall, HeaderRequest, HeaderAttempt, HeaderDeadline}, name) {
				value = "*"
			}
			fmt.Fprintf(&text, "  %s: %s\n", name, value)
		}
	}
	f.serve(1, "front", 10, func(w http.ResponseWriter, r *http.Request) {
		record("front got", r.Method+" "+r.RequestURI, r.Header)
		got := sendNested(f.nodes[1], r, "GET", "/back", "Buckthorn-Account: reed", "Authorization: Bearer "+otherKey)
		record("front heard", got.Status, got.Header)
		_, _ = io.WriteString(w, got.body)
	})
	f.serve(0, "back", 10, func(w http.ResponseWriter, r *http.Request) {
		record("back got", r.Method+" "+r.RequestURI, r.Header)
		w.Header().Set("Buckthorn-Outcome", "not-run")
		_, _ = io.WriteString(w, "text")
	})
	got := f.request(0, "POST", "/front?page=1", "body",
		"Authorization: Bearer "+goodKey, "Buckthorn-Key: "+goodKey, "Buckthorn_Account: reed", "Buckthorn-Call: forged",
		"Proxy-Authorization: Basic x", "Proxy_Authorization: Basic x", "Cookie: session="+goodKey, "Referer: /?k=%6B"+goodKey[1:],
		"X-"+goodKey+": 1", "X-Kept: 1", "Connection: X-Hop", "X-Hop: 1", "Te: trailers", "X-Forwarded-For: 192.0.2.1")
	record("caller heard", got.Status, got.Header)
	assert.Assert(t, !strings.Contains(strings.ToLower(text.String()), goodKey))
	golden.Assert(t, text.String(), "session.golden")
}

// Guards against a graceful shutdown that aborts a download, refuses nested calls of running requests, or
// continues to accept calls.
func TestDrain(t *testing.T) {
	f := newFleet(t, 2, clock.Real{}, `service front slots=10 connections=50
service back slots=10 connections=50
route GET /front service=front access=open run=idempotent importance=normal deadline=1m
route GET /back service=back access=open run=idempotent importance=normal deadline=1m
`)
	entered, resume := make(chan struct{}, 2), make(chan struct{})
	release := sync.OnceFunc(func() { close(resume) })
	defer release()
	f.serve(0, "front", 10, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, 256<<10))
		entered <- struct{}{}
		<-resume
		got := sendNested(f.nodes[0], r, "GET", "/back")
		_, _ = io.WriteString(w, got.body)
	})
	f.serve(1, "back", 10, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "nested") })
	responses := make(chan testResponse, 2)
	for i := range 2 { // a download through the leaving daemon, and one through another daemon
		go func() { responses <- f.request(i, "GET", "/front", "") }()
		<-entered
	}
	f.nodes[0].stop()
	// New calls fail after the leaving daemon has closed its listener.
	for {
		if got := send(f.nodes[0].Ingress.Addr().String(), "GET", "/back", ""); got.err != nil {
			break
		}
	}
	assert.Assert(t, f.nodes[0].control.drained.Load())
	refused := f.request(1, "GET", "/front", "")
	assert.Equal(t, refused.Header.Get(HeaderReason), "draining")
	release()
	for range 2 {
		got := <-responses
		assert.NilError(t, got.err)
		assert.Equal(t, len(got.body), 256<<10+len("nested"))
	}
	<-f.nodes[0].ended
}
