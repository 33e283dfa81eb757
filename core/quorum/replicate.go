package quorum

import (
	"slices"

	"clementinelock/core"
	"clementinelock/core/codec"
)

// Propose appends a command to the leader's log; it returns false when this replica does not lead.
func (r *Replica) Propose(now core.Millis, command []byte, out *core.Effects) (index uint64, ok bool) {
	if r.role != Leader {
		return 0, false
	}
	return r.appendEntry(now, entry{Type: entryCommand, Command: command}, out), true
}

func (r *Replica) appendEntry(now core.Millis, e entry, out *core.Effects) uint64 {
	record := core.Record{Index: r.log.lastIndex() + 1, Term: r.vote.Term, Data: e.encode()}
	r.log.records = append(r.log.records, record)
	if e.Type == entryMembers {
		r.setMembers(e.Members, e.Size, record.Index)
		r.updatePeers(now)
	}
	r.write(core.Write{Records: []core.Record{record}}, out)
	for _, member := range r.members {
		if p := r.peers[memberKey(member)]; p != nil {
			r.sendRecords(now, member, p, out)
		}
	}
	return record.Index
}

func (r *Replica) tickLeader(now core.Millis, out *core.Effects) {
	if now < r.heartbeatAt {
		return
	}
	r.heartbeatAt = now + r.Timing.HeartbeatInterval
	if !r.hasMajorityContact(now) {
		out.Logf("quorum", "No contact with a majority of voters.")
		r.stepDown(now, r.vote.Term, "", out)
		return
	}
	r.handOverIfFull(now, out)
	r.round++
	for _, member := range r.members {
		if p := r.peers[memberKey(member)]; p != nil {
			if p.match >= r.log.lastIndex() {
				p.storedAt = now
			}
			r.sendHeartbeat(now, member, p, out)
		}
	}
	r.updateMembership(now, out)
	r.advanceCommit(now, out)
}

// handOverIfFull asks another voter to lead once this leader's disk has taken nothing for as long as a silent member is waited for. As
// a follower this replica no longer counts if its disk stays full.
func (r *Replica) handOverIfFull(now core.Millis, out *core.Effects) {
	if r.Durable() {
		r.storedAt = now
	}
	if now-r.storedAt > r.silentTimeout() && r.Transfer(now, out) {
		r.storedAt = now
		out.Logf("quorum", "The disk has taken nothing for %s; handing over the leadership.", r.silentTimeout())
	}
}

func (r *Replica) hasMajorityContact(now core.Millis) bool {
	heard := 0
	for _, member := range r.members.voters() {
		p := r.peers[memberKey(member)]
		if p == nil && member.Name == r.Self || p != nil && now-p.lastContact < r.Timing.MaxElectionTimeout {
			heard++
		}
	}
	return heard >= r.members.majority()
}

// sendHeartbeat sends a heartbeat, or instead the records or the snapshot chunk that were not acknowledged in time.
func (r *Replica) sendHeartbeat(now core.Millis, member Member, p *progress, out *core.Effects) {
	if p.match < r.log.lastIndex() && now-p.lastProgress >= resendTimeout {
		p.next = min(p.next, max(p.match+1, 1))
		r.sendRecords(now, member, p, out)
		return
	}
	if r.log.termAt(p.match) == 0 && p.match != 0 || p.match < r.log.snapshot.Index {
		r.sendInstall(now, member, p, out)
		return
	}
	r.sendAppend(now, member, p.match, nil, out)
}

func (r *Replica) sendAppend(now core.Millis, member Member, prev uint64, records []core.Record, out *core.Effects) {
	header := r.header(member.Name)
	header.ToIncarnation = member.Incarnation
	out.Send(member.Name, &Append{
		Header: header, PrevIndex: prev, PrevTerm: r.log.termAt(prev),
		Records: records, Commit: r.commit, Round: r.round, SentAt: now,
		Doubtful: r.SinceMajorityContact(now) > r.Timing.MinElectionTimeout/2,
	})
}

func (r *Replica) sendRecords(now core.Millis, member Member, p *progress, out *core.Effects) {
	if p.next <= r.log.snapshot.Index {
		r.sendInstall(now, member, p, out)
		return
	}
	records := r.log.recordsFrom(p.next, maxAppendBytes)
	r.sendAppend(now, member, p.next-1, records, out)
	p.next += uint64(len(records))
	p.lastProgress = now
}

