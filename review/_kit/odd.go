package main

import (
	"fmt"
	"time"
)

// oddHeartbeat sends a control instance one heartbeat of another writer: its service is not one of the deployment.
// The rule is broken if a request runs whose X-Caller-Service is not the service of the machine where it began.
func oddHeartbeat(rec *record, trouble bool) (bool, error) {
	const (
		before = 3 * time.Second
		after  = 10 * time.Second
		pause  = 50 * time.Millisecond
	)
	f, err := newFleet(rec, "284MiB", "beta", "alpha", "alpha", "beta")
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return false, err
	}
	var servers []*server
	for i, m := range f.daemons {
		v, err := startServer(f, m, fmt.Sprintf("i-%s-%d", m.service, i+1), 20)
		if err != nil {
			return false, err
		}
		defer v.end()
		servers = append(servers, v)
	}
	if err := f.putConfig(configuration(1, 2, false, "alpha", "beta")); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeatInterval)
	origin := f.daemons[0] // beside a server of beta
	statuses := map[string]map[int]int{"before": {}, "after": {}}
	sendFor := func(phase string, length time.Duration) {
		for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
			for _, service := range []string{"alpha", "beta"} {
				q := request{id: fmt.Sprintf("%s-%s-%d", phase, service, n), method: "POST", host: service + ".example", path: "/shelf/x", deadline: 2 * time.Second}
				a := send(f.address(origin, f.ports.outbound), q)
				statuses[phase][a.status]++
				rec.logf("client at %s (%s): %s to %s: status %d %v", origin.name, origin.service, q.id, service, a.status, a.err)
			}
			time.Sleep(pause)
		}
	}
	sendFor("before", before)
	if trouble {
		body := fmt.Sprintf(`{"service":"gamma","address":%q,"zone":%q,"version":"v1","slots":20,"state":"ready","cold_remaining_s":0,"sequence":1,"born":%d}`,
			f.address(origin, f.ports.server), origin.zone, time.Now().UnixMilli())
		status, text := f.call(f.address(f.controls[0], f.ports.calls), "instances.heartbeat", "i-other", body)
		rec.logf("other writer to %s: heartbeat of i-other: %s; response %d %s", f.controls[0].name, body, status, text)
	}
	sendFor("after", after)
	wrong := 0
	for _, v := range servers {
		for _, r := range v.list() {
			if r.caller != origin.service {
				wrong++
				rec.logf("server %s (%s) ran %s with X-Caller-Service %q, it began beside a server of %q", v.id, v.machine.service, r.id, r.caller, origin.service)
			}
		}
		rec.logf("server %s beside %s ran %d requests", v.id, v.machine.name, len(v.list()))
	}
	rec.logf("statuses: %v; requests that ran with a wrong X-Caller-Service: %d", statuses, wrong)
	if len(statuses["before"]) != 1 || statuses["before"][200] == 0 {
		return false, fmt.Errorf("requests failed before the disruption: %v", statuses["before"])
	}
	return wrong > 0, nil
}
