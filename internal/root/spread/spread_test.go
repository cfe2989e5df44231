package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testSeeds = 3

// average returns the mean of the results of the seeds.
func average(r rule, c condition, seeds uint64) result {
	var sum result
	for seed := range seeds {
		got := simulate(r, c, seed+1)
		sum.deviation += got.deviation / float64(seeds)
		sum.level99 += got.level99 / float64(seeds)
		sum.meanWait += got.meanWait / float64(seeds)
		sum.wait99 += got.wait99 / float64(seeds)
		sum.meanTime += got.meanTime / float64(seeds)
		sum.avoidable += got.avoidable / float64(seeds)
		sum.far += got.far / float64(seeds)
	}
	return sum
}

func usual(daemons int, reportAge time.Duration, load float64, zones int) condition {
	return condition{daemons: daemons, reportAge: reportAge, load: load, zones: zones, slots: usualSlots, run: usualRun}
}

// Guards against servers that are overloaded in turn, because many daemons choose the one that looked best in an
// old report.
func TestStaleReportsSpreadLoad(t *testing.T) {
	for _, c := range []condition{
		usual(100, 200*time.Millisecond, 0.5, 1), usual(100, 200*time.Millisecond, 0.8, 1),
		usual(30, 700*time.Millisecond, 0.8, 1), usual(100, 700*time.Millisecond, 0.95, 1),
		usual(30, onResponse, 0.8, 1), usual(100, onResponse, 0.5, 1),
	} {
		before, got := average(previous{}, c, testSeeds), average(chosen{}, c, testSeeds)
		assert.Assert(t, got.deviation < before.deviation, "%+v: deviation %.2f, was %.2f", c, got.deviation, before.deviation)
		assert.Assert(t, got.meanWait < before.meanWait, "%+v: wait %.1f ms, was %.1f ms", c, got.meanWait, before.meanWait)
		assert.Assert(t, got.wait99 < before.wait99, "%+v: 99th percentile %.1f ms, was %.1f ms", c, got.wait99, before.wait99)
	}
}

// Guards against a random choice that costs waits while reports are fresh.
func TestFreshReportsAreUsed(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 0.95} {
		for _, daemons := range []int{10, 100} {
			c := usual(daemons, 0, load, 1)
			before, got := average(previous{}, c, testSeeds), average(chosen{}, c, testSeeds)
			assert.Assert(t, got.meanWait <= 1.05*before.meanWait, "%+v: wait %.1f ms, was %.1f ms", c, got.meanWait, before.meanWait)
		}
	}
}

// Guards against more traffic between availability zones than before while there is room in each zone.
func TestTrafficBetweenZonesDoesNotGrow(t *testing.T) {
	for _, age := range []time.Duration{0, 200 * time.Millisecond, onResponse} {
		for _, load := range []float64{0.3, 0.5, 0.8} {
			c := usual(30, age, load, 3)
			before, got := average(previous{}, c, testSeeds), average(chosen{}, c, testSeeds)
			assert.Assert(t, got.far <= before.far, "%+v: share %.3f, was %.3f", c, got.far, before.far)
		}
	}
}

func count(candidates []Candidate) []int {
	random, counts := rand.New(rand.NewPCG(1, 1)), make([]int, len(candidates))
	for range 10_000 {
		choice, _ := Choose(random, candidates)
		counts[choice.Index]++
	}
	return counts
}

// Guards against random choices of a server that is leaving, unreached, failing or in another availability zone,
// however many requests of others are expected.
func TestMuchWorseServersAreNotChosen(t *testing.T) {
	ms := time.Millisecond
	near := []Candidate{
		{Near: true, Cost: 100 * ms, Base: 80 * ms, Slope: 10 * ms, Others: 1000},
		{Near: true, Cost: 110 * ms, Base: 90 * ms, Slope: 10 * ms, Others: 1000},
		{Near: true, Cost: time.Minute, Base: time.Minute, Slope: 10 * ms},
		{Near: true, Cost: 300 * ms, Base: 300 * ms, Slope: 10 * ms},
		{Cost: 101 * ms, Base: 70 * ms, Slope: 10 * ms},
	}
	counts := count(near)
	assert.Assert(t, counts[0] > 4000 && counts[1] > 4000 && counts[0]+counts[1] == 10_000, "%v", counts)
	far := []Candidate{
		{Near: true, Cost: 100 * ms, Base: 50 * ms, Slope: 10 * ms, Others: 100},
		{Cost: 90 * ms, Base: 90 * ms, Slope: 10 * ms, Others: 100},
		{Cost: 100 * ms, Base: 90 * ms, Slope: 10 * ms, Others: 100},
	}
	assert.DeepEqual(t, count(far), []int{0, 10_000, 0})
}

