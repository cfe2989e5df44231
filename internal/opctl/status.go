package opctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

type statusCommand struct{}

func (*statusCommand) command() {}

func (*statusCommand) run(ctx context.Context, s *session) (outcome, error) {
	client, err := s.adminClient()
	if err != nil {
		return outcome{}, err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return outcome{}, err
	}
	freshness := "not fresh"
	if status.Fresh {
		freshness = "fresh until " + formatTime(status.FreshUntil)
	}
	rows := [][]string{
		{"name", status.Name},
		{"availability-zone", status.Zone},
		{"region", status.Region},
		{"role", string(status.Role)},
		{"leader", status.Leader},
		{"term", strconv.FormatUint(status.Term, 10)},
		{"voters", strings.Join(status.Voters, ", ")},
		{"revision", strconv.FormatUint(status.Revision, 10)},
		{"freshness", freshness},
		{"drain", string(status.Drain)},
		{"started", formatTime(status.Started)},
		{"uptime", status.Uptime.String()},
	}
	counts := status.Counts
	for _, count := range []struct {
		name  string
		value uint64
	}{
		{"calls", counts.Calls},
		{"running", counts.Running},
		{"queued", counts.Queued},
		{"completed", counts.Completed},
		{"retries", counts.Retries},
		{"connections", counts.Connections},
		{"peer-sessions", counts.Sessions},
		{"backends", counts.Backends},
	} {
		rows = append(rows, []string{count.name, strconv.FormatUint(count.value, 10)})
	}
	for _, reason := range slices.Sorted(maps.Keys(counts.Refused)) {
		rows = append(rows, []string{fmt.Sprintf("refused %s", reason), strconv.FormatUint(counts.Refused[reason], 10)})
	}
	return outcome{value: status, text: func(p *printer) { p.table(rows) }}, nil
}
