package fleet

import (
	"cmp"
	"fmt"
	"maps"

	"clementinelock/core"
	"clementinelock/core/codec"
	"clementinelock/core/edits"
	"clementinelock/core/routes"
)

const (
	// orderTimeout is below the second after which an operator's call goes to another host.
	orderTimeout       = 900 * core.Millisecond
	orderRetryInterval = 300 * core.Millisecond
	// majorityTimeout is longer than the time between two shares.
	majorityTimeout = shareInterval + 200*core.Millisecond
)

// order is an operator's request that this host accepted.
type order struct {
	Order
	deadline core.Millis
	sentAt   core.Millis
	sentTo   string
	// waitFor is the index that a confirmed read waits for, 0 until it is known.
	waitFor uint64
}

// proposal is an order that this host, as the leader, has appended to its log or is confirming.
type proposal struct {
	from   string
	ticket uint64
	index  uint64
	term   uint64
	read   bool
}

// orderTable holds the orders that this host accepted, by ticket, and those that it executes as the leader, by id.
type orderTable struct {
	pending  map[uint64]*order
	proposed map[uint64]proposal
	lastID   uint64
	// executed holds the index of each order that was proposed or applied lately, by its identity.
	executed map[edits.OrderID]executed
}

// executed is an order in the log. Until it is applied, term is that of the leader that has appended it: a later one may have
// replaced the record.
type executed struct {
	index uint64
	term  uint64
	at    core.Millis
}

// executedRetention is longer than an order is accepted for.
const executedRetention = 10 * core.Second

// recordExecuted records that an order is in the log, and forgets old ones; term is 0 once it is applied.
func (t *orderTable) recordExecuted(now core.Millis, id edits.OrderID, index, term uint64) {
	t.executed[id] = executed{index: index, term: term, at: now}
	maps.DeleteFunc(t.executed, func(_ edits.OrderID, e executed) bool { return now-e.at > executedRetention })
}

// Publish accepts a document from an operator; the reply carries the ticket.
func (c *Control) Publish(now core.Millis, ticket uint64, document routes.Document) core.Effects {
	return c.startOrder(now, Order{Ticket: ticket, Publish: &document})
}

// Evacuate accepts the start or end of an evacuation from an operator; the reply carries the ticket.
func (c *Control) Evacuate(now core.Millis, ticket uint64, e edits.Evacuation) core.Effects {
	return c.startOrder(now, Order{Ticket: ticket, Evacuation: &e})
}

// Read requests the newest document; the reply carries the ticket and an OrderResult.
func (c *Control) Read(now core.Millis, ticket uint64) core.Effects {
	return c.startOrder(now, Order{Ticket: ticket, Read: true})
}

// startOrder accepts an order, unless it is an evacuation that may have waited through a pause of this process: the operator has
// given such an order to another host, and may have taken it back there. A read, and a version of the configuration, undo nothing.
func (c *Control) startOrder(now core.Millis, o Order) core.Effects {
	return c.step(now, func(out *core.Effects) {
		if o.Evacuation != nil && c.pause.mayBeOldOrder(now) {
			c.logRefused(now, "right after a pause", out)
			out.Reply(o.Ticket, core.Refuse(core.NoLeader, core.RanNo, "this host was paused until %s ago", now-c.pause.orderEndedAt), nil)
			return
		}
		if c.cutOff(now) {
			c.logRefused(now, "at once", out)
			c.refuseCutOff(o.Ticket, out)
			return
		}
		c.orders.pending[o.Ticket] = &order{Order: o, deadline: now + orderTimeout}
		c.sendOrder(now, c.orders.pending[o.Ticket], out)
	})
}

// cutOff reports whether this host can't get an order confirmed: it hears no leader and, for longer than their shares take, no majority
// of the voters that could elect one. A host that has just started has not heard them yet.
func (c *Control) cutOff(now core.Millis) bool {
	if c.leaderHeard(now) || now-c.startedAt < controlTimeout {
		return false
	}
	age := c.votersHeardAge(now)
	return age == 0 || age > majorityTimeout
}

