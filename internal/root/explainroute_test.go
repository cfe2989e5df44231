package root

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/opctl"
	"github.com/buckthornpitch/buckthornpitch/internal/root/admin"
	"github.com/buckthornpitch/buckthornpitch/internal/root/call"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	pkgadmin "github.com/buckthornpitch/buckthornpitch/pkg/admin"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
	"github.com/buckthornpitch/buckthornpitch/platform"
)

const (
	explainRules = `revision 7 # requested by Ana
service reader slots=4 connections=50 retry-share=10% # requested by Ana
account quill rate=100/s burst=100 # requested by Lou
key quill sha256:2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b # requested by Lou
route GET /works/{id} service=reader access=keyed run=idempotent deadline=2s regions=eu # requested by Ana: spring surge
`

	// explainDocument is the file of the same rules as a configuration of the users' platform.
	explainDocument = "../../platform/testdata/explain-route.json"
)

// callControl and relayControl are the control states of the two front ends. A call of any other method of the interfaces,
// which are nil, ends the test.
type (
	callControl struct {
		call.Control
		snapshot *snap.Snapshot
	}

	relayControl struct {
		relay.Control
		snapshot *snap.Snapshot
	}
)

func (c callControl) Snapshot() *snap.Snapshot  { return c.snapshot }
func (c relayControl) Snapshot() *snap.Snapshot { return c.snapshot }

func (c callControl) TokenState(string) call.TokenState {
	return call.TokenState{Limited: true, Unspent: 3}
}

func (c relayControl) TokenState(string) call.TokenState {
	return call.TokenState{Limited: true, Unspent: 3}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	return text
}

