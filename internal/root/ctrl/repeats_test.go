package ctrl

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type (
	// operators send changes to random control instances while leaders come and go, and send them again unchanged.
	operators struct {
		*fleet
		random  *rand.Rand
		drafts  []*sentDraft
		pending []*pendingCall
		newest  uint64 // largest number that was acknowledged
	}

	sentDraft struct {
		Draft
		accepted bool
	}

	// pendingCall is a call without a result: of a draft, or a read if that is nil.
	pendingCall struct {
		draft     *sentDraft
		repeat    bool // the draft had been accepted when it was sent
		submitted chan SubmitResult
		read      chan ReadResult
		newest    uint64 // when it was sent
	}
)

// anyControl returns a random control instance, which may be isolated.
func (o *operators) anyControl() *Loop { return o.loops[fmt.Sprintf("c%d", 1+o.random.IntN(5))] }

func (o *operators) submit(d *sentDraft) {
	call := &pendingCall{draft: d, repeat: d.accepted, submitted: make(chan SubmitResult, 1)}
	o.anyControl().handle(o.clock.Now(), draftSubmitted{draft: d.Draft, reply: call.submitted})
	o.pending = append(o.pending, call)
}

// act does what one of the operators or the network may do next.
func (o *operators) act() {
	switch o.random.IntN(12) {
	case 0, 1:
		base := o.newest
		if o.random.IntN(4) == 0 && len(o.drafts) > 0 {
			base = o.drafts[o.random.IntN(len(o.drafts))].Number // another operator's, which may never be accepted
		}
		number := base + 1 + uint64(o.random.IntN(3))
		d := &sentDraft{Draft: draft(number, base, fmt.Sprintf("# change %d", len(o.drafts)))}
		o.drafts = append(o.drafts, d)
		o.submit(d)
	case 2, 3, 4:
		if len(o.drafts) > 0 {
			o.submit(o.drafts[o.random.IntN(len(o.drafts))])
		}
	case 5:
		call := &pendingCall{read: make(chan ReadResult, 1), newest: o.newest}
		o.anyControl().handle(o.clock.Now(), configReadRequested{reply: call.read})
		o.pending = append(o.pending, call)
	case 6:
		o.isolated[o.anyControl().cfg.PeerAddress] = true
	case 7:
		if leader := o.leader(); leader != "" {
			o.isolated[leader] = true
		}
	case 8, 9:
		clear(o.isolated)
	}
}

// collect checks the results that have arrived.
func (o *operators) collect() {
	o.t.Helper()
	waiting := o.pending[:0]
	for _, call := range o.pending {
		select {
		case result := <-call.submitted:
			o.check(call, result)
		case result := <-call.read:
			if text, ok := result.(ReadText); ok {
				assert.Assert(o.t, text.Number >= call.newest, "read %d, acknowledged %d before", text.Number, call.newest)
			}
		default:
			waiting = append(waiting, call)
		}
	}
	o.pending = waiting
}

// check records an acceptance. A draft may be refused before it is accepted, because its base is not in effect yet, but not
// after it.
func (o *operators) check(call *pendingCall, result SubmitResult) {
	o.t.Helper()
	switch result := result.(type) {
	case SubmitAccepted:
		call.draft.accepted = true
		o.newest = max(o.newest, call.draft.Number)
	case SubmitRefused:
		assert.Assert(o.t, !call.repeat, "revision %d on %d was accepted: %s", call.draft.Number, call.draft.Base, result.Detail)
	}
}

// Guards against a change that is acknowledged and refused when it is sent again, or the other way round, against one that
// is acknowledged and not read later, and against a call without a result, while leaders are cut off and return.
func TestRepeatedChangesKeepTheirAnswer(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			o := &operators{fleet: newDynamicFleet(t, 5), random: rand.New(rand.NewPCG(seed, 47))}
			for range 400 {
				o.act()
				if o.random.IntN(3) > 0 {
					o.step(time.Duration(o.random.IntN(200)) * time.Millisecond)
				}
				o.collect()
			}
			clear(o.isolated)
			o.waitUntil("results of all calls", func() bool {
				o.collect()
				return len(o.pending) == 0
			})
			o.runFor(3 * time.Second) // a leader that was cut off steps down
			o.waitUntil("a leader", func() bool { return o.leader() != "" })
			for _, d := range o.drafts {
				if d.accepted {
					assert.DeepEqual(t, o.fleet.submit(o.leader(), d.Draft), SubmitResult(SubmitAccepted{Number: d.Number}))
				}
			}
			text, ok := o.read(o.leader()).(ReadText)
			assert.Assert(t, ok && text.Number >= o.newest, "%v", text.Number)
			for _, d := range o.drafts {
				assert.Assert(t, !d.accepted || d.Number != text.Number || bytes.Equal(d.Text, text.Text))
			}
		})
	}
}
