package ctrl

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/root/link"
)

// Guards against daemons that go back to a leader that has fallen silent: a third of them chose its address again, or
// followed an outdated redirect to it, and waited two seconds for its handshake.
func TestSilentControlInstanceIsAvoided(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	addresses := []string{"a", "b", "c"}
	for start := range addresses {
		c := controlChoice{next: start}
		c.failed(now, "a")
		for range 6 {
			assert.Assert(t, c.choose(now, addresses) != "a")
		}
		assert.Assert(t, !c.redirected(now, "b", "a"), "an outdated redirect")
		assert.Assert(t, c.choose(now, addresses) != "a")
		assert.Assert(t, c.redirected(now, "b", "c"))
		assert.Equal(t, c.choose(now, addresses), "c")

		now = now.Add(redirectTrustTime) // it has become the leader again, or for the first time after a start
		assert.Assert(t, c.choose(now, addresses) != "a")
		assert.Assert(t, c.redirected(now, "b", "a"))
		assert.Equal(t, c.choose(now, addresses), "a")

		now = now.Add(avoidTime)
		assert.Assert(t, c.redirected(now, "b", "a"))
		assert.Equal(t, c.choose(now, addresses), "a")
	}
}

// Guards against a daemon that tries nothing because all control instances have failed.
func TestAvoidedInstancesAreTriedWithoutOthers(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	addresses := []string{"a", "b"}
	c := controlChoice{}
	c.failed(now, "a")
	c.failed(now, "b")
	seen := map[string]bool{}
	for range 4 {
		seen[c.choose(now, addresses)] = true
	}
	assert.Equal(t, len(seen), 2)
}

// Guards against daemons that stay away for two seconds from an instance that refused a connection while it started,
// and that has become the leader meanwhile, and against daemons that go back to one that accepts connections and then
// says nothing.
func TestOnlySilenceIsAvoided(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	open := func() error {
		dialer := &link.Dialer{Name: "client", Secret: []byte("a secret of sixteen bytes")}
		defer dialer.Close()
		_, err := dialer.Open(context.Background(), address, link.StreamControl)
		assert.ErrorIs(t, err, link.ErrUnreachable)
		return err
	}
	assert.Assert(t, wasSilent(open()))
	assert.NilError(t, listener.Close())
	assert.Assert(t, !wasSilent(open()))

	assert.Assert(t, wasSilent(fmt.Errorf("control stream: %w", errSilent)))
	assert.Assert(t, !wasSilent(errRedirected))
}
