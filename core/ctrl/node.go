package ctrl

import (
	"maps"
	"slices"

	"clementinelock/core"
	"clementinelock/core/codec"
	"clementinelock/core/edits"
	"clementinelock/core/plan"
	"clementinelock/core/quorum"
	"clementinelock/core/relay"
	"clementinelock/core/tree"
)

// Time-outs and limits of the control role.
const (
	answerTimeout      = 5 * core.Second
	foundingDelay      = 500 * core.Millisecond
	foundingRequestTTL = 3 * core.Second
	maxHops            = 2
)

// waiter is a question that waits for a commit or a confirmed read.
type waiter struct {
	request  *Request
	from     string
	deadline core.Millis
}

// foundingReplica is a replica that asks for its region's ledger to be founded.
type foundingReplica struct {
	incarnation uint64
	requestedAt core.Millis
}

type pendingFounding struct {
	replicas       []string
	firstRequestAt core.Millis
	requesters     map[string]foundingReplica
	proposedAt     core.Millis
}

// Node is the control role of one host. Set the exported fields before use.
type Node struct {
	Self    string
	Replica *quorum.Replica
	Store   *edits.Store
	Relay   *relay.Node
	// ZoneReached reports whether this host has a fresh report of a zone.
	ZoneReached func(now core.Millis, zone string) bool
	// Leaving reports whether the platform has announced that an endpoint is leaving.
	Leaving func(endpoint string) bool
	// Link returns what other traffic uses of a link, in bits per second.
	Link func(link plan.Link) float64
	// Deliver passes on the answer to a question that was asked at this host.
	Deliver func(now core.Millis, m *Response, out *core.Effects)

	edits     map[string][]waiter
	reads     map[uint64]waiter
	readCount uint64
	decided   []edits.Outcome
	founding  map[string]*pendingFounding
	planner   planner
}

// Start prepares the node.
func (n *Node) Start() {
	n.edits = map[string][]waiter{}
	n.reads = map[uint64]waiter{}
	n.founding = map[string]*pendingFounding{}
	n.planner.start()
	n.Store.OnOutcome = func(o edits.Outcome) { n.decided = append(n.decided, o) }
	n.Replica.OnRead = n.onRead
}

// Tick answers decided edits, refuses questions that have waited too long and, on the leader, makes plans and
// founds ledgers.
func (n *Node) Tick(now core.Millis, out *core.Effects) {
	n.answerDecided(now, out)
	n.expire(now, out)
	if n.Replica.IsLeader() {
		n.proposeFoundings(now, out)
		n.plan(now, out)
		return
	}
	n.planner.leadingSince = 0
}

// Receive handles a question, or a replica's request for a founding.
func (n *Node) Receive(now core.Millis, from string, message core.Message, out *core.Effects) {
	switch m := message.(type) {
	case *Request:
		n.OnRequest(now, from, m, out)
	case *FoundingRequest:
		n.onFoundingRequest(now, from, m, out)
	}
}

// OnRequest answers a question if this host leads, and otherwise forwards it to the leader.
func (n *Node) OnRequest(now core.Millis, from string, m *Request, out *core.Effects) {
	if !n.Replica.IsLeader() {
		n.forward(now, m, out)
		return
	}
	w := waiter{m, from, now + answerTimeout}
	switch m.Question {
	case AskEdit:
		n.onEdit(now, w, out)
	case AskRemove:
		n.reply(now, w, n.Replica.Remove(now, m.Name, out), Body{}, out)
	case AskAllowJoin:
		n.reply(now, w, n.Replica.AllowJoin(m.Name), Body{}, out)
	default:
		n.readCount++
		n.reads[n.readCount] = w
		if !n.Replica.Read(now, n.readCount, out) {
			delete(n.reads, n.readCount)
			n.refuseNoLeader(now, w, out)
		}
	}
}

