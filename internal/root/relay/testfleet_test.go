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
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/field"
	"github.com/buckthornpitch/buckthornpitch/internal/head/cases"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/netest"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/internal/root/cross"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/member"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

type (
	// testFleet is a set of daemons on loopback, each with its backend server, and one Control that lists all
	// servers.
	testFleet struct {
		t       testing.TB
		control *fakeControl
		daemons []*testDaemon
	}

	testDaemon struct {
		relay        *Relay
		peerAddress  string
		frontAddress string
		server       *testServer
	}

	// fakeControl is a Control that lists all servers and grants tokens to all client accounts except "poor".
	fakeControl struct {
		mu          sync.Mutex
		set         *rules.Set
		lastContact time.Time
		list        []snap.Endpoint
		version     uint64
		noTokens    bool // no tokens are granted
		replies     bool // the last contact with the leader is always now
		returned    int
		taken       int // tokens
		crashes     [][]string
		quarantined map[string]wire.Stamp // quarantined fingerprints
		zones       fakeZones
	}

	// testDialect is a minimal front end.
	testDialect struct{}

	// testServer chooses its response by the request path.
	testServer struct {
		listener *netest.Listener
		mu       sync.Mutex
		received []*http.Request
		ran      map[string]int
		conns    []net.Conn
		leaving  atomic.Bool                   // its health checks fail
		full     atomic.Bool                   // it runs no health check
		gone     chan string                   // IDs of requests whose connection ended while they ran
		hold     chan struct{}                 // closed to complete the requests under /hold/
		early    func(net.Conn, *http.Request) // if set, answers each request before its body is read
	}
)

// cutHeads are heads of responses that a server sends in part; Id stands for the id of the request.
var cutHeads = map[string]string{
	"length":   "HTTP/1.1 200 OK\r\nSeal: s\r\nId: Id\r\nContent-Length: 4\r\n\r\n",
	"chunks":   "HTTP/1.1 200 OK\r\nId: Id\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"unframed": "HTTP/1.1 200 OK\r\nId: Id\r\nConnection: close\r\nSeal: s\r\n\r\n",
	"empty":    "HTTP/1.1 204 No Content\r\nId: Id\r\nSeal: s\r\n\r\n",
	"interim":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: Id\r\nSeal: s\r\n\r\n",
	"folded":   "HTTP/1.1 200 OK\r\nId: Id\r\nSeal: s\r\nOther: a\r\n b\r\n\r\n",
	"newlines": "HTTP/1.1 200 OK\nId: Id\nSeal: s\n\n",
}

var testSecret = []byte("a secret of the test daemons")

func (testDialect) DecodeRequest(r *http.Request) (Request, error) {
	if r.Header.Get("Panic") == "decode" {
		panic("request that causes a panic")
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	request := Request{
		ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Path: path, Host: r.Host,
		Header: r.Header, APIKey: r.Header.Get("Key"),
	}
	field.RemoveHopByHop(r.Header)
	r.Header.Del("Content-Length")
	r.Header.Del("Id")
	r.Header.Del("Key")
	if left := r.Header.Get("Left"); left != "" {
		request.Timeout, _ = time.ParseDuration(left)
	}
	if request.ID == "" {
		return request, errors.New("no id")
	}
	return request, nil
}

func (testDialect) SetRequestMetadata(header http.Header, metadata RequestMetadata) {
	if header.Get("Panic") == "send" {
		panic("request that causes a panic when it is sent")
	}
	header.Set("Id", metadata.ID)
	header.Set("Left", metadata.TimeLeft.String())
	header.Set("Account", metadata.Account)
	header.Set("Caller", metadata.CallerService)
	header.Set("Expect-Instance", metadata.Instance)
}

func (testDialect) DecodeResponseMetadata(_ int, header http.Header) ResponseMetadata {
	if header.Get("Panic") != "" {
		panic("response that causes a panic")
	}
	return ResponseMetadata{ID: header.Get("Id"), Signed: header.Get("Seal") != "", NotRun: header.Get("Not-Run") != ""}
}

func (testDialect) EncodeRefusal(id string, failure retry.Failure, retryAfter time.Duration) Response {
	row := retry.Describe(failure)
	return Response{Status: row.Status, Header: http.Header{"Id": {id}, "Reason": {string(row.Reason)}, "Outcome": {string(row.Outcome)}, "After": {retryAfter.String()}}}
}

func (testDialect) DecodeHealth(status int, header http.Header) Health {
	coldFor, err := time.ParseDuration(header.Get("Cold"))
	return Health{Instance: header.Get("Instance"), Ready: status == http.StatusOK, ColdFor: coldFor, ColdKnown: err == nil}
}

func (f *fakeControl) Snapshot() *snap.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replies {
		f.lastContact = time.Now()
	}
	s := &snap.Snapshot{
		Rules: f.set, Quarantine: f.quarantined, LastContact: f.lastContact, LeaseExpiry: f.lastContact.Add(time.Minute),
		Endpoints: map[string]*snap.Endpoints{"shop": {Version: f.version, Instances: f.list}},
	}
	s.Evacuated, s.EvacuationsUnknown, s.EvacuationsChanged = f.zones.evacuated, f.zones.unknown, f.zones.changed
	return s
}

