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

// change measures what one accepted change of one line costs as the rules grow.
func (b *bench) change(c *changeCommand, report *Report) error {
	if len(c.Routes) == 0 {
		c.Routes = []int{40, 500, 2000, 5000}
	}
	table := report.table("Cost of one change of one line, one voter", "daemons", "routes", "text bytes",
		"daemon's processor time", "leader's processor time", "bytes to a daemon", "log bytes", "load")
	table.note("the cost of idle beats is taken off; with one voter the leader is also the only log")
	var size, daemon, lead, disk []float64
	for _, routes := range c.Routes {
		got, err := b.changeOf(c, routes)
		if err != nil {
			return err
		}
		table.row(c.Daemons, routes, int(got.text), seconds(got.daemon), seconds(got.leader), got.received, got.disk, loadAverage())
		size, daemon = append(size, got.text/1024), append(daemon, got.daemon*1000)
		lead, disk = append(lead, got.leader*1000), append(disk, got.disk/1024)
	}
	if len(size) > 1 {
		for _, series := range []struct {
			name string
			y    []float64
		}{{"daemon ms", daemon}, {"leader ms", lead}, {"log KiB", disk}} {
			line := fit(size, series.y)
			table.note("least squares: %s = %.4g + %.4g per KiB of text", series.name, line.Base, line.Slope)
		}
	}
	return nil
}

type changeCost struct{ text, daemon, leader, received, disk float64 }

func (b *bench) changeOf(c *changeCommand, routes int) (changeCost, error) {
	var cost changeCost
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	scale := Scale{Services: 12, Accounts: 8, Routes: routes}
	control := b.voters(1)
	nodes := b.nodes("change", c.Daemons)
	path := control[0].Rules
	if err := writeRules(path, scale.text(1)); err != nil {
		return cost, err
	}
	lead, err := b.startHost(settingsOf(control, controls(control)))
	if err != nil {
		return cost, err
	}
	defer lead.stop()
	h, err := b.startHost(settingsOf(nodes, controls(control)))
	if err != nil {
		return cost, err
	}
	defer h.stop()
	if _, err := h.inForce(1, c.Daemons); err != nil {
		return cost, err
	}
	sleep(ctx, time.Second)
	watched := nodes[:min(10, len(nodes))]
	read := func() (controlReading, time.Time, int64, error) {
		reading, err := readControl(lead, h, watched, nil)
		return reading, time.Now(), folderSize(control[0].Folder), err
	}
	start, startAt, _, err := read()
	if err != nil {
		return cost, err
	}
	sleep(ctx, 3*time.Second)
	idle, idleAt, disk, err := read()
	if err != nil {
		return cost, err
	}
	for revision := 2; revision < 2+c.Changes; revision++ {
		if err := writeRules(path, scale.text(revision)); err != nil {
			return cost, err
		}
		if _, err := h.inForce(revision, c.Daemons); err != nil {
			return cost, err
		}
		if err := accepted(ctx, path, revision); err != nil {
			return cost, err
		}
	}
	end, endAt, grown, err := read()
	if err != nil {
		return cost, err
	}
	// each takes off what the same time costs without changes and divides by the changes.
	ratio := endAt.Sub(idleAt).Seconds() / idleAt.Sub(startAt).Seconds()
	each := func(start, idle, end, parts float64) float64 {
		return ((end - idle) - ratio*(idle-start)) / float64(c.Changes) / parts
	}
	cost = changeCost{
		text:     float64(len(scale.text(1))),
		daemon:   each(start.daemons.Processor.Seconds(), idle.daemons.Processor.Seconds(), end.daemons.Processor.Seconds(), float64(c.Daemons)),
		leader:   each(start.leader.Processor.Seconds(), idle.leader.Processor.Seconds(), end.leader.Processor.Seconds(), 1),
		received: each(start.received, idle.received, end.received, float64(len(watched))),
		disk:     float64(grown-disk) / float64(c.Changes),
	}
	return cost, nil
}
