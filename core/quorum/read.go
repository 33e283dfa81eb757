package quorum

import "clementinelock/core"

// Read requests a linearizable read: OnRead is called with the ticket once a majority has confirmed that this
// replica still leads. It returns false if this replica does not lead or has not committed a record of its term yet.
func (r *Replica) Read(now core.Millis, ticket uint64, out *core.Effects) bool {
	if r.role != Leader || r.log.termAt(r.commit) != r.vote.Term {
		return false
	}
	r.round++
	r.reads = append(r.reads, pendingRead{ticket, r.commit, r.round})
	for _, member := range r.members.voters() {
		if p := r.peers[memberKey(member)]; p != nil && r.log.termAt(p.match) != 0 {
			r.sendAppend(now, member, p.match, nil, out)
		}
	}
	r.confirmReads(now, out)
	return true
}

func (r *Replica) confirmReads(now core.Millis, out *core.Effects) {
	if r.role != Leader {
		return
	}
	kept := r.reads[:0]
	var ready []uint64
	for _, read := range r.reads {
		if r.roundConfirmed(read.round) && r.applied >= read.index {
			ready = append(ready, read.ticket)
		} else {
			kept = append(kept, read)
		}
	}
	r.reads = kept
	for _, ticket := range ready {
		r.OnRead(now, ticket, true, out)
	}
}

func (r *Replica) roundConfirmed(round uint64) bool {
	confirmed := 0
	for _, member := range r.members.voters() {
		p := r.peers[memberKey(member)]
		if p == nil && member.Name == r.Self || p != nil && p.round >= round {
			confirmed++
		}
	}
	return confirmed >= r.members.majority()
}

func (r *Replica) failReads(now core.Millis, out *core.Effects) {
	reads := r.reads
	r.reads = nil
	for _, read := range reads {
		r.OnRead(now, read.ticket, false, out)
	}
}
