package ctrl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
	"github.com/buckthornpitch/buckthornpitch/internal/snap"
	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

type (
	// OrderResult is OrderAccepted, OrderRefused, OrderNotLeader or OrderUnconfirmed.
	OrderResult interface{ orderResult() }

	// OrderAccepted means that the order is committed, now or by an earlier order.
	OrderAccepted struct {
		Index   uint64 // of the log entry
		Warning string // why the order may not have the expected effect, empty if there is no reason
	}

	// OrderRefused means that the order is not accepted; Detail is the reason.
	OrderRefused struct {
		Invalid bool // a field of the order is invalid; otherwise the control group cannot accept it at present
		Detail  string
	}

	// OrderNotLeader means that this member does not lead; Leader is the peer address of the leader.
	OrderNotLeader struct{ Leader string }

	// OrderUnconfirmed means that it is unknown whether the order is accepted.
	OrderUnconfirmed struct{}

	// orderSupport says whether the leader knows orders. A leader of an earlier version ignores an OrderCall, or closes
	// the control stream.
	orderSupport int

	// orderWaiter is an order that has not been replied to. The call is nil once it has been sent; until then it is
	// unknown whether the leader supports it.
	orderWaiter struct {
		reply chan<- OrderResult
		call  *OrderCall
	}
)

const (
	ordersUnknown     orderSupport = iota // neither a list of evacuations nor a lease has arrived
	ordersSupported                       // the leader has sent the list
	ordersUnsupported                     // a lease has arrived without the list
)

var refusedByEarlierVersion = OrderRefused{
	Detail: "the leader runs an earlier version, which has no evacuations; " +
		"update all control instances and repeat the order",
}

func (OrderAccepted) orderResult()    {}
func (OrderRefused) orderResult()     {}
func (OrderNotLeader) orderResult()   {}
func (OrderUnconfirmed) orderResult() {}

// OrderZone proposes an order to the consensus group if this member leads it.
func (l *Loop) OrderZone(ctx context.Context, order state.OrderZone) OrderResult {
	return l.awaitOrder(ctx, order, false)
}

// ForwardOrder proposes an order to the consensus group, through the control stream of this daemon if it does not
// lead the group.
func (l *Loop) ForwardOrder(ctx context.Context, order state.OrderZone) OrderResult {
	return l.awaitOrder(ctx, order, true)
}

func (l *Loop) awaitOrder(ctx context.Context, order state.OrderZone, forward bool) OrderResult {
	reply := make(chan OrderResult, 1)
	result, err := await(ctx, l, zoneOrderRequested{order: &order, forward: forward, reply: reply}, reply)
	if err != nil {
		return OrderUnconfirmed{}
	}
	return result
}

// orderZone checks an order and proposes it, or sends it to the leader.
func (l *Loop) orderZone(now time.Time, event zoneOrderRequested) {
	event.order.At = wire.StampOf(now)
	if err := event.order.Check(); err != nil {
		event.reply <- OrderRefused{Invalid: true, Detail: err.Error()}
		return
	}
	leader := ""
	if l.voter != nil {
		address, leading := l.leading(now)
		if leading {
			l.proposeOrder(now, event.order, zoneProposer{reply: event.reply})
			return
		}
		leader = address
	}
	switch {
	case event.forward && l.daemon.session != nil:
		l.sendOrder(event)
	case leader != "":
		event.reply <- OrderNotLeader{Leader: leader}
	default:
		event.reply <- OrderUnconfirmed{}
	}
}

func (l *Loop) sendOrder(event zoneOrderRequested) {
	d := l.daemon
	if d.orderSupport == ordersUnsupported {
		event.reply <- refusedByEarlierVersion
		return
	}
	d.nextQuery++
	d.orderWaiters[d.nextQuery] = orderWaiter{reply: event.reply, call: &OrderCall{ID: d.nextQuery, Order: event.order}}
	if d.orderSupport == ordersSupported {
		l.sendUnsentOrders()
	}
}

// sendUnsentOrders sends the orders that waited until the leader was known to support them, in the order of arrival.
func (l *Loop) sendUnsentOrders() {
	d := l.daemon
	d.orderSupport = ordersSupported
	for _, id := range slices.Sorted(maps.Keys(d.orderWaiters)) {
		waiter := d.orderWaiters[id]
		if waiter.call != nil {
			l.sendToLeader(waiter.call)
			d.orderWaiters[id] = orderWaiter{reply: waiter.reply}
		}
	}
}

// failOrders ends the waiting orders with a result.
func (d *daemonState) failOrders(result OrderResult) {
	for id, waiter := range d.orderWaiters {
		waiter.reply <- result
		delete(d.orderWaiters, id)
	}
}

func (l *Loop) handleOrderReply(message *OrderReply) {
	if waiter, ok := l.daemon.orderWaiters[message.ID]; ok {
		delete(l.daemon.orderWaiters, message.ID)
		waiter.reply <- message.result()
	}
}