// Guards against a choice that ignores the capacity of servers, and against an index without candidates.
func TestChoiceByCapacity(t *testing.T) {
	ms := time.Millisecond
	counts := count([]Candidate{
		{Near: true, Cost: 100 * ms, Base: 50 * ms, Slope: 10 * ms, Others: 20},
		{Near: true, Cost: 100 * ms, Base: 50 * ms, Slope: 30 * ms, Others: 20},
	})
	assert.Assert(t, counts[0] > 7300 && counts[0] < 7700, "%v", counts)
	_, ok := Choose(rand.New(rand.NewPCG(1, 1)), nil)
	assert.Assert(t, !ok)
}

// Guards against a server that counts as idle as soon as its report is old, and against one that never does.
func TestExpect(t *testing.T) {
	load := Load{Occupancy: 20, Arrivals: 100, Stay: 100 * time.Millisecond}
	assert.DeepEqual(t, load.Expect(), Estimate{Known: 20})
	load.Age = 700 * time.Millisecond
	late := load.Expect()
	assert.Assert(t, late.Known < 1 && late.Others > 9 && late.Others <= 10, "%+v", late)
	load.Age = 5 * time.Second
	idle := load.Expect()
	assert.Assert(t, idle.Known+idle.Others < 0.1, "%+v", idle)
	load.Sent, load.InFlight = 4, 3
	own := load.Expect()
	assert.Assert(t, own.Known >= 3 && own.Others == 0, "%+v", own)
}

func BenchmarkChoose(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{4, 30} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			candidates := make([]Candidate, n)
			for i := range candidates {
				base := time.Duration(50+i*7%40) * time.Millisecond
				candidates[i] = Candidate{Near: i%3 == 0, Cost: base, Base: base, Slope: 5 * time.Millisecond, Others: 2}
			}
			b.ReportAllocs()
			for b.Loop() {
				Choose(random, candidates)
			}
		})
	}
}

// BenchmarkRules compares the rules in the simulation; run it with -benchtime 1x.
func BenchmarkRules(b *testing.B) {
	compared := []rule{previous{}, betterOf{2}, betterOf{3}, byFreeSlots{}, damped{}, subset{6}, chosen{}, perfect{}}
	for _, load := range []float64{0.5, 0.8, 0.95} {
		for _, age := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, 700 * time.Millisecond, onResponse} {
			for _, daemons := range []int{10, 30, 100, 300} {
				benchmarkRules(b, compared, usual(daemons, age, load, 1))
			}
		}
		benchmarkRules(b, []rule{previous{}, betterOf{2}, chosen{}, perfect{}}, condition{daemons: 30, reportAge: onResponse, load: load, zones: 1, slots: 4, run: 300 * time.Millisecond})
		benchmarkRules(b, []rule{previous{}, betterOf{2}, chosen{}, perfect{}}, condition{daemons: 30, reportAge: onResponse, load: load, zones: 1, slots: 4, run: 15 * time.Millisecond})
		benchmarkRules(b, []rule{previous{}, betterOf{2}, chosen{}, perfect{}}, condition{daemons: 30, reportAge: onResponse, load: load, zones: 1, slots: 32, run: 100 * time.Millisecond})
	}
	for _, load := range []float64{0.3, 0.5, 0.8} {
		benchmarkRules(b, []rule{previous{}, chosen{}, perfect{}}, usual(30, onResponse, load, 3))
	}
}

func benchmarkRules(b *testing.B, compared []rule, c condition) {
	for _, r := range compared {
		name := fmt.Sprintf("load=%.2f/age=%s/daemons=%d/slots=%d/run=%s/zones=%d/%T%v", c.load, c.reportAge, c.daemons, c.slots, c.run, c.zones, r, r)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				got := average(r, c, testSeeds)
				b.ReportMetric(got.deviation, "deviation")
				b.ReportMetric(got.level99, "level-p99")
				b.ReportMetric(got.meanWait, "ms-wait")
				b.ReportMetric(got.wait99, "ms-wait-p99")
				b.ReportMetric(got.meanTime, "ms-time")
				b.ReportMetric(100*got.avoidable, "%avoidable")
				b.ReportMetric(100*got.far, "%far")
			}
		})
	}
}

// Guards against a server with the lowest expected cost that is left out, because another one costs far less without
// the requests that others are expected to have sent there.
func TestCheapestTakesPart(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	candidates := []Candidate{
		{Near: true, Cost: 260 * time.Millisecond, Base: 10 * time.Millisecond, Slope: 10 * time.Millisecond, Others: 20},
		{Near: true, Cost: 40 * time.Millisecond, Base: 40 * time.Millisecond, Slope: 10 * time.Millisecond},
	}
	picks := [2]int{}
	for range 1000 {
		choice, _ := Choose(random, candidates)
		picks[choice.Index]++
	}
	assert.Assert(t, picks[1] >= 400, "%v", picks)
}
