package cross

import (
	"maps"
	"time"
)

const (
	// shortAnswer is the size in bytes up to which an answer crosses zones as easily as one without a body: with the heads
	// of both messages it fits into one packet.
	shortAnswer = 1 << 10

	// safeTargetShare is the share of the time left within which the response at home has to be predicted for the request
	// to stay there. Run times vary and reports are old.
	safeTargetShare = 0.5

	// maxExtraGain bounds the gain for an answer of any size; it is longer than any deadline that callers have.
	maxExtraGain = time.Hour

	// sizeWeight is the weight of one answer in the average size of its route.
	sizeWeight = 0.1

	// maxRoutes bounds the routes whose answers are averaged, for each service. The route that got no answer for the
	// longest time makes room for a new one.
	maxRoutes = 512
)

type (
	// Answer is what is known about the response to a request before its server is chosen.
	Answer struct {
		Size   int           // expected bytes of the body, zero if unknown
		Left   time.Duration // until the caller wants the response: the target latency or the deadline, whichever is sooner
		AtHome time.Duration // predicted time to the response of the best server at home, with its penalties
	}

	// Sizes is the average size of the answers of each route. It is not safe for concurrent use.
	Sizes struct {
		routes  map[string]routeSize
		answers uint64 // number of recorded answers
	}

	routeSize struct {
		mean float64
		last uint64 // value of answers at the latest one
	}
)

// ExtraGain returns the gain in predicted time that a server in another zone must offer in addition to that for a short
// answer. It grows with the size so that each byte has the same price. It is zero where the response at home would not be
// safe within the time left: such a request leaves as before.
func (a *Answer) ExtraGain(short time.Duration) time.Duration {
	if a.Size <= shortAnswer || float64(a.AtHome) > safeTargetShare*float64(a.Left) {
		return 0
	}
	gain := float64(short) * float64(a.Size-shortAnswer) / shortAnswer
	return time.Duration(min(gain, float64(maxExtraGain)))
}

// Record adds the size in bytes of an answer.
func (s *Sizes) Record(route string, size int) {
	if s.routes == nil {
		s.routes = make(map[string]routeSize)
	}
	entry, known := s.routes[route]
	if !known && len(s.routes) >= maxRoutes {
		s.evict()
	}
	s.answers++
	entry.last = s.answers
	if entry.mean += sizeWeight * (float64(size) - entry.mean); !known {
		entry.mean = float64(size)
	}
	s.routes[route] = entry
}

// Expected returns the average size in bytes of the answers of a route, zero if it is not known.
func (s *Sizes) Expected(route string) int { return int(s.routes[route].mean) }

// Clone returns a copy.
func (s *Sizes) Clone() Sizes { return Sizes{routes: maps.Clone(s.routes), answers: s.answers} }

// evict removes the route that got no answer for the longest time.
func (s *Sizes) evict() {
	oldest, last := "", s.answers+1
	for route, entry := range s.routes {
		if entry.last < last {
			oldest, last = route, entry.last
		}
	}
	delete(s.routes, oldest)
}
