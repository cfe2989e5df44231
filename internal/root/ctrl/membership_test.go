package ctrl

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

// newDynamicFleet starts control instances with dynamic membership, which contact c1, c2 and c3 first, and two
// daemons.
func newDynamicFleet(t *testing.T, controls int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, clock: clock.NewFake(time.Unix(1_000_000, 0)), loops: map[string]*Loop{},
		streams: map[string]*streamPair{}, isolated: map[string]bool{}, dropLeaderMessages: map[string]bool{},
	}
	for i := range controls {
		f.addDynamicControl(fmt.Sprintf("c%d", i+1), "", true)
	}
	for i := range 2 {
		options := f.dynamicOptions(fmt.Sprintf("d%d", i+1), true)
		options.ServesTraffic = true
		loop, err := New(options, f.clock, &link.Dialer{}, nil, zerolog.Nop())
		assert.NilError(t, err)
		f.loops[options.PeerAddress] = loop
	}
	f.waitUntil("a leader", func() bool { return f.leader() != "" })
	return f
}

func (f *fleet) dynamicOptions(name string, bootstrap bool) Options {
	return Options{
		Name: "instance-" + name, Zone: "zone-a", PeerAddress: name, ControlAddresses: []string{"c1", "c2", "c3"},
		Boot: uint64(1000 + len(f.loops)), DynamicMembership: true, Bootstrap: bootstrap,
	}
}

// addDynamicControl starts a control instance with an empty disk; disk distinguishes the disks of one
// instance.
func (f *fleet) addDynamicControl(name, disk string, bootstrap bool) {
	f.t.Helper()
	loop, err := New(f.dynamicOptions(name, bootstrap), f.clock, &link.Dialer{}, memoryStorage{disk: "disk-" + name + disk}, f.log)
	assert.NilError(f.t, err)
	f.loops[name] = loop
}

// voters returns the names of the voters according to the leader, and nil while a voter is being replaced.
func (f *fleet) voters() []string {
	leader := f.leader()
	if leader == "" {
		return nil
	}
	status := f.loops[leader].voter.node.Status()
	if status.Replacing {
		return nil
	}
	var names []string
	for _, v := range status.Voters {
		names = append(names, v.Name)
	}
	slices.Sort(names)
	return names
}

func (f *fleet) submit(name string, draft Draft) SubmitResult {
	f.t.Helper()
	reply := make(chan SubmitResult, 1)
	f.loops[name].handle(f.clock.Now(), draftSubmitted{draft: draft, reply: reply})
	var result SubmitResult
	f.waitUntil("a verdict", func() bool {
		select {
		case result = <-reply:
			return true
		default:
			return false
		}
	})
	return result
}

func (f *fleet) read(name string) ReadResult {
	f.t.Helper()
	reply := make(chan ReadResult, 1)
	f.loops[name].handle(f.clock.Now(), configReadRequested{reply: reply})
	var result ReadResult
	f.waitUntil("a reply", func() bool {
		select {
		case result = <-reply:
			return true
		default:
			return false
		}
	})
	return result
}

func draft(number, base uint64, extra string) Draft {
	return Draft{Number: number, Base: base, Text: []byte(rulesText(number, "Ana", extra)), Author: "Ana"}
}

// Guards against a bootstrap that leaves out control instances of the first start, or that forms two groups.
func TestDynamicGroupAdmitsAllControlInstances(t *testing.T) {
	for _, controls := range []int{3, 5, 8} {
		f := newDynamicFleet(t, controls)
		f.waitUntil("all of them vote", func() bool { return len(f.voters()) == controls })
		leaders := 0
		for _, l := range f.loops {
			if l.voter != nil && l.voter.leader != nil {
				leaders++
			}
		}
		assert.Equal(t, leaders, 1)
	}
}

// Guards against a second group that an instance bootstraps when it starts after the first group was formed.
func TestLaterStartDoesNotBootstrap(t *testing.T) {
	f := &fleet{
		t: t, clock: clock.NewFake(time.Unix(1_000_000, 0)), loops: map[string]*Loop{},
		streams: map[string]*streamPair{}, isolated: map[string]bool{}, dropLeaderMessages: map[string]bool{},
	}
	for i := range 3 {
		f.addDynamicControl(fmt.Sprintf("c%d", i+1), "", false)
	}
	f.runFor(5 * time.Second)
	assert.Equal(t, f.leader(), "")
}

