package admin

import (
	"context"
	"errors"
	"time"
)

type (
	// Zones lists the availability zones under evacuation by name.
	Zones struct {
		Zones []Zone `json:"zones"`
	}

	// Zone is one availability zone under evacuation.
	Zone struct {
		Zone      string    `json:"zone"`
		Requester string    `json:"requester"`
		Reason    string    `json:"reason,omitempty"`
		Since     time.Time `json:"since"`
	}

	// ZoneOrder is the body of an order.
	ZoneOrder struct {
		Zone      string `json:"zone"`
		Requester string `json:"requester"`
		Reason    string `json:"reason,omitempty"`
	}

	// ZoneOrdered is the response to an order that is durable in the control group.
	ZoneOrdered struct {
		Zone      string `json:"zone"`
		Evacuated bool   `json:"evacuated"`
		Index     uint64 `json:"index"` // of the entry in the replicated log
		Warning   string `json:"warning,omitempty"`
	}
)

// Check returns an error for an entry without a zone.
func (z *Zones) Check() error {
	for _, zone := range z.Zones {
		if zone.Zone == "" {
			return errors.New("zone is missing")
		}
	}
	return nil
}

// Check returns an error that names the first missing field.
func (z *ZoneOrdered) Check() error {
	if z.Zone == "" || z.Index == 0 {
		return errors.New("zone or index is missing")
	}
	return nil
}

// Zones returns the availability zones under evacuation.
func (c *Client) Zones(ctx context.Context) (*Zones, error) {
	return get[Zones](ctx, c, PathZones, nil, 0)
}

// EvacuateZone orders the evacuation of an availability zone. The order may be repeated.
func (c *Client) EvacuateZone(ctx context.Context, order ZoneOrder) (*ZoneOrdered, error) {
	return post[ZoneOrdered](ctx, c, PathEvacuateZone, order)
}

// RestoreZone ends the evacuation of an availability zone. The order may be repeated.
func (c *Client) RestoreZone(ctx context.Context, order ZoneOrder) (*ZoneOrdered, error) {
	return post[ZoneOrdered](ctx, c, PathRestoreZone, order)
}
