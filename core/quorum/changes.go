package quorum

import (
	"slices"

	"clementinelock/core"
)

// A change is a command or a membership entry. A replica knows of all changes that were committed by a time if a leader that has
// committed a record of its own term told it so, or if a majority of the voters, asked since, holds no change that this replica
// has not applied: what is committed is in the log of one of them at least.

// lastChange caches the index of the last change in a log that ends at an index and a term.
type lastChange struct {
	endIndex, endTerm uint64
	index             uint64
}

// confirmation is that a voter held no change which this replica had not applied.
type confirmation struct {
	incarnation uint64
	// askedAt is when this replica asked it.
	askedAt core.Millis
}

// LastChange returns the index of the last change in this replica's log, committed or not, and the replica's incarnation, which is
// 0 while the log may lack what the replica has acknowledged.
func (r *Replica) LastChange() (incarnation, index uint64) {
	if !r.joined || r.fenced {
		return 0, 0
	}
	end, term := r.log.lastIndex(), r.log.lastTerm()
	if r.lastChange.endIndex != end || r.lastChange.endTerm != term {
		r.lastChange = lastChange{end, term, r.log.findLastChange()}
	}
	return r.vote.Incarnation, r.lastChange.index
}

// findLastChange returns the index of the last change; a snapshot counts as one.
func (l *recordLog) findLastChange() uint64 {
	for _, record := range slices.Backward(l.records) {
		if e := decodeEntry(record.Data); e.Type == entryCommand || e.Type == entryMembers {
			return record.Index
		}
	}
	return l.snapshot.Index
}

// RecordLastChange takes in the LastChange of another replica that was asked at a time.
func (r *Replica) RecordLastChange(now core.Millis, name string, incarnation, index uint64, askedAt core.Millis) {
	if incarnation == 0 || index > r.applied || askedAt > now || askedAt < r.confirmations[name].askedAt {
		return
	}
	if r.confirmations == nil {
		r.confirmations = map[string]confirmation{}
	}
	r.confirmations[name] = confirmation{incarnation, askedAt}
}

// SinceVotersConfirmed returns the time since a majority of the voters held no change that this replica has not applied, and
// core.Never if that was not so. While a membership is not committed, no majority is one for certain.
func (r *Replica) SinceVotersConfirmed(now core.Millis) core.Millis {
	if r.membersIndex > r.commit {
		return core.Never
	}
	var ages []core.Millis
	for _, member := range r.members.voters() {
		if member.Name == r.Self {
			if incarnation, index := r.LastChange(); incarnation == member.Incarnation && index <= r.applied {
				ages = append(ages, 0)
			}
		} else if c, ok := r.confirmations[member.Name]; ok && c.incarnation == member.Incarnation {
			ages = append(ages, now-c.askedAt)
		}
	}
	needed := r.members.majority()
	if len(ages) < needed {
		return core.Never
	}
	slices.Sort(ages)
	return ages[needed-1]
}

// recordLeaderCommit records that the leader has told this replica up to where the log is committed, and that all of that is applied.
// A leader that has committed no record of its own term does not know what was committed before it, and one without a majority not
// what another leader commits: followers of the latter vote again after the minimum election timeout.
func (r *Replica) recordLeaderCommit(now core.Millis, m *Append) {
	if !m.Doubtful && m.Commit <= r.commit && r.log.termAt(r.commit) == m.Term {
		r.commitsKnown, r.commitsKnownAt = true, now
	}
}

// SinceCommitsKnown returns the time since the leader last told this replica of all that was committed or, at the leader, since it
// heard from a majority; it returns core.Never if neither was so.
func (r *Replica) SinceCommitsKnown(now core.Millis) core.Millis {
	switch {
	case r.IsEstablished():
		return r.SinceMajorityContact(now)
	case r.commitsKnown:
		return now - r.commitsKnownAt
	}
	return core.Never
}
