package bench

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

type recordsCommand struct {
	Callers []int         `arg:"--callers" help:"numbers of callers [default: 1 16 64 256]"`
	Voters  int           `arg:"--voters" default:"3" help:"number of voters, each in its own process"`
	For     time.Duration `arg:"--for" default:"4s" help:"time for each row"`
}

// records measures once-only calls; each makes two committed entries, one before and one after the run.
func (b *bench) records(c *recordsCommand, report *Report) error {
	if len(c.Callers) == 0 {
		c.Callers = []int{1, 16, 64, 256}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	synced, err := b.syncTime()
	if err != nil {
		return err
	}
	control := b.voters(c.Voters)
	daemon := b.nodes("records", 1)[0]
	if err := writeRules(control[0].Rules, Scale{Services: 1, Accounts: 1}.text(1)); err != nil {
		return err
	}
	var voters []*host
	for _, node := range append(control, daemon) {
		h, err := b.startHost([]string{node.settings(controls(control))})
		if err != nil {
			return err
		}
		defer h.stop()
		voters = append(voters, h)
	}
	backend, err := startStandIn()
	if err != nil {
		return err
	}
	if err := backend.announce(ctx, daemon, service(0)); err != nil {
		return err
	}
	target := Target{Name: "once", Method: http.MethodPost, Address: daemon.Ingress(), Path: "/once/" + service(0) + "/1", Key: key(0), Once: true}
	if err := target.ready(readyTime); err != nil {
		return err
	}
	table := report.table(fmt.Sprintf("Once-only records with %d voters (two commits each)", c.Voters),
		"callers", "records/s", "failed", "p50", "p99", "voters' processor time per record", "log bytes per record and voter", "load")
	table.note("a write of 4 KiB with sync on this disk takes %s on average", synced)
	for _, callers := range c.Callers {
		load := Load{Targets: []Target{target}, Callers: callers, For: c.For}
		before, err := usages(voters)
		if err != nil {
			return err
		}
		grown := folderSize(control[1%len(control)].Folder)
		started := time.Now()
		got := load.run()[0]
		took := time.Since(started)
		grown = folderSize(control[1%len(control)].Folder) - grown
		after, err := usages(voters)
		if err != nil {
			return err
		}
		var spent time.Duration
		for i := range control {
			spent += after[i].Processor - before[i].Processor
		}
		calls := max(got.calls(), 1)
		table.row(callers, float64(calls)/took.Seconds(), got.Failures, got.quantile(50), got.quantile(99),
			spent/time.Duration(calls), grown/calls, loadAverage())
		if got.Failures > 0 {
			table.note("%d callers: %s", callers, got.Failure)
		}
	}
	return nil
}

// syncTime returns the time of a small write with sync, as a lower bound of a commit.
func (b *bench) syncTime() (time.Duration, error) {
	const rounds = 200
	file, err := os.Create(filepath.Join(b.folder, "sync"))
	if err != nil {
		return 0, fmt.Errorf("create file: %w", err)
	}
	defer func() { _ = file.Close() }()
	block := make([]byte, 4<<10)
	started := time.Now()
	for range rounds {
		if _, err = file.Write(block); err == nil {
			err = file.Sync()
		}
		if err != nil {
			return 0, fmt.Errorf("write and sync: %w", err)
		}
	}
	return time.Since(started) / rounds, nil
}

func folderSize(path string) int64 {
	var size int64
	_ = filepath.Walk(path, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			size += info.Size()
		}
		return nil
	})
	return size
}
