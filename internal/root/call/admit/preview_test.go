package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a preview that differs from the decision, or that changes the limiter or a waiting ticket, over a random
// sequence of requests at a server that is cold at first.
func TestPreviewIsTheDecision(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	l, random := NewLimiter(begin, 8), rand.New(rand.NewPCG(3, 4))
	l.ConfigureCold(begin, 20, time.Second, time.Time{})
	l.ReportCold(begin, time.Second, true)
	var tickets []*Ticket
	kinds := map[string]int{}
	for i := range 2000 {
		now := begin.Add(time.Duration(i) * 3 * time.Millisecond)
		newTicket := func() *Ticket {
			return &Ticket{Account: fmt.Sprint("a", i%3), Weight: 1, Route: "r", Importance: Importance(i % 3), HeldSlots: uint8(i % 7 / 6), Deadline: now.Add(time.Second)}
		}
		before := textOf(l, tickets)
		preview := l.Preview(now, newTicket(), 20, time.Second, time.Time{})
		assert.Equal(t, textOf(l, tickets), before)
		ticket := newTicket()
		decision := l.Offer(now, ticket)
		assert.Equal(t, decisionText(preview.Decision), decisionText(decision))
		kinds[fmt.Sprintf("%T", decision)]++
		if _, refused := decision.(Refused); !refused {
			tickets = append(tickets, ticket)
		}
		for len(tickets) > 0 && random.IntN(2) == 0 {
			l.Done(now, tickets[0], Completed{Latency: 10 * time.Millisecond})
			tickets = tickets[1:]
		}
	}
	assert.Assert(t, len(kinds) == 3, "%v", kinds)
}

func decisionText(d Decision) string {
	if queued, ok := d.(Queued); ok {
		return fmt.Sprint("queued until ", queued.Until, queued.Cold)
	}
	return fmt.Sprintf("%T%v", d, d)
}

// textOf returns the state of a limiter as text. The tickets were offered to it.
func textOf(l *Limiter, tickets []*Ticket) string {
	text := fmt.Sprintf("%v %v %d %v %g %v %v %d;", l.limit, l.nested, l.inFlight, l.byImportance, l.criticalPeak, l.lastSweep, l.cold, len(l.queue))
	for _, name := range []string{"a0", "a1", "a2"} {
		if c := l.accounts[name]; c != nil {
			text += fmt.Sprint(*c)
		}
	}
	for _, t := range tickets {
		text += fmt.Sprint(t.phase, len(t.verdict), t.account.waiting)
	}
	return text
}

// Guards against a chance of a refusal that differs from what Allow does, or that counts a call.
func TestRefuseChance(t *testing.T) {
	const draws = 4000
	now := time.Unix(1_000_000, 0)
	throttle := NewThrottle(1)
	assert.Equal(t, throttle.RefuseChance(now, "r", Normal), 0.0)
	assert.Assert(t, throttle.Allow(now, "r", Normal))
	for range 20 {
		throttle.Report(now, "r", Normal, false)
	}
	now = now.Add(100 * time.Millisecond)
	chance := throttle.RefuseChance(now, "r", Normal)
	assert.Equal(t, throttle.RefuseChance(now, "r", Normal), chance)
	count := *throttle.counts[throttleKey{route: "r", importance: Normal}]
	refused := 0
	for range draws {
		copied := count
		throttle.counts[throttleKey{route: "r", importance: Normal}] = &copied
		if !throttle.Allow(now, "r", Normal) {
			refused++
		}
	}
	// Four standard deviations of the observed share are at most 0.032.
	observed := float64(refused) / draws
	assert.Assert(t, chance > 0.5 && observed > chance-0.032 && observed < chance+0.032, "chance %g, observed %g", chance, observed)
	assert.Equal(t, throttle.RefuseChance(now.Add(time.Second), "r", Normal), 0.0)
	assert.Equal(t, throttle.RefuseChance(now, "r", Critical), 0.0)
}