// Guards against a lost configuration, and a group with too few voters, after the disk of one voter was
// emptied.
func TestDynamicGroupReplacesAnEmptiedDisk(t *testing.T) {
	f := newDynamicFleet(t, 3)
	assert.DeepEqual(t, f.submit(f.leader(), draft(3, 0, "")), SubmitResult(SubmitAccepted{Number: 3}))
	lost := "c1"
	if f.leader() == lost {
		lost = "c2"
	}
	f.addDynamicControl(lost, "-new", false)
	f.waitUntil("three voters again", func() bool {
		leader := f.leader()
		return len(f.voters()) == 3 && leader != "" && slices.ContainsFunc(f.loops[leader].voter.node.Status().Voters, func(v raft.Voter) bool {
			return v.Disk == "disk-"+lost+"-new"
		})
	})
	f.waitUntil("the new disk has the configuration", func() bool { return f.loops[lost].voter.revision() == 3 })
}

// Guards against an instance with an emptied disk that reports itself as a voter while only its old disk is
// one: the loss of another instance would then leave no majority.
func TestEmptiedDiskIsALearnerUntilItVotes(t *testing.T) {
	status := raft.Status{Voters: []raft.Voter{{Name: "c1", Disk: "old"}, {Name: "c2", Disk: "two"}, {Name: "c3", Disk: "three"}}}
	assert.Equal(t, roleOf(status), admin.RoleLearner)
	status.Admitted = true
	assert.Equal(t, roleOf(status), admin.RoleFollower)
}

// Guards against a group with too few voters after a control instance was replaced by one at another address,
// both planned and without notice.
func TestDynamicGroupReplacesAnInstance(t *testing.T) {
	for _, planned := range []bool{false, true} {
		f := newDynamicFleet(t, 3)
		assert.DeepEqual(t, f.submit(f.leader(), draft(3, 0, "")), SubmitResult(SubmitAccepted{Number: 3}))
		old := f.leader()
		if !planned {
			f.isolated[old] = true
			f.runFor(2 * time.Second)
		}
		f.addDynamicControl("c9", "", false)
		if planned {
			f.waitUntil("the new instance votes", func() bool { return slices.Contains(f.voters(), "c9") })
			f.isolated[old] = true
		}
		f.waitUntil("three voters without the old one", func() bool {
			voters := f.voters()
			return len(voters) == 3 && slices.Contains(voters, "c9") && !slices.Contains(voters, old)
		})
		assert.Equal(t, f.loops[f.leader()].voter.revision(), uint64(3))
	}
}

// Guards against a replacement that cannot be followed in the log: each instance logs the voters after a change.
func TestVotersAreLogged(t *testing.T) {
	f := newDynamicFleet(t, 3)
	var text bytes.Buffer
	f.log = zerolog.New(&text)
	f.addDynamicControl("c9", "", false)
	f.waitUntil("the new instance votes", func() bool { return slices.Contains(f.voters(), "c9") })
	assert.Assert(t, strings.Contains(text.String(), `"voters":["c1","c2","c3","c9"]`), text.String())
}

// Guards against daemons that only have the control addresses of their start when other instances have become
// control instances.
func TestDaemonsReceiveControlAddresses(t *testing.T) {
	f := newDynamicFleet(t, 4)
	f.waitUntil("all of them vote", func() bool { return len(f.voters()) == 4 })
	f.waitUntil("the daemon knows them", func() bool { return slices.Contains(*f.loops["d1"].controlAddresses.Load(), "c4") })
	f.loops["d1"].handle(f.clock.Now(), controlAddressesAdded{addresses: []string{"c7"}})
	assert.Equal(t, (*f.loops["d1"].controlAddresses.Load())[0], "c7")
}