func (l *Loop) proposeOrder(now time.Time, order *state.OrderZone, origin proposer) {
	order.At = l.voter.machine.CommandTime(now)
	l.propose(now, order, origin)
}

// replyToOrder returns the result of a committed order.
func (l *Loop) replyToOrder(result state.Result) OrderResult {
	switch result := result.(type) {
	case *state.ZoneOrdered:
		return OrderAccepted{Index: l.voter.machine.Index, Warning: l.orderWarning(result.Order)}
	case *state.ZoneOrderRefused:
		return OrderRefused{Detail: fmt.Sprintf("%d availability zones are under evacuation, which is the limit", state.MaxEvacuations)}
	}
	return OrderUnconfirmed{}
}

// orderWarning returns why an accepted evacuation may not have the expected effect. Only the leader knows the servers.
func (l *Loop) orderWarning(order *state.OrderZone) string {
	if !order.Evacuate || l.voter.leader == nil {
		return ""
	}
	var warnings []string
	servers := l.voter.leader.registry.Zones()
	if servers[order.Zone] == 0 {
		warnings = append(warnings, fmt.Sprintf("no server of zone %q is known at present", order.Zone))
	}
	for _, evacuation := range l.voter.machine.Evacuations {
		delete(servers, evacuation.Zone)
	}
	if len(servers) == 0 {
		warnings = append(warnings, "no zone with servers is left")
	}
	return strings.Join(warnings, "; ")
}

// logOrder logs a committed order on each control instance; only the leader knows whether there is a warning.
func (l *Loop) logOrder(index uint64, result state.Result) {
	switch result := result.(type) {
	case *state.ZoneOrdered:
		event := "zone-restored"
		if result.Order.Evacuate {
			event = "zone-evacuated"
		}
		line := l.log.Info().Str("zone", result.Order.Zone).Str("requester", result.Order.Requester).Str("reason", result.Order.Reason).
			Uint64("index", index).Bool("changed", result.Changed)
		if warning := l.orderWarning(result.Order); warning != "" {
			line = line.Str("warning", warning)
		}
		line.Msg(event)
	case *state.ZoneOrderRefused:
		l.log.Warn().Str("zone", result.Order.Zone).Str("requester", result.Order.Requester).Uint64("index", index).Msg("zone-order-refused")
	}
}

// setEvacuations passes the zones under evacuation to the registry, which chooses the servers that daemons know.
func (ls *leaderState) setEvacuations(machine *state.Machine) {
	ls.registry.SetEvacuated(evacuationsByZone(machine.Evacuations))
}

func (ls *leaderState) sendEvacuationsToAll(l *Loop) {
	for _, s := range ls.sessions {
		ls.sendEvacuations(l, s)
	}
}

// sendEvacuations sends a daemon the zones under evacuation. A daemon of an earlier version closes a stream with a
// message that it does not know.
func (ls *leaderState) sendEvacuations(l *Loop, s *session) {
	if s.join.Evacuations {
		machine := l.voter.machine
		l.sendToDaemon(s, &EvacuationList{
			Version: machine.EvacuationVersion, Zones: machine.Evacuations, Group: l.voter.node.Group(),
		})
	}
}

func evacuationsByZone(list []snap.Evacuation) map[string]snap.Evacuation {
	zones := make(map[string]snap.Evacuation, len(list))
	for _, evacuation := range list {
		zones[evacuation.Zone] = evacuation
	}
	return zones
}

// reportZones reports the zones under evacuation, which the leader knows.
func (l *Loop) reportZones(now time.Time, reply chan<- reportResult) {
	if l.voter != nil {
		if _, leading := l.leading(now); leading {
			reply <- encodeReport(zonesReport(l.voter.machine))
			return
		}
	}
	if l.daemon.orderSupport == ordersUnsupported {
		reply <- reportResult{err: errNoEvacuations} // the leader would close the control stream
		return
	}
	l.queryLeader(Query{Kind: QueryZones}, reply)
}

func zonesReport(machine *state.Machine) *admin.Zones {
	report := &admin.Zones{Zones: []admin.Zone{}}
	for _, evacuation := range machine.Evacuations {
		report.Zones = append(report.Zones, admin.Zone{
			Zone: evacuation.Zone, Requester: evacuation.Requester, Reason: evacuation.Reason, Since: evacuation.Since.Time(),
		})
	}
	return report
}

// zonesSection returns the zones under evacuation that this daemon knows of, for a state dump.
func zonesSection(zones *localZones) admin.Section {
	section := admin.Section{Name: "zones", Columns: []string{"zone", "requester", "since", "restored"}}
	names := slices.Collect(maps.Keys(zones.evacuated))
	names = slices.AppendSeq(names, maps.Keys(zones.restored))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		row := []string{name, "", "", ""}
		if evacuation, ok := zones.evacuated[name]; ok {
			row[1], row[2] = evacuation.Requester, evacuation.Since.Time().Format(time.RFC3339)
		}
		if at, ok := zones.restored[name]; ok {
			row[3] = at.UTC().Format(time.RFC3339)
		}
		section.Rows = append(section.Rows, row)
	}
	return section
}
