package bench

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const readyTimeout = 20 * time.Second

type addedCommand struct {
	Callers []int         `arg:"--callers" help:"numbers of callers [default: 1 8 32]"`
	Rate    int           `arg:"--rate" default:"0" help:"calls per second and kind over all callers; 0 calls without a pause"`
	For     time.Duration `arg:"--for" default:"5s" help:"time for each row"`
	Voters  []int         `arg:"--voters" help:"voters for run=once calls [default: 1 3]"`
	NoReuse bool          `arg:"--no-reuse" help:"backend servers do not return the attempt, so that each request gets a new connection"`
}

// measureAdded compares the latency of calls through one and two daemons with that of direct calls by the same
// callers.
func (b *bench) measureAdded(c *addedCommand, report *Report) error {
	if len(c.Callers) == 0 {
		c.Callers = []int{1, 8, 32}
	}
	if len(c.Voters) == 0 {
		c.Voters = []int{1, 3}
	}
	for _, voters := range c.Voters {
		if err := b.measureAddedWithVoters(c, voters, report); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) measureAddedWithVoters(c *addedCommand, voters int, report *Report) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	controlNodes := b.newVoters(voters)
	daemons := b.newNodes(fmt.Sprintf("added-%d", voters), 2)
	if err := writeRules(controlNodes[0].RulesFile, RulesSize{Services: 2, Accounts: 1}.rulesText(1)); err != nil {
		return err
	}
	if _, err := startFleet(nodeSettings(append(controlNodes, daemons...), controlAddresses(controlNodes))); err != nil {
		return err
	}
	backend, err := startStubBackend()
	if err != nil {
		return err
	}
	backend.returnsAttempt = !c.NoReuse
	for i, daemon := range daemons {
		if err := backend.announce(ctx, daemon, serviceName(i)); err != nil {
			return err
		}
	}
	ingress := daemons[0].IngressAddress()
	newTargets := func(name, method, path string, once bool, key string) []Target {
		return []Target{
			{Name: "direct", Method: method, Address: backend.address, Path: path + serviceName(0) + "/1", Once: once, Key: key},
			{Name: name + ", one daemon", Method: method, Address: ingress, Path: path + serviceName(0) + "/1", Once: once, Key: key},
			{Name: name + ", two daemons", Method: method, Address: ingress, Path: path + serviceName(1) + "/1", Once: once, Key: key},
		}
	}
	targetGroups := [][]Target{newTargets(fmt.Sprintf("once, %d voters", voters), http.MethodPost, "/once/", true, accountKey(0))}
	if voters == 1 {
		targetGroups = append([][]Target{newTargets("open", http.MethodGet, "/open/", false, ""), newTargets("keyed", http.MethodGet, "/keyed/", false, accountKey(0))}, targetGroups...)
	}
	rateText := "without a pause"
	if c.Rate > 0 {
		rateText = fmt.Sprintf("at %d calls/s of each kind", c.Rate)
	}
	table := report.addTable(fmt.Sprintf("Added time with %d voters, %s (difference of quantiles; direct calls in the same run)", voters, rateText),
		"call", "callers", "calls", "failed", "direct p50", "direct p99", "direct p99.9", "added p50", "added p99", "added p99.9", "load")
	for _, targets := range targetGroups {
		for i := range targets {
			if err := targets[i].waitReady(readyTimeout); err != nil {
				return err
			}
		}
		for _, callers := range c.Callers {
			warmUp := Load{Targets: targets, Callers: callers, Duration: time.Second / 2}
			warmUp.run()
			load := Load{Targets: targets, Callers: callers, Rate: c.Rate, Duration: c.For}
			outcomes := load.run()
			direct := &outcomes[0]
			for i := 1; i < len(outcomes); i++ {
				outcome := &outcomes[i]
				table.addRow(targets[i].Name, callers, outcome.calls(), outcome.Failures,
					direct.quantile(50), direct.quantile(99), direct.quantile(99.9),
					outcome.quantile(50)-direct.quantile(50), outcome.quantile(99)-direct.quantile(99), outcome.quantile(99.9)-direct.quantile(99.9), loadAverage())
				if outcome.Failures > 0 {
					table.addNote("%s, %d callers: %s", targets[i].Name, callers, outcome.SampleError)
				}
			}
		}
	}
	return nil
}
