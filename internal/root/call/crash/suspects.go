package crash

import (
	"sync"
	"time"
)

const (
	crashWindow        = 10 * time.Minute // crashes further apart are not counted together
	crashLimit         = 3                // crashes of different incarnations that cause a quarantine
	quarantineDuration = 10 * time.Minute
	resendLimit        = 2                      // the daemon itself does not retry a request that is a suspect in this many crashes
	resendPause        = 300 * time.Millisecond // time for a crash report to reach the leader and for a quarantine to reach all daemons
	maxSuspects        = 4_096                  // bounds the memory of a daemon; the oldest suspect is dropped
	maxCollected       = 65_536                 // bounds the memory of the leader; the oldest fingerprint is dropped
	maxPerReport       = 1_024                  // more than the connections of any backend server at present
)

type (
	// Suspects tracks, on one daemon, which requests are in flight in its backend server and which were
	// in flight when a backend server crashed. It is safe for concurrent use.
	Suspects struct {
		mu       sync.Mutex
		inFlight map[uint64]map[string]int // incarnation, fingerprint, number of requests
		crashes  crashCounts
	}

	// crashCounts counts the crashes of different incarnations in which a fingerprint was in flight.
	crashCounts struct {
		limit   int
		entries map[string]*crashEntry
	}

	crashEntry struct {
		last    time.Time
		crashes map[uint64]time.Time // incarnation and time of its crash
	}
)

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{inFlight: map[uint64]map[string]int{}, crashes: newCrashCounts(maxSuspects)}
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

// End counts a request that ended without a crash of its backend server. It reports true when a complete
// response clears a suspect of another incarnation's crash, which has to be reported to the leader.
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
	if !complete || s.crashes.count(now, fingerprint) == 0 {
		return false
	}
	if _, crashed := s.crashes.entries[fingerprint].crashes[incarnation]; crashed {
		return false
	}
	delete(s.crashes.entries, fingerprint)
	return true
}

// Died ends an incarnation and returns the distinct fingerprints that were in flight in it, to be
// reported to the leader. Later calls of End for the incarnation have no effect on them.
func (s *Suspects) Died(now time.Time, incarnation uint64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fingerprints []string
	for fingerprint := range s.inFlight[incarnation] {
		if len(fingerprints) == maxPerReport {
			break
		}
		fingerprints = append(fingerprints, fingerprint)
		s.crashes.add(now, fingerprint, incarnation)
	}
	delete(s.inFlight, incarnation)
	return fingerprints
}

// AddReported records a crash that another daemon reported for a request that this daemon sent to it.
func (s *Suspects) AddReported(now time.Time, incarnation uint64, fingerprint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.add(now, fingerprint, incarnation)
}

// ResendAfter returns the delay after which the daemon itself may retry the request, or false if it may
// not. Without the limit, the retries of one request could crash as many instances as cause a quarantine;
// without the delay, they could crash more before the quarantine arrives. The caller checks for a quarantine
// after the delay.
func (s *Suspects) ResendAfter(now time.Time, fingerprint string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch count := s.crashes.count(now, fingerprint); {
	case count == 0:
		return 0, true
	case count < resendLimit:
		return resendPause, true
	}
	return 0, false
}

func newCrashCounts(limit int) crashCounts {
	return crashCounts{limit: limit, entries: map[string]*crashEntry{}}
}

// add records a crash and returns the number of crashes within the window.
func (c *crashCounts) add(now time.Time, fingerprint string, incarnation uint64) int {
	e := c.entries[fingerprint]
	if e == nil {
		if len(c.entries) >= c.limit {
			c.evict(now)
		}
		e = &crashEntry{crashes: map[uint64]time.Time{}}
		c.entries[fingerprint] = e
	}
	if _, recorded := e.crashes[incarnation]; !recorded {
		e.crashes[incarnation] = now
	}
	e.last = now
	return c.count(now, fingerprint)
}

// count returns the number of crashes within the window and removes older ones.
func (c *crashCounts) count(now time.Time, fingerprint string) int {
	e := c.entries[fingerprint]
	if e == nil {
		return 0
	}
	for incarnation, at := range e.crashes {
		if now.Sub(at) > crashWindow {
			delete(e.crashes, incarnation)
		}
	}
	if len(e.crashes) == 0 {
		delete(c.entries, fingerprint)
		return 0
	}
	return len(e.crashes)
}

// evict removes the entries outside the window, or the oldest one if there are none.
func (c *crashCounts) evict(now time.Time) {
	oldest := ""
	for fingerprint, e := range c.entries {
		switch {
		case now.Sub(e.last) > crashWindow:
			delete(c.entries, fingerprint)
		case oldest == "" || e.last.Before(c.entries[oldest].last):
			oldest = fingerprint
		}
	}
	if len(c.entries) >= c.limit {
		delete(c.entries, oldest)
	}
}