func (r *Replica) onAppend(now core.Millis, from string, m *Append, out *core.Effects) {
	answer := &AppendResponse{Round: m.Round}
	if m.Term < r.vote.Term {
		r.respondAppend(from, m.Incarnation, answer, out)
		return
	}
	r.followLeader(now, from, m.Term, out)
	r.leaderTime.record(now, m.Term, m.SentAt)
	writesBefore := r.writeSeq
	switch {
	case m.PrevIndex < r.log.snapshot.Index:
		answer.Matches, answer.Match = true, r.log.snapshot.Index
		if m.PrevIndex+uint64(len(m.Records)) > r.log.snapshot.Index {
			covered := r.log.snapshot.Index - m.PrevIndex
			r.merge(now, m.Records[covered:], out)
			answer.Match = m.PrevIndex + uint64(len(m.Records))
		}
	case m.PrevIndex > r.log.lastIndex() || r.log.termAt(m.PrevIndex) != m.PrevTerm:
		answer.Hint = r.conflictHint(m.PrevIndex)
	default:
		r.merge(now, m.Records, out)
		answer.Matches, answer.Match = true, m.PrevIndex+uint64(len(m.Records))
	}
	wrote := r.writeSeq != writesBefore
	if answer.Matches {
		r.commitTo(now, min(m.Commit, answer.Match), out)
	}
	r.recordLeaderCommit(now, m)
	if wrote || r.syncedSeq == 0 {
		r.respondAppend(from, m.Incarnation, answer, out)
		return
	}
	// A heartbeat, and records that the log has already, are answered at once, so that reads and the leadership don't wait for a slow
	// disk. The answer tells no more than is synced; that this replica follows the leader's term needs no disk, since a restarted one asks
	// a majority for theirs. Only the number of its start must be on disk, or the next start has the same one.
	answer.Match = min(answer.Match, r.synced)
	r.prepareAppendResponse(from, m.Incarnation, answer)
	out.Send(from, answer)
}

func (r *Replica) respondAppend(to string, incarnation uint64, answer *AppendResponse, out *core.Effects) {
	r.prepareAppendResponse(to, incarnation, answer)
	r.sendSynced(to, answer, out)
}

func (r *Replica) prepareAppendResponse(to string, incarnation uint64, answer *AppendResponse) {
	answer.Header = r.header(to)
	answer.ToIncarnation = incarnation
	answer.Boot, answer.Nonce = r.vote.Boot, r.nonce
}

func (r *Replica) followLeader(now core.Millis, leader string, term uint64, out *core.Effects) {
	core.Assert(r.role != Leader || term > r.vote.Term, "term %d has two leaders: %s and %s", term, r.Self, leader)
	if r.role != Follower || term > r.vote.Term || r.leader != leader {
		r.stepDown(now, term, leader, out)
	}
	r.leaderContactAt = now
	r.resetElectionTimer(now)
}

// conflictHint returns the last index before the conflicting term, so that the leader goes back one term at a time;
// it does not go back beyond the commit index.
func (r *Replica) conflictHint(prev uint64) uint64 {
	hint := min(prev-1, r.log.lastIndex())
	term := r.log.termAt(hint)
	for hint > r.log.snapshot.Index && hint > r.commit && r.log.termAt(hint) == term {
		hint--
	}
	return max(hint, r.log.snapshot.Index)
}

// merge appends the records that the log lacks and truncates those that conflict with them.
func (r *Replica) merge(now core.Millis, records []core.Record, out *core.Effects) {
	for i, record := range records {
		if record.Index <= r.log.lastIndex() && r.log.termAt(record.Index) == record.Term {
			continue
		}
		truncate := uint64(0)
		if record.Index <= r.log.lastIndex() {
			core.Assert(record.Index > r.commit, "committed record %d would be overwritten", record.Index)
			truncate = record.Index
			r.log.truncateFrom(record.Index)
			r.lowerSynced(truncate - 1)
		}
		fresh := slices.Clone(records[i:])
		r.log.records = append(r.log.records, fresh...)
		r.updateMembersAfterMerge(truncate, fresh)
		r.write(core.Write{TruncateFrom: truncate, Records: fresh}, out)
		r.checkJoined(now)
		return
	}
}

