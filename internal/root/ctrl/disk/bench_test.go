package disk

import (
	"fmt"
	"testing"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"gotest.tools/v3/assert"
)

// openDefault opens a data folder on the file system of the machine with the default options.
func openDefault(b *testing.B, dir string) (*Disk, raft.RecoveredState) {
	d, err := Open(dir, Options{})
	assert.NilError(b, err)
	r, err := d.Load()
	assert.NilError(b, err)
	return d, r
}

// BenchmarkSave measures the rate at which entries of 256 bytes are appended, with one sync per batch.
func BenchmarkSave(b *testing.B) {
	for _, size := range []uint64{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			d, _ := openDefault(b, b.TempDir())
			index, data := uint64(0), make([]byte, 256)
			batch := raft.Batch{Entries: make([]raft.Entry, size)}
			for b.Loop() {
				for i := range batch.Entries {
					index++
					batch.Entries[i] = raft.Entry{Index: index, Term: 1, Data: data}
				}
				assert.NilError(b, save(d, batch))
			}
			b.ReportMetric(float64(index)/b.Elapsed().Seconds(), "entries/s")
			assert.NilError(b, d.Close())
		})
	}
}

// BenchmarkRestart measures the time from opening the data folder of a sole voter until it is the leader.
func BenchmarkRestart(b *testing.B) {
	for _, count := range []uint64{500, 4096} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			dir := b.TempDir()
			d, r := openDefault(b, dir)
			n := startSoleVoter(b, d, r)
			for i := range count {
				handleAll(b, n, d, raft.Propose{ID: i + 1, Data: make([]byte, 256)})
			}
			assert.NilError(b, d.Close())
			b.ResetTimer()
			for b.Loop() {
				d, r := openDefault(b, dir)
				n := startSoleVoter(b, d, r)
				assert.Assert(b, n.LeaseHeld(epoch) && n.Status().Applied >= count)
				assert.NilError(b, d.Close())
			}
		})
	}
}

// startSoleVoter starts the node of a group with one member.
func startSoleVoter(b *testing.B, d *Disk, r raft.RecoveredState) *raft.Node {
	n := raft.New(raft.Config{Name: "a", Peers: []string{"a"}, SnapshotEvery: 1 << 30}, r, epoch)
	handleAll(b, n, d, raft.Tick{})
	return n
}

// handleAll passes ev and all resulting events to n, and executes the writes on d.
func handleAll(b *testing.B, n *raft.Node, d *Disk, ev raft.Event) {
	events := []raft.Event{ev}
	for len(events) > 0 {
		for _, action := range n.Step(epoch, events[0]) {
			if p, ok := action.(raft.Persist); ok {
				assert.NilError(b, d.Save(p.Batch))
				events = append(events, raft.Persisted{Seq: p.Batch.Seq})
			}
		}
		events = events[1:]
	}
}

// BenchmarkStep measures one proposal from Propose to Apply on the leader, with all messages and events of the
// group but without disk writes.
func BenchmarkStep(b *testing.B) {
	for _, names := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		b.Run(fmt.Sprintf("voters=%d", len(names)), func(b *testing.B) {
			c := newCluster(b, 1, names...)
			c.requireRecovery(5e9)
			leader := c.leader()
			nodes := map[string]*raft.Node{}
			for _, m := range c.members {
				nodes[m.name] = m.node
			}
			type input struct {
				member string
				ev     raft.Event
			}
			applied, steps, id := 0, 0, uint64(1<<32)
			var queue []input
			now := c.clock(leader)
			for b.Loop() {
				id++
				queue = append(queue[:0], input{leader.name, raft.Propose{ID: id, Data: []byte("change")}})
				for i := 0; i < len(queue); i++ {
					steps++
					for _, action := range nodes[queue[i].member].Step(now, queue[i].ev) {
						switch a := action.(type) {
						case raft.Persist:
							queue = append(queue, input{queue[i].member, raft.Persisted{Seq: a.Batch.Seq}})
						case raft.Send:
							queue = append(queue, input{a.To, raft.MessageReceived{Message: a.Message}})
						case raft.Apply:
							if queue[i].member == leader.name {
								applied += len(a.Entries)
							}
						}
					}
				}
			}
			assert.Assert(b, applied >= b.N)
			b.ReportMetric(float64(steps)/float64(b.N), "steps/entry")
		})
	}
}
