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
	// benchWants is the number of services that each daemon calls.
	benchWants = 8
)

func benchRegistry(b *testing.B) (*Registry, []string) {
	r, names := NewRegistry(), make([]string, benchDaemons)
	for i := range names {
		names[i] = announce(b, r, i, fmt.Sprintf("service-%d", i/6%benchServices))
	}
	for i, name := range names {
		w := &Subscription{}
		for k := range benchWants {
			w.Services = append(w.Services, fmt.Sprintf("service-%d", (i*7+k*41)%benchServices))
		}
		r.Subscribe(name, w)
	}
	return r, names
}

// BenchmarkBeat measures one beat with its lease, including the codec; bytes are those of both bodies.
func BenchmarkBeat(b *testing.B) {
	r, names := benchRegistry(b)
	now, size := epoch, 0
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Second / benchDaemons)
		body, _ := wire.Encode(&Heartbeat{Seq: uint64(90_000 + n), Revision: 14_000})
		beat, _ := wire.Decode[Heartbeat](body)
		lease, _ := r.Heartbeat(now, names[n%benchDaemons], beat)
		answer, _ := wire.Encode(&lease)
		size = len(body) + len(answer)
		r.Expire(now)
	}
	b.ReportMetric(float64(size), "B/beat")
}

// BenchmarkFullViews measures all first views after a change of the leader, and the registry's memory.
func BenchmarkFullViews(b *testing.B) {
	var before, after runtime.MemStats
	size := 0
	for b.Loop() {
		b.StopTimer()
		runtime.GC()
		runtime.ReadMemStats(&before)
		r, _ := benchRegistry(b)
		b.StartTimer()
		sends, _ := r.Changes(benchDaemons * benchWants)
		b.StopTimer()
		body, _ := wire.Encode(&sends[0].Change)
		size, sends = len(body), nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(r)
		b.StartTimer()
	}
	b.ReportMetric(float64(size), "B/view")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchDaemons, "heap-B/daemon")
}

// BenchmarkRestart measures the new incarnation of one instance and the changes to all views that hold it.
func BenchmarkRestart(b *testing.B) {
	r, names := benchRegistry(b)
	r.Changes(benchDaemons * benchWants)
	sent, size := 0, 0
	for n := 0; b.Loop(); n++ {
		e := instanceOf(names[n%benchDaemons], fmt.Sprintf("service-%d", n%benchDaemons/6%benchServices))
		e.Incarnation = uint64(n + 2)
		_ = r.Announce(epoch, names[n%benchDaemons], &Announce{Instance: e, Seq: uint64(n + 2)})
		sends, _ := r.Changes(benchDaemons * benchWants)
		sent += len(sends)
		if len(sends) > 0 {
			body, _ := wire.Encode(&sends[0].Change)
			size = len(body)
		}
	}
	b.ReportMetric(float64(sent)/float64(b.N), "changes/op")
	b.ReportMetric(float64(size), "B/change")
}

// BenchmarkZoneLoss measures the end of the leases of a sixth of the daemons and all changes that follow.
func BenchmarkZoneLoss(b *testing.B) {
	sent := 0
	for b.Loop() {
		b.StopTimer()
		r, names := benchRegistry(b)
		r.Changes(benchDaemons * benchWants)
		for i, name := range names {
			if i%6 != 0 {
				r.Heartbeat(epoch.Add(2*time.Second), name, &Heartbeat{Seq: 1})
			}
		}
		b.StartTimer()
		r.Expire(epoch.Add(DaemonLease))
		sends, _ := r.Changes(benchDaemons * benchWants)
		sent = len(sends)
	}
	b.ReportMetric(float64(sent), "changes/op")
}
