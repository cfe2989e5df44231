package bench

import (
	"context"
	"time"
)

type changeCommand struct {
	Daemons int   `arg:"--daemons" default:"50" help:"number of daemons"`
	Routes  []int `arg:"--routes" help:"routes in the rules [default: 40 500 2000 5000]"`
	Changes int   `arg:"--changes" default:"10" help:"changes for each row"`
}

// measureChange measures the cost of an accepted change of one line for several sizes of the rules.
func (b *bench) measureChange(c *changeCommand, report *Report) error {
	if len(c.Routes) == 0 {
		c.Routes = []int{40, 500, 2000, 5000}
	}
	table := report.addTable("Cost of one change of one line, one voter", "daemons", "routes", "text bytes",
		"daemon's processor time", "leader's processor time", "bytes to a daemon", "log bytes", "load")
	table.addNote("the cost of idle beats is taken off; with one voter the leader is also the only log")
	var textKiB, daemonMS, leaderMS, logKiB []float64
	for _, routes := range c.Routes {
		cost, err := b.measureChangeCost(c, routes)
		if err != nil {
			return err
		}
		table.addRow(c.Daemons, routes, int(cost.textBytes), seconds(cost.daemonSeconds), seconds(cost.leaderSeconds),
			cost.receivedBytes, cost.logBytes, loadAverage())
		textKiB, daemonMS = append(textKiB, cost.textBytes/1024), append(daemonMS, cost.daemonSeconds*1000)
		leaderMS, logKiB = append(leaderMS, cost.leaderSeconds*1000), append(logKiB, cost.logBytes/1024)
	}
	if len(textKiB) > 1 {
		for _, series := range []struct {
			name string
			y    []float64
		}{{"daemon ms", daemonMS}, {"leader ms", leaderMS}, {"log KiB", logKiB}} {
			line := fit(textKiB, series.y)
			table.addNote("least squares: %s = %.4g + %.4g per KiB of text", series.name, line.Base, line.Slope)
		}
	}
	return nil
}

// changeCost is the cost of one change. daemonSeconds and receivedBytes are averages per daemon; receivedBytes
// includes only the watched daemons.
type changeCost struct{ textBytes, daemonSeconds, leaderSeconds, receivedBytes, logBytes float64 }

func (b *bench) measureChangeCost(c *changeCommand, routes int) (changeCost, error) {
	var cost changeCost
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	size := RulesSize{Services: 12, Accounts: 8, MinRoutes: routes}
	controlNodes := b.newVoters(1)
	nodes := b.newNodes("change", c.Daemons)
	path := controlNodes[0].RulesFile
	if err := writeRules(path, size.rulesText(1)); err != nil {
		return cost, err
	}
	leaderHost, err := b.startHost(nodeSettings(controlNodes, controlAddresses(controlNodes)))
	if err != nil {
		return cost, err
	}
	defer leaderHost.stop()
	daemonHost, err := b.startHost(nodeSettings(nodes, controlAddresses(controlNodes)))
	if err != nil {
		return cost, err
	}
	defer daemonHost.stop()
	if _, err := daemonHost.waitInForce(1, c.Daemons); err != nil {
		return cost, err
	}
	sleep(ctx, time.Second)
	watched := nodes[:min(10, len(nodes))]
	read := func() (controlReading, time.Time, int64, error) {
		reading, err := readControl(leaderHost, daemonHost, watched, nil)
		return reading, time.Now(), folderSize(controlNodes[0].DataFolder), err
	}
	start, startAt, _, err := read()
	if err != nil {
		return cost, err
	}
	sleep(ctx, 3*time.Second)
	idle, idleAt, logBefore, err := read()
	if err != nil {
		return cost, err
	}
	for revision := 2; revision < 2+c.Changes; revision++ {
		if err := writeRules(path, size.rulesText(revision)); err != nil {
			return cost, err
		}
		if _, err := daemonHost.waitInForce(revision, c.Daemons); err != nil {
			return cost, err
		}
		if err := waitAccepted(ctx, path, revision); err != nil {
			return cost, err
		}
	}
	end, endAt, logAfter, err := read()
	if err != nil {
		return cost, err
	}
	// perChange subtracts the cost of the same time without changes and divides by the number of changes.
	ratio := endAt.Sub(idleAt).Seconds() / idleAt.Sub(startAt).Seconds()
	perChange := func(start, idle, end, divisor float64) float64 {
		return ((end - idle) - ratio*(idle-start)) / float64(c.Changes) / divisor
	}
	cost = changeCost{
		textBytes:     float64(len(size.rulesText(1))),
		daemonSeconds: perChange(start.daemons.Processor.Seconds(), idle.daemons.Processor.Seconds(), end.daemons.Processor.Seconds(), float64(c.Daemons)),
		leaderSeconds: perChange(start.leader.Processor.Seconds(), idle.leader.Processor.Seconds(), end.leader.Processor.Seconds(), 1),
		receivedBytes: perChange(start.received, idle.received, end.received, float64(len(watched))),
		logBytes:      float64(logAfter-logBefore) / float64(c.Changes),
	}
	return cost, nil
}
