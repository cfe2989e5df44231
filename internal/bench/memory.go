package bench

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
)

// idleTime is how long a daemon is left alone to measure its processor time.
const idleTime = 4 * time.Second

type memoryCommand struct {
	Connections int   `arg:"--connections" default:"2000" help:"idle caller connections"`
	Sessions    int   `arg:"--sessions" default:"500" help:"peer sessions"`
	Daemons     []int `arg:"--daemons" help:"daemons in one process [default: 10 50 100 200]"`
}

// memory measures a daemon's memory for connections and sessions, and that of whole daemons.
func (b *bench) memory(c *memoryCommand, report *Report) error {
	if len(c.Daemons) == 0 {
		c.Daemons = []int{10, 50, 100, 200}
	}
	if err := b.connections(c, report); err != nil {
		return err
	}
	table := report.table("Memory of idle daemons in one process, in KiB", "daemons", "heap", "stacks", "resident", "goroutines", "load")
	var count, heap, resident []float64
	for _, daemons := range c.Daemons {
		usage, err := b.idleDaemons(daemons)
		if err != nil {
			return err
		}
		table.row(daemons, usage.Heap>>10, usage.Stack>>10, usage.Resident>>10, usage.Goroutines, loadAverage())
		count = append(count, float64(daemons))
		heap = append(heap, float64(usage.Heap+usage.Stack)/1024)
		resident = append(resident, float64(usage.Resident)/1024)
	}
	table.note("least squares: heap and stacks %.4g + %.4g per daemon; resident %.4g + %.4g per daemon",
		fit(count, heap).Base, fit(count, heap).Slope, fit(count, resident).Base, fit(count, resident).Slope)
	return nil
}

func (b *bench) connections(c *memoryCommand, report *Report) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	control := b.voters(1)
	daemon := b.nodes("memory", 1)[0]
	if err := writeRules(control[0].Rules, Scale{Services: 1, Accounts: 1}.text(1)); err != nil {
		return err
	}
	voter, err := b.startHost(settingsOf(control, controls(control)))
	if err != nil {
		return err
	}
	defer voter.stop()
	h, err := b.startHost([]string{daemon.settings(controls(control))})
	if err != nil {
		return err
	}
	defer h.stop()
	backend, err := startStandIn()
	if err != nil {
		return err
	}
	if err := backend.announce(ctx, daemon, service(0)); err != nil {
		return err
	}
	target := Target{Name: "open", Method: http.MethodGet, Address: daemon.Ingress(), Path: "/open/" + service(0) + "/1"}
	if err := target.ready(readyTime); err != nil {
		return err
	}
	table := report.table("Memory of one daemon, in bytes", "added", "count", "heap each", "stacks each", "resident each", "goroutines each", "idle processor each, % of a core", "load")
	before, err := h.ask(Request{Collect: true})
	if err != nil {
		return err
	}
	sleep(ctx, idleTime)
	still, err := h.ask(Request{})
	if err != nil {
		return err
	}
	quiet := 100 * (still.Processor - before.Processor).Seconds() / idleTime.Seconds()
	step := func(name string, count int) error {
		after, err := h.ask(Request{Collect: true})
		if err != nil {
			return err
		}
		sleep(ctx, idleTime)
		idle, err := h.ask(Request{})
		if err != nil {
			return err
		}
		spent := 100 * (idle.Processor - after.Processor).Seconds() / idleTime.Seconds()
		each := func(a, b uint64) int64 { return (int64(a) - int64(b)) / int64(count) }
		table.row(name, count, each(after.Heap, before.Heap), each(after.Stack, before.Stack),
			each(after.Resident, before.Resident), float64(after.Goroutines-before.Goroutines)/float64(count),
			(spent-quiet)/float64(count), loadAverage())
		before = after
		return nil
	}
	for i := range c.Sessions {
		dialer := &link.Dialer{Name: fmt.Sprintf("peer-%d", i), Secret: []byte(benchSecret)}
		stream, err := dialer.Open(ctx, daemon.Peer(), link.StreamCall)
		if err != nil {
			return fmt.Errorf("open peer session: %w", err)
		}
		_ = stream.Close()
		defer dialer.Close()
	}
	if err := step("accepted peer sessions without streams", c.Sessions); err != nil {
		return err
	}
	for range c.Connections {
		made := newCaller(1)
		if err := made.send(&target); err != nil {
			return err
		}
		defer made.client.CloseIdleConnections()
	}
	return step("idle caller connections after one call", c.Connections)
}

// idleDaemons returns the usage of a process with daemons that have a lease and no traffic.
func (b *bench) idleDaemons(count int) (Usage, error) {
	control := b.voters(1)
	nodes := b.nodes("idle", count)
	if err := writeRules(control[0].Rules, Scale{Services: 12, Accounts: 8, Routes: 40}.text(1)); err != nil {
		return Usage{}, err
	}
	voter, err := b.startHost(settingsOf(control, controls(control)))
	if err != nil {
		return Usage{}, err
	}
	defer voter.stop()
	h, err := b.startHost(settingsOf(nodes, controls(control)))
	if err != nil {
		return Usage{}, err
	}
	defer h.stop()
	if _, err := h.inForce(1, count); err != nil {
		return Usage{}, err
	}
	return h.ask(Request{Collect: true})
}