// refuseCutOff refuses an order that was not sent to any leader, so that the operator can give it to another host at once.
func (c *Control) refuseCutOff(ticket uint64, out *core.Effects) {
	out.Reply(ticket, core.Refuse(core.NoLeader, core.RanNo, "this host hears neither a leader nor a majority of the control hosts"), nil)
}

// logRefused logs what this host knows of the group as it refuses an order or a read: whether a leader is there and slow, a
// majority is missing, or this host does not vote.
func (c *Control) logRefused(now core.Millis, when string, out *core.Effects) {
	s := c.quorum.Report(now)
	out.Logf("order", "Refused %s: role %s, term %d, joined %t, leader %q %s, a majority without it %s, %d members, size %d, applied %d of %d.",
		when, s.Role, s.Term, s.Joined, s.Leader, describeContact(c.quorum.SinceLeaderContact(now)), describeContact(cmp.Or(c.votersHeardAge(now), core.Never)), len(s.Members), s.Size, s.Applied, s.LastIndex)
}

// describeContact describes the time since a leader or a majority was heard.
func describeContact(age core.Millis) string {
	if age == core.Never {
		return "not heard"
	}
	return fmt.Sprintf("heard %s ago", age)
}

// describeSending describes whether the order was sent to a leader.
func (o *order) describeSending(now core.Millis) string {
	if o.sentTo == "" {
		return "sent to no leader"
	}
	return fmt.Sprintf("sent to %q %s ago", o.sentTo, now-o.sentAt)
}

// sendOrder sends an order to the leader, which may be this host.
func (c *Control) sendOrder(now core.Millis, o *order, out *core.Effects) {
	leader := c.quorum.LeaderName()
	if leader == "" || o.waitFor != 0 {
		return
	}
	o.sentAt, o.sentTo = now, leader
	if leader == c.Name {
		c.onOrder(now, c.Name, &o.Order, out)
		return
	}
	message := o.Order
	if at, ok := c.quorum.LeaderTime(now); ok {
		message.Term, message.AcceptedAt = c.quorum.Term(), at-(now-o.acceptedAt())
	}
	out.Send(leader, &message)
}

// acceptedAt returns when the operator gave the order.
func (o *order) acceptedAt() core.Millis {
	return o.deadline - orderTimeout
}

// Abandon drops an order whose operator has disconnected, so that it is not sent to a leader any more.
func (c *Control) Abandon(now core.Millis, ticket uint64) core.Effects {
	return c.step(now, func(*core.Effects) { delete(c.orders.pending, ticket) })
}

// isLate reports whether the host that accepted the order has refused it meanwhile: the operator then gives it to another host,
// and may have taken it back there. An order that was stamped for another term is sent again with a new stamp.
func (c *Control) isLate(now core.Millis, from string, m *Order, out *core.Effects) bool {
	switch {
	case m.Term == 0:
		return false
	case m.Term != c.quorum.Term():
		return true
	case now-m.AcceptedAt > orderTimeout:
		out.Logf("order", "Dropped an order that %s accepted %s ago, longer than %s.", from, now-m.AcceptedAt, orderTimeout)
		return true
	}
	return false
}

