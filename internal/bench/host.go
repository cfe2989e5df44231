package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const inForceTimeout = 30 * time.Second

type (
	hostCommand struct {
		Profile string `arg:"--profile" placeholder:"FILE" help:"write a profile of processor time"`
	}

	// Request is a request to a host. If it has Settings, the host starts daemons; otherwise, if Revision is above
	// zero, the host waits until that revision is in effect. Then it reports its resource usage.
	Request struct {
		Settings []string
		Revision uint64
		Count    int  // number of daemons on which the revision must be in effect
		Collect  bool // run a garbage collection before reading the memory figures
	}

	// Usage is a host's response: the resource usage of its process.
	Usage struct {
		Error      string
		InForce    time.Time     // when the revision came into effect on the last daemon
		Processor  time.Duration // user and system time so far
		Heap       uint64        // bytes of live and not yet collected objects
		Stack      uint64        // bytes
		Resident   uint64        // bytes
		Peak       uint64        // highest resident bytes
		Goroutines int
	}

	// host is a child process that runs daemons, so that their processor time and memory are measured without
	// those of callers and backend servers.
	host struct {
		process   *exec.Cmd
		stdin     io.WriteCloser
		responses *json.Decoder
	}
)

// run handles requests until the parent process closes stdin.
func (c *hostCommand) run(stdin io.Reader, stdout io.Writer) error {
	if c.Profile != "" {
		file, err := os.Create(c.Profile)
		if err != nil {
			return fmt.Errorf("create profile: %w", err)
		}
		if err := pprof.StartCPUProfile(file); err != nil {
			return fmt.Errorf("start profile: %w", err)
		}
		defer pprof.StopCPUProfile()
	}
	requests, responses := json.NewDecoder(bufio.NewReader(stdin)), json.NewEncoder(stdout)
	var recorder *revisionRecorder
	for {
		request := &Request{}
		if err := requests.Decode(request); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("read request: %w", err)
		}
		var failure error
		usage := &Usage{}
		switch {
		case len(request.Settings) > 0:
			recorder, failure = startFleet(request.Settings)
		case request.Revision > 0:
			ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
			usage.InForce, failure = recorder.waitInForce(ctx, request.Revision, request.Count)
			cancel()
		}
		if failure != nil {
			usage.Error = failure.Error()
		}
		if request.Collect {
			debug.FreeOSMemory()
		}
		usage.readProcess()
		if err := responses.Encode(usage); err != nil {
			return fmt.Errorf("write response: %w", err)
		}
	}
}

// readProcess sets the processor time, memory and goroutines of this process.
func (u *Usage) readProcess() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	u.Heap, u.Stack, u.Goroutines = memory.HeapAlloc, memory.StackInuse, runtime.NumGoroutine()
	u.Processor, u.Resident, u.Peak = processorTime(), residentBytes(), peakResidentBytes()
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func residentBytes() uint64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize())
}

// peakResidentBytes returns the highest resident size of this process so far.
func peakResidentBytes() uint64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return uint64(usage.Maxrss) << 10
}

// startHost starts a child process with a daemon for each settings text.
func (b *bench) startHost(settings []string, args ...string) (*host, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find executable of this process: %w", err)
	}
	h := &host{process: exec.Command(program, append([]string{"host"}, args...)...)}
	h.process.Stderr = b.stderr
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if h.stdin, err = h.process.StdinPipe(); err != nil {
		return nil, fmt.Errorf("start host: %w", err)
	}
	out, err := h.process.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("start host: %w", err)
	}
	h.responses = json.NewDecoder(out)
	if err := h.process.Start(); err != nil {
		return nil, fmt.Errorf("start host: %w", err)
	}
	if _, err := h.query(Request{Settings: settings}); err != nil {
		h.kill()
		return nil, err
	}
	return h, nil
}

// query sends a request to the host and waits for its response.
func (h *host) query(request Request) (Usage, error) {
	var usage Usage
	if err := json.NewEncoder(h.stdin).Encode(&request); err != nil {
		return usage, fmt.Errorf("send request to host: %w", err)
	}
	if err := h.responses.Decode(&usage); err != nil {
		return usage, fmt.Errorf("read response of host: %w", err)
	}
	if usage.Error != "" {
		return usage, fmt.Errorf("host: %s", usage.Error)
	}
	return usage, nil
}

// waitInForce waits until the revision is in effect on count daemons of the host.
func (h *host) waitInForce(revision, count int) (Usage, error) {
	return h.query(Request{Revision: uint64(revision), Count: count})
}

// kill ends the host's process with SIGKILL, as in a crash.
func (h *host) kill() {
	_ = h.process.Process.Kill()
	_ = h.process.Wait()
}

// stop ends the host's process and waits for it, without draining its daemons.
func (h *host) stop() {
	_ = h.stdin.Close()
	_ = h.process.Wait()
}

// nodeSettings returns the settings texts of the nodes.
func nodeSettings(nodes []*Node, addresses map[string]string) []string {
	texts := make([]string, 0, len(nodes))
	for _, node := range nodes {
		texts = append(texts, node.settings(addresses))
	}
	return texts
}
