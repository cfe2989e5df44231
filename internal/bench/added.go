package bench

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const readyTime = 20 * time.Second

type addedCommand struct {
	Callers []int         `arg:"--callers" help:"numbers of callers [default: 1 8 32]"`
	Rate    int           `arg:"--rate" default:"0" help:"calls per second and kind over all callers; 0 calls without a pause"`
	For     time.Duration `arg:"--for" default:"5s" help:"time for each row"`
	Voters  []int         `arg:"--voters" help:"voters for run=once calls [default: 1 3]"`
}

// added compares calls through one and two daemons with direct calls of the same callers.
func (b *bench) added(c *addedCommand, report *Report) error {
	if len(c.Callers) == 0 {
		c.Callers = []int{1, 8, 32}
	}
	if len(c.Voters) == 0 {
		c.Voters = []int{1, 3}
	}
	for _, voters := range c.Voters {
		if err := b.addedWith(c, voters, report); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) addedWith(c *addedCommand, voters int, report *Report) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	control := b.voters(voters)
	daemons := b.nodes(fmt.Sprintf("added-%d", voters), 2)
	if err := writeRules(control[0].Rules, Scale{Services: 2, Accounts: 1}.text(1)); err != nil {
		return err
	}
	if _, err := startFleet(settingsOf(append(control, daemons...), controls(control))); err != nil {
		return err
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
	kind := func(name, method, path string, once bool, key string) []Target {
		return []Target{
			{Name: "direct", Method: method, Address: backend.address, Path: path + service(0) + "/1", Once: once, Key: key},
			{Name: name + ", one daemon", Method: method, Address: first, Path: path + service(0) + "/1", Once: once, Key: key},
			{Name: name + ", two daemons", Method: method, Address: first, Path: path + service(1) + "/1", Once: once, Key: key},
		}
	}
	kinds := [][]Target{kind(fmt.Sprintf("once, %d voters", voters), http.MethodPost, "/once/", true, key(0))}
	if voters == 1 {
		kinds = append([][]Target{kind("open", http.MethodGet, "/open/", false, ""), kind("keyed", http.MethodGet, "/keyed/", false, key(0))}, kinds...)
	}
	pace := "without a pause"
	if c.Rate > 0 {
		pace = fmt.Sprintf("at %d calls/s of each kind", c.Rate)
	}
	table := report.table(fmt.Sprintf("Added time with %d voters, %s (difference of quantiles; direct calls in the same run)", voters, pace),
		"call", "callers", "calls", "failed", "direct p50", "direct p99", "direct p99.9", "added p50", "added p99", "added p99.9", "load")
	for _, targets := range kinds {
		for i := range targets {
			if err := targets[i].ready(readyTime); err != nil {
				return err
			}
		}
		for _, callers := range c.Callers {
			warm := Load{Targets: targets, Callers: callers, For: time.Second / 2}
			warm.run()
			load := Load{Targets: targets, Callers: callers, Rate: c.Rate, For: c.For}
			got := load.run()
			direct := &got[0]
			for i := 1; i < len(got); i++ {
				o := &got[i]
				table.row(targets[i].Name, callers, o.calls(), o.Failures,
					direct.quantile(50), direct.quantile(99), direct.quantile(99.9),
					o.quantile(50)-direct.quantile(50), o.quantile(99)-direct.quantile(99), o.quantile(99.9)-direct.quantile(99.9), loadAverage())
				if o.Failures > 0 {
					table.note("%s, %d callers: %s", targets[i].Name, callers, o.Failure)
				}
			}
		}
	}
	return nil
}
