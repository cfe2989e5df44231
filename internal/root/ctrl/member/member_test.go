package member

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

var epoch = time.Unix(1_800_000_000, 0)

func init() {
	// Every run of the property tests uses the same seed unless a flag names another.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Guards against an instance that keeps its incarnation after a restart, or changes it without one.
func TestIncarnations(t *testing.T) {
	l := NewLocalInstances("127.0.0.1:7400", "az1", "eu", 9)
	a := Announcement{Service: "reader", Address: "127.0.0.1:9001", Slots: 110, Connections: 750, Start: "1"}
	announce := func(after time.Duration) *Announce {
		m, err := l.Announce(epoch.Add(after), &a)
		assert.NilError(t, err)
		return m
	}
	first := announce(0)
	assert.Equal(t, first.Instance.Region, "eu", "the region of the daemon is that of its servers")
	assert.Assert(t, announce(time.Second) == nil, "an unchanged announcement only renews the lease")
	a.Slots = 90
	changed := announce(2 * time.Second)
	assert.Equal(t, changed.Instance.Incarnation, first.Instance.Incarnation)
	assert.Equal(t, changed.Instance.Started, first.Instance.Started)
	a.Start = "2"
	restarted := announce(3 * time.Second)
	assert.Assert(t, restarted.Instance.Incarnation != first.Instance.Incarnation)
	assert.Equal(t, restarted.Instance.ID, first.Instance.ID)
	l.MarkRefused(a.Address)
	refused := announce(4 * time.Second)
	assert.Assert(t, refused.Instance.Incarnation != restarted.Instance.Incarnation)
	other := NewLocalInstances("127.0.0.2:7400", "az1", "eu", 9)
	m, err := other.Announce(epoch, &a)
	assert.NilError(t, err)
	assert.Assert(t, m.Instance.Incarnation != first.Instance.Incarnation)

	assert.Equal(t, len(l.Expire(epoch.Add(4*time.Second+InstanceLease-1))), 0)
	ended := l.Expire(epoch.Add(4*time.Second + InstanceLease))
	assert.Equal(t, len(ended), 1)
	assert.Assert(t, ended[0].Seq > refused.Seq)
	assert.Equal(t, len(l.Instances), 0)
	assert.Assert(t, l.Leave(a.Address) == nil)
	assert.Assert(t, announce(time.Minute).Instance.Incarnation != refused.Instance.Incarnation)
}

// Guards R10 and the leases. Daemons stop, restart, lose their control stream with the messages on it, and
// reconnect, in random order. Afterwards the views of every running daemon have to contain exactly the leased
// instances that are chosen for it, and each stopped start of a daemon has to be reported as gone once, after
// 10 s or when it is replaced.
func TestViewsFollowInstances(t *testing.T) {
	type node struct {
		local        *LocalInstances
		views        *Views
		boot         uint64
		heartbeatSeq uint64
		connected    bool
		alive        bool
	}
	services := []string{"reader", "bindery"}
	rapid.Check(t, func(t *rapid.T) {
		r, now, nodes, boots := NewRegistry(), epoch, make([]*node, 40), uint64(0)
		lastContact, gone := make(map[GoneDaemon]time.Time), make(map[GoneDaemon]bool)
		name := func(i int) string { return fmt.Sprintf("127.0.0.%d:7400", i) }
		zone := func(i int) string { return fmt.Sprintf("az%d", i%2) }
		connect := func(i int) {
			n := nodes[i]
			n.connected = true
			lastContact[GoneDaemon{name(i), n.boot}], gone[GoneDaemon{name(i), n.boot}] = now, false
			r.Join(now, name(i), zone(i), n.boot)
			for _, m := range n.local.AnnounceAll() {
				assert.NilError(t, r.Announce(now, name(i), copied(t, m)))
			}
			r.Subscribe(name(i), copied(t, &Subscription{Services: services}))
		}
		start := func(i int) {
			boots++
			nodes[i] = &node{local: NewLocalInstances(name(i), zone(i), "eu", boots), views: NewViews(), boot: boots, alive: true}
			_, err := nodes[i].local.Announce(now, &Announcement{Service: services[i%4/3], Address: "127.0.0.1:9001", Slots: 1, Start: "1"})
			assert.NilError(t, err)
			connect(i)
		}
		deliver := func() {
			for more := true; more; {
				var updates []ViewUpdate
				if updates, more = r.Changes(7); len(updates) > 7 {
					t.Fatalf("%d changes", len(updates))
				}
				for _, s := range updates {
					for i, n := range nodes {
						if name(i) == s.Daemon && n.connected && !n.views.Apply(copied(t, &s.Change)) {
							r.Subscribe(name(i), &Subscription{Services: services})
							more = true
						}
					}
				}
			}
		}
		advanceSecond := func() {
			now = now.Add(time.Second)
			for i, n := range nodes {
				if n.heartbeatSeq++; n.alive && n.connected {
					if _, ok := r.Heartbeat(now, name(i), copied(t, &Heartbeat{Seq: n.heartbeatSeq})); !ok {
						connect(i)
					}
					lastContact[GoneDaemon{name(i), n.boot}] = now
				}
			}
			for _, g := range r.Expire(now) {
				assert.Assert(t, !gone[g], "%v is gone twice", g)
				i := slices.IndexFunc(nodes, func(n *node) bool { return n.boot == g.Boot })
				assert.Assert(t, i < 0 || now.Sub(lastContact[g]) >= GoneAfter, "%v is gone too early", g)
				gone[g] = true
			}
			deliver()
		}
		for i := range nodes {
			start(i)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "daemon")
			n := nodes[i]
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				if n.alive {
					n.alive, n.connected = false, false
				}
			case 1:
				start(i)
			case 2:
				n.connected = false // its messages are lost until it reconnects
			case 3:
				if n.alive {
					connect(i)
				}
			case 4:
				if m := n.local.Leave("127.0.0.1:9001"); m != nil && n.connected {
					r.Leave(now, name(i), copied(t, m))
				}
			case 5:
				advanceSecond()
			}
		}
		for i, n := range nodes {
			if n.alive && !n.connected {
				connect(i)
			}
		}
		for range 12 {
			advanceSecond()
		}
		expected := make(map[string]map[string]snap.Endpoint)
		for _, n := range nodes {
			for _, e := range n.local.Instances {
				if n.alive {
					if expected[e.Service] == nil {
						expected[e.Service] = make(map[string]snap.Endpoint)
					}
					expected[e.Service][e.ID] = e
				}
			}
		}
		for i, n := range nodes {
			if !n.alive {
				assert.Assert(t, gone[GoneDaemon{name(i), n.boot}], "%s is not gone", name(i))
				continue
			}
			for _, s := range services {
				view := slices.Clone(n.views.Services[s])
				assert.Equal(t, len(view), min(MaxView, len(expected[s])))
				sameZone, sameZoneLive := 0, 0
				for _, e := range view {
					assert.DeepEqual(t, e, expected[s][e.ID])
					sameZone += btoi(e.Zone == zone(i))
				}
				for _, e := range expected[s] {
					sameZoneLive += btoi(e.Zone == zone(i))
				}
				assert.Equal(t, sameZone, min(MaxView, sameZoneLive), "the own availability zone comes first")
				byID := func(a, b snap.Endpoint) int { return compareIDs(a.ID, b.ID) }
				slices.SortFunc(view, byID)
				assert.DeepEqual(t, view, slices.SortedFunc(slices.Values(r.View(s, name(i), zone(i))), byID))
			}
		}
	})
}

