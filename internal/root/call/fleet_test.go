package call

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	goodKey       = "key-of-quill-0123456789"
	otherKey      = "key-of-reed-0123456789"
	minLeaveDelay = time.Duration(1)
	withdrawnKey  = "key-withdrawn-0123456789"
)

type (
	// fakeControl is a Control with fixed results. Its fields are set before the call that uses them.
	fakeControl struct {
		snapshot atomic.Pointer[snap.Snapshot]
		drained  atomic.Bool
		refused  atomic.Int64

		mu       sync.Mutex
		token    TokenVerdict
		once     state.OnceVerdict
		scope    state.OnceScope // of the latest record
		finished []*state.OnceFinish
	}

	// fleet is a set of daemons in one process that share the rules and the lists of backend servers.
	fleet struct {
		t     testing.TB
		set   *rules.Set
		nodes []*node
		mu    sync.Mutex // guards the lists of instances
		lists map[string]*snap.Endpoints

		zonesChanged chan struct{} // in all published snapshots
	}

	node struct {
		*Traffic
		control *fakeControl
		peer    string
		stop    context.CancelFunc
		ended   chan struct{}
	}
)

func (c *fakeControl) Snapshot() *snap.Snapshot { return c.snapshot.Load() }

func (c *fakeControl) TakeToken(context.Context, string) TokenVerdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.token
}

func (c *fakeControl) TokenState(string) TokenState { return TokenState{Limited: true, Unspent: 7} }

func (c *fakeControl) BeginOnce(_ context.Context, scope state.OnceScope, _ []byte) (state.Attempt, state.OnceVerdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scope = scope
	return state.Attempt{}, c.once
}

func (c *fakeControl) FinishOnce(_ context.Context, finish *state.OnceFinish) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = append(c.finished, finish)
	return nil
}

func (c *fakeControl) Subscribe(context.Context, string) *snap.Endpoints { return nil }
func (c *fakeControl) Announce(context.Context, member.Announcement) (snap.Endpoint, error) {
	return snap.Endpoint{}, nil
}
func (c *fakeControl) Leave(context.Context, string) error { return nil }
func (c *fakeControl) ReportConnectionRefused(string)      { c.refused.Add(1) }
func (c *fakeControl) ReportCrash(uint64, []string)        {}
func (c *fakeControl) ClearSuspect(string)                 {}
func (c *fakeControl) StartDrain()                         { c.drained.Store(true) }

func hashOf(key string) string { return fmt.Sprintf("sha256:%x", sha256.Sum256([]byte(key))) }