// lowerSynced lowers the synced index to at most the index given, also for writes that are not on disk yet, since the
// records after it are dropped.
func (r *Replica) lowerSynced(index uint64) {
	r.synced = min(r.synced, index)
	for seq, upTo := range r.syncedUpTo {
		r.syncedUpTo[seq] = min(upTo, index)
	}
}

func (r *Replica) updateMembersAfterMerge(truncate uint64, fresh []core.Record) {
	if truncate != 0 && truncate <= r.membersIndex {
		r.scanMembers()
		return
	}
	for _, record := range fresh {
		e := decodeEntry(record.Data)
		if e.Type == entryMembers {
			r.setMembers(e.Members, e.Size, record.Index)
		}
	}
}

func (r *Replica) onAppendResponse(now core.Millis, from string, m *AppendResponse, out *core.Effects) {
	if m.Term > r.vote.Term {
		r.stepDown(now, m.Term, "", out)
		return
	}
	p := r.peers[memberKey(Member{Name: from, Incarnation: m.Incarnation})]
	// A response from an earlier start does not describe what the follower holds now.
	if r.role != Leader || m.Term != r.vote.Term || p == nil || m.Boot < p.boot {
		return
	}
	p.lastContact, p.answered = now, true
	p.resetForStart(m.Boot, m.Nonce)
	p.round = max(p.round, m.Round)
	member, _ := r.members.findIncarnation(from, m.Incarnation)
	if !m.Matches {
		p.next = max(min(m.Hint+1, r.log.lastIndex()+1), p.match+1)
		r.sendRecords(now, member, p, out)
		return
	}
	if m.Match > p.match {
		p.match = m.Match
		p.lastProgress, p.storedAt = now, now
	}
	p.next = max(p.next, p.match+1)
	if p.next <= r.log.lastIndex() && p.match+1 == p.next {
		r.sendRecords(now, member, p, out)
	}
	r.advanceCommit(now, out)
	r.confirmReads(now, out)
}

// advanceCommit commits what a majority of voters has synced, if its last record is of the leader's own term.
func (r *Replica) advanceCommit(now core.Millis, out *core.Effects) {
	var matches []uint64
	for _, member := range r.members.voters() {
		if member.Name == r.Self && member.Incarnation == r.vote.Incarnation {
			matches = append(matches, r.synced)
		} else if p := r.peers[memberKey(member)]; p != nil {
			matches = append(matches, p.match)
		}
	}
	if len(matches) < r.members.majority() {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.members.majority()]
	if index > r.commit && r.log.termAt(index) == r.vote.Term {
		r.commitTo(now, index, out)
		r.confirmReads(now, out)
	}
}

func (r *Replica) commitTo(now core.Millis, index uint64, out *core.Effects) {
	index = min(index, r.log.lastIndex())
	if index <= r.commit {
		return
	}
	r.commit = index
	r.vote.Commit = index
	for r.applied < r.commit {
		r.applied++
		r.applyEntry(now, r.applied, decodeEntry(r.log.at(r.applied).Data), out)
	}
	r.write(core.Write{Vote: r.voteCopy()}, out)
	r.compact(out)
}

func (r *Replica) applyEntry(now core.Millis, index uint64, e entry, out *core.Effects) {
	switch e.Type {
	case entryCommand:
		r.StateMachine.Apply(index, e.Command)
	case entryBoot:
		r.boots[e.Boot.Name] = e.Boot
	case entryMembers:
		_, isMember := e.Members.findIncarnation(r.Self, r.vote.Incarnation)
		if r.role == Leader && !isMember {
			r.stepDown(now, r.vote.Term, "", out)
		}
	}
}

// compact takes a snapshot at the applied index once snapshotRecords+keptRecords records have been applied since the
// last one. A follower that lags behind the snapshot is sent the snapshot.
func (r *Replica) compact(out *core.Effects) {
	if r.applied-r.log.snapshot.Index < snapshotRecords+keptRecords || r.membersIndex > r.applied {
		return
	}
	data := codec.Encode(groupState{Members: r.members, Size: r.size, Boots: r.boots, State: r.StateMachine.Snapshot()})
	snapshot := core.Snapshot{Index: r.applied, Term: r.log.termAt(r.applied), Data: data}
	r.log.compact(snapshot)
	r.write(core.Write{Snapshot: &snapshot}, out)
}
