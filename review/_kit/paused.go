package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// pausedVoter pauses one control instance for some seconds while a planned replacement of another one is under way:
// the new instance has had the catch-up time, the old one still runs. After that the old one is stopped for good, all
// is calm for a while, and one control instance loses its disk, which is the loss that the deployment bears. The rule
// is broken if the acknowledged configuration cannot be read any more when the recovery time has passed.
func pausedVoter(rec *record, trouble bool) (bool, error) {
	const (
		catchUp   = 4 * time.Second
		settled   = 3 * time.Second
		pause     = 6 * time.Second
		calm      = 12 * time.Second
		recovery  = 15 * time.Second
		readFor   = 10 * time.Second
		down      = time.Second
		stopLimit = 6 * time.Second
	)
	f, err := newFleet(rec, "284MiB", "shop", "shop")
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.putConfig(configuration(1, 2, false, "shop")); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(settled)
	old, paused := f.controls[0], f.controls[1]
	successor := f.newMachine("core-4", 20, old.zone, "", true)
	if err := f.writeSettings(successor, false); err != nil {
		return false, err
	}
	f.controls = append(f.controls, successor)
	if err := f.start(successor); err != nil {
		return false, err
	}
	time.Sleep(catchUp + settled)
	if trouble {
		f.signal(paused, syscall.SIGSTOP)
		time.Sleep(pause)
		f.signal(paused, syscall.SIGCONT)
	} else {
		time.Sleep(pause)
	}
	time.Sleep(catchUp + settled)
	select {
	case <-f.signal(old, syscall.SIGTERM):
	case <-time.After(stopLimit):
		<-f.signal(old, syscall.SIGKILL)
	}
	rec.logf("%s has ended and is gone for good", old.name)
	f.controls = f.controls[1:]
	defer func() { f.controls = append(f.controls, old) }()
	time.Sleep(calm)
	second := strings.Replace(configuration(2, 2, false, "shop"), `"base_version":0`, `"base_version":1`, 1)
	if err := f.putConfig(second); err != nil {
		return false, fmt.Errorf("second configuration: %w", err)
	}
	lost := f.controls[1] // not the one that was paused
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
	rec.logf("reads that returned the acknowledged configuration: %d", read)
	return read == 0, nil
}
