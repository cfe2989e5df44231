package place

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

const (
	answerRun       = 50 * time.Millisecond
	answerSlots     = 4
	answerObjective = 1500 * time.Millisecond
)

// answerReplay is a service with one server at home and one in another zone.
type answerReplay struct {
	balancer *Balancer
	free     map[string][]time.Time // when each slot becomes free, by server
	running  []answerRequest
}

type answerRequest struct {
	server  string
	arrived time.Time
	end     time.Time
}

// replayAnswers replays seconds with the given numbers of requests at even intervals, in turn for ten seconds. It returns
// the number of requests that left the zone, and the longest time to a response.
func replayAnswers(perSecond [2]int, size int, stay bool) (left int, longest time.Duration) {
	r := &answerReplay{balancer: New(1), free: map[string][]time.Time{"home": make([]time.Time, answerSlots), "far": make([]time.Time, answerSlots)}}
	r.balancer.Update(t0, &snap.Endpoints{Version: 1, Instances: []snap.Endpoint{
		{ID: "home", Zone: "a", Slots: answerSlots, Incarnation: 1}, {ID: "far", Zone: "b", Slots: answerSlots, Incarnation: 2},
	}})
	for now := t0; now.Sub(t0) < 10*time.Second; now = now.Add(time.Second / time.Duration(perSecond[int(now.Sub(t0).Seconds())%2])) {
		r.endUntil(now, size)
		choice, _ := r.balancer.Choose(now, Request{
			Route: "r", Zone: "a", Objective: answerObjective, Remaining: 5 * time.Second, Urgent: true, LongStay: stay,
		})
		slot := r.nextSlot(choice.ID)
		start := now
		if slot.After(now) {
			start = *slot
		}
		*slot = start.Add(answerRun)
		r.running = append(r.running, answerRequest{server: choice.ID, arrived: now, end: *slot})
		longest = max(longest, slot.Sub(now))
		if choice.ID == "far" {
			left++
		}
	}
	return left, longest
}

// nextSlot returns the slot of a server that becomes free first.
func (r *answerReplay) nextSlot(id string) *time.Time {
	slots := r.free[id]
	first := 0
	for i := range slots {
		if slots[i].Before(slots[first]) {
			first = i
		}
	}
	return &slots[first]
}

// endUntil reports the responses until now.
func (r *answerReplay) endUntil(now time.Time, size int) {
	slices.SortFunc(r.running, func(a, b answerRequest) int { return a.end.Compare(b.end) })
	for len(r.running) > 0 && !r.running[0].end.After(now) {
		ended := r.running[0]
		r.running = r.running[1:]
		report := &Report{Slots: answerSlots, Run: answerRun, MeanRun: answerRun, Wait: max(r.nextSlot(ended.server).Sub(ended.end), 0)}
		for _, slot := range r.free[ended.server] {
			if slot.After(ended.end) {
				report.Running++
			}
		}
		r.balancer.Done(ended.end, ended.server, "r", report, Served{Size: size})
	}
}

// Replays a home server with a short queue in every other second, beside an idle one in another zone; each has room for 80
// requests per second. Guards against long answers that leave as easily as short ones, against a change for short ones, and
// against responses beyond the target latency.
func TestLongAnswersStay(t *testing.T) {
	const short, long = 400, 6000
	load := [2]int{90, 60}
	before, _ := replayAnswers(load, short, false)
	after, _ := replayAnswers(load, short, true)
	assert.Equal(t, after, before)
	assert.Assert(t, before > 0)
	before, _ = replayAnswers(load, long, false)
	after, longest := replayAnswers(load, long, true)
	t.Logf("%d of 750 long answers left the zone, %d before; longest %s", after, before, longest)
	assert.Assert(t, after < before*9/10, "%d, before %d", after, before)
	assert.Assert(t, longest < answerObjective, "longest %s", longest)
}

// Replays a home server that gets twice what it has room for. Guards against long answers that wait there beyond their
// target latency instead of leaving.
func TestLongAnswersLeaveBeforeTheTarget(t *testing.T) {
	before, _ := replayAnswers([2]int{150, 150}, 6000, false)
	after, longest := replayAnswers([2]int{150, 150}, 6000, true)
	t.Logf("%d of 1500 long answers left the zone, %d before; longest %s", after, before, longest)
	assert.Assert(t, after > 500)
	assert.Assert(t, longest < answerObjective, "longest %s", longest)
}

// Guards against a request with a long answer that waits at home although the predicted response misses its target latency
// or its deadline, has little of its time left, or the server there has just failed.
func TestLongAnswerLeaves(t *testing.T) {
	request := Request{Route: "r", Zone: "a", Objective: answerObjective, Remaining: 5 * time.Second, Urgent: true, LongStay: true}
	for name, test := range map[string]struct {
		wait   time.Duration
		change func(*Request)
		failed bool
		stays  bool
	}{
		"short queue":   {100 * time.Millisecond, func(*Request) {}, false, true},
		"rule off":      {100 * time.Millisecond, func(r *Request) { r.LongStay = false }, false, false},
		"beyond target": {2 * time.Second, func(*Request) {}, false, false},
		"late already":  {100 * time.Millisecond, func(r *Request) { r.Elapsed = time.Second }, false, false},
		"near deadline": {100 * time.Millisecond, func(r *Request) { r.Remaining = 400 * time.Millisecond }, false, false},
		"failed":        {100 * time.Millisecond, func(*Request) {}, true, false},
	} {
		b := newBalancer()
		for i, wait := range map[string]time.Duration{"s0": test.wait, "s1": 0, "s2": 0} {
			b.Done(t0, i, "r", &Report{Slots: 10, Run: answerRun, Wait: wait}, Served{Size: 6000})
		}
		if test.failed {
			b.Done(t0, "s0", "r", nil, Failed{})
		}
		r := request
		test.change(&r)
		choice, ok := b.Choose(t0, r)
		assert.Assert(t, ok)
		assert.Equal(t, choice.ID == "s0", test.stays, name)
	}
}
