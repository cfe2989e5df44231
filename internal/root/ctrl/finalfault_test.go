package ctrl

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/disk"
	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
)

// readBackTime is the time after which a configuration must be read back after a loss of power of all control instances.
const readBackTime = 3 * time.Second

// coreFleet is a fleet of control instances with data folders.
type coreFleet struct {
	*fleet
	folders map[string]string
	starts  uint64
}

// newCoreFleet starts control instances, of which c1, c2 and c3 are the seeds, and waits until all of them vote.
func newCoreFleet(t *testing.T, size int) *coreFleet {
	t.Helper()
	f := &coreFleet{folders: map[string]string{}, fleet: &fleet{
		t: t, clock: clock.NewFake(time.Unix(1_000_000, 0)), loops: map[string]*Loop{},
		streams: map[string]*streamPair{}, isolated: map[string]bool{}, dropLeaderMessages: map[string]bool{},
	}}
	for i := range size {
		f.wipe(fmt.Sprintf("c%d", i+1))
	}
	for name := range f.folders {
		f.start(name, true)
	}
	f.waitUntil("all of them vote", func() bool { return len(f.voters()) == size })
	return f
}

func (f *coreFleet) wipe(name string) { f.folders[name] = f.t.TempDir() }

func (f *coreFleet) start(name string, bootstrap bool) {
	f.t.Helper()
	storage, err := disk.Open(f.folders[name], disk.Options{})
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = storage.Close() })
	options := f.dynamicOptions(name, bootstrap)
	f.starts++
	options.Boot = f.starts
	f.loops[name], err = New(options, f.clock, &link.Dialer{}, storage, zerolog.Nop())
	assert.NilError(f.t, err)
	delete(f.streams, name)
	f.isolated[name] = false
}

// losePower ends all instances at once. Writes that are not synced are lost.
func (f *coreFleet) losePower() {
	for name := range f.folders {
		_ = f.loops[name].voter.writer.storage.Close()
		f.isolated[name] = true
	}
}

// Guards against an acknowledged configuration that is not read back after two of seven control instances have lost their
// disks while all others lost power, whichever two they are and whichever instance starts first.
func TestConfigurationIsReadBackAfterAFinalFault(t *testing.T) {
	names := []string{"c1", "c2", "c3", "c4", "c5", "c6", "c7"}
	for i, first := range names {
		for _, second := range names[i+1:] {
			f := newCoreFleet(t, len(names))
			assert.DeepEqual(t, f.submit(f.leader(), draft(3, 0, "")), SubmitResult(SubmitAccepted{Number: 3}))
			f.losePower()
			f.wipe(first)
			f.wipe(second)
			for k := range names {
				f.start(names[(k+i)%len(names)], false)
				f.runFor(100 * time.Millisecond)
			}
			took := f.waitUntil("a leader", func() bool { return f.leader() != "" })
			result, ok := f.read(f.leader()).(ReadText)
			assert.Assert(t, ok && result.Number == 3 && took < readBackTime, "%s and %s lost: %v, %d after %v", first, second, ok, result.Number, took)
			f.waitUntil("all of them vote", func() bool { return len(f.voters()) == len(names) })
		}
	}
}
