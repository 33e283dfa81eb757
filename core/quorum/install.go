package quorum

import (
	"clementinelock/core"
)

// installBuffer collects the chunks of one snapshot from one leader.
type installBuffer struct {
	index uint64
	from  string
	data  []byte
}

func (r *Replica) sendInstall(now core.Millis, member Member, p *progress, out *core.Effects) {
	snapshot := r.log.snapshot
	if p.installIndex != snapshot.Index {
		p.installIndex = snapshot.Index
		p.installOffset = 0
		p.installSent = 0
	}
	if now-p.installSent < resendTimeout {
		return
	}
	r.sendChunk(now, member, p, out)
}

func (r *Replica) sendChunk(now core.Millis, member Member, p *progress, out *core.Effects) {
	snapshot := r.log.snapshot
	end := min(p.installOffset+chunkBytes, len(snapshot.Data))
	header := r.header(member.Name)
	header.ToIncarnation = member.Incarnation
	p.installSent = now
	out.Send(member.Name, &InstallSnapshot{
		Header: header, Index: snapshot.Index, SnapshotTerm: snapshot.Term,
		Offset: p.installOffset, Data: snapshot.Data[p.installOffset:end], Done: end == len(snapshot.Data),
	})
}

func (r *Replica) onInstallSnapshot(now core.Millis, from string, m *InstallSnapshot, out *core.Effects) {
	answer := &InstallSnapshotResponse{Boot: r.vote.Boot, Nonce: r.nonce, Index: m.Index}
	if m.Term >= r.vote.Term {
		r.followLeader(now, from, m.Term, out)
		r.receiveChunk(now, from, m, answer, out)
	}
	answer.Header = r.header(from)
	answer.ToIncarnation = m.Incarnation
	r.sendSynced(from, answer, out)
}

func (r *Replica) receiveChunk(now core.Millis, from string, m *InstallSnapshot, answer *InstallSnapshotResponse, out *core.Effects) {
	if m.Index <= r.commit {
		answer.Done = true
		return
	}
	if r.incoming.index != m.Index || r.incoming.from != from {
		r.incoming = installBuffer{index: m.Index, from: from}
	}
	if m.Offset == len(r.incoming.data) {
		r.incoming.data = append(r.incoming.data, m.Data...)
		if m.Done {
			r.install(now, core.Snapshot{Index: m.Index, Term: m.SnapshotTerm, Data: r.incoming.data}, out)
			r.incoming = installBuffer{}
			answer.Done = true
			return
		}
	}
	answer.Offset = len(r.incoming.data)
}

// install replaces the state by a snapshot; records after it are kept only if the log has the snapshot's term at its
// index.
func (r *Replica) install(now core.Millis, snapshot core.Snapshot, out *core.Effects) {
	matches := r.log.termAt(snapshot.Index) == snapshot.Term
	err := r.restore(snapshot)
	core.Assert(err == nil, "snapshot %d can't be restored: %v", snapshot.Index, err)
	truncate := uint64(0)
	if !matches {
		r.log.records = nil
		r.lowerSynced(snapshot.Index)
		truncate = snapshot.Index + 1
		r.log.snapshot = snapshot
	} else {
		r.log.compact(snapshot)
	}
	r.scanMembers()
	r.write(core.Write{Snapshot: &snapshot, TruncateFrom: truncate}, out)
	r.checkJoined(now)
}

func (r *Replica) onInstallSnapshotResponse(now core.Millis, from string, m *InstallSnapshotResponse, out *core.Effects) {
	if m.Term > r.vote.Term {
		r.stepDown(now, m.Term, "", out)
		return
	}
	p := r.peers[memberKey(Member{Name: from, Incarnation: m.Incarnation})]
	// A response from an earlier start does not describe what the follower holds now.
	told := m.Nonce != 0
	if r.role != Leader || m.Term != r.vote.Term || p == nil || told && m.Boot < p.boot {
		return
	}
	p.lastContact, p.answered, p.storedAt = now, true, now
	if told {
		p.resetForStart(m.Boot, m.Nonce)
	}
	member, _ := r.members.findIncarnation(from, m.Incarnation)
	if m.Done {
		// A match is taken over only with the start that it belongs to, or it would count as acknowledged by an earlier start.
		// The response to the records after the snapshot tells both.
		if told {
			p.match = max(p.match, m.Index)
		}
		p.next = max(p.match, m.Index) + 1
		p.installIndex = 0
		r.sendRecords(now, member, p, out)
		return
	}
	if m.Index != p.installIndex || m.Offset == p.installOffset {
		return
	}
	p.installOffset = min(m.Offset, len(r.log.snapshot.Data))
	r.sendChunk(now, member, p, out)
}
