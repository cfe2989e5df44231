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

// measureRecovery restarts a single voter after many changes and measures the time until it leads again.
func (b *bench) measureRecovery(c *recoveryCommand, report *Report) error {
	if len(c.Routes) == 0 {
		c.Routes = []int{40, 2000}
	}
	table := report.addTable("Restart of one voter after many changes", "changes", "text bytes", "data folder bytes",
		"restart until it leads", "until its own daemon is fresh", "time for one change", "voter's processor time per change", "load")
	for _, routes := range c.Routes {
		if err := b.measureRecoveryRow(c, routes, table); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) measureRecoveryRow(c *recoveryCommand, routes int, table *Table) error {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	size := RulesSize{Services: 12, Accounts: 8, MinRoutes: routes}
	controlNodes := b.newVoters(1)
	path := controlNodes[0].RulesFile
	if err := writeRules(path, size.rulesText(1)); err != nil {
		return err
	}
	settings := nodeSettings(controlNodes, controlAddresses(controlNodes))
	voter, err := b.startHost(settings)
	if err != nil {
		return err
	}
	defer func() { voter.kill() }()
	if err := waitAccepted(ctx, path, 1); err != nil {
		return err
	}
	before, err := voter.query(Request{})
	if err != nil {
		return err
	}
	started := time.Now()
	for revision := 2; revision <= c.Changes; revision++ {
		if err := writeRules(path, size.rulesText(revision)); err != nil {
			return err
		}
		if err := waitAccepted(ctx, path, revision); err != nil {
			return err
		}
	}
	timePerChange := time.Since(started) / time.Duration(c.Changes-1)
	after, err := voter.query(Request{})
	if err != nil {
		return err
	}
	folderBytes := folderSize(controlNodes[0].DataFolder)
	voter.kill()
	restarted := time.Now()
	if voter, err = b.startHost(settings); err != nil {
		return err
	}
	leads, err := waitStatus(ctx, controlNodes[0], func(status *admin.Status) bool { return status.Role == admin.RoleLeader })
	if err != nil {
		return err
	}
	fresh, err := waitStatus(ctx, controlNodes[0], func(status *admin.Status) bool { return status.Fresh && status.Revision == uint64(c.Changes) })
	if err != nil {
		return err
	}
	table.addRow(c.Changes, len(size.rulesText(1)), folderBytes, leads.Sub(restarted), fresh.Sub(restarted), timePerChange,
		(after.Processor-before.Processor)/time.Duration(c.Changes-1), loadAverage())
	return nil
}
