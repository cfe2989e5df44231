package place

import (
	"maps"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
	"github.com/buckthornpitch/buckthornpitch/internal/root/spread"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

// Assessment is what Choose knows of one server, and with which probability it would choose it.
type Assessment struct {
	Endpoint  snap.Endpoint
	Exclusion reach.Exclusion // nil for a candidate
	Tried     bool            // the request was sent there before

	Cost     Cost
	Estimate spread.Estimate
	Report   Report
	Age      time.Duration // of the report, zero if Reported is false
	Reported bool
	Sent     int  // requests of this daemon since the report
	InFlight int  // requests of this daemon
	Explored bool // due for a request that explores it
	Chance   float64
}

// Clone returns a copy for explanations, which has no source of random numbers: Choose must not be called.
func (b *Balancer) Clone() *Balancer {
	clone := &Balancer{version: b.version, sizes: b.sizes.Clone()}
	for _, s := range b.servers {
		copied := *s
		copied.runTimes = maps.Clone(s.runTimes)
		clone.servers = append(clone.servers, &copied)
	}
	return clone
}

// Explain returns what Choose would decide about the request, for each server in the order of the list. It uses the
// scratch space of the balancer, so that it is called on a clone.
func (b *Balancer) Explain(now time.Time, request Request) []Assessment {
	extraGain := b.collect(now, &request)
	distribution, _ := spread.Distribute(b.candidates)
	chances := make(map[*server]float64, len(b.eligible))
	for i, s := range b.eligible {
		b.addChances(now, &request, s, distribution.Chance(b.candidates, i), chances)
	}
	summary := b.summarizeRunTimes(request.Route)
	list := make([]Assessment, 0, len(b.servers))
	for _, s := range b.servers {
		assessment := Assessment{
			Endpoint: s.endpoint, Exclusion: request.Reach.Exclude(&s.endpoint), Tried: request.tried(s),
			Report: s.report, Reported: !s.reportedAt.IsZero(),
			Sent: s.sentSinceReport, InFlight: s.inFlight, Chance: chances[s],
			Explored: request.mayExplore() && s.explorable(now, &request),
		}
		s.assess(now, &request, summary, &assessment)
		if s.endpoint.Zone != request.Zone {
			assessment.Cost.LongAnswer = extraGain
		}
		if assessment.Reported {
			assessment.Age = now.Sub(s.reportedAt)
		}
		list = append(list, assessment)
	}
	return list
}

// addChances adds the chances of the servers that a request gets to when best was chosen with the given chance: explore
// may replace it.
func (b *Balancer) addChances(now time.Time, request *Request, best *server, chance float64, chances map[*server]float64) {
	if request.mayExplore() {
		for _, s := range b.servers {
			if s != best && s.explorable(now, request) {
				chances[s] += chance / exploreOneIn
				chance -= chance / exploreOneIn
			}
		}
	}
	chances[best] += chance
}