// Guards against a subset in which more than one instance is replaced when one instance joins or leaves.
func TestSubsetIsStable(t *testing.T) {
	r := NewRegistry()
	view := func() map[string]bool {
		ids := make(map[string]bool)
		for _, e := range r.View("reader", "caller", "az9") {
			ids[e.ID] = true
		}
		return ids
	}
	for i := range 300 {
		before := view()
		announce(t, r, i, "reader")
		after := view()
		for id := range before {
			delete(after, id)
		}
		assert.Assert(t, len(after) <= 1, "one more instance changed %d of the subset", len(after))
	}
	before, id := view(), r.View("reader", "caller", "az9")[0].ID
	r.Leave(epoch, daemonOf(id), &Leave{ID: id, Seq: 2})
	after := view()
	assert.Equal(t, len(after), MaxView)
	maps.DeleteFunc(after, func(id string, _ bool) bool { return before[id] })
	assert.Equal(t, len(after), 1)
	// An Announce that arrives after the later Leave does not restore the instance.
	assert.NilError(t, r.Announce(epoch, daemonOf(id), &Announce{Instance: instanceOf(daemonOf(id), "reader"), Seq: 1}))
	assert.Assert(t, !view()[id])
	// A Leave that arrives after a later Announce does not remove the instance.
	assert.NilError(t, r.Announce(epoch, daemonOf(id), &Announce{Instance: instanceOf(daemonOf(id), "reader"), Seq: 4}))
	r.Leave(epoch, daemonOf(id), &Leave{ID: id, Seq: 3})
	assert.Assert(t, view()[id])
}

