package opctl

import (
	"context"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

type (
	// orderArguments are the arguments of an order for an availability zone.
	orderArguments struct {
		Zone      string `arg:"positional,required" placeholder:"ZONE" help:"name of the availability zone"`
		Requester string `arg:"--requester,required" placeholder:"NAME" help:"who requests it"`
		Reason    string `arg:"--reason" placeholder:"TEXT" help:"why"`
	}

	evacuateZoneCommand struct{ orderArguments }
)

func (*evacuateZoneCommand) command() {}

func (c *evacuateZoneCommand) run(ctx context.Context, s *session) (outcome, error) {
	client, err := s.adminClient()
	if err != nil {
		return outcome{}, err
	}
	ordered, err := client.EvacuateZone(ctx, c.order())
	if err != nil {
		return outcome{}, err
	}
	return orderOutcome(ordered, "is under evacuation: its backend servers receive no new requests within seconds"), nil
}

func (a *orderArguments) order() admin.ZoneOrder {
	return admin.ZoneOrder{Zone: a.Zone, Requester: a.Requester, Reason: a.Reason}
}

// orderOutcome returns the result of a committed order.
func orderOutcome(ordered *admin.ZoneOrdered, effect string) outcome {
	return outcome{value: ordered, text: func(p *printer) {
		p.line("zone %q %s", ordered.Zone, effect)
		if ordered.Warning != "" {
			p.line("warning: %s", ordered.Warning)
		}
	}}
}
