package call

import (
	"bufio"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/segmentio/encoding/proto"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const limitRules = `service reader slots=4 connections=50
service writer slots=4 connections=50
route GET /outer service=reader access=open run=idempotent deadline=1m retries=0
route POST /once service=writer access=keyed run=once deadline=1m retries=0
route GET /inner service=writer access=open run=idempotent deadline=1m
`

func manyFields(header http.Header) {
	for range maxHeaders + 1 {
		header.Add("Some", "x")
	}
}

// Guards against a nested call with more header fields than a message holds that is told as possibly run, or sent again.
func TestNestedCallAboveMessageLimit(t *testing.T) {
	f := newFleet(t, 2, clock.Real{}, limitRules)
	var runs atomic.Int64
	f.serve(1, "writer", 4, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	f.serve(0, "reader", 4, func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequest(http.MethodGet, "http://"+f.nodes[0].Local.Addr().String()+"/inner", nil)
		assert.Check(t, err)
		manyFields(request.Header)
		request.Header.Set(HeaderCall, r.Header.Get(HeaderCall))
		inner := do(request)
		assert.Check(t, inner.err)
		assert.Check(t, inner.StatusCode == http.StatusRequestHeaderFieldsTooLarge, "status %d", inner.StatusCode)
		assert.Check(t, inner.Header.Get(HeaderOutcome) == string(retry.NotRun), inner.Header.Get(HeaderOutcome))
	})
	assert.Equal(t, f.request(0, "GET", "/outer", "").StatusCode, http.StatusOK)
	assert.Equal(t, runs.Load(), int64(0))
}

// Guards against a header that fits the daemon's setting but no frame, and is told as possibly run.
func TestHeaderAboveFrame(t *testing.T) {
	f := newFleet(t, 2, clock.Real{}, limitRules)
	f.serve(1, "writer", 4, func(http.ResponseWriter, *http.Request) {})
	set := f.set
	match, ok := set.Match(http.MethodGet, "/inner")
	assert.Assert(t, ok)
	request := &Request{
		ID: "id", Rules: set, Route: match.Route, Method: http.MethodGet, Target: "/inner", Header: http.Header{"Some": {strings.Repeat("x", maxFrame)}},
		Started: time.Now(), Deadline: time.Now().Add(time.Minute), Budget: retry.NewBudget(0),
	}
	outcome, ok := f.nodes[0].forwarder.Forward(t.Context(), request, &streamingSink{}).(failed)
	assert.Assert(t, ok)
	assert.Equal(t, outcome.Failure, retry.Failure(retry.HeaderTooLarge{}))
	assert.Assert(t, outcome.Final)
}

// Guards against an invalid call of another daemon that is not told that it was not run.
func TestInvalidCallHead(t *testing.T) {
	f := newFleet(t, 1, clock.Real{}, limitRules)
	dialer := &link.Dialer{Name: "raw", Secret: []byte("a secret of the fleet")}
	defer dialer.Close()
	many := &RequestHead{RequestID: "id", Instance: "i", Method: "GET", Target: "/", Timeout: time.Minute, ContentLength: -1, Header: make([]field.Field, maxHeaders+1)}
	for i := range many.Header {
		many.Header[i] = field.Field{Name: "Some", Value: "x"}
	}
	for reason, head := range map[retry.Reason]*RequestHead{
		"header-too-large": many,
		"bad-request":      {RequestID: strings.Repeat("x", 100), Instance: "i", Method: "GET", Target: "/", Timeout: time.Minute},
	} {
		stream, err := dialer.Open(t.Context(), f.nodes[0].peer, link.StreamCall)
		assert.NilError(t, err)
		assert.NilError(t, stream.SetDeadline(time.Now().Add(20*time.Second)))
		body, err := proto.Marshal(head)
		assert.NilError(t, err)
		assert.NilError(t, wire.WriteFrame(stream, kindRequestHead, body))
		frame, err := wire.ReadFrame(bufio.NewReader(stream), maxFrame)
		assert.NilError(t, err)
		assert.Equal(t, frame.Kind, kindRefusal)
		refusal, err := wire.Decode[Refusal](frame.Body)
		assert.NilError(t, err)
		assert.Equal(t, refusal.Reason, reason)
		assert.Equal(t, refusal.Outcome, retry.NotRun)
		_ = stream.Close()
	}
}

// Guards against a response with more header fields than a message holds that is not told as possibly run.
func TestResponseAboveMessageLimit(t *testing.T) {
	f := newFleet(t, 2, clock.Real{}, limitRules)
	f.serve(1, "writer", 4, func(w http.ResponseWriter, _ *http.Request) { manyFields(w.Header()) })
	for range 3 {
		response := f.request(0, "POST", "/once", "", HeaderKey+": "+goodKey)
		assert.Equal(t, response.StatusCode, http.StatusBadGateway)
		assert.Equal(t, response.Header.Get(HeaderOutcome), string(retry.Unknown))
	}
}

// Guards against an idempotency record that a route with a long path can never have.
func TestRecordOfLongRoute(t *testing.T) {
	path := "/" + strings.Repeat("p", 1000)
	f := newFleet(t, 1, clock.Real{}, "service writer slots=4 connections=50\nroute POST "+path+" service=writer access=keyed run=once deadline=1m retries=0\n")
	f.serve(0, "writer", 4, func(http.ResponseWriter, *http.Request) {})
	response := f.request(0, "POST", path, "", HeaderKey+": "+goodKey, HeaderIdempotencyKey+": k")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable) // the fake has no record
	f.nodes[0].control.mu.Lock()
	defer f.nodes[0].control.mu.Unlock()
	assert.NilError(t, f.nodes[0].control.scope.Check())
}
