package bench

import (
	"context"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

type recoveryCommand struct {
	Changes int   `arg:"--changes" default:"500" help:"accepted changes before the restart"`
	Routes  []int `arg:"--routes" help:"routes in the rules [default: 40 2000]"`
}

// recovery restarts a single voter after many changes and measures when it leads again.
func (b *bench) recovery(c *recoveryCommand, report *Report) error {
	if len(c.Routes) == 0 {
		c.Routes = []int{40, 2000}
	}
	table := report.table("Restart of one voter after many changes", "changes", "text bytes", "data folder bytes",
		"restart until it leads", "until its own daemon is fresh", "time for one change", "voter's processor time per change", "load")
	for _, routes := range c.Routes {
		if err := b.recoveryOf(c, routes, table); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) recoveryOf(c *recoveryCommand, routes int, table *Table) error {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	scale := Scale{Services: 12, Accounts: 8, Routes: routes}
	control := b.voters(1)
	path := control[0].Rules
	if err := writeRules(path, scale.text(1)); err != nil {
		return err
	}
	settings := settingsOf(control, controls(control))
	voter, err := b.startHost(settings)
	if err != nil {
		return err
	}
	defer func() { voter.kill() }()
	if err := accepted(ctx, path, 1); err != nil {
		return err
	}
	before, err := voter.ask(Request{})
	if err != nil {
		return err
	}
	started := time.Now()
	for revision := 2; revision <= c.Changes; revision++ {
		if err := writeRules(path, scale.text(revision)); err != nil {
			return err
		}
		if err := accepted(ctx, path, revision); err != nil {
			return err
		}
	}
	each := time.Since(started) / time.Duration(c.Changes-1)
	after, err := voter.ask(Request{})
	if err != nil {
		return err
	}
	size := folderSize(control[0].Folder)
	voter.kill()
	restarted := time.Now()
	if voter, err = b.startHost(settings); err != nil {
		return err
	}
	leads, err := until(ctx, control[0], func(status *admin.Status) bool { return status.Role == admin.RoleLeader })
	if err != nil {
		return err
	}
	fresh, err := until(ctx, control[0], func(status *admin.Status) bool { return status.Fresh && status.Revision == uint64(c.Changes) })
	if err != nil {
		return err
	}
	table.row(c.Changes, len(scale.text(1)), size, leads.Sub(restarted), fresh.Sub(restarted), each,
		(after.Processor-before.Processor)/time.Duration(c.Changes-1), loadAverage())
	return nil
}
