package disk

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"gotest.tools/v3/assert"
)

const (
	// catchUpTime is how long after the start of a new member, or the return of another one, the group must bear
	// the next loss.
	catchUpTime = 4 * time.Second

	// recoveryTime bounds the time until all members vote again after the last loss.
	recoveryTime = 15 * time.Second

	// stopTime bounds how long a member waits for its removal before it stops.
	stopTime = 1500 * time.Millisecond
)

// newOpenCluster starts the first members of an open group: three that bootstrap it and others that extend it.
func newOpenCluster(t testing.TB, seed uint64, size int) *cluster {
	c := newCluster(t, seed)
	c.open = true
	for i := range size {
		c.addMember(fmt.Sprintf("m%d", i+1)).first = true
	}
	for _, m := range c.members {
		c.start(m)
	}
	c.requireOpenRecovery(recoveryTime)
	return c
}

// configureOpen sets the peers of a member of an open group. Like the settings of an instance, they name three
// members that exist at the start. At the first start of the group, these bootstrap it and the others extend it.
func (c *cluster) configureOpen(m *member, cfg *raft.Config) {
	cfg.Open, cfg.BootstrapMembers = true, []string{}
	for _, seed := range c.members[:3] {
		cfg.Peers = append(cfg.Peers, seed.name)
	}
	switch {
	case !slices.Contains(cfg.Peers, m.name):
		cfg.Peers, cfg.Extends = append(cfg.Peers, m.name), m.first
	case m.first:
		cfg.BootstrapMembers = cfg.Peers
	}
}

// addMember adds a member with an empty disk, which is not started.
func (c *cluster) addMember(name string) *member {
	m := &member{name: name, fs: newMemFS(c.random.Uint64()), writeDelay: 1}
	c.members = append(c.members, m)
	return m
}

// join starts a new member of an open group.
func (c *cluster) join() *member {
	name := fmt.Sprintf("n%d", c.now/time.Millisecond)
	m := c.addMember(name)
	c.logEvent("%s joins", name)
	c.start(m)
	return m
}

// removeMember takes a member away for good.
func (c *cluster) removeMember(m *member) {
	m.node = nil
	c.members = slices.DeleteFunc(c.members, func(other *member) bool { return other == m })
}

// stop stops a member as a daemon does at SIGTERM.
func (c *cluster) stop(m *member) {
	c.logEvent("stop %s", m.name)
	c.handle(m, raft.StopRequested{})
	for end := c.now + stopTime; c.now < end && m.node != nil && m.node.AwaitsRemoval(); {
		c.run(10 * time.Millisecond)
	}
}

// runWithClockSteps runs the cluster for d. On the way the clocks of some members step, which costs the leadership
// of one that leads but is no loss of a member.
func (c *cluster) runWithClockSteps(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.run(min(time.Duration(500+c.random.IntN(5000))*time.Millisecond, end-c.now))
		if c.now >= end {
			return
		}
		for _, m := range c.members {
			if m.node != nil && m.pausedUntil <= c.now && c.random.IntN(2) == 0 {
				step := time.Duration(c.random.IntN(4000)-2000) * time.Millisecond
				c.logEvent("clock of %s steps by %v", m.name, step)
				c.handle(m, raft.Tick{})
				m.clockOffset += step
				c.handle(m, raft.Tick{})
			}
		}
	}
}

// anyMember returns a running member, often the leader.
func (c *cluster) anyMember() *member {
	if leader := c.leader(); leader != nil && c.random.IntN(2) == 0 {
		return leader
	}
	return c.members[c.random.IntN(len(c.members))]
}

// loseDisk takes the disk of a member, which restarts with an empty one.
func (c *cluster) loseDisk(m *member) {
	c.logEvent("%s loses its disk", m.name)
	c.crash(m, 1000)
	m.fs = newMemFS(c.random.Uint64())
	c.run(time.Second)
}

// injectLoss causes one loss that the group must bear, and runs until the next one may follow.
func (c *cluster) injectLoss() {
	m := c.anyMember()
	switch c.random.IntN(6) {
	case 0:
		c.join()
		c.runWithClockSteps(catchUpTime + time.Duration(c.random.IntN(4000))*time.Millisecond)
		c.stop(m)
		c.removeMember(m)
	case 1:
		c.logEvent("%s is gone", m.name)
		c.removeMember(m)
		c.run(time.Duration(c.random.IntN(2000)) * time.Millisecond)
		c.join()
		c.runWithClockSteps(catchUpTime)
	case 2:
		frozen := time.Duration(500+c.random.IntN(9500)) * time.Millisecond
		c.logEvent("freeze %s for %v", m.name, frozen)
		m.pausedUntil = c.now + frozen
		c.runWithClockSteps(frozen + catchUpTime)
	case 3:
		c.stop(m)
		c.crash(m, 500+c.random.IntN(1500))
		c.runWithClockSteps(2*time.Second + catchUpTime)
	case 4:
		c.loseDisk(m)
		c.runWithClockSteps(catchUpTime)
	case 5:
		c.loseDisk(m)
		c.run(time.Duration(c.random.IntN(1000)) * time.Millisecond)
		c.logEvent("%s is gone while it joins again", m.name)
		c.removeMember(m)
		c.join()
		c.runWithClockSteps(catchUpTime)
	}
}

// requireOpenRecovery fails the test unless the group recovers within limit.
func (c *cluster) requireOpenRecovery(limit time.Duration) {
	for end := c.now + limit; c.now < end; {
		c.run(100 * time.Millisecond)
		if c.isOpenHealthy() {
			return
		}
	}
	for _, m := range c.members {
		if m.node != nil {
			c.t.Logf("%s: %+v fenced=%q failed=%v", m.name, m.node.Status(), m.fenceReason, m.stopErr)
		}
	}
	c.fatalf("no recovery within %v", limit)
}

// isOpenHealthy reports whether an open group has a leader with lease, everything that was acknowledged, and every
// member as an admitted voter.
func (c *cluster) isOpenHealthy() bool {
	leader := c.leader()
	if leader == nil || leader.state.index < c.ackedIndex || leader.node.Status().Replacing || len(leader.node.Status().Voters) != len(c.members) {
		return false
	}
	for _, m := range c.members {
		voter := m.disk != nil && slices.Contains(leader.node.Status().Voters, raft.Voter{Name: m.name, Disk: m.disk.identity.Disk})
		if m.node == nil || m.stopErr != nil || !voter || !m.node.Status().Admitted || m.state.index+100 < c.ackedIndex {
			return false
		}
	}
	return true
}

// Guards against a group that ends, or forgets what it acknowledged, through losses of which it bears each: members
// that are replaced, freeze, stop, restart or lose their disks one after another, while clocks step. 16 of the seeds 1
// to 30 failed while a lost voter was kept until one leader had missed it for five seconds.
func TestRandomReplacements(t *testing.T) {
	seeds := []uint64{*seedFlag}
	if *seedFlag == 0 {
		seeds = nil
		for seed := range *seedCount {
			seeds = append(seeds, seed+1)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			c := newOpenCluster(t, seed, 3+2*int(seed%2))
			for range 6 {
				c.injectLoss()
			}
			c.requireOpenRecovery(recoveryTime)
			assert.Assert(t, c.ackedCount > 200, "%d proposals acknowledged", c.ackedCount)
		})
	}
}
