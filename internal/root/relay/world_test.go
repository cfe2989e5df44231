package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

type (
	// world is daemons with their backend servers on loopback, and one control that knows them all.
	world struct {
		t       *testing.T
		control *fakeControl
		daemons []*testDaemon
	}

	testDaemon struct {
		relay  *Relay
		peer   string
		front  string
		server *testServer
	}

	// fakeControl knows all servers and grants all tokens but those of the account "poor".
	fakeControl struct {
		mu       sync.Mutex
		set      *rules.Set
		heard    time.Time
		list     []snap.Endpoint
		version  uint64
		silent   bool // nobody grants tokens
		returned int
		taken    int // tokens
		crashes  [][]string
		blocked  map[string]wire.Stamp // quarantine
	}

	// testDialect is the smallest front end.
	testDialect struct{}

	// testServer answers each request by what its path asks for.
	testServer struct {
		listener net.Listener
		mu       sync.Mutex
		seen     []*http.Request
		ran      map[string]int
		gone     chan string   // ids whose connection ended while they ran
		hold     chan struct{} // closed to let the requests under /hold/ end
	}
)

var testSecret = []byte("a secret of the test daemons")

func (testDialect) Take(r *http.Request) (Request, error) {
	request := Request{
		ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Host: r.Host,
		Header: r.Header, Key: r.Header.Get("Key"),
	}
	field.RemoveHopByHop(r.Header)
	r.Header.Del("Content-Length")
	r.Header.Del("Id")
	r.Header.Del("Key")
	if left := r.Header.Get("Left"); left != "" {
		request.Allowed, _ = time.ParseDuration(left)
	}
	if request.ID == "" {
		return request, errors.New("no id")
	}
	return request, nil
}

func (testDialect) Mark(header http.Header, marks Marks) {
	header.Set("Id", marks.ID)
	header.Set("Left", marks.Allowed.String())
	header.Set("Account", marks.Account)
	header.Set("Caller", marks.Caller)
	header.Set("Expect-Instance", marks.Instance)
}

func (testDialect) Read(_ int, header http.Header) Notes {
	return Notes{ID: header.Get("Id"), Signed: header.Get("Seal") != "", NotRun: header.Get("Not-Run") != ""}
}

func (testDialect) Refuse(id string, failure retry.Failure, after time.Duration) Response {
	row := retry.Describe(failure)
	return Response{Status: row.Status, Header: http.Header{"Id": {id}, "Reason": {string(row.Reason)}, "Outcome": {string(row.Outcome)}, "After": {after.String()}}}
}

func (testDialect) Healthy(status int, header http.Header) (instance string, ok bool) {
	return header.Get("Instance"), status == http.StatusOK
}

func (f *fakeControl) Snapshot() *snap.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &snap.Snapshot{
		Rules: f.set, Quarantine: f.blocked, LastContact: f.heard, LeaseExpiry: f.heard.Add(time.Minute),
		Endpoints: map[string]*snap.Endpoints{"shop": {Version: f.version, Instances: f.list}},
	}
}

// AwaitConfig looks for a configuration until ctx ends.
func (f *fakeControl) AwaitConfig(ctx context.Context) *snap.Snapshot {
	for ctx.Err() == nil && f.Snapshot().Rules == nil {
		time.Sleep(time.Millisecond)
	}
	return f.Snapshot()
}

func (f *fakeControl) TakeToken(ctx context.Context, account string) call.TokenVerdict {
	f.mu.Lock()
	silent := f.silent
	f.taken++
	f.mu.Unlock()
	switch {
	case account == "poor":
		return call.TokenRefused{}
	case silent:
		<-ctx.Done()
		return call.TokenUnavailable{}
	}
	return call.TokenTaken{}
}

func (f *fakeControl) ReturnToken(string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returned++
}

