package ctrl

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
)

// catchUpTime is the time after its start from which a new control instance counts: the group must bear the next
// loss then.
const catchUpTime = 4 * time.Second

// stop stops a control instance as SIGTERM does, and fails the test if the stop takes longer than leaveTimeout.
func (f *fleet) stop(name string) {
	f.t.Helper()
	reply := make(chan struct{}, 1)
	f.loops[name].handle(f.clock.Now(), stopRequested{reply: reply})
	took := f.waitUntil("the instance may stop", func() bool { return len(reply) > 0 })
	assert.Assert(f.t, took < leaveTimeout, "the stop took %v", took)
	f.isolated[name] = true
}

// loseDisk ends a control instance and starts it again with an empty disk a second later.
func (f *fleet) loseDisk(name string) {
	f.t.Helper()
	f.isolated[name] = true
	f.runFor(time.Second)
	f.isolated[name] = false
	f.addDynamicControl(name, "-new", false)
}

// other returns a control instance that is none of the given ones.
func (f *fleet) other(names ...string) string {
	for _, name := range f.names() {
		if f.loops[name].voter != nil && !f.isolated[name] && !slices.Contains(names, name) {
			return name
		}
	}
	return ""
}

// requireAccepts fails the test unless the group still has its configuration and accepts the next one.
func (f *fleet) requireAccepts(next Draft) {
	f.t.Helper()
	f.waitUntil("a leader", func() bool { return f.leader() != "" })
	assert.DeepEqual(f.t, f.submit(f.leader(), next), SubmitResult(SubmitAccepted{Number: next.Number}))
}

// Guards against a group that ends when an instance loses its disk right after another one was replaced as planned:
// the one that had stopped stayed a voter, so that two of four were left.
func TestGroupBearsALostDiskAfterAPlannedReplacement(t *testing.T) {
	for _, stopsLeader := range []bool{false, true} {
		f := newDynamicFleet(t, 3)
		assert.DeepEqual(t, f.submit(f.leader(), draft(3, 0, "")), SubmitResult(SubmitAccepted{Number: 3}))
		f.addDynamicControl("c9", "", false)
		f.runFor(catchUpTime)
		old := f.leader()
		if !stopsLeader {
			old = f.other(old, "c9")
		}
		f.stop(old)
		f.loseDisk(f.other(old, "c9"))
		f.requireAccepts(draft(5, 3, ""))
		f.waitUntil("three voters", func() bool { return len(f.voters()) == 3 && !slices.Contains(f.voters(), old) })
	}
}

// Guards against a group that ends when an instance loses its disk once the successor of a lost one has caught up:
// the lost one stayed a voter for five seconds more.
func TestGroupBearsALostDiskAfterALostInstance(t *testing.T) {
	f := newDynamicFleet(t, 3)
	assert.DeepEqual(t, f.submit(f.leader(), draft(3, 0, "")), SubmitResult(SubmitAccepted{Number: 3}))
	gone := f.leader()
	f.isolated[gone] = true
	f.runFor(time.Second)
	f.addDynamicControl("c9", "", false)
	f.runFor(catchUpTime)
	f.loseDisk(f.other("c9"))
	f.requireAccepts(draft(5, 3, ""))
}

// Guards against a control instance that is given up after it was silent for some seconds: with the instances that
// took its place gone as planned, the next lost disk ended the group.
func TestSilentInstanceVotesAgain(t *testing.T) {
	f := newDynamicFleet(t, 3)
	assert.DeepEqual(t, f.submit(f.leader(), draft(3, 0, "")), SubmitResult(SubmitAccepted{Number: 3}))
	f.addDynamicControl("c9", "", false)
	f.waitUntil("the new instance votes", func() bool { return slices.Contains(f.voters(), "c9") })
	silent := f.other(f.leader(), "c9")
	f.isolated[silent] = true
	f.runFor(6 * time.Second)
	assert.Assert(t, !slices.Contains(f.voters(), silent))
	f.isolated[silent] = false
	f.runFor(catchUpTime)
	assert.Assert(t, slices.Contains(f.voters(), silent), "voters: %v", f.voters())
	f.stop(f.other(silent, "c9"))
	f.loseDisk("c9")
	f.requireAccepts(draft(5, 3, ""))
}

// Guards against a control instance that is never admitted again because everyone that it knew has been replaced
// while it was silent.
func TestReturningInstanceFindsTheGroup(t *testing.T) {
	f := newDynamicFleet(t, 3)
	assert.DeepEqual(t, f.submit(f.leader(), draft(3, 0, "")), SubmitResult(SubmitAccepted{Number: 3}))
	silent := f.other(f.leader())
	f.isolated[silent] = true
	for _, successor := range []string{"c8", "c9"} {
		f.addDynamicControl(successor, "", false)
		f.waitUntil("the successor votes", func() bool { return slices.Contains(f.voters(), successor) })
	}
	for _, old := range []string{"c1", "c2", "c3"} {
		if old != silent && f.leader() == old {
			f.isolated[old] = true
		}
	}
	f.waitUntil("a leader that the silent one has not met", func() bool { return f.leader() == "c8" || f.leader() == "c9" })
	f.isolated[silent] = false
	f.waitUntil("it votes again", func() bool { return slices.Contains(f.voters(), silent) })
	status := f.loops[silent].voter.node.Status()
	assert.Assert(t, status.Admitted && slices.Contains(status.Voters, raft.Voter{Name: silent, Disk: "disk-" + silent}))
}
