package ctrl

import (
	"errors"
	"net"
	"time"
)

const (
	// avoidTime is how long a control instance that was silent is not tried if there are others. A connection to an
	// instance that is paused opens, but its handshake lasts until the timeout. An instance that refuses connections
	// costs no time and may be starting, so that it is tried again at once.
	avoidTime = 2 * time.Second

	// redirectTrustTime is how long a redirect to an instance that was silent is not followed. Other instances elect
	// another leader in this time, or the instance has started meanwhile and been elected itself.
	redirectTrustTime = 500 * time.Millisecond
)

// controlChoice chooses the control instance to which a daemon opens its control stream next.
type controlChoice struct {
	next     int // position of the next address to try
	hint     string
	silentAt map[string]time.Time // by address: when the instance was last found silent
}

// choose returns the address of the leader if an instance has named it, or else the next one of addresses. It
// passes over addresses that were silent unless all were.
func (c *controlChoice) choose(now time.Time, addresses []string) string {
	hint := c.hint
	c.hint = ""
	if hint != "" && !c.silentWithin(redirectTrustTime, now, hint) {
		return hint
	}
	for range addresses {
		address := addresses[c.next%len(addresses)]
		c.next++
		if !c.silentWithin(avoidTime, now, address) {
			return address
		}
	}
	address := addresses[c.next%len(addresses)]
	c.next++
	return address
}

// redirected records the leader that the instance at address has named. It reports whether the leader can be tried
// at once.
func (c *controlChoice) redirected(now time.Time, address, leader string) bool {
	c.hint = leader
	return leader != "" && leader != address && !c.silentWithin(redirectTrustTime, now, leader)
}

func (c *controlChoice) silentWithin(d time.Duration, now time.Time, address string) bool {
	silentAt, ok := c.silentAt[address]
	return ok && now.Sub(silentAt) < d
}

// wasSilent reports whether err of a control stream means that time was lost in waiting for the instance.
func wasSilent(err error) bool {
	var netError net.Error
	return errors.Is(err, errSilent) || errors.As(err, &netError) && netError.Timeout()
}

// failed records that the instance at address was silent.
func (c *controlChoice) failed(now time.Time, address string) {
	if c.silentAt == nil {
		c.silentAt = map[string]time.Time{}
	}
	for other := range c.silentAt {
		if !c.silentWithin(avoidTime, now, other) {
			delete(c.silentAt, other)
		}
	}
	c.silentAt[address] = now
}
