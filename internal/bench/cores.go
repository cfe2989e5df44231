package bench

import (
	"context"
	"net/http"
	"time"
)

type coresCommand struct {
	Callers int           `arg:"--callers" default:"32" help:"number of callers"`
	For     time.Duration `arg:"--for" default:"5s" help:"time for each row"`
	Profile string        `arg:"--profile" placeholder:"PREFIX" help:"write profiles of the two daemons"`
}

// cores measures the processor time that each daemon on the path of a call spends on it. Each daemon
// has its own process; callers and the backend server are in this one.
func (b *bench) cores(c *coresCommand, report *Report) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	control := b.voters(1)
	daemons := b.nodes("cores", 2)
	if err := writeRules(control[0].Rules, Scale{Services: 2, Accounts: 1}.text(1)); err != nil {
		return err
	}
	table := controls(control)
	var hosts []*host
	for i, node := range append(control, daemons...) {
		var args []string
		if c.Profile != "" && i > 0 {
			args = []string{"--profile", c.Profile + "-" + node.Name}
		}
		h, err := b.startHost([]string{node.settings(table)}, args...)
		if err != nil {
			return err
		}
		defer h.stop()
		hosts = append(hosts, h)
	}
	backend, err := startStandIn()
	if err != nil {
		return err
	}
	for i, daemon := range daemons {
		if err := backend.announce(ctx, daemon, service(i)); err != nil {
			return err
		}
	}
	first := daemons[0].Ingress()
	result := report.table("Processor time of the daemons", "call", "callers", "calls/s", "failed",
		"first daemon per call", "second daemon per call", "voter per call", "calls/s and core, first", "calls/s and core, all daemons", "load")
	for _, target := range []Target{
		{Name: "open, one daemon", Method: http.MethodGet, Address: first, Path: "/open/" + service(0) + "/1"},
		{Name: "open, two daemons", Method: http.MethodGet, Address: first, Path: "/open/" + service(1) + "/1"},
		{Name: "keyed, one daemon", Method: http.MethodGet, Address: first, Path: "/keyed/" + service(0) + "/1", Key: key(0)},
		{Name: "keyed, two daemons", Method: http.MethodGet, Address: first, Path: "/keyed/" + service(1) + "/1", Key: key(0)},
		{Name: "once, one daemon, 1 voter", Method: http.MethodPost, Address: first, Path: "/once/" + service(0) + "/1", Key: key(0), Once: true},
	} {
		if err := target.ready(readyTime); err != nil {
			return err
		}
		warm := Load{Targets: []Target{target}, Callers: c.Callers, For: time.Second / 2}
		warm.run()
		before, err := usages(hosts)
		if err != nil {
			return err
		}
		load := Load{Targets: []Target{target}, Callers: c.Callers, For: c.For}
		started := time.Now()
		got := load.run()[0]
		took := time.Since(started)
		after, err := usages(hosts)
		if err != nil {
			return err
		}
		calls := float64(got.calls())
		spent := func(i int) float64 { return (after[i].Processor - before[i].Processor).Seconds() / calls }
		result.row(target.Name, c.Callers, calls/took.Seconds(), got.Failures, seconds(spent(1)), seconds(spent(2)), seconds(spent(0)),
			1/spent(1), 1/(spent(1)+spent(2)), loadAverage())
		if got.Failures > 0 {
			result.note("%s: %s", target.Name, got.Failure)
		}
	}
	return nil
}

func usages(hosts []*host) ([]Usage, error) {
	var all []Usage
	for _, h := range hosts {
		usage, err := h.ask(Request{})
		if err != nil {
			return nil, err
		}
		all = append(all, usage)
	}
	return all, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
