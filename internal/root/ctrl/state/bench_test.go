package state

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

func fillRecords(m *Machine, records, body int) {
	for n := range records {
		scope := OnceScope{"pocket-reader", "POST /chapters/{id}", "0b9d2c8e-6d9a-4a52-9a60-" + strconv.Itoa(n)}
		attempt := Attempt{"10.1.2.3:7400", 1, uint64(n + 1)}
		at := wire.Stamp(time.Duration(n+1) * time.Second)
		m.Apply(uint64(2*n+1), &OnceBegin{Scope: scope, Attempt: attempt, RequestHash: hash("q"), At: at})
		m.Apply(uint64(2*n+2), &OnceFinish{
			Scope: scope, Attempt: attempt, Outcome: Answered, At: at,
			Answer: &Answer{Status: 201, Body: make([]byte, body)},
		})
	}
}

// BenchmarkOnce measures one OnceBegin and its OnceFinish with up to 86,400 records, which is one per second.
func BenchmarkOnce(b *testing.B) {
	b.ReportAllocs()
	fillRecords(New(validate), b.N, 200)
}

// BenchmarkSnapshot measures snapshots of 86,400 records with response bodies of 200 bytes.
func BenchmarkSnapshot(b *testing.B) {
	m := New(validate)
	fillRecords(m, 86_400, 200)
	body, err := m.Snapshot()
	assert.NilError(b, err)
	for name, run := range map[string]func(){
		"freeze":  func() { m.Freeze() },
		"encode":  func() { _, _ = m.Snapshot() },
		"restore": func() { _, _ = Restore(body, validate) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				run()
			}
			b.ReportMetric(float64(len(body))/86_400, "B/record")
		})
	}
}
