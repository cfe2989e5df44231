package member

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

func instance(daemon string) snap.Endpoint {
	return snap.Endpoint{ID: daemon + "/1", Daemon: daemon, Service: "s", Zone: "zone", Incarnation: 1}
}

// TestExpireIsDueWhenALeaseEnds guards against a deadline that a beat or a return leaves too late, so
// that instances of a silent daemon stay listed, and against daemons that are reported gone early.
func TestExpireIsDueWhenALeaseEnds(t *testing.T) {
	start := time.Unix(1, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	r := NewRegistry()
	r.Join(at(0), "a", "zone", 1)
	r.Announce(at(0), "a", &Announce{Seq: 1, Instance: instance("a")})
	r.Join(at(0), "b", "zone", 1)
	r.Announce(at(0), "b", &Announce{Seq: 1, Instance: instance("b")})
	r.Beat(at(2*time.Second), "b", &Beat{Seq: 1})

	expire := func(now time.Time) []Gone {
		due, ok := r.Deadline()
		assert.Assert(t, ok)
		if due.After(now) {
			return nil
		}
		return r.Expire(now)
	}
	assert.Equal(t, len(expire(at(DaemonLease))), 0)
	assert.Equal(t, len(r.View("s", "b", "zone")), 1, "the silent daemon keeps its instance")
	r.Beat(at(4*time.Second), "b", &Beat{Seq: 2})

	// The daemon returns while the deadline is that of its removal; its new lease ends earlier.
	r.Beat(at(4*time.Second), "a", &Beat{Seq: 1})
	assert.Equal(t, len(r.View("s", "b", "zone")), 2)
	r.Beat(at(6900*time.Millisecond), "b", &Beat{Seq: 3})
	assert.Equal(t, len(expire(at(7*time.Second))), 0)
	assert.Equal(t, len(r.View("s", "b", "zone")), 1, "the second lease did not end in time")

	for now := 7 * time.Second; now < 4*time.Second+GoneAfter; now += time.Second {
		r.Beat(at(now), "b", &Beat{Seq: uint64(now)})
		assert.Equal(t, len(expire(at(now))), 0)
	}
	assert.DeepEqual(t, expire(at(4*time.Second+GoneAfter)), []Gone{{Daemon: "a", Boot: 1}})
}

// TestReachedCountsLiveDaemons guards against a wait that ends early or hangs on a daemon without a lease.
func TestReachedCountsLiveDaemons(t *testing.T) {
	now := time.Unix(1, 0)
	r := NewRegistry()
	r.Join(now, "a", "zone", 1)
	r.Join(now, "b", "zone", 1)
	r.Beat(now, "a", &Beat{Seq: 1, Revision: 2})
	assert.Assert(t, !r.Reached(now, 2))
	later := now.Add(DaemonLease)
	r.Beat(later, "a", &Beat{Seq: 2, Revision: 2})
	assert.Assert(t, r.Reached(later, 2))
	assert.Assert(t, !r.Reached(later, 3))
}

// TestViewTakesHighestWeights guards against a choice of instances that differs from rendezvous hashing,
// because then one lost instance would change many others of a daemon's view.
func TestViewTakesHighestWeights(t *testing.T) {
	for _, zones := range []int{1, 2, 6} {
		for _, count := range []int{MaxView, MaxView + 1, 200} {
			r := NewRegistry()
			var own, other []snap.Endpoint
			for i := range count {
				made := snap.Endpoint{ID: fmt.Sprint("instance-", i), Service: "s", Zone: zoneName(i % zones)}
				r.list(made)
				if made.Zone == zoneName(0) {
					own = append(own, made)
				} else {
					other = append(other, made)
				}
			}
			highest := func(a, b snap.Endpoint) int {
				if xxhash.Sum64String("caller\x00"+a.ID) > xxhash.Sum64String("caller\x00"+b.ID) {
					return -1
				}
				return 1
			}
			slices.SortFunc(own, highest)
			slices.SortFunc(other, highest)
			fromOther := max(min(len(other), minOtherZones), MaxView-len(own))
			want := append(own[:MaxView-fromOther], other[:fromOther]...)
			got := r.View("s", "caller", zoneName(0))
			for _, list := range [][]snap.Endpoint{want, got} {
				slices.SortFunc(list, func(a, b snap.Endpoint) int { return strings.Compare(a.ID, b.ID) })
			}
			assert.DeepEqual(t, got, want)
		}
	}
}
