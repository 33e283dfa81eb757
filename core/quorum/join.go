package quorum

import (
	"maps"
	"slices"

	"clementinelock/core"
)

// pendingJoin is a host whose current incarnation is not a member yet.
type pendingJoin struct {
	incarnation uint64
	lastContact core.Millis
}

// sendHello announces this replica at an interval: one that has started, until a majority has confirmed that its disk holds all that
// it has acknowledged, and one that may have been removed.
func (r *Replica) sendHello(now, interval core.Millis, out *core.Effects) {
	if now < r.helloAt {
		return
	}
	r.helloAt = now + interval
	r.announce(false, out)
}

// Stop announces a planned stop, so that this replica is removed sooner if it doesn't come back.
func (r *Replica) Stop(out *core.Effects) {
	r.announce(true, out)
}

func (r *Replica) announce(stopping bool, out *core.Effects) {
	for _, name := range r.helloTargets() {
		message := &Hello{Boot: r.vote.Boot, Nonce: r.nonce, LastIndex: r.startIndex, LastTerm: r.startTerm, Stopping: stopping}
		message.Header = r.header(name)
		message.ToIncarnation = 0
		r.sendSynced(name, message, out)
	}
}

// helloTargets lists the members, the other control hosts and the leader that one of them named, without this one.
func (r *Replica) helloTargets() []string {
	var names []string
	for _, member := range r.members {
		names = append(names, member.Name)
	}
	if r.OtherHosts != nil {
		names = append(names, r.OtherHosts()...)
	}
	if r.toldLeader != "" {
		names = append(names, r.toldLeader)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == r.Self })
}

func (r *Replica) onHello(now core.Millis, from string, m *Hello, out *core.Effects) {
	_, isMember := r.members.findIncarnation(from, m.Incarnation)
	boot := r.boots[from]
	answer := &HelloResponse{Header: r.header(from), Boot: m.Boot, Leader: r.leader}
	answer.ToIncarnation = m.Incarnation
	answer.Fenced = boot.supersedes(m)
	if r.role == Leader {
		p := r.peers[memberKey(Member{Name: from, Incarnation: m.Incarnation})]
		older := p != nil && p.matchBeforeStart(m.Nonce) > m.LastIndex
		if older && m.Term > r.vote.Term {
			// The replica has seen a later term, in which records that it had acknowledged to this leader may have been replaced.
			// This leader can neither confirm its disk nor fence it.
			return
		}
		answer.Fenced = answer.Fenced || older
		r.recordBoot(now, from, m, isMember && !answer.Fenced, out)
	}
	switch {
	case m.Stopping && isMember:
		r.stopping[from] = m.Nonce
	case r.stopping[from] != m.Nonce:
		delete(r.stopping, from)
	}
	if _, known := r.members.find(from); !isMember && !m.Stopping && r.role == Leader && (known || r.joinAllowed[from]) {
		r.pendingJoins[from] = pendingJoin{m.Incarnation, now}
	}
	r.sendSynced(from, answer, out)
}

// matchBeforeStart returns the index up to which earlier starts of the follower have acknowledged records to this
// leader.
func (p *progress) matchBeforeStart(nonce uint64) uint64 {
	if p.nonce == nonce {
		return p.priorMatch
	}
	return p.match
}

// resetForStart resets the match index when the follower has restarted, since its disk may be older.
func (p *progress) resetForStart(boot, nonce uint64) {
	if p.nonce == nonce {
		return
	}
	p.priorMatch = max(p.priorMatch, p.match)
	p.boot, p.nonce, p.match = boot, nonce, 0
}

// supersedes reports whether a Hello comes from an older copy of the disk than the recorded start did.
func (b bootRecord) supersedes(m *Hello) bool {
	if b.Incarnation != m.Incarnation {
		return false
	}
	return b.Boot > m.Boot || b.Boot == m.Boot && b.Nonce != m.Nonce
}

// recordBoot appends a boot record for a member's start unless the log already holds it.
func (r *Replica) recordBoot(now core.Millis, from string, m *Hello, isMember bool, out *core.Effects) {
	boot := bootRecord{from, m.Incarnation, m.Boot, m.Nonce}
	if !isMember || r.boots[from] == boot {
		return
	}
	for _, record := range r.log.records[r.applied-r.log.snapshot.Index:] {
		if e := decodeEntry(record.Data); e.Type == entryBoot && e.Boot == boot {
			return
		}
	}
	r.appendEntry(now, entry{Type: entryBoot, Boot: boot}, out)
}

func (r *Replica) onHelloResponse(now core.Millis, from string, m *HelloResponse, out *core.Effects) {
	if m.ToIncarnation != r.vote.Incarnation || m.Boot != r.vote.Boot {
		return
	}
	if m.Leader != "" {
		r.toldLeader = m.Leader
	}
	if r.joined {
		return
	}
	if m.Fenced {
		r.fenced = true
		out.Logf("quorum", "Fenced: the disk is older than what this replica has acknowledged; incarnation %d, boot %d, last index %d at the start, told by %s.", r.vote.Incarnation, r.vote.Boot, r.startIndex, from)
		return
	}
	if _, ok := r.members.findIncarnation(from, m.Incarnation); !ok {
		return
	}
	if m.Term > r.vote.Term {
		r.stepDown(now, m.Term, r.leader, out)
	}
	r.minVoteTerm = max(r.minVoteTerm, m.Term+1)
	r.joinVotes[from] = true
	r.checkJoined(now)
}

