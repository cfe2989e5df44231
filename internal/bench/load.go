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
	callTimeout     = 30 * time.Second
	histogramDigits = 3
)

type (
	// Target is one kind of call; Address is the address of a daemon or of a backend server.
	Target struct {
		Name    string
		Method  string
		Address string
		Path    string
		Key     string // sent as Buckthorn-Key; empty for none
		Once    bool   // send a new Idempotency-Key with each call
	}

	// Load is a number of callers that make calls for a given time.
	Load struct {
		Targets  []Target // called in turn by each caller
		Callers  int
		Rate     int // calls per second and target over all callers; 0 for calls without a pause
		Duration time.Duration
	}

	// Outcome is the result of the calls to one target.
	Outcome struct {
		Times       *hdrhistogram.Histogram // of successful calls, in nanoseconds
		Failures    int64
		SampleError string // error of one of the failed calls
	}

	// caller makes calls over one connection to each address; times, failures and lastErrors have one element for
	// each target.
	caller struct {
		client     *http.Client
		times      []*hdrhistogram.Histogram
		failures   []int64
		lastErrors []string
	}
)

// lastOnceKey is the number of the last Idempotency-Key of this process; every key is different.
var lastOnceKey atomic.Uint64

func newCaller(targets int) *caller {
	c := &caller{
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
			MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, DisableCompression: true,
		}},
		failures: make([]int64, targets), lastErrors: make([]string, targets),
	}
	for range targets {
		c.times = append(c.times, hdrhistogram.New(int64(time.Microsecond), int64(callTimeout), histogramDigits))
	}
	return c
}

// recordCall makes a call and records its time or error under the target's index.
func (c *caller) recordCall(i int, target *Target) {
	started := time.Now()
	err := c.send(target)
	if err != nil {
		c.failures[i]++
		c.lastErrors[i] = err.Error()
		return
	}
	_ = c.times[i].RecordValue(max(int64(time.Since(started)), int64(time.Microsecond)))
}

func (c *caller) send(target *Target) error {
	request, err := http.NewRequest(target.Method, "http://"+target.Address+target.Path, http.NoBody)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	if target.Key != "" {
		request.Header.Set("Buckthorn-Key", target.Key)
	}
	if target.Once {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("measured-%d", lastOnceKey.Add(1)))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	switch {
	case err != nil:
		return fmt.Errorf("read response: %w", err)
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d, reason %s", response.StatusCode, response.Header.Get("Buckthorn-Reason"))
	}
	return nil
}

// run makes calls for the duration of the load and returns one outcome for each target.
func (l *Load) run() []Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), l.Duration)
	defer cancel()
	callers := make([]*caller, l.Callers)
	var group sync.WaitGroup
	for n := range callers {
		callers[n] = newCaller(len(l.Targets))
		group.Go(func() { l.runCaller(ctx, callers[n], n) })
	}
	group.Wait()
	outcomes := make([]Outcome, len(l.Targets))
	for i := range outcomes {
		outcomes[i].Times = hdrhistogram.New(int64(time.Microsecond), int64(callTimeout), histogramDigits)
		for _, c := range callers {
			outcomes[i].Times.Merge(c.times[i])
			outcomes[i].Failures += c.failures[i]
			if c.lastErrors[i] != "" {
				outcomes[i].SampleError = c.lastErrors[i]
			}
			c.client.CloseIdleConnections()
		}
	}
	return outcomes
}

// runCaller calls the targets in turn, so that a slow period of the machine affects all of them equally.
func (l *Load) runCaller(ctx context.Context, c *caller, number int) {
	var interval time.Duration
	if l.Rate > 0 {
		interval = time.Second * time.Duration(l.Callers) / time.Duration(l.Rate)
		// The callers start at different times, so that their calls are spread evenly.
		if !sleep(ctx, interval*time.Duration(number)/time.Duration(l.Callers)) {
			return
		}
	}
	next := time.Now()
	for ctx.Err() == nil {
		for i := range l.Targets {
			c.recordCall(i, &l.Targets[i])
		}
		if interval == 0 {
			continue
		}
		next = next.Add(interval)
		if delay := time.Until(next); delay > 0 && !sleep(ctx, delay) {
			return
		}
	}
}

// quantile returns the given percentile of the times of successful calls.
func (o *Outcome) quantile(percent float64) time.Duration {
	return time.Duration(o.Times.ValueAtQuantile(percent))
}

// calls returns the number of successful calls.
func (o *Outcome) calls() int64 { return o.Times.TotalCount() }

// waitReady calls the target until a call succeeds, or returns the last error after the timeout.
func (t *Target) waitReady(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c := newCaller(1)
	defer c.client.CloseIdleConnections()
	for {
		err := c.send(t)
		if err == nil {
			return nil
		}
		if !sleep(ctx, announceRetryDelay) {
			return fmt.Errorf("%s is not ready after %s: %w", t.Name, timeout, err)
		}
	}
}
