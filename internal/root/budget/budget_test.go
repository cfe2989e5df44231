package budget

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	crowdAddress = netip.MustParseAddr("10.0.0.1")
	otherAddress = netip.MustParseAddr("10.0.0.2")
)

// Guards against a crowd at one listener that keeps out another client address or another listener, and against a
// limit that is exceeded.
func TestCrowdDisplacesItself(t *testing.T) {
	c := NewConns(4)
	other := &Conn{Listener: "ready", Address: otherAddress, Idle: true}
	assert.Equal(t, c.Open(other), Decision(Accepted{}))
	first := &Conn{Listener: "ready", Address: crowdAddress}
	idle := &Conn{Listener: "ready", Address: crowdAddress, Idle: true}
	for _, conn := range []*Conn{first, {Listener: "ready", Address: crowdAddress}, idle} {
		assert.Equal(t, c.Open(conn), Decision(Accepted{}))
	}
	assert.Equal(t, c.Open(&Conn{Listener: "ready", Address: crowdAddress}), Decision(Replaces{Victim: idle}))
	admin := &Conn{Listener: "admin", Address: crowdAddress}
	assert.Equal(t, c.Open(admin), Decision(Replaces{Victim: first}))
	assert.Equal(t, c.Count(), 4)
	c.Close(first) // the listener closes it once more
	c.Close(admin)
	assert.Equal(t, c.Count(), 3)
}

// Guards against a limit of one connection under which a new connection displaces itself.
func TestOnlyConnection(t *testing.T) {
	c := NewConns(1)
	first := &Conn{Listener: "ready", Address: crowdAddress}
	assert.Equal(t, c.Open(first), Decision(Accepted{}))
	second := &Conn{Listener: "calls", Address: otherAddress}
	assert.Equal(t, c.Open(second), Decision(Replaces{Victim: first}))
}

// Guards against a client that takes the share of others, and against bytes that stay counted.
func TestSharesOfBytes(t *testing.T) {
	b := NewBytes(120)
	assert.Assert(t, b.Take(crowdAddress, 60), "half of the limit is free for all")
	assert.Assert(t, !b.Take(crowdAddress, 1), "the rest is shared")
	assert.Assert(t, b.Take(otherAddress, 40))
	assert.Assert(t, !b.Take(otherAddress, 1))
	b.Release(crowdAddress, 60)
	b.Release(otherAddress, 40)
	assert.Equal(t, b.Used(), int64(0))
	assert.Equal(t, len(b.holders), 0)
}

// Guards against a caller that loses its connection because another one does not read, and against queues that stay
// counted after their end.
func TestLongestQueueGivesUp(t *testing.T) {
	q := NewQueues[string](100)
	for range 9 {
		_, exceeded := q.Add("unread", 10)
		assert.Assert(t, !exceeded)
	}
	victim, exceeded := q.Add("reads", 20)
	assert.Assert(t, exceeded)
	assert.Equal(t, victim, "unread")
	q.Remove("unread", 10)
	assert.Equal(t, q.Used(), int64(20))
	q.Remove("reads", 20)
	assert.Equal(t, q.Used(), int64(0))
	assert.Equal(t, len(q.owners), 0)
}
