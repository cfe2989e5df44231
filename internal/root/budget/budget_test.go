package budget

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	crowdAddress = netip.MustParseAddr("10.0.0.1")
	otherAddress = netip.MustParseAddr("10.0.0.2")

	crowd = Claim{Address: crowdAddress}
	other = Claim{Address: otherAddress}
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
	b := NewBytes(120, nil)
	assert.Assert(t, b.Take(crowd, 60), "half of the limit is free for all")
	assert.Assert(t, !b.Take(crowd, 1), "the rest is shared")
	assert.Assert(t, b.Take(other, 40))
	assert.Assert(t, !b.Take(other, 1))
	b.Release(crowd, 60)
	b.Release(other, 40)
	assert.Equal(t, b.Used(), int64(0))
	assert.Equal(t, len(b.holders), 0)
}

// Guards against a caller that loses its connection because another one does not read, and against queues that stay
// counted after their end.
func TestLongestQueueGivesUp(t *testing.T) {
	q := NewQueues[string](100, nil)
	for range 9 {
		_, exceeded := q.Add("unread", crowdAddress, 10)
		assert.Assert(t, !exceeded)
	}
	victim, exceeded := q.Add("reads", crowdAddress, 20)
	assert.Assert(t, exceeded)
	assert.Equal(t, victim, "unread")
	q.Remove("unread", 10)
	assert.Equal(t, q.Used(), int64(20))
	q.Remove("reads", 20)
	assert.Equal(t, q.Used(), int64(0))
	assert.Equal(t, len(q.owners), 0)
	assert.Equal(t, len(q.addresses), 0)
}

// Guards against a crowd of connections at one address, each with few unread bytes, that makes a caller at another address
// lose its connection because it waits for a larger response.
func TestCrowdOfQueuesGivesUp(t *testing.T) {
	q := NewQueues[string](100, nil)
	_, exceeded := q.Add("reads", otherAddress, 40)
	assert.Assert(t, !exceeded)
	for i := range 30 {
		victim, exceeded := q.Add(fmt.Sprint("unread", i), crowdAddress, 10)
		assert.Equal(t, exceeded, i >= 6, "connection %d", i)
		assert.Assert(t, victim != "reads")
	}
	assert.Equal(t, q.Used(), int64(100))
}

// Guards against a crowd of one client account at many addresses that takes the room of other accounts.
func TestSharesOfAccounts(t *testing.T) {
	b := NewBytes(120, nil)
	for i := range 6 {
		address := netip.AddrFrom4([4]byte{10, 0, 1, byte(i)})
		assert.Assert(t, b.Take(Claim{Account: "crowd", Address: address}, 10))
	}
	assert.Assert(t, !b.Take(Claim{Account: "crowd", Address: otherAddress}, 1), "the rest is shared")
	assert.Assert(t, b.Take(Claim{Account: "other", Address: otherAddress}, 40))
	b.Release(Claim{Account: "crowd"}, 60)
	b.Release(Claim{Account: "other"}, 40)
	assert.Equal(t, len(b.holders), 0)
}

// Guards against uses that are each within their limit and together exceed the memory, against a crowd that leaves
// nothing to urgent requests, and against bytes of a refused claim that stay counted.
func TestUsesShareMemory(t *testing.T) {
	m := NewMemory(160, nil)
	bodies, requests := NewBytes(1000, m), NewBytes(1000, m)
	assert.Assert(t, bodies.Take(crowd, 100))
	assert.Assert(t, !requests.Take(crowd, 41), "an eighth is reserved")
	assert.Assert(t, requests.Take(crowd, 40))
	assert.Assert(t, !bodies.Take(other, 1))
	assert.Assert(t, bodies.Take(Claim{Address: otherAddress, Urgent: true}, 20))
	assert.Assert(t, !bodies.Take(Claim{Address: otherAddress, Urgent: true}, 1))
	assert.Assert(t, !m.Exceeded())
	m.Add(1)
	assert.Assert(t, m.Exceeded())
	m.Release(1)
	bodies.Release(crowd, 100)
	bodies.Release(other, 20)
	requests.Release(crowd, 40)
	assert.Equal(t, m.Used(), int64(0))
}