func (n *Node) forward(now core.Millis, m *Request, out *core.Effects) {
	leader := n.Replica.LeaderName()
	if leader == "" || leader == n.Self || m.Hops >= maxHops {
		n.refuseNoLeader(now, waiter{request: m}, out)
		return
	}
	next := *m
	next.Hops++
	out.Send(leader, &next)
}

func (n *Node) refuseNoLeader(now core.Millis, w waiter, out *core.Effects) {
	ran := core.RanNo
	if w.request.Question == AskEdit {
		ran = core.RanUnknown
	}
	n.reply(now, w, core.Refuse(core.NoLeader, ran, "host %q knows no control leader", n.Self), Body{}, out)
}

func (n *Node) reply(now core.Millis, w waiter, refusal *core.Refusal, body Body, out *core.Effects) {
	answer := &Response{Ticket: w.request.Ticket, Refusal: refusal, Body: body}
	if w.request.Origin == n.Self {
		n.Deliver(now, answer, out)
		return
	}
	out.Send(w.request.Origin, answer)
}

// onEdit answers an edit with its outcome if it is already decided, and otherwise proposes it.
func (n *Node) onEdit(now core.Millis, w waiter, out *core.Effects) {
	edit := w.request.Edit
	if edit == nil || edit.ID == "" {
		n.reply(now, w, core.Refuse(core.Invalid, core.RanNo, "the edit has no id"), Body{}, out)
		return
	}
	if o, known := n.Store.Outcome(edit.ID); known {
		n.replyOutcome(now, w, o, out)
		return
	}
	if len(n.edits[edit.ID]) > 0 {
		n.edits[edit.ID] = append(n.edits[edit.ID], w)
		return
	}
	if refusal := n.checkOverload(now, *edit); refusal != nil {
		n.reply(now, w, refusal, Body{}, out)
		return
	}
	if _, ok := n.Replica.Propose(now, codec.Encode(edits.Command{Edit: edit}), out); !ok {
		n.refuseNoLeader(now, w, out)
		return
	}
	n.edits[edit.ID] = append(n.edits[edit.ID], w)
}

func (n *Node) replyOutcome(now core.Millis, w waiter, o edits.Outcome, out *core.Effects) {
	if o.Digest != edits.Digest(*w.request.Edit) {
		n.reply(now, w, core.Refuse(core.EditIDReused, core.RanNo, "edit id %q was used with another edit", o.ID), Body{}, out)
		return
	}
	n.reply(now, w, o.Refusal(), Body{Outcome: &o}, out)
}

// answerDecided answers the questions whose edits were applied.
func (n *Node) answerDecided(now core.Millis, out *core.Effects) {
	decided := n.decided
	n.decided = nil
	for _, o := range decided {
		waiters := n.edits[o.ID]
		delete(n.edits, o.ID)
		for _, w := range waiters {
			n.replyOutcome(now, w, o, out)
		}
	}
}

// AfterStep answers the edits that the step has decided, without waiting for a tick.
func (n *Node) AfterStep(now core.Millis, out *core.Effects) {
	if len(n.decided) > 0 {
		n.answerDecided(now, out)
	}
}

func (n *Node) expire(now core.Millis, out *core.Effects) {
	for _, id := range slices.Sorted(maps.Keys(n.edits)) {
		kept := slices.DeleteFunc(n.edits[id], func(w waiter) bool {
			gone := now >= w.deadline || !n.Replica.IsLeader()
			if gone {
				n.refuseNoLeader(now, w, out)
			}
			return gone
		})
		n.edits[id] = kept
		if len(kept) == 0 {
			delete(n.edits, id)
		}
	}
	for _, ticket := range slices.Sorted(maps.Keys(n.reads)) {
		if w := n.reads[ticket]; now >= w.deadline {
			delete(n.reads, ticket)
			n.refuseNoLeader(now, w, out)
		}
	}
}