// Want looks for servers until ctx ends.
func (f *fakeControl) Subscribe(ctx context.Context, service string) *snap.Endpoints {
	for ctx.Err() == nil {
		if list := f.Snapshot().Endpoints[service]; list != nil && len(list.Instances) > 0 {
			return list
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (f *fakeControl) Announce(_ context.Context, a member.Announcement) (snap.Endpoint, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	host, _, _ := net.SplitHostPort(a.Address)
	f.version++
	endpoint := snap.Endpoint{
		ID: a.Address, Service: a.Service, Address: a.Address, Daemon: host, Zone: "a", Slots: a.Slots, Incarnation: f.version,
	}
	for i, known := range f.list {
		if known.Address == a.Address {
			endpoint.Daemon = known.Daemon
			f.list[i] = endpoint
			return endpoint, nil
		}
	}
	f.list = append(f.list, endpoint)
	return endpoint, nil
}

func (f *fakeControl) Leave(_ context.Context, address string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	kept := []snap.Endpoint{}
	for _, known := range f.list {
		if known.Address != address {
			kept = append(kept, known)
		}
	}
	f.list = kept
	return nil
}

func (f *fakeControl) ReportCrash(_ uint64, fingerprints []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, fingerprints)
}

func (*fakeControl) ClearSuspect(string) {}
func (*fakeControl) StartDrain()         {}

// testRules has one host with routes by what is under test.
func testRules(t *testing.T) *rules.Set {
	set := &rules.Set{
		Revision: 1,
		Services: map[string]*rules.Service{"shop": {Rule: rules.Rule{Name: "shop"}, HealthPath: "/x/health"}},
		Accounts: map[string]*rules.Account{
			"rich": {Rule: rules.Rule{Name: "rich"}, Rate: rules.Rate{Count: 1000, Per: time.Second}, Burst: 1000},
			"poor": {Rule: rules.Rule{Name: "poor"}, Rate: rules.Rate{Count: 1, Per: time.Second}, Burst: 1},
		},
		Keys: []*rules.Key{
			{Rule: rules.Rule{Name: "rich:1"}, Account: "rich", Hash: rules.HashKey("rich-key"), State: rules.KeyActive},
			{Rule: rules.Rule{Name: "poor:1"}, Account: "poor", Hash: rules.HashKey("poor-key"), State: rules.KeyActive},
		},
		Limits: rules.Limits{HeaderSize: 4 << 10, BodySize: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second},
	}
	for _, route := range []rules.Route{
		{Prefix: "/open/", Access: rules.AccessOpen, Run: rules.RunIdempotent},
		{Prefix: "/once/", Access: rules.AccessOpen, Run: rules.RunOnce},
		{Prefix: "/keyed/", Access: rules.AccessKeyed, Run: rules.RunIdempotent},
	} {
		route.Rule = rules.Rule{Name: route.Prefix}
		route.Host, route.Service, route.Deadline, route.Sends = "shop.example", "shop", 1500*time.Millisecond, 2
		set.Routes = append(set.Routes, &route)
	}
	assert.NilError(t, rules.Assemble(set))
	return set
}

// newWorld starts daemons on loopback, each with a server of two slots.
func newWorld(t *testing.T, daemons int) *world {
	t.Helper()
	w := &world{t: t, control: &fakeControl{set: testRules(t), heard: time.Now()}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for i := range daemons {
		server := newTestServer(t)
		options := Options{
			Zone: "a", Service: "front", Ingress: listen(t), Ready: listen(t), Calls: listen(t), Seed: uint64(i + 1),
			Limits:    rules.Limits{HeaderSize: 64 << 10, BodySize: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second},
			BodyStall: time.Second, StopWithin: 6 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, Memory: 256 << 20,
		}
		peers := listen(t)
		options.Own = peers.Addr().String()
		relayed := New(options, testDialect{}, clock.Real{}, w.control, &link.Dialer{Name: "test", Secret: testSecret}, meter.New(), zerolog.Nop(), zerolog.Nop())
		relayed.Handle(http.NotFoundHandler(), http.NotFoundHandler())
		accept := &link.Server{
			Listener: peers, Name: "test", Secret: testSecret, Log: zerolog.Nop(), MaxConnections: 100,
			Handlers: map[link.StreamType]link.Handler{link.StreamRelay: relayed.Server.ServeStream},
		}
		running.Go(func() { _ = accept.Run(ctx) })
		running.Go(func() { _ = relayed.Front.Run(ctx) })
		d := &testDaemon{relay: relayed, peer: options.Own, front: options.Ingress.Addr().String(), server: server}
		w.daemons = append(w.daemons, d)
		w.ready(d)
	}
	return w
}

// ready announces a daemon's server.
func (w *world) ready(d *testDaemon) {
	w.t.Helper()
	address := d.server.listener.Addr().String()
	w.control.mu.Lock()
	w.control.list = append(w.control.list, snap.Endpoint{ID: address, Service: "shop", Address: address, Daemon: d.peer, Zone: "a", Slots: 2})
	w.control.mu.Unlock()
	assert.NilError(w.t, d.relay.Beside.Notice(context.Background(), d.notice(StateReady)))
}

func (d *testDaemon) notice(state NoticeState) Notice {
	address := d.server.listener.Addr().String()
	return Notice{Instance: "i-" + address, Service: "shop", Address: address, Slots: 2, State: state, Sequence: 1, Born: 1}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func newTestServer(t *testing.T) *testServer {
	s := &testServer{listener: listen(t), ran: map[string]int{}, gone: make(chan string, 100), hold: make(chan struct{})}
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// serve reads requests and answers by the second part of the path.
func (s *testServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		id := r.Header.Get("Id")
		s.mu.Lock()
		s.seen = append(s.seen, r)
		s.ran[id]++
		s.mu.Unlock()
		answer := func(id, body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		}
		kind := strings.Split(r.URL.Path, "/")[2]
		switch kind {
		case "health":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nInstance: i-"+s.listener.Addr().String()+"\r\nContent-Length: 0\r\n\r\n")
		case "hold":
			ended := make(chan struct{})
			go func() {
				if _, err := reader.Peek(1); err != nil {
					close(ended)
				}
			}()
			select {
			case <-s.hold:
			case <-ended:
				s.gone <- id
				return
			}
			_, _ = io.WriteString(conn, answer(id, "held"))
			return
		case "reset":
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		case "crash":
			_ = s.listener.Close()
			return
		case "truncate":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: s\r\nContent-Length: 100\r\n\r\npart")
			return
		case "unframed":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: s\r\n\r\nall of it")
			return
		case "unsealed":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\nno")
		case "garbage":
			_, _ = io.WriteString(conn, "what is this\r\n\r\n")
			return
		case "shed":
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		case "extra":
			_, _ = io.WriteString(conn, answer(id, "mine")+answer("other", "not yours"))
		case "late":
			_, _ = io.WriteString(conn, answer("other", "not yours")+answer(id, "mine"))
		case "fail":
			_, _ = io.WriteString(conn, "HTTP/1.1 500 Bad\r\nId: "+id+"\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad")
		case "slow":
			pause, _ := strconv.Atoi(r.URL.Query().Get("ms"))
			time.Sleep(time.Duration(pause) * time.Millisecond)
			_, _ = io.WriteString(conn, answer(id, "slow "+id))
		default:
			_, _ = io.WriteString(conn, answer(id, id+" "+string(body)))
		}
	}
}

func (s *testServer) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// ask sends one request on a connection of its own.
func (w *world) ask(d *testDaemon, id, path, headers, body string) *http.Response {
	w.t.Helper()
	conn, err := net.Dial("tcp", d.front)
	assert.NilError(w.t, err)
	w.t.Cleanup(func() { _ = conn.Close() })
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
		headers += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: shop.example\r\nId: %s\r\n%s\r\n%s", method, path, id, headers, body)
	assert.NilError(w.t, err)
	return readAnswer(w.t, bufio.NewReader(conn))
}

func readAnswer(t *testing.T, reader *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	response.Body = io.NopCloser(strings.NewReader(string(body)))
	return response
}

func bodyOf(t *testing.T, response *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}
