package bench

import "time"

type rejoinCommand struct {
	Daemons []int `arg:"--daemons" help:"numbers of daemons that start at once [default: 50 100 200]"`
	Routes  int   `arg:"--routes" default:"5000" help:"routes in the rules"`
}

// measureRejoin starts many daemons at the same time, as after the loss of an availability zone. Each of them
// needs the whole rules text.
func (b *bench) measureRejoin(c *rejoinCommand, report *Report) error {
	if len(c.Daemons) == 0 {
		c.Daemons = []int{50, 100, 200}
	}
	table := report.addTable("Daemons that start at once, one voter", "daemons", "text bytes", "until the rules are in force on all",
		"daemons' processor time each", "leader's processor time each", "leader resident before, KiB", "leader peak resident, KiB", "load")
	for _, daemons := range c.Daemons {
		if err := b.measureRejoinRow(c, daemons, table); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) measureRejoinRow(c *rejoinCommand, daemons int, table *Table) error {
	size := RulesSize{Services: 12, Accounts: 8, MinRoutes: c.Routes}
	controlNodes := b.newVoters(1)
	nodes := b.newNodes("rejoin", daemons)
	if err := writeRules(controlNodes[0].RulesFile, size.rulesText(1)); err != nil {
		return err
	}
	leaderHost, err := b.startHost(nodeSettings(controlNodes, controlAddresses(controlNodes)))
	if err != nil {
		return err
	}
	defer leaderHost.stop()
	if _, err := leaderHost.waitInForce(1, 1); err != nil {
		return err
	}
	before, err := leaderHost.query(Request{Collect: true})
	if err != nil {
		return err
	}
	started := time.Now()
	daemonHost, err := b.startHost(nodeSettings(nodes, controlAddresses(controlNodes)))
	if err != nil {
		return err
	}
	defer daemonHost.stop()
	usage, err := daemonHost.waitInForce(1, daemons)
	if err != nil {
		return err
	}
	after, err := leaderHost.query(Request{})
	if err != nil {
		return err
	}
	count := time.Duration(daemons)
	table.addRow(daemons, len(size.rulesText(1)), usage.InForce.Sub(started), usage.Processor/count,
		(after.Processor-before.Processor)/count, before.Resident>>10, after.Peak>>10, loadAverage())
	return nil
}
