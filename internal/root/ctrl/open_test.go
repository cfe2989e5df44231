package ctrl

import (
	"fmt"
	"slices"
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

// newOpenFleet starts control instances that find each other by three seeds, and two daemons.
func newOpenFleet(t *testing.T, controls int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, clock: clock.NewFake(time.Unix(1_000_000, 0)), loops: map[string]*Loop{},
		links: map[string]*pair{}, cut: map[string]bool{}, dropDown: map[string]bool{},
	}
	for i := range controls {
		f.addOpen(fmt.Sprintf("c%d", i+1), "", true)
	}
	for i := range 2 {
		options := f.openOptions(fmt.Sprintf("d%d", i+1), true)
		options.Traffic = true
		loop, err := New(options, f.clock, &link.Dialer{}, nil, zerolog.Nop())
		assert.NilError(t, err)
		f.loops[options.PeerAddress] = loop
	}
	f.until("a leader", func() bool { return f.leader() != "" })
	return f
}

func (f *fleet) openOptions(name string, found bool) Options {
	return Options{
		Name: "instance-" + name, Zone: "zone-a", PeerAddress: name, ControlAddresses: []string{"c1", "c2", "c3"},
		Boot: uint64(1000 + len(f.loops)), Open: true, Found: found,
	}
}

// addOpen starts a control instance on an empty disk; disk tells disks of one instance apart.
func (f *fleet) addOpen(name, disk string, found bool) {
	f.t.Helper()
	loop, err := New(f.openOptions(name, found), f.clock, &link.Dialer{}, memory{disk: "disk-" + name + disk}, zerolog.Nop())
	assert.NilError(f.t, err)
	f.loops[name] = loop
}

