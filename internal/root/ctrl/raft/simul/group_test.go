package simul

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"pgregory.net/rapid"
)

// group is a consensus group on a virtual clock. Its random numbers are those of the network, the disks and the
// nodes; rapid draws the faults.
type group struct {
	t            *rapid.T
	random       *rand.Rand
	open         bool // members may join under any name
	targetSize   int
	now          time.Duration
	queue        eventQueue
	eventCount   uint64
	members      []*member
	memberCount  int
	network      network
	nextProposal time.Duration
	history      history
	faults       faults
	losses       losses
}

// newGroup starts a group of the given number of voters.
func newGroup(t *rapid.T, open bool, size int) *group {
	g := &group{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "random"), 1)), open: open, targetSize: size,
		network: network{cutUntil: map[link]time.Duration{}}, history: newHistory(),
	}
	for range size {
		g.addMember().isFirst = true
	}
	for _, m := range g.members {
		g.start(m)
	}
	return g
}

// addMember adds a member with an empty disk that is down.
func (g *group) addMember() *member {
	g.memberCount++
	m := &member{name: fmt.Sprintf("m%02d", g.memberCount), number: g.memberCount, disk: g.newDisk(), joinedAt: g.now, diskSince: g.now}
	g.members = append(g.members, m)
	return m
}

func (g *group) newDisk() *memDisk { return &memDisk{id: fmt.Sprintf("%016x", g.random.Uint64())} }

// join starts a new member of an open group.
func (g *group) join() { g.start(g.addMember()) }

// remove takes a member away for good.
func (g *group) remove(m *member) {
	m.process, m.disk = nil, nil
	g.members = slices.DeleteFunc(g.members, func(other *member) bool { return other == m })
}

func (g *group) member(name string) *member {
	for _, m := range g.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// leader returns a running member that holds the lease, or nil.
func (g *group) leader() *member {
	for _, m := range g.members {
		if m.process != nil && m.process.node.LeaseHeld(g.clock(m)) {
			return m
		}
	}
	return nil
}

// propose proposes a change to each running member that leads.
func (g *group) propose() {
	for _, m := range slices.Clone(g.members) {
		if m.process != nil && m.frozenUntil <= g.now && m.process.node.Status().Role == raft.Leader {
			id := g.history.propose(g.now)
			g.step(m, raft.Propose{ID: id, Data: fmt.Appendf(nil, "change %d", id)})
		}
	}
}
