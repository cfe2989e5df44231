package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

const (
	// daemonEnv is the environment variable that makes the test binary run as buckthornd.
	daemonEnv = "BUCKTHORN_TEST_DAEMON"

	// conditionTimeout fails a test whose condition never holds. It is far above the time that any step needs,
	// so that no result depends on the speed of the machine.
	conditionTimeout = 60 * time.Second

	pollInterval = 20 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(daemonEnv) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

type (
	// fleet is a set of daemons that run as separate processes on loopback.
	fleet struct {
		t       *testing.T
		folder  string
		daemons map[string]*process
	}

	// process is one daemon of a fleet.
	process struct {
		t                           *testing.T
		name, folder                string
		ingress, local, peer, admin string
		control                     bool
		command                     *exec.Cmd
		exited                      chan struct{}
	}

	// backend is a test backend server that records the requests it receives.
	backend struct {
		address string
		handle  http.HandlerFunc

		mu       sync.Mutex
		requests []*http.Request
	}
)

// newFleet starts control instances c1 to cN and serving daemons d1 to dM with the given rules. Every daemon
// watches its own rules file.
func newFleet(t *testing.T, controls, serving int, text string) *fleet {
	t.Helper()
	f := &fleet{t: t, folder: t.TempDir(), daemons: map[string]*process{}}
	voters := ""
	for i := range controls {
		p := f.add(fmt.Sprintf("c%d", i+1), true)
		voters += fmt.Sprintf("%s = %q\n", p.name, p.peer)
	}
	for i := range serving {
		f.add(fmt.Sprintf("d%d", i+1), false)
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i, p := range f.processes() {
		p.writeSettings(zones[i%len(zones)], voters)
	}
	f.daemons["c1"].writeRules(text)
	for _, p := range f.processes() {
		p.start()
	}
	t.Cleanup(f.stop)
	f.waitForRevision(1)
	return f
}

func (f *fleet) add(name string, control bool) *process {
	ports := freePorts(f.t, 4)
	p := &process{
		t: f.t, name: name, folder: filepath.Join(f.folder, name), control: control,
		ingress: ports[0], local: ports[1], peer: ports[2], admin: ports[3],
	}
	assert.NilError(f.t, os.MkdirAll(p.folder, 0o755))
	f.daemons[name] = p
	return p
}

func (f *fleet) processes() []*process {
	var processes []*process
	for _, prefix := range []string{"c", "d"} {
		for i := 1; f.daemons[fmt.Sprint(prefix, i)] != nil; i++ {
			processes = append(processes, f.daemons[fmt.Sprint(prefix, i)])
		}
	}
	return processes
}

// stop kills all processes and prints their logs when the test has failed.
func (f *fleet) stop() {
	for _, p := range f.processes() {
		p.kill()
		if f.t.Failed() {
			log, _ := os.ReadFile(filepath.Join(p.folder, "log"))
			f.t.Logf("log of %s:\n%s", p.name, tail(string(log), 3000))
		}
	}
}

func tail(text string, size int) string { return text[max(0, len(text)-size):] }

// waitForRevision waits until a revision is in effect on every running daemon.
func (f *fleet) waitForRevision(revision uint64) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("revision %d in effect", revision), func() bool {
		for _, p := range f.processes() {
			if status := p.status(); p.running() && (status == nil || status.Revision != revision || !status.Fresh) {
				return false
			}
		}
		return true
	})
}

// leader waits until a daemon leads and returns it.
func (f *fleet) leader() *process {
	f.t.Helper()
	var found *process
	f.eventually("a leader", func() bool {
		for _, p := range f.processes() {
			if status := p.status(); status != nil && status.Role == admin.RoleLeader && status.Fresh {
				found = p
				return true
			}
		}
		return false
	})
	return found
}

// eventually polls until the condition holds and fails the test after conditionTimeout.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for %s", what)
}

func (p *process) writeSettings(zone, voters string) {
	text := fmt.Sprintf(`name = %q
availability-zone = %q
region = "test"
ingress-address = %q
local-address = %q
peer-address = %q
admin-address = %q
rules-file = %q
secret = "fleet-test-secret"
`, p.name, zone, p.ingress, p.local, p.peer, p.admin, filepath.Join(p.folder, "rules"))
	if p.control {
		text += fmt.Sprintf("data-folder = %q\n", filepath.Join(p.folder, "data"))
	}
	text += "\n[control-addresses]\n" + voters
	assert.NilError(p.t, os.WriteFile(filepath.Join(p.folder, "settings.toml"), []byte(text), 0o600))
}

