package quorum

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"clementinelock/core"
)

func memberKey(m Member) string {
	return m.Name + "#" + strconv.FormatUint(m.Incarnation, 10)
}

func (r *Replica) isVoter() bool {
	me, ok := r.members.findIncarnation(r.Self, r.vote.Incarnation)
	return ok && me.Voter
}

// campaign starts an election. With pre it only asks whether votes would be granted and leaves the term unchanged.
func (r *Replica) campaign(now core.Millis, pre bool, out *core.Effects) {
	// A failed campaign is retried after a short random delay, which makes another split vote unlikely.
	r.electionAt = now + minCampaignDelay + core.Millis(r.Rand.Int64N(int64(maxCampaignDelay-minCampaignDelay)))
	if !r.isVoter() {
		return
	}
	// Without pre the votes before were won, or a leader hands over.
	if pre {
		r.logLostElection(now, out)
	}
	r.leader = ""
	r.granted = map[string]bool{r.Self: true}
	ask := VoteRequest{Pre: pre, LastIndex: r.log.lastIndex(), LastTerm: r.log.lastTerm(), Transfer: r.transfer}
	if pre {
		r.role = PreCandidate
	} else {
		r.role = Candidate
		r.vote.Term++
		r.vote.For = r.Self
		r.write(core.Write{Vote: r.voteCopy()}, out)
	}
	for _, member := range r.members.voters() {
		if member.Name == r.Self {
			continue
		}
		ask.Header = r.header(member.Name)
		if pre {
			ask.Term++
		}
		message := ask
		r.sendSynced(member.Name, &message, out)
	}
	r.countVotes(now, out)
}

// logLostElection logs an election that this replica has not won, at an interval, with what tells a group that has lost its
// majority from one that counts hosts which are gone.
func (r *Replica) logLostElection(now core.Millis, out *core.Effects) {
	if r.role != PreCandidate && r.role != Candidate || now < r.lostElectionLogAt {
		return
	}
	r.lostElectionLogAt = now + stateLogInterval
	out.Logf("quorum", "Election as %s after term %d not won: votes of %v, %d needed; %s.", r.role, r.vote.Term, slices.Sorted(maps.Keys(r.granted)), r.members.majority(), r.describeGroup())
}

// describeGroup describes the membership that this replica knows for a log line.
func (r *Replica) describeGroup() string {
	var voters, learners []string
	for _, member := range r.members {
		if member.Voter {
			voters = append(voters, memberKey(member))
		} else {
			learners = append(learners, memberKey(member))
		}
	}
	return fmt.Sprintf("voters %v, size %d, learners %v", voters, r.size, learners)
}

func (r *Replica) onVoteRequest(now core.Millis, from string, m *VoteRequest, out *core.Effects) {
	if r.leaderIsLive(now) && !m.Transfer {
		return
	}
	if m.Term > r.vote.Term && !m.Pre {
		r.stepDown(now, m.Term, "", out)
	}
	current := m.LastTerm > r.log.lastTerm() || m.LastTerm == r.log.lastTerm() && m.LastIndex >= r.log.lastIndex()
	free := r.vote.For == "" || r.vote.For == from
	grant := r.joined && current && m.Term >= r.minVoteTerm && (m.Pre && m.Term > r.vote.Term || m.Term == r.vote.Term && free)
	if grant && !m.Pre {
		r.vote.For = from
		r.resetElectionTimer(now)
		r.write(core.Write{Vote: r.voteCopy()}, out)
	}
	answer := &VoteResponse{Header: r.header(from), Pre: m.Pre, Granted: grant}
	answer.ToIncarnation = m.Incarnation
	if grant {
		answer.Term = m.Term
	}
	r.sendSynced(from, answer, out)
}

// leaderIsLive reports whether a leader was heard from within the minimum election timeout. Votes are refused in
// that time, so that a replica that was partitioned can't depose a working leader.
func (r *Replica) leaderIsLive(now core.Millis) bool {
	if r.role == Leader {
		return true
	}
	return r.leader != "" && now-r.leaderContactAt < r.Timing.MinElectionTimeout
}

func (r *Replica) onVoteResponse(now core.Millis, from string, m *VoteResponse, out *core.Effects) {
	if !m.Granted {
		if m.Term > r.vote.Term {
			r.stepDown(now, m.Term, "", out)
		}
		return
	}
	fits := r.role == PreCandidate && m.Pre && m.Term == r.vote.Term+1 || r.role == Candidate && !m.Pre && m.Term == r.vote.Term
	if !fits {
		return
	}
	r.granted[from] = true
	r.countVotes(now, out)
}

func (r *Replica) countVotes(now core.Millis, out *core.Effects) {
	votes := 0
	for _, member := range r.members.voters() {
		if r.granted[member.Name] {
			votes++
		}
	}
	if votes < r.members.majority() {
		return
	}
	if r.role == PreCandidate {
		r.campaign(now, false, out)
		return
	}
	r.becomeLeader(now, out)
}

func (r *Replica) becomeLeader(now core.Millis, out *core.Effects) {
	r.role = Leader
	r.leader = r.Self
	r.transfer = false
	r.peers = map[string]*progress{}
	r.reads = nil
	r.heartbeatAt = now
	r.storedAt = now
	r.updatePeers(now)
	r.appendEntry(now, entry{Type: entryNoOp}, out)
	out.Logf("quorum", "Became leader in term %d.", r.vote.Term)
	out.Logf("quorum", "Elected by %v; %s.", slices.Sorted(maps.Keys(r.granted)), r.describeGroup())
}

// updatePeers adds a progress for each new member and drops those of former members.
func (r *Replica) updatePeers(now core.Millis) {
	next := map[string]*progress{}
	for _, member := range r.members {
		key := memberKey(member)
		if member.Name == r.Self && member.Incarnation == r.vote.Incarnation {
			continue
		}
		p := r.peers[key]
		if p == nil {
			p = &progress{next: r.log.lastIndex() + 1, lastContact: now, lastProgress: now, storedAt: now}
		}
		next[key] = p
	}
	r.peers = next
}

// stepDown makes the replica a follower in the term; leader is empty if it is not known.
func (r *Replica) stepDown(now core.Millis, term uint64, leader string, out *core.Effects) {
	wasLeader := r.role == Leader
	r.role = Follower
	r.leader = leader
	r.transfer = false
	if term > r.vote.Term {
		r.vote.Term = term
		r.vote.For = ""
		r.write(core.Write{Vote: r.voteCopy()}, out)
	}
	if !wasLeader {
		return
	}
	r.resetElectionTimer(now)
	r.failReads(now, out)
	out.Logf("quorum", "Stepped down as leader; the current term is %d.", r.vote.Term)
}

func (r *Replica) onTimeoutNow(now core.Millis, _ string, m *TimeoutNow, out *core.Effects) {
	if m.Term != r.vote.Term || r.role == Leader || !r.joined {
		return
	}
	r.transfer = true
	r.campaign(now, false, out)
}

// Transfer asks a voter that has the whole log to take over leadership, before a planned stop. It returns false if
// no voter has caught up, and true if this replica does not lead.
func (r *Replica) Transfer(now core.Millis, out *core.Effects) bool {
	if r.role != Leader {
		return true
	}
	for _, member := range r.members.voters() {
		p := r.peers[memberKey(member)]
		if p == nil || p.match != r.log.lastIndex() || now-p.lastContact > r.Timing.MinElectionTimeout {
			continue
		}
		out.Send(member.Name, &TimeoutNow{Header: r.header(member.Name)})
		return true
	}
	return false
}
