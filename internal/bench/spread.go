package bench

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

var errNotInHistory = errors.New("accepted revision is not in the history")

type spreadCommand struct {
	Daemons []int `arg:"--daemons" help:"numbers of daemons [default: 10 50 100 200]"`
	Changes int   `arg:"--changes" default:"10" help:"changes for each row"`
	Routes  int   `arg:"--routes" default:"100" help:"routes in the rules"`
}

// measureSpread measures the time from the proposal of an accepted change, with three voters, until it is in
// effect on the last daemon, and until the daemons' heartbeats have reported that to the leader.
func (b *bench) measureSpread(c *spreadCommand, report *Report) error {
	if len(c.Daemons) == 0 {
		c.Daemons = []int{10, 50, 100, 200}
	}
	table := report.addTable("Time from an accepted change to in force on all daemons, three voters",
		"daemons", "changes", "text bytes", "p50 in force", "max in force", "p50 known to leader", "max known to leader", "load")
	for _, daemons := range c.Daemons {
		if err := b.measureSpreadRow(c, daemons, table); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) measureSpreadRow(c *spreadCommand, daemons int, table *Table) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	size := RulesSize{Services: 12, Accounts: 8, MinRoutes: c.Routes}
	controlNodes := b.newVoters(3)
	nodes := b.newNodes("spread", daemons)
	if err := writeRules(controlNodes[0].RulesFile, size.rulesText(1)); err != nil {
		return err
	}
	for _, node := range controlNodes {
		voter, err := b.startHost([]string{node.settings(controlAddresses(controlNodes))})
		if err != nil {
			return err
		}
		defer voter.stop()
	}
	daemonHost, err := b.startHost(nodeSettings(nodes, controlAddresses(controlNodes)))
	if err != nil {
		return err
	}
	defer daemonHost.stop()
	if _, err := daemonHost.waitInForce(1, daemons); err != nil {
		return err
	}
	var inForceTimes, reportedTimes []time.Duration
	for revision := 2; revision < 2+c.Changes; revision++ {
		if err := writeRules(controlNodes[0].RulesFile, size.rulesText(revision)); err != nil {
			return err
		}
		usage, err := daemonHost.waitInForce(revision, daemons)
		if err != nil {
			return err
		}
		// The leader replies when the heartbeats of all daemons have reported the revision.
		if err := waitAccepted(ctx, controlNodes[0].RulesFile, revision); err != nil {
			return err
		}
		state, err := getReport[admin.InForce](nodes[0], admin.PathInForce+"?wait=10s")
		if err != nil {
			return err
		}
		reportedAt := time.Now()
		if !state.InForce {
			table.addNote("%d daemons: revision %d was not confirmed: %d of %d behind", daemons, revision, state.Behind, state.Daemons)
		}
		proposed, err := proposedAt(nodes[0], revision)
		if err != nil {
			return err
		}
		inForceTimes = append(inForceTimes, usage.InForce.Sub(proposed))
		reportedTimes = append(reportedTimes, reportedAt.Sub(proposed))
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	slices.Sort(inForceTimes)
	slices.Sort(reportedTimes)
	table.addRow(daemons, c.Changes, len(size.rulesText(1)), inForceTimes[len(inForceTimes)/2], inForceTimes[len(inForceTimes)-1],
		reportedTimes[len(reportedTimes)/2], reportedTimes[len(reportedTimes)-1], loadAverage())
	return nil
}

// proposedAt returns when the leader proposed the accepted revision.
func proposedAt(node *Node, revision int) (time.Time, error) {
	history, err := getReport[admin.History](node, admin.PathHistory+"?limit=1")
	if err != nil {
		return time.Time{}, err
	}
	for _, entry := range history.Revisions {
		if entry.Number == uint64(revision) {
			return entry.Time, nil
		}
	}
	return time.Time{}, errNotInHistory
}
