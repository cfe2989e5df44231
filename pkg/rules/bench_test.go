package rules

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// plannedRules returns a rules file with the given numbers of rules and 360 services, the design size.
func plannedRules(routes, accounts, keys int) []byte {
	var text strings.Builder
	text.WriteString("revision 1 # requested by Ana Diaz\n")
	for i := range 360 {
		fmt.Fprintf(&text, "service service-%d slots=110 connections=750 retry-share=10%% # requested by Ana Diaz\n", i)
	}
	for i := range accounts {
		fmt.Fprintf(&text, "account account-%d rate=200/s burst=400 # requested by Lou Roy: contract %d\n", i, i)
	}
	for i := range keys {
		fmt.Fprintf(&text, "key account-%d %s # requested by Lou Roy\n", i%accounts, HashKey(keyText(i)))
	}
	for i := range routes {
		fmt.Fprintf(&text, "route GET /area-%d/{id}/part-%d/{item} service=service-%d access=keyed run=idempotent importance=normal deadline=2s # requested by Ana Diaz\n", i%360, i/360, i%360)
	}
	return []byte(text.String())
}

func keyText(i int) string { return fmt.Sprintf("bt_%043d", i) }

func BenchmarkParse10000Rules(b *testing.B) {
	text := plannedRules(4000, 1640, 3999)
	assert.Equal(b, strings.Count(string(text), "\n"), 10000)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse("rules", text); err != nil {
			b.Fatal(err)
		}
	}
}

func plannedSet(b *testing.B) *Set {
	b.Helper()
	set, err := Parse("rules", plannedRules(5000, 2000, 5000))
	assert.NilError(b, err)
	b.ReportAllocs()
	return set
}

func BenchmarkMatch(b *testing.B) {
	set := plannedSet(b)
	paths := make([]string, 5000)
	for i := range paths {
		paths[i] = fmt.Sprintf("/area-%d/17/part-%d/42", i%360, i/360)
	}
	i := 0
	for b.Loop() {
		if _, ok := set.Match("GET", paths[i%len(paths)]); !ok {
			b.Fatal(paths[i%len(paths)])
		}
		i++
	}
}

func BenchmarkMatchMiss(b *testing.B) {
	set := plannedSet(b)
	for b.Loop() {
		if _, ok := set.Match("GET", "/area-17/17/part-99/42"); ok {
			b.Fatal("matched")
		}
	}
}

func BenchmarkKeyFor(b *testing.B) {
	set := plannedSet(b)
	keys := make([]string, 5000)
	for i := range keys {
		keys[i] = keyText(i)
	}
	i := 0
	for b.Loop() {
		if _, ok := set.KeyFor(keys[i%len(keys)]); !ok {
			b.Fatal(keys[i%len(keys)])
		}
		i++
	}
}

func BenchmarkCompare(b *testing.B) {
	set := plannedSet(b)
	for b.Loop() {
		if !Compare(set, set).Empty() {
			b.Fatal("differs")
		}
	}
}

// BenchmarkMemory reports the heap memory that a set of the design size retains, per rule and in total.
func BenchmarkMemory(b *testing.B) {
	text := plannedRules(5000, 2000, 5000)
	count := strings.Count(string(text), "\n")
	for b.Loop() {
		before := heapInUse()
		set, err := Parse("rules", text)
		assert.NilError(b, err)
		used := heapInUse() - before
		b.ReportMetric(float64(used)/float64(count), "B/rule")
		b.ReportMetric(float64(used)/(1<<20), "MiB")
		runtime.KeepAlive(set)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against heap allocations on the path of every request: Match may allocate once, for path variables;
// KeyFor and a Match without a route must not allocate.
func TestAllocations(t *testing.T) {
	set := parseExample(t)
	assert.Equal(t, testing.AllocsPerRun(100, func() { set.Match("GET", "/works/17") }), 1.0)
	assert.Equal(t, testing.AllocsPerRun(100, func() { set.Match("GET", "/nothing") }), 0.0)
	assert.Equal(t, testing.AllocsPerRun(100, func() { set.KeyFor("secret") }), 0.0)
}
