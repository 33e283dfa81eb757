package quorum

import "clementinelock/core"

// Receive handles a message of this package from another replica.
func (r *Replica) Receive(now core.Millis, from string, message core.Message, out *core.Effects) {
	if r.fenced {
		return
	}
	switch m := message.(type) {
	case *Hello:
		r.onHello(now, from, m, out)
		return
	case *HelloResponse:
		r.onHelloResponse(now, from, m, out)
		return
	}
	header := headerOf(message)
	if header.ToIncarnation != 0 && header.ToIncarnation != r.vote.Incarnation {
		return
	}
	if !r.accepts(from, header, message) {
		return
	}
	r.dispatch(now, from, message, out)
}

// accepts reports whether a message may be handled: any message of a member; of other incarnations only Append and
// Install, and VoteAsk if no incarnation of the host is a member.
func (r *Replica) accepts(from string, header Header, message core.Message) bool {
	if _, ok := r.members.findIncarnation(from, header.Incarnation); ok {
		return true
	}
	// A lagging replica may still lack the membership entry that added the sender.
	switch message.(type) {
	case *Append, *InstallSnapshot:
		return true
	case *VoteRequest:
		_, known := r.members.find(from)
		return !known
	}
	return false
}

func (r *Replica) dispatch(now core.Millis, from string, message core.Message, out *core.Effects) {
	switch m := message.(type) {
	case *VoteRequest:
		r.onVoteRequest(now, from, m, out)
	case *VoteResponse:
		r.onVoteResponse(now, from, m, out)
	case *Append:
		r.onAppend(now, from, m, out)
	case *AppendResponse:
		r.onAppendResponse(now, from, m, out)
	case *InstallSnapshot:
		r.onInstallSnapshot(now, from, m, out)
	case *InstallSnapshotResponse:
		r.onInstallSnapshotResponse(now, from, m, out)
	case *TimeoutNow:
		r.onTimeoutNow(now, from, m, out)
	}
}

func headerOf(message core.Message) Header {
	switch m := message.(type) {
	case *VoteRequest:
		return m.Header
	case *VoteResponse:
		return m.Header
	case *Append:
		return m.Header
	case *AppendResponse:
		return m.Header
	case *InstallSnapshot:
		return m.Header
	case *InstallSnapshotResponse:
		return m.Header
	case *TimeoutNow:
		return m.Header
	}
	return Header{}
}
