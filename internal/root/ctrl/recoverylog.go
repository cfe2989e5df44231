package ctrl

import (
	"fmt"
	"slices"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/state"
)

// logRecovered logs what a start has found on the disk. The revision follows with snapshot-restored and
// revision-committed, because only a leader knows which of the entries are committed.
func (l *Loop) logRecovered(r *raft.RecoveredState) {
	line := l.log.Info().Str("disk", r.Disk).Uint64("boot", r.Boot).Uint64("term", r.HardState.Term).Int("entries", len(r.Entries))
	lastIndex, lastTerm := uint64(0), uint64(0)
	if s := r.Snapshot; s != nil {
		lastIndex, lastTerm = s.Index, s.Term
		line = line.Uint64("snapshot", s.Index)
	}
	if count := len(r.Entries); count > 0 {
		lastIndex, lastTerm = r.Entries[count-1].Index, r.Entries[count-1].Term
	}
	line.Uint64("last", lastIndex).Uint64("last-term", lastTerm).Bool("refused", r.HardState.Fenced).Strs("repairs", r.Repairs).Msg("storage-recovered")
}

// logMembership logs the voters after each change. Only the leader that made the change knows the reason.
func (l *Loop) logMembership() {
	v := l.voter
	if v.node.MembershipIndex() == v.membershipIndex {
		return
	}
	status := v.node.Status()
	v.membershipIndex = v.node.MembershipIndex()
	names := make([]string, 0, len(status.Voters))
	for _, voter := range status.Voters {
		names = append(names, voter.Name)
	}
	line := l.log.Info().Uint64("index", v.membershipIndex).Strs("voters", names).Strs("before", v.voterNames).
		Uint64("term", status.Term).Str("leader", status.Leader)
	if status.Role == raft.Leader && v.changeReason.Index == v.membershipIndex {
		line = line.Str("reason", v.changeReason.Reason)
	}
	line.Msg("voters-changed")
	v.voterNames = names
}

// logRefusedPeer logs why this member has refused another one, which repeats its Hello until it receives the refusal.
func (l *Loop) logRefusedPeer(refused raft.RefusedPeer) {
	if refused == l.voter.refusedPeer {
		return
	}
	l.voter.refusedPeer = refused
	l.log.Warn().Str("peer", refused.Peer.Name).Str("disk", refused.Peer.Disk).Uint64("boot", refused.Boot).
		Str("reason", refused.Reason).Msg("peer-refused")
}

// logAcknowledged logs on which disks a change of an operator is when it is acknowledged.
func (l *Loop) logAcknowledged(entry raft.Committed, origin proposer, result state.Result) {
	change := ""
	switch result := result.(type) {
	case *state.ConfigAccepted:
		change = fmt.Sprintf("revision %d", result.Revision.Number)
	case *state.ZoneOrdered:
		change = "evacuation of " + result.Order.Zone
		if !result.Order.Evacuate {
			change = "end of the " + change
		}
	}
	if _, ok := origin.(leaderProposer); ok || change == "" {
		return
	}
	node := l.voter.node
	status := node.Status()
	voters := make([]string, 0, len(status.Voters))
	for _, voter := range status.Voters {
		voters = append(voters, voter.Name)
	}
	synced := node.SyncedBy(entry.Index)
	slices.Sort(synced)
	l.log.Info().Str("change", change).Uint64("revision", l.voter.revision()).Uint64("index", entry.Index).Uint64("term", entry.Term).Strs("voters", voters).Strs("synced", synced).Msg("change-acknowledged")
}
