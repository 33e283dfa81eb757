package grant

import (
	"maps"
	"slices"

	"clementinelock/core"
)

// Intervals and parts of the division.
const (
	// ShareDuration is how long a share is valid after its Ask was sent.
	ShareDuration = 4 * core.Second
	// AskInterval is how often a host with demand asks the divider for shares.
	AskInterval = 500 * core.Millisecond
	// idleAskInterval is how often a host without demand asks.
	idleAskInterval = 2 * core.Second
	// safeShare is the part of each limit that is not divided; each host may use an even part of it without a grant.
	safeShare = 0.3
	// idleShare is the minimum demand that a host is counted with, as a part of an even share.
	idleShare = 0.05
	// urgentMargin is the factor between the rate granted for urgent use and the urgent demand.
	urgentMargin = 1.1
)

// Limit is one limit of the region, in units of the resource per second; a rate of 0 means no limit.
type Limit struct {
	Resource string
	Rate     float64
}

// Ask asks the divider for shares. For each resource it has the demand of the host, the urgent part of it, and the
// share that the host still holds, all per second.
type Ask struct {
	_      struct{} `cbor:",toarray"`
	Rates  map[string]float64
	Urgent map[string]float64
	Holds  map[string]float64
	Round  uint64
}

// Answer answers an Ask with shares, per second, that expire ShareDuration after the Ask was sent.
type Answer struct {
	_     struct{} `cbor:",toarray"`
	Rates map[string]float64
	Round uint64
}

// MessageName returns the message's name.
func (Ask) MessageName() string { return "GrantWant" }

// MessageName returns the message's name.
func (Answer) MessageName() string { return "GrantGive" }

// grantedRate is a rate that a host may use until it expires.
type grantedRate struct {
	rate  float64
	until core.Millis
}

// share is what the divider has granted one host of one resource: the last rate and the larger ones before it that
// have not expired. The host may not have received the last answer, so the largest one counts.
type share []grantedRate

// held returns the largest rate that the host may still be using.
func (s share) held(now core.Millis) float64 {
	held := 0.0
	for _, p := range s {
		if now < p.until {
			held = max(held, p.rate)
		}
	}
	return held
}

// renew adds a rate and drops those that have expired or are not larger than it.
func (s share) renew(now core.Millis, rate float64) share {
	next := share{{rate, now + ShareDuration}}
	for _, p := range s {
		if now < p.until && p.rate > rate {
			next = append(next, p)
		}
	}
	return next
}

// demand is the last measured demand of a host, per second.
type demand struct {
	rate       float64
	urgent     float64
	measuredAt core.Millis
}

// heldShare is the share of one resource that was granted to this host.
type heldShare struct {
	rate  float64
	until core.Millis
}

// Node divides and uses the limits of the region on one host. Set the exported fields before use.
type Node struct {
	Self string
	// Incarnation is where the numbers of this process's Asks begin, so that an answer to an earlier process of the
	// host is not taken for one to this process.
	Incarnation uint64
	// Divider returns the host that divides the region's limits, or the empty string.
	Divider func(now core.Millis) string

	limits        map[string]float64
	hosts         int
	dividing      bool
	dividingSince core.Millis
	shares        map[string]map[string]share
	demands       map[string]map[string]demand
	heldShares    map[string]heldShare
	buckets       map[string]*bucket
	nextAskAt     core.Millis
	nextIdleAskAt core.Millis
	round         uint64
	sentAt        map[uint64]core.Millis
}

// Start prepares the node.
func (n *Node) Start() {
	n.round = n.Incarnation
	n.limits = map[string]float64{}
	n.shares = map[string]map[string]share{}
	n.demands = map[string]map[string]demand{}
	n.heldShares = map[string]heldShare{}
	n.buckets = map[string]*bucket{}
	n.sentAt = map[uint64]core.Millis{}
}

// SetLimits sets the region's limits and the number of its hosts, as the tree has them; a lowered limit holds at once.
func (n *Node) SetLimits(limits []Limit, hosts int) {
	old := n.limits
	n.limits = map[string]float64{}
	for _, l := range limits {
		n.limits[l.Resource] = l.Rate
		n.scaleDown(l, old[l.Resource])
	}
	n.hosts = max(1, hosts)
}

// scaleDown reduces the share that this host holds, and the shares that it has granted, in proportion to a lowered
// limit.
func (n *Node) scaleDown(l Limit, old float64) {
	if old == 0 || l.Rate >= old {
		return
	}
	h := n.heldShares[l.Resource]
	h.rate *= l.Rate / old
	n.heldShares[l.Resource] = h
	for host, s := range n.shares[l.Resource] {
		for i := range s {
			s[i].rate *= l.Rate / old
		}
		n.shares[l.Resource][host] = s
	}
}

// Gain begins to divide when this host has gained the lease. For one ShareDuration it grants a host no more than the
// host reports to hold, since it does not know the shares that the previous divider granted.
func (n *Node) Gain(now core.Millis) {
	n.dividing, n.dividingSince = true, now
	n.shares = map[string]map[string]share{}
}

// Lose stops dividing when this host has lost the lease.
func (n *Node) Lose() {
	n.dividing = false
}

// Dividing reports whether this host divides the region's limits.
func (n *Node) Dividing() bool {
	return n.dividing
}

// safeRate returns the rate that each host may use without a grant.
func (n *Node) safeRate(resource string) float64 {
	return n.limits[resource] * safeShare / float64(n.hosts)
}

