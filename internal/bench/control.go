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

// point is one row of the control measurement.
type point struct {
	daemons int
	scale   Scale
}

// control measures the leader and the daemons in two processes; callers and backend servers are in this
// one. Each number with more than one value gives a slope.
func (b *bench) control(c *controlCommand, report *Report) error {
	fill := func(list *[]int, values ...int) {
		if len(*list) == 0 {
			*list = values
		}
	}
	fill(&c.Daemons, 10, 50, 100, 200)
	fill(&c.Services, 12)
	fill(&c.Accounts, 8)
	fill(&c.Routes, 40)
	table := report.table(fmt.Sprintf("Control traffic, one voter, %d calls/s for each daemon", c.Rate),
		"daemons", "services", "accounts", "routes", "calls/s", "failed",
		"daemon sends B/s", "daemon receives B/s", "connection up B/s", "connection down B/s", "daemon % of a core", "leader % of a core", "daemon heap KiB", "leader heap KiB", "load")
	table.note("bytes sent and received are control frames; bytes on the connection are counted with --relay and include the headers of yamux; with calls, a daemon's processor time includes the calls themselves")
	var x, sent, received, daemon, lead, heap []float64
	for _, daemons := range c.Daemons {
		for _, services := range c.Services {
			for _, accounts := range c.Accounts {
				for _, routes := range c.Routes {
					got, err := b.controlPoint(c, point{daemons: daemons, scale: Scale{Services: services, Accounts: accounts, Routes: routes}}, table)
					if err != nil {
						return err
					}
					// The values that vary are the x of the slopes; only one list has several.
					x = append(x, float64(max(daemons*min(len(c.Daemons)-1, 1), services*min(len(c.Services)-1, 1), accounts*min(len(c.Accounts)-1, 1), routes*min(len(c.Routes)-1, 1))))
					sent, received = append(sent, got.sent), append(received, got.received)
					daemon, lead, heap = append(daemon, got.daemon), append(lead, got.leader), append(heap, got.heap)
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
		{"daemon % of a core", daemon},
		{"leader % of a core", lead},
		{"leader heap KiB", heap},
	} {
		line := fit(x, series.y)
		table.note("least squares: %s = %.4g + %.4g x", series.name, line.Base, line.Slope)
	}
	return nil
}

type controlCost struct{ sent, received, wireUp, wireDown, daemon, leader, heap float64 }

func (b *bench) controlPoint(c *controlCommand, p point, table *Table) (controlCost, error) {
	var cost controlCost
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	control := b.voters(1)
	nodes := b.nodes("control", p.daemons)
	if err := writeRules(control[0].Rules, p.scale.text(1)); err != nil {
		return cost, err
	}
	profile := func(role string) []string {
		if c.Profile == "" {
			return nil
		}
		return []string{"--profile", c.Profile + "-" + role}
	}
	lead, err := b.startHost(settingsOf(control, controls(control)), profile("leader")...)
	if err != nil {
		return cost, err
	}
	defer lead.stop()
	addresses := controls(control)
	var counter *relay
	if c.Relay {
		if counter, err = startRelay(b.ports.take(1), control[0].Peer()); err != nil {
			return cost, err
		}
		addresses = map[string]string{control[0].Name: counter.address}
	}
	h, err := b.startHost(settingsOf(nodes, addresses), profile("daemons")...)
	if err != nil {
		return cost, err
	}
	defer h.stop()
	if _, err := h.inForce(1, p.daemons); err != nil {
		return cost, err
	}
	backend, err := startStandIn()
	if err != nil {
		return cost, err
	}
	for i, node := range nodes {
		if err := backend.announce(ctx, node, service(i%p.scale.Services)); err != nil {
			return cost, err
		}
	}
	loads := c.loads(nodes, p.scale)
	run := func(d time.Duration) (calls, failed int64) {
		if c.Rate == 0 {
			sleep(ctx, d)
			return 0, 0
		}
		results := make(chan Outcome, len(loads))
		for i := range loads {
			load := loads[i]
			load.For = d
			go func() { results <- sum(load.run()) }()
		}
		for range loads {
			one := <-results
			calls, failed = calls+one.calls(), failed+one.Failures
		}
		return calls, failed
	}
	run(3 * time.Second) // connections, views and limits settle
	watched := nodes[:min(10, len(nodes))]
	before, err := readControl(lead, h, watched, counter)
	if err != nil {
		return cost, err
	}
	started := time.Now()
	calls, failed := run(c.For)
	took := time.Since(started).Seconds()
	after, err := readControl(lead, h, watched, counter)
	if err != nil {
		return cost, err
	}
	var daemonHeap float64
	perDaemon := took * float64(len(watched))
	cost = controlCost{
		sent: (after.sent - before.sent) / perDaemon, received: (after.received - before.received) / perDaemon,
		wireUp: (after.wireUp - before.wireUp) / took / float64(p.daemons), wireDown: (after.wireDown - before.wireDown) / took / float64(p.daemons),
		daemon: 100 * (after.daemons.Processor - before.daemons.Processor).Seconds() / took / float64(p.daemons),
		leader: 100 * (after.leader.Processor - before.leader.Processor).Seconds() / took,
	}
	for _, one := range []struct {
		host *host
		kib  *float64
		each int
	}{{lead, &cost.heap, 1}, {h, &daemonHeap, p.daemons}} {
		usage, err := one.host.ask(Request{Collect: true})
		if err != nil {
			return cost, err
		}
		*one.kib = float64(usage.Heap+usage.Stack) / 1024 / float64(one.each)
	}
	table.row(p.daemons, p.scale.Services, p.scale.Accounts, p.scale.Routes, float64(calls)/took, failed, cost.sent, cost.received,
		cost.wireUp, cost.wireDown, cost.daemon, cost.leader, daemonHeap, cost.heap, loadAverage())
	return cost, nil
}

// loads returns one caller for each daemon, which calls several services with different accounts.
func (c *controlCommand) loads(nodes []*Node, scale Scale) []Load {
	var loads []Load
	for i, node := range nodes {
		load := Load{Callers: 1, Rate: max(1, int(math.Round(float64(c.Rate)/float64(max(1, c.Callees)))))}
		// Only the services of started daemons have instances.
		for n := range c.Callees {
			load.Targets = append(load.Targets, Target{
				Method: http.MethodGet, Address: node.Ingress(),
				Path: fmt.Sprintf("/keyed/%s/%d", service((i+n)%min(scale.Services, len(nodes))), i),
				Key:  key((i*c.Callees + n) % scale.Accounts),
			})
		}
		loads = append(loads, load)
	}
	return loads
}

func sum(outcomes []Outcome) Outcome {
	total := outcomes[0]
	for _, one := range outcomes[1:] {
		total.Times.Merge(one.Times)
		total.Failures += one.Failures
	}
	return total
}

// controlReading is the state of all counters at one time.
type controlReading struct {
	leader, daemons  Usage
	sent, received   float64
	wireUp, wireDown float64
}

func readControl(lead, daemons *host, watched []*Node, counter *relay) (controlReading, error) {
	var reading controlReading
	for _, node := range watched {
		sent, received, err := controlBytes(node)
		if err != nil {
			return reading, err
		}
		reading.sent += sent
		reading.received += received
	}
	if counter != nil {
		reading.wireUp, reading.wireDown = float64(counter.up.Load()), float64(counter.down.Load())
	}
	var err error
	if reading.leader, err = lead.ask(Request{}); err != nil {
		return reading, err
	}
	reading.daemons, err = daemons.ask(Request{})
	return reading, err
}
