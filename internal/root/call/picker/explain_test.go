package picker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/reach"
	"github.com/buckthornpitch/buckthornpitch/internal/root/warmup"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

// Guards against an explanation whose chances differ from what Pick does, whose parts do not add up, or that changes
// statistics: with local instances preferred, with slow, overloaded and ejected ones, and without any.
func TestExplainAgreesWithPick(t *testing.T) {
	const draws = 20000
	now := start.Add(100 * time.Millisecond)
	for name, change := range map[string]func(p *Picker){
		"local preferred": func(*Picker) {},
		"local slow": func(p *Picker) {
			for _, in := range p.instances {
				if in.endpoint.Zone == "a" {
					in.latency *= 5
				}
			}
		},
		"local full": func(p *Picker) {
			for _, in := range p.instances {
				in.load, in.loadAt = 1, now
			}
		},
		"local ejected": func(p *Picker) {
			p.instances[0].ejectedUntil, p.instances[3].drainingUntil = now.Add(time.Second), now.Add(time.Second)
			p.instances[6].cold, p.instances[6].coldAt = warmup.Report{Rate: 1, For: time.Second, Wait: 500 * time.Millisecond}, now
		},
		"all leaving": func(p *Picker) {
			for _, in := range p.instances {
				in.endpoint.Leaving = true
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			endpoints := fleet(8)
			endpoints[3].Started = wire.StampOf(start.Add(-2 * time.Second))
			p := newPicker("a", endpoints)
			countPicks(p, start, 200, success)
			for range 3 {
				_, ok := p.Pick(start, Request{})
				assert.Assert(t, ok)
			}
			change(p)
			request := Request{Reach: reach.Policy{Evacuated: map[string]snap.Evacuation{"c": {Zone: "c"}}}}
			before := textOf(p)
			list := p.Clone().Explain(now, request)
			assert.Equal(t, textOf(p), before)

			random, counts := rand.New(rand.NewPCG(5, 6)), map[string]int{}
			for range draws {
				drawn := p.Clone()
				drawn.random = random
				if endpoint, ok := drawn.Pick(now, request); ok {
					counts[endpoint.ID]++
				}
			}
			for i, a := range list {
				observed := float64(counts[a.Endpoint.ID]) / draws
				tolerance := 4 * math.Sqrt(a.Chance*(1-a.Chance)/draws) // four standard deviations, none for a chance of 0 or 1
				assert.Assert(t, math.Abs(a.Chance-observed) <= tolerance+1e-9, "%s: chance %g, observed %g", a.Endpoint.ID, a.Chance, observed)
				difference := a.Cost.Total() - time.Duration(p.instances[i].cost(now, p.defaultLatency()))
				assert.Assert(t, difference.Abs() < 10, "%s: parts differ by %s", a.Endpoint.ID, difference)
				assert.Equal(t, a.Exclusion != nil, a.Endpoint.Zone == "c")
			}
		})
	}
}

func textOf(p *Picker) string {
	text := ""
	for _, in := range p.instances {
		text += fmt.Sprintf("%+v;", *in)
	}
	return text
}
