package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

const (
	designDaemons  = 8800
	designServices = 360
	designZones    = 6
	wantedServices = 10
)

func daemonName(i int) string { return fmt.Sprintf("10.%d.%d.%d:7402", i>>16, i>>8&255, i&255) }

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%designZones) }

func join(r *Registry, now time.Time, i, services int) {
	name := daemonName(i)
	service := fmt.Sprintf("service-%d", i/designZones%services)
	r.Join(now, name, zoneName(i), 1)
	r.Announce(now, name, &Announce{Seq: r.daemons[name].seq + 1, Instance: snap.Endpoint{
		ID: name + "/1", Daemon: name, Service: service, Zone: zoneName(i), Address: "127.0.0.1:9001",
		Incarnation: uint64(now.UnixNano()), Slots: 100, Connections: 700,
	}})
	want := &Want{}
	for n := range min(wantedServices, services) {
		want.Services = append(want.Services, fmt.Sprintf("service-%d", (i*7+n)%services))
	}
	r.Want(name, want)
}

// designRegistry holds the daemons of the design size with sent views.
func designRegistry(now time.Time, services int) *Registry {
	r := NewRegistry()
	for i := range designDaemons {
		join(r, now, i, services)
		r.Beat(now, daemonName(i), &Beat{Seq: 1, Revision: 1})
	}
	sendAll(r)
	return r
}

func sendAll(r *Registry) (messages, endpoints int) {
	for more := true; more; {
		var sends []Send
		sends, more = r.Changes(512)
		messages += len(sends)
		for i := range sends {
			endpoints += len(sends[i].Change.Set) + len(sends[i].Change.Removed)
		}
	}
	return messages, endpoints
}

// BenchmarkBeat measures what the leader's loop does for a beat at the design size.
func BenchmarkBeat(b *testing.B) {
	now := time.Unix(1, 0)
	r := designRegistry(now, designServices)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Second / (2 * designDaemons))
		r.Beat(now, daemonName(i%designDaemons), &Beat{Seq: uint64(i), Revision: 1})
		if due, ok := r.Deadline(); ok && !due.After(now) {
			r.Expire(now)
		}
		r.Deadline()
	}
}

// BenchmarkZoneReturns measures the views after all daemons of one availability zone have joined again.
func BenchmarkZoneReturns(b *testing.B) {
	for _, services := range []int{designServices, 40} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			now := time.Unix(1, 0)
			r := designRegistry(now, services)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				for i := 0; i < designDaemons; i += designZones {
					join(r, now, i, services)
				}
				messages, endpoints := sendAll(r)
				b.ReportMetric(float64(messages), "messages")
				b.ReportMetric(float64(endpoints), "endpoints")
			}
		})
	}
}

// BenchmarkOneRestart measures the views after one backend server has a new incarnation.
func BenchmarkOneRestart(b *testing.B) {
	for _, services := range []int{designServices, 40} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			now := time.Unix(1, 0)
			r := designRegistry(now, services)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Second)
				name := daemonName(i % designDaemons)
				for _, instance := range r.daemons[name].instances {
					instance.Incarnation++
					r.Announce(now, name, &Announce{Seq: r.daemons[name].seq + 1, Instance: instance})
				}
				messages, _ := sendAll(r)
				b.ReportMetric(float64(messages), "messages")
			}
		})
	}
}

// BenchmarkBehind measures the question whether a revision is in force everywhere.
func BenchmarkBehind(b *testing.B) {
	now := time.Unix(1, 0)
	r := designRegistry(now, designServices)
	b.ReportAllocs()
	for b.Loop() {
		r.Behind(now, 1)
	}
}
