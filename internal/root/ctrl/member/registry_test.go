package member

import (
	"testing"
	"time"

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
