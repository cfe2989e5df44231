package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// replacedThenWiped replaces a control instance as planned: the new one starts with an empty disk at a new address and
// has the catch-up time, then the old one is stopped and does not come back. After that one other control instance
// loses its disk right after a configuration was acknowledged, which is the loss that the deployment bears. The rule
// is broken if the acknowledged configuration cannot be read any more, at any control instance, when the recovery
// time has passed since all are back.
func replacedThenWiped(rec *record, trouble bool) (bool, error) {
	const (
		catchUp   = 4 * time.Second
		recovery  = 15 * time.Second
		readFor   = 10 * time.Second // after the recovery time
		settled   = 3 * time.Second  // the stable window
		afterStop = settled + 500*time.Millisecond
		down      = time.Second
	)
	f, err := newFleet(rec, "284MiB", "shop", "shop")
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return false, err
	}
	for i, m := range f.daemons {
		v, err := startServer(f, m, fmt.Sprintf("i-%d", i+1), 20)
		if err != nil {
			return false, err
		}
		defer v.end()
	}
	if err := f.putConfig(configuration(1, 2, false, "shop")); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeatInterval)
	served := func(phase string) (ok, all int) {
		for n := range 50 {
			q := request{id: fmt.Sprintf("%s-%d", phase, n), method: "POST", host: "shop.example", path: "/shelf/x", deadline: 2 * time.Second}
			a := send(f.address(f.daemons[0], f.ports.outbound), q)
			rec.logf("client: %s: status %d %v", q.id, a.status, a.err)
			if all++; a.status == http.StatusOK {
				ok++
			}
			time.Sleep(20 * time.Millisecond)
		}
		return ok, all
	}
	before, _ := served("before")

	// The new control instance first.
	old := f.controls[0]
	successor := f.newMachine("core-4", 20, old.zone, "", true)
	if err := f.writeSettings(successor, false); err != nil {
		return false, err
	}
	f.controls = append(f.controls, successor)
	if err := f.start(successor); err != nil {
		return false, err
	}
	time.Sleep(catchUp + settled + time.Second)
	exited := f.signal(old, syscall.SIGTERM)
	select {
	case <-exited:
		rec.logf("%s has ended and is gone for good", old.name)
	case <-time.After(6 * time.Second):
		<-f.signal(old, syscall.SIGKILL)
	}
	f.controls = f.controls[1:]
	defer func() { f.controls = append(f.controls, old) }()
	if err := os.RemoveAll(old.data); err != nil {
		return false, err
	}
	time.Sleep(afterStop)
	second := strings.Replace(configuration(2, 2, false, "shop"), `"base_version":0`, `"base_version":1`, 1)
	if err := f.putConfig(second); err != nil {
		return false, fmt.Errorf("second configuration: %w", err)
	}
	if trouble {
		lost := f.controls[0]
		<-f.signal(lost, syscall.SIGKILL)
		if err := os.RemoveAll(lost.data); err != nil {
			return false, err
		}
		rec.logf("%s has lost its disk", lost.name)
		time.Sleep(down)
		if err := f.writeSettings(lost, false); err != nil {
			return false, err
		}
		if err := f.start(lost); err != nil {
			return false, err
		}
	}
	time.Sleep(recovery)
	read := 0
	for end := time.Now().Add(readFor); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, c := range f.controls {
			status, text := f.call(f.address(c, f.ports.calls), "config.get", "", "")
			rec.logf("operator reads at %s: status %d, version 2: %t", c.name, status, strings.Contains(text, `"version":2`))
			if status == http.StatusOK && strings.Contains(text, `"version":2`) {
				read++
			}
		}
	}
	after, all := served("after")
	rec.logf("reads that returned the acknowledged configuration: %d; requests served: %d of %d before, %d of %d after", read, before, all, after, all)
	if 2*before < all {
		return false, fmt.Errorf("requests failed before the disruption")
	}
	return read == 0, nil
}
