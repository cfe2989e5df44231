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

const hostTimeout = 30 * time.Second

type (
	hostCommand struct {
		Profile string `arg:"--profile" placeholder:"FILE" help:"write a profile of processor time"`
	}

	// Request asks a host; Settings starts daemons, and a Revision above zero waits until it is in force.
	Request struct {
		Settings []string
		Revision uint64
		Count    int  // daemons that must have the revision
		Collect  bool // collect garbage before memory is read
	}

	// Usage is a host's answer.
	Usage struct {
		Error      string
		InForce    time.Time     // at the last daemon
		Processor  time.Duration // user and system time so far
		Heap       uint64        // bytes of live and not yet collected objects
		Stack      uint64        // bytes
		Resident   uint64        // bytes
		Peak       uint64        // highest resident bytes
		Goroutines int
	}

	// host is a child process that runs daemons, so that their processor time and memory can be told
	// apart from those of callers and backend servers.
	host struct {
		process *exec.Cmd
		in      io.WriteCloser
		out     *json.Decoder
	}
)

// run serves requests until the parent closes the input.
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
	requests, answers := json.NewDecoder(bufio.NewReader(stdin)), json.NewEncoder(stdout)
	var events *eventLog
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
			events, failure = startFleet(request.Settings)
		case request.Revision > 0:
			ctx, cancel := context.WithTimeout(context.Background(), hostTimeout)
			usage.InForce, failure = events.wait(ctx, request.Revision, request.Count)
			cancel()
		}
		if failure != nil {
			usage.Error = failure.Error()
		}
		if request.Collect {
			debug.FreeOSMemory()
		}
		usage.read()
		if err := answers.Encode(usage); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
	}
}

func (u *Usage) read() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	u.Heap, u.Stack, u.Goroutines = memory.HeapAlloc, memory.StackInuse, runtime.NumGoroutine()
	u.Processor, u.Resident, u.Peak = processorTime(), resident(), peak()
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func resident() uint64 {
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

// peak returns the highest resident size of this process.
func peak() uint64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return uint64(usage.Maxrss) << 10
}

// startHost runs the daemons with these settings in a child process.
func (b *bench) startHost(settings []string, args ...string) (*host, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find own program: %w", err)
	}
	h := &host{process: exec.Command(program, append([]string{"host"}, args...)...)}
	h.process.Stderr = b.stderr
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if h.in, err = h.process.StdinPipe(); err != nil {
		return nil, fmt.Errorf("start host: %w", err)
	}
	out, err := h.process.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("start host: %w", err)
	}
	h.out = json.NewDecoder(out)
	if err := h.process.Start(); err != nil {
		return nil, fmt.Errorf("start host: %w", err)
	}
	if _, err := h.ask(Request{Settings: settings}); err != nil {
		h.kill()
		return nil, err
	}
	return h, nil
}

func (h *host) ask(request Request) (Usage, error) {
	var usage Usage
	if err := json.NewEncoder(h.in).Encode(&request); err != nil {
		return usage, fmt.Errorf("ask host: %w", err)
	}
	if err := h.out.Decode(&usage); err != nil {
		return usage, fmt.Errorf("ask host: %w", err)
	}
	if usage.Error != "" {
		return usage, fmt.Errorf("host: %s", usage.Error)
	}
	return usage, nil
}

// inForce waits until the revision is in force on count daemons of the host.
func (h *host) inForce(revision, count int) (Usage, error) {
	return h.ask(Request{Revision: uint64(revision), Count: count})
}

// kill ends the host as a crash would.
func (h *host) kill() {
	_ = h.process.Process.Kill()
	_ = h.process.Wait()
}

// stop ends the host and waits for it; its daemons are not drained.
func (h *host) stop() {
	_ = h.in.Close()
	_ = h.process.Wait()
}

// settingsOf returns the settings of all nodes.
func settingsOf(nodes []*Node, controls map[string]string) []string {
	texts := make([]string, 0, len(nodes))
	for _, node := range nodes {
		texts = append(texts, node.settings(controls))
	}
	return texts
}
