package gate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a preview that differs from the decision, or that counts the request, over a random sequence of requests
// of several classes at a warm and at a cold server.
func TestPreviewIsTheDecision(t *testing.T) {
	for _, coldFor := range []time.Duration{0, 2 * time.Second} {
		g, random := coldController(4, coldFor), rand.New(rand.NewPCG(3, 4))
		var running []*Ticket
		kinds := map[string]int{}
		for i := range 1000 {
			now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
			next := ticket(fmt.Sprint("r", random.IntN(3)), random.IntN(3), now.Sub(t0))
			next.Nested = random.IntN(3) == 0
			before := snapshotOf(g, now)
			preview := g.Preview(now, next)
			assert.Equal(t, snapshotOf(g, now), before)
			decision := g.Offer(now, next)
			assert.DeepEqual(t, preview, decision)
			kinds[fmt.Sprintf("%T", decision)]++
			if _, admitted := decision.(Admitted); admitted {
				running = append(running, next)
			}
			started, _ := g.Dispatch(now)
			running = append(running, started...)
			for len(running) > 0 && (i%100 == 0 || random.IntN(3) == 0) { // at times until the queue is empty
				g.Done(now, running[0], Completed{})
				started, _ = g.Dispatch(now)
				running = append(running[1:], started...)
			}
		}
		assert.Assert(t, len(kinds) == 3, "%v", kinds)
	}
}

// snapshotOf returns the state that decisions depend on as text.
func snapshotOf(g *Controller, now time.Time) string {
	text := fmt.Sprintf("%d %d %d %d %d %v %v %v ", g.slots, g.running, g.waiting, len(g.classes), len(g.routes), g.accepted, g.runTime, *g.Cold)
	for _, c := range g.classes {
		text += fmt.Sprintf("%v %d %d %v %g;", c.nested, c.rank, len(c.queue), c.arrivals, c.deficit)
	}
	return text + fmt.Sprint(g.urgentArrivals(now, &class{rank: 9}))
}
