package budget

import "net/netip"

const (
	// minConnections is the smallest number of connections of one budget.
	minConnections = 32

	// serviceDivisor divides the largest number of connections of callers; the quotient bounds those of all other
	// listeners together.
	serviceDivisor = 4
)

type (
	// Conn is an open connection.
	Conn struct {
		Listener string
		Address  netip.Addr // of the client
		Idle     bool       // no request is in progress

		order uint64 // of its opening
	}

	// Decision is the decision about a new connection: Accepted, or Replaces.
	Decision interface{ decision() }

	// Accepted means that there is room for the connection.
	Accepted struct{}

	// Replaces means that the connection is accepted and Victim has to be closed for it.
	Replaces struct{ Victim *Conn }

	// Conns bounds the open connections of several listeners together. At the limit, the client that holds the most
	// connections of a listener loses one for each new connection, so that a crowd displaces itself.
	Conns struct {
		limit  int
		opened uint64
		groups map[group]map[*Conn]struct{}
		count  int
	}

	// group consists of the connections of one client address at one listener.
	group struct {
		listener string
		address  netip.Addr
	}
)

func (Accepted) decision() {}
func (Replaces) decision() {}

// ServiceLimit returns the limit for the connections at all listeners that do not serve callers, on a daemon that
// accepts the given number of connections of callers.
func ServiceLimit(callers int) int { return max(callers/serviceDivisor, minConnections) }

// NewConns returns a budget of limit connections.
func NewConns(limit int) *Conns {
	return &Conns{limit: max(limit, 1), groups: map[group]map[*Conn]struct{}{}}
}

// Open adds a connection.
func (c *Conns) Open(conn *Conn) Decision {
	c.opened++
	conn.order = c.opened
	key := conn.group()
	if c.groups[key] == nil {
		c.groups[key] = map[*Conn]struct{}{}
	}
	c.groups[key][conn] = struct{}{}
	c.count++
	if c.count <= c.limit {
		return Accepted{}
	}
	victim := c.victim(conn)
	c.Close(victim)
	return Replaces{Victim: victim}
}

// Close removes a connection; it may have been removed before.
func (c *Conns) Close(conn *Conn) {
	key := conn.group()
	if _, open := c.groups[key][conn]; !open {
		return
	}
	delete(c.groups[key], conn)
	if len(c.groups[key]) == 0 {
		delete(c.groups, key)
	}
	c.count--
}

// Count returns the number of open connections.
func (c *Conns) Count() int { return c.count }

// victim returns the connection that makes room: of the largest group, an idle one before others, and the one that was
// opened first. Only the new connection itself cannot be chosen, unless it is the only one.
func (c *Conns) victim(opened *Conn) *Conn {
	var largest map[*Conn]struct{}
	oldest := uint64(0)
	for _, conns := range c.groups {
		if first := firstOpened(conns); len(conns) > len(largest) || len(conns) == len(largest) && first < oldest {
			largest, oldest = conns, first
		}
	}
	chosen := opened
	for conn := range largest {
		if conn != opened && (chosen == opened || precedes(conn, chosen)) {
			chosen = conn
		}
	}
	return chosen
}

func precedes(a, b *Conn) bool {
	if a.Idle != b.Idle {
		return a.Idle
	}
	return a.order < b.order
}

func firstOpened(conns map[*Conn]struct{}) uint64 {
	first := uint64(0)
	for conn := range conns {
		if first == 0 || conn.order < first {
			first = conn.order
		}
	}
	return first
}

func (c *Conn) group() group { return group{listener: c.Listener, address: c.Address} }
