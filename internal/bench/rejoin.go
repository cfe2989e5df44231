package bench

import "time"

type rejoinCommand struct {
	Daemons []int `arg:"--daemons" help:"numbers of daemons that start at once [default: 50 100 200]"`
	Routes  int   `arg:"--routes" default:"5000" help:"routes in the rules"`
}

// rejoin starts many daemons at the same time, as after the loss of an availability zone; each of them
// needs the whole rules text.
func (b *bench) rejoin(c *rejoinCommand, report *Report) error {
	if len(c.Daemons) == 0 {
		c.Daemons = []int{50, 100, 200}
	}
	table := report.table("Daemons that start at once, one voter", "daemons", "text bytes", "until the rules are in force on all",
		"daemons' processor time each", "leader's processor time each", "leader resident before, KiB", "leader peak resident, KiB", "load")
	for _, daemons := range c.Daemons {
		if err := b.rejoinOf(c, daemons, table); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) rejoinOf(c *rejoinCommand, daemons int, table *Table) error {
	scale := Scale{Services: 12, Accounts: 8, Routes: c.Routes}
	control := b.voters(1)
	nodes := b.nodes("rejoin", daemons)
	if err := writeRules(control[0].Rules, scale.text(1)); err != nil {
		return err
	}
	lead, err := b.startHost(settingsOf(control, controls(control)))
	if err != nil {
		return err
	}
	defer lead.stop()
	if _, err := lead.inForce(1, 1); err != nil {
		return err
	}
	before, err := lead.ask(Request{Collect: true})
	if err != nil {
		return err
	}
	started := time.Now()
	h, err := b.startHost(settingsOf(nodes, controls(control)))
	if err != nil {
		return err
	}
	defer h.stop()
	usage, err := h.inForce(1, daemons)
	if err != nil {
		return err
	}
	after, err := lead.ask(Request{})
	if err != nil {
		return err
	}
	each := time.Duration(daemons)
	table.row(daemons, len(scale.text(1)), usage.InForce.Sub(started), usage.Processor/each,
		(after.Processor-before.Processor)/each, before.Resident>>10, after.Peak>>10, loadAverage())
	return nil
}