// onRead answers a question once a majority has confirmed this leader.
func (n *Node) onRead(now core.Millis, ticket uint64, confirmed bool, out *core.Effects) {
	w, ok := n.reads[ticket]
	if !ok {
		return
	}
	delete(n.reads, ticket)
	if !confirmed {
		n.refuseNoLeader(now, w, out)
		return
	}
	body, refusal := n.read(now, w.request)
	n.reply(now, w, refusal, body, out)
}

func (n *Node) read(now core.Millis, m *Request) (Body, *core.Refusal) {
	switch m.Question {
	case AskTree:
		return n.readTree(m.Version)
	case AskPreview:
		return n.previewEdit(now, m)
	case AskHistory:
		history := n.Store.History()
		if m.Limit > 0 && len(history) > m.Limit {
			history = history[len(history)-m.Limit:]
		}
		return Body{History: history}, nil
	case AskInForce:
		return Body{InForce: &InForce{Version: n.Store.View().Version, Hosts: n.Relay.InForce(now)}}, nil
	case AskMembers:
		status := n.Replica.Report(now)
		return Body{Members: &status}, nil
	case AskPlan:
		return Body{Plan: n.Relay.Plan()}, nil
	case AskWhatIf:
		return n.whatIf(now, m.WhatIf)
	}
	return Body{}, core.Refuse(core.BadRequest, core.RanNo, "question %q does not exist", m.Question)
}

func (n *Node) readTree(version uint64) (Body, *core.Refusal) {
	if version == 0 {
		return Body{Tree: n.Store.View().Tree}, nil
	}
	t, err := n.Store.At(version)
	if err != nil {
		return Body{}, core.Refuse(core.NotFound, core.RanNo, "%v", err)
	}
	return Body{Tree: t}, nil
}

func (n *Node) previewEdit(now core.Millis, m *Request) (Body, *core.Refusal) {
	if m.Edit == nil {
		return Body{}, core.Refuse(core.BadRequest, core.RanNo, "there is no edit to try")
	}
	next, refusal := n.Store.Preview(*m.Edit)
	if refusal != nil {
		return Body{}, refusal
	}
	if refusal := n.checkOverload(now, *m.Edit); refusal != nil {
		return Body{}, refusal
	}
	differences := tree.Compare(n.Store.View().Tree, next)
	return Body{Outcome: &edits.Outcome{Version: next.Version, Differences: differences}}, nil
}

func (n *Node) onFoundingRequest(now core.Millis, from string, m *FoundingRequest, out *core.Effects) {
	if f, done := n.Store.Founding(m.Region); done {
		out.Send(from, &FoundingResponse{Founding: f})
		return
	}
	if !n.Replica.IsLeader() {
		return
	}
	pending := n.founding[m.Region]
	if pending == nil {
		pending = &pendingFounding{firstRequestAt: now, requesters: map[string]foundingReplica{}}
		n.founding[m.Region] = pending
	}
	pending.replicas = m.Replicas
	pending.requesters[from] = foundingReplica{m.Incarnation, now}
}

// proposeFoundings proposes the founding of each region's ledger for which a majority of its replicas has
// recently asked.
func (n *Node) proposeFoundings(now core.Millis, out *core.Effects) {
	for _, region := range slices.Sorted(maps.Keys(n.founding)) {
		pending := n.founding[region]
		if _, done := n.Store.Founding(region); done {
			delete(n.founding, region)
			continue
		}
		if now-pending.firstRequestAt < foundingDelay || pending.proposedAt != 0 && now-pending.proposedAt < answerTimeout {
			continue
		}
		f := edits.Founding{Region: region, Replicas: map[string]uint64{}}
		for _, name := range pending.replicas {
			if replica, ok := pending.requesters[name]; ok && now-replica.requestedAt < foundingRequestTTL {
				f.Replicas[name] = replica.incarnation
			}
		}
		if len(f.Replicas) < len(pending.replicas)/2+1 {
			continue
		}
		pending.proposedAt = now
		n.Replica.Propose(now, codec.Encode(edits.Command{Founding: &f}), out)
	}
}