// AwaitConfig polls for a configuration until ctx ends.
func (f *fakeControl) AwaitConfig(ctx context.Context) *snap.Snapshot {
	for ctx.Err() == nil && f.Snapshot().Rules == nil {
		time.Sleep(time.Millisecond)
	}
	return f.Snapshot()
}

func (f *fakeControl) TakeToken(ctx context.Context, account string) call.TokenVerdict {
	f.mu.Lock()
	noTokens := f.noTokens
	f.taken++
	f.mu.Unlock()
	switch {
	case account == "poor":
		return call.TokenRefused{}
	case noTokens:
		<-ctx.Done()
		return call.TokenUnavailable{}
	}
	return call.TokenTaken{}
}

func (f *fakeControl) TokenState(account string) call.TokenState {
	if account == "poor" {
		return call.TokenState{Limited: true, RefusedFor: time.Second}
	}
	return call.TokenState{Limited: true, Unspent: 7}
}

func (f *fakeControl) ReturnToken(string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returned++
}

// Subscribe polls for servers until ctx ends.
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
	for i, listed := range f.list {
		if listed.Address == a.Address {
			endpoint.Daemon = listed.Daemon
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
	for _, listed := range f.list {
		if listed.Address != address {
			kept = append(kept, listed)
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

// testRules has one host with routes that differ in access and run rules.
func testRules(t testing.TB) *rules.Set {
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
		route.Host, route.Service, route.Deadline, route.MaxSends = "shop.example", "shop", 1500*time.Millisecond, 2
		set.Routes = append(set.Routes, &route)
	}
	assert.NilError(t, rules.Assemble(set))
	return set
}

// newTestFleet starts daemons on loopback, each with a server of two slots; change alters their options.
func newTestFleet(t testing.TB, daemons int, change ...func(*Options)) *testFleet {
	t.Helper()
	f := &testFleet{t: t, control: &fakeControl{set: testRules(t), lastContact: time.Now()}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for i := range daemons {
		server := newTestServer(t)
		options := Options{
			Zone: "a", Service: "shop", BackendAddress: server.listener.Addr().String(),
			Ingress: listen(t), Ready: listen(t), Calls: listen(t), Seed: uint64(i + 1),
			Limits:    rules.Limits{HeaderSize: 64 << 10, BodySize: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second},
			BodyStall: time.Second, WriteStall: 10 * time.Second, StopWithin: 6 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, MemoryLimit: 256 << 20,
		}
		for _, apply := range change {
			apply(&options)
		}
		peers := listen(t)
		options.PeerAddress = peers.Addr().String()
		relayed := New(options, testDialect{}, clock.Real{}, f.control, &link.Dialer{Name: "test", Zone: options.Zone, Secret: testSecret, Bytes: &cross.Bytes{}}, meter.New(), zerolog.Nop(), zerolog.Nop())
		relayed.SetHandlers(http.NotFoundHandler(), http.NotFoundHandler())
		accept := &link.Server{
			Listener: peers, Name: "test", Zone: options.Zone, Secret: testSecret, Log: zerolog.Nop(), MaxConnections: 100,
			Handlers: map[link.StreamType]link.Handler{link.StreamRelay: relayed.Server.ServeStream},
		}
		running.Go(func() { _ = accept.Run(ctx) })
		running.Go(func() { _ = relayed.Frontend.Run(ctx) })
		d := &testDaemon{relay: relayed, peerAddress: options.PeerAddress, frontAddress: options.Ingress.Addr().String(), server: server}
		f.daemons = append(f.daemons, d)
		f.ready(d)
		server.forget()
	}
	return f
}

// ready announces the server of a daemon.
func (f *testFleet) ready(d *testDaemon) {
	f.t.Helper()
	address := d.server.listener.Addr().String()
	f.control.mu.Lock()
	f.control.list = append(f.control.list, snap.Endpoint{ID: address, Service: "shop", Address: address, Daemon: d.peerAddress, Zone: "a", Slots: 2})
	f.control.mu.Unlock()
	assert.NilError(f.t, d.relay.LocalBackend.Notice(context.Background(), d.notice(StateReady)))
}

func (d *testDaemon) notice(state NoticeState) Notice {
	address := d.server.listener.Addr().String()
	return Notice{Instance: "i-" + address, Service: "shop", Address: address, Slots: 2, State: state, Sequence: 1, StartUnixMilli: 1}
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func newTestServer(t testing.TB) *testServer {
	listener, err := netest.Listen()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &testServer{listener: listener, ran: map[string]int{}, gone: make(chan string, 100), hold: make(chan struct{})}
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return s
}

// serve reads requests and selects the response by the second element of the path.
func (s *testServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	again := "" // written once more before the next response
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		early := s.early
		s.mu.Unlock()
		if early != nil {
			early(conn, r)
			return
		}
		_, _ = io.WriteString(conn, again)
		again = ""
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		id := r.Header.Get("Id")
		s.mu.Lock()
		s.received = append(s.received, r)
		s.ran[id]++
		s.mu.Unlock()
		formatResponse := func(id, body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		}
		kind := strings.Split(r.URL.Path, "/")[2]
		switch kind {
		case "health":
			status := "200 OK"
			if s.leaving.Load() {
				status = "503 Leaving"
			}
			if s.full.Load() {
				status = "503 Full\r\nNot-Run: 1"
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nInstance: i-"+s.listener.Addr().String()+"\r\nContent-Length: 0\r\n\r\n")
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
			_, _ = io.WriteString(conn, formatResponse(id, "held"))
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
		case "panic":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nPanic: 1\r\nContent-Length: 0\r\n\r\n")
		case "endless":
			writeEndless(conn, strings.Split(r.URL.Path, "/")[3])
			return
		case "odd":
			number, _ := strconv.Atoi(strings.Split(r.URL.Path, "/")[3])
			_, _ = io.WriteString(conn, cases.Responses[number].Text("Id: "+id+"\r\nSeal: s\r\n"))
		case "garbage":
			_, _ = io.WriteString(conn, "what is this\r\n\r\n")
			return
		case "shed":
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		case "shed-with-id":
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nId: "+id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		case "shed-again":
			again = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(conn, again)
		case "shed-again-with-id", "shed-often-with-id":
			again = "HTTP/1.1 503 Full\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(conn, again)
			if kind == "shed-often-with-id" {
				again = strings.Repeat(again, maxSkippedResponses)
			}
		case "shed-first-again", "fail-first-again":
			if s.runs(id) > 1 {
				_, _ = io.WriteString(conn, formatResponse(id, "ran"))
				break
			}
			again = "HTTP/1.1 503 Full\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
			if kind == "fail-first-again" {
				again = "HTTP/1.1 500 Bad\r\nId: " + id + "\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"
			}
			_, _ = io.WriteString(conn, again)
		case "cut":
			for name, whole := range cutHeads {
				if cut, err := strconv.Atoi(r.URL.Query().Get(name)); err == nil {
					_, _ = io.WriteString(conn, strings.ReplaceAll(whole[:cut], "Id: Id", "Id: "+id))
				}
			}
			return
		case "extra":
			_, _ = io.WriteString(conn, formatResponse(id, "mine")+formatResponse("other", "not yours"))
		case "late":
			_, _ = io.WriteString(conn, formatResponse("other", "not yours")+formatResponse(id, "mine"))
		case "fail":
			_, _ = io.WriteString(conn, "HTTP/1.1 500 Bad\r\nId: "+id+"\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad")
		case "large":
			size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
			_, _ = io.WriteString(conn, formatResponse(id, strings.Repeat("x", size)))
		case "fields":
			count, _ := strconv.Atoi(r.URL.Query().Get("count"))
			size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
			response := formatResponse(id, strings.Repeat("x", size))
			_, _ = io.WriteString(conn, strings.Replace(response, "Seal: s\r\n", "Seal: s\r\n"+headerFields(count), 1))
		case "slow":
			pause, _ := strconv.Atoi(r.URL.Query().Get("ms"))
			time.Sleep(time.Duration(pause) * time.Millisecond)
			_, _ = io.WriteString(conn, formatResponse(id, "slow "+id))
		default:
			_, _ = io.WriteString(conn, formatResponse(id, id+" "+string(body)))
		}
	}
}

// restart ends all connections, as the end of the process does, and goes on at the same address.
func (s *testServer) restart(t testing.TB) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.NilError(t, s.listener.Restart())
	s.conns = nil
}

// forget makes the server forget what it has received, so that tests count no health check of the start.
func (s *testServer) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received, s.conns = nil, nil
	clear(s.ran)
}

func (s *testServer) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// request sends one request on its own connection.
func (f *testFleet) request(d *testDaemon, id, path, headers, body string) *http.Response {
	f.t.Helper()
	conn, err := net.Dial("tcp", d.frontAddress)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
		headers += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, writeErr := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: shop.example\r\nId: %s\r\n%s\r\n%s", method, path, id, headers, body)
	// A daemon that has refused a long body need not read all of it; its response arrives nevertheless.
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(f.t, err, "after the request was written: %v", writeErr)
	return readBody(f.t, response)
}

func readResponse(t testing.TB, reader *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	return readBody(t, response)
}

// readBody reads the whole body, which can then be read again.
func readBody(t testing.TB, response *http.Response) *http.Response {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	response.Body = io.NopCloser(strings.NewReader(string(body)))
	return response
}

func bodyOf(t testing.TB, response *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}
