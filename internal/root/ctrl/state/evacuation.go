package state

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	// MaxEvacuations is the largest number of availability zones that are under evacuation at once.
	MaxEvacuations = 64
	// MaxZone is the longest name of an availability zone in bytes.
	MaxZone = 64
	// MaxReason is the longest reason of an order in bytes.
	MaxReason = 512
)

type (
	// OrderZone begins or ends the evacuation of an availability zone. Repeating an order changes nothing.
	OrderZone struct {
		Zone      string `protobuf:"bytes,1,opt,name=zone"`
		Requester string `protobuf:"bytes,2,opt,name=requester"`
		Reason    string `protobuf:"bytes,3,opt,name=reason"`
		// Evacuate is false for an order that ends the evacuation.
		Evacuate bool `protobuf:"varint,4,opt,name=evacuate"`
		// At is set by the leader when it proposes the command.
		At wire.Stamp `protobuf:"varint,5,opt,name=at"`
	}

	// ZoneOrdered means that the order is in effect, now or by an earlier order.
	ZoneOrdered struct {
		Order   *OrderZone
		Changed bool // the zone was in the other state before
	}

	// ZoneOrderRefused means that too many zones are under evacuation.
	ZoneOrderRefused struct{ Order *OrderZone }
)

func (*OrderZone) command()       {}
func (*ZoneOrdered) result()      {}
func (*ZoneOrderRefused) result() {}

// Check returns an error that names the first invalid field.
func (c *OrderZone) Check() error {
	return firstError(checkLength("zone", c.Zone, 1, MaxZone), checkLength("requester", c.Requester, 1, maxName),
		checkLength("reason", c.Reason, 0, MaxReason), checkTime(c.At))
}

// orderZone applies an order. A repeated order keeps the requester and the time of the first one. Each accepted order
// raises the version, also one that changes nothing, so that repeating an order replaces the list of every daemon.
func (m *Machine) orderZone(c *OrderZone) Result {
	position, found := slices.BinarySearchFunc(m.Evacuations, c.Zone, func(e snap.Evacuation, zone string) int {
		return cmp.Compare(e.Zone, zone)
	})
	switch {
	case c.Evacuate && !found && len(m.Evacuations) >= MaxEvacuations:
		return &ZoneOrderRefused{Order: c}
	case c.Evacuate && !found:
		entry := snap.Evacuation{Zone: c.Zone, Requester: c.Requester, Reason: c.Reason, Since: m.Now}
		m.Evacuations = slices.Insert(slices.Clone(m.Evacuations), position, entry)
	case !c.Evacuate && found:
		m.Evacuations = slices.Delete(slices.Clone(m.Evacuations), position, position+1)
	}
	// The machine time lets the versions of a group that was started from a copy of a data folder follow those that
	// daemons have.
	m.EvacuationVersion = max(m.EvacuationVersion+1, uint64(m.Now))
	return &ZoneOrdered{Order: c, Changed: c.Evacuate != found}
}

// checkEvacuations returns an error that names the first invalid entry.
func checkEvacuations(list []snap.Evacuation) error {
	if len(list) > MaxEvacuations {
		return fmt.Errorf("%w: %d zones under evacuation, limit %d", ErrSnapshot, len(list), MaxEvacuations)
	}
	for i := range list {
		if err := list[i].Check(); err != nil {
			return fmt.Errorf("%w: %w", ErrSnapshot, err)
		}
		if i > 0 && list[i].Zone <= list[i-1].Zone {
			return fmt.Errorf("%w: zones under evacuation are not in order", ErrSnapshot)
		}
	}
	return nil
}
