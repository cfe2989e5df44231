package simul

import (
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
)

// normalDelay is the largest delay of a message in a quiet network.
const normalDelay = 2 * time.Millisecond

type (
	// network loses, duplicates and delays messages; different delays reorder them.
	network struct {
		loss, duplication int // percent of the messages until badUntil
		delay             time.Duration
		badUntil          time.Duration
		cutUntil          map[link]time.Duration
		holdsCut          bool // a cut link delivers its messages at the end of the cut, as a connection that stays open
	}

	// link is one direction of the connection of two members.
	link struct{ from, to string }
)

// send schedules the deliveries of a message.
func (g *group) send(from *member, a raft.Send) {
	if err := a.Message.Check(); err != nil {
		g.t.Fatalf("%s sends an invalid message to %s: %v", from.name, a.To, err)
	}
	n := &g.network
	if until := n.cutUntil[link{from.name, a.To}]; until > g.now {
		if n.holdsCut {
			g.schedule(until-g.now, delivery{to: a.To, message: a.Message})
		}
		return
	}
	loss, duplication, delay := 0, 0, normalDelay
	if n.badUntil > g.now {
		loss, duplication, delay = n.loss, n.duplication, n.delay
	}
	copies := 1
	if g.random.IntN(100) < duplication {
		copies = 2
	}
	for range copies {
		if g.random.IntN(100) >= loss {
			g.schedule(g.randomDelay(delay), delivery{to: a.To, message: a.Message})
		}
	}
}

// randomDelay returns a delay from zero to limit.
func (g *group) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(g.random.Int64N(int64(limit) + 1))
}
