package quorum

import (
	"clementinelock/core"
)

const (
	// silentElections is the number of elections after which a member that the leader does not hear counts as silent.
	silentElections = 3
	// minHeardVoters is the number of voters that must be heard for one to be removed without a successor.
	minHeardVoters = 3
)

// The size of a group is the number of voters that it is meant to have. It grows when all voters are heard, so that a host that
// joins in place of a lost one doesn't raise it: as long as there are more voters than that, the silent ones among them have
// been replaced.

// appendMembers appends a membership with its size.
func (r *Replica) appendMembers(now core.Millis, next Members, out *core.Effects) {
	r.appendEntry(now, entry{Type: entryMembers, Members: next, Size: r.sizeOf(now, next)}, out)
}

// sizeOf returns the size of the group with the next membership.
func (r *Replica) sizeOf(now core.Millis, next Members) int {
	voters, heard := 0, true
	for _, member := range next {
		if member.Voter {
			voters++
			heard = heard && r.hears(now, member, r.Timing.MinElectionTimeout)
		}
	}
	if r.MaxVoters > 0 {
		voters = min(voters, r.MaxVoters)
	}
	if heard {
		return voters
	}
	return min(r.size, voters)
}

// hears reports whether the member is this leader, or has answered it within the time.
func (r *Replica) hears(now core.Millis, member Member, within core.Millis) bool {
	if member.Name == r.Self && member.Incarnation == r.vote.Incarnation {
		return true
	}
	p := r.peers[memberKey(member)]
	return p != nil && p.answered && now-p.lastContact <= within
}

// silence returns for how long this leader has not heard the member, at most since it leads.
func (r *Replica) silence(now core.Millis, member Member) core.Millis {
	if p := r.peers[memberKey(member)]; p != nil {
		return now - p.lastContact
	}
	return 0
}

func (r *Replica) silentTimeout() core.Millis {
	return silentElections * r.Timing.MaxElectionTimeout
}

// hasRoom reports whether a learner may become a voter: it replaces its host's former incarnation, or there are fewer voters than
// MaxVoters. Silent voters take no room, or hosts could not join in their place.
func (r *Replica) hasRoom(now core.Millis, learner Member) bool {
	if r.MaxVoters == 0 {
		return true
	}
	heard := 0
	for _, member := range r.members.voters() {
		if member.Name == learner.Name {
			return true
		}
		if r.silence(now, member) <= r.silentTimeout() {
			heard++
		}
	}
	return heard < r.MaxVoters
}

// RemoveSilent takes one silent or stopping member out of the group, if this replica leads and the group can do without it. One that
// may be back at once becomes a learner, which votes again as soon as it is heard; a removed host joins again.
func (r *Replica) RemoveSilent(now, lostAfter core.Millis, out *core.Effects) {
	if r.role != Leader || !r.membershipSettled() {
		return
	}
	if member, ok := r.silentLearner(now); ok {
		r.removeMember(now, member, out)
	} else if member, ok := r.spareVoter(now); ok {
		r.demoteVoter(now, member, out)
	} else if member, ok := r.replacedVoter(now); ok {
		r.demoteVoter(now, member, out)
	} else if member, ok := r.lostVoter(now, lostAfter); ok {
		r.removeMember(now, member, out)
	}
}

func (r *Replica) removeMember(now core.Millis, member Member, out *core.Effects) {
	out.Logf("quorum", "Removing member %s, not heard for %s; %d of %d voters.", member.Name, r.silence(now, member), len(r.members.voters()), r.size)
	r.appendMembers(now, r.members.without(member.Name, member.Incarnation), out)
}

func (r *Replica) demoteVoter(now core.Millis, member Member, out *core.Effects) {
	out.Logf("quorum", "Making %s a learner: not heard for %s, stop announced: %t; %d of %d voters.",
		member.Name, r.silence(now, member), r.announcedStop(member), len(r.members.voters()), r.size)
	r.appendMembers(now, r.members.demote(member.Name, member.Incarnation), out)
}

// spareVoter returns a voter that has announced its stop or, in a group of an even number of voters, one that is silent. The group bears no
// fewer losses without it, and one more if the number is even. The others must be heard and stay: all of them, or one more than a majority.
func (r *Replica) spareVoter(now core.Millis) (spare Member, ok bool) {
	voters, staying := r.members.voters(), 0
	for _, member := range voters {
		switch {
		case r.announcedStop(member):
			spare, ok = member, true
		case r.hears(now, member, r.Timing.MinElectionTimeout):
			staying++
		case !ok && len(voters)%2 == 0 && r.silence(now, member) > r.Timing.MaxElectionTimeout:
			spare, ok = member, true
		}
	}
	return spare, ok && staying >= minHeardVoters && (staying == len(voters)-1 || staying > r.members.majority())
}

// silentLearner returns a learner that is silent. It has no vote, and joins again if it comes back.
func (r *Replica) silentLearner(now core.Millis) (Member, bool) {
	for _, member := range r.members {
		if !member.Voter && r.silence(now, member) > r.silentTimeout() {
			return member, true
		}
	}
	return Member{}, false
}

// replacedVoter returns the longest silent voter if there are more voters than the group is meant to have: a host has joined in
// place of a silent one.
func (r *Replica) replacedVoter(now core.Millis) (replaced Member, ok bool) {
	longest := r.Timing.MaxElectionTimeout
	voters := r.members.voters()
	if len(voters) <= r.size {
		return Member{}, false
	}
	for _, member := range voters {
		if silence := r.silence(now, member); silence > longest {
			replaced, longest, ok = member, silence, true
		}
	}
	return replaced, ok
}

// lostVoter returns a voter that nobody has replaced and that was silent or stored nothing for lostAfter, or has announced its stop, if
// the group can spare it: all others are heard, or one more than a majority.
func (r *Replica) lostVoter(now, lostAfter core.Millis) (lost Member, ok bool) {
	voters, heard := r.members.voters(), 0
	for _, member := range voters {
		silence := r.silence(now, member)
		if p := r.peers[memberKey(member)]; p != nil {
			silence = max(silence, now-p.storedAt)
		}
		if silence <= lostAfter && r.hears(now, member, r.Timing.MaxElectionTimeout) {
			heard++
		}
		if silence > lostAfter || silence > r.silentTimeout() && r.announcedStop(member) {
			lost, ok = member, true
		}
	}
	return lost, ok && heard >= minHeardVoters && (heard == len(voters)-1 || heard > r.members.majority())
}

// announcedStop reports whether the member has announced a stop, and has not answered from a later start.
func (r *Replica) announcedStop(member Member) bool {
	nonce, announced := r.stopping[member.Name]
	p := r.peers[memberKey(member)]
	return announced && (p == nil || !p.answered || p.nonce == nonce)
}
