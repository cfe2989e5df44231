package simul

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// settleTime is the time without faults after which a group serves again and has all its members as voters.
	settleTime = 4 * time.Second

	// removalTime is the time after which a silent voter is removed if there is a spare: an election, and the silence
	// that the new leader waits for.
	removalTime = 3 * time.Second

	// In half of the schedules most faults follow each other within maxShortGap, because some failures need several of
	// them at once. Others need the group to react to each one.
	maxFaults   = 20
	maxShortGap = 400 * time.Millisecond
	maxGap      = 6 * time.Second
)

var (
	groups = []groupShape{{true, 3}, {true, 4}, {true, 5}, {true, 6}, {true, 7}, {false, 3}, {false, 5}}

	schedules = flag.Int("schedules", 140, "number of schedules of all groups")
)

// groupShape is one kind of group that is simulated.
type groupShape struct {
	open bool
	size int
}

// TestMain fixes the seed, unless a flag names another, and the number of schedules of each group.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "10s")
	flag.Parse()
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == "rapid.checks" })
	if !isSet {
		_ = flag.Set("rapid.checks", strconv.Itoa(max(1, *schedules/len(groups))))
	}
	os.Exit(m.Run())
}

// Guards against two leaders in a term, lost acknowledged changes, and groups that do not serve or admit a member after
// faults that they must bear.
func TestSchedules(t *testing.T) {
	for _, shape := range groups {
		name := fmt.Sprintf("fixed-%d", shape.size)
		if shape.open {
			name = fmt.Sprintf("open-%d", shape.size)
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) { runSchedule(t, shape) })
		})
	}
}

// Guards against a voter that was frozen, or that stopped, and never becomes a voter again although it has its disk: the
// group has removed it in the meantime, because it has a spare.
func TestReturningVoter(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, true, rapid.IntRange(3, 7).Draw(t, "size"))
		g.run(settleTime)
		g.join()
		g.run(g.now + settleTime)
		g.requireService(0)
		m := g.drawMember()
		away := removalTime + g.draw("away", maxFault)
		if rapid.Bool().Draw(t, "frozen") {
			m.frozenUntil = g.faultUntil(away)
		} else {
			g.stop(m, away)
		}
		g.run(g.now + removalTime - time.Millisecond)
		if voters := g.requireLeader().Voters; slices.Contains(voters, m.voter()) {
			t.Fatalf("%s is away and still votes", m.name)
		}
		g.run(g.faults.end + settleTime)
		g.requireService(g.faults.end)
	})
}

// runSchedule runs a group through a series of faults. A pause of settleTime without faults ends a series: the group
// must then serve, and bears the loss of further disks.
func runSchedule(t *rapid.T, shape groupShape) {
	g := newGroup(t, shape.open, shape.size)
	g.run(settleTime)
	g.requireService(0)
	hasBursts := rapid.Bool().Draw(t, "bursts")
	for range rapid.IntRange(1, maxFaults).Draw(t, "faults") {
		g.injectFault()
		gap := maxGap
		if hasBursts && rapid.IntRange(0, 3).Draw(t, "short") > 0 {
			gap = maxShortGap
		}
		g.run(g.now + g.draw("gap", gap))
		if g.now >= g.faults.end+settleTime {
			g.requireService(g.faults.end)
			g.faults.lost = 0
		}
	}
	g.run(max(g.now, g.faults.end+settleTime))
	g.requireService(g.faults.end)
}
