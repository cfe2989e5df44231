package disk

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
)

// interruptWrite lets the first pending write of a member begin and fail at a random operation, as at a kill or a loss of
// power while the disk goroutine writes.
func (c *cluster) interruptWrite(m *member) {
	if m.node == nil || len(m.writes) == 0 {
		return
	}
	m.fs.crashAt = m.fs.ops + 1 + c.random.IntN(6)
	m.writes[0].at = c.now
	c.runDueWrites(m)
}

// killMember ends the process of a member. What it has not synced stays readable until the next loss of power.
func (c *cluster) killMember(m *member, downFor int) {
	if m.node == nil {
		return
	}
	c.logEvent("kill %s", m.name)
	fs := m.fs
	c.interruptWrite(m)
	m.fs = fs
	fs.kill()
	m.node, m.disk = nil, nil
	m.restartAt = c.now + time.Duration(downFor)*time.Millisecond
}

// strike lets as many members as tolerated lose their disks while all others lose power.
func (c *cluster) strike(tolerated int) {
	victims := slices.Clone(c.members)
	c.random.Shuffle(len(victims), func(i, j int) { victims[i], victims[j] = victims[j], victims[i] })
	if leader := c.leader(); leader != nil && c.random.IntN(2) == 0 {
		victims = append([]*member{leader}, slices.DeleteFunc(victims, func(m *member) bool { return m == leader })...)
	}
	for i, m := range victims {
		c.interruptWrite(m)
		c.crash(m, c.random.IntN(1500))
		if i < tolerated {
			c.logEvent("final fault: %s loses its disk", m.name)
			m.fs = newMemFS(c.random.Uint64())
		}
	}
}

// Guards against an acknowledged change that is gone after a final fault because a member has reported as synced what a
// process that was killed before had not synced. The disks are those of the product.
func TestFinalFaultsAfterKills(t *testing.T) {
	seeds := []uint64{*seedFlag}
	if *seedFlag == 0 {
		seeds = nil
		for seed := range *seedCount {
			seeds = append(seeds, seed+1)
		}
	}
	shapes := []struct{ size, tolerated int }{{3, 1}, {7, 2}}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			shape := shapes[seed%2]
			c := newOpenCluster(t, seed, shape.size)
			for range 2 {
				// A later entry would sync those before it, so that some rounds have few.
				c.proposeEvery = []time.Duration{5, 100, 400}[c.random.IntN(3)] * time.Millisecond
				for _, m := range c.members {
					m.writeDelay = 1 + c.random.IntN(1+c.random.IntN(150))
				}
				c.run(time.Duration(c.random.IntN(1500)) * time.Millisecond)
				for range c.random.IntN(2 * shape.size) {
					c.killMember(c.anyMember(), c.random.IntN(300))
					c.run(time.Duration(c.random.IntN(200)) * time.Millisecond)
				}
				for acked, end := c.ackedCount, c.now+3*time.Second; c.ackedCount == acked && c.now < end; {
					c.run(time.Millisecond)
				}
				c.strike(shape.tolerated)
				c.requireOpenRecovery(3 * recoveryTime)
			}
		})
	}
}

// Guards against an acknowledged change that is gone after one lost disk, because the member that completed its majority
// was killed between the write and the sync of the change and has found it again at its start.
func TestChangeSurvivesAKillBeforeItsSync(t *testing.T) {
	for seed := range uint64(20) {
		c := newOpenCluster(t, seed+1, 3)
		leader := c.leader()
		others := slices.DeleteFunc(slices.Clone(c.members), func(m *member) bool { return m == leader })
		killed, frozen := others[0], others[1]
		c.proposeEvery = time.Hour
		c.run(100 * time.Millisecond)
		frozen.pausedUntil = c.now + 10*time.Second
		acked := c.ackedCount
		c.proposalCount++
		c.handle(leader, raft.Propose{ID: c.proposalCount, Data: []byte("the last change")})
		fs := killed.fs
		fs.crashAt = fs.ops + 2 // the sync of the change
		for killed.node != nil {
			c.run(time.Millisecond)
		}
		fs.kill()
		killed.fs, killed.restartAt = fs, c.now+50*time.Millisecond
		for c.ackedCount == acked {
			c.run(time.Millisecond)
		}
		for _, m := range c.members {
			m.pausedUntil = 0
			c.crash(m, 100)
		}
		leader.fs = newMemFS(seed)
		c.requireOpenRecovery(recoveryTime)
	}
}
