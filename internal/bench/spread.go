package bench

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

var errNotInHistory = errors.New("the accepted revision is not in the history")

type spreadCommand struct {
	Daemons []int `arg:"--daemons" help:"numbers of daemons [default: 10 50 100 200]"`
	Changes int   `arg:"--changes" default:"10" help:"changes for each row"`
	Routes  int   `arg:"--routes" default:"100" help:"routes in the rules"`
}

// spread measures the time from the acceptance of a change by a majority of three voters until it is
// in force on the last daemon, and until the leader knows that from the daemons' beats.
func (b *bench) spread(c *spreadCommand, report *Report) error {
	if len(c.Daemons) == 0 {
		c.Daemons = []int{10, 50, 100, 200}
	}
	table := report.table("Time from an accepted change to in force on all daemons, three voters",
		"daemons", "changes", "text bytes", "p50 in force", "max in force", "p50 known to leader", "max known to leader", "load")
	for _, daemons := range c.Daemons {
		if err := b.spreadTo(c, daemons, table); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) spreadTo(c *spreadCommand, daemons int, table *Table) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	scale := Scale{Services: 12, Accounts: 8, Routes: c.Routes}
	control := b.voters(3)
	nodes := b.nodes("spread", daemons)
	if err := writeRules(control[0].Rules, scale.text(1)); err != nil {
		return err
	}
	for _, node := range control {
		voter, err := b.startHost([]string{node.settings(controls(control))})
		if err != nil {
			return err
		}
		defer voter.stop()
	}
	h, err := b.startHost(settingsOf(nodes, controls(control)))
	if err != nil {
		return err
	}
	defer h.stop()
	if _, err := h.inForce(1, daemons); err != nil {
		return err
	}
	var force, known []time.Duration
	for revision := 2; revision < 2+c.Changes; revision++ {
		if err := writeRules(control[0].Rules, scale.text(revision)); err != nil {
			return err
		}
		usage, err := h.inForce(revision, daemons)
		if err != nil {
			return err
		}
		// The leader answers when the last beat with the revision has arrived.
		if err := accepted(ctx, control[0].Rules, revision); err != nil {
			return err
		}
		state, err := get[admin.InForce](nodes[0], admin.PathInForce+"?wait=10s")
		if err != nil {
			return err
		}
		told := time.Now()
		if !state.InForce {
			table.note("%d daemons: revision %d was not confirmed: %d of %d behind", daemons, revision, state.Behind, state.Daemons)
		}
		since, err := acceptedAt(nodes[0], revision)
		if err != nil {
			return err
		}
		force = append(force, usage.InForce.Sub(since))
		known = append(known, told.Sub(since))
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	slices.Sort(force)
	slices.Sort(known)
	table.row(daemons, c.Changes, len(scale.text(1)), force[len(force)/2], force[len(force)-1], known[len(known)/2], known[len(known)-1], loadAverage())
	return nil
}

// acceptedAt returns when the leader proposed the accepted change.
func acceptedAt(node *Node, revision int) (time.Time, error) {
	history, err := get[admin.History](node, admin.PathHistory+"?limit=1")
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
