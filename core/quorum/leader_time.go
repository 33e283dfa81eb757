package quorum

import "clementinelock/core"

// leaderTime estimates the leader's clock at a follower, from the times at which the leader sent its messages. The estimate is
// late by the delay of the fastest message so far, and never early.
type leaderTime struct {
	term   uint64
	known  bool
	offset core.Millis
}

// record takes in the time at which the leader of a term sent a message that arrives now; builds that don't tell it send 0.
func (t *leaderTime) record(now core.Millis, term uint64, sentAt core.Millis) {
	if sentAt == 0 {
		return
	}
	if !t.known || t.term != term {
		*t = leaderTime{term: term, known: true, offset: sentAt - now}
		return
	}
	t.offset = max(t.offset, sentAt-now)
}

// LeaderTime returns the time of the current leader's clock, no later than it is; ok is false if this replica can't tell.
func (r *Replica) LeaderTime(now core.Millis) (at core.Millis, ok bool) {
	if r.role == Leader {
		return now, true
	}
	if r.leader == "" || !r.leaderTime.known || r.leaderTime.term != r.vote.Term {
		return 0, false
	}
	return now + r.leaderTime.offset, true
}

// IsEstablished reports whether this replica leads and has applied a record of its own term, and so all that was committed
// before it.
func (r *Replica) IsEstablished() bool {
	return r.role == Leader && r.log.termAt(r.applied) == r.vote.Term
}
