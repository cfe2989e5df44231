package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	benchDaemons  = 8800
	benchServices = 360
	// benchSubscriptions is the number of services that each daemon calls.
	benchSubscriptions = 8
)

func benchRegistry(b *testing.B) (*Registry, []string) {
	r, names := NewRegistry(), make([]string, benchDaemons)
	for i := range names {
		names[i] = announce(b, r, i, fmt.Sprintf("service-%d", i/6%benchServices))
	}
	for i, name := range names {
		subscription := &Subscription{}
		for k := range benchSubscriptions {
			subscription.Services = append(subscription.Services, fmt.Sprintf("service-%d", (i*7+k*41)%benchServices))
		}
		r.Subscribe(name, subscription)
	}
	return r, names
}

// BenchmarkHeartbeat measures one heartbeat and its lease, including the codec; the reported bytes are those of
// both bodies.
func BenchmarkHeartbeat(b *testing.B) {
	r, names := benchRegistry(b)
	now, size := epoch, 0
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Second / benchDaemons)
		body, _ := wire.Encode(&Heartbeat{Seq: uint64(90_000 + n), Revision: 14_000})
		heartbeat, _ := wire.Decode[Heartbeat](body)
		lease, _ := r.Heartbeat(now, names[n%benchDaemons], heartbeat)
		reply, _ := wire.Encode(&lease)
		size = len(body) + len(reply)
		r.Expire(now)
	}
	b.ReportMetric(float64(size), "B/heartbeat")
}

// BenchmarkFullViews measures the full views of all daemons after a change of the leader, and the memory of the
// registry.
func BenchmarkFullViews(b *testing.B) {
	var before, after runtime.MemStats
	size := 0
	for b.Loop() {
		b.StopTimer()
		runtime.GC()
		runtime.ReadMemStats(&before)
		r, _ := benchRegistry(b)
		b.StartTimer()
		updates, _ := r.Changes(benchDaemons * benchSubscriptions)
		b.StopTimer()
		body, _ := wire.Encode(&updates[0].Change)
		size, updates = len(body), nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(r)
		b.StartTimer()
	}
	b.ReportMetric(float64(size), "B/view")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchDaemons, "heap-B/daemon")
}

// BenchmarkRestart measures the announcement of a new incarnation and the changes of all views that hold the
// instance.
func BenchmarkRestart(b *testing.B) {
	r, names := benchRegistry(b)
	r.Changes(benchDaemons * benchSubscriptions)
	sent, size := 0, 0
	for n := 0; b.Loop(); n++ {
		e := instanceOf(names[n%benchDaemons], fmt.Sprintf("service-%d", n%benchDaemons/6%benchServices))
		e.Incarnation = uint64(n + 2)
		_ = r.Announce(epoch, names[n%benchDaemons], &Announce{Instance: e, Seq: uint64(n + 2)})
		updates, _ := r.Changes(benchDaemons * benchSubscriptions)
		sent += len(updates)
		if len(updates) > 0 {
			body, _ := wire.Encode(&updates[0].Change)
			size = len(body)
		}
	}
	b.ReportMetric(float64(sent)/float64(b.N), "changes/op")
	b.ReportMetric(float64(size), "B/change")
}

// BenchmarkZoneLoss measures the expiry of the leases of one availability zone, a sixth of the daemons, and all
// resulting changes.
func BenchmarkZoneLoss(b *testing.B) {
	sent := 0
	for b.Loop() {
		b.StopTimer()
		r, names := benchRegistry(b)
		r.Changes(benchDaemons * benchSubscriptions)
		for i, name := range names {
			if i%6 != 0 {
				r.Heartbeat(epoch.Add(2*time.Second), name, &Heartbeat{Seq: 1})
			}
		}
		b.StartTimer()
		r.Expire(epoch.Add(DaemonLease))
		updates, _ := r.Changes(benchDaemons * benchSubscriptions)
		sent = len(updates)
	}
	b.ReportMetric(float64(sent), "changes/op")
}