// voters returns the names of the voters as the leader knows them, and nil during a change.
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
	f.until("a verdict", func() bool {
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
	f.loops[name].handle(f.clock.Now(), configRead{reply: reply})
	var result ReadResult
	f.until("an answer", func() bool {
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

// Guards against a group that forms without some control instances of the first start, or twice.
func TestOpenGroupTakesInAllControlInstances(t *testing.T) {
	for _, controls := range []int{3, 5, 8} {
		f := newOpenFleet(t, controls)
		f.until("all of them vote", func() bool { return len(f.voters()) == controls })
		leaders := 0
		for _, l := range f.loops {
			if l.voter != nil && l.voter.lead != nil {
				leaders++
			}
		}
		assert.Equal(t, leaders, 1)
	}
}

// Guards against a second group next to the first, founded by an instance that starts later.
func TestLaterStartFoundsNoGroup(t *testing.T) {
	f := &fleet{
		t: t, clock: clock.NewFake(time.Unix(1_000_000, 0)), loops: map[string]*Loop{},
		links: map[string]*pair{}, cut: map[string]bool{}, dropDown: map[string]bool{},
	}
	for i := range 3 {
		f.addOpen(fmt.Sprintf("c%d", i+1), "", false)
	}
	f.run(5 * time.Second)
	assert.Equal(t, f.leader(), "")
}

// Guards against a lost configuration and a group without its full number of voters after a disk was emptied.
func TestOpenGroupReplacesAnEmptiedDisk(t *testing.T) {
	f := newOpenFleet(t, 3)
	assert.DeepEqual(t, f.submit(f.leader(), draft(3, 0, "")), SubmitResult(SubmitAccepted{Number: 3}))
	lost := "c1"
	if f.leader() == lost {
		lost = "c2"
	}
	f.addOpen(lost, "-new", false)
	f.until("three voters again", func() bool {
		leader := f.leader()
		return len(f.voters()) == 3 && leader != "" && slices.ContainsFunc(f.loops[leader].voter.node.Status().Voters, func(v raft.Voter) bool {
			return v.Disk == "disk-"+lost+"-new"
		})
	})
	f.until("the new disk has the configuration", func() bool { return f.loops[lost].voter.revision() == 3 })
}

// Guards against an instance with an emptied disk that reports itself as a voter while only its old disk
// is one: the loss of another instance would then leave no majority.
func TestEmptiedDiskIsALearnerUntilItVotes(t *testing.T) {
	status := raft.Status{Voters: []raft.Voter{{Name: "c1", Disk: "old"}, {Name: "c2", Disk: "two"}, {Name: "c3", Disk: "three"}}}
	assert.Equal(t, roleOf(status), admin.RoleLearner)
	status.Admitted = true
	assert.Equal(t, roleOf(status), admin.RoleFollower)
}

// Guards against a group that stays smaller after a control instance was replaced by one at another
// address, with and without notice.
func TestOpenGroupReplacesAnInstance(t *testing.T) {
	for _, planned := range []bool{false, true} {
		f := newOpenFleet(t, 3)
		assert.DeepEqual(t, f.submit(f.leader(), draft(3, 0, "")), SubmitResult(SubmitAccepted{Number: 3}))
		old := f.leader()
		if !planned {
			f.cut[old] = true
			f.run(2 * time.Second)
		}
		f.addOpen("c9", "", false)
		if planned {
			f.until("the new instance votes", func() bool { return slices.Contains(f.voters(), "c9") })
			f.cut[old] = true
		}
		f.until("three voters without the old one", func() bool {
			voters := f.voters()
			return len(voters) == 3 && slices.Contains(voters, "c9") && !slices.Contains(voters, old)
		})
		assert.Equal(t, f.loops[f.leader()].voter.revision(), uint64(3))
	}
}

// Guards against daemons that only know the seeds of their start once other instances serve control.
func TestDaemonsLearnTheControlInstances(t *testing.T) {
	f := newOpenFleet(t, 4)
	f.until("all of them vote", func() bool { return len(f.voters()) == 4 })
	f.until("the daemon knows them", func() bool { return slices.Contains(*f.loops["d1"].controls.Load(), "c4") })
	f.loops["d1"].handle(f.clock.Now(), controlsKnown{addresses: []string{"c7"}})
	assert.Equal(t, (*f.loops["d1"].controls.Load())[0], "c7")
}

// Guards against lost updates: of two changes on one version only one is accepted, and a change that was
// accepted is never refused when it is sent again.
func TestDrafts(t *testing.T) {
	f := newOpenFleet(t, 3)
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
	f.until("in force everywhere", func() bool { return f.loops["d1"].daemon.rules.revision() == 9 })
	text, ok := f.read(leader).(ReadText)
	assert.Assert(t, ok)
	assert.Equal(t, text.Number, uint64(9))
	assert.Equal(t, string(text.Text), rulesText(9, "Ana", ""))
}

// Guards against an answer of a member that cannot know whether its configuration is the newest, and
// against one that does not say where the leader is.
func TestReadsNeedTheGroup(t *testing.T) {
	f := newOpenFleet(t, 3)
	leader := f.leader()
	assert.DeepEqual(t, f.submit(leader, draft(3, 0, "")), SubmitResult(SubmitAccepted{Number: 3}))
	for name := range f.loops {
		if f.loops[name].voter != nil && name != leader {
			assert.DeepEqual(t, f.read(name), ReadResult(ReadElsewhere{Leader: leader}))
			assert.DeepEqual(t, f.submit(name, draft(5, 3, "")), SubmitResult(SubmitElsewhere{Leader: leader}))
		}
	}
	f.cut[leader] = true
	assert.DeepEqual(t, f.read(leader), ReadResult(ReadUnconfirmed{}))
	assert.DeepEqual(t, f.submit(leader, draft(5, 3, "")), SubmitResult(SubmitUnconfirmed{}))
}

// Guards against a member whose disk was full for a while and that takes no further part.
func TestMemberComesBackAfterAFailedDisk(t *testing.T) {
	f := newOpenFleet(t, 3)
	assert.DeepEqual(t, f.submit(f.leader(), draft(3, 0, "")), SubmitResult(SubmitAccepted{Number: 3}))
	failed := f.leader()
	l := f.loops[failed]
	l.handle(f.clock.Now(), consensus{input: raft.PersistFailed{Err: fmt.Errorf("no space left on device")}})
	f.until("another leader", func() bool { return f.leader() != "" && f.leader() != failed })
	restored := raft.RecoveredState{Disk: "disk-" + failed, Boot: 2, Start: 9, Lineage: []uint64{7}}
	for _, name := range []string{"c1", "c2", "c3"} {
		if name != failed { // a disk remembers the starts of the others
			restored.HardState.Boots = append(restored.HardState.Boots, raft.Boot{Name: name, Disk: "disk-" + name, Number: 1, Start: 7})
		}
	}
	l.handle(f.clock.Now(), storageReopened{restored: restored})
	f.until("the member follows", func() bool { return l.voter.revision() == 3 && l.voter.node.Status().Admitted })
	assert.DeepEqual(t, f.submit(f.leader(), draft(4, 3, "")), SubmitResult(SubmitAccepted{Number: 4}))
	f.until("and gets what is new", func() bool { return l.voter.revision() == 4 })
}

// Guards against a state with gaps in its numbers that cannot be restored.
func TestSnapshotOfUnevenRevisions(t *testing.T) {
	f := newOpenFleet(t, 3)
	leader := f.leader()
	f.submit(leader, draft(3, 0, ""))
	f.submit(leader, draft(9, 3, ""))
	body, err := f.loops[leader].voter.machine.Snapshot()
	assert.NilError(t, err)
	restored, err := state.Restore(body, acceptText)
	assert.NilError(t, err)
	assert.Equal(t, restored.CurrentRevision().Number, uint64(9))
	assert.Assert(t, restored.Revision(3) != nil && restored.Revision(4) == nil)
}
