package quorum

import (
	"slices"

	"clementinelock/core"
)

// Status is the replica's state for dumps and operators.
type Status struct {
	Role        Role
	Term        uint64
	Leader      string
	Commit      uint64
	Applied     uint64
	LastIndex   uint64
	Incarnation uint64
	Joined      bool
	Fenced      bool
	Members     []MemberStatus
	// Size is the number of voters that the group is meant to have.
	Size int
}

// MemberStatus is one member with its replication progress, as the leader knows it; HeardAgo is -1 if this replica has
// no progress of the member.
type MemberStatus struct {
	Member
	Match     uint64
	HeardAgo  core.Millis
	Reachable bool
}

// LeaderName returns the name of the leader that this replica knows, or the empty string.
func (r *Replica) LeaderName() string {
	return r.leader
}

// IsLeader reports whether this replica believes that it leads.
func (r *Replica) IsLeader() bool {
	return r.role == Leader
}

// Durable reports whether everything that this replica has applied is on its disk.
func (r *Replica) Durable() bool {
	return r.syncedSeq == r.writeSeq
}

// Fenced reports whether this replica's disk was found older than what it has acknowledged; it must be emptied
// before a restart.
func (r *Replica) Fenced() bool {
	return r.fenced
}

// Applied returns the index of the last record that the state machine has applied.
func (r *Replica) Applied() uint64 {
	return r.applied
}

// SinceLeaderContact returns the time since a leader was last heard from: 0 at the leader, core.Never if none is
// known.
func (r *Replica) SinceLeaderContact(now core.Millis) core.Millis {
	if r.role == Leader {
		return 0
	}
	if r.leader == "" {
		return core.Never
	}
	return now - r.leaderContactAt
}

// SinceMajorityContact returns, at the leader, the time since it last heard from a majority of the voters, itself among them,
// and core.Never if it has not.
func (r *Replica) SinceMajorityContact(now core.Millis) core.Millis {
	var ages []core.Millis
	voters := 0
	for _, member := range r.members {
		if !member.Voter {
			continue
		}
		voters++
		if status := r.memberStatus(now, member); status.HeardAgo >= 0 {
			ages = append(ages, status.HeardAgo)
		}
	}
	needed := voters/2 + 1
	if voters == 0 || len(ages) < needed {
		return core.Never
	}
	slices.Sort(ages)
	return ages[needed-1]
}

// Term returns the current term.
func (r *Replica) Term() uint64 {
	return r.vote.Term
}

// Report returns the status of the replica.
func (r *Replica) Report(now core.Millis) Status {
	s := Status{
		Role: r.role, Term: r.vote.Term, Leader: r.leader, Commit: r.commit, Applied: r.applied,
		LastIndex: r.log.lastIndex(), Incarnation: r.vote.Incarnation, Joined: r.joined, Fenced: r.fenced, Size: r.size,
	}
	for _, member := range r.members {
		s.Members = append(s.Members, r.memberStatus(now, member))
	}
	return s
}

func (r *Replica) memberStatus(now core.Millis, member Member) MemberStatus {
	if member.Name == r.Self && member.Incarnation == r.vote.Incarnation {
		return MemberStatus{Member: member, Match: r.synced, Reachable: true}
	}
	p := r.peers[memberKey(member)]
	if p == nil {
		return MemberStatus{Member: member, HeardAgo: -1}
	}
	ago := now - p.lastContact
	return MemberStatus{Member: member, Match: p.match, HeardAgo: ago, Reachable: ago < r.Timing.MaxElectionTimeout}
}

// Members returns the membership that this replica knows.
func (r *Replica) Members() Members {
	return r.members
}
