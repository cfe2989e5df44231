package ctrl

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/internal/super"
)

// openConfig returns the consensus settings of a member whose group finds itself: the control instances
// known at the first start found it, and all others join it.
func openConfig(cfg Options) raft.Config {
	config := raft.Config{Name: cfg.PeerAddress, Open: true, BootstrapMembers: []string{}, Seed: cfg.Boot}
	config.Peers = append(config.Peers, cfg.ControlAddresses...)
	if !slices.Contains(config.Peers, cfg.PeerAddress) {
		config.Peers = append(config.Peers, cfg.PeerAddress)
		config.Extends = cfg.Found
	} else if cfg.Found {
		config.BootstrapMembers = cfg.ControlAddresses
	}
	return config
}

// address returns the peer address of a member.
func (v *voterState) address(name string) string {
	if v.peers == nil {
		return name
	}
	return v.peers[name]
}

// linkTo returns the link to a member; in an open group a new one is made for a new name.
func (l *Loop) linkTo(name string) *raftLink {
	v := l.voter
	if known := v.links[name]; known != nil || !l.cfg.Open {
		return known
	}
	link := newRaftLink(name, name, l)
	select {
	case v.found <- link:
		v.links[name] = link
	default:
		l.log.Warn().Str("peer", name).Msg("raft-link-not-started")
		return nil
	}
	return link
}

// runLinks runs the links of an open group until ctx ends.
func (l *Loop) runLinks(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case link := <-l.voter.found:
			group := &super.Group{Name: "raft-link", Log: l.log, Children: []super.Child{
				{Name: "raft-" + link.name, Run: link.run},
			}}
			running.Go(func() { _ = group.Serve(ctx) }) // ends with ctx only
		}
	}
}

// KnowControls tells the loop the control instances of changed settings.
func (l *Loop) KnowControls(ctx context.Context, addresses []string) bool {
	return l.post(ctx, controlsKnown{addresses: addresses})
}

// learnControls puts newly named control instances before those known earlier.
func (l *Loop) learnControls(now time.Time, addresses []string) {
	if !l.cfg.Open {
		return
	}
	l.setControls(append(slices.Clone(addresses), *l.controls.Load()...))
	if l.voter == nil {
		return
	}
	for _, address := range addresses {
		l.stepRaft(now, raft.PeerFound{Name: address})
	}
}

// setControls stores the addresses without repetitions.
func (l *Loop) setControls(addresses []string) {
	unique := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if !slices.Contains(unique, address) && len(unique) < maxMembers {
			unique = append(unique, address)
		}
	}
	l.controls.Store(&unique)
}

// memberAddresses returns the peer addresses of the voters, this leader's own first.
func (l *Loop) memberAddresses() []string {
	addresses := []string{l.cfg.PeerAddress}
	for _, v := range l.voter.node.Status().Voters {
		if v.Name != l.voter.name {
			addresses = append(addresses, l.voter.address(v.Name))
		}
	}
	return addresses
}
