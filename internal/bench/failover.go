package bench

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

// leaseDuration is how long a daemon is fresh after it sent a heartbeat that the leader confirmed.
const leaseDuration = 3 * time.Second

type failoverCommand struct {
	Daemons []int `arg:"--daemons" help:"numbers of daemons [default: 10 100 200]"`
	Rounds  int   `arg:"--rounds" default:"3" help:"killed leaders for each row"`
	Watched int   `arg:"--watched" default:"10" help:"daemons whose status is read"`
}

// measureFailover kills the leader's process and measures the time until another leader confirms heartbeats
// of the daemons.
func (b *bench) measureFailover(c *failoverCommand, report *Report) error {
	if len(c.Daemons) == 0 {
		c.Daemons = []int{10, 100, 200}
	}
	table := report.addTable("Time from the leader's death until another leader answers a daemon's beat, three voters",
		"daemons", "round", "new leader elected", "first daemon", "median daemon", "last daemon", "daemons that were not fresh", "load")
	table.addNote("resolution %s; the new leader's time is read from the operators' endpoint", pollInterval)
	for _, daemons := range c.Daemons {
		if err := b.measureFailoverRounds(c, daemons, table); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) measureFailoverRounds(c *failoverCommand, daemons int, table *Table) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	controlNodes := b.newVoters(3)
	nodes := b.newNodes("failover", daemons)
	if err := writeRules(controlNodes[0].RulesFile, RulesSize{Services: 12, Accounts: 8}.rulesText(1)); err != nil {
		return err
	}
	voterHosts := make([]*host, len(controlNodes))
	startVoter := func(i int) (err error) {
		voterHosts[i], err = b.startHost([]string{controlNodes[i].settings(controlAddresses(controlNodes))})
		return err
	}
	for i := range controlNodes {
		if err := startVoter(i); err != nil {
			return err
		}
		defer func() { voterHosts[i].kill() }()
	}
	daemonHost, err := b.startHost(nodeSettings(nodes, controlAddresses(controlNodes)))
	if err != nil {
		return err
	}
	defer daemonHost.stop()
	if _, err := daemonHost.waitInForce(1, daemons); err != nil {
		return err
	}
	for round := range c.Rounds {
		if !sleep(ctx, 2*time.Second) {
			return ctx.Err()
		}
		leaderIndex, err := waitLeader(ctx, controlNodes)
		if err != nil {
			return err
		}
		killed := time.Now()
		voterHosts[leaderIndex].kill()
		watched := nodes[:min(c.Watched, len(nodes))]
		times := make([]time.Duration, len(watched))
		stale := make([]bool, len(watched))
		var elected time.Duration
		var group errgroup.Group
		group.Go(func() error {
			remaining := slices.Delete(slices.Clone(controlNodes), leaderIndex, leaderIndex+1)
			_, err := waitLeader(ctx, remaining)
			elected = time.Since(killed)
			return err
		})
		for i, node := range watched {
			group.Go(func() error {
				freshAt, err := waitStatus(ctx, node, func(status *admin.Status) bool {
					stale[i] = stale[i] || !status.Fresh
					// The lease was extended by a heartbeat that was sent after the leader was killed.
					return status.FreshUntil.Add(-leaseDuration).After(killed)
				})
				times[i] = freshAt.Sub(killed)
				return err
			})
		}
		if err := group.Wait(); err != nil {
			return err
		}
		slices.Sort(times)
		staleCount := 0
		for _, isStale := range stale {
			if isStale {
				staleCount++
			}
		}
		table.addRow(daemons, round+1, elected, times[0], times[len(times)/2], times[len(times)-1], staleCount, loadAverage())
		if err := startVoter(leaderIndex); err != nil {
			return err
		}
	}
	return nil
}