// onOrder executes an order as the leader, once: an order that comes again is answered by its record in the log.
func (c *Control) onOrder(now core.Millis, from string, m *Order, out *core.Effects) {
	if !c.quorum.IsLeader() || c.isLate(now, from, m, out) {
		return
	}
	if !m.Read && !c.quorum.IsEstablished() {
		// An order that was committed before this leadership may not be known yet. The sender sends its own again.
		return
	}
	c.orders.lastID++
	id := c.orders.lastID
	p := proposal{from: from, ticket: m.Ticket, term: c.quorum.Term()}
	identity := edits.OrderID{Host: from, Ticket: m.Ticket}
	before, known := c.orders.executed[identity]
	switch {
	case known && (before.term == 0 || before.term == p.term):
		p.index = before.index
		c.orders.proposed[id] = p
		return
	case m.Read:
		p.read = true
		c.orders.proposed[id] = p
		if !c.quorum.Read(now, id, out) {
			delete(c.orders.proposed, id)
		}
		return
	case m.Publish != nil && m.Publish.Version <= c.store.Published().Document.Version:
		// What is applied is committed, so the version is superseded for good.
		c.answerOrder(now, p, &OrderAnswer{Ticket: m.Ticket, Done: true}, out)
		return
	}
	command := edits.Command{Publish: m.Publish, Order: &identity}
	if m.Evacuation != nil {
		command.Evacuation = &edits.Evacuation{Zone: m.Evacuation.Zone, Active: m.Evacuation.Active, At: now}
	}
	index, ok := c.quorum.Propose(now, codec.Encode(command), out)
	if !ok {
		return
	}
	p.index = index
	c.orders.proposed[id] = p
	c.orders.recordExecuted(now, identity, index, p.term)
}

// onRead completes the leader's part of a read.
func (c *Control) onRead(now core.Millis, id uint64, confirmed bool, out *core.Effects) {
	p, known := c.orders.proposed[id]
	delete(c.orders.proposed, id)
	if !known || !confirmed {
		return
	}
	c.answerOrder(now, p, &OrderAnswer{Ticket: p.ticket, Done: true, Index: c.quorum.Applied()}, out)
}

func (c *Control) answerOrder(now core.Millis, p proposal, answer *OrderAnswer, out *core.Effects) {
	if p.from == c.Name {
		c.onOrderAnswer(now, answer, out)
		return
	}
	out.Send(p.from, answer)
}

// finishOrders answers the proposals that are committed and the reads that are applied, and drops proposals of
// a term that this host no longer leads.
func (c *Control) finishOrders(now core.Millis, out *core.Effects) {
	for id, p := range c.orders.proposed {
		switch {
		case !c.quorum.IsLeader() || c.quorum.Term() != p.term:
			delete(c.orders.proposed, id)
		case !p.read && c.quorum.Applied() >= p.index:
			delete(c.orders.proposed, id)
			c.answerOrder(now, p, &OrderAnswer{Ticket: p.ticket, Done: true}, out)
		}
	}
	for ticket, o := range c.orders.pending {
		if o.waitFor != 0 && c.quorum.Applied() >= o.waitFor {
			delete(c.orders.pending, ticket)
			out.Reply(ticket, nil, &OrderResult{Document: c.store.Published().Document})
		}
	}
}

func (c *Control) onOrderAnswer(_ core.Millis, m *OrderAnswer, out *core.Effects) {
	o := c.orders.pending[m.Ticket]
	if o == nil || !m.Done {
		return
	}
	if o.Read {
		o.waitFor = max(m.Index, 1)
		return
	}
	delete(c.orders.pending, m.Ticket)
	out.Reply(m.Ticket, nil, &OrderResult{})
}

// retryOrders resends orders that the leader did not answer, and refuses those that are past their deadline.
func (c *Control) retryOrders(now core.Millis, out *core.Effects) {
	for ticket, o := range c.orders.pending {
		if now >= o.deadline {
			delete(c.orders.pending, ticket)
			c.logRefused(now, fmt.Sprintf("after %s, %s, index to wait for %d", orderTimeout, o.describeSending(now), o.waitFor), out)
			out.Reply(ticket, core.Refuse(core.NoLeader, core.RanUnknown, "no leader confirmed it within %s", orderTimeout), nil)
			continue
		}
		if o.sentTo == "" && c.cutOff(now) {
			delete(c.orders.pending, ticket)
			c.logRefused(now, "while it waited", out)
			c.refuseCutOff(ticket, out)
			continue
		}
		if o.sentTo != c.quorum.LeaderName() || now-o.sentAt >= orderRetryInterval {
			c.sendOrder(now, o, out)
		}
	}
}
