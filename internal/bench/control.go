package bench

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"
)

type controlCommand struct {
	Daemons  []int         `arg:"--daemons" help:"numbers of daemons [default: 10 50 100 200]"`
	Services []int         `arg:"--services" help:"numbers of services [default: 12]"`
	Accounts []int         `arg:"--accounts" help:"numbers of client accounts [default: 8]"`
	Routes   []int         `arg:"--routes" help:"numbers of routes [default: 40]"`
	Rate     int           `arg:"--rate" default:"0" help:"keyed calls per second and daemon; 0 for idle daemons"`
	Callees  int           `arg:"--callees" default:"4" help:"services that each daemon calls"`
	For      time.Duration `arg:"--for" default:"8s" help:"time for each row"`
	Relay    bool          `arg:"--relay" help:"count bytes on the connections, with the headers of yamux; the relay takes processor time from this process only"`
	Profile  string        `arg:"--profile" placeholder:"PREFIX" help:"write profiles of the leader and of the daemons"`
}

// controlPoint is one row of the control measurement.
type controlPoint struct {
	daemons   int
	rulesSize RulesSize
}

// measureControl measures the control traffic between daemons and the leader. The leader and the daemons run in
// two child processes, callers and the backend server in this one. If one of the sizes has several values, it
// fits a line over them.
func (b *bench) measureControl(c *controlCommand, report *Report) error {
	setDefault := func(list *[]int, values ...int) {
		if len(*list) == 0 {
			*list = values
		}
	}
	setDefault(&c.Daemons, 10, 50, 100, 200)
	setDefault(&c.Services, 12)
	setDefault(&c.Accounts, 8)
	setDefault(&c.Routes, 40)
	table := report.addTable(fmt.Sprintf("Control traffic, one voter, %d calls/s for each daemon", c.Rate),
		"daemons", "services", "accounts", "routes", "calls/s", "failed",
		"daemon sends B/s", "daemon receives B/s", "connection up B/s", "connection down B/s", "daemon % of a core", "leader % of a core", "daemon heap KiB", "leader heap KiB", "load")
	table.addNote("bytes sent and received are control frames; bytes on the connection are counted with --relay and include the headers of yamux; with calls, a daemon's processor time includes the calls themselves")
	var x, sent, received, daemonPercent, leaderPercent, leaderHeapKiB []float64
	for _, daemons := range c.Daemons {
		for _, services := range c.Services {
			for _, accounts := range c.Accounts {
				for _, routes := range c.Routes {
					cost, err := b.measureControlPoint(c, controlPoint{daemons: daemons, rulesSize: RulesSize{Services: services, Accounts: accounts, MinRoutes: routes}}, table)
					if err != nil {
						return err
					}
					// x is the size that has several values; only one list may have more than one.
					x = append(x, float64(max(daemons*min(len(c.Daemons)-1, 1), services*min(len(c.Services)-1, 1), accounts*min(len(c.Accounts)-1, 1), routes*min(len(c.Routes)-1, 1))))
					sent, received = append(sent, cost.sent), append(received, cost.received)
					daemonPercent, leaderPercent, leaderHeapKiB = append(daemonPercent, cost.daemonPercent),
						append(leaderPercent, cost.leaderPercent), append(leaderHeapKiB, cost.leaderHeapKiB)
				}
			}
		}
	}
	if len(x) < 2 {
		return nil
	}
	for _, series := range []struct {
		name string
		y    []float64
	}{
		{"daemon sends B/s", sent},
		{"daemon receives B/s", received},
		{"daemon % of a core", daemonPercent},
		{"leader % of a core", leaderPercent},
		{"leader heap KiB", leaderHeapKiB},
	} {
		line := fit(x, series.y)
		table.addNote("least squares: %s = %.4g + %.4g x", series.name, line.Base, line.Slope)
	}
	return nil
}

// controlCost holds bytes per second and daemon, processor time in percent of a core, and the leader's heap.
type controlCost struct{ sent, received, connectionUp, connectionDown, daemonPercent, leaderPercent, leaderHeapKiB float64 }

