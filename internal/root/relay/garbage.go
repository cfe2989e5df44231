package relay

import (
	"runtime"
	"weak"

	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
)

// collectionMark becomes unreachable at once, so that its cleanup runs after the next collection. It has a pointer because
// the runtime may keep small objects without one alive together.
type collectionMark struct{ _ *byte }

// newMemory returns the budget for what a process with the given memory in bytes holds for its callers. The garbage
// collector reports to it.
func newMemory(memory int64) *budget.Memory {
	m := budget.NewMemory(budget.MemoryLimit(memory), runtime.GC)
	reportCollections(weak.Make(m))
	return m
}

// reportCollections tells the budget of each collection, as long as the budget is in use.
func reportCollections(to weak.Pointer[budget.Memory]) {
	runtime.AddCleanup(&collectionMark{}, func(to weak.Pointer[budget.Memory]) {
		if m := to.Value(); m != nil {
			m.Collected()
			reportCollections(to)
		}
	}, to)
}