// checkJoined lets the replica take part once it is a voter and a majority, including itself, has confirmed its
// disk. A new incarnation needs no confirmation, since it has acknowledged nothing before.
func (r *Replica) checkJoined(now core.Millis) {
	if r.joined || !r.isVoter() {
		return
	}
	if !r.newIncarnation && len(r.joinVotes)+1 < r.members.majority() {
		return
	}
	r.joined = true
	r.resetElectionTimer(now)
}

// logNotJoined logs, at an interval, that this replica may not vote yet and who has answered it.
func (r *Replica) logNotJoined(now core.Millis, out *core.Effects) {
	if now < r.notJoinedLogAt {
		return
	}
	r.notJoinedLogAt = now + stateLogInterval
	out.Logf("quorum", "Not a voter yet: incarnation %d, confirmed by %v, %d needed, leader named %q; %s.",
		r.vote.Incarnation, slices.Sorted(maps.Keys(r.joinVotes)), r.members.majority(), r.toldLeader, r.describeGroup())
}

// membershipSettled reports whether the membership may change: the previous change and a record of the leader's own term are
// committed.
func (r *Replica) membershipSettled() bool {
	return r.membersIndex <= r.commit && r.log.termAt(r.commit) == r.vote.Term
}

// updateMembership makes one change: it promotes a caught-up learner to a voter, if there is room, in place of its host's former
// incarnation, or else adds the joining hosts as learners, or else raises the size of a group that has grown, or else makes a voter
// a learner in whose place another one spreads the voters better.
func (r *Replica) updateMembership(now core.Millis, out *core.Effects) {
	if !r.membershipSettled() {
		return
	}
	if member, ok := r.nextVoter(now); ok {
		r.appendMembers(now, r.members.promote(member.Name, member.Incarnation), out)
		out.Logf("quorum", "Promoting %s to voter.", member.Name)
		return
	}
	if r.addLearners(now, out) {
		return
	}
	if size := r.sizeOf(now, r.members); size > r.size {
		r.appendMembers(now, r.members, out)
		out.Logf("quorum", "The group has %d voters from now on.", size)
		return
	}
	if member, ok := r.crowdedVoter(now); ok {
		r.appendMembers(now, r.members.demote(member.Name, member.Incarnation), out)
		out.Logf("quorum", "Making %s a learner, since its region or availability zone has more voters than others.", member.Name)
	}
}

// addLearners adds a host that has announced itself, or all of them if there is no room for more voters, and reports whether there is
// any. Learners don't vote, so that any number of them may be added in one change.
func (r *Replica) addLearners(now core.Millis, out *core.Effects) bool {
	next, added := slices.Clone(r.members), []string(nil)
	for _, name := range slices.Sorted(maps.Keys(r.pendingJoins)) {
		join := r.pendingJoins[name]
		delete(r.pendingJoins, name)
		if _, already := r.members.findIncarnation(name, join.incarnation); already || now-join.lastContact > r.Timing.MaxElectionTimeout {
			continue
		}
		next = slices.DeleteFunc(next, func(m Member) bool { return m.Name == name && !m.Voter })
		learner := Member{Name: name, Incarnation: join.incarnation}
		next = append(next, learner)
		added = append(added, name)
		if r.hasRoom(now, learner) {
			break
		}
	}
	if len(added) == 0 {
		return false
	}
	r.appendMembers(now, next, out)
	out.Logf("quorum", "Adding %v as learners.", added)
	return true
}

// AllowJoin lets the leader add a host that is not a member yet once its Hello arrives; it returns a refusal if this
// replica does not lead.
func (r *Replica) AllowJoin(name string) *core.Refusal {
	if r.role != Leader {
		return core.Refuse(core.NoLeader, core.RanNo, "host %q does not lead", r.Self)
	}
	r.joinAllowed[name] = true
	return nil
}

// Remove removes a member from the group; it returns a refusal if this replica does not lead, another change is in
// progress, or the host is not a member or the last voter.
func (r *Replica) Remove(now core.Millis, name string, out *core.Effects) *core.Refusal {
	if r.role != Leader {
		return core.Refuse(core.NoLeader, core.RanNo, "host %q does not lead", r.Self)
	}
	if !r.membershipSettled() {
		return core.Refuse(core.VersionConflict, core.RanNo, "another membership change is under way, or this leader has committed nothing yet")
	}
	member, ok := r.members.find(name)
	if !ok {
		return core.Refuse(core.NotFound, core.RanNo, "host %q is not a member", name)
	}
	if len(r.members.voters()) == 1 && member.Voter {
		return core.Refuse(core.Invalid, core.RanNo, "host %q is the last voter", name)
	}
	delete(r.joinAllowed, name)
	delete(r.pendingJoins, name)
	r.appendMembers(now, r.members.without(name, member.Incarnation), out)
	return nil
}
