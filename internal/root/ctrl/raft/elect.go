package raft

import (
	"maps"
	"slices"
	"time"
)

// resetElection starts the election timer with a new random timeout.
func (n *Node) resetElection() {
	n.elapsed = 0
	n.timeout = n.cfg.ElectionMin + time.Duration(n.random.Int64N(int64(n.cfg.ElectionMax-n.cfg.ElectionMin)+1))
}

// follow makes this member a follower in term, of leader if it is known.
func (n *Node) follow(term uint64, leader Voter) {
	n.stepDown()
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, ""
		n.writes.hardDirty = true
		n.verified, n.sent, n.incoming = 0, -1, nil
	}
	n.role, n.leader, n.votes = Follower, leader, nil
	if leader.Disk != "" {
		n.quiet = 0
		n.resetElection()
	}
}

// stepDown ends a leadership; the outcome of open proposals stays unknown.
func (n *Node) stepDown() {
	if n.role != Leader {
		return
	}
	lead := n.lead
	n.lead, n.role, n.leader = nil, Follower, Voter{}
	n.verified, n.sent = 0, -1
	n.resetElection()
	for _, index := range slices.Sorted(maps.Keys(lead.proposals)) {
		n.out = append(n.out, Dropped{ID: lead.proposals[index], Reason: DroppedUnknown})
	}
	if lead.ready {
		n.out = append(n.out, SteppedDown{Term: n.hard.Term})
	}
}

// preCampaign asks whether an election could be won; it changes no durable state, so a member that was
// cut off does not disturb the group with a higher term.
func (n *Node) preCampaign() {
	n.role, n.leader, n.votes = PreCandidate, Voter{}, map[string]bool{n.self.Disk: true}
	n.resetElection()
	n.requestVotes(true, n.hard.Term+1)
}

func (n *Node) campaign() {
	n.role, n.leader, n.votes = Candidate, Voter{}, map[string]bool{}
	n.hard.Term++
	n.hard.Vote = n.self.Disk
	n.writes.hardDirty = true
	n.verified, n.sent, n.incoming = 0, -1, nil
	n.resetElection()
	n.requestVotes(false, n.hard.Term)
}

func (n *Node) requestVotes(pre bool, term uint64) {
	membership := *n.membership()
	for _, v := range membership.Voters {
		if v == n.self {
			continue
		}
		m := &VoteRequest{
			Header: n.header(v), Pre: pre, LastIndex: n.log.last(), LastTerm: n.log.lastTerm(), Membership: &membership,
		}
		m.Header.Term = term
		n.sendHeld(v, m)
	}
}

func (n *Node) onVoteRequest(m *VoteRequest) {
	// The candidate's membership counts: this member may have been added, or another replaced, by an entry
	// that it lacks. A candidate whose membership is older lacks entries too and gets no vote.
	if !n.isAdmittedTo(m.Membership) {
		return
	}
	term := m.Header.Term
	current := m.LastTerm > n.log.lastTerm() || (m.LastTerm == n.log.lastTerm() && m.LastIndex >= n.log.last())
	// A member that heard from a leader has given it the lease and votes for no other until it has ended.
	free := n.role != Leader && n.quiet >= n.cfg.ElectionMin
	reply := &VoteReply{Pre: m.Pre, For: term}
	if m.Pre {
		reply.Granted = term > n.hard.Term && free && current
	} else {
		if term > n.hard.Term {
			if !free {
				return
			}
			n.follow(term, Voter{})
		}
		if term == n.hard.Term && free && current && (n.hard.Vote == "" || n.hard.Vote == m.Header.From.Disk) {
			reply.Granted = true
			n.hard.Vote = m.Header.From.Disk
			n.writes.hardDirty = true
			n.resetElection()
		}
	}
	reply.Header = n.header(m.Header.From)
	n.sendHeld(m.Header.From, reply)
}

func (n *Node) onVoteReply(m *VoteReply) {
	if m.Header.Term > n.hard.Term {
		n.follow(m.Header.Term, Voter{})
		return
	}
	if !m.Granted {
		return
	}
	switch {
	case m.Pre && n.role == PreCandidate && m.For == n.hard.Term+1:
		n.votes[m.Header.From.Disk] = true
		if n.hasVotes() {
			n.campaign()
		}
	case !m.Pre && n.role == Candidate && m.For == n.hard.Term:
		n.votes[m.Header.From.Disk] = true
		if n.hasVotes() {
			n.becomeLeader()
		}
	}
}

// countOwnVote counts this member's own vote once it is synced.
func (n *Node) countOwnVote() {
	if n.writes.hardDirty || n.writes.synced < n.writes.hardSeq {
		return
	}
	n.votes[n.self.Disk] = true
	if n.hasVotes() {
		n.becomeLeader()
	}
}

func (n *Node) hasVotes() bool {
	return n.membership().majority(func(v Voter) bool { return n.votes[v.Disk] })
}
