package raft

import (
	"maps"
	"slices"
	"time"
)

// resetElection starts the election timer with a new random timeout.
func (n *Node) resetElection() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionMin + time.Duration(n.random.Int64N(int64(n.cfg.ElectionMax-n.cfg.ElectionMin)+1))
}

// becomeFollower makes this member a follower in term; leader is empty if it is unknown.
func (n *Node) becomeFollower(term uint64, leader Voter) {
	n.stepDown()
	if term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, ""
		n.writes.hardStateDirty = true
		n.verified, n.leaderSentAt, n.incomingSnapshot = 0, -1, nil
	}
	n.role, n.leader, n.votes = Follower, leader, nil
	if leader.Disk != "" {
		n.sinceLeaderContact = 0
		n.resetElection()
	}
}

// stepDown ends a leadership; the outcome of uncommitted proposals is unknown.
func (n *Node) stepDown() {
	if n.role != Leader {
		return
	}
	lead := n.leaderState
	n.leaderState, n.role, n.leader = nil, Follower, Voter{}
	n.verified, n.leaderSentAt = 0, -1
	n.resetElection()
	for _, index := range slices.Sorted(maps.Keys(lead.proposalIDs)) {
		n.actions = append(n.actions, Dropped{ID: lead.proposalIDs[index], Reason: DroppedUnknown})
	}
	if lead.ready {
		n.actions = append(n.actions, SteppedDown{Term: n.hardState.Term})
	}
}

// preCampaign requests pre-votes. They change no durable state, so that a member that was disconnected does
// not interrupt the leader with a higher term.
func (n *Node) preCampaign() {
	n.role, n.leader, n.votes = PreCandidate, Voter{}, map[string]bool{n.self.Disk: true}
	n.resetElection()
	n.requestVotes(true, n.hardState.Term+1)
}

func (n *Node) campaign() {
	n.role, n.leader, n.votes = Candidate, Voter{}, map[string]bool{}
	n.hardState.Term++
	n.hardState.Vote = n.self.Disk
	n.writes.hardStateDirty = true
	n.verified, n.leaderSentAt, n.incomingSnapshot = 0, -1, nil
	n.resetElection()
	n.requestVotes(false, n.hardState.Term)
}

func (n *Node) requestVotes(preVote bool, term uint64) {
	membership := *n.membership()
	for _, v := range membership.Voters {
		if v == n.self {
			continue
		}
		m := &VoteRequest{
			Header: n.newHeader(v), PreVote: preVote, LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm(), Membership: &membership,
		}
		m.Header.Term = term
		n.sendAfterWrites(v, m)
	}
}

func (n *Node) onVoteRequest(m *VoteRequest) {
	// The candidate's membership applies, because this member may lack an entry that added it or replaced
	// another member. A candidate with an older membership lacks entries too and is denied below.
	if !n.mayVoteIn(m.Membership) {
		return
	}
	term := m.Header.Term
	upToDate := m.LastTerm > n.log.lastTerm() || (m.LastTerm == n.log.lastTerm() && m.LastIndex >= n.log.lastIndex())
	// A member that received a message of a leader grants it the lease, and votes for no other member until
	// the lease has ended.
	leaseExpired := n.role != Leader && n.sinceLeaderContact >= n.cfg.ElectionMin
	reply := &VoteReply{PreVote: m.PreVote, RequestedTerm: term}
	if m.PreVote {
		reply.Granted = term > n.hardState.Term && leaseExpired && upToDate
	} else {
		if term > n.hardState.Term {
			if !leaseExpired {
				return
			}
			n.becomeFollower(term, Voter{})
		}
		if term == n.hardState.Term && leaseExpired && upToDate && (n.hardState.Vote == "" || n.hardState.Vote == m.Header.From.Disk) {
			reply.Granted = true
			n.hardState.Vote = m.Header.From.Disk
			n.writes.hardStateDirty = true
			n.resetElection()
		}
	}
	reply.Header = n.newHeader(m.Header.From)
	n.sendAfterWrites(m.Header.From, reply)
}

func (n *Node) onVoteReply(m *VoteReply) {
	if m.Header.Term > n.hardState.Term {
		n.becomeFollower(m.Header.Term, Voter{})
		return
	}
	if !m.Granted {
		return
	}
	switch {
	case m.PreVote && n.role == PreCandidate && m.RequestedTerm == n.hardState.Term+1:
		n.votes[m.Header.From.Disk] = true
		if n.hasMajority() {
			n.campaign()
		}
	case !m.PreVote && n.role == Candidate && m.RequestedTerm == n.hardState.Term:
		n.votes[m.Header.From.Disk] = true
		if n.hasMajority() {
			n.becomeLeader()
		}
	}
}

// countOwnVote counts this member's own vote once it is synced.
func (n *Node) countOwnVote() {
	if n.writes.hardStateDirty || n.writes.syncedSeq < n.writes.hardStateSeq {
		return
	}
	n.votes[n.self.Disk] = true
	if n.hasMajority() {
		n.becomeLeader()
	}
}

func (n *Node) hasMajority() bool {
	return n.membership().majority(func(v Voter) bool { return n.votes[v.Disk] })
}
