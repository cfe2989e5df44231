package ctrl

import (
	"errors"
	"fmt"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
)

type (
	// EvacuationList is the complete list of availability zones under evacuation. The version increases with each
	// accepted order of the group; it is zero before the first.
	EvacuationList struct {
		Version uint64            `protobuf:"varint,1,opt,name=version"`
		Zones   []snap.Evacuation `protobuf:"bytes,2,rep,name=zones"`
		// Group identifies the consensus group, empty if the leader is of a version that does not report it.
		Group string `protobuf:"bytes,3,opt,name=group"`
	}

	// OrderCall carries an operator's order for an availability zone; the reply has the same ID.
	OrderCall struct {
		ID    uint64           `protobuf:"varint,1,opt,name=id"`
		Order *state.OrderZone `protobuf:"bytes,2,opt,name=order"`
	}

	// OrderReply is the reply to an OrderCall. An order that is neither accepted nor refused is unconfirmed.
	OrderReply struct {
		ID       uint64 `protobuf:"varint,1,opt,name=id"`
		Accepted bool   `protobuf:"varint,2,opt,name=accepted"`
		Refused  bool   `protobuf:"varint,3,opt,name=refused"`
		Index    uint64 `protobuf:"varint,4,opt,name=index"`
		Warning  string `protobuf:"bytes,5,opt,name=warning"`
		Detail   string `protobuf:"bytes,6,opt,name=detail"`
	}
)

func (*EvacuationList) leaderMessage() {}
func (*OrderCall) daemonMessage()      {}
func (*OrderReply) leaderMessage()     {}

// Check returns an error for an oversized group, for too many zones and for an invalid one.
func (e *EvacuationList) Check() error {
	if len(e.Group) > maxName {
		return fmt.Errorf("group of %d bytes, limit %d", len(e.Group), maxName)
	}
	if len(e.Zones) > state.MaxEvacuations {
		return fmt.Errorf("%d zones under evacuation, limit %d", len(e.Zones), state.MaxEvacuations)
	}
	for i := range e.Zones {
		if err := e.Zones[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Check returns an error for a missing or invalid order.
func (o *OrderCall) Check() error {
	if o.Order == nil {
		return errors.New("order is missing")
	}
	return o.Order.Check()
}

// Check accepts every reply.
func (*OrderReply) Check() error { return nil }

// result returns the result that the reply reports.
func (o *OrderReply) result() OrderResult {
	switch {
	case o.Accepted:
		return OrderAccepted{Index: o.Index, Warning: o.Warning}
	case o.Refused:
		return OrderRefused{Detail: o.Detail}
	}
	return OrderUnconfirmed{}
}

// orderReply returns the reply that reports a result.
func orderReply(id uint64, result OrderResult) *OrderReply {
	reply := &OrderReply{ID: id}
	switch result := result.(type) {
	case OrderAccepted:
		reply.Accepted, reply.Index, reply.Warning = true, result.Index, result.Warning
	case OrderRefused:
		reply.Refused, reply.Detail = true, result.Detail
	case OrderNotLeader, OrderUnconfirmed:
	}
	return reply
}