func listenLocal(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// snapshotOf returns a control state with three servers, of which one is in an evacuated zone and one in another region.
func snapshotOf(set *rules.Set, clk clock.Clock) *snap.Snapshot {
	endpoint := func(id, zone, region string) snap.Endpoint {
		return snap.Endpoint{ID: id, Service: "reader", Daemon: "10.0.0.1:7402", Address: "10.0.0.1:9000", Zone: zone, Region: region, Slots: 4, Connections: 50, Incarnation: 1}
	}
	return &snap.Snapshot{
		Rules: set, LeaseExpiry: clk.Now().Add(time.Minute), LastContact: clk.Now().Add(-200 * time.Millisecond),
		Evacuated: map[string]snap.Evacuation{"b": {Zone: "b"}},
		Endpoints: map[string]*snap.Endpoints{"reader": {Version: 1, Instances: []snap.Endpoint{
			endpoint("near", "a", "eu"), endpoint("far", "c", "eu"), endpoint("closed", "b", "eu"), endpoint("abroad", "a", "us"),
		}}},
	}
}

// serveAdmin serves the operators' endpoint of a front end and returns its address.
func serveAdmin(t *testing.T, traffic admin.Traffic, clk clock.Clock) string {
	server := &admin.Server{Name: "north-a-01", Listener: listenLocal(t), Clock: clk, Traffic: traffic, Meter: meter.New(), Log: zerolog.Nop()}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Group().Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return server.Listener.Addr().String()
}

// runCommand runs buckthornctl and returns its output and its exit status.
func runCommand(address string, args ...string) (stdout, stderr string, status int) {
	var out, errs bytes.Buffer
	status = opctl.Run(context.Background(), opctl.Env{Stdout: &out, Stderr: &errs, Clock: clock.Real{}}, append([]string{"--admin", address}, args...))
	return out.String(), errs.String(), status
}

func newCallTraffic(t *testing.T, snapshot *snap.Snapshot, clk clock.Clock) admin.Traffic {
	return call.New(call.Options{Name: "north-a-01", Zone: "a", Ingress: listenLocal(t), Local: listenLocal(t), MaxCalls: 10, Seed: 1},
		clk, callControl{snapshot: snapshot}, &link.Dialer{}, meter.New(), zerolog.Nop())
}

func newRelayTraffic(t *testing.T, snapshot *snap.Snapshot, clk clock.Clock) admin.Traffic {
	return relay.New(relay.Options{Zone: "a", Ingress: listenLocal(t), Ready: listenLocal(t), Calls: listenLocal(t), Seed: 1, MemoryLimit: 1 << 26, RetryRatio: 0.2, RetryWindow: 10 * time.Second},
		platform.Dialect{}, clk, relayControl{snapshot: snapshot}, &link.Dialer{}, meter.New(), zerolog.Nop(), zerolog.Nop())
}

// Guards against an explanation that does not get from a front end to the operator, in words or as JSON, and against one
// that asks the control loop for more than the published state.
func TestExplainRouteCommand(t *testing.T) {
	clk := clock.NewFake(time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC))
	callRules, err := rules.Parse("rules", []byte(explainRules))
	assert.NilError(t, err)
	relayRules, err := platform.Parse("", readFile(t, explainDocument))
	assert.NilError(t, err)
	for name, test := range map[string]struct {
		traffic admin.Traffic
		want    []string
	}{
		"own interface": {newCallTraffic(t, snapshotOf(callRules, clk), clk), []string{"rule           route/GET/works/{id}@5", "requested by   Ana", "retries, request"}},
		"platform":      {newRelayTraffic(t, snapshotOf(relayRules, clk), clk), []string{"request        GET shop.example/works/9", "retries, lost", "other-zone"}},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveAdmin(t, test.traffic, clk)
			args := []string{"explain-route", "GET", "/works/9?page=2", "--host", "shop.example", "--account", "quill"}
			text, _, status := runCommand(address, args...)
			assert.Equal(t, status, 0)
			for _, want := range append(test.want, "revision 7, lease valid, 200ms old", "quill, rate 100/s, burst 100, 3 tokens here: token-available", "regions        only eu",
				"evacuated      b", "choice         near", "runner-up      far", "the availability zone b is under evacuation", "the region us is not allowed") {
				for _, word := range strings.Split(want, "  ") { // columns depend on the other rows
					assert.Assert(t, strings.Contains(text, strings.TrimSpace(word)), "%q is not in\n%s", word, text)
				}
			}
			first, _, status := runCommand(address, append(args, "--output", "json")...)
			assert.Equal(t, status, 0)
			explain := &pkgadmin.RouteExplain{}
			assert.NilError(t, json.Unmarshal([]byte(first), explain))
			assert.NilError(t, explain.Check())
			assert.Equal(t, explain.Refused, "")
			second, _, _ := runCommand(address, append(args, "--output", "json")...)
			assert.Equal(t, second, first) // with a clock that stands still nothing else changes either

			for message, wrong := range map[string][]string{
				"route: none for":             {"explain-route", "GET", "/other", "--host", "shop.example"},
				"account: there is no client": {"explain-route", "GET", "/works/9", "--host", "shop.example", "--account", "nobody"},
			} {
				_, stderr, status := runCommand(address, wrong...)
				assert.Equal(t, status, opctl.ExitRefused)
				assert.Assert(t, strings.Contains(stderr, message), stderr)
			}
			for message, wrong := range map[string][]string{
				"unknown argument --key": {"explain-route", "GET", "/works/9", "--key", "a-key-of-quill"},
				"want capital letters":   {"explain-route", "get", "/works/9"},
				"begins with a slash":    {"explain-route", "GET", "works/9"},
				"PATH is required":       {"explain-route", "GET"},
			} {
				_, stderr, status := runCommand(address, wrong...)
				assert.Equal(t, status, opctl.ExitUsage)
				assert.Assert(t, strings.Contains(stderr, message) && !strings.Contains(stderr, "a-key-of-quill"), stderr)
			}
		})
	}
}

// Guards against missing parts that the command does not name: a host on the platform, a configuration, servers, and traffic
// at a control instance.
func TestExplainRouteMissingParts(t *testing.T) {
	clk := clock.NewFake(time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC))
	set, err := platform.Parse("", readFile(t, explainDocument))
	assert.NilError(t, err)
	withoutServers := snapshotOf(set, clk)
	withoutServers.Endpoints = nil
	for message, test := range map[string]struct {
		traffic admin.Traffic
		host    string
		status  int
	}{
		"the host is missing":    {newRelayTraffic(t, snapshotOf(set, clk), clk), "", opctl.ExitUsage},
		"configuration: none":    {newRelayTraffic(t, &snap.Snapshot{}, clk), "shop.example", opctl.ExitRefused},
		"servers: this daemon":   {newRelayTraffic(t, withoutServers, clk), "shop.example", opctl.ExitRefused},
		"traffic: this instance": {noTraffic{}, "shop.example", opctl.ExitRefused},
	} {
		_, stderr, status := runCommand(serveAdmin(t, test.traffic, clk), "explain-route", "GET", "/works/9", "--host", test.host)
		assert.Equal(t, status, test.status)
		assert.Assert(t, strings.Contains(stderr, message), stderr)
	}
}
