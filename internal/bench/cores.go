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

// measureCores measures the processor time per call of each daemon on the path of the call. Each daemon has its
// own child process; callers and the backend server run in this one.
func (b *bench) measureCores(c *coresCommand, report *Report) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	controlNodes := b.newVoters(1)
	daemons := b.newNodes("cores", 2)
	if err := writeRules(controlNodes[0].RulesFile, RulesSize{Services: 2, Accounts: 1}.rulesText(1)); err != nil {
		return err
	}
	addresses := controlAddresses(controlNodes)
	var hosts []*host
	for i, node := range append(controlNodes, daemons...) {
		var args []string
		if c.Profile != "" && i > 0 {
			args = []string{"--profile", c.Profile + "-" + node.Name}
		}
		h, err := b.startHost([]string{node.settings(addresses)}, args...)
		if err != nil {
			return err
		}
		defer h.stop()
		hosts = append(hosts, h)
	}
	backend, err := startStubBackend()
	if err != nil {
		return err
	}
	for i, daemon := range daemons {
		if err := backend.announce(ctx, daemon, serviceName(i)); err != nil {
			return err
		}
	}
	ingress := daemons[0].IngressAddress()
	table := report.addTable("Processor time of the daemons", "call", "callers", "calls/s", "failed",
		"first daemon per call", "second daemon per call", "voter per call", "calls/s and core, first", "calls/s and core, all daemons", "load")
	for _, target := range []Target{
		{Name: "open, one daemon", Method: http.MethodGet, Address: ingress, Path: "/open/" + serviceName(0) + "/1"},
		{Name: "open, two daemons", Method: http.MethodGet, Address: ingress, Path: "/open/" + serviceName(1) + "/1"},
		{Name: "keyed, one daemon", Method: http.MethodGet, Address: ingress, Path: "/keyed/" + serviceName(0) + "/1", Key: accountKey(0)},
		{Name: "keyed, two daemons", Method: http.MethodGet, Address: ingress, Path: "/keyed/" + serviceName(1) + "/1", Key: accountKey(0)},
		{Name: "once, one daemon, 1 voter", Method: http.MethodPost, Address: ingress, Path: "/once/" + serviceName(0) + "/1", Key: accountKey(0), Once: true},
	} {
		if err := target.waitReady(readyTimeout); err != nil {
			return err
		}
		warmUp := Load{Targets: []Target{target}, Callers: c.Callers, Duration: time.Second / 2}
		warmUp.run()
		before, err := queryUsages(hosts)
		if err != nil {
			return err
		}
		load := Load{Targets: []Target{target}, Callers: c.Callers, Duration: c.For}
		started := time.Now()
		outcome := load.run()[0]
		elapsed := time.Since(started)
		after, err := queryUsages(hosts)
		if err != nil {
			return err
		}
		calls := float64(outcome.calls())
		timePerCall := func(i int) float64 { return (after[i].Processor - before[i].Processor).Seconds() / calls }
		table.addRow(target.Name, c.Callers, calls/elapsed.Seconds(), outcome.Failures,
			seconds(timePerCall(1)), seconds(timePerCall(2)), seconds(timePerCall(0)),
			1/timePerCall(1), 1/(timePerCall(1)+timePerCall(2)), loadAverage())
		if outcome.Failures > 0 {
			table.addNote("%s: %s", target.Name, outcome.SampleError)
		}
	}
	return nil
}

func queryUsages(hosts []*host) ([]Usage, error) {
	var all []Usage
	for _, h := range hosts {
		usage, err := h.query(Request{})
		if err != nil {
			return nil, err
		}
		all = append(all, usage)
	}
	return all, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
