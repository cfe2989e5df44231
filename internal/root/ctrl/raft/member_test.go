package raft

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newOpenHarness runs member a of an open group, whose other members are b and c, as its leader.
func newOpenHarness(t *testing.T, change func(m *Membership)) *harness {
	h := newHarness(t)
	h.node.cfg.Open = true
	m := &h.node.memberships[0]
	m.Voters, m.TargetSize = slices.Clone(voters), uint64(len(voters))
	change(m)
	h.becomeLeader()
	h.replyAppend(2, 0)
	return h
}

// join starts a new member d, which has everything that the leader has.
func (h *harness) join(extends bool) {
	hello := &Hello{Header: h.headerFrom("d", 0), Extends: extends}
	hello.Header.Group = ""
	h.receive(hello)
	h.replyAll("b", "d")
}

// replyAll lets members acknowledge everything until nothing more is appended.
func (h *harness) replyAll(names ...string) {
	for last := uint64(0); last != h.node.Status().Last; {
		last = h.node.Status().Last
		for _, name := range names {
			reply := &AppendReply{Header: h.headerFrom(name, 2), Match: last, SentAt: h.node.sinceElection()}
			h.receive(reply)
		}
		h.step(Tick{})
	}
}

func (h *harness) voterNames() []string {
	var names []string
	for _, v := range h.node.Status().Voters {
		names = append(names, v.Name)
	}
	return names
}

// Guards against a group that keeps a free place for a member that was lost while it joined, as the data of earlier
// versions may say.
func TestFreePlaceIsTakenByAnyMember(t *testing.T) {
	h := newOpenHarness(t, func(m *Membership) { m.Voters, m.Joining = voters[:2:2], "c" })
	h.join(false)
	assert.DeepEqual(t, h.voterNames(), []string{"a", "b", "d"})
}

// Guards against a target size that grows each time a member of the first start is removed and added again: with one
// voter too many in it, the group bears fewer losses.
func TestFormerVoterDoesNotExtendTheGroup(t *testing.T) {
	for former, size := range map[bool]uint64{false: 4, true: 3} {
		h := newOpenHarness(t, func(m *Membership) {
			if former {
				m.Removed = []string{"dd"}
			}
		})
		h.join(true)
		assert.DeepEqual(t, h.voterNames(), []string{"a", "b", "c", "d"})
		assert.Equal(t, h.node.membership().TargetSize, size)
		assert.Assert(t, !slices.Contains(h.node.membership().Removed, "dd"))
	}
}

// Guards against the removal of a voter that stops while the group has no spare, and against one that stops and is
// added again before its process has ended.
func TestOnlyASpareLeavesAtItsStop(t *testing.T) {
	h := newOpenHarness(t, func(*Membership) {})
	stop := &AppendReply{Header: h.headerFrom("c", 2), Match: 2, SentAt: h.node.sinceElection(), Stopping: true}
	h.receive(stop)
	h.replyAll("b")
	assert.DeepEqual(t, h.voterNames(), []string{"a", "b", "c"})
	h.join(false)
	stop.Match = h.node.Status().Last
	h.receive(stop)
	h.replyAll("b", "d")
	assert.DeepEqual(t, h.voterNames(), []string{"a", "b", "d"})
	stop.Match, stop.SentAt = h.node.Status().Last, h.node.sinceElection()
	h.receive(stop)
	h.replyAll("b", "d")
	assert.DeepEqual(t, h.voterNames(), []string{"a", "b", "d"})
}

// Guards against a leader that stops while it is a voter that the group does not need.
func TestStoppingLeaderLeaves(t *testing.T) {
	h := newOpenHarness(t, func(*Membership) {})
	h.join(false)
	h.step(StopRequested{})
	assert.Assert(t, h.node.AwaitsRemoval())
	h.replyAll("b", "d")
	assert.DeepEqual(t, h.voterNames(), []string{"b", "c", "d"})
	assert.Assert(t, !h.node.AwaitsRemoval() && h.node.Status().Role == Follower)
}

// Guards against a disk that its member has replaced by another one and that takes part again.
func TestReplacedDiskIsRefused(t *testing.T) {
	h := newOpenHarness(t, func(m *Membership) { m.Removed = []string{"older", "silent"} })
	for disk, accepted := range map[string]bool{"older": false, "silent": true} {
		hello := &Hello{Header: h.headerFrom("b", 0)}
		hello.Header.From.Disk = disk
		if accepted {
			hello.Header.From.Name = "e"
		}
		h.receive(hello)
		assert.Equal(t, lastSent[*HelloReply](h).Accepted, accepted, disk)
	}
}