// Guards against lost updates: of two changes to one revision only one is accepted, and a retry of an accepted
// change is never refused.
func TestDrafts(t *testing.T) {
	f := newDynamicFleet(t, 3)
	leader := f.leader()
	assert.DeepEqual(t, f.submit(leader, draft(3, 0, "")), SubmitResult(SubmitAccepted{Number: 3}))
	assert.DeepEqual(t, f.submit(leader, draft(9, 3, "")), SubmitResult(SubmitAccepted{Number: 9}))
	for name, refused := range map[string]Draft{
		"another change on an old version":  draft(11, 3, ""),
		"another text under a known number": draft(9, 3, "# other\n"),
		"a number that is not above":        draft(5, 9, ""),
		"a first one":                       draft(20, 0, ""),
	} {
		result, ok := f.submit(leader, refused).(SubmitRefused)
		assert.Assert(t, ok, name)
		assert.Assert(t, !result.Invalid && result.InForce == 9, "%s: %+v", name, result)
	}
	result, ok := f.submit(leader, Draft{Number: 12, Base: 9, Text: []byte("not rules")}).(SubmitRefused)
	assert.Assert(t, ok && result.Invalid)
	for _, again := range []Draft{draft(3, 0, ""), draft(9, 3, "")} {
		assert.DeepEqual(t, f.submit(leader, again), SubmitResult(SubmitAccepted{Number: again.Number}))
	}
	f.waitUntil("in force everywhere", func() bool { return f.loops["d1"].daemon.rules.revision() == 9 })
	text, ok := f.read(leader).(ReadText)
	assert.Assert(t, ok)
	assert.Equal(t, text.Number, uint64(9))
	assert.Equal(t, string(text.Text), rulesText(9, "Ana", ""))
}

// Guards against a reply of a member that cannot know whether its configuration is the newest, and against a
// redirect without the address of the leader.
func TestReadsNeedTheGroup(t *testing.T) {
	f := newDynamicFleet(t, 3)
	leader := f.leader()
	assert.DeepEqual(t, f.submit(leader, draft(3, 0, "")), SubmitResult(SubmitAccepted{Number: 3}))
	for name := range f.loops {
		if f.loops[name].voter != nil && name != leader {
			assert.DeepEqual(t, f.read(name), ReadResult(ReadNotLeader{Leader: leader}))
			assert.DeepEqual(t, f.submit(name, draft(5, 3, "")), SubmitResult(SubmitNotLeader{Leader: leader}))
		}
	}
	f.isolated[leader] = true
	assert.DeepEqual(t, f.read(leader), ReadResult(ReadUnconfirmed{}))
	assert.DeepEqual(t, f.submit(leader, draft(5, 3, "")), SubmitResult(SubmitUnconfirmed{}))
}

// Guards against a member that stays out of the group after its disk was full for a while.
func TestMemberRejoinsAfterAFailedDisk(t *testing.T) {
	f := newDynamicFleet(t, 3)
	assert.DeepEqual(t, f.submit(f.leader(), draft(3, 0, "")), SubmitResult(SubmitAccepted{Number: 3}))
	failed := f.leader()
	l := f.loops[failed]
	l.handle(f.clock.Now(), raftEvent{input: raft.PersistFailed{Err: fmt.Errorf("no space left on device")}})
	f.waitUntil("another leader", func() bool { return f.leader() != "" && f.leader() != failed })
	restored := raft.RecoveredState{Disk: "disk-" + failed, Boot: 2, Start: 9, Lineage: []uint64{7}}
	for _, name := range []string{"c1", "c2", "c3"} {
		if name != failed { // a disk contains the starts of the other members
			restored.HardState.Boots = append(restored.HardState.Boots, raft.Boot{Name: name, Disk: "disk-" + name, Number: 1, Start: 7})
		}
	}
	l.handle(f.clock.Now(), storageReopened{restored: restored})
	f.waitUntil("the member follows", func() bool { return l.voter.revision() == 3 && l.voter.node.Status().Admitted })
	assert.DeepEqual(t, f.submit(f.leader(), draft(4, 3, "")), SubmitResult(SubmitAccepted{Number: 4}))
	f.waitUntil("and gets what is new", func() bool { return l.voter.revision() == 4 })
}

// Guards against a snapshot that cannot be restored because revision numbers are missing in its history.
func TestSnapshotOfNonConsecutiveRevisions(t *testing.T) {
	f := newDynamicFleet(t, 3)
	leader := f.leader()
	f.submit(leader, draft(3, 0, ""))
	f.submit(leader, draft(9, 3, ""))
	body, err := f.loops[leader].voter.machine.Snapshot()
	assert.NilError(t, err)
	restored, err := state.Restore(body, acceptCheckedText)
	assert.NilError(t, err)
	assert.Equal(t, restored.CurrentRevision().Number, uint64(9))
	assert.Assert(t, restored.Revision(3) != nil && restored.Revision(4) == nil)
}
