package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/config"
	"github.com/buckthornpitch/buckthornpitch/internal/logs"
	"github.com/buckthornpitch/buckthornpitch/internal/root"
)

var inForceEvent = []byte(`"config-in-force"`)

// revisionRecorder receives the log events of a fleet and records when each revision came into effect on the
// daemons.
type revisionRecorder struct {
	mu        sync.Mutex
	counts    map[uint64]int       // daemons with the revision in effect, by revision
	lastTimes map[uint64]time.Time // when the last of them reported it
	changed   chan struct{}        // closed and replaced at each change
}

func newRevisionRecorder() *revisionRecorder {
	return &revisionRecorder{counts: map[uint64]int{}, lastTimes: map[uint64]time.Time{}, changed: make(chan struct{})}
}

// Write receives one log event as JSON. Events other than config-in-force are ignored.
func (r *revisionRecorder) Write(line []byte) (int, error) {
	if bytes.Contains(line, inForceEvent) {
		now := time.Now()
		var event struct {
			Revision uint64 `json:"revision"`
		}
		if err := json.Unmarshal(line, &event); err == nil {
			r.mu.Lock()
			r.counts[event.Revision]++
			r.lastTimes[event.Revision] = now
			close(r.changed)
			r.changed = make(chan struct{})
			r.mu.Unlock()
		}
	}
	return len(line), nil
}

// waitInForce waits until the revision is in effect on count daemons and returns the time of the last one.
func (r *revisionRecorder) waitInForce(ctx context.Context, revision uint64, count int) (time.Time, error) {
	for {
		r.mu.Lock()
		reached, last, changed := r.counts[revision], r.lastTimes[revision], r.changed
		r.mu.Unlock()
		if reached >= count {
			return last, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return last, fmt.Errorf("revision %d is in effect on %d of %d daemons: %w", revision, reached, count, ctx.Err())
		}
	}
}

// startFleet starts a daemon for each settings text; they run until this process ends.
func startFleet(settings []string) (*revisionRecorder, error) {
	recorder := newRevisionRecorder()
	log := zerolog.New(recorder).Level(zerolog.InfoLevel)
	klog.SetLogger(logs.NewKratosLogger(log))
	for i, text := range settings {
		parsed, err := config.Parse(fmt.Sprintf("daemon %d", i), []byte(text), nil)
		if err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		daemon, err := root.New(parsed, clock.Real{}, log)
		if err != nil {
			return nil, fmt.Errorf("start %s: %w", parsed.Name, err)
		}
		go func() { _ = daemon.Start(context.Background()) }()
	}
	return recorder, nil
}
