package share

import (
	"slices"

	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// Split divides the requests of a route among its parts in proportion to their weights. It is a smooth weighted
// round robin, which keeps the proportion over any sequence of requests.
type Split struct {
	credit []int
}

// Next returns the service of the next request.
func (s *Split) Next(parts []rules.WeightedService) string {
	if len(s.credit) != len(parts) {
		s.credit = make([]int, len(parts))
	}
	total, best := 0, -1
	for i, part := range parts {
		s.credit[i] += part.Weight
		total += part.Weight
		if part.Weight > 0 && (best < 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	s.credit[best] -= total
	return parts[best].Service
}

// Peek returns the service that Next would return, and leaves the split unchanged.
func (s *Split) Peek(parts []rules.WeightedService) string {
	next := Split{credit: slices.Clone(s.credit)}
	return next.Next(parts)
}

// Skip advances the split by n requests, so that daemons do not all start with the same part.
func (s *Split) Skip(parts []rules.WeightedService, n int) {
	for range n {
		s.Next(parts)
	}
}