func announce(t testing.TB, r *Registry, i int, service string) string {
	name := fmt.Sprintf("10.%d.%d.%d:7400", i>>16, i>>8&255, i&255)
	r.Join(epoch, name, fmt.Sprintf("az%d", i%6), 1)
	assert.NilError(t, r.Announce(epoch, name, &Announce{Instance: instanceOf(name, service), Seq: 1}))
	return name
}

func instanceOf(daemon, service string) snap.Endpoint {
	return snap.Endpoint{
		ID: daemon + "/127.0.0.1:9001", Service: service, Daemon: daemon, Address: "127.0.0.1:9001",
		Zone: "az" + daemon[len(daemon)-6:len(daemon)-5], Slots: 110, Connections: 750, Incarnation: 1, Started: wire.StampOf(epoch),
	}
}

func daemonOf(id string) string { return id[:len(id)-len("/127.0.0.1:9001")] }

func compareIDs(a, b string) int { return slices.Compare([]byte(a), []byte(b)) }

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// copied returns a copy of a message made by encoding and decoding it.
func copied[T any, M wire.Message[T]](t interface{ Fatalf(string, ...any) }, m M) M {
	body, err := wire.Encode[T](m)
	if err != nil {
		t.Fatalf("%v", err)
	}
	decoded, err := wire.Decode[T, M](body)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return decoded
}

// FuzzDecode guards against a panic when decoding arbitrary bytes and applying the decoded messages.
func FuzzDecode(f *testing.F) {
	e := instanceOf("10.0.0.1:7400", "reader")
	for _, m := range []func() ([]byte, error){
		func() ([]byte, error) { return wire.Encode(&Announce{Instance: e, Seq: 1}) },
		func() ([]byte, error) { return wire.Encode(&Leave{ID: e.ID, Seq: 2}) },
		func() ([]byte, error) { return wire.Encode(&Subscription{Services: []string{"reader"}}) },
		func() ([]byte, error) {
			return wire.Encode(&Change{Service: "reader", Version: 1, Set: []snap.Endpoint{e}, Removed: []string{"x"}})
		},
	} {
		body, err := m()
		assert.NilError(f, err)
		f.Add(body)
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		r, v := NewRegistry(), NewViews()
		r.Join(epoch, "10.0.0.1:7400", "az1", 1)
		if m, err := wire.Decode[Announce](body); err == nil {
			_ = r.Announce(epoch, "10.0.0.1:7400", m)
		}
		if m, err := wire.Decode[Subscription](body); err == nil {
			r.Subscribe("10.0.0.1:7400", m)
			r.Changes(1000)
		}
		if m, err := wire.Decode[Leave](body); err == nil {
			r.Leave(epoch, "10.0.0.1:7400", m)
		}
		if m, err := wire.Decode[Change](body); err == nil {
			v.Apply(m)
		}
		_, _ = wire.Decode[Heartbeat](body)
		_, _ = wire.Decode[Lease](body)
		_, _ = wire.Decode[snap.Endpoint](body)
	})
}

// Guards against a new leader that computes views while it holds them back: 184 daemons that announced their
// instances kept it busy for more than a second, in which others waited for their tokens.
func TestHeldViewsAreNotComputed(t *testing.T) {
	const daemons = 184
	r := NewRegistry()
	name := func(i int) string { return fmt.Sprintf("10.0.%d.%d:7300", i/100, i%100) }
	subscription := &Subscription{Services: []string{"reader", "kudos"}}
	for i := range daemons {
		r.Join(epoch, name(i), "az1", 1)
		r.Hold(name(i), true)
		r.Subscribe(name(i), subscription)
		endpoint := snap.Endpoint{ID: name(i) + "/1", Service: "reader", Daemon: name(i), Address: "127.0.0.1:1", Zone: "az1", Slots: 10, Incarnation: uint64(i + 1)}
		assert.NilError(t, r.Announce(epoch, name(i), &Announce{Instance: endpoint, Seq: 1}))
		changes, more := r.Changes(1000)
		assert.Equal(t, len(changes), 0)
		assert.Assert(t, !more)
	}
	for i := range daemons {
		r.Hold(name(i), false)
		r.Subscribe(name(i), subscription)
	}
	changes, more := r.Changes(2 * daemons)
	assert.Equal(t, len(changes), 2*daemons)
	assert.Assert(t, !more)
	for _, each := range changes {
		assert.Equal(t, each.Change.Base, uint64(0))
		if each.Change.Service == "reader" {
			assert.Equal(t, len(each.Change.Set), MaxView)
		}
	}
}
