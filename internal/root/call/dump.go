package call

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

// Sections returns the state of the traffic servers as tables of a dump.
func (t *Traffic) Sections(now time.Time) []admin.Section {
	return []admin.Section{t.backendSection(now), t.activitySection(now)}
}

func (t *Traffic) backendSection(now time.Time) admin.Section {
	section := admin.Section{
		Name:    "backend-servers",
		Columns: []string{"instance", "service", "incarnation", "slots", "limit", "in-flight", "waiting", "leaving", "died"},
	}
	servers := t.handler.backends
	servers.mu.RLock()
	defer servers.mu.RUnlock()
	for _, id := range slices.Sorted(maps.Keys(servers.byID)) {
		server := servers.byID[id]
		load := server.limiter.Load(now)
		section.Rows = append(section.Rows, []string{
			id, server.endpoint.Service, strconv.FormatUint(server.endpoint.Incarnation, 10),
			strconv.FormatUint(uint64(server.endpoint.Slots), 10), strconv.Itoa(load.Limit), strconv.Itoa(load.InFlight),
			strconv.Itoa(load.Waiting), strconv.FormatBool(server.leaving.Load()), strconv.FormatBool(server.died.Load()),
		})
	}
	return section
}

func (t *Traffic) activitySection(time.Time) admin.Section {
	return admin.Section{Name: "traffic", Columns: []string{"field", "value"}, Rows: [][]string{
		{"ingress-calls", strconv.FormatInt(t.handler.active.Load(), 10)},
		{"local-calls", strconv.Itoa(t.Running())},
		{"leaving", strconv.FormatBool(t.server.leaving.Load())},
	}}
}
