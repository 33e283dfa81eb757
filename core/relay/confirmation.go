package relay

import (
	"maps"
	"slices"

	"clementinelock/core"
	"clementinelock/core/plan"
)

// confirmationsFor returns the confirmations to report to the parent: those that have changed, those of hosts
// that lag, and each of the others once per confirmationInterval.
func (n *Node) confirmationsFor(now core.Millis, parent string) []Confirmation {
	if parent != n.reportedTo {
		n.reportedTo = parent
		n.reported = map[string]timedConfirmation{}
	}
	var out []Confirmation
	for _, c := range n.freshConfirmations(now) {
		before, known := n.reported[c.Host]
		same := known && before.Have == c.Have && before.Version == c.Version && before.Parent == c.Parent && before.Reason == c.Reason
		if same && c.Version >= n.Version() && now-before.at < confirmationInterval {
			continue
		}
		n.reported[c.Host] = timedConfirmation{c, now}
		out = append(out, c)
	}
	return out
}

func (n *Node) freshConfirmations(now core.Millis) []Confirmation {
	out := []Confirmation{n.OwnConfirmation()}
	for _, name := range slices.Sorted(maps.Keys(n.confirmations)) {
		c := n.confirmations[name]
		if now-c.at >= confirmationTTL {
			delete(n.confirmations, name)
			continue
		}
		if name == n.Self {
			continue
		}
		relayed := c.Confirmation
		relayed.Age += now - c.at
		out = append(out, relayed)
	}
	return out
}

// OwnConfirmation returns the confirmation of this host.
func (n *Node) OwnConfirmation() Confirmation {
	c := Confirmation{Host: n.Self, Have: n.Version(), Version: n.confirmed, Parent: n.parent}
	switch {
	case n.view == nil && n.minVersion > 0:
		c.Reason = "waits for the version that it had confirmed before its restart"
	case n.view == nil:
		c.Reason = "has no version yet"
	case n.confirmed < n.Version():
		c.Reason = "waits until a peer of its zone holds the version"
	case n.parent == "" && !n.Control:
		c.Reason = "reaches no parent"
	}
	return c
}

// demand returns the sum of this host's demand and that of the hosts below it.
func (n *Node) demand(now core.Millis) Demand {
	sums := map[plan.Flow]FlowDemand{}
	addFlows(sums, n.OwnDemand(now))
	for _, name := range slices.Sorted(maps.Keys(n.demands)) {
		d := n.demands[name]
		if now-d.at+d.Age >= demandTTL {
			delete(n.demands, name)
			continue
		}
		addFlows(sums, d.Flows)
	}
	out := Demand{Source: n.Self}
	for _, flow := range slices.SortedFunc(maps.Keys(sums), compareFlows) {
		out.Flows = append(out.Flows, sums[flow])
	}
	return out
}

func compareFlows(a, b plan.Flow) int {
	switch {
	case a.Region+"/"+a.Service < b.Region+"/"+b.Service:
		return -1
	case a == b:
		return 0
	default:
		return 1
	}
}

// addFlows adds flows to the sums: rates are added, service times and sizes are averaged by rate.
func addFlows(sums map[plan.Flow]FlowDemand, flows []FlowDemand) {
	for _, f := range flows {
		s := sums[f.Flow]
		total := s.Rate + f.Rate
		if total > 0 {
			s.ServiceTime = core.Millis((float64(s.ServiceTime)*s.Rate + float64(f.ServiceTime)*f.Rate) / total)
			s.Bits = (s.Bits*s.Rate + f.Bits*f.Rate) / total
		}
		s.Flow, s.Rate = f.Flow, total
		sums[f.Flow] = s
	}
}

// Demand returns the demand of this host and of all hosts that report to it.
func (n *Node) Demand(now core.Millis) []FlowDemand {
	return n.demand(now).Flows
}

// InForce returns the confirmations of this host and of the hosts that it has heard of.
func (n *Node) InForce(now core.Millis) []Confirmation {
	return n.freshConfirmations(now)
}

// confirm confirms the version in force once a restart of this host can't lose it: a live peer of the zone
// holds it, if there is one, and so does a control host's own disk.
func (n *Node) confirm(now core.Millis) {
	if n.view == nil || n.confirmed >= n.view.Version {
		return
	}
	held := n.view.Version
	if newest, hasPeer := n.NewestPeerVersion(now); hasPeer {
		held = min(held, newest)
	}
	if n.Control {
		held = min(held, n.durable)
	}
	before := n.confirmed
	n.confirmed = max(n.confirmed, held)
	if n.confirmed > before {
		n.nextSync = now
	}
}

func (n *Node) applyConfirmation(now core.Millis, c Confirmation) {
	old := n.confirmations[c.Host]
	if old != nil && old.Age+now-old.at < c.Age {
		return
	}
	n.confirmations[c.Host] = &timedConfirmation{c, now}
}
