package relay

import (
	"errors"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/local"
	"github.com/buckthornpitch/buckthornpitch/internal/root/relay/gate"
	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
)

// startCheck is the check of a request that has started, before it is written to a connection.
type startCheck struct {
	backend *LocalBackend
	process *serverProcess
	ticket  *gate.Ticket
}

// errNotConfirmed reports a started request that was not sent; it is offered to the admission controller again.
var errNotConfirmed = errors.New("server has turned cold or was replaced")

// recordCold records what a notice says about the cold state. This happens before the notice is passed to the
// control group, which may take long or fail; b.mu is held.
func (b *LocalBackend) recordCold(now time.Time, n Notice) {
	if isOutdated(n, b.coldNotice) {
		if n.StartUnixMilli == 0 {
			b.cold.ReportOutdated(now, n.ColdFor)
		}
		return
	}
	newProcess := n.Instance != b.coldNotice.Instance || n.StartUnixMilli != b.coldNotice.StartUnixMilli
	b.coldNotice = n
	b.updateCold(now)
	b.cold.Report(now, n.ColdFor, newProcess)
	b.applyCold(now)
}

func (c *startCheck) confirm(epoch int) error {
	return c.backend.confirm(c.process, c.ticket, epoch)
}

// confirm returns errNotConfirmed if a started request must not be sent on a connection that was opened in the given
// epoch. It takes no lock for a service without a cold rate, unless a restart is newly suspected.
func (b *LocalBackend) confirm(s *serverProcess, t *gate.Ticket, epoch int) error {
	if !b.coldLimited.Load() && int64(epoch) <= s.epoch.Load() {
		return nil
	}
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if int64(epoch) > s.epoch.Load() {
		s.epoch.Store(int64(epoch))
		b.suspectRestart(now, s)
	}
	if b.cold.Rate > 0 && b.current != s || !s.controller.Confirm(now, t) {
		return errNotConfirmed
	}
	return nil
}

// suspectRestart records that the server may have restarted, because it could not be reached or has closed all
// connections; b.mu is held.
func (b *LocalBackend) suspectRestart(now time.Time, s *serverProcess) {
	if b.current != s {
		return // a notice has reported the new process
	}
	b.cold.SuspectRestart(now)
	b.applyCold(now)
}

// updateCold applies the configuration and the end of an evacuation to the limiter; b.mu is held.
func (b *LocalBackend) updateCold(now time.Time) {
	b.cold = b.configuredCold(now)
	b.coldLimited.Store(b.cold.Rate > 0)
	b.logCold(now)
}

// configuredCold returns the limiter with the configuration and the end of an evacuation applied; b.mu is held.
func (b *LocalBackend) configuredCold(now time.Time) warmup.Limiter {
	snapshot, cold := b.Control.Snapshot(), b.cold
	cold.Rate, cold.Period = warmup.Limits(snapshot.Rules, b.serviceName())
	cold.Restore(now, snapshot.Restored[b.Zone])
	return cold
}

// applyCold starts what may start after a change of the cold state and sets the timer; b.mu is held.
func (b *LocalBackend) applyCold(now time.Time) {
	b.logCold(now)
	if b.current != nil {
		b.admitWaiting(now, b.current)
	}
}

// logCold logs and counts a change of the cold state; b.mu is held.
func (b *LocalBackend) logCold(now time.Time) {
	state := local.ColdState{
		Instance: b.coldNotice.Instance, Service: b.serviceName(), Rate: b.cold.Rate, For: b.cold.Remaining(now),
	}
	b.coldLog.Record(state, b.Control.Snapshot().Rules != nil, b.Meter, b.Log)
}

// countColdStart counts a request that did not start at once because the server is cold.
func (b *LocalBackend) countColdStart(cold bool, result string) {
	if cold {
		b.Meter.ColdStart(result)
	}
}

// serviceName returns the service of the server, empty if it is not known; b.mu is held.
func (b *LocalBackend) serviceName() string {
	switch {
	case b.expected.Service != "":
		return b.expected.Service
	case b.current != nil:
		return b.current.notice.Service
	}
	return b.coldNotice.Service
}