func (p *process) writeRules(text string) {
	assert.NilError(p.t, os.WriteFile(filepath.Join(p.folder, "rules"), []byte(text), 0o644))
}

func (p *process) verdict() string {
	text, _ := os.ReadFile(filepath.Join(p.folder, "rules.verdict"))
	return string(text)
}

func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	assert.NilError(p.t, err)
	defer func() { _ = log.Close() }()
	p.command = exec.Command(os.Args[0], "run", "--settings", filepath.Join(p.folder, "settings.toml"))
	p.command.Env = append(os.Environ(), daemonEnv+"=1")
	p.command.Stdout, p.command.Stderr = log, log
	assert.NilError(p.t, p.command.Start())
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(p.command, p.exited)
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) client() *admin.Client { return &admin.Client{Address: p.admin} }

// status returns nil while the daemon does not respond.
func (p *process) status() *admin.Status {
	client := admin.Client{Address: p.admin, Timeout: 2 * time.Second}
	status, err := client.Status(context.Background())
	if err != nil {
		return nil
	}
	return status
}

// newBackend starts a backend server that announces itself to its local daemon p.
func newBackend(t *testing.T, p *process, service string, handle http.HandlerFunc) *backend {
	t.Helper()
	b := &backend{address: freePorts(t, 1)[0], handle: handle}
	listener, err := net.Listen("tcp", b.address)
	assert.NilError(t, err)
	server := &http.Server{Handler: b}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
	})
	go func() {
		for ctx.Err() == nil {
			_ = post(p.local, "/buckthorn/announce", b.announcement(service, "1"))
			time.Sleep(time.Second)
		}
	}()
	return b
}

func (b *backend) announcement(service, start string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"slots":32,"connections":64,"start":%q}`, service, b.address, start)
}

func post(address, path, body string) error {
	response, err := http.Post("http://"+address+path, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// ServeHTTP records the request and handles it.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	b.requests = append(b.requests, r)
	b.mu.Unlock()
	b.handle(w, r)
}

func (b *backend) count(method, path string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, r := range b.requests {
		if r.Method == method && r.URL.Path == path {
			n++
		}
	}
	return n
}

// callResult is the part of a response that the tests check, or the error of the request.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error
}

// caller sends requests on its own persistent connections.
type caller struct{ client *http.Client }

func newCaller() *caller { return &caller{client: &http.Client{Transport: &http.Transport{}}} }

func (c *caller) send(p *process, method, path, key, idempotencyKey string) callResult {
	request, err := http.NewRequest(method, "http://"+p.ingress+path, nil)
	if err != nil {
		return callResult{err: err}
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func (r callResult) outcome() string { return r.header.Get("Buckthorn-Outcome") }
func (r callResult) reason() string  { return r.header.Get("Buckthorn-Reason") }

// freePorts returns loopback addresses below the range that the kernel uses for outgoing connections.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	portsMu.Lock()
	defer portsMu.Unlock()
	var addresses []string
	for len(addresses) < n {
		nextPort++
		if nextPort >= 32000 {
			nextPort = 12000
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, address)
	}
	return addresses
}

var (
	portsMu sync.Mutex

	// nextPort starts in a range of 500 ports that depends on the process id, so that test processes that run at
	// the same time with adjacent ids use different ports.
	nextPort = 12000 + os.Getpid()%38*500
)

// testRules returns a rules text with one account "reader" whose key is "reader-key".
func testRules(revision uint64, author, extra string) string {
	return fmt.Sprintf(`revision %d # requested by %s
service library slots=32 connections=64 # requested by Ana
account reader rate=2000/s burst=2000 # requested by Ana
key reader %s # requested by Ana
route GET /works/{id} service=library access=open run=idempotent deadline=20s # requested by Ana
route GET /masters/{id} service=library access=keyed run=idempotent importance=critical deadline=60s # requested by Ana
route POST /kudos/{id} service=library access=keyed run=once importance=critical deadline=20s # requested by Ana
%s`, revision, author, rules.HashKey("reader-key"), extra)
}

func echo(w http.ResponseWriter, r *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]string{"path": r.URL.Path, "account": r.Header.Get("Buckthorn-Account")})
}

func keyHash(key string) string { return rules.HashKey(key).String() }

// blockGets responds to POST requests at once and to all others after release is closed.
func blockGets(entered chan<- struct{}, release <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			entered <- struct{}{}
			<-release
		}
		echo(w, r)
	}
}
