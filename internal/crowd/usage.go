package crowd

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// sampleInterval is the time between two counts of descriptors.
const sampleInterval = 10 * time.Millisecond

// Usage is what a process uses of its machine.
type Usage struct {
	PeakMemory  int64 // largest resident memory in bytes
	Descriptors int   // open descriptors
}

// ReadUsage returns the usage of a process.
func ReadUsage(pid int) (Usage, error) {
	var u Usage
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, fmt.Errorf("read status: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		value, found := strings.CutPrefix(line, "VmHWM:")
		if !found {
			continue
		}
		kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		if err != nil {
			return u, fmt.Errorf("read VmHWM: %w", err)
		}
		u.PeakMemory = kib << 10
	}
	if u.PeakMemory == 0 {
		return u, fmt.Errorf("process %d has no VmHWM; it has ended", pid)
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return u, fmt.Errorf("list descriptors: %w", err)
	}
	u.Descriptors = len(entries)
	return u, nil
}

// WatchUsage reads the usage of a process until ctx ends, and returns the largest values.
func WatchUsage(ctx context.Context, pid int) (Usage, error) {
	var peak Usage
	for {
		u, err := ReadUsage(pid)
		if err != nil {
			return peak, err
		}
		peak.PeakMemory, peak.Descriptors = max(peak.PeakMemory, u.PeakMemory), max(peak.Descriptors, u.Descriptors)
		if ctx.Err() != nil {
			return peak, nil
		}
		pause(ctx, sampleInterval)
	}
}
