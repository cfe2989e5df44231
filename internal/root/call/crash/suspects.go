package crash

import (
	"sync"
	"time"
)

const (
	crashWindow  = 10 * time.Minute // crashes further apart are not counted together
	crashLimit   = 3                // crashes of different incarnations that make a quarantine
	quarantine   = 10 * time.Minute
	resendLimit  = 2                      // a suspect in this many crashes is not resent by the daemon itself
	resendPause  = 300 * time.Millisecond // a crash report reaches the leader and a quarantine all daemons
	maxSuspects  = 4_096                  // bounds the memory of a daemon; the oldest suspect is dropped
	maxDocketed  = 65_536
	maxPerReport = 1_024 // above the connections of any backend server of today
)

type (
	// Suspects tracks, on one daemon, which requests are in flight in its backend server and which were
	// in flight when a backend server died.
	Suspects struct {
		mu       sync.Mutex
		inFlight map[uint64]map[string]int // incarnation, fingerprint, number of requests
		known    ledger
	}

	// ledger counts the crashes of different incarnations in which a fingerprint was in flight.
	ledger struct {
		limit   int
		entries map[string]*entry
	}

	entry struct {
		last    time.Time
		crashes map[uint64]time.Time // incarnation and time of its crash
	}
)

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{inFlight: map[uint64]map[string]int{}, known: newLedger(maxSuspects)}
}

// Begin counts a request that is about to be sent to the given incarnation.
func (s *Suspects) Begin(incarnation uint64, fingerprint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := s.inFlight[incarnation]
	if requests == nil {
		requests = map[string]int{}
		s.inFlight[incarnation] = requests
	}
	requests[fingerprint]++
}

// End counts a request that ended without its backend server dying. It reports true when a complete
// response clears a suspect of another incarnation's crash, which the leader has to hear.
func (s *Suspects) End(now time.Time, incarnation uint64, fingerprint string, complete bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if requests := s.inFlight[incarnation]; requests[fingerprint] > 1 {
		requests[fingerprint]--
	} else if requests != nil {
		delete(requests, fingerprint)
		if len(requests) == 0 {
			delete(s.inFlight, incarnation)
		}
	}
	if !complete || s.known.count(now, fingerprint) == 0 {
		return false
	}
	if _, same := s.known.entries[fingerprint].crashes[incarnation]; same {
		return false
	}
	delete(s.known.entries, fingerprint)
	return true
}

// Died ends an incarnation and returns the distinct fingerprints that were in flight in it, to be
// reported to the leader; End calls for the incarnation that come later have no effect on them.
func (s *Suspects) Died(now time.Time, incarnation uint64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fingerprints []string
	for fingerprint := range s.inFlight[incarnation] {
		if len(fingerprints) == maxPerReport {
			break
		}
		fingerprints = append(fingerprints, fingerprint)
		s.known.add(now, fingerprint, incarnation)
	}
	delete(s.inFlight, incarnation)
	return fingerprints
}

// Learn notes a crash that another daemon reported for a request sent from here.
func (s *Suspects) AddReported(now time.Time, incarnation uint64, fingerprint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.add(now, fingerprint, incarnation)
}

// ResendAfter returns the pause before the daemon itself may send the request again, or false if it may
// not. Without the bound, the retries of one request could crash as many instances as make a quarantine;
// without the pause, they could crash more before the quarantine arrives, which the caller checks again
// after the pause.
func (s *Suspects) ResendAfter(now time.Time, fingerprint string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch count := s.known.count(now, fingerprint); {
	case count == 0:
		return 0, true
	case count < resendLimit:
		return resendPause, true
	}
	return 0, false
}

func newLedger(limit int) ledger { return ledger{limit: limit, entries: map[string]*entry{}} }

// add notes a crash and returns the number of crashes within the window.
func (l *ledger) add(now time.Time, fingerprint string, incarnation uint64) int {
	e := l.entries[fingerprint]
	if e == nil {
		if len(l.entries) >= l.limit {
			l.shrink(now)
		}
		e = &entry{crashes: map[uint64]time.Time{}}
		l.entries[fingerprint] = e
	}
	if _, known := e.crashes[incarnation]; !known {
		e.crashes[incarnation] = now
	}
	e.last = now
	return l.count(now, fingerprint)
}

func (l *ledger) count(now time.Time, fingerprint string) int {
	e := l.entries[fingerprint]
	if e == nil {
		return 0
	}
	for incarnation, at := range e.crashes {
		if now.Sub(at) > crashWindow {
			delete(e.crashes, incarnation)
		}
	}
	if len(e.crashes) == 0 {
		delete(l.entries, fingerprint)
		return 0
	}
	return len(e.crashes)
}

// shrink drops the entries outside the window, or else the oldest one.
func (l *ledger) shrink(now time.Time) {
	oldest := ""
	for fingerprint, e := range l.entries {
		switch {
		case now.Sub(e.last) > crashWindow:
			delete(l.entries, fingerprint)
		case oldest == "" || e.last.Before(l.entries[oldest].last):
			oldest = fingerprint
		}
	}
	if len(l.entries) >= l.limit {
		delete(l.entries, oldest)
	}
}