// Guards against a member that cannot start any more after many others have been replaced, because the number of
// starts that it stores exceeds their limit.
func TestStartsOfManyMembersAreBounded(t *testing.T) {
	h := newOpenHarness(t, func(*Membership) {})
	for i := range 3 * MaxBoots {
		hello := &Hello{Header: h.headerFrom(fmt.Sprintf("n%d", i), 0)}
		h.receive(hello)
	}
	assert.NilError(t, h.node.hardState.Check())
	for _, v := range voters[1:] {
		assert.Assert(t, h.node.bootOf(v.Disk) != nil, "the start of voter %s is forgotten", v.Name)
	}
	assert.Assert(t, h.node.bootOf(fmt.Sprintf("dn%d", 3*MaxBoots-1)) != nil, "the latest start is forgotten")
}

// Guards against a member that was removed while it was silent and never finds the group again, because the leader
// does not know it.
func TestMemberWithoutContactAnnouncesItself(t *testing.T) {
	h := newHarness(t)
	h.receive(&HelloReply{Header: h.headerFrom("c", 1), Boot: 1, Start: 1, Accepted: true})
	h.receive(&Append{Header: h.headerFrom("b", 1), Prev: 1, PrevTerm: 1})
	hellos := func() map[string]int {
		counts := map[string]int{}
		for _, s := range h.sent {
			if _, ok := s.Message.(*Hello); ok {
				counts[s.To]++
			}
		}
		return counts
	}
	h.advance(time.Second)
	before := hellos()
	h.advance(5 * time.Second)
	for _, name := range []string{"b", "c"} {
		count := hellos()[name] - before[name]
		assert.Assert(t, count >= 3 && count <= 5, "%d hellos to %s", count, name)
	}
}

// Guards against a snapshot that lacks acknowledged changes: a request for the state that comes before the last Apply of
// a step would label the state with the index of that Apply. The removal of a voter commits more entries in one step.
func TestSnapshotIsRequestedAfterTheLastApply(t *testing.T) {
	h := newOpenHarness(t, func(*Membership) {})
	reply := func(name string, match uint64) *AppendReply {
		return &AppendReply{Header: h.headerFrom(name, 2), Match: match, SentAt: h.node.sinceElection()}
	}
	stopping := reply("c", 2)
	stopping.Stopping = true
	h.receive(stopping)
	hello := &Hello{Header: h.headerFrom("d", 0)}
	hello.Header.Group = ""
	h.receive(hello)
	h.receive(reply("d", 2))
	h.step(Propose{ID: 1, Data: []byte("change")})
	h.receive(reply("b", 4))
	assert.Equal(t, h.node.Status().Commit, uint64(2))
	h.node.cfg.SnapshotEvery, h.actions = 1, nil
	h.receive(reply("d", 3))
	assert.DeepEqual(t, h.voterNames(), []string{"a", "b", "d"})
	isRequested, isApplied := false, false
	for _, action := range h.actions {
		switch action.(type) {
		case TakeSnapshot:
			isRequested = true
		case Apply:
			isApplied = true
			assert.Assert(t, !isRequested, "an Apply follows the request")
		}
	}
	assert.Assert(t, isRequested && isApplied)
}

// Guards against a group that ends with one lost disk: a silent voter that may return with its disk must not be removed
// before its successor votes, because fewer voters than the target size bear fewer losses.
func TestSilentVoterStaysUntilItsSuccessorVotes(t *testing.T) {
	h := newOpenHarness(t, func(*Membership) {})
	for range 10 {
		h.advance(unreachableAfter / 5)
		h.replyAll("b")
	}
	h.join(false)
	assert.DeepEqual(t, h.voterNames(), []string{"a", "b", "d"})
	for _, m := range h.node.memberships {
		assert.Assert(t, len(m.Voters) >= 3, "%v vote", m.Voters)
	}
}

// Guards against a group that ends when a member loses its disk twice: its earlier disk is gone once it presents a new
// one, however recently it replied, and must not vote beside it.
func TestLostDiskIsRemovedBeforeItsSuccessorVotes(t *testing.T) {
	h := newOpenHarness(t, func(*Membership) {})
	h.replyAll("b", "c")
	hello := &Hello{Header: h.headerFrom("c", 0)}
	hello.Header.From.Disk, hello.Header.Group = "dc2", ""
	h.receive(hello)
	for range 4 {
		reply := &AppendReply{Header: h.headerFrom("c", 2), Match: h.node.Status().Last, SentAt: h.node.sinceElection()}
		reply.Header.From.Disk = "dc2"
		h.receive(reply)
		h.replyAll("b")
	}
	assert.DeepEqual(t, h.node.Status().Voters, []Voter{{Name: "a", Disk: "da"}, {Name: "b", Disk: "db"}, {Name: "c", Disk: "dc2"}})
	for _, m := range h.node.memberships {
		assert.Assert(t, len(m.Voters) <= 3, "%v vote", m.Voters)
	}
}
