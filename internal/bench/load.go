package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestCall = 30 * time.Second
	digits      = 3
)

type (
	// Target is one kind of call: Address is that of a daemon or of a backend server.
	Target struct {
		Name    string
		Method  string
		Address string
		Path    string
		Key     string // presented as Buckthorn-Key, empty for none
		Once    bool   // send an Idempotency-Key that is new for each call
	}

	// Load is a bounded loop of callers.
	Load struct {
		Targets []Target // each caller calls them in turn
		Callers int
		Rate    int // calls per second and target over all callers; zero calls without a pause
		For     time.Duration
	}

	// Outcome is what the callers saw of one target.
	Outcome struct {
		Times    *hdrhistogram.Histogram // in nanoseconds, of successful calls
		Failures int64
		Failure  string // one of them
	}

	// caller is one connection to each target.
	caller struct {
		client *http.Client
		times  []*hdrhistogram.Histogram
		fails  []int64
		last   []string
	}
)

// onceKeys makes every Idempotency-Key of this process different.
var onceKeys atomic.Uint64

func newCaller(targets int) *caller {
	c := &caller{
		client: &http.Client{Timeout: longestCall, Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
			MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, DisableCompression: true,
		}},
		fails: make([]int64, targets), last: make([]string, targets),
	}
	for range targets {
		c.times = append(c.times, hdrhistogram.New(int64(time.Microsecond), int64(longestCall), digits))
	}
	return c
}

// call makes one call and notes its time under the target's index.
func (c *caller) call(i int, target *Target) {
	started := time.Now()
	err := c.send(target)
	if err != nil {
		c.fails[i]++
		c.last[i] = err.Error()
		return
	}
	_ = c.times[i].RecordValue(max(int64(time.Since(started)), int64(time.Microsecond)))
}

func (c *caller) send(target *Target) error {
	request, err := http.NewRequest(target.Method, "http://"+target.Address+target.Path, http.NoBody)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	if target.Key != "" {
		request.Header.Set("Buckthorn-Key", target.Key)
	}
	if target.Once {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("measured-%d", onceKeys.Add(1)))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	switch {
	case err != nil:
		return fmt.Errorf("read answer: %w", err)
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d, reason %s", response.StatusCode, response.Header.Get("Buckthorn-Reason"))
	}
	return nil
}

// run makes calls until the time is over and returns one outcome for each target.
func (l *Load) run() []Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), l.For)
	defer cancel()
	callers := make([]*caller, l.Callers)
	var group sync.WaitGroup
	for n := range callers {
		callers[n] = newCaller(len(l.Targets))
		group.Go(func() { l.loop(ctx, callers[n], n) })
	}
	group.Wait()
	out := make([]Outcome, len(l.Targets))
	for i := range out {
		out[i].Times = hdrhistogram.New(int64(time.Microsecond), int64(longestCall), digits)
		for _, c := range callers {
			out[i].Times.Merge(c.times[i])
			out[i].Failures += c.fails[i]
			if c.last[i] != "" {
				out[i].Failure = c.last[i]
			}
			c.client.CloseIdleConnections()
		}
	}
	return out
}

// loop calls the targets in turn, so that a disturbance of the machine meets all of them alike.
func (l *Load) loop(ctx context.Context, c *caller, number int) {
	var pause time.Duration
	if l.Rate > 0 {
		pause = time.Second * time.Duration(l.Callers) / time.Duration(l.Rate)
		// Callers start one after another, so that their calls are spread evenly.
		if !sleep(ctx, pause*time.Duration(number)/time.Duration(l.Callers)) {
			return
		}
	}
	next := time.Now()
	for ctx.Err() == nil {
		for i := range l.Targets {
			c.call(i, &l.Targets[i])
		}
		if pause == 0 {
			continue
		}
		next = next.Add(pause)
		if ahead := time.Until(next); ahead > 0 && !sleep(ctx, ahead) {
			return
		}
	}
}

// quantile returns the time that the given percentage of the calls did not exceed.
func (o *Outcome) quantile(percent float64) time.Duration {
	return time.Duration(o.Times.ValueAtQuantile(percent))
}

// calls returns the number of successful calls.
func (o *Outcome) calls() int64 { return o.Times.TotalCount() }

// ready calls the target until it succeeds.
func (t *Target) ready(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	c := newCaller(1)
	defer c.client.CloseIdleConnections()
	for {
		err := c.send(t)
		if err == nil {
			return nil
		}
		if !sleep(ctx, announceRetry) {
			return fmt.Errorf("%s is not ready after %s: %w", t.Name, limit, err)
		}
	}
}