// Guards against callers that read and lose their connection because other uses have taken the memory, and against
// unread responses that keep it meanwhile.
func TestQueuesYieldMemory(t *testing.T) {
	m := NewMemory(100, nil)
	q := NewQueues[string](80, m)
	m.Add(100)
	_, exceeded := q.Add("reads", crowdAddress, 40)
	assert.Assert(t, !exceeded)
	victim, exceeded := q.Add("unread", crowdAddress, 41)
	assert.Assert(t, exceeded)
	assert.Equal(t, victim, "unread")
	q.End("reads")
	assert.Equal(t, m.Used(), int64(100))
}

// Guards against clients that make a process allocate faster than it collects garbage, and against garbage that keeps out
// a client although it could be collected.
func TestGarbageCountsUntilItIsCollected(t *testing.T) {
	collections := 0
	m := NewMemory(128, func() { collections++ })
	b := NewBytes(1<<20, m)
	assert.Assert(t, b.Take(Claim{Urgent: true}, 118))
	m.Release(118)
	assert.Equal(t, m.Used(), int64(0))
	assert.Assert(t, b.Take(Claim{Urgent: true}, 10))
	assert.Equal(t, collections, 0)
	assert.Assert(t, b.Take(Claim{Urgent: true}, 108))
	assert.Equal(t, collections, 1)
	m.Release(1)
	assert.Assert(t, !b.Take(Claim{Urgent: true}, 11), "a collection for so little is not worth its time")
	assert.Equal(t, collections, 1)
	m.Collected()
	assert.Assert(t, !b.Take(Claim{Urgent: true}, 11), "the bytes may have been released during the collection")
	m.Collected()
	assert.Assert(t, b.Take(Claim{Urgent: true}, 11))
}

// Guards against a claim of no bytes, such as that of a refusal, that stays counted as a holder and makes the shares of
// all others smaller.
func TestNoBytesHaveNoHolder(t *testing.T) {
	b := NewBytes(120, nil)
	for i := range 100 {
		claim := Claim{Address: netip.AddrFrom4([4]byte{10, 0, 1, byte(i)})}
		assert.Assert(t, b.Take(claim, 0))
		b.Release(claim, 0)
	}
	assert.Equal(t, len(b.holders), 0)
	assert.Assert(t, b.Take(crowd, 60))
	assert.Assert(t, b.Take(other, 40))
}

// Guards against a garbage collection during which nobody else can take or release bytes of the same use.
func TestCollectionKeepsBudgetUsable(t *testing.T) {
	collecting, finish := make(chan struct{}), make(chan struct{})
	m := NewMemory(128, func() {
		close(collecting)
		<-finish
	})
	b := NewBytes(128, m)
	assert.Assert(t, b.Take(crowd, 60))
	b.Release(crowd, 60)
	granted := make(chan bool)
	go func() { granted <- b.Take(crowd, 60) }()
	<-collecting
	used := make(chan bool)
	go func() {
		taken := b.Take(other, 10)
		b.Release(other, 10)
		used <- taken
	}()
	select {
	case taken := <-used:
		assert.Assert(t, taken)
	case <-time.After(time.Second):
		t.Error("the budget waits for the garbage collector")
	}
	close(finish)
	assert.Assert(t, <-granted)
}

// Guards against a claim that is refused because it waited for a collection that had begun before the bytes in its way
// were released.
func TestCollectionBeganBeforeRelease(t *testing.T) {
	const startWait = 50 * time.Millisecond // for the second claim to begin to wait
	collections := 0
	second := make(chan bool, 1)
	var m *Memory
	var b *Bytes
	m = NewMemory(128, func() {
		collections++
		if collections > 1 {
			return
		}
		m.Release(50)
		go func() { second <- b.Take(Claim{Urgent: true}, 60) }()
		time.Sleep(startWait)
	})
	b = NewBytes(1<<20, m)
	assert.Assert(t, b.Take(Claim{Urgent: true}, 100))
	m.Release(50)
	assert.Assert(t, b.Take(Claim{Urgent: true}, 50))
	assert.Assert(t, <-second)
}
