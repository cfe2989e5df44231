package local

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/meter"
)

type (
	// ColdLog logs and counts when one backend server turns cold or warm. The zero value belongs to a warm server. It is
	// not safe for concurrent use.
	ColdLog struct{ cold bool }

	// ColdState is the cold state of a backend server at one time.
	ColdState struct {
		Instance string
		Service  string
		Rate     float64       // requests per second that the cold server tolerates
		For      time.Duration // how long it is still cold, zero for a warm one
	}
)

// Cold reports whether the latest log line says that the server is cold.
func (l *ColdLog) Cold() bool { return l.cold }

// Record logs and counts a change of the state. Before the rules are known no server counts as cold, because its
// service may have no cold rate.
func (l *ColdLog) Record(state ColdState, rulesKnown bool, m *meter.Meter, log zerolog.Logger) {
	cold := state.For > 0 && rulesKnown
	if cold == l.cold {
		return
	}
	l.cold = cold
	event := log.Info().Str("instance", state.Instance).Str("service", state.Service)
	if !cold {
		m.ColdServers(-1)
		event.Msg("backend-server-warm")
		return
	}
	m.ColdServers(1)
	event.Float64("rate", state.Rate).Dur("for", state.For).Msg("backend-server-cold")
}

// Forget removes a server that has been replaced from the count of cold servers.
func (l *ColdLog) Forget(m *meter.Meter) {
	if l.cold {
		l.cold = false
		m.ColdServers(-1)
	}
}
