package bench

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
)

// idlePeriod is the time without calls over which a daemon's idle processor time is measured.
const idlePeriod = 4 * time.Second

type memoryCommand struct {
	Connections int   `arg:"--connections" default:"2000" help:"idle caller connections"`
	Sessions    int   `arg:"--sessions" default:"500" help:"peer sessions"`
	Daemons     []int `arg:"--daemons" help:"daemons in one process [default: 10 50 100 200]"`
}

// measureMemory measures a daemon's memory for each connection and session, and the memory of idle daemons.
func (b *bench) measureMemory(c *memoryCommand, report *Report) error {
	if len(c.Daemons) == 0 {
		c.Daemons = []int{10, 50, 100, 200}
	}
	if err := b.measureConnections(c, report); err != nil {
		return err
	}
	table := report.addTable("Memory of idle daemons in one process, in KiB", "daemons", "heap", "stacks", "resident", "goroutines", "load")
	var count, heap, resident []float64
	for _, daemons := range c.Daemons {
		usage, err := b.measureIdleDaemons(daemons)
		if err != nil {
			return err
		}
		table.addRow(daemons, usage.Heap>>10, usage.Stack>>10, usage.Resident>>10, usage.Goroutines, loadAverage())
		count = append(count, float64(daemons))
		heap = append(heap, float64(usage.Heap+usage.Stack)/1024)
		resident = append(resident, float64(usage.Resident)/1024)
	}
	table.addNote("least squares: heap and stacks %.4g + %.4g per daemon; resident %.4g + %.4g per daemon",
		fit(count, heap).Base, fit(count, heap).Slope, fit(count, resident).Base, fit(count, resident).Slope)
	return nil
}

// measureConnections measures the memory and idle processor time of peer sessions and caller connections.
func (b *bench) measureConnections(c *memoryCommand, report *Report) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	controlNodes := b.newVoters(1)
	daemon := b.newNodes("memory", 1)[0]
	if err := writeRules(controlNodes[0].RulesFile, RulesSize{Services: 1, Accounts: 1}.rulesText(1)); err != nil {
		return err
	}
	voter, err := b.startHost(nodeSettings(controlNodes, controlAddresses(controlNodes)))
	if err != nil {
		return err
	}
	defer voter.stop()
	daemonHost, err := b.startHost([]string{daemon.settings(controlAddresses(controlNodes))})
	if err != nil {
		return err
	}
	defer daemonHost.stop()
	backend, err := startStubBackend()
	if err != nil {
		return err
	}
	if err := backend.announce(ctx, daemon, serviceName(0)); err != nil {
		return err
	}
	target := Target{Name: "open", Method: http.MethodGet, Address: daemon.IngressAddress(), Path: "/open/" + serviceName(0) + "/1"}
	if err := target.waitReady(readyTimeout); err != nil {
		return err
	}
	table := report.addTable("Memory of one daemon, in bytes", "added", "count", "heap each", "stacks each", "resident each", "goroutines each", "idle processor each, % of a core", "load")
	before, err := daemonHost.query(Request{Collect: true})
	if err != nil {
		return err
	}
	sleep(ctx, idlePeriod)
	baseline, err := daemonHost.query(Request{})
	if err != nil {
		return err
	}
	idlePercent := 100 * (baseline.Processor - before.Processor).Seconds() / idlePeriod.Seconds()
	addRow := func(name string, count int) error {
		after, err := daemonHost.query(Request{Collect: true})
		if err != nil {
			return err
		}
		sleep(ctx, idlePeriod)
		idle, err := daemonHost.query(Request{})
		if err != nil {
			return err
		}
		percent := 100 * (idle.Processor - after.Processor).Seconds() / idlePeriod.Seconds()
		perItem := func(a, b uint64) int64 { return (int64(a) - int64(b)) / int64(count) }
		table.addRow(name, count, perItem(after.Heap, before.Heap), perItem(after.Stack, before.Stack),
			perItem(after.Resident, before.Resident), float64(after.Goroutines-before.Goroutines)/float64(count),
			(percent-idlePercent)/float64(count), loadAverage())
		before = after
		return nil
	}
	for i := range c.Sessions {
		dialer := &link.Dialer{Name: fmt.Sprintf("peer-%d", i), Secret: []byte(benchSecret)}
		stream, err := dialer.Open(ctx, daemon.PeerAddress(), link.StreamCall)
		if err != nil {
			return fmt.Errorf("open peer session: %w", err)
		}
		_ = stream.Close()
		defer dialer.Close()
	}
	if err := addRow("accepted peer sessions without streams", c.Sessions); err != nil {
		return err
	}
	for range c.Connections {
		caller := newCaller(1)
		if err := caller.send(&target); err != nil {
			return err
		}
		defer caller.client.CloseIdleConnections()
	}
	return addRow("idle caller connections after one call", c.Connections)
}

// measureIdleDaemons returns the usage of a process with count daemons that hold a lease and have no traffic.
func (b *bench) measureIdleDaemons(count int) (Usage, error) {
	controlNodes := b.newVoters(1)
	nodes := b.newNodes("idle", count)
	if err := writeRules(controlNodes[0].RulesFile, RulesSize{Services: 12, Accounts: 8, MinRoutes: 40}.rulesText(1)); err != nil {
		return Usage{}, err
	}
	voter, err := b.startHost(nodeSettings(controlNodes, controlAddresses(controlNodes)))
	if err != nil {
		return Usage{}, err
	}
	defer voter.stop()
	daemonHost, err := b.startHost(nodeSettings(nodes, controlAddresses(controlNodes)))
	if err != nil {
		return Usage{}, err
	}
	defer daemonHost.stop()
	if _, err := daemonHost.waitInForce(1, count); err != nil {
		return Usage{}, err
	}
	return daemonHost.query(Request{Collect: true})
}
