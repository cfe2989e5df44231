package opctl

import "context"

type restoreZoneCommand struct{ orderArguments }

func (*restoreZoneCommand) command() {}

func (c *restoreZoneCommand) run(ctx context.Context, s *session) (outcome, error) {
	client, err := s.adminClient()
	if err != nil {
		return outcome{}, err
	}
	ordered, err := client.RestoreZone(ctx, c.order())
	if err != nil {
		return outcome{}, err
	}
	return orderOutcome(ordered, "is not under evacuation: its backend servers receive requests again"), nil
}
