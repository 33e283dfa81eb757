package grant

import (
	"maps"
	"slices"

	"clementinelock/core"
)

// Lengths of time and shares of the division.
const (
	ShareDuration   = 4 * core.Second
	RequestInterval = 500 * core.Millisecond
	// idleRequestInterval is how often a host without demand tells of it.
	idleRequestInterval = 2 * core.Second
	// safeShare is the part of each limit that is kept for hosts without a valid share.
	safeShare = 0.3
	// idleShare is the part of an even share that a host without demand counts with.
	idleShare = 0.05
	// urgentMargin is how much more than its urgent demand a host is given.
	urgentMargin = 1.1
)

// Limit is one limit of the region.
type Limit struct {
	Resource string
	Rate     float64
}

// Ask tells the divider how much of each resource the host is asked for, how much of it is urgent, and what it still holds.
type Ask struct {
	_      struct{} `cbor:",toarray"`
	Rates  map[string]float64
	Urgent map[string]float64
	Holds  map[string]float64
	Round  uint64
}

// Answer answers Want with shares that end Length after the Want was sent.
type Answer struct {
	_     struct{} `cbor:",toarray"`
	Rates map[string]float64
	Round uint64
}

// MessageName returns the message's name.
func (Ask) MessageName() string { return "GrantWant" }

// MessageName returns the message's name.
func (Answer) MessageName() string { return "GrantGive" }

// grantedRate is a rate that a host may use until its end.
type grantedRate struct {
	rate  float64
	until core.Millis
}

// share is what the divider gave one host of one resource: the last part and the larger ones before it that have not ended.
type share []grantedRate

// held returns what the host may still use of the share.
func (s share) held(now core.Millis) float64 {
	held := 0.0
	for _, p := range s {
		if now < p.until {
			held = max(held, p.rate)
		}
	}
	return held
}

// renew adds a part and drops those that have ended or that the new one covers.
func (s share) renew(now core.Millis, rate float64) share {
	next := share{{rate, now + ShareDuration}}
	for _, p := range s {
		if now < p.until && p.rate > rate {
			next = append(next, p)
		}
	}
	return next
}

// demand is a host's last measured demand.
type demand struct {
	rate       float64
	urgent     float64
	measuredAt core.Millis
}

// heldShare is what this host was given.
type heldShare struct {
	rate  float64
	until core.Millis
}

// Node is a host's part in dividing and using limits. Set the exported fields before use.
type Node struct {
	Self string
	// Incarnation starts the numbers of this process's questions, so that no answer to an earlier process is taken for one to this.
	Incarnation uint64
	// Divider returns the host that divides the region's limits, or the empty string.
	Divider func(now core.Millis) string

	limits            map[string]float64
	hosts             int
	dividing          bool
	dividingSince     core.Millis
	shares            map[string]map[string]share
	demands           map[string]map[string]demand
	heldShares        map[string]heldShare
	buckets           map[string]*bucket
	nextRequestAt     core.Millis
	nextIdleRequestAt core.Millis
	round             uint64
	sentAt            map[uint64]core.Millis
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

// SetLimits takes the region's limits and the number of its hosts from the tree.
func (n *Node) SetLimits(limits []Limit, hosts int) {
	old := n.limits
	n.limits = map[string]float64{}
	for _, l := range limits {
		n.limits[l.Resource] = l.Rate
		n.scaleDown(l, old[l.Resource])
	}
	n.hosts = max(1, hosts)
}

// scaleDown scales what this host holds down with its limit, and drops what was divided, which is learned again from the hosts.
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

// Gain begins to divide; for one Length only what hosts say they still hold is given again.
func (n *Node) Gain(now core.Millis) {
	n.dividing, n.dividingSince = true, now
	n.shares = map[string]map[string]share{}
}

// Lose stops dividing.
func (n *Node) Lose() {
	n.dividing = false
}

// Dividing tells whether this host divides the region's limits.
func (n *Node) Dividing() bool {
	return n.dividing
}

// safeRate returns a host's part of the limit that needs no grant.
func (n *Node) safeRate(resource string) float64 {
	return n.limits[resource] * safeShare / float64(n.hosts)
}

// Allowed returns the rate that this host may use of a resource now.
func (n *Node) Allowed(now core.Millis, resource string) float64 {
	h := n.heldShares[resource]
	if now < h.until {
		return n.safeRate(resource) + h.rate
	}
	return n.safeRate(resource)
}

// Tick tells the divider of this host's demand.
func (n *Node) Tick(now core.Millis, out *core.Effects) {
	if now < n.nextRequestAt {
		return
	}
	divider := n.Divider(now)
	if divider == "" {
		return
	}
	if n.idle() && now < n.nextIdleRequestAt {
		n.nextRequestAt = now + RequestInterval
		return
	}
	ask := n.newAsk(now)
	n.nextRequestAt = now + RequestInterval
	n.nextIdleRequestAt = now + idleRequestInterval
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

// Receive takes a Want or a Give.
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

// divide gives a host its part: what it wants and a little more, bounded by what the others hold.
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
		core.Assert(amount == 0 || total <= limit*1.000001+1e-9, "shares of %s are %g, above %g", resource, total, limit)
	}
	return answer
}

// otherShares sums the shares of the other hosts that have not ended.
func (n *Node) otherShares(now core.Millis, resource, host string) float64 {
	total := 0.0
	for name, s := range n.shares[resource] {
		if name != host {
			total += s.held(now)
		}
	}
	return total
}

// fairShare is a host's part of the whole limit: what is urgent comes first, the rest is divided by demand. A host without any demand gets a little, so that it can begin.
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

// Usage is the division of one resource for dumps.
type Usage struct {
	Resource string
	Limit    float64
	Allowed  float64
	Used     float64
}

// Status lists this host's limits.
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
