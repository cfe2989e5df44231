package accept

import (
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/logs"
	"github.com/buckthornpitch/buckthornpitch/internal/meter"
	"github.com/buckthornpitch/buckthornpitch/internal/root/budget"
)

type (
	// Guard bounds the open connections of several listeners together.
	Guard struct {
		clock clock.Clock
		meter *meter.Meter
		log   zerolog.Logger
		lines logs.Repeat // about displaced connections

		mu    sync.Mutex
		conns *budget.Conns
		open  map[*budget.Conn]net.Conn
	}

	// Slot is the place of one connection in a Guard.
	Slot struct {
		guard *Guard
		conn  *budget.Conn
	}

	// guardedListener adds its connections to a Guard.
	guardedListener struct {
		net.Listener
		guard *Guard
		name  string
	}

	// guardedConn leaves its Guard when it is closed.
	guardedConn struct {
		net.Conn
		slot *Slot
	}
)

// NewGuard returns a guard that keeps at most limit connections open.
func NewGuard(limit int, clk clock.Clock, m *meter.Meter, log zerolog.Logger) *Guard {
	return &Guard{clock: clk, meter: m, log: log, conns: budget.NewConns(limit), open: map[*budget.Conn]net.Conn{}}
}

// Add adds a connection of the listener called name, and closes another one if there is no room. A nil guard bounds
// nothing.
func (g *Guard) Add(name string, conn net.Conn) *Slot {
	if g == nil {
		return nil
	}
	added := &budget.Conn{Listener: name, Address: ClientAddress(conn)}
	g.mu.Lock()
	g.open[added] = conn
	var displaced net.Conn
	var victim *budget.Conn
	switch decision := g.conns.Open(added).(type) {
	case budget.Accepted:
	case budget.Replaces:
		victim = decision.Victim
		displaced = g.open[victim]
		delete(g.open, victim)
	}
	g.mu.Unlock()
	if displaced != nil {
		_ = displaced.Close()
		g.report(victim)
	}
	return &Slot{guard: g, conn: added}
}

// report counts and logs a displaced connection.
func (g *Guard) report(victim *budget.Conn) {
	g.meter.ConnectionDisplaced(victim.Listener)
	if others, ok := g.lines.Allow(g.clock.Now()); ok {
		g.log.Warn().Str("listener", victim.Listener).Str("address", victim.Address.String()).Int("others", others).Msg("connection-displaced")
	}
}

// Remove removes the connection, which may have been displaced.
func (s *Slot) Remove() {
	if s == nil {
		return
	}
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	s.guard.conns.Close(s.conn)
	delete(s.guard.open, s.conn)
}

// Listen returns a listener like l, called name, whose connections are in the guard.
func (g *Guard) Listen(name string, l net.Listener) net.Listener {
	if g == nil {
		return l
	}
	return &guardedListener{Listener: l, guard: g, name: name}
}

// Accept returns the next connection.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn, slot: l.guard.Add(l.name, conn)}, nil
}

// Close removes the connection from its guard and closes it.
func (c *guardedConn) Close() error {
	c.slot.Remove()
	return c.Conn.Close()
}

// CloseWrite ends the response while the client may still be sending.
func (c *guardedConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// track records whether a connection of an HTTP server is idle. A nil guard records nothing.
func (g *Guard) track(conn net.Conn, state http.ConnState) {
	guarded, ok := conn.(*guardedConn)
	if g == nil || !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	guarded.slot.conn.Idle = state == http.StateIdle
}

// ClientAddress returns the IP address of the client of a connection, without the port.
func ClientAddress(conn net.Conn) netip.Addr { return AddressOf(conn.RemoteAddr().String()) }

// AddressOf returns the IP address of an address with a port, the zero address if it is none.
func AddressOf(text string) netip.Addr {
	remote, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.Addr{}
	}
	return remote.Addr().Unmap()
}
