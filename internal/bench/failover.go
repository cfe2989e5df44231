package bench

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

// leaseLife is the time for which a daemon is fresh after it sent a beat that was answered.
const leaseLife = 3 * time.Second

type failoverCommand struct {
	Daemons []int `arg:"--daemons" help:"numbers of daemons [default: 10 100 200]"`
	Rounds  int   `arg:"--rounds" default:"3" help:"killed leaders for each row"`
	Watched int   `arg:"--watched" default:"10" help:"daemons whose status is read"`
}

// failover kills the leader's process and measures when daemons have their next beat answered.
func (b *bench) failover(c *failoverCommand, report *Report) error {
	if len(c.Daemons) == 0 {
		c.Daemons = []int{10, 100, 200}
	}
	table := report.table("Time from the leader's death until another leader answers a daemon's beat, three voters",
		"daemons", "round", "new leader elected", "first daemon", "median daemon", "last daemon", "daemons that were not fresh", "load")
	table.note("resolution %s; the new leader's time is read from the operators' endpoint", poll)
	for _, daemons := range c.Daemons {
		if err := b.failoverOf(c, daemons, table); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) failoverOf(c *failoverCommand, daemons int, table *Table) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	control := b.voters(3)
	nodes := b.nodes("failover", daemons)
	if err := writeRules(control[0].Rules, Scale{Services: 12, Accounts: 8}.text(1)); err != nil {
		return err
	}
	voters := make([]*host, len(control))
	start := func(i int) (err error) {
		voters[i], err = b.startHost([]string{control[i].settings(controls(control))})
		return err
	}
	for i := range control {
		if err := start(i); err != nil {
			return err
		}
		defer func() { voters[i].kill() }()
	}
	h, err := b.startHost(settingsOf(nodes, controls(control)))
	if err != nil {
		return err
	}
	defer h.stop()
	if _, err := h.inForce(1, daemons); err != nil {
		return err
	}
	for round := range c.Rounds {
		if !sleep(ctx, 2*time.Second) {
			return ctx.Err()
		}
		old, err := leader(ctx, control)
		if err != nil {
			return err
		}
		killed := time.Now()
		voters[old].kill()
		watched := nodes[:min(c.Watched, len(nodes))]
		times := make([]time.Duration, len(watched))
		stale := make([]bool, len(watched))
		var elected time.Duration
		var group errgroup.Group
		group.Go(func() error {
			rest := slices.Delete(slices.Clone(control), old, old+1)
			_, err := leader(ctx, rest)
			elected = time.Since(killed)
			return err
		})
		for i, node := range watched {
			group.Go(func() error {
				at, err := until(ctx, node, func(status *admin.Status) bool {
					stale[i] = stale[i] || !status.Fresh
					// A beat sent after the leader's death was answered.
					return status.FreshUntil.Add(-leaseLife).After(killed)
				})
				times[i] = at.Sub(killed)
				return err
			})
		}
		if err := group.Wait(); err != nil {
			return err
		}
		slices.Sort(times)
		lost := 0
		for _, s := range stale {
			if s {
				lost++
			}
		}
		table.row(daemons, round+1, elected, times[0], times[len(times)/2], times[len(times)-1], lost, loadAverage())
		if err := start(old); err != nil {
			return err
		}
	}
	return nil
}
