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

// measureRecords measures run=once calls. Each of them commits two log entries, one before and one after the
// execution.
func (b *bench) measureRecords(c *recordsCommand, report *Report) error {
	if len(c.Callers) == 0 {
		c.Callers = []int{1, 16, 64, 256}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	syncTime, err := b.measureSyncTime()
	if err != nil {
		return err
	}
	controlNodes := b.newVoters(c.Voters)
	daemon := b.newNodes("records", 1)[0]
	if err := writeRules(controlNodes[0].RulesFile, RulesSize{Services: 1, Accounts: 1}.rulesText(1)); err != nil {
		return err
	}
	var hosts []*host
	for _, node := range append(controlNodes, daemon) {
		h, err := b.startHost([]string{node.settings(controlAddresses(controlNodes))})
		if err != nil {
			return err
		}
		defer h.stop()
		hosts = append(hosts, h)
	}
	backend, err := startStubBackend()
	if err != nil {
		return err
	}
	if err := backend.announce(ctx, daemon, serviceName(0)); err != nil {
		return err
	}
	target := Target{Name: "once", Method: http.MethodPost, Address: daemon.IngressAddress(), Path: "/once/" + serviceName(0) + "/1", Key: accountKey(0), Once: true}
	if err := target.waitReady(readyTimeout); err != nil {
		return err
	}
	table := report.addTable(fmt.Sprintf("Once-only records with %d voters (two commits each)", c.Voters),
		"callers", "records/s", "failed", "p50", "p99", "voters' processor time per record", "log bytes per record and voter", "load")
	table.addNote("a write of 4 KiB with sync on this disk takes %s on average", syncTime)
	for _, callers := range c.Callers {
		load := Load{Targets: []Target{target}, Callers: callers, Duration: c.For}
		before, err := queryUsages(hosts)
		if err != nil {
			return err
		}
		logBytes := folderSize(controlNodes[1%len(controlNodes)].DataFolder)
		started := time.Now()
		outcome := load.run()[0]
		elapsed := time.Since(started)
		logBytes = folderSize(controlNodes[1%len(controlNodes)].DataFolder) - logBytes
		after, err := queryUsages(hosts)
		if err != nil {
			return err
		}
		var voterTime time.Duration
		for i := range controlNodes {
			voterTime += after[i].Processor - before[i].Processor
		}
		calls := max(outcome.calls(), 1)
		table.addRow(callers, float64(calls)/elapsed.Seconds(), outcome.Failures, outcome.quantile(50), outcome.quantile(99),
			voterTime/time.Duration(calls), logBytes/calls, loadAverage())
		if outcome.Failures > 0 {
			table.addNote("%d callers: %s", callers, outcome.SampleError)
		}
	}
	return nil
}

// measureSyncTime returns the mean time of a 4 KiB write with sync, which is a lower bound for a commit.
func (b *bench) measureSyncTime() (time.Duration, error) {
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
