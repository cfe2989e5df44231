package ctrl

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
)

// leaveTimeout bounds how long a stop waits for the consensus group to remove this member. It covers an election.
const leaveTimeout = 1500 * time.Millisecond

// dynamicRaftConfig returns the consensus settings of a member under dynamic membership: the control instances
// in ControlAddresses bootstrap the group, and all others join it.
func dynamicRaftConfig(cfg Options) raft.Config {
	config := raft.Config{Name: cfg.PeerAddress, Open: true, BootstrapMembers: []string{}, Seed: cfg.Boot}
	config.Peers = append(config.Peers, cfg.ControlAddresses...)
	if !slices.Contains(config.Peers, cfg.PeerAddress) {
		config.Peers = append(config.Peers, cfg.PeerAddress)
		config.Extends = cfg.Bootstrap
	} else if cfg.Bootstrap {
		config.BootstrapMembers = cfg.ControlAddresses
	}
	return config
}

// address returns the peer address of a member.
func (v *voterState) address(name string) string {
	if v.peerAddresses == nil {
		return name
	}
	return v.peerAddresses[name]
}

// raftLinkTo returns the link to a member; under dynamic membership it creates one for a new name.
func (l *Loop) raftLinkTo(name string) *raftLink {
	v := l.voter
	if existing := v.links[name]; existing != nil || !l.cfg.DynamicMembership {
		return existing
	}
	link := newRaftLink(name, name, l)
	select {
	case v.newLinks <- link:
		v.links[name] = link
	default:
		l.log.Warn().Str("peer", name).Msg("raft-link-not-started")
		return nil
	}
	return link
}

// runNewLinks runs the links that raftLinkTo creates until ctx ends.
func (l *Loop) runNewLinks(ctx context.Context) error {
	var links sync.WaitGroup
	defer links.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case link := <-l.voter.newLinks:
			group := &super.Group{Name: "raft-link", Log: l.log, Children: []super.Child{
				{Name: "raft-" + link.name, Run: link.run},
			}}
			links.Go(func() { _ = group.Serve(ctx) }) // Serve returns only when ctx ends
		}
	}
}

// AddControlAddresses passes the control instances of changed settings to the loop.
func (l *Loop) AddControlAddresses(ctx context.Context, addresses []string) bool {
	return l.post(ctx, controlAddressesAdded{addresses: addresses})
}

// addControlAddresses puts the addresses before the existing ones.
func (l *Loop) addControlAddresses(now time.Time, addresses []string) {
	if !l.cfg.DynamicMembership {
		return
	}
	l.setControlAddresses(append(slices.Clone(addresses), *l.controlAddresses.Load()...))
	if l.voter == nil {
		return
	}
	for _, address := range addresses {
		l.stepRaft(now, raft.PeerFound{Name: address})
	}
}

// setControlAddresses stores the addresses without duplicates, at most maxMembers.
func (l *Loop) setControlAddresses(addresses []string) {
	unique := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if !slices.Contains(unique, address) && len(unique) < maxMembers {
			unique = append(unique, address)
		}
	}
	l.controlAddresses.Store(&unique)
}

// RunLeave waits until ctx ends, which is when the daemon stops, and then lets the consensus group remove this
// member if the group has a spare voter. Otherwise a stopped member would count as a lost voter until the leader
// notices, although another one has already taken its place.
func (l *Loop) RunLeave(ctx context.Context) error {
	<-ctx.Done()
	waiting, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	reply := make(chan struct{}, 1)
	if _, err := await(waiting, l, stopRequested{reply: reply}, reply); err != nil {
		l.log.Warn().Err(err).Msg("consensus-group-not-left")
	}
	return nil
}

// memberAddresses returns the peer addresses of the voters, starting with this leader.
func (l *Loop) memberAddresses() []string {
	addresses := []string{l.cfg.PeerAddress}
	for _, v := range l.voter.node.Status().Voters {
		if v.Name != l.voter.name {
			addresses = append(addresses, l.voter.address(v.Name))
		}
	}
	return addresses
}
