package simul

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
)

type (
	// machineState is the state of a state machine; hash depends on all changes up to index.
	machineState struct{ index, count, hash uint64 }

	// history is what the members have done, as the invariants need it.
	history struct {
		leaders    map[uint64]string       // by term
		states     map[uint64]machineState // by index, equal on all members
		proposedAt []time.Duration         // by the ID of the proposal, from 1 on
		acked      uint64                  // highest index of an acknowledged change
		ackedCount int
		// latestAcked is the latest time at which an acknowledged change was proposed.
		latestAcked time.Duration
	}
)

func newHistory() history {
	return history{leaders: map[uint64]string{}, states: map[uint64]machineState{0: {}}, proposedAt: []time.Duration{0}}
}

// propose returns the ID of a new proposal.
func (h *history) propose(now time.Duration) uint64 {
	h.proposedAt = append(h.proposedAt, now)
	return uint64(len(h.proposedAt) - 1)
}

// checkStep fails if a term has two leaders, if two members hold the lease, or if the holder of the lease lacks an
// acknowledged change.
func (g *group) checkStep(stepped *member) {
	if s := stepped.process.node.Status(); s.Role == raft.Leader {
		if other, found := g.history.leaders[s.Term]; found && other != stepped.name {
			g.t.Fatalf("%s and %s lead term %d", other, stepped.name, s.Term)
		}
		g.history.leaders[s.Term] = stepped.name
	}
	var holder *member
	for _, m := range g.members {
		if m.process == nil || !m.process.node.LeaseHeld(g.clock(m)) {
			continue
		}
		if holder != nil {
			g.t.Fatalf("%s and %s hold the lease", holder.name, m.name)
		}
		holder = m
		g.checkLeader(m.process)
	}
}

// checkLeader fails if a leader lacks an acknowledged change.
func (g *group) checkLeader(p *process) {
	if p.state.index < g.history.acked {
		g.t.Fatalf("%s leads with the changes up to %d, but %d is acknowledged", p.member.name, p.state.index, g.history.acked)
	}
}

// checkState fails if a member's state differs from that of another member at the same index.
func (g *group) checkState(p *process) {
	if want, found := g.history.states[p.state.index]; !found || want != p.state {
		g.t.Fatalf("%s has %+v, expected %+v", p.member.name, p.state, want)
	}
}

// apply applies changes to the state machine of a process and records those that are acknowledged by it.
func (g *group) apply(p *process, a raft.Apply) {
	h := &g.history
	for _, e := range a.Entries {
		if e.Index <= p.state.index {
			g.t.Fatalf("%s applies %d after %d", p.member.name, e.Index, p.state.index)
		}
		hash := fnv.New64a()
		_, _ = hash.Write(encodeState(p.state))
		_, _ = hash.Write(e.Data)
		p.state = machineState{index: e.Index, count: p.state.count + 1, hash: hash.Sum64()}
		if _, found := h.states[e.Index]; !found {
			h.states[e.Index] = p.state
		}
		g.checkState(p)
		if e.Proposal != 0 {
			h.acked, h.ackedCount = max(h.acked, e.Index), h.ackedCount+1
			h.latestAcked = max(h.latestAcked, h.proposedAt[e.Proposal])
			g.losses.due = g.losses.armed
		}
	}
}

// requireService fails unless a quiet group has a leader that has accepted a change proposed after since, and every
// member is a voter. A group has one voter more than its target size at most; further members wait as learners.
func (g *group) requireService(since time.Duration) {
	status := g.requireLeader()
	if g.history.latestAcked < since {
		g.fatalStatus("no change is accepted")
	}
	voters := 0
	for _, m := range g.members {
		if m.process == nil {
			g.fatalStatus(m.name + " is down")
		}
		switch {
		case slices.Contains(status.Voters, m.voter()) && m.process.node.Status().Admitted:
			voters++
		case !slices.Contains(status.Learners, m.voter()):
			g.fatalStatus(m.name + " is neither a voter nor a learner")
		}
	}
	if required := min(len(g.members), g.targetSize+1); voters < required {
		g.fatalStatus(fmt.Sprintf("%d members vote, %d must", voters, required))
	}
}

// requireLeader returns the status of the leader, and fails unless there is one.
func (g *group) requireLeader() raft.Status {
	leader := g.leader()
	if leader == nil {
		g.fatalStatus("no member leads")
	}
	return leader.process.node.Status()
}

// fatalStatus fails the schedule with the status of all members.
func (g *group) fatalStatus(reason string) {
	for _, m := range g.members {
		if m.process != nil {
			g.t.Logf("%s, disk %s: %+v", m.name, m.disk.id, m.process.node.Status())
		}
	}
	g.t.Fatalf("at %v, %v after the last fault: %s", g.now, g.now-g.faults.end, reason)
}

func encodeState(s machineState) []byte {
	data := binary.LittleEndian.AppendUint64(nil, s.index)
	data = binary.LittleEndian.AppendUint64(data, s.count)
	return binary.LittleEndian.AppendUint64(data, s.hash)
}

func decodeState(data []byte) machineState {
	word := func(i int) uint64 { return binary.LittleEndian.Uint64(data[8*i:]) }
	return machineState{index: word(0), count: word(1), hash: word(2)}
}