func (b *bench) measureControlPoint(c *controlCommand, point controlPoint, table *Table) (controlCost, error) {
	var cost controlCost
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	controlNodes := b.newVoters(1)
	nodes := b.newNodes("control", point.daemons)
	if err := writeRules(controlNodes[0].RulesFile, point.rulesSize.rulesText(1)); err != nil {
		return cost, err
	}
	profile := func(role string) []string {
		if c.Profile == "" {
			return nil
		}
		return []string{"--profile", c.Profile + "-" + role}
	}
	leaderHost, err := b.startHost(nodeSettings(controlNodes, controlAddresses(controlNodes)), profile("leader")...)
	if err != nil {
		return cost, err
	}
	defer leaderHost.stop()
	addresses := controlAddresses(controlNodes)
	var proxy *countingProxy
	if c.Relay {
		if proxy, err = startProxy(b.ports.reserve(1), controlNodes[0].PeerAddress()); err != nil {
			return cost, err
		}
		addresses = map[string]string{controlNodes[0].Name: proxy.address}
	}
	daemonHost, err := b.startHost(nodeSettings(nodes, addresses), profile("daemons")...)
	if err != nil {
		return cost, err
	}
	defer daemonHost.stop()
	if _, err := daemonHost.waitInForce(1, point.daemons); err != nil {
		return cost, err
	}
	backend, err := startStubBackend()
	if err != nil {
		return cost, err
	}
	for i, node := range nodes {
		if err := backend.announce(ctx, node, serviceName(i%point.rulesSize.Services)); err != nil {
			return cost, err
		}
	}
	loads := c.newLoads(nodes, point.rulesSize)
	run := func(d time.Duration) (calls, failed int64) {
		if c.Rate == 0 {
			sleep(ctx, d)
			return 0, 0
		}
		results := make(chan Outcome, len(loads))
		for i := range loads {
			load := loads[i]
			load.Duration = d
			go func() { results <- mergeOutcomes(load.run()) }()
		}
		for range loads {
			outcome := <-results
			calls, failed = calls+outcome.calls(), failed+outcome.Failures
		}
		return calls, failed
	}
	run(3 * time.Second) // until connections are open, and views and limits are stable
	watched := nodes[:min(10, len(nodes))]
	before, err := readControl(leaderHost, daemonHost, watched, proxy)
	if err != nil {
		return cost, err
	}
	started := time.Now()
	calls, failed := run(c.For)
	elapsed := time.Since(started).Seconds()
	after, err := readControl(leaderHost, daemonHost, watched, proxy)
	if err != nil {
		return cost, err
	}
	var daemonHeapKiB float64
	perDaemon := elapsed * float64(len(watched))
	cost = controlCost{
		sent: (after.sent - before.sent) / perDaemon, received: (after.received - before.received) / perDaemon,
		connectionUp:   (after.connectionUp - before.connectionUp) / elapsed / float64(point.daemons),
		connectionDown: (after.connectionDown - before.connectionDown) / elapsed / float64(point.daemons),
		daemonPercent:  100 * (after.daemons.Processor - before.daemons.Processor).Seconds() / elapsed / float64(point.daemons),
		leaderPercent:  100 * (after.leader.Processor - before.leader.Processor).Seconds() / elapsed,
	}
	for _, process := range []struct {
		host    *host
		heapKiB *float64
		daemons int
	}{{leaderHost, &cost.leaderHeapKiB, 1}, {daemonHost, &daemonHeapKiB, point.daemons}} {
		usage, err := process.host.query(Request{Collect: true})
		if err != nil {
			return cost, err
		}
		*process.heapKiB = float64(usage.Heap+usage.Stack) / 1024 / float64(process.daemons)
	}
	table.addRow(point.daemons, point.rulesSize.Services, point.rulesSize.Accounts, point.rulesSize.MinRoutes, float64(calls)/elapsed, failed,
		cost.sent, cost.received, cost.connectionUp, cost.connectionDown, cost.daemonPercent, cost.leaderPercent, daemonHeapKiB, cost.leaderHeapKiB, loadAverage())
	return cost, nil
}

// newLoads returns a load with one caller for each daemon, which calls several services with different client
// accounts.
func (c *controlCommand) newLoads(nodes []*Node, size RulesSize) []Load {
	var loads []Load
	for i, node := range nodes {
		load := Load{Callers: 1, Rate: max(1, int(math.Round(float64(c.Rate)/float64(max(1, c.Callees)))))}
		// Only the services of started daemons have instances.
		for n := range c.Callees {
			load.Targets = append(load.Targets, Target{
				Method: http.MethodGet, Address: node.IngressAddress(),
				Path: fmt.Sprintf("/keyed/%s/%d", serviceName((i+n)%min(size.Services, len(nodes))), i),
				Key:  accountKey((i*c.Callees + n) % size.Accounts),
			})
		}
		loads = append(loads, load)
	}
	return loads
}

func mergeOutcomes(outcomes []Outcome) Outcome {
	total := outcomes[0]
	for _, outcome := range outcomes[1:] {
		total.Times.Merge(outcome.Times)
		total.Failures += outcome.Failures
	}
	return total
}

// controlReading holds the values of all counters at one time; sent and received are sums over the watched
// daemons.
type controlReading struct {
	leader, daemons              Usage
	sent, received               float64
	connectionUp, connectionDown float64
}

func readControl(leaderHost, daemonHost *host, watched []*Node, proxy *countingProxy) (controlReading, error) {
	var reading controlReading
	for _, node := range watched {
		sent, received, err := controlBytes(node)
		if err != nil {
			return reading, err
		}
		reading.sent += sent
		reading.received += received
	}
	if proxy != nil {
		reading.connectionUp, reading.connectionDown = float64(proxy.upBytes.Load()), float64(proxy.downBytes.Load())
	}
	var err error
	if reading.leader, err = leaderHost.query(Request{}); err != nil {
		return reading, err
	}
	reading.daemons, err = daemonHost.query(Request{})
	return reading, err
}