// newFleet starts the given number of daemons. It adds a requester to each line of the rules.
// The options of the daemons can be changed.
func newFleet(t testing.TB, nodes int, clk clock.Clock, lines string, change ...func(*Options)) *fleet {
	t.Helper()
	text := "revision 1 # requested by Ana\n"
	lines = fmt.Sprintf("account quill rate=100/s burst=100\naccount reed rate=100/s burst=100\nkey quill %s\nkey reed %s\nkey quill %s state=withdrawn\n",
		hashOf(goodKey), hashOf(otherKey), hashOf(withdrawnKey)) + lines
	for line := range strings.Lines(lines) {
		if line = strings.TrimSpace(line); line != "" {
			text += line + " # requested by Ana\n"
		}
	}
	set, err := rules.Parse("rules", []byte(text))
	assert.NilError(t, err)
	f := &fleet{t: t, set: set, lists: map[string]*snap.Endpoints{}, zonesChanged: make(chan struct{})}
	for i := range nodes {
		f.start(i, clk, change...)
	}
	f.publish()
	return f
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

func (f *fleet) start(i int, clk clock.Clock, change ...func(*Options)) {
	name := fmt.Sprintf("daemon-%d", i)
	secret := []byte("a secret of the fleet")
	peers := listen(f.t)
	control := &fakeControl{token: TokenTaken{}}
	control.snapshot.Store(&snap.Snapshot{EvacuationsChanged: f.zonesChanged})
	dialer := &link.Dialer{Name: name, Zone: fmt.Sprint("z", i), Secret: secret, Bytes: &cross.Bytes{}}
	n := &node{control: control, peer: peers.Addr().String(), ended: make(chan struct{})}
	options := Options{
		Name: name, Zone: "z", PeerAddress: n.peer, Ingress: listen(f.t), Local: listen(f.t),
		MaxBody: 1 << 20, MaxHeader: 16 << 10, MaxCalls: 1000, MaxConnections: 1000, Seed: uint64(i + 1), LeaveDelay: minLeaveDelay,
	}
	for _, each := range change {
		each(&options)
	}
	n.Traffic = New(options, clk, control, dialer, meter.New(), zerolog.Nop())
	n.forwarder.DeadlineGrace = time.Minute // the serving daemon reports deadlines, even on a slow machine
	server := &link.Server{
		Listener: peers, Name: name, Zone: fmt.Sprint("z", i), Secret: secret, Log: zerolog.Nop(), MaxConnections: 100,
		Handlers: map[link.StreamType]link.Handler{link.StreamCall: n.ServeStream},
	}
	ctx, stop := context.WithCancel(context.Background())
	linkCtx, stopLink := context.WithCancel(context.Background())
	n.stop = stop
	go func() { _ = server.Run(linkCtx) }()
	go func() {
		defer close(n.ended)
		_ = n.Group().Serve(ctx)
	}()
	f.nodes = append(f.nodes, n)
	f.t.Cleanup(func() {
		stop()
		<-n.ended
		stopLink()
		dialer.Close()
	})
}

// serve starts a local backend server of daemon i.
func (f *fleet) serve(i int, service string, slots uint32, handle http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(handle)
	f.t.Cleanup(server.Close)
	f.register(i, service, slots, server.Listener.Addr().String())
	return server
}

// register adds a backend server to daemon i; returnsAttempt is what the server announces, false by default.
func (f *fleet) register(i int, service string, slots uint32, address string, returnsAttempt ...bool) {
	n := f.nodes[i]
	f.mu.Lock()
	list := &snap.Endpoints{Version: 1}
	if old := f.lists[service]; old != nil {
		list.Version = old.Version + 1
		list.Instances = append(list.Instances, old.Instances...)
	}
	endpoint := snap.Endpoint{
		ID: n.peer + "/" + address, Service: service, Daemon: n.peer, Address: address, Zone: "z",
		Slots: slots, Connections: 200, Incarnation: uint64(len(list.Instances)+1)<<8 | uint64(i+1),
	}
	list.Instances = append(list.Instances, endpoint)
	f.lists[service] = list
	f.mu.Unlock()
	n.handler.backends.register(endpoint, slices.Contains(returnsAttempt, true))
	f.publish()
}

// publish gives every daemon a new snapshot, after change has been applied to it.
func (f *fleet) publish(change ...func(*snap.Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		s := &snap.Snapshot{
			Rules: f.set, LeaseExpiry: n.Clock.Now().Add(24 * time.Hour),
			Endpoints: map[string]*snap.Endpoints{}, Quarantine: map[string]wire.Stamp{},
			EvacuationsChanged: f.zonesChanged,
		}
		for service, list := range f.lists {
			s.Endpoints[service] = list
		}
		for _, c := range change {
			c(s)
		}
		n.control.snapshot.Store(s)
	}
}

// testResponse is a response with its body, or the error with which it broke off.
type testResponse struct {
	*http.Response
	body string
	err  error
}

// request sends a request to a daemon's ingress address; each header is "Name: value".
func (f *fleet) request(i int, method, target, body string, header ...string) testResponse {
	return send(f.nodes[i].Ingress.Addr().String(), method, target, body, header...)
}

func send(address, method, target, body string, header ...string) testResponse {
	request, err := http.NewRequest(method, "http://"+address+target, bytes.NewReader([]byte(body)))
	if err != nil {
		return testResponse{err: err}
	}
	for _, line := range header {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Add(name, value)
	}
	return do(request)
}

var testClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

func do(request *http.Request) testResponse {
	response, err := testClient.Do(request)
	if err != nil {
		return testResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return testResponse{Response: response, body: string(body), err: err}
}
