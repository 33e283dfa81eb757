package slots

import (
	"maps"
	"slices"
	"strings"

	"clementinelock/core"
)

// pendingAsk is an ask without an answer.
type pendingAsk struct {
	lease  string
	sentAt core.Millis
}

// heldReport records the last keeper that this host sent its slots to.
type heldReport struct {
	keeper string
	at     core.Millis
}

// usedSlot is a slot that this host holds for a request.
type usedSlot struct {
	zone, service, endpoint string
	until                   core.Millis
}

// pendingDone is a Done that its keeper has not acknowledged.
type pendingDone struct {
	message *Done
	sentAt  core.Millis
	until   core.Millis
}

func (n *Node) resendDone(now core.Millis, token Token, out *core.Effects) {
	u := n.pendingDones[token]
	if now >= u.until {
		delete(n.pendingDones, token)
		return
	}
	if now-u.sentAt >= doneResendInterval {
		n.sendDone(now, u, out)
	}
}

// sendDone sends a Done to the keeper that granted the slot, and to the current keeper when it is another host.
func (n *Node) sendDone(now core.Millis, u *pendingDone, out *core.Effects) {
	u.sentAt = now
	m := u.message
	if m.Token.Keeper != n.Self {
		out.Send(m.Token.Keeper, m)
	}
	current := n.KeeperOf(now, m.Zone, m.Service)
	if current != "" && current != m.Token.Keeper && current != n.Self {
		out.Send(current, m)
	}
}

func compareTokens(a, b Token) int {
	if a.Number != b.Number {
		return int(a.Number) - int(b.Number)
	}
	return strings.Compare(a.Keeper, b.Keeper)
}

// Ask sends an ask to a keeper, which may be this host.
func (n *Node) Ask(now core.Millis, keeper string, m *Ask, out *core.Effects) {
	m.Incarnation = n.Incarnation
	n.pendingAsks[m.Ask] = pendingAsk{LeaseName(m.Zone, m.Service), now}
	if keeper != n.Self {
		out.Send(keeper, m)
		return
	}
	n.onAsk(now, n.Self, m, out)
}

// Withdraw cancels an ask.
func (n *Node) Withdraw(now core.Millis, keeper string, m *Withdraw, out *core.Effects) {
	m.Incarnation = n.Incarnation
	delete(n.pendingAsks, m.Ask)
	if keeper != n.Self {
		out.Send(keeper, m)
		return
	}
	n.onWithdraw(now, n.Self, m, out)
}

// Use records that a request of this host uses the slot.
func (n *Node) Use(token Token, zone, service, endpoint string, until core.Millis) {
	n.held[token] = &usedSlot{zone, service, endpoint, until}
}

// Done returns a slot and resends the message until the keeper acknowledges it.
func (n *Node) Done(now core.Millis, token Token, zone, service string, result Result, out *core.Effects) {
	until := now + 10*core.Second
	if u := n.held[token]; u != nil {
		until = u.until + tokenGrace
	}
	delete(n.held, token)
	m := &Done{Token: token, Zone: zone, Service: service, Result: result}
	n.onDone(now, m, out)
	if token.Keeper == n.Self {
		return
	}
	u := &pendingDone{message: m, until: until}
	n.pendingDones[token] = u
	n.sendDone(now, u, out)
}

// PendingDones returns the number of returned slots whose keeper has not acknowledged the Done.
func (n *Node) PendingDones() int {
	return len(n.pendingDones)
}

// InUse returns the number of slots that this host holds.
func (n *Node) InUse() int {
	return len(n.held)
}

// onGrant accepts a slot, unless this host has since reported to another keeper that it does not hold it.
func (n *Node) onGrant(now core.Millis, m *Grant, out *core.Effects) {
	a, ok := n.pendingAsks[m.Ask]
	if !ok || m.Incarnation != n.Incarnation {
		// A second grant for a resent ask names the slot that is already in use.
		if n.held[m.Token] == nil {
			n.Done(now, m.Token, m.Zone, m.Service, Result{Unused: true}, out)
		}
		return
	}
	delete(n.pendingAsks, m.Ask)
	if t := n.heldReports[a.lease]; t.keeper != "" && t.keeper != m.Token.Keeper && a.sentAt <= t.at {
		n.Done(now, m.Token, m.Zone, m.Service, Result{Unused: true}, out)
		n.OnRefused(now, &Refused{Ask: m.Ask, Incarnation: m.Incarnation, Kind: core.NoUpstream, Moved: true, Zone: m.Zone, Service: m.Service}, out)
		return
	}
	n.OnGrant(now, m, out)
}

func (n *Node) heldFor(now core.Millis, zone, service string) []HeldSlot {
	var out []HeldSlot
	for _, token := range slices.SortedFunc(maps.Keys(n.held), compareTokens) {
		if u := n.held[token]; u.zone == zone && u.service == service {
			out = append(out, HeldSlot{token, u.endpoint, max(0, u.until-now)})
		}
	}
	return out
}
