package opctl

import "context"

type zonesCommand struct{}

func (*zonesCommand) command() {}

func (c *zonesCommand) run(ctx context.Context, s *session) (outcome, error) {
	client, err := s.adminClient()
	if err != nil {
		return outcome{}, err
	}
	zones, err := client.Zones(ctx)
	if err != nil {
		return outcome{}, err
	}
	return outcome{value: zones, text: func(p *printer) {
		if len(zones.Zones) == 0 {
			p.line("no availability zone is under evacuation")
			return
		}
		rows := [][]string{{"zone", "since", "requested by", "reason"}}
		for _, zone := range zones.Zones {
			rows = append(rows, []string{zone.Zone, formatTime(zone.Since), zone.Requester, zone.Reason})
		}
		p.table(rows)
	}}, nil
}