// Allowed returns the rate, per second, that this host may use of a resource now.
func (n *Node) Allowed(now core.Millis, resource string) float64 {
	h := n.heldShares[resource]
	if now < h.until {
		return n.safeRate(resource) + h.rate
	}
	return n.safeRate(resource)
}

// Tick asks the divider for shares when an Ask is due.
func (n *Node) Tick(now core.Millis, out *core.Effects) {
	if now < n.nextAskAt {
		return
	}
	divider := n.Divider(now)
	if divider == "" {
		return
	}
	if n.idle() && now < n.nextIdleAskAt {
		n.nextAskAt = now + AskInterval
		return
	}
	ask := n.newAsk(now)
	n.nextAskAt = now + AskInterval
	n.nextIdleAskAt = now + idleAskInterval
	if divider == n.Self && !n.dividing {
		return
	}
	if divider == n.Self {
		n.onAnswer(n.divide(now, n.Self, ask))
		return
	}
	out.Send(divider, ask)
}

func (n *Node) newAsk(now core.Millis) *Ask {
	n.round++
	n.sentAt = map[uint64]core.Millis{n.round: now}
	ask := &Ask{Rates: map[string]float64{}, Urgent: map[string]float64{}, Holds: map[string]float64{}, Round: n.round}
	for resource := range n.limits {
		if rate, urgent := n.takeDemand(resource); rate > 0 {
			ask.Rates[resource], ask.Urgent[resource] = rate, urgent
		}
		if h := n.heldShares[resource]; now < h.until {
			ask.Holds[resource] = h.rate
		}
	}
	return ask
}

// Receive handles an Ask or an Answer.
func (n *Node) Receive(now core.Millis, from string, message core.Message, out *core.Effects) {
	switch m := message.(type) {
	case *Ask:
		if n.dividing {
			out.Send(from, n.divide(now, from, m))
		}
	case *Answer:
		n.onAnswer(m)
	}
}

// divide grants a host its fair share of each resource, bounded by what the shares of the other hosts leave.
func (n *Node) divide(now core.Millis, host string, ask *Ask) *Answer {
	answer := &Answer{Rates: map[string]float64{}, Round: ask.Round}
	for _, resource := range slices.Sorted(maps.Keys(n.limits)) {
		limit := n.limits[resource] * (1 - safeShare)
		amount := n.fairShare(now, resource, host, demand{ask.Rates[resource], ask.Urgent[resource], now})
		if n.dividing && now-n.dividingSince < ShareDuration {
			amount = min(amount, ask.Holds[resource])
		}
		amount = max(0, min(amount, limit-n.otherShares(now, resource, host)))
		if n.shares[resource] == nil {
			n.shares[resource] = map[string]share{}
		}
		next := n.shares[resource][host].renew(now, amount)
		n.shares[resource][host] = next
		answer.Rates[resource] = amount
		total := n.otherShares(now, resource, host) + next.held(now)
		core.Assert(amount == 0 || total <= limit*1.000001+1e-9, "shares of resource %q add up to %g, above the divided limit of %g", resource, total, limit)
	}
	return answer
}

// otherShares returns the sum of the unexpired shares of the other hosts.
func (n *Node) otherShares(now core.Millis, resource, host string) float64 {
	total := 0.0
	for name, s := range n.shares[resource] {
		if name != host {
			total += s.held(now)
		}
	}
	return total
}

// fairShare returns a host's share of the divided part of a limit: urgent demand comes first, the rest is divided in
// proportion to the other demand. A host without demand gets a small share, so that it can begin to use the resource.
func (n *Node) fairShare(now core.Millis, resource, host string, own demand) float64 {
	if n.demands[resource] == nil {
		n.demands[resource] = map[string]demand{}
	}
	n.demands[resource][host] = own
	limit := n.limits[resource] * (1 - safeShare)
	minDemand := limit / float64(n.hosts) * idleShare
	urgent, rest := 0.0, 0.0
	for _, each := range slices.Sorted(maps.Keys(n.demands[resource])) {
		if other := n.demands[resource][each]; now-other.measuredAt < ShareDuration {
			urgent += other.urgent * urgentMargin
			rest += max(minDemand, other.rate-other.urgent)
		}
	}
	if urgent > limit {
		return limit * own.urgent * urgentMargin / urgent
	}
	part := max(minDemand, own.rate-own.urgent) / max(rest, limit*idleShare)
	return own.urgent*urgentMargin + (limit-urgent)*part
}

// onAnswer stores the shares granted to this host; they expire ShareDuration after its Ask was sent, not received.
func (n *Node) onAnswer(m *Answer) {
	sentAt, ok := n.sentAt[m.Round]
	if !ok {
		return
	}
	delete(n.sentAt, m.Round)
	for resource, rate := range m.Rates {
		n.heldShares[resource] = heldShare{rate, sentAt + ShareDuration}
	}
}

// Usage is a limit and this host's use of it, for dumps: rates per second, and the amount used since the start.
type Usage struct {
	Resource string
	Limit    float64
	Allowed  float64
	Used     float64
}

// Status returns the usage of every limit, sorted by resource.
func (n *Node) Status(now core.Millis) []Usage {
	var out []Usage
	for _, resource := range slices.Sorted(maps.Keys(n.limits)) {
		u := Usage{Resource: resource, Limit: n.limits[resource], Allowed: n.Allowed(now, resource)}
		if b := n.buckets[resource]; b != nil {
			u.Used = b.used
		}
		out = append(out, u)
	}
	return out
}
